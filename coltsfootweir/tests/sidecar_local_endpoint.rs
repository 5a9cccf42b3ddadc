//! Tests of the local endpoint: calls that it must refuse, because it is leaving, serves another service
//! or the call is late, and calls that crash it.

mod endpoint_support;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use coltsfootweir::clock::SystemClock;
use coltsfootweir::member::EndpointPhase;
use coltsfootweir::sidecar::announcement::EndpointAnnouncement;
use coltsfootweir::sidecar::announcement::EndpointDeparture;
use coltsfootweir::sidecar::answer::answer_rest::BodyPiece;
use coltsfootweir::sidecar::fair_queue::share_refusal::ShareRefusal;
use coltsfootweir::sidecar::frame::CallResult;
use coltsfootweir::sidecar::frame::ForwardedCall;
use coltsfootweir::sidecar::frame::NotRunCause;
use coltsfootweir::sidecar::link::call_age::wall_delay;
use coltsfootweir::sidecar::local_endpoint::LocalEndpoint;
use coltsfootweir::sidecar::slot_queue::SlotQueue;
use coltsfootweir::sidecar::slot_queue::SlotRequest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

use endpoint_support::announce_again;
use endpoint_support::call;
use endpoint_support::endpoint;
use endpoint_support::has_run;
use endpoint_support::is_closed;

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

