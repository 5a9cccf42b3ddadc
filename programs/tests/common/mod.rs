//! Starts real processes for tests and talks to them; each is killed when its handle is dropped.

#![allow(dead_code)]

pub mod booking_callers;
pub mod call_checks;
pub mod call_fleet;
pub mod caller;
pub mod caller_threads;
pub mod generation_watch;
pub mod json_http;
pub mod local_fleet;
pub mod member_counts;
pub mod move_fleet;
pub mod move_reads;
pub mod move_traffic;
pub mod net_store;
pub mod operator;
pub mod post_proxy;
pub mod process_fleet;
pub mod records;
pub mod region_moves;
pub mod test_net;

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use coltsfootweir::reports::DaemonStatus;
use standins::port_holder::PortHolder;

use caller_threads::pause;
use records::list_text;
use records::move_text;
use records::route_text;
use records::version_text;

/// Longest time any condition of a test may take.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// Time within which an accepted configuration is in force on every live daemon.
pub const CONVERGENCE_TARGET: Duration = Duration::from_secs(19);

/// Time between two looks at a condition.
const POLL: Duration = Duration::from_millis(20);

/// A child process, killed on drop.
pub struct TestProcess {
    pub child: Child,
    pub first_line: String,
}

impl TestProcess {
    pub fn start(program: &str, arguments: &[String]) -> TestProcess {
        let mut child = Command::new(program_path(program))
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("program starts");
        let mut first_line = String::new();
        let out = child.stdout.take().expect("standard output is piped");
        let read = BufReader::new(out).read_line(&mut first_line);
        read.expect("first line");
        TestProcess { child, first_line }
    }

    /// Addresses on the first line, in order.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let words = self.first_line.split_whitespace();
        words.filter_map(|word| word.parse().ok()).collect()
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal by name, such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) {
        send_signal(&self.child, name);
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sends a signal by name to a child process.
pub fn send_signal(child: &Child, name: &str) {
    let status = Command::new("kill")
        .args([format!("-{name}"), child.id().to_string()])
        .status()
        .expect("kill runs");
    assert!(status.success(), "signal {name} not sent");
}

/// Path of a program of the workspace, built beside the daemon.
pub fn program_path(program: &str) -> PathBuf {
    let daemon = PathBuf::from(env!("CARGO_BIN_EXE_coltsfootweird"));
    daemon.with_file_name(program)
}

/// A daemon process.
pub struct DaemonProcess {
    pub process: TestProcess,
    pub control: SocketAddr,
    pub calls: SocketAddr,
}

/// An upstream process.
pub struct UpstreamProcess {
    pub process: TestProcess,
    pub address: SocketAddr,
    pub flags: Vec<String>,
}

/// A platform process.
pub struct PlatformProcess {
    pub process: TestProcess,
    pub address: SocketAddr,
}

pub fn start_platform() -> PlatformProcess {
    let process = TestProcess::start("standin-platform", &[]);
    let address = process.addresses()[0];
    PlatformProcess { process, address }
}

/// Where a daemon stands and whom it joins.
#[derive(Clone, Debug)]
pub struct DaemonSpec {
    pub control: String,
    pub region: String,
    pub zone: String,
    pub platform: SocketAddr,
    pub seeds: Vec<SocketAddr>,
}

impl DaemonSpec {
    pub fn new(platform: SocketAddr, region: &str, zone: &str) -> DaemonSpec {
        DaemonSpec {
            control: "127.0.0.1:0".into(),
            region: region.into(),
            zone: zone.into(),
            platform,
            seeds: Vec::new(),
        }
    }
}

pub fn start_daemon(spec: &DaemonSpec) -> DaemonProcess {
    start_daemon_with(spec, &[])
}

/// Starts a daemon with further flags.
pub fn start_daemon_with(spec: &DaemonSpec, flags: &[String]) -> DaemonProcess {
    let seeds: Vec<String> = spec.seeds.iter().map(SocketAddr::to_string).collect();
    let mut arguments = vec![
        format!("--control={}", spec.control),
        format!("--region={}", spec.region),
        format!("--zone={}", spec.zone),
        format!("--platform={}", spec.platform),
        "--store-region=north".into(),
        format!("--seeds={}", seeds.join(",")),
    ];
    arguments.extend(flags.iter().cloned());
    let process = TestProcess::start("coltsfootweird", &arguments);
    let addresses = process.addresses();
    DaemonProcess {
        process,
        control: addresses[0],
        calls: addresses[1],
    }
}

pub fn start_upstream(daemon: SocketAddr, service: &str, version: &str) -> UpstreamProcess {
    let flags = [
        format!("--service={service}"),
        format!("--version={version}"),
    ];
    start_upstream_with(daemon, &flags)
}

pub fn start_upstream_with(daemon: SocketAddr, flags: &[String]) -> UpstreamProcess {
    let mut arguments = vec![format!("--daemon={daemon}")];
    arguments.extend_from_slice(flags);
    let process = TestProcess::start("standin-upstream", &arguments);
    UpstreamProcess {
        address: process.addresses()[0],
        process,
        flags: flags.to_vec(),
    }
}

/// Runs the operator's program to its end.
pub fn run_operator(arguments: &[&str], input: &str) -> Output {
    use std::io::Write;
    let mut child = Command::new(program_path("coltsfootweir"))
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("operator's program starts");
    let mut pipe = child.stdin.take().expect("standard input is piped");
    // A program that ends or has read enough closes its end.
    let _ = pipe.write_all(input.as_bytes());
    drop(pipe);
    child.wait_with_output().expect("operator's program ends")
}

/// Accepts records, which must succeed.
pub fn apply(platform: SocketAddr, records: &str) {
    let address = platform.to_string();
    let output = run_operator(&["apply", "--platform", &address, "-"], records);
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{error}");
}

/// Accepts the records of a service with versions v1 and v2.
pub fn apply_service(platform: SocketAddr, service: &str) {
    let booking = format!(
        r#"{{"kind": "route", "schema": 1, "name": "{service}-book", "service": "{service}",
            "prefix": "/{service}/book", "class": "booking", "timeout_ms": 2000}}"#
    );
    let check = format!("/{service}/check");
    let records = [
        version_text(service, "v1", 100),
        version_text(service, "v2", 0),
        route_text(&format!("{service}-check"), service, &check, 2000),
        booking,
    ];
    apply(platform, &list_text(&records));
}

