//! LOST: more users than usual send long bodies at once, the daemon outgrows the memory of its machine
//! and ends, and the requests of other clients that it had passed on stay without an answer.

use std::collections::HashSet;
use std::io::BufReader;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::endpoint::Deed;
use crate::fleet::Fleet;
use crate::fleet::HOST;
use crate::fleet::Machine;
use crate::fleet::MachineSpec;
use crate::fleet::Requests;
use crate::fleet::RouteSpec;
use crate::fleet::STABILITY;
use crate::http::read_message;
use crate::record::Record;

/// Requests that the rule allows to stay without an answer.
const ALLOWED: usize = 3;

/// `memory_mb` of the machines, in bytes; the larger meaning of MB.
const MEMORY_LIMIT: u64 = 260 << 20;

/// Pause before the platform starts a process again that has ended.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

/// Length of a booking's body: less than a sixth of `max_body_bytes`.
const BODY_BYTES: usize = 10 << 20;

/// Users who send a booking at the same moment: usually, and during the burst of 1.8 times the traffic.
const USUAL_USERS: usize = 4;
const BURST_USERS: usize = 7;

/// Time between two such moments: usually 40 MiB each second, 70 MiB during the burst.
const BOOKING_PAUSE: Duration = Duration::from_millis(1_000);

/// Time with usual traffic before the burst, and its length.
const CALM_TIME: Duration = Duration::from_secs(10);
const BURST_TIME: Duration = Duration::from_millis(3_300);

/// Time after the burst until the end.
const AFTER_TIME: Duration = Duration::from_secs(6);

/// Clients with kept connections that read past rakings.
const READERS: usize = 8;

/// Time limit of all requests, as of `crew-book`.
const LIMIT_MS: u64 = 3_000;

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let Some(mut fleet) = Fleet::new(record.clone()) else {
        return Verdict::NotRun("no free addresses");
    };
    for (zone, service) in [
        ("suwon-a", "courtdesk"),
        ("suwon-a", "rakeyard"),
        ("incheon-b", "rakeyard"),
    ] {
        let spec = MachineSpec {
            zone,
            region: "sudogwon",
            service,
            version: "v1",
            capacity: 9,
            keeps_running: false,
        };
        if fleet.add(&spec).is_none() {
            return Verdict::NotRun("a daemon didn't start");
        }
    }
    let route = |name, prefix, kind, service, priority| RouteSpec {
        name,
        prefix,
        kind,
        service,
        timeout_ms: LIMIT_MS as u32,
        target_ms: 500,
        priority,
    };
    fleet.put_config(
        1,
        &[
            route("court-check", "/court/", "idempotent", "courtdesk", 2),
            route("crew-book", "/crew/", "non_idempotent", "courtdesk", 1),
            route("season-log", "/season/", "idempotent", "rakeyard", 2),
        ],
    );
    if !fleet.wait_served("/court/w90") || !fleet.wait_served("/season/w220") {
        return Verdict::NotRun("the daemons didn't get ready");
    }
    let machine = Arc::clone(&fleet.machines[0]);
    let is_over = Arc::new(AtomicBool::new(false));
    let ends: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let peak = Arc::new(AtomicU64::new(0));
    let mut tasks = vec![watch_memory(
        Arc::clone(&machine),
        record.clone(),
        Arc::clone(&ends),
        Arc::clone(&peak),
        Arc::clone(&is_over),
    )];
    let unanswered: Arc<Mutex<Vec<(Instant, String)>>> = Arc::default();
    for number in 0..READERS {
        let reader = Reader {
            number,
            machine: Arc::clone(&machine),
            record: record.clone(),
            unanswered: Arc::clone(&unanswered),
        };
        let is_over = Arc::clone(&is_over);
        tasks.push(thread::spawn(move || reader.run(&is_over)));
    }
    let body: Arc<str> = "x".repeat(BODY_BYTES).into();
    let start = Instant::now();
    let mut bookings = Vec::new();
    let mut turn = 0;
    while start.elapsed() < CALM_TIME + BURST_TIME + AFTER_TIME {
        let time = start.elapsed();
        let is_burst = has_trouble && time >= CALM_TIME && time < CALM_TIME + BURST_TIME;
        let users = match is_burst {
            true => BURST_USERS,
            false => USUAL_USERS,
        };
        for _ in 0..users {
            bookings.push(book(fleet.requests(), Arc::clone(&machine), &body));
        }
        turn += 1;
        thread::sleep((BOOKING_PAUSE * turn).saturating_sub(start.elapsed()));
    }
    is_over.store(true, Ordering::SeqCst);
    for task in bookings.into_iter().chain(tasks) {
        let _ = task.join();
    }
    let mut ran = HashSet::new();
    for endpoint in &fleet.endpoints {
        let arrivals = endpoint.arrivals().into_iter();
        ran.extend(
            arrivals
                .filter(|arrival| arrival.deed == Deed::Ran)
                .map(|arrival| arrival.id),
        );
    }
    let ends = ends.lock().unwrap();
    // The daemon had run for `stability_ms` when it first ended; only this end is counted.
    let first = ends.first().copied();
    let is_counted = |at: &Instant| first.is_some_and(|first| *at < first + RESTART_PAUSE);
    let unanswered = unanswered.lock().unwrap();
    let lost = unanswered.iter();
    let lost = lost
        .filter(|(at, id)| ran.contains(id) && is_counted(at))
        .count();
    record.write(&format!(
        "the daemon ended {} times over the limit of {} MiB; largest size seen {} MiB",
        ends.len(),
        MEMORY_LIMIT >> 20,
        peak.load(Ordering::SeqCst) >> 20,
    ));
    record.write(&format!(
        "{lost} requests of kept connections were passed on to a sound endpoint and have no answer, at the first end; {ALLOWED} are allowed"
    ));
    if first.is_some_and(|first| first < start + STABILITY) {
        return Verdict::NotRun("the daemon ended before it was in touch");
    }
    match lost > ALLOWED {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

fn book(requests: Requests, machine: Arc<Machine>, body: &Arc<str>) -> JoinHandle<()> {
    let body = Arc::clone(body);
    thread::spawn(move || {
        requests.send(&machine, "POST", "/crew/w240", &body, LIMIT_MS, LIMIT_MS);
    })
}

/// Plays the platform: a process that exceeds the memory of its machine is killed and, after a short
/// pause, started again.
fn watch_memory(
    machine: Arc<Machine>,
    record: Record,
    ends: Arc<Mutex<Vec<Instant>>>,
    peak: Arc<AtomicU64>,
    is_over: Arc<AtomicBool>,
) -> JoinHandle<()> {
    thread::spawn(move || {
        while !is_over.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(2));
            let size = resident_bytes(machine.pid());
            peak.fetch_max(size, Ordering::SeqCst);
            if size <= MEMORY_LIMIT {
                continue;
            }
            record.write(&format!(
                "platform: daemon {} has {} MiB and exceeds its memory",
                machine.name,
                size >> 20
            ));
            ends.lock().unwrap().push(Instant::now());
            machine.kill();
            thread::sleep(RESTART_PAUSE);
            machine.spawn();
        }
    })
}

