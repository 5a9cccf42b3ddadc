//! Clients that do not keep the limits: the process lives, stays within the memory and descriptors of
//! its settings, and answers an ordinary request afterwards.

mod common;
mod sidecar;

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use common::PATIENCE;
use common::caller::CallSpec;
use common::caller_threads::pause;
use common::caller_threads::run_callers;
use common::wait_for;
use sidecar::sidecar_fleet::ConfigTerms;
use sidecar::sidecar_fleet::STALLS;
use sidecar::sidecar_fleet::SidecarFleet;
use sidecar::sidecar_fleet::SidecarTerms;

/// One test runs at a time: each measures the memory of a process while it is flooded.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Memory of the VM in the settings, in MB.
const MEMORY_MB: u64 = 60;

/// Descriptors of the VM in the settings.
const MAX_FDS: usize = 300;

/// Bytes of a MB in the settings.
const MB: u64 = 1_000_000;

/// Connections of a crowd that sends bodies.
const CROWD: usize = 8;

/// Bytes that each connection of a crowd sends: together more than three times the memory.
const FLOOD: usize = 24 * 1024 * 1024;

/// Size of the pieces in which a flood is sent.
const PIECE: usize = 64 * 1024;

/// Limit on bodies in the configuration.
const MAX_BODY: usize = 67_108_864;

/// Route with time for the largest body. A debug build reads and hashes 64 MiB in more than the 2.5 s of
/// the other routes.
const LARGE_ROUTE: &str = r#",{"name":"large","authority":"test","prefix":"/large/",
    "kind":"idempotent","timeout_ms":30000,"target_latency_ms":20000,"priority":2,"service":"stalls",
    "attempts":2}"#;

/// Wait for an answer to a client that breaks the limits; it need not get one.
const ANSWER_WAIT: Duration = Duration::from_secs(5);

/// A sidecar with an endpoint and lowered limits.
struct LimitedSite {
    fleet: SidecarFleet,
    memory: u64,
    _alone: MutexGuard<'static, ()>,
}

impl LimitedSite {
    fn start() -> LimitedSite {
        LimitedSite::start_with(MEMORY_MB, MAX_BODY)
    }

    fn start_with(memory_mb: u64, max_body: usize) -> LimitedSite {
        let alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
        let terms = SidecarTerms {
            limits: format!("memory_mb = {memory_mb}\nmax_fds = {MAX_FDS}"),
            ..SidecarTerms::default()
        };
        let fleet = SidecarFleet::start_with(&terms, &[(STALLS, "v1")]);
        let config = ConfigTerms {
            limits: format!(
                r#"{{"max_header_bytes":16384,"max_body_bytes":{max_body},"header_timeout_ms":3000,
                "idle_timeout_ms":15000}}"#
            ),
            routes: LARGE_ROUTE.to_owned(),
            ..ConfigTerms::default()
        };
        fleet.put_config_with(1, &config);
        fleet.wait_config(1);
        fleet.wait_endpoints();
        LimitedSite {
            fleet,
            memory: memory_mb * MB,
            _alone: alone,
        }
    }

    fn requests(&self) -> SocketAddr {
        self.fleet.sidecars[0].requests
    }

    /// Checks what holds at any moment, also while clients break the limits.
    fn check_bounds(&mut self) {
        let sidecar = &mut self.fleet.sidecars[0];
        assert!(!sidecar.has_ended(), "the process ended");
        let descriptors = sidecar.open_descriptors();
        assert!(descriptors <= MAX_FDS, "{descriptors} descriptors");
        let peak = sidecar.peak_memory();
        assert!(peak <= self.memory, "{peak} bytes of {}", self.memory);
    }

    /// Checks the bounds and that an ordinary request is answered.
    fn check(&mut self) {
        self.check_bounds();
        let sidecar = &self.fleet.sidecars[0];
        wait_for("an ordinary request is answered", PATIENCE, || {
            let spec = sidecar::sidecar_fleet::request("GET", "/free/ok", "after", 2_000);
            sidecar
                .call(&spec)
                .is_some_and(|answer| answer.status == 200)
        });
        assert!(sidecar.is_ready(), "not ready");
        self.check_bounds();
    }
}

fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, ANSWER_WAIT).ok()?;
    stream.set_read_timeout(Some(ANSWER_WAIT)).ok()?;
    stream.set_write_timeout(Some(ANSWER_WAIT)).ok()?;
    Some(stream)
}

fn head(more: &str) -> String {
    format!("POST /free/ok HTTP/1.1\r\nhost: test\r\nrequest-id: flood\r\n{more}\r\n")
}

/// Sends `start`, and then `piece` until `total` bytes are sent or the connection is closed.
fn flood(address: SocketAddr, start: &str, piece: &[u8], total: usize) -> Option<TcpStream> {
    let mut stream = connect(address)?;
    let mut is_open = stream.write_all(start.as_bytes()).is_ok();
    let mut sent = 0;
    while is_open && sent < total {
        is_open = stream.write_all(piece).is_ok();
        sent += piece.len();
    }
    Some(stream)
}

