//! Tests of the local endpoint: calls that it must refuse, because it is leaving, serves another service
//! or the call is late.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use coltsfootweir::clock::SystemClock;
use coltsfootweir::poison::PoisonTable;
use coltsfootweir::sidecar::announcement::EndpointAnnouncement;
use coltsfootweir::sidecar::announcement::EndpointDeparture;
use coltsfootweir::sidecar::frame::CallResult;
use coltsfootweir::sidecar::frame::ForwardedCall;
use coltsfootweir::sidecar::frame::NotRunCause;
use coltsfootweir::sidecar::link::call_age::wall_delay;
use coltsfootweir::sidecar::local_endpoint::LocalEndpoint;
use coltsfootweir::sidecar::local_endpoint::wall_ms;
use coltsfootweir::sidecar::platform_adapter::HeaderNames;
use tokio::net::TcpListener;

const HEADERS: HeaderNames = HeaderNames {
    request_id: "id",
    time_left: "left",
    signature: "signed",
    expected_endpoint: "expected",
    not_run: "not-run",
    caller: "caller",
};

fn endpoint() -> Rc<LocalEndpoint> {
    let poison = Rc::new(RefCell::new(PoisonTable::new()));
    let clock = Arc::new(SystemClock::new());
    LocalEndpoint::new("m".into(), 1, clock, HEADERS, poison)
}

fn announce(endpoint: &LocalEndpoint, address: SocketAddr, service: &str, is_leaving: bool) {
    let announcement = EndpointAnnouncement {
        id: "i".into(),
        born: 1,
        sequence: if is_leaving { 2 } else { 1 },
        address,
        service: service.into(),
        version: "v1".into(),
        zone: "a".into(),
        slots: 2,
        is_leaving,
        warmup_left: Duration::ZERO,
    };
    endpoint.announce(announcement, &service.into(), address);
}

fn call(service: &str) -> ForwardedCall {
    ForwardedCall {
        service: service.into(),
        method: "GET".into(),
        path: "/".into(),
        headers: Vec::new(),
        body: Vec::new(),
        request_id: "r".into(),
        rank: 0,
        kind: 0,
        left_ms: 300,
        wait_ms: 300,
        sent_at_ms: wall_ms(SystemTime::now()),
    }
}

/// Runs a call at an endpoint that accepts connections and never responds.
async fn run_at(
    prepare: impl FnOnce(&LocalEndpoint, SocketAddr),
    call: ForwardedCall,
) -> CallResult {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let endpoint = endpoint();
    prepare(&endpoint, address);
    let delay = wall_delay(call.sent_at_ms, SystemTime::now());
    endpoint.run(&call, delay).await.answer.result
}

fn is_closed(result: &CallResult) -> bool {
    matches!(result, CallResult::NotRun(report)
        if report.cause == NotRunCause::Closed && !report.reached)
}

#[tokio::test(flavor = "current_thread")]
async fn call_after_a_departure_is_not_run() {
    let result = run_at(
        |endpoint, address| {
            announce(endpoint, address, "stalls", false);
            endpoint.depart(&EndpointDeparture {
                id: "i".into(),
                born: None,
            });
        },
        call("stalls"),
    )
    .await;
    assert!(is_closed(&result), "{result:?}");
}

#[tokio::test(flavor = "current_thread")]
async fn call_to_an_endpoint_that_leaves_is_not_run() {
    let result = run_at(
        |endpoint, address| {
            announce(endpoint, address, "stalls", false);
            announce(endpoint, address, "stalls", true);
        },
        call("stalls"),
    )
    .await;
    assert!(is_closed(&result), "{result:?}");
}

#[tokio::test(flavor = "current_thread")]
async fn call_for_another_service_is_not_run() {
    let prepare = |endpoint: &LocalEndpoint, address| announce(endpoint, address, "horses", false);
    let result = run_at(prepare, call("stalls")).await;
    assert!(is_closed(&result), "{result:?}");
}

#[tokio::test(flavor = "current_thread")]
async fn call_held_up_beyond_its_time_is_not_run() {
    let mut late = call("stalls");
    late.sent_at_ms -= 2_000;
    let prepare = |endpoint: &LocalEndpoint, address| announce(endpoint, address, "stalls", false);
    let result = run_at(prepare, late).await;
    let is_late = matches!(&result, CallResult::NotRun(report)
        if report.cause == NotRunCause::TooLate && !report.reached);
    assert!(is_late, "{result:?}");
}
