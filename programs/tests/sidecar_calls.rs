//! Requests through sidecars as processes: what endpoints see, what clients get, and what never runs
//! twice, whatever an endpoint answers.

mod common;
mod sidecar;

use std::time::Duration;
use std::time::Instant;

use common::PATIENCE;
use common::caller::CallSpec;
use common::caller::KeptCaller;
use common::caller::send_raw;
use common::caller_threads::run_callers;
use common::wait_for;
use sidecar::sidecar_fleet::HORSES;
use sidecar::sidecar_fleet::STALLS;
use sidecar::sidecar_fleet::SidecarFleet;
use sidecar::sidecar_fleet::request;

/// An endpoint loses its answer: what may run twice is answered by another long before its time is up,
/// and what may not runs once.
#[test]
fn overdue_answers_of_repeatable_requests_come_from_another_endpoint() {
    let fleet = SidecarFleet::start_ready(&[(HORSES, "v1"), (STALLS, "v1"), (STALLS, "v1")]);
    let ingress = &fleet.sidecars[0];
    for number in 0..10 {
        let answer = ingress.get("/free/slow", &format!("warm-{number}"));
        assert_eq!(answer.status, 200);
    }
    let start = Instant::now();
    assert_eq!(ingress.get("/free/lost-once", "lost").status, 200);
    assert!(start.elapsed() < Duration::from_millis(1_500));
    assert_eq!(fleet.runs_of("lost"), 2);
    let answer = ingress.call(&request("POST", "/book/lost-once", "booking", 900));
    assert_eq!(answer.expect("a whole answer").status, 504);
    assert_eq!(fleet.runs_of("booking"), 1);
}

#[test]
fn request_reaches_the_endpoint_of_another_daemon_as_it_was_sent() {
    let fleet = SidecarFleet::start_ready(&[(HORSES, "v1"), (STALLS, "v1")]);
    let spec = request("POST", "/book/ok?night=2", "id-1", 1_500)
        .with("downstream-service", "forged")
        .with("x-kept", "yes")
        .with("connection", "x-dropped")
        .with("x-dropped", "yes");
    let answer = fleet.sidecars[0].call(&spec).expect("a whole answer");
    assert_eq!((answer.status, answer.text()), (200, "a whole body".into()));
    assert_eq!(answer.header("request-id"), "id-1");
    assert_eq!(answer.header("upstream-signature"), "i-1");
    let seen = fleet.endpoints[1].seen();
    let seen = seen.iter().find(|seen| seen.id() == "id-1").expect("a run");
    assert_eq!(seen.path, "/book/ok?night=2");
    assert_eq!(seen.body, b"a body");
    assert_eq!(seen.header("downstream-service"), HORSES);
    assert_eq!(seen.header("expected-instance"), "i-1");
    assert_eq!(seen.header("x-kept"), "yes");
    assert_eq!(seen.header("x-dropped"), "");
    let left: u64 = seen.header("timeout-ms").parse().expect("a number");
    assert!((1..=1_500).contains(&left), "{left}");
    // The request can be found again by its id.
    let ended = || fleet.sidecars[0].events("request_ended");
    wait_for("the log line", PATIENCE, || {
        ended().iter().any(|event| event["request"] == "id-1")
    });
}

#[test]
fn answers_that_prove_nothing_are_neither_success_nor_refusal() {
    let fleet = SidecarFleet::start_ready(&[(STALLS, "v1")]);
    for mode in [
        "unsigned",
        "cut",
        "garbage",
        "close",
        "busy",
        "half-line",
        "half-head",
    ] {
        let id = format!("post-{mode}");
        let spec = request("POST", &format!("/book/{mode}"), &id, 1_500);
        let answer = fleet.sidecars[0].call(&spec).expect("a whole answer");
        assert_eq!(answer.status, 502, "{mode}");
        assert_eq!(answer.header("upstream-signature"), "", "{mode}");
        assert_eq!(fleet.runs_of(&id), 1, "{mode}");
    }
    let answer = fleet.sidecars[0].get("/book/fail", "failed");
    assert_eq!(answer.status, 500);
    assert_eq!(answer.header("upstream-signature"), "s");
}

#[test]
fn whole_answers_of_every_framing_are_passed_on() {
    let fleet = SidecarFleet::start_ready(&[(STALLS, "v1")]);
    let answer = fleet.sidecars[0].get("/free/chunked", "c");
    assert_eq!((answer.status, answer.text()), (200, "hello there".into()));
    let answer = fleet.sidecars[0].get("/free/unframed", "u");
    assert_eq!(
        (answer.status, answer.text()),
        (200, "until the end".into())
    );
}

#[test]
fn extra_and_late_answers_reach_no_other_request() {
    let fleet = SidecarFleet::start_ready(&[(STALLS, "v1")]);
    let mut caller = KeptCaller::new(fleet.sidecars[0].requests);
    for (number, mode) in ["extra", "ok", "stale", "ok", "extra", "stale", "ok"]
        .into_iter()
        .enumerate()
    {
        let id = format!("id-{number}");
        let spec = request("POST", &format!("/book/{mode}"), &id, 1_500);
        let answer = caller.call(&spec).whole().expect("a whole answer");
        assert_eq!(answer.text(), "a whole body", "{mode}");
        assert_eq!(answer.header("request-id"), id, "{mode}");
        assert_eq!(fleet.runs_of(&id), 1, "{mode}");
    }
}

