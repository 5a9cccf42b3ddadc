//! Bodies on links between daemons and the memory of the VMs.

mod common;
mod sidecar;

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

use coltsfootweir::sidecar::frame::CallResult;
use coltsfootweir::sidecar::frame::ForwardedCall;
use coltsfootweir::sidecar::frame::NotRunCause;
use coltsfootweir::sidecar::frame::PeerFrame;
use coltsfootweir::sidecar::frame::read_frame;
use coltsfootweir::sidecar::frame::write_frame;
use common::PATIENCE;
use common::caller::CallSpec;
use common::caller::call_once;
use common::caller_threads::run_callers;
use common::wait_for;
use sidecar::sidecar_fleet::ConfigTerms;
use sidecar::sidecar_fleet::HORSES;
use sidecar::sidecar_fleet::STALLS;
use sidecar::sidecar_fleet::SidecarFleet;
use sidecar::sidecar_fleet::SidecarTerms;
use sidecar::sidecar_fleet::request;

/// Size of a body that fits a frame and not the account of a VM with 60 MB.
const LARGE: usize = 32 * 1024 * 1024;

/// Requests of a burst and the size of their bodies: together above the memory.
const BURST: usize = 7;
const BURST_BODY: usize = 10 * 1024 * 1024;

fn call(size: usize) -> Box<ForwardedCall> {
    let id = format!("peer-{size}");
    Box::new(ForwardedCall {
        service: STALLS.into(),
        method: "POST".into(),
        path: "/free/ok".into(),
        headers: vec![
            ("host".into(), (*b"test").into()),
            ("request-id".into(), id.as_bytes().into()),
        ],
        body: vec![b'x'; size].into(),
        request_id: id.into(),
        rank: 0,
        kind: 0,
        left_ms: 20_000,
        wait_ms: 20_000,
        sent_at_ms: 0,
        team: None,
    })
}

fn send(stream: &mut TcpStream, frame: &PeerFrame) {
    let mut bytes = Vec::new();
    write_frame(frame, &mut bytes).expect("a frame");
    stream.write_all(&bytes).expect("bytes are sent");
}

/// Reads frames until the result of a call.
fn read_result(stream: &mut TcpStream, buffer: &mut Vec<u8>, wanted: u32) -> CallResult {
    loop {
        while let Some(frame) = read_frame(buffer).expect("a valid frame") {
            if let PeerFrame::Result(number, _, result) = frame
                && number == wanted
            {
                return *result;
            }
        }
        let mut piece = [0; 4096];
        let count = stream.read(&mut piece).expect("bytes in time");
        assert!(count > 0, "the link was closed");
        buffer.extend_from_slice(&piece[..count]);
    }
}

/// Guards against a call that takes the memory of the VM, and against one that is dropped without an
/// answer or with its link: its caller could not tell that it has not run.
#[test]
fn call_that_does_not_fit_is_refused_and_the_link_stays() {
    let terms = SidecarTerms {
        limits: "memory_mb = 60\nmax_fds = 300".to_owned(),
        ..SidecarTerms::default()
    };
    let fleet = SidecarFleet::start_with(&terms, &[(STALLS, "v1")]);
    fleet.put_config(1, "");
    fleet.wait_config(1);
    fleet.wait_endpoints();
    let sidecar = &fleet.sidecars[0];
    let mut stream = TcpStream::connect(sidecar.peers).expect("a connection");
    stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
    send(&mut stream, &PeerFrame::Hello("stranger".into()));
    let mut buffer = Vec::new();
    for number in [1, 300] {
        let frame = PeerFrame::TimedCall(number, 1, call(LARGE));
        send(&mut stream, &frame);
        let result = read_result(&mut stream, &mut buffer, number);
        let CallResult::NotRun(report) = result else {
            panic!("not refused");
        };
        assert_eq!(report.cause, NotRunCause::Overloaded);
        assert!(report.retry_after_ms > 0);
    }
    assert_eq!(fleet.runs_of(&format!("peer-{LARGE}")), 0);
    // A call that fits is run on the same link.
    send(&mut stream, &PeerFrame::TimedCall(301, 1, call(2_000_000)));
    let result = read_result(&mut stream, &mut buffer, 301);
    assert!(
        matches!(result, CallResult::Answer { status: 200, .. }),
        "not run"
    );
    assert!(sidecar.peak_memory() <= 60_000_000);
    assert_eq!(sidecar.gauge("bodies_held_bytes"), 0);
}

/// Guards against copies of bodies on links, at the sender and the receiver, beyond the memory.
#[test]
fn burst_of_bodies_for_another_daemon_stays_within_memory_of_both() {
    let terms = SidecarTerms {
        limits: "memory_mb = 60\nmax_fds = 300".to_owned(),
        ..SidecarTerms::default()
    };
    let fleet = SidecarFleet::start_with(&terms, &[(HORSES, "v1"), (STALLS, "v1")]);
    let config = ConfigTerms {
        limits: r#"{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,
            "idle_timeout_ms":15000}"#
            .to_owned(),
        ..ConfigTerms::default()
    };
    fleet.put_config_with(1, &config);
    fleet.wait_config(1);
    fleet.wait_endpoints();
    let ingress = &fleet.sidecars[0];
    let body = vec![b'x'; BURST_BODY];
    run_callers(BURST, |number| {
        let spec = CallSpec::post("/free/ok", body.as_slice());
        // Refusals are allowed.
        call_once(ingress.requests, &spec.with("request-id", number))
    });
    wait_for("an ordinary request is answered", PATIENCE, || {
        let answer = ingress.call(&request("GET", "/free/ok", "after", 2_000));
        answer.is_some_and(|answer| answer.status == 200)
    });
    for sidecar in &fleet.sidecars {
        let peak = sidecar.peak_memory();
        assert!(peak <= 60_000_000, "{peak} bytes at {}", sidecar.name);
        assert!(sidecar.is_ready());
    }
}