fn resident_bytes(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let mut lines = text.lines();
    let line = lines.find_map(|line| line.strip_prefix("VmRSS:"));
    let word = line.and_then(|line| line.split_whitespace().next());
    word.and_then(|word| word.parse::<u64>().ok()).unwrap_or(0) << 10
}

/// A client that sends one request after another on a kept connection.
struct Reader {
    number: usize,
    machine: Arc<Machine>,
    record: Record,
    unanswered: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Reader {
    fn run(&self, is_over: &AtomicBool) {
        let mut sent = 0;
        while !is_over.load(Ordering::SeqCst) {
            if let Ok(stream) = TcpStream::connect(self.machine.requests_address()) {
                let _ = stream.set_nodelay(true);
                self.use_connection(stream, &mut sent, is_over);
            }
            thread::sleep(Duration::from_millis(300));
        }
    }

    fn use_connection(&self, stream: TcpStream, sent: &mut usize, is_over: &AtomicBool) {
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        let mut is_kept = false;
        while !is_over.load(Ordering::SeqCst) {
            let id = format!("s{}-{sent:05}", self.number);
            *sent += 1;
            let head = format!(
                "GET /season/w220 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nTimeout-Ms: {LIMIT_MS}\r\n\r\n"
            );
            let what = format!("client {} at {}: GET {id}", self.number, self.machine.name);
            self.record.write(&what);
            if out.write_all(head.as_bytes()).is_err() {
                return;
            }
            let answer = read_message(&mut reader);
            let Some(answer) = answer.filter(|answer| answer.is_whole) else {
                self.record.write(&format!(
                    "client {} gets no answer for {id}: the connection was closed",
                    self.number
                ));
                if is_kept {
                    let mut unanswered = self.unanswered.lock().unwrap();
                    unanswered.push((Instant::now(), id));
                }
                return;
            };
            self.record.write(&format!(
                "client {} gets for {id}: {}",
                self.number,
                answer.status()
            ));
            is_kept = true;
        }
    }
}
