//! Stand-in of an application endpoint: runs requests, and announces itself to the daemon of its
//! machine.

use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::Connection;
use crate::http::Message;
use crate::json::quoted;
use crate::json::Json;

pub const CAPACITY: usize = 9;
const QUEUE: usize = 36;
const BEAT: Duration = Duration::from_millis(1500);

/// A request that an endpoint has begun to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    pub request: String,
    pub service: String,
    pub version: String,
    pub endpoint: String,
    pub path: String,
    /// Status that the endpoint answers; 0 if the request crashes it.
    pub status: u16,
}

/// The runs at all endpoints.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// What an endpoint is.
#[derive(Clone)]
pub struct EndpointSpec {
    pub id: String,
    pub service: String,
    pub version: String,
    pub zone: String,
    pub address: SocketAddr,
    /// Address for announcements at the daemon of the machine.
    pub admin: SocketAddr,
    pub work: Duration,
    /// Of a hundred requests, how many fail.
    pub failing: u64,
}

/// Requests with this in their path crash the endpoint that runs them.
pub const CRASH_PATH: &str = "/crash";
/// Time for which such a request runs before the crash.
const CRASH_TIME: Duration = Duration::from_millis(300);
/// Time after a crash at which the endpoint is back.
const BACK_TIME: Duration = Duration::from_secs(3);

struct Shared {
    spec: EndpointSpec,
    runs: Runs,
    start: Instant,
    born_ms: u128,
    sequence: AtomicU64,
    running: AtomicUsize,
    served: AtomicU64,
    is_draining: AtomicBool,
    /// Whether this lifetime is over.
    is_over: AtomicBool,
    has_crashed: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

/// A running endpoint, or one lifetime of it.
#[derive(Clone)]
pub struct Endpoint(Arc<Shared>);

impl Endpoint {
    pub fn start(spec: EndpointSpec, runs: Runs, start: Instant) -> std::io::Result<Endpoint> {
        let listener = TcpListener::bind(spec.address)?;
        listener.set_nonblocking(true)?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let endpoint = Endpoint(Arc::new(Shared {
            spec,
            runs,
            start,
            born_ms: born.unwrap_or_default().as_millis(),
            sequence: AtomicU64::new(0),
            running: AtomicUsize::new(0),
            served: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            is_over: AtomicBool::new(false),
            has_crashed: AtomicBool::new(false),
            connections: Mutex::default(),
        }));
        let serving = endpoint.clone();
        thread::spawn(move || serving.accept(listener));
        let beating = endpoint.clone();
        thread::spawn(move || beating.beat());
        Ok(endpoint)
    }

    fn accept(&self, listener: TcpListener) {
        while !self.is_over() {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            if let Ok(copy) = stream.try_clone() {
                self.0.connections.lock().expect("no panic").push(copy);
            }
            let serving = self.clone();
            thread::spawn(move || {
                // The list of connections holds the stream open, too.
                let copy = stream.try_clone();
                serving.serve(stream);
                let _ = copy.map(|copy| copy.shutdown(Shutdown::Both));
            });
        }
        drop(listener);
        for connection in self.0.connections.lock().expect("no panic").drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        if !self.0.has_crashed.load(Ordering::Relaxed) {
            return;
        }
        // The next lifetime has another id.
        thread::sleep(BACK_TIME);
        let mut spec = self.0.spec.clone();
        spec.id.push('x');
        if let Err(error) = Endpoint::start(spec, Arc::clone(&self.0.runs), self.0.start) {
            println!("an endpoint is not back: {error}");
        }
    }

    fn is_over(&self) -> bool {
        self.0.is_over.load(Ordering::Relaxed)
    }

    /// Reports that it drains, serves on for `drain` after the acknowledgement, and ends.
    pub fn drain(&self, drain: Duration) {
        self.0.is_draining.store(true, Ordering::Relaxed);
        let endpoint = self.clone();
        thread::spawn(move || {
            let mut is_kept = false;
            for _ in 0..5 {
                is_kept = endpoint.announce(endpoint.0.spec.admin).is_some();
                if is_kept {
                    break;
                }
            }
            if is_kept {
                thread::sleep(drain + Duration::from_millis(500));
            }
            endpoint.stop();
        });
    }

    /// Ends at once.
    pub fn stop(&self) {
        self.0.is_over.store(true, Ordering::Relaxed);
    }

