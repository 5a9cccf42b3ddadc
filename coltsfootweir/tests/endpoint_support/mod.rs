//! A local endpoint and calls to it, for tests.

#![allow(dead_code)]

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use coltsfootweir::clock::SystemClock;
use coltsfootweir::poison::PoisonTable;
use coltsfootweir::sidecar::announcement::EndpointAnnouncement;
use coltsfootweir::sidecar::frame::CallResult;
use coltsfootweir::sidecar::frame::ForwardedCall;
use coltsfootweir::sidecar::frame::NotRunCause;
use coltsfootweir::sidecar::frame::UnknownCause;
use coltsfootweir::sidecar::local_endpoint::LocalEndpoint;
use coltsfootweir::sidecar::local_endpoint::wall_ms;
use coltsfootweir::sidecar::platform_adapter::HeaderNames;

pub const HEADERS: HeaderNames = HeaderNames {
    request_id: "id",
    time_left: "left",
    signature: "signed",
    expected_endpoint: "expected",
    not_run: "not-run",
    caller: "caller",
    team: "team",
    authorization: "key",
    warmup_left: "warmup-left",
    store_era: "era",
};

/// An endpoint of a daemon that has just started.
pub fn endpoint() -> Rc<LocalEndpoint> {
    let poison = Rc::new(RefCell::new(PoisonTable::new()));
    let clock = Arc::new(SystemClock::new());
    LocalEndpoint::new("m".into(), 1, clock, HEADERS, poison)
}

/// A call of 300 ms to a service.
pub fn call(service: &str) -> ForwardedCall {
    ForwardedCall {
        service: service.into(),
        method: "GET".into(),
        path: "/".into(),
        headers: Vec::new(),
        body: Default::default(),
        request_id: "r".into(),
        rank: 0,
        kind: 0,
        left_ms: 300,
        wait_ms: 300,
        sent_at_ms: wall_ms(SystemTime::now()),
        team: None,
    }
}

/// Whether a call was not run, as the endpoint takes none.
pub fn is_closed(result: &CallResult) -> bool {
    matches!(result, CallResult::NotRun(report)
        if report.cause == NotRunCause::Closed && !report.reached)
}

/// Whether a call may have run until its time limit.
pub fn has_run(result: &CallResult) -> bool {
    matches!(result, CallResult::Unknown(UnknownCause::TimedOut))
}

/// Announces the lifetime of this number.
pub fn announce_again(endpoint: &LocalEndpoint, address: SocketAddr, sequence: u64) {
    let announcement = EndpointAnnouncement {
        id: "i".into(),
        born: sequence,
        sequence,
        address,
        service: "stalls".into(),
        version: "v1".into(),
        zone: "a".into(),
        slots: 2,
        is_leaving: false,
        warmup_left: Duration::ZERO,
    };
    endpoint.announce(announcement, &"stalls".into(), address);
}
