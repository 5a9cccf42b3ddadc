//! A fleet of processes for the proofs of calls: a platform, daemons and an upstream beside each.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use standins::run_log::RunEntry;
use standins::upstream::UpstreamServer;
use standins::upstream_settings::UpstreamSettings;
use standins::upstream_stats::UpstreamStats;

use super::DaemonProcess;
use super::DaemonSpec;
use super::PATIENCE;
use super::PlatformProcess;
use super::TestProcess;
use super::UpstreamProcess;
use super::apply;
use super::caller::CallSpec;
use super::caller::WholeAnswer;
use super::caller::call_once;
use super::free_address;
use super::read_status;
use super::start_daemon;
use super::start_platform;
use super::wait_for;

/// Checks under `/stalls`, bookings under `/bookings`, both at one version.
pub const RECORDS: &str = r#"[
  {"kind": "upstream-version", "schema": 1, "service": "stalls", "version": "v1", "share": 100},
  {"kind": "route", "schema": 1, "name": "stalls", "service": "stalls", "prefix": "/stalls",
   "class": "check", "timeout_ms": 2000},
  {"kind": "route", "schema": 1, "name": "bookings", "service": "stalls", "prefix": "/bookings",
   "class": "booking", "timeout_ms": 2000}
]"#;

/// Time between two looks at the counts of an upstream.
const STATS_TIMEOUT_SECONDS: u64 = 5;

/// Processes on loopback; each is killed on drop.
pub struct TestFleet {
    pub platform: PlatformProcess,
    pub daemons: Vec<DaemonProcess>,
    pub upstreams: Vec<UpstreamProcess>,
    /// Upstreams in the test's own process; their logs outlast their crashes.
    pub servers: Vec<UpstreamServer>,
    upstream_flags: Vec<String>,
}

impl TestFleet {
    /// Starts `count` daemons with an upstream process each and waits until all serve.
    pub fn start(count: usize, upstream_flags: &[&str]) -> TestFleet {
        let mut fleet = TestFleet::empty();
        fleet.upstream_flags = upstream_flags.iter().map(ToString::to_string).collect();
        for _ in 0..count {
            let daemon = start_daemon(&fleet.daemon_spec(free_address()));
            let upstream = start_upstream_with(daemon.control, &fleet.upstream_flags);
            fleet.daemons.push(daemon);
            fleet.upstreams.push(upstream);
        }
        fleet.open()
    }

    /// Starts `count` daemons with an upstream each in the test's own process, whose log outlasts
    /// its crashes, and waits until all serve.
    pub fn start_logged(count: usize, settings: &UpstreamSettings) -> TestFleet {
        let mut fleet = TestFleet::empty();
        for _ in 0..count {
            let daemon = start_daemon(&fleet.daemon_spec(free_address()));
            let mut settings = settings.clone();
            settings.daemon = Some(daemon.control);
            let server = UpstreamServer::start(settings).expect("upstream starts");
            fleet.daemons.push(daemon);
            fleet.servers.push(server);
        }
        fleet.open()
    }

    fn empty() -> TestFleet {
        TestFleet {
            platform: start_platform(),
            daemons: Vec::new(),
            upstreams: Vec::new(),
            servers: Vec::new(),
            upstream_flags: Vec::new(),
        }
    }

    fn open(self) -> TestFleet {
        apply(self.platform.address, RECORDS);
        self.wait_ready();
        self
    }

    fn daemon_spec(&self, control: SocketAddr) -> DaemonSpec {
        let mut spec = DaemonSpec::new(self.platform.address, "north", "zaandam");
        spec.control = control.to_string();
        spec.seeds = self.daemons.iter().map(|daemon| daemon.control).collect();
        spec
    }

    /// Waits until every daemon serves the records and knows every endpoint as ready.
    pub fn wait_ready(&self) {
        for daemon in &self.daemons {
            wait_for("fleet ready", PATIENCE, || {
                read_status(daemon.control).is_some_and(|status| {
                    let ready = status.members.iter().filter(|entry| {
                        let endpoint = entry.endpoint.as_ref();
                        endpoint.is_some_and(|endpoint| format!("{:?}", endpoint.phase) == "Ready")
                    });
                    status.generation >= 1 && ready.count() == self.daemons.len()
                })
            });
        }
    }