    fn beat(&self) {
        let mut next = self.0.spec.admin;
        while !self.is_over() {
            match self.announce(next) {
                Some(other) => next = other,
                None => next = self.0.spec.admin,
            }
            thread::sleep(BEAT);
        }
    }

    /// Announces itself. Returns the address for the next time; `None` without an acknowledgement.
    fn announce(&self, to: SocketAddr) -> Option<SocketAddr> {
        let shared = &self.0;
        let spec = &shared.spec;
        let state = match shared.is_draining.load(Ordering::Relaxed) {
            true => "draining",
            false => "healthy",
        };
        let sequence = shared.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            "{{\"address\":{},\"born\":{},\"info\":{{\"service\":{},\"version\":{},\"zone\":{},\
             \"capacity\":{CAPACITY}}},\"status\":{{\"state\":\"{state}\",\"sequence\":{sequence},\
             \"warmup_left_ms\":0}}}}",
            quoted(&spec.address.to_string()),
            shared.born_ms,
            quoted(&spec.service),
            quoted(&spec.version),
            quoted(&spec.zone),
        );
        let mut connection = Connection::open(to, Duration::from_secs(1)).ok()?;
        let first = format!("PUT /coltsfootweir/endpoints/{} HTTP/1.1", spec.id);
        let headers = format!("Host: {to}\r\nContent-Type: application/json\r\n");
        connection.write(&first, &headers, body.as_bytes()).ok()?;
        let answer = connection.read()?;
        if answer.status() / 100 != 2 {
            return None;
        }
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let named = Json::parse(&text);
        let named = named
            .as_ref()
            .and_then(|body| body.text("heartbeat_address"));
        Some(named.and_then(|text| text.parse().ok()).unwrap_or(to))
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Some(request) = connection.read() {
            if self.is_over() {
                return;
            }
            let (head, body) = self.answer(&request);
            let bytes = [head.as_bytes(), body.as_bytes()].concat();
            if self.is_over() || connection.stream.write_all(&bytes).is_err() || request.closes() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (String, String) {
        let shared = &self.0;
        let spec = &shared.spec;
        let id = request.header("request-id").unwrap_or("").to_owned();
        let reply = |status: &str, headers: &str, body: String| {
            let head = format!(
                "HTTP/1.1 {status}\r\nRequest-Id: {id}\r\n{headers}Keep-Alive: timeout=10\r\n\
                 Content-Length: {}\r\n\r\n",
                body.len()
            );
            (head, body)
        };
        if request.target() == "/health" {
            let headers = format!("Instance-Id: {}\r\n", spec.id);
            return reply("200 OK", &headers, String::new());
        }
        let expected = request.header("expected-instance");
        if expected.is_some_and(|expected| expected != spec.id) {
            let headers = format!("Instance-Id: {}\r\nNot-Processed: 1\r\n", spec.id);
            return reply("421 Misdirected Request", &headers, String::new());
        }
        if id.is_empty() {
            return reply("400 Bad Request", "Not-Processed: 1\r\n", String::new());
        }
        let running = shared.running.fetch_add(1, Ordering::Relaxed);
        if running >= CAPACITY + QUEUE {
            shared.running.fetch_sub(1, Ordering::Relaxed);
            return reply(
                "503 Service Unavailable",
                "Not-Processed: 1\r\n",
                String::new(),
            );
        }
        let number = shared.served.fetch_add(1, Ordering::Relaxed);
        // Spread evenly, so that each run of the script sees the same share.
        let fails = (number * spec.failing) / 100 != ((number + 1) * spec.failing) / 100;
        let crashes = request.target().contains(CRASH_PATH);
        let (status, line) = match fails {
            _ if crashes => (0, ""),
            true => (500, "500 Internal Server Error"),
            false => (200, "200 OK"),
        };
        let run = Run {
            at: shared.start.elapsed(),
            request: id.clone(),
            service: spec.service.clone(),
            version: spec.version.clone(),
            endpoint: spec.id.clone(),
            path: request.target().to_owned(),
            status,
        };
        shared.runs.lock().expect("no panic").push(run);
        if crashes {
            thread::sleep(CRASH_TIME);
            shared.has_crashed.store(true, Ordering::Relaxed);
            self.stop();
        }
        thread::sleep(spec.work);
        shared.running.fetch_sub(1, Ordering::Relaxed);
        let headers = format!("Upstream-Signature: {}.{number}\r\n", spec.id);
        reply(line, &headers, format!("{} ran {id}", spec.id))
    }
}
