//! An application endpoint beside a daemon. The last part of a request's path says what its work is:
//! `w120` works for 120 ms, `crash` ends the endpoint's process while it runs, `photo` has a long answer,
//! and `crash-photo` ends the process while it is sent.

use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Message;
use crate::http::call;
use crate::http::read_message;
use crate::record::Record;

/// Requests that wait beyond the capacity.
const QUEUE: usize = 2;

/// Additional bytes after a complete answer. They belong to no request and name none; a server that
/// sheds writes such a head.
const ADDITIONAL_BYTES: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nNot-Processed: 1\r\nContent-Length: 0\r\n\r\n";

/// One in so many answers is followed by additional bytes while an endpoint sends them.
const GARBLE_STEP: u64 = 34;

/// Length of a photo and the work for it, as of `photo-report` of the tinworks sites.
const PHOTO_BYTES: usize = 90_000;
const PHOTO_WORK: Duration = Duration::from_millis(72);

/// Time for which a crashed endpoint is away.
const CRASH_PAUSE: Duration = Duration::from_secs(3);

/// What an endpoint did with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Deed {
    Ran,
    Rejected,
}

#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub path: String,
    pub deed: Deed,
}

#[derive(Clone, Debug)]
pub struct EndpointSpec {
    pub id: String,
    pub service: String,
    pub version: String,
    pub zone: String,
    pub capacity: usize,
    pub address: SocketAddr,
    /// Address of the daemon that takes its pings.
    pub admin: SocketAddr,
    pub heartbeat: Duration,
    /// Whether a request goes on when its connection closes.
    pub keeps_running: bool,
}

struct EndpointState {
    spec: EndpointSpec,
    born: AtomicU64,
    sequence: AtomicU64,
    running: AtomicUsize,
    waiting: AtomicUsize,
    /// Counts starts; threads of an earlier start end.
    life: AtomicU64,
    is_up: AtomicBool,
    /// Whether the port is open; it closes before the connections, as when a process ends.
    is_listening: AtomicBool,
    is_pinging: AtomicBool,
    arrivals: Mutex<Vec<Arrival>>,
    streams: Mutex<Vec<TcpStream>>,
    /// Whether it sends additional bytes after some of its answers.
    is_garbling: AtomicBool,
    /// Answers since it began to do so.
    garble_count: AtomicU64,
    crashes: Mutex<Vec<Instant>>,
    record: Record,
}

#[derive(Clone)]
pub struct Endpoint {
    state: Arc<EndpointState>,
}

impl Endpoint {
    pub fn start(spec: EndpointSpec, record: &Record) -> Option<Endpoint> {
        let endpoint = Endpoint {
            state: Arc::new(EndpointState {
                spec,
                born: AtomicU64::new(unix_ms()),
                sequence: AtomicU64::new(0),
                running: AtomicUsize::new(0),
                waiting: AtomicUsize::new(0),
                life: AtomicU64::new(0),
                is_up: AtomicBool::new(false),
                is_listening: AtomicBool::new(false),
                is_pinging: AtomicBool::new(true),
                arrivals: Mutex::default(),
                streams: Mutex::default(),
                is_garbling: AtomicBool::new(false),
                garble_count: AtomicU64::new(0),
                crashes: Mutex::default(),
                record: record.clone(),
            }),
        };
        endpoint.open()?;
        let pinging = endpoint.clone();
        thread::spawn(move || {
            loop {
                let state = &pinging.state;
                if state.is_up.load(Ordering::SeqCst) && state.is_pinging.load(Ordering::SeqCst) {
                    let body = pinging.ping_body();
                    pinging.send_ping(&body);
                }
                thread::sleep(state.spec.heartbeat);
            }
        });
        Some(endpoint)
    }

    fn open(&self) -> Option<()> {
        let listener = TcpListener::bind(self.state.spec.address).ok()?;
        let life = self.state.life.load(Ordering::SeqCst);
        self.state.is_up.store(true, Ordering::SeqCst);
        self.state.is_listening.store(true, Ordering::SeqCst);
        let endpoint = self.clone();
        listener.set_nonblocking(true).ok()?;
        thread::spawn(move || {
            while endpoint.is_alive(life) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(kept) = stream.try_clone() {
                            endpoint.state.streams.lock().unwrap().push(kept);
                        }
                        let endpoint = endpoint.clone();
                        thread::spawn(move || endpoint.serve(stream, life));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
            drop(listener);
            endpoint.state.is_listening.store(false, Ordering::SeqCst);
        });
        Some(())
    }

