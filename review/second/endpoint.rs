//! An endpoint beside a daemon: it announces itself, checks `Expected-Instance`, runs requests and
//! answers as the case says.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::HttpHead;
use crate::http::HttpReader;
use crate::http::call;
use crate::record::CaseRecord;

/// What an endpoint does with a request whose head it has read. Returns whether the connection goes on.
pub type EndpointWork =
    Arc<dyn Fn(&EndpointState, &HttpHead, &mut HttpReader) -> bool + Send + Sync>;

/// What an endpoint says of itself.
pub struct EndpointState {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub record: CaseRecord,
    born: u128,
    sequence: AtomicU64,
    has_departed: AtomicBool,
    /// Ids of the requests that began to run.
    pub runs: Mutex<Vec<String>>,
    /// Times at which requests arrived.
    pub arrivals: Mutex<Vec<Instant>>,
}

/// Interval between two announcements; the settings name the same.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Starts an endpoint that announces itself to the daemon at `admin`.
pub fn start_endpoint(
    listener: TcpListener,
    admin: SocketAddr,
    id: &str,
    service: &str,
    zone: &str,
    record: &CaseRecord,
    work: EndpointWork,
) -> Arc<EndpointState> {
    let born = SystemTime::now().duration_since(UNIX_EPOCH);
    let state = Arc::new(EndpointState {
        id: id.to_owned(),
        service: service.to_owned(),
        zone: zone.to_owned(),
        address: listener.local_addr().expect("an address"),
        record: record.clone(),
        born: born.expect("a time after 1970").as_millis(),
        sequence: AtomicU64::new(0),
        has_departed: AtomicBool::new(false),
        runs: Mutex::default(),
        arrivals: Mutex::default(),
    });
    let serving = Arc::clone(&state);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let state = Arc::clone(&serving);
            let work = Arc::clone(&work);
            std::thread::spawn(move || state.serve(stream, &work));
        }
    });
    let announcing = Arc::clone(&state);
    std::thread::spawn(move || {
        loop {
            announcing.announce(admin);
            std::thread::sleep(HEARTBEAT);
        }
    });
    state
}

impl EndpointState {
    /// Sends an announcement, unless the endpoint has departed.
    fn announce(&self, admin: SocketAddr) {
        if !self.has_departed.load(Ordering::SeqCst) {
            let body = self.announcement();
            // A daemon that is not up yet is called again.
            let _ = self.tell(admin, "PUT", &body);
        }
    }

    /// An announcement of a healthy endpoint, as it is sent now.
    pub fn announcement(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let (address, born, service, zone) = (self.address, self.born, &self.service, &self.zone);
        format!(
            r#"{{"address":"{address}","born":{born},"info":{{"service":"{service}","version":"v1","zone":"{zone}","capacity":9}},"status":{{"state":"healthy","sequence":{sequence},"warmup_left_ms":0}}}}"#
        )
    }

    /// Departs, without having reported that it drains; returns whether that was acknowledged.
    pub fn depart(&self, admin: SocketAddr) -> bool {
        self.has_departed.store(true, Ordering::SeqCst);
        let body = format!(r#"{{"born":{}}}"#, self.born);
        self.tell(admin, "DELETE", &body)
    }

    /// Calls the daemon at `admin`; returns whether that was acknowledged within a second.
    pub fn tell(&self, admin: SocketAddr, method: &str, body: &str) -> bool {
        let path = format!("/coltsfootweir/endpoints/{}", self.id);
        let headers = [("Host", "daemon"), ("Content-Type", "application/json")];
        let limit = Duration::from_secs(1);
        let answer = call(admin, method, &path, &headers, body.as_bytes(), limit);
        answer.is_some_and(|(head, _)| (200..300).contains(&head.status()))
    }

    fn serve(&self, stream: TcpStream, work: &EndpointWork) {
        let _ = stream.set_nodelay(true);
        let mut reader = HttpReader::new(stream);
        while let Some(head) = reader.head() {
            let id = head.header("request-id").to_owned();
            self.arrivals
                .lock()
                .expect("no holder panicked")
                .push(Instant::now());
            let expected = head.header("expected-instance");
            if !expected.is_empty() && expected != self.id {
                let _ = reader.body(&head);
                self.record
                    .line(format!("endpoint {} refuses {id}: not {expected}", self.id));
                let answer = format!(
                    "HTTP/1.1 421 -\r\nRequest-Id: {id}\r\nNot-Processed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                if reader.stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            self.runs
                .lock()
                .expect("no holder panicked")
                .push(id.clone());
            self.record.line(format!(
                "endpoint {} begins {id} ({}, Timeout-Ms {})",
                self.id,
                head.start,
                head.header("timeout-ms")
            ));
            if !work(self, &head, &mut reader) {
                return;
            }
        }
    }

    /// Signature of this endpoint's answers.
    pub fn signature(&self) -> String {
        format!("sig-{}", self.id)
    }

    /// Refuses a request because no slot is free; it has not run.
    pub fn refuse(&self, id: &str, reader: &mut HttpReader) -> bool {
        let mut runs = self.runs.lock().expect("no holder panicked");
        runs.retain(|run| run != id);
        drop(runs);
        self.record.line(format!(
            "endpoint {} refuses {id} with 503, Not-Processed",
            self.id
        ));
        let text = format!(
            "HTTP/1.1 503 Service Unavailable\r\nNot-Processed: 1\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n"
        );
        reader.stream.write_all(text.as_bytes()).is_ok()
    }

    /// Writes a whole good answer.
    pub fn answer(&self, id: &str, body: &[u8], reader: &mut HttpReader) -> bool {
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nUpstream-Signature: {}\r\nKeep-Alive: timeout=10\r\nContent-Length: {}\r\n\r\n",
            self.signature(),
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        reader.stream.write_all(&bytes).is_ok()
    }
}
