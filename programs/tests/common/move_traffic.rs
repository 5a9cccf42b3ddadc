//! Callers of a service under a move, and what they saw.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use super::call;

/// Callers at once.
const CALLERS: u64 = 4;

/// Time between two calls of a caller.
const CALL_PAUSE: Duration = Duration::from_millis(8);

/// One answer that a caller saw.
#[derive(Clone, Debug)]
pub struct SeenAnswer {
    pub at: Instant,
    pub is_booking: bool,
    pub status: u16,
    pub version: Option<String>,
}

/// Callers of one service.
pub struct MoveTraffic {
    seen: Arc<Mutex<Vec<SeenAnswer>>>,
    stop: Vec<mpsc::Sender<()>>,
    callers: Vec<JoinHandle<()>>,
}

impl MoveTraffic {
    pub fn start(service: &str, addresses: &[SocketAddr]) -> MoveTraffic {
        let seen = Arc::new(Mutex::new(Vec::new()));
        let mut traffic = MoveTraffic {
            seen,
            stop: Vec::new(),
            callers: Vec::new(),
        };
        for number in 0..CALLERS {
            let (stop, ticks) = mpsc::channel();
            let (service, addresses) = (service.to_string(), addresses.to_vec());
            let seen = Arc::clone(&traffic.seen);
            traffic.stop.push(stop);
            traffic.callers.push(thread::spawn(move || {
                let mut count = number;
                while matches!(
                    ticks.recv_timeout(CALL_PAUSE),
                    Err(mpsc::RecvTimeoutError::Timeout)
                ) {
                    count += 1;
                    let address = addresses[count as usize % addresses.len()];
                    let answer = send_one(address, &service, count % 3 == 0);
                    seen.lock().expect("no caller panicked").extend(answer);
                }
            }));
        }
        traffic
    }

    pub fn seen(&self) -> Vec<SeenAnswer> {
        self.seen.lock().expect("no caller panicked").clone()
    }

    /// Time since the last answer of a version.
    pub fn since_last(&self, version: &str) -> Option<Duration> {
        let seen = self.seen();
        let last = seen
            .iter()
            .rev()
            .find(|answer| answer.version.as_deref() == Some(version))?;
        Some(last.at.elapsed())
    }
}

impl Drop for MoveTraffic {
    fn drop(&mut self) {
        self.stop.clear();
        for caller in self.callers.drain(..) {
            let _ = caller.join();
        }
    }
}

fn send_one(address: SocketAddr, service: &str, is_booking: bool) -> Option<SeenAnswer> {
    let answer = if is_booking {
        let path = format!("/-/booking-key?path=/{service}/book");
        let key = call(address, "POST", &path, &[]).filter(|answer| answer.status == 200)?;
        let headers = [("idempotency-key", key.body.trim())];
        call(address, "POST", &format!("/{service}/book/one"), &headers)?
    } else {
        call(address, "GET", &format!("/{service}/check/free"), &[])?
    };
    let body: Option<serde_json::Value> = serde_json::from_str(&answer.body).ok();
    let version = body.and_then(|body| Some(body.get("version")?.as_str()?.to_string()));
    Some(SeenAnswer {
        at: Instant::now(),
        is_booking,
        status: answer.status,
        version,
    })
}
