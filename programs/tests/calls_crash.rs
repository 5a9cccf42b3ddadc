//! A crash of the upstream is known as one, also when its connections end before its listener.

mod common;

use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpListener;

use coltsfootweir::announce::UpstreamAnnouncement;
use coltsfootweir::evidence::EndpointEvidence;

use common::DaemonSpec;
use common::PATIENCE;
use common::apply;
use common::call;
use common::json_http::post_json;
use common::read_status;
use common::records::one_route;
use common::start_daemon;
use common::start_platform;
use common::wait_for;

/// An upstream that ends without an answer when it is called: first the connection, then the
/// listener with the connection that was made meanwhile.
fn crash_when_called(listener: TcpListener) {
    let (mut stream, _) = listener.accept().expect("a connection");
    let mut bytes = [0; 4096];
    let _ = stream.read(&mut bytes);
    drop(stream);
    let _late = listener.accept().expect("a later connection");
}

fn announce(control: SocketAddr, address: SocketAddr) {
    let announcement = UpstreamAnnouncement {
        service: "stalls".into(),
        version: "v1".into(),
        address,
        slots: 2,
        leaving: false,
    };
    let body = serde_json::to_string(&announcement).expect("an announcement encodes");
    post_json(control, "/announce", &body);
}

fn crashes_at(control: SocketAddr) -> usize {
    let url = format!("http://{control}/evidence");
    let body = rmp_serde::to_vec(&()).expect("nothing encodes");
    let answer = minreq::post(url)
        .with_body(body)
        .with_timeout(2)
        .send()
        .expect("an answer");
    let reports: Vec<EndpointEvidence> =
        rmp_serde::from_slice(answer.as_bytes()).expect("evidence decodes");
    reports.iter().map(|report| report.crashes.len()).sum()
}

#[test]
fn crash_is_known_when_the_listener_outlives_the_connections() {
    let platform = start_platform();
    let daemon = start_daemon(&DaemonSpec::new(platform.address, "north", "zaandam"));
    apply(platform.address, &one_route("stalls"));
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
    let address = listener.local_addr().expect("an address");
    let upstream = std::thread::spawn(move || crash_when_called(listener));
    wait_for("daemon serves", PATIENCE, || {
        announce(daemon.control, address);
        read_status(daemon.control).is_some_and(|status| status.generation == 1)
    });
    let answer = call(daemon.calls, "GET", "/stalls/free", &[]).expect("an answer");
    upstream.join().expect("the upstream ends");
    assert_eq!(answer.outcome, "in-doubt", "{}", answer.body);
    assert_eq!(crashes_at(daemon.control), 1);
}
