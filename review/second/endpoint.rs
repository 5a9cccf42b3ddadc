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
    pub is_leaving: AtomicBool,
    /// Ids of the requests that began to run.
    pub runs: Mutex<Vec<String>>,
}

/// Interval between two announcements; the settings name the same.
pub const HEARTBEAT: Duration = Duration::from_millis(500);

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
        is_leaving: AtomicBool::new(false),
        runs: Mutex::default(),
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
    fn announce(&self, admin: SocketAddr) {
        let word = match self.is_leaving.load(Ordering::SeqCst) {
            true => "draining",
            false => "healthy",
        };
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let (address, born, service, zone) = (self.address, self.born, &self.service, &self.zone);
        let body = format!(
            r#"{{"address":"{address}","born":{born},"info":{{"service":"{service}","version":"v1","zone":"{zone}","capacity":9}},"status":{{"state":"{word}","sequence":{sequence},"warmup_left_ms":0}}}}"#
        );
        let path = format!("/coltsfootweir/endpoints/{}", self.id);
        let headers = [("Host", "daemon"), ("Content-Type", "application/json")];
        // A daemon that is not up yet is called again.
        let _ = call(
            admin,
            "PUT",
            &path,
            &headers,
            body.as_bytes(),
            Duration::from_secs(1),
        );
    }

    fn serve(&self, stream: TcpStream, work: &EndpointWork) {
        let _ = stream.set_nodelay(true);
        let mut reader = HttpReader::new(stream);
        while let Some(head) = reader.head() {
            let id = head.header("request-id").to_owned();
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
