//! A daemon is stopped as planned while clients send requests before the earlier ones are answered.

use std::collections::VecDeque;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Outcome;
use crate::endpoint::EndpointWork;
use crate::fleet::Fleet;
use crate::fleet::Place;
use crate::fleet::SIGTERM;
use crate::fleet::config;
use crate::http::HttpReader;
use crate::record::CaseRecord;
use crate::relay::LinkTerms;
use crate::relay::start_link;

const CLIENTS: usize = 6;

/// Requests of a client without an answer.
const DEPTH: usize = 2;

/// Bytes of an answer; lookups on the sheets have up to 30,000.
const ANSWER_BYTES: usize = 30_000;

/// Time that the endpoint works on a request.
const RUN_TIME: Duration = Duration::from_millis(20);

/// Time limit of the clients.
const TIME_LIMIT: Duration = Duration::from_millis(2_500);

/// 10 Mbit/s and 8 ms each way.
const LINK: LinkTerms = LinkTerms {
    delay: Duration::from_millis(8),
    rate: 1_250_000.0,
    window: 16 * 1024,
};

const LINK_MBPS: f64 = 10.0;

const ZAANDAM: Place = Place {
    zone: "zaandam",
    region: "noord-holland",
    service: "stalboek",
};

/// What the clients share.
struct ClientGround {
    record: CaseRecord,
    link: SocketAddr,
    /// Whether the platform sends no new work to the machine.
    is_out: AtomicBool,
    whole: AtomicUsize,
    /// Requests whose connection ended before their answer was complete.
    unanswered: Mutex<Vec<(String, String)>>,
}

pub fn run(record: &CaseRecord, has_trouble: bool) -> Outcome {
    let work: EndpointWork = Arc::new(|state, head, reader| {
        std::thread::sleep(RUN_TIME);
        let id = head.header("request-id").to_owned();
        state.answer(&id, &vec![b's'; ANSWER_BYTES], reader)
    });
    let purmerend = Place {
        zone: "purmerend",
        ..ZAANDAM
    };
    let config = config(7, &[("stock", "idempotent", "stalboek")], 1024 * 1024);
    let mut fleet = Fleet::start(record, &[ZAANDAM, purmerend], &config, LINK_MBPS, &work)?;
    let outbound = fleet.machines[0].outbound;
    let ground = Arc::new(ClientGround {
        record: record.clone(),
        link: start_link(&outbound.ip().to_string(), outbound, LINK)?,
        is_out: AtomicBool::new(false),
        whole: AtomicUsize::new(0),
        unanswered: Mutex::default(),
    });
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let ground = Arc::clone(&ground);
        clients.push(std::thread::spawn(move || run_client(&ground, number)));
    }
    std::thread::sleep(Duration::from_secs(4));
    if has_trouble {
        fleet.signal(0, SIGTERM);
    }
    check_readiness(&fleet, &ground);
    for client in clients {
        client.join().map_err(|_| "a client failed".to_owned())?;
    }
    record.line(format!("daemon has ended: {}", fleet.has_ended(0)));
    let whole = ground.whole.load(Ordering::SeqCst);
    let mut lost = 0;
    for (id, how) in ground.unanswered.lock().expect("no holder panicked").iter() {
        let has_run = fleet.machines.iter().any(|machine| {
            let runs = machine.endpoint.runs.lock().expect("no holder panicked");
            runs.contains(id)
        });
        let word = if has_run { "LOST" } else { "not passed on" };
        lost += usize::from(has_run);
        record.line(format!("{word}: {id}, {how}"));
    }
    record.line(format!("whole answers: {whole}, lost: {lost}"));
    if whole == 0 {
        return Err("no answer came whole".to_owned());
    }
    Ok(lost == 0)
}

/// Asks for readiness each second, as the platform does, until the time of a stop is over.
fn check_readiness(fleet: &Fleet, ground: &ClientGround) {
    let mut misses = 0;
    for _ in 0..8 {
        let is_ready = fleet.machines[0].is_ready();
        misses = if is_ready { 0 } else { misses + 1 };
        ground.record.line(format!("platform: ready {is_ready}"));
        if misses >= 2 && !ground.is_out.swap(true, Ordering::SeqCst) {
            ground.record.line("platform: no new work from here on");
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    ground.is_out.store(true, Ordering::SeqCst);
}

fn run_client(ground: &ClientGround, number: usize) {
    let mut count = 0;
    while !ground.is_out.load(Ordering::SeqCst) {
        let Ok(stream) = TcpStream::connect(ground.link) else {
            std::thread::sleep(Duration::from_millis(200));
            continue;
        };
        let _ = (
            stream.set_nodelay(true),
            stream.set_read_timeout(Some(TIME_LIMIT)),
        );
        let mut reader = HttpReader::new(stream);
        let mut waiting: VecDeque<String> = VecDeque::new();
        let mut is_open = true;
        loop {
            while is_open && waiting.len() < DEPTH && !ground.is_out.load(Ordering::SeqCst) {
                count += 1;
                let id = format!("get-{number}-{count}");
                is_open = send(ground, &mut reader, &id);
                waiting.push_back(id);
            }
            let Some(id) = waiting.pop_front() else {
                break;
            };
            let Some(head) = reader.head() else {
                note(ground, &id, "no answer came".to_owned());
                break;
            };
            if reader.body(&head).is_none() {
                let got = reader.buffer.len();
                note(ground, &id, format!("{got} of {ANSWER_BYTES} bytes came"));
                break;
            }
            if head.status() == 200 {
                ground.whole.fetch_add(1, Ordering::SeqCst);
            }
            if head.header("connection").eq_ignore_ascii_case("close") {
                ground.record.line(format!(
                    "client: {id} is answered {}, closes",
                    head.status()
                ));
                break;
            }
        }
        // Those behind the last answer count as not read and are sent again, as new requests here.
        for id in waiting {
            note(
                ground,
                &id,
                "behind an answer that ended the connection".to_owned(),
            );
        }
    }
}

fn send(ground: &ClientGround, reader: &mut HttpReader, id: &str) -> bool {
    let limit = TIME_LIMIT.as_millis();
    let text = format!(
        "GET /stock/list HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {id}\r\nTimeout-Ms: {limit}\r\n\r\n"
    );
    ground.record.line(format!("client sends {id}"));
    reader.stream.write_all(text.as_bytes()).is_ok()
}

fn note(ground: &ClientGround, id: &str, how: String) {
    ground.record.line(format!("client: {id}, {how}"));
    let mut unanswered = ground.unanswered.lock().expect("no holder panicked");
    unanswered.push((id.to_owned(), how));
}