/// Reads until the connection is closed or silent; returns the beginning of what came.
fn read_rest(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut piece = [0; 4096];
    while let Ok(count) = stream.read(&mut piece) {
        if count == 0 {
            break;
        }
        let room = 4096usize.saturating_sub(bytes.len());
        bytes.extend_from_slice(&piece[..count.min(room)]);
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Guards against bodies over the limit that are read before they are refused.
#[test]
fn announced_bodies_far_over_the_limit_stay_within_memory() {
    let mut site = LimitedSite::start();
    let address = site.requests();
    let start = head("content-length: 1073741824\r\n");
    let piece = vec![b'x'; PIECE];
    let streams = run_callers(CROWD, |_| flood(address, &start, &piece, FLOOD));
    site.check_bounds();
    drop(streams);
    site.check();
}

/// Guards against bodies of unstated length that are collected without a bound on their sum.
#[test]
fn chunked_bodies_without_end_stay_within_memory() {
    let mut site = LimitedSite::start();
    let address = site.requests();
    let start = head("transfer-encoding: chunked\r\n");
    let mut piece = format!("{PIECE:x}\r\n").into_bytes();
    piece.resize(piece.len() + PIECE, b'x');
    piece.extend_from_slice(b"\r\n");
    let streams = run_callers(CROWD, |_| flood(address, &start, &piece, FLOOD * 2));
    site.check_bounds();
    drop(streams);
    site.check();
}

/// Guards against the sum of bodies that are each inside the limit.
#[test]
fn burst_of_bodies_inside_the_limit_stays_within_memory() {
    let mut site = LimitedSite::start();
    let address = site.requests();
    let start = head(&format!("content-length: {FLOOD}\r\n"));
    let piece = vec![b'x'; PIECE];
    run_callers(CROWD, |_| {
        if let Some(mut stream) = flood(address, &start, &piece, FLOOD) {
            read_rest(&mut stream);
        }
    });
    site.check();
}

/// Guards against a limit that refuses a body which the configuration and the memory allow.
#[test]
fn single_body_at_the_limit_is_served() {
    let mut site = LimitedSite::start_with(160, MAX_BODY);
    let spec = CallSpec::post("/large/ok", vec![b'x'; MAX_BODY]).with("request-id", "largest");
    let answer = site.fleet.sidecars[0].call(&spec);
    let answer = answer.expect("a whole answer");
    assert_eq!(answer.status, 200, "{}", answer.text());
    let seen = site.fleet.endpoints[0].seen();
    let run = seen.iter().find(|seen| seen.id() == "largest");
    assert_eq!(run.expect("a run").body.len(), MAX_BODY);
    site.check();
}

/// Guards against heads that are collected without a bound.
#[test]
fn heads_over_the_limit_stay_within_memory() {
    let mut site = LimitedSite::start();
    let address = site.requests();
    let line = "GET /free/ok HTTP/1.1\r\nhost: test\r\n";
    let long = format!("x-long: {}\r\n", "y".repeat(PIECE));
    let endless = vec![b'z'; PIECE];
    let many: String = (0..2_000)
        .map(|number| format!("x-{number}: 1\r\n"))
        .collect();
    for (start, piece, total) in [
        (line.to_owned(), long.as_bytes(), FLOOD),
        (format!("{line}x-endless: "), &endless, FLOOD),
        (line.to_owned(), many.as_bytes(), many.len()),
        ("GET /".to_owned(), &endless, FLOOD),
    ] {
        let streams = run_callers(CROWD, |_| flood(address, &start, piece, total));
        site.check_bounds();
        drop(streams);
        site.check();
    }
}

/// Guards against requests that hold a connection or a buffer while bytes come one at a time.
#[test]
fn bytes_one_at_a_time_leave_room_for_others() {
    let mut site = LimitedSite::start();
    let address = site.requests();
    let text = format!("{}{}", head("content-length: 1000\r\n"), "x".repeat(40));
    let streams = run_callers(CROWD * 4, |_| {
        let mut stream = connect(address)?;
        for byte in text.as_bytes() {
            if stream.write_all(&[*byte]).is_err() {
                break;
            }
            pause(Duration::from_millis(5));
        }
        Some(stream)
    });
    site.check();
    drop(streams);
    site.check();
}

/// Guards against silent connections that use up the descriptors.
#[test]
fn silent_connections_stay_within_the_descriptors() {
    let mut site = LimitedSite::start();
    let address = site.requests();
    let mut streams = Vec::new();
    for _ in 0..MAX_FDS * 2 {
        streams.extend(connect(address));
    }
    site.check();
    drop(streams);
    site.check();
}

/// Guards against answers that pile up for a client that does not read them.
#[test]
fn unread_answers_stay_within_memory() {
    let mut site = LimitedSite::start();
    let address = site.requests();
    let one = "GET /free/sized-100000 HTTP/1.1\r\nhost: test\r\nrequest-id: unread\r\n\r\n";
    let piece = one.repeat(50).into_bytes();
    let streams = run_callers(CROWD, |_| {
        let stream = flood(address, "", &piece, piece.len() * 4)?;
        pause(Duration::from_secs(1));
        Some(stream)
    });
    site.check();
    drop(streams);
    site.check();
}

/// Guards against sizes of chunks that overflow when they are added up.
#[test]
fn chunk_sizes_that_overflow_are_refused() {
    let mut site = LimitedSite::start();
    let address = site.requests();
    for size in [
        "ffffffffffffffff",
        "fffffffffffffffff",
        "8000000000000000",
        "-1",
        "7fffffffffffffff;x",
        "5\r\nhello\r\nfffffffffffffffe",
    ] {
        let start = head("transfer-encoding: chunked\r\n");
        let start = format!("{start}{size}\r\n");
        let Some(mut stream) = flood(address, &start, &[b'x'; PIECE], PIECE) else {
            continue;
        };
        let _ = stream.shutdown(Shutdown::Write);
        let answer = read_rest(&mut stream);
        assert!(!answer.starts_with("HTTP/1.1 200"), "{size}: {answer}");
        site.check();
    }
    assert_eq!(site.fleet.runs_of("flood"), 0, "a broken body ran");
}

/// Guards against a refused body that is read without end.
#[test]
fn body_that_goes_on_after_the_refusal_ends() {
    let mut site = LimitedSite::start_with(MEMORY_MB, 65_536);
    let address = site.requests();
    let piece = vec![b'x'; PIECE];
    for start in [
        head("content-length: 1073741824\r\n"),
        "POST /nowhere HTTP/1.1\r\nhost: test\r\ncontent-length: 1073741824\r\n\r\n".to_owned(),
    ] {
        let streams = run_callers(CROWD, |_| flood(address, &start, &piece, FLOOD));
        for stream in streams.into_iter().flatten() {
            let mut stream = stream;
            // The connection is closed although the client would send more.
            wait_for("the connection is closed", PATIENCE, || {
                stream.write_all(&piece).is_err()
            });
        }
        site.check();
    }
    assert_eq!(site.fleet.runs_of("flood"), 0, "a refused body ran");
}

/// Guards against requests in part that run, and connections that stay after their client has closed
/// its side.
#[test]
fn half_closed_connections_end() {
    let mut site = LimitedSite::start();
    let address = site.requests();
    for start in [
        "GET /free/ok HTT".to_owned(),
        head("content-length: 1000\r\n"),
        head("transfer-encoding: chunked\r\n"),
        String::new(),
    ] {
        let streams = run_callers(CROWD, |_| {
            let mut stream = flood(address, &start, &[], 0)?;
            let _ = stream.shutdown(Shutdown::Write);
            read_rest(&mut stream);
            Some(stream)
        });
        site.check();
        drop(streams);
    }
    assert_eq!(site.fleet.runs_of("flood"), 0, "a request in part ran");
}

/// Guards against a stranger on the port for peers, who may announce a frame of any size.
#[test]
fn junk_and_silence_on_the_port_for_peers_cost_little() {
    let mut site = LimitedSite::start();
    let peers = site.fleet.sidecars[0].peers;
    let piece = vec![b'x'; PIECE];
    // The length of a frame of 36 MiB, and a length over any limit.
    for start in [[2, 64, 0, 0], [127, 255, 255, 255]] {
        let streams = run_callers(CROWD, |_| {
            let mut stream = connect(peers)?;
            let mut is_open = stream.write_all(&start).is_ok();
            let mut sent = 0;
            while is_open && sent < FLOOD {
                is_open = stream.write_all(&piece).is_ok();
                sent += piece.len();
            }
            Some(stream)
        });
        site.check_bounds();
        drop(streams);
        site.check();
    }
    let mut silent = Vec::new();
    for _ in 0..MAX_FDS * 2 {
        silent.extend(connect(peers));
    }
    site.check();
    drop(silent);
    site.check();
}

/// Guards against strangers on the ports for the platform.
#[test]
fn junk_and_silence_on_the_ports_for_the_platform_cost_little() {
    let mut site = LimitedSite::start();
    let ports = [site.fleet.sidecars[0].ready, site.fleet.sidecars[0].admin];
    let piece = vec![b'x'; PIECE];
    for port in ports {
        for start in [
            String::new(),
            "GET /coltsfootweir/ready HTTP/1.1\r\nx-endless: ".to_owned(),
            "PUT /coltsfootweir/endpoints/x HTTP/1.1\r\nhost: test\r\ncontent-length: 1073741824\r\n\r\n"
                .to_owned(),
        ] {
            let streams = run_callers(CROWD, |_| flood(port, &start, &piece, FLOOD));
            site.check_bounds();
            drop(streams);
            site.check();
        }
        let mut silent = Vec::new();
        for _ in 0..MAX_FDS * 2 {
            silent.extend(connect(port));
        }
        site.check();
        drop(silent);
        site.check();
    }
}
