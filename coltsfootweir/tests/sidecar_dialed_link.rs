//! A connection to another daemon's address, at which another process or a daemon of another build answers.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use coltsfootweir::clock::DaemonClock;
use coltsfootweir::clock::SystemClock;
use coltsfootweir::ids::MemberId;
use coltsfootweir::sidecar::frame::AnswerHead;
use coltsfootweir::sidecar::frame::CallResult;
use coltsfootweir::sidecar::frame::EndpointLoad;
use coltsfootweir::sidecar::frame::ForwardedCall;
use coltsfootweir::sidecar::frame::HeaderList;
use coltsfootweir::sidecar::frame::PeerFrame;
use coltsfootweir::sidecar::frame::UnknownCause;
use coltsfootweir::sidecar::frame::read_frame;
use coltsfootweir::sidecar::frame::write_frame;
use coltsfootweir::sidecar::link::uplink::Uplink;
use coltsfootweir::sidecar::peer_link::LinkOutcome;
use coltsfootweir::sidecar::peer_link::PeerLink;
use hyper::body::Bytes;

/// Bytes that a stranger may get rid of: the buffers of a connection over loopback, not a frame.
const BUFFERED_BYTES: usize = 12 * 1024 * 1024;

/// Length that the stranger's first frame states, below the limit of a frame.
const STATED_BYTES: u32 = 36 * 1024 * 1024;

/// Guards against a process that has taken a daemon's address and sends bytes without end: each of its
/// frames was kept until it was complete, up to the limit of a frame on each connection.
#[test]
fn stranger_at_the_address_of_a_daemon_costs_no_memory() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let stranger = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut written = 0;
        let mut piece = STATED_BYTES.to_be_bytes().to_vec();
        while written < STATED_BYTES as usize && stream.write_all(&piece).is_ok() {
            written += piece.len();
            piece = vec![0; 64 * 1024];
        }
        written
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let clock: Arc<dyn DaemonClock> = Arc::new(SystemClock::new());
    let tasks = tokio::task::LocalSet::new();
    tasks.block_on(&runtime, async {
        let (peer, own): (MemberId, MemberId) = ("vm-1".into(), "vm-0".into());
        let start = Instant::now();
        let uplink = Uplink::new(Arc::clone(&clock));
        let now = move || start.elapsed();
        let link = PeerLink::open(&peer, &own, address, &uplink, now, |_, _| {}, || {}).await;
        assert!(link.is_err(), "a stranger is no daemon");
        assert!(start.elapsed() < Duration::from_secs(2));
    });
    drop(tasks);
    let written = stranger.join().expect("the stranger does not panic");
    assert!(written < BUFFERED_BYTES, "{written} bytes were taken");
}

/// A daemon that greets whoever dials it, and replies to the first call with these frames.
fn serve_call(listener: &TcpListener, replies: &[PeerFrame]) {
    let (mut stream, _) = listener.accept().expect("a connection");
    let mut reader = stream.try_clone().expect("a connection");
    let mut send = |frame: &PeerFrame| {
        let mut bytes = Vec::new();
        write_frame(frame, &mut bytes).expect("a frame");
        stream.write_all(&bytes).expect("an open connection");
    };
    send(&PeerFrame::Hello("vm-1".into()));
    let mut received = Vec::new();
    let mut part = [0; 4096];
    loop {
        let frame = read_frame(&mut received).expect("frames");
        if matches!(frame, Some(PeerFrame::Call(..) | PeerFrame::TimedCall(..))) {
            break;
        }
        if frame.is_none() {
            let count = reader.read(&mut part).expect("a call");
            received.extend_from_slice(&part[..count]);
        }
    }
    for frame in replies {
        send(frame);
    }
    // Keeps the connection until the caller has closed it.
    while reader.read(&mut part).is_ok_and(|count| count > 0) {}
}

/// Returns the result of a call at a daemon that replies with these frames.
fn call_result(replies: Vec<PeerFrame>) -> CallResult {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let daemon = std::thread::spawn(move || serve_call(&listener, &replies));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let clock: Arc<dyn DaemonClock> = Arc::new(SystemClock::new());
    let tasks = tokio::task::LocalSet::new();
    let outcome = tasks.block_on(&runtime, async {
        let (peer, own): (MemberId, MemberId) = ("vm-1".into(), "vm-0".into());
        let start = Instant::now();
        let uplink = Uplink::new(Arc::clone(&clock));
        let now = move || start.elapsed();
        let link = PeerLink::open(&peer, &own, address, &uplink, now, |_, _| {}, || {}).await;
        let link = link.expect("a link");
        link.call(call(), 0, || false).await
    });
    drop(tasks);
    daemon.join().expect("the daemon does not panic");
    match outcome {
        LinkOutcome::Replied(_, result, _) => result,
        LinkOutcome::NotSent | LinkOutcome::Lost => panic!("no reply"),
    }
}

fn call() -> ForwardedCall {
    ForwardedCall {
        service: "stalls".into(),
        method: "POST".into(),
        path: "/book/".into(),
        headers: Vec::new(),
        body: Bytes::new(),
        request_id: "id".into(),
        rank: 0,
        kind: 0,
        left_ms: 1_000,
        wait_ms: 0,
        sent_at_ms: 0,
        team: None,
    }
}

/// Guards against a daemon of another build that passes on the answer of an endpoint whose head is not valid:
/// it would reach the client with another status, or without a field.
#[test]
fn answer_of_another_daemon_with_an_invalid_head_is_broken() {
    let field = |name: &str, value: &[u8]| -> HeaderList { vec![(name.into(), value.into())] };
    let cases = [
        (200, field("x-more", b"yes"), true),
        (599, field("x-more", b""), true),
        (0, HeaderList::new(), false),
        (99, HeaderList::new(), false),
        (100, HeaderList::new(), false),
        (600, HeaderList::new(), false),
        (200, field("x more", b"yes"), false),
        (200, field("x-more\u{1}", b"yes"), false),
        (200, field("", b"yes"), false),
        (200, field("x-more", b"yes\r\nx-other: no"), false),
        (200, field("x-more", b"\0"), false),
    ];
    for (status, headers, is_valid) in cases {
        let load = EndpointLoad::default();
        let whole = CallResult::Answer {
            status,
            headers: headers.clone(),
            body: b"body".to_vec(),
            run_ms: 1,
        };
        let head = AnswerHead {
            status,
            headers: headers.clone(),
            length: Some(4),
            run_ms: 1,
        };
        for frame in [
            PeerFrame::Result(0, load.clone(), Box::new(whole)),
            PeerFrame::AnswerHead(0, load.clone(), Box::new(head)),
        ] {
            let result = call_result(vec![frame]);
            let broken = CallResult::Unknown(UnknownCause::AnswerBroken);
            assert_eq!(
                result != broken,
                is_valid,
                "{status} {headers:?}: {result:?}"
            );
        }
    }
}
