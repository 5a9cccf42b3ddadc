//! Requests that crash the endpoint after their callers have left.

mod endpoint_support;

use std::rc::Rc;
use std::time::Duration;

use coltsfootweir::sidecar::announcement::EndpointDeparture;
use coltsfootweir::sidecar::frame::CallResult;
use coltsfootweir::sidecar::frame::ForwardedCall;
use coltsfootweir::sidecar::frame::NotRunCause;
use coltsfootweir::sidecar::local_endpoint::LocalEndpoint;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::LocalSet;

use endpoint_support::announce_again;
use endpoint_support::call;
use endpoint_support::endpoint;
use endpoint_support::has_run;
use endpoint_support::is_closed;

/// How the end of an endpoint is noticed whose requests nobody waits for any more.
#[derive(Clone, Copy, Debug)]
enum CrashNotice {
    /// Another request finds no connection.
    Unreachable,
    /// The next lifetime announces itself.
    Replaced,
    /// The answer to another request breaks off.
    BrokenAnswer,
}

/// Reads a request and keeps its connection open.
async fn take_request(listener: &TcpListener) -> TcpStream {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let read = stream.read(&mut [0; 4096]).await.expect("a request");
    assert!(read > 0);
    stream
}

fn call_of(path: &str, left_ms: u32) -> ForwardedCall {
    ForwardedCall {
        path: path.into(),
        left_ms,
        wait_ms: left_ms,
        ..call("stalls")
    }
}

/// Starts a request and has its caller leave once the endpoint has it, or at its time limit. Returns the
/// connection, which the endpoint keeps.
async fn leave_running(
    endpoint: &Rc<LocalEndpoint>,
    listener: &TcpListener,
    at_limit: bool,
) -> TcpStream {
    let left_ms = if at_limit { 60 } else { 5_000 };
    let running = Rc::clone(endpoint);
    let caller = tokio::task::spawn_local(async move {
        let report = running
            .run(&call_of("/crashes", left_ms), Duration::ZERO)
            .await;
        report.answer.result
    });
    let stream = take_request(listener).await;
    if at_limit {
        let result = caller.await.expect("no panic");
        assert!(has_run(&result), "{result:?}");
    } else {
        caller.abort();
        let end = caller.await;
        assert!(end.is_err_and(|error| error.is_cancelled()));
    }
    stream
}

/// Has the endpoint end, and its end noticed. Returns the port, which is served again.
async fn crash(
    endpoint: &Rc<LocalEndpoint>,
    listener: TcpListener,
    (lifetime, notice): (u64, CrashNotice),
) -> TcpListener {
    let address = listener.local_addr().expect("an address");
    let other = call_of("/other", 5_000);
    match notice {
        CrashNotice::BrokenAnswer => {
            let running = Rc::clone(endpoint);
            let caller = tokio::task::spawn_local(async move {
                running.run(&other, Duration::ZERO).await.crashes.len()
            });
            let stream = take_request(&listener).await;
            drop(listener);
            drop(stream);
            // The request that was running is blamed as well.
            assert_eq!(caller.await.expect("no panic"), 2);
        }
        CrashNotice::Unreachable => {
            drop(listener);
            let report = endpoint.run(&other, Duration::ZERO).await;
            assert!(is_closed(&report.answer.result));
        }
        CrashNotice::Replaced => drop(listener),
    }
    let listener = TcpListener::bind(address).await.expect("the port again");
    announce_again(endpoint, address, lifetime + 1);
    listener
}

/// Guards against a request that crashes endpoints and is never refused, as nobody waits for it when the
/// endpoint ends (review/11).
#[tokio::test(flavor = "current_thread")]
async fn request_whose_caller_left_before_the_crash_is_refused() {
    let notices = [
        CrashNotice::Unreachable,
        CrashNotice::Replaced,
        CrashNotice::BrokenAnswer,
    ];
    for notice in notices {
        for at_limit in [false, true] {
            let run = async {
                let endpoint = endpoint();
                let mut listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
                let address = listener.local_addr().expect("an address");
                announce_again(&endpoint, address, 1);
                for lifetime in 1..3 {
                    let stream = leave_running(&endpoint, &listener, at_limit).await;
                    listener = crash(&endpoint, listener, (lifetime, notice)).await;
                    drop(stream);
                }
                let report = endpoint
                    .run(&call_of("/crashes", 500), Duration::ZERO)
                    .await;
                let is_refused = matches!(&report.answer.result, CallResult::NotRun(report)
                    if report.cause == NotRunCause::Poison);
                assert!(
                    is_refused,
                    "{notice:?}, {at_limit}: {:?}",
                    report.answer.result
                );
            };
            LocalSet::new().run_until(run).await;
        }
    }
}

/// Guards against a request that is blamed for the end of an endpoint that left as planned.
#[tokio::test(flavor = "current_thread")]
async fn request_whose_caller_left_is_not_blamed_for_a_planned_end() {
    let run = async {
        let endpoint = endpoint();
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        announce_again(&endpoint, address, 1);
        leave_running(&endpoint, &listener, false).await;
        endpoint.depart(&EndpointDeparture {
            id: "i".into(),
            born: Some(1),
        });
        drop(listener);
        announce_again(&endpoint, address, 2);
        assert_eq!(endpoint.take_crashes(), []);
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against the same where the planned end cuts the answer to another request.
#[tokio::test(flavor = "current_thread")]
async fn planned_end_that_cuts_an_answer_blames_nobody_who_left() {
    let run = async {
        let endpoint = endpoint();
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        announce_again(&endpoint, listener.local_addr().expect("an address"), 1);
        let left = leave_running(&endpoint, &listener, false).await;
        let running = Rc::clone(&endpoint);
        let waiting = tokio::task::spawn_local(async move {
            let report = running.run(&call_of("/other", 5_000), Duration::ZERO).await;
            report.crashes.len()
        });
        let stream = take_request(&listener).await;
        endpoint.depart(&EndpointDeparture {
            id: "i".into(),
            born: Some(1),
        });
        drop((listener, stream, left));
        assert_eq!(waiting.await.expect("no panic"), 1);
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against a request that counts as over once the endpoint has sent bytes that are no answer: it may
/// still crash the endpoint.
#[tokio::test(flavor = "current_thread")]
async fn request_with_a_malformed_answer_may_still_crash_the_endpoint() {
    let run = async {
        let endpoint = endpoint();
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        announce_again(&endpoint, listener.local_addr().expect("an address"), 1);
        for (path, answer) in [
            ("/crashes", "no answer at all\r\n\r\n"),
            (
                "/other",
                "HTTP/1.1 200 OK\r\nid: r\r\nsigned: s\r\nconnection: close\r\ncontent-length: 0\r\n\r\n",
            ),
        ] {
            let running = Rc::clone(&endpoint);
            let call = call_of(path, 5_000);
            let waiting =
                tokio::task::spawn_local(async move { running.run(&call, Duration::ZERO).await });
            let mut stream = take_request(&listener).await;
            let written = stream.write_all(answer.as_bytes()).await;
            written.expect("an open connection");
            waiting.await.expect("no panic");
        }
        drop(listener);
        let report = endpoint.run(&call_of("/third", 500), Duration::ZERO).await;
        assert!(is_closed(&report.answer.result));
        assert_eq!(endpoint.take_crashes().len(), 1);
    };
    LocalSet::new().run_until(run).await;
}
