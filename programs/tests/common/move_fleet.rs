//! A fleet with two versions of a service, callers, and a look at its moves.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use coltsfootweir::accept::fetch_snapshot;
use coltsfootweir::accept::read_head;
use coltsfootweir::http_platform::HttpPlatform;
use coltsfootweir::lease::LeaseRow;
use coltsfootweir::mover::lease_key;
use coltsfootweir::platform::PlatformStore;
use coltsfootweir::record::MoveRecord;

use super::DaemonProcess;
use super::DaemonSpec;
use super::PATIENCE;
use super::PlatformProcess;
use super::UpstreamProcess;
use super::apply_move;
use super::apply_service;
use super::call;
use super::read_status;
use super::start_daemon_with;
use super::start_platform;
use super::start_upstream;
use super::wait_for;

/// Callers at once.
const CALLERS: u64 = 4;

/// Time between two calls of a caller.
const CALL_PAUSE: Duration = Duration::from_millis(8);

/// One service's daemons and upstreams, by version.
pub struct MoveFleet {
    pub platform: PlatformProcess,
    pub daemons: Vec<DaemonProcess>,
    pub upstreams: Vec<(String, UpstreamProcess)>,
}

impl MoveFleet {
    /// Starts a daemon and an upstream for each `service/version`, spread over two regions.
    pub fn start(endpoints: &[&str]) -> MoveFleet {
        let platform = start_platform();
        let mut fleet = MoveFleet {
            platform,
            daemons: Vec::new(),
            upstreams: Vec::new(),
        };
        let pace = [
            "--move-dwell=1500ms".to_string(),
            "--move-settle=4s".to_string(),
        ];
        for (number, endpoint) in endpoints.iter().enumerate() {
            let region = if number % 3 == 2 { "south" } else { "north" };
            let mut spec = DaemonSpec::new(fleet.platform.address, region, region);
            spec.seeds = fleet
                .daemons
                .iter()
                .take(3)
                .map(|daemon| daemon.control)
                .collect();
            let daemon = start_daemon_with(&spec, &pace);
            let (service, version) = endpoint.split_once('/').expect("service/version");
            let upstream = start_upstream(daemon.control, service, version);
            fleet.upstreams.push(((*endpoint).into(), upstream));
            fleet.daemons.push(daemon);
        }
        fleet
    }

    /// Accepts the records of a service with versions v1 and v2.
    pub fn apply_service(&self, service: &str) {
        apply_service(self.platform.address, service);
    }

    /// Accepts a move from v1 to v2, to be done in `seconds`.
    pub fn apply_move(&self, service: &str, seconds: u64) {
        apply_move(self.platform.address, service, seconds);
    }

    /// Waits until every daemon serves `generation` and knows every endpoint.
    pub fn wait_ready(&self, generation: u64) {
        for daemon in &self.daemons {
            wait_for("daemon ready", PATIENCE, || {
                read_status(daemon.control).is_some_and(|status| {
                    let known = status
                        .members
                        .iter()
                        .filter(|entry| entry.endpoint.is_some());
                    status.generation >= generation && known.count() == self.daemons.len()
                })
            });
        }
    }

    pub fn call_addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.calls).collect()
    }

    fn store(&self) -> HttpPlatform {
        HttpPlatform::new(self.platform.address, Duration::from_secs(2))
    }

    /// The move as accepted; `None` while the store is down.
    pub fn read_move(&self, service: &str) -> Option<MoveRecord> {
        let store = self.store();
        let mark = read_head(&store).ok()?;
        let snapshot = fetch_snapshot(&store, &mark).ok()?;
        snapshot
            .moves
            .get(format!("{service}-v2").as_str())
            .cloned()
    }

    /// Control address of the member that holds the lease of a move.
    pub fn lease_holder(&self, service: &str) -> Option<SocketAddr> {
        let row = self
            .store()
            .read_row(&lease_key(&format!("{service}-v2")))
            .ok()??;
        let row: LeaseRow = serde_json::from_str(&row.value).ok()?;
        row.holder?.parse().ok()
    }

    /// Waits until the new version gets at least `checks` percent of the checks.
    pub fn wait_share(&self, service: &str, checks: u8) {
        wait_for("share of the move", PATIENCE, || {
            self.read_move(service)
                .is_some_and(|record| record.share.checks >= checks)
        });
    }

    /// Sets faults, as JSON, at the upstreams of `service/version`; returns how many there are.
    pub fn set_faults(&self, endpoint: &str, faults: &str) -> usize {
        let mut count = 0;
        for (_, upstream) in self.upstreams.iter().filter(|(own, _)| own == endpoint) {
            set_faults(upstream, faults);
            count += 1;
        }
        count
    }

    /// Switches the platform's outage.
    pub fn set_outage(&self, outage: bool) {
        let body = format!(r#"{{"outage": {outage}}}"#);
        let url = format!("http://{}/faults", self.platform.address);
        let answer = minreq::post(url)
            .with_body(body)
            .with_timeout(5)
            .send()
            .expect("answer");
        assert_eq!(answer.status_code, 200);
    }
}

pub fn set_faults(upstream: &UpstreamProcess, faults: &str) {
    let url = format!("http://{}/standin/faults", upstream.address);
    let answer = minreq::post(url)
        .with_body(faults)
        .with_timeout(5)
        .send()
        .expect("answer");
    assert_eq!(answer.status_code, 200, "{}", answer.as_str().unwrap_or(""));
}

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