/// Accepts a move from v1 to v2, to be done in `seconds`.
pub fn apply_move(platform: SocketAddr, service: &str, seconds: u64) {
    apply(
        platform,
        &move_text(&format!("{service}-v2"), service, seconds),
    );
}

pub fn read_status(control: SocketAddr) -> Option<DaemonStatus> {
    let request = minreq::get(format!("http://{control}/status"));
    let response = request.with_timeout(2).send().ok()?;
    serde_json::from_slice(response.as_bytes()).ok()
}

/// Looks at a condition until it holds; fails the test after `limit`.
pub fn wait_for(what: &str, limit: Duration, mut condition: impl FnMut() -> bool) -> Duration {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < limit, "{what}: not within {limit:?}");
        pause(POLL);
    }
    start.elapsed()
}

/// Looks at each until it is done; fails the test after `limit`.
pub fn wait_each(
    what: &str,
    limit: Duration,
    indexes: &[usize],
    is_done: impl Fn(usize) -> bool,
) -> Duration {
    let mut left = indexes.to_vec();
    wait_for(what, limit, || {
        left.retain(|index| !is_done(*index));
        left.is_empty()
    })
}

/// Lets `time` pass while the condition is checked to hold all along.
pub fn hold_for(what: &str, time: Duration, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    wait_for(what, time + PATIENCE, || {
        assert!(condition(), "{what}: did not hold");
        start.elapsed() >= time
    });
}

/// Answer to a call, as the caller sees it.
#[derive(Debug)]
pub struct CallAnswer {
    pub status: u16,
    pub outcome: String,
    pub request_id: String,
    pub body: String,
}

/// Sends a call; `None` when no answer came.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
) -> Option<CallAnswer> {
    let method = minreq::Method::Custom(method.into());
    let mut request = minreq::Request::new(method, format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.with_header(*name, *value);
    }
    let response = request.with_timeout(10).send().ok()?;
    let header = |name: &str| response.header(name).unwrap_or("").to_string();
    Some(CallAnswer {
        status: response.status_code,
        outcome: header("x-coltsfootweir-outcome"),
        request_id: header("x-request-id"),
        body: response.as_str().unwrap_or("").to_string(),
    })
}

/// A loopback address that nothing listens on and that no other socket is given while the test's
/// process lives; a daemon may listen on it.
pub fn free_address() -> SocketAddr {
    static HELD: Mutex<Vec<PortHolder>> = Mutex::new(Vec::new());
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let holder = PortHolder::bind(any).expect("a port is free");
    let address = holder.address();
    HELD.lock().expect("ports are held").push(holder);
    address
}