/// Guards against calls whose team is lost on the way to the queue: one team would fill it for all.
#[tokio::test(flavor = "current_thread")]
async fn queue_full_of_calls_of_one_team_takes_a_call_of_another() {
    let team_call = |team: &str| ForwardedCall {
        left_ms: 60_000,
        wait_ms: 60_000,
        team: Some(team.into()),
        ..call("stalls")
    };
    let test = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let endpoint = endpoint();
        announce(&endpoint, address, "stalls", false);
        let start = |call: ForwardedCall| {
            let endpoint = Rc::clone(&endpoint);
            tokio::task::spawn_local(async move { endpoint.run(&call, Duration::ZERO).await })
        };
        // Two run, and 16 wait for each of the two slots.
        for _ in 0..2 + 2 * 16 {
            start(team_call("large"));
        }
        tokio::task::yield_now().await;
        assert_eq!(endpoint.load().total_waiting(), 32);
        let refused = endpoint.run(&team_call("large"), Duration::ZERO).await;
        let CallResult::NotRun(report) = refused.answer.result else {
            panic!("{:?}", refused.answer.result);
        };
        assert_eq!(report.cause, NotRunCause::Overloaded);
        start(team_call("small"));
        tokio::task::yield_now().await;
        assert_eq!(endpoint.load().total_waiting(), 32);
        assert_eq!(endpoint.tagged_teams(), 2);
        let counts = endpoint.share_refusals().into_iter();
        let counts: Vec<_> = counts.filter(|(_, count)| *count > 0).collect();
        let expected = [(ShareRefusal::QueueFull, 1), (ShareRefusal::Displaced, 1)];
        assert_eq!(counts, expected);
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a call that reaches an endpoint of an evacuated zone because the endpoint announces
/// itself again.
#[tokio::test(flavor = "current_thread")]
async fn call_in_an_evacuated_zone_is_not_run() {
    let result = run_at(
        |endpoint, address| {
            endpoint.set_evacuated(true);
            announce(endpoint, address, "stalls", false);
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

/// Serves one request at `listener`, with `answer`, and ends like a process that crashes: the port closes before
/// the connection.
async fn crash_after(listener: TcpListener, answer: Vec<u8>) {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let read = stream.read(&mut [0; 4096]).await.expect("a request");
    assert!(read > 0);
    stream.write_all(&answer).await.expect("an open connection");
    drop(listener);
}

/// The head of a long answer and `sent` bytes of its body.
fn long_answer(sent: usize) -> Vec<u8> {
    let head = "HTTP/1.1 200 OK\r\nid: r\r\nsigned: s\r\ncontent-length: 90000\r\n\r\n";
    [head.as_bytes(), &vec![b'x'; sent]].concat()
}

/// Runs a call to its end; returns whether its answer was whole, and the result.
async fn run_whole(endpoint: &Rc<LocalEndpoint>) -> (bool, CallResult) {
    let mut slow = call("stalls");
    slow.left_ms = 5_000;
    slow.wait_ms = 5_000;
    let answer = endpoint.run(&slow, Duration::ZERO).await.answer;
    let Some(mut rest) = answer.rest else {
        return (true, answer.result);
    };
    while let Some(piece) = rest.pieces.recv().await {
        match piece {
            BodyPiece::Data(_) | BodyPiece::Stalled => {}
            BodyPiece::End => return (true, answer.result),
            BodyPiece::Broken => return (false, answer.result),
        }
    }
    (false, answer.result)
}

/// Guards against a request that crashes endpoints while they send a long answer and is never refused
/// (`review/4`).
#[tokio::test(flavor = "current_thread")]
async fn request_that_crashes_endpoints_in_the_middle_of_an_answer_is_refused() {
    let run = async {
        let endpoint = endpoint();
        let mut listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        for number in 1..3 {
            announce_again(&endpoint, address, number);
            tokio::task::spawn_local(crash_after(listener, long_answer(60_000)));
            let (is_whole, _) = run_whole(&endpoint).await;
            assert!(!is_whole);
            assert_eq!(endpoint.take_crashes().len(), 1, "crash {number}");
            listener = TcpListener::bind(address).await.expect("the port again");
        }
        announce_again(&endpoint, address, 3);
        let (_, result) = run_whole(&endpoint).await;
        let is_refused = matches!(&result, CallResult::NotRun(report)
            if report.cause == NotRunCause::Poison);
        assert!(is_refused, "{result:?}");
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against a request that counts as survived because an endpoint rejected it, and against one that
/// was survived and is blamed for the crash of another.
#[tokio::test(flavor = "current_thread")]
async fn request_is_survived_only_when_its_whole_answer_came() {
    let rejection = b"HTTP/1.1 503 Full\r\nid: r\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
    for (first, facts) in [(rejection.to_vec(), 1), (long_answer(90_000), 0)] {
        let run = async {
            let endpoint = endpoint();
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let address = listener.local_addr().expect("an address");
            announce_again(&endpoint, address, 1);
            tokio::task::spawn_local(crash_after(listener, first));
            run_whole(&endpoint).await;
            let listener = TcpListener::bind(address).await.expect("the port again");
            announce_again(&endpoint, address, 2);
            tokio::task::spawn_local(crash_after(listener, long_answer(60_000)));
            let (is_whole, _) = run_whole(&endpoint).await;
            assert!(!is_whole);
            assert_eq!(endpoint.take_crashes().len(), facts);
        };
        LocalSet::new().run_until(run).await;
    }
}

/// Runs a call of 400 ms with a body of `length` bytes that has missed its target time by the time at
/// which one of the two slots becomes free.
async fn run_late(length: usize, wait_ms: u32) -> CallResult {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let endpoint = endpoint();
    announce(&endpoint, address, "stalls", false);
    let other = ForwardedCall {
        left_ms: 150,
        wait_ms: 150,
        ..call("stalls")
    };
    let late = ForwardedCall {
        left_ms: 700,
        wait_ms,
        body: vec![0; length].into(),
        ..call("stalls")
    };
    // The endpoint responds to nothing, so the two others hold their slots until their time limit.
    let others = async {
        tokio::join!(
            endpoint.run(&other, Duration::ZERO),
            endpoint.run(&other, Duration::ZERO),
        )
    };
    let (_, report) = tokio::join!(others, endpoint.run(&late, Duration::ZERO));
    report.answer.result
}

/// Guards against uploads that were received and never run, although a slot is free before the client's
/// deadline.
#[tokio::test(flavor = "current_thread")]
async fn large_body_uses_a_free_slot_after_its_target_time() {
    for wait_ms in [0, 100] {
        let result = run_late(20_000, wait_ms).await;
        assert!(has_run(&result), "{wait_ms}: {result:?}");
    }
    let result = run_late(100, 100).await;
    assert!(
        matches!(&result, CallResult::NotRun(report) if report.cause == NotRunCause::TooLate),
        "{result:?}"
    );
}

/// Guards against late uploads that take the slots of requests in time, whatever their ranks, and against
/// their waits being taken for those of requests in time.
#[tokio::test(flavor = "current_thread")]
async fn late_request_waits_for_those_in_time() {
    let queue = SlotQueue::new(Arc::new(SystemClock::new()));
    queue.replace(1);
    queue.set_phase(EndpointPhase::Ready);
    let request = |rank, is_late| SlotRequest {
        team: None,
        fingerprint: u64::from(rank),
        route_hash: 1,
        rank,
        finish_by: Duration::from_secs(60),
        is_late,
    };
    let running = queue.admit(request(0, false)).await.ok();
    let order = RefCell::new(Vec::new());
    let wait = async |name: &'static str, request| {
        let permit = queue.admit(request).await;
        order.borrow_mut().push(name);
        drop(permit.expect("a slot"));
    };
    let release = async {
        tokio::task::yield_now().await;
        drop(running);
    };
    tokio::join!(
        wait("late", request(0, true)),
        wait("least urgent", request(5, false)),
        wait("urgent", request(0, false)),
        release,
    );
    assert_eq!(order.take(), ["urgent", "least urgent", "late"]);
}
