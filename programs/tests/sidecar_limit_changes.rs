//! Limits on clients that change while clients hold connections open, in sidecars as processes.

mod common;
mod sidecar;

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use common::PATIENCE;
use common::caller::CallEnd;
use common::caller::CallSpec;
use common::caller::KeptCaller;
use common::caller::read_answer;
use common::caller::send_raw;
use common::caller_threads::pause;
use common::wait_for;
use sidecar::sidecar_fleet::ConfigTerms;
use sidecar::sidecar_fleet::STALLS;
use sidecar::sidecar_fleet::SidecarFleet;
use sidecar::sidecar_fleet::request;

/// Limits on clients of a configuration.
#[derive(Clone, Copy)]
struct LimitTerms {
    header_bytes: u32,
    header_ms: u32,
    idle_ms: u32,
}

const SMALL: LimitTerms = LimitTerms {
    header_bytes: 16_384,
    header_ms: 1_000,
    idle_ms: 2_000,
};

const LARGE: LimitTerms = LimitTerms {
    header_bytes: 65_536,
    header_ms: 8_000,
    idle_ms: 10_000,
};

/// Time that is longer than the small limits and their margins, and shorter than the large ones.
const LONG: Duration = Duration::from_millis(3_500);

fn put_limits(fleet: &SidecarFleet, version: u64, terms: LimitTerms) {
    let LimitTerms {
        header_bytes,
        header_ms,
        idle_ms,
    } = terms;
    let config = ConfigTerms {
        limits: format!(
            r#"{{"max_header_bytes":{header_bytes},"max_body_bytes":65536,
            "header_timeout_ms":{header_ms},"idle_timeout_ms":{idle_ms}}}"#
        ),
        ..ConfigTerms::default()
    };
    fleet.put_config_with(version, &config);
}

fn start(terms: LimitTerms) -> SidecarFleet {
    let fleet = SidecarFleet::start(&[(STALLS, "v1")]);
    put_limits(&fleet, 1, terms);
    fleet.wait_config(1);
    fleet.wait_endpoints();
    fleet
}

fn change(fleet: &SidecarFleet, terms: LimitTerms) {
    put_limits(fleet, 2, terms);
    fleet.wait_config(2);
}

/// A request whose head only the large limit allows.
fn large_request(id: &str) -> CallSpec {
    request("GET", "/free/ok", id, 2_000).with("x-trace", "t".repeat(24_000))
}

fn status_of(end: CallEnd) -> Option<u16> {
    end.whole().map(|answer| answer.status)
}

/// Sends a part of a request on a new connection, and returns the rest.
fn begin(fleet: &SidecarFleet, spec: &CallSpec, length: usize) -> (TcpStream, Vec<u8>) {
    let bytes = spec.encode();
    let (first, rest) = bytes.split_at(length);
    let stream = send_raw(fleet.sidecars[0].requests, first);
    (stream, rest.to_vec())
}

fn finish((mut stream, rest): (TcpStream, Vec<u8>)) -> Option<u16> {
    // It fails if the connection was closed, which the answer shows as well.
    let _ = stream.write_all(&rest);
    status_of(read_answer(&mut stream))
}

/// Guards against a kept connection that goes on with the limits of the time at which it was opened: a
/// proper request would be refused (review/15).
#[test]
fn kept_connection_takes_a_head_that_a_raised_limit_allows() {
    let fleet = start(SMALL);
    let mut kept = KeptCaller::new(fleet.sidecars[0].requests);
    let first = kept.call(&request("GET", "/free/ok", "first", 2_000));
    assert_eq!(status_of(first), Some(200));
    change(&fleet, LARGE);
    for number in 0..3 {
        let spec = large_request(&format!("large-{number}"));
        assert_eq!(status_of(kept.call(&spec)), Some(200), "{number}");
    }
}

/// Guards against a connection that was opened before the first configuration, as after a restart, and keeps
/// the defaults for good.
#[test]
fn connection_opened_before_the_first_configuration_follows_it() {
    let fleet = SidecarFleet::start(&[(STALLS, "v1")]);
    let mut kept = KeptCaller::new(fleet.sidecars[0].requests);
    wait_for("a sidecar that listens", PATIENCE, || {
        status_of(kept.call(&request("GET", "/free/ok", "early", 2_000))) == Some(503)
    });
    put_limits(&fleet, 1, LARGE);
    fleet.wait_config(1);
    fleet.wait_endpoints();
    assert_eq!(status_of(kept.call(&large_request("large"))), Some(200));
}

/// Guards against a head that is refused for good by a daemon that knows no configuration: it may be allowed.
#[test]
fn large_head_before_the_first_configuration_may_come_again() {
    let fleet = SidecarFleet::start(&[(STALLS, "v1")]);
    let mut kept = KeptCaller::new(fleet.sidecars[0].requests);
    wait_for("a sidecar that listens", PATIENCE, || {
        status_of(kept.call(&request("GET", "/free/ok", "early", 2_000))) == Some(503)
    });
    let answer = kept.call(&large_request("large")).whole();
    let answer = answer.expect("a whole answer");
    assert_eq!(answer.status, 503);
    assert!(!answer.header("retry-after").is_empty());
    assert_eq!(answer.header("connection"), "close");
}

/// Guards against a head that was proper when it began and is refused as the limit falls before its end, and
/// against a connection that keeps the larger limit after that.
#[test]
fn lowered_limit_holds_for_the_next_head() {
    let fleet = start(LARGE);
    let begun = begin(&fleet, &large_request("begun"), 20_000);
    let mut kept = KeptCaller::new(fleet.sidecars[0].requests);
    assert_eq!(status_of(kept.call(&large_request("before"))), Some(200));
    pause(Duration::from_millis(200));
    change(&fleet, SMALL);
    assert_eq!(finish(begun), Some(200));
    assert_eq!(status_of(kept.call(&large_request("after"))), Some(431));
}

/// Guards against a head that is cut at a time limit that has been raised while it was received.
#[test]
fn raised_time_limit_holds_for_a_head_that_has_begun() {
    let fleet = start(SMALL);
    let begun = begin(&fleet, &request("GET", "/free/ok", "begun", 2_000), 20);
    change(&fleet, LARGE);
    pause(LONG);
    assert_eq!(finish(begun), Some(200));
}

/// Guards against an idle connection that is closed at the time limit of before, so that the next request
/// meets a closed connection.
#[test]
fn raised_idle_limit_holds_for_a_connection_that_is_idle() {
    let fleet = start(SMALL);
    let stream = send_raw(
        fleet.sidecars[0].requests,
        &request("GET", "/free/ok", "first", 2_000).encode(),
    );
    let mut reading = stream.try_clone().expect("a descriptor");
    assert_eq!(status_of(read_answer(&mut reading)), Some(200));
    change(&fleet, LARGE);
    pause(LONG);
    let next = request("GET", "/free/ok", "next", 2_000).encode();
    assert_eq!(finish((stream, next)), Some(200));
}