    fn is_alive(&self, life: u64) -> bool {
        self.state.is_up.load(Ordering::SeqCst) && self.state.life.load(Ordering::SeqCst) == life
    }

    /// Body of the next ping.
    pub fn ping_body(&self) -> String {
        let spec = &self.state.spec;
        let sequence = self.state.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            r#"{{"address":"{}","born":{},"info":{{"service":"{}","version":"{}","zone":"{}","capacity":{}}},"status":{{"state":"healthy","sequence":{sequence},"warmup_left_ms":0}}}}"#,
            spec.address,
            self.state.born.load(Ordering::SeqCst),
            spec.service,
            spec.version,
            spec.zone,
            spec.capacity,
        )
    }

    /// Sends a ping; returns whether it was acknowledged.
    pub fn send_ping(&self, body: &str) -> bool {
        let path = format!("/coltsfootweir/endpoints/{}", self.state.spec.id);
        let headers = [("Content-Type", "application/json")];
        let limit = Duration::from_secs(1);
        call(self.state.spec.admin, "PUT", &path, &headers, body, limit).status() == 200
    }

    /// Sends its departure and no ping after it; returns whether it was acknowledged.
    pub fn depart(&self) -> bool {
        self.state.is_pinging.store(false, Ordering::SeqCst);
        let path = format!("/coltsfootweir/endpoints/{}", self.state.spec.id);
        let body = format!(r#"{{"born":{}}}"#, self.state.born.load(Ordering::SeqCst));
        let headers = [("Content-Type", "application/json")];
        let limit = Duration::from_secs(1);
        let admin = self.state.spec.admin;
        call(admin, "DELETE", &path, &headers, &body, limit).status() == 200
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.arrivals.lock().unwrap().clone()
    }

    pub fn crashes(&self) -> Vec<Instant> {
        self.state.crashes.lock().unwrap().clone()
    }

    pub fn id(&self) -> &str {
        &self.state.spec.id
    }

    /// Ends the process: all connections and the port.
    pub fn exit(&self) {
        self.state.is_up.store(false, Ordering::SeqCst);
        self.state.life.fetch_add(1, Ordering::SeqCst);
        while self.state.is_listening.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_micros(200));
        }
        for stream in self.state.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn crash(&self) {
        if !self.state.is_up.load(Ordering::SeqCst) {
            return;
        }
        self.exit();
        self.state.crashes.lock().unwrap().push(Instant::now());
        let what = format!("endpoint {} crashes", self.id());
        self.state.record.write(&what);
        let endpoint = self.clone();
        thread::spawn(move || {
            thread::sleep(CRASH_PAUSE);
            let state = &endpoint.state;
            state.running.store(0, Ordering::SeqCst);
            state.waiting.store(0, Ordering::SeqCst);
            state.born.store(unix_ms(), Ordering::SeqCst);
            state.sequence.store(0, Ordering::SeqCst);
            while endpoint.open().is_none() {
                thread::sleep(Duration::from_millis(20));
            }
            state
                .record
                .write(&format!("endpoint {} is back", endpoint.id()));
            endpoint.send_ping(&endpoint.ping_body());
        });
    }

    fn serve(&self, stream: TcpStream, life: u64) {
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        let mut has_additional = false;
        while let Some(request) = read_message(&mut reader) {
            if !self.is_alive(life) || !request.is_whole {
                return;
            }
            if std::mem::take(&mut has_additional) {
                let what = format!(
                    "endpoint {} sends the additional bytes late, as {} has come",
                    self.id(),
                    request.header("request-id")
                );
                self.state.record.write(&what);
                if out.write_all(ADDITIONAL_BYTES).is_err() {
                    return;
                }
            }
            let Some(answer) = self.answer(&request, &out, life) else {
                return;
            };
            if out.write_all(answer.as_bytes()).is_err() {
                return;
            }
            has_additional = self.is_garbled();
        }
    }

    /// Returns whether additional bytes follow this answer.
    fn is_garbled(&self) -> bool {
        let state = &self.state;
        state.is_garbling.load(Ordering::SeqCst)
            && state.garble_count.fetch_add(1, Ordering::SeqCst) % GARBLE_STEP == 0
    }

    /// Starts or stops sending additional bytes.
    pub fn set_garbling(&self, is_garbling: bool) {
        self.state.is_garbling.store(is_garbling, Ordering::SeqCst);
    }

    /// Runs a request and returns the answer; `None` when there is none.
    fn answer(&self, request: &Message, stream: &TcpStream, life: u64) -> Option<String> {
        let spec = &self.state.spec;
        let id = request.header("request-id").to_owned();
        let path = request.word(1).to_owned();
        let expected = request.header("expected-instance");
        if !expected.is_empty() && expected != spec.id {
            let head = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0";
            return Some(format!("{head}\r\nRequest-Id: {id}\r\n\r\n"));
        }
        let limit = request.header("timeout-ms").parse().unwrap_or(5_000);
        let mut arrival = Arrival {
            at: Instant::now(),
            id: id.clone(),
            path: path.clone(),
            deed: Deed::Rejected,
        };
        if !self.take_slot(Duration::from_millis(limit), life) {
            self.log(arrival);
            let head = "HTTP/1.1 503 Service Unavailable\r\nNot-Processed: 1\r\nContent-Length: 0";
            return Some(format!("{head}\r\nRequest-Id: {id}\r\n\r\n"));
        }
        arrival.deed = Deed::Ran;
        self.log(arrival);
        let work = path.rsplit('/').next().unwrap_or("");
        if work.ends_with("photo") {
            thread::sleep(PHOTO_WORK);
            let head = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nUpstream-Signature: {}\r\nContent-Length: {PHOTO_BYTES}\r\n\r\n",
                spec.id
            );
            let mut out = stream;
            let sent = match work == "crash-photo" {
                true => PHOTO_BYTES / 2,
                false => PHOTO_BYTES,
            };
            let is_sent =
                out.write_all(head.as_bytes()).is_ok() && out.write_all(&vec![b'p'; sent]).is_ok();
            if sent < PHOTO_BYTES {
                thread::sleep(Duration::from_millis(30));
                self.crash();
                return None;
            }
            self.state.running.fetch_sub(1, Ordering::SeqCst);
            return is_sent.then(String::new);
        }
        if work.starts_with("crash") {
            thread::sleep(Duration::from_millis(30));
            self.crash();
            return None;
        }
        let millis = work.strip_prefix('w').and_then(|text| text.parse().ok());
        let work = Duration::from_millis(millis.unwrap_or(20));
        let is_left = match spec.keeps_running {
            true => {
                thread::sleep(work);
                false
            }
            false => is_closed_within(stream, work),
        };
        if !self.is_alive(life) {
            return None;
        }
        self.state.running.fetch_sub(1, Ordering::SeqCst);
        if is_left {
            return None;
        }
        let body = format!("{} ran {id}", spec.id);
        Some(format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nUpstream-Signature: {}\r\nContent-Length: {}\r\n\r\n{body}",
            spec.id,
            body.len()
        ))
    }

    fn log(&self, arrival: Arrival) {
        let word = match arrival.deed {
            Deed::Ran => "runs",
            Deed::Rejected => "rejects, as it is full,",
        };
        let what = format!(
            "endpoint {} {word} {} {}",
            self.id(),
            arrival.id,
            arrival.path
        );
        self.state.record.write(&what);
        self.state.arrivals.lock().unwrap().push(arrival);
    }

    fn take_slot(&self, limit: Duration, life: u64) -> bool {
        let state = &self.state;
        let start = Instant::now();
        let mut waits = false;
        let taken = loop {
            let capacity = state.spec.capacity;
            let taken = state
                .running
                .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |running| {
                    (running < capacity).then_some(running + 1)
                });
            if taken.is_ok() {
                break true;
            }
            if !waits {
                if state.waiting.fetch_add(1, Ordering::SeqCst) >= QUEUE {
                    state.waiting.fetch_sub(1, Ordering::SeqCst);
                    return false;
                }
                waits = true;
            }
            if start.elapsed() >= limit || !self.is_alive(life) {
                break false;
            }
            thread::sleep(Duration::from_millis(2));
        };
        if waits {
            state.waiting.fetch_sub(1, Ordering::SeqCst);
        }
        taken
    }
}

fn is_closed_within(stream: &TcpStream, time: Duration) -> bool {
    let _ = stream.set_read_timeout(Some(time.max(Duration::from_millis(1))));
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_read_timeout(None);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => !matches!(
            error.kind(),
            std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
        ),
    }
}

fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now();
    let since = now
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}