    pub fn calls(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.calls).collect()
    }

    /// Kills a daemon and starts it again at the same control address; its upstream stays.
    pub fn restart_daemon(&mut self, index: usize) {
        self.daemons[index].process.kill();
        let control = self.daemons[index].control;
        let mut spec = self.daemon_spec(control);
        spec.seeds.retain(|seed| *seed != control);
        self.daemons[index] = start_daemon(&spec);
    }

    /// Kills an upstream process and starts another in its place, with an empty log.
    pub fn restart_upstream(&mut self, index: usize) {
        self.upstreams[index].process.kill();
        let control = self.daemons[index].control;
        self.upstreams[index] = start_upstream_with(control, &self.upstream_flags);
    }

    /// Runs in the logs of the living upstreams.
    pub fn runs(&self) -> Vec<RunEntry> {
        let mut runs = Vec::new();
        for server in &self.servers {
            runs.extend(server.runs());
        }
        for upstream in &self.upstreams {
            runs.extend(read_runs(upstream.address));
        }
        runs
    }

    /// Sets the faults of every upstream, JSON.
    pub fn set_upstream_faults(&self, faults: &str) {
        for upstream in &self.upstreams {
            set_faults(
                &format!("http://{}/standin/faults", upstream.address),
                faults,
            );
        }
    }

    /// Sets the faults of the platform, JSON.
    pub fn set_platform_faults(&self, faults: &str) {
        set_faults(&format!("http://{}/faults", self.platform.address), faults);
    }
}

pub fn set_faults(url: &str, faults: &str) {
    let answer = minreq::post(url).with_body(faults).with_timeout(10).send();
    assert_eq!(answer.expect("faults are set").status_code, 200);
}

pub fn start_upstream_with(daemon: SocketAddr, flags: &[String]) -> UpstreamProcess {
    let mut arguments = vec![format!("--daemon={daemon}")];
    arguments.extend_from_slice(flags);
    let process = TestProcess::start("standin-upstream", &arguments);
    let address = process.addresses()[0];
    UpstreamProcess { process, address }
}

/// Reads a whole run log; one that cannot be read fails the test.
pub fn read_runs(upstream: SocketAddr) -> Vec<RunEntry> {
    let answer = call_once(upstream, &CallSpec::get("/standin/runs"));
    let answer = answer.whole().expect("run log is read whole");
    serde_json::from_slice(&answer.body).expect("run log is JSON")
}

pub fn read_stats(upstream: SocketAddr) -> UpstreamStats {
    let url = format!("http://{upstream}/standin/stats");
    let answer = minreq::get(url).with_timeout(STATS_TIMEOUT_SECONDS).send();
    serde_json::from_slice(answer.expect("counts").as_bytes()).expect("counts are JSON")
}

/// Identities of the requests that ran.
pub fn run_ids(runs: &[RunEntry]) -> HashSet<String> {
    let ids = runs
        .iter()
        .filter_map(|run| run.request.request_id.as_deref());
    ids.map(str::to_string).collect()
}

/// Times each booking key ran.
pub fn run_counts(runs: &[RunEntry]) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    for run in runs {
        if let Some(key) = &run.request.idempotency_key {
            *counts.entry(key.to_string()).or_default() += 1;
        }
    }
    counts
}

/// Fails the test when a key ran more than once.
pub fn assert_at_most_once(runs: &[RunEntry]) {
    for (key, count) in run_counts(runs) {
        assert_eq!(count, 1, "booking key {key} ran {count} times");
    }
}

/// Fails the test unless a good answer is the whole answer to this very request.
pub fn assert_own(answer: &WholeAnswer, id: &str, size: usize) {
    if !answer.is_good() {
        assert_ne!(
            answer.status,
            200,
            "{id}: 200 that did not run: {}",
            answer.text()
        );
        return;
    }
    assert_eq!(answer.header("x-request-id"), id);
    let body: serde_json::Value = serde_json::from_slice(&answer.body)
        .unwrap_or_else(|error| panic!("{id}: answer is not whole: {error}"));
    assert_eq!(body["request_id"], id, "answer to a different request");
    assert!(
        answer.body.len() >= size,
        "{id}: {} of {size} bytes",
        answer.body.len()
    );
}

/// Asks for a booking key for `/bookings` through a daemon.
pub fn mint_key(calls: SocketAddr) -> Option<String> {
    let spec = CallSpec::post("/-/booking-key?path=/bookings/stall", "");
    let answer = call_once(calls, &spec).whole()?;
    answer.is_good().then(|| answer.text())
}

/// Runs `work` on `count` threads, each with its number, and returns what each came to.
pub fn run_callers<T: Send>(count: usize, work: impl Fn(usize) -> T + Sync) -> Vec<T> {
    thread::scope(|scope| {
        let work = &work;
        let threads: Vec<_> = (0..count)
            .map(|number| scope.spawn(move || work(number)))
            .collect();
        let ends = threads.into_iter().map(|thread| thread.join());
        ends.map(|end| end.expect("caller ends")).collect()
    })
}

/// Paces a caller or a failure.
pub fn pause(time: Duration) {
    let (_open, ticks) = std::sync::mpsc::channel::<()>();
    let _ = ticks.recv_timeout(time);
}

/// Tells callers to stop when it is dropped, also by a failure of the test.
pub struct StopOnDrop<'a>(pub &'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}