/// Guards against a refusal, a failure or a success that names no request, or an earlier one, and is taken
/// for the answer to the request that runs: it ran twice, or was reported as not run.
#[test]
fn answers_that_name_no_request_answer_none() {
    let fleet = SidecarFleet::start_ready(&[(HORSES, "v1"), (STALLS, "v1"), (STALLS, "v1")]);
    for mode in [
        "bare-shed",
        "bare-misdirected",
        "bare-bad",
        "bare-signed",
        "shed-again",
    ] {
        for number in 0..6 {
            let id = format!("{mode}-{number}");
            let spec = request("POST", &format!("/book/{mode}"), &id, 1_500);
            let answer = fleet.sidecars[0].call(&spec).expect("a whole answer");
            assert_eq!((answer.status, answer.text()), (200, "a whole body".into()));
            assert_eq!(answer.header("request-id"), id);
            assert_eq!(fleet.runs_of(&id), 1, "{id}");
        }
    }
    let spec = request("POST", "/book/bare-shed-only", "only", 600);
    let answer = fleet.sidecars[0].call(&spec).expect("a whole answer");
    assert_eq!(answer.status, 504, "it may have run");
    assert_eq!(fleet.runs_of("only"), 1);
}

#[test]
fn idempotent_request_is_repeated_at_another_endpoint() {
    let fleet = SidecarFleet::start_ready(&[(STALLS, "v1"), (STALLS, "v1")]);
    let answer = fleet.sidecars[0].get("/free/close", "lost");
    // Both endpoints close; each had it once, as the route allows two attempts.
    assert_eq!(answer.status, 502);
    assert_eq!(fleet.runs_of("lost"), 2);
    let spec = request("POST", "/book/close", "once", 1_500);
    let answer = fleet.sidecars[0].call(&spec).expect("a whole answer");
    assert_eq!(answer.status, 502);
    assert_eq!(fleet.runs_of("once"), 1);
}

#[test]
fn rejected_request_is_refused_with_a_time_to_return() {
    let fleet = SidecarFleet::start_ready(&[(STALLS, "v1")]);
    let spec = request("POST", "/book/shed", "shed", 1_500);
    let answer = fleet.sidecars[0].call(&spec).expect("a whole answer");
    assert_eq!(answer.status, 503);
    let pause: f64 = answer.header("retry-after").parse().expect("seconds");
    assert!((0.01..=1.5).contains(&pause), "{pause}");
    assert_eq!(fleet.runs_of("shed"), 0);
}

/// Burst over a queue: forty requests of 250 ms at two slots, worth waiting for half a second.
#[test]
fn overload_is_refused_at_once_and_only_what_ran_is_answered() {
    let fleet = SidecarFleet::start_ready(&[(STALLS, "v1")]);
    let requests = fleet.sidecars[0].requests;
    let ends = run_callers(40, |number| {
        let spec = request("GET", "/free/slow", &format!("burst-{number}"), 2_000);
        let start = Instant::now();
        let answer = common::caller::call_once(requests, &spec).whole();
        (answer.expect("a whole answer"), start.elapsed())
    });
    let mut served = 0;
    for (number, (answer, time)) in ends.iter().enumerate() {
        let runs = fleet.runs_of(&format!("burst-{number}"));
        match answer.status {
            200 => {
                served += 1;
                assert_eq!(runs, 1);
            }
            503 => {
                assert_eq!(runs, 0, "refused and run");
                assert!(!answer.header("retry-after").is_empty());
                assert!(*time < Duration::from_millis(500), "held {time:?}");
            }
            other => panic!("status {other}"),
        }
    }
    assert!((2..40).contains(&served), "{served} served");
}

#[test]
fn request_given_up_by_its_client_is_given_up_at_the_endpoint() {
    let fleet = SidecarFleet::start_ready(&[(HORSES, "v1"), (STALLS, "v1")]);
    let text = "GET /free/slower HTTP/1.1\r\nhost: test\r\nrequest-id: gone\r\n\r\n";
    let stream = send_raw(fleet.sidecars[0].requests, text.as_bytes());
    wait_for("the run", PATIENCE, || fleet.runs_of("gone") == 1);
    drop(stream);
    let taken = wait_for("the end of the run", PATIENCE, || {
        fleet.endpoints[1].abandoned() == 1
    });
    assert!(taken < Duration::from_millis(500), "{taken:?}");
}

#[test]
fn unanswered_request_gets_its_final_answer_at_the_time_limit() {
    let fleet = SidecarFleet::start_ready(&[(STALLS, "v1")]);
    let start = Instant::now();
    let spec = request("POST", "/book/slower", "late", 700);
    let answer = fleet.sidecars[0].call(&spec).expect("a whole answer");
    assert_eq!(answer.status, 504);
    assert!(start.elapsed() < Duration::from_millis(1_200));
}

#[test]
fn requests_outside_the_configuration_are_told_apart() {
    let fleet = SidecarFleet::start(&[(STALLS, "v1")]);
    wait_for("the port", PATIENCE, || {
        std::net::TcpStream::connect(fleet.sidecars[0].requests).is_ok()
    });
    let answer = fleet.sidecars[0].get("/free/ok", "early");
    assert_eq!(answer.status, 503, "no configuration is known yet");
    assert!(!fleet.sidecars[0].is_ready());
    fleet.put_config(1, "");
    fleet.wait_config(1);
    fleet.wait_endpoints();
    assert!(fleet.sidecars[0].is_ready());
    assert_eq!(fleet.sidecars[0].get("/nowhere/", "none").status, 404);
    let long = CallSpec::post("/book/ok", vec![b'x'; 70_000]).with("request-id", "long");
    let answer = fleet.sidecars[0].call(&long).expect("a whole answer");
    assert_eq!(answer.status, 413);
    assert_eq!(fleet.runs_of("long"), 0);
}
