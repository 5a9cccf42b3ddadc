//! Callers get the whole answer to their own request, or an error: late, crossed, truncated, and
//! with upstreams, daemons and connections that break half-way.

mod common;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use standins::relay::RelayMode;
use standins::relay::TcpRelay;

use common::call_checks::assert_own;
use common::caller::CallEnd;
use common::caller::CallSpec;
use common::caller::KeptCaller;
use common::caller::call_once;
use common::caller_threads::pause;
use common::caller_threads::run_callers;
use common::caller_threads::run_while;
use common::caller_threads::wait_count;
use common::json_http::post_json;
use common::process_fleet::ProcessFleet;

const CALLERS: usize = 24;

/// Largest answer asked for, bytes.
const MAX_SIZE: usize = 200_000;

fn sized_call(id: &str, size: usize) -> CallSpec {
    CallSpec::get("/stalls/free")
        .with("x-request-id", id)
        .with("x-standin-size", size)
}

/// Calls through `addresses` until `is_over` and counts the good answers. Every one is checked.
fn call_until(
    addresses: &[std::net::SocketAddr],
    caller: usize,
    good: &AtomicUsize,
    is_over: impl Fn(usize) -> bool,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(caller as u64);
    let mut kept: Vec<KeptCaller> = addresses.iter().copied().map(KeptCaller::new).collect();
    for number in 0.. {
        if is_over(number) {
            return;
        }
        let id = format!("c{caller}-{number}");
        let size = rng.random_range(200..MAX_SIZE);
        let daemon = rng.random_range(0..kept.len());
        let mut spec = sized_call(&id, size);
        if number % 5 == 0 {
            let deadline = rng.random_range(3..40);
            spec = spec.with("x-coltsfootweir-deadline-ms", deadline);
        }
        if let CallEnd::Whole(answer) = kept[daemon].call(&spec) {
            assert_own(&answer, &id, size);
            good.fetch_add(usize::from(answer.is_good()), Ordering::Relaxed);
        }
    }
}

#[test]
fn crossed_late_and_truncated_answers_reach_no_other_caller() {
    let flags = ["--work-us=8000", "--work-jitter-percent=100", "--seed=7"];
    let fleet = ProcessFleet::start_serving(3, &flags);
    fleet.set_upstream_faults(r#"{"truncate_percent": 20}"#);
    let good = AtomicUsize::new(0);
    run_callers(CALLERS, |caller| {
        call_until(&fleet.calls(), caller, &good, |number| number == 60);
    });
    let good = good.into_inner();
    assert!(good > CALLERS * 60 / 4, "only {good} good answers");
}

#[test]
fn killed_upstreams_and_daemons_leave_no_short_or_foreign_answer() {
    let flags = ["--work-us=10000", "--work-jitter-percent=100", "--seed=8"];
    let mut fleet = ProcessFleet::start_serving(4, &flags);
    let addresses = fleet.calls();
    let good = AtomicUsize::new(0);
    let call = |caller, stop: &AtomicBool| {
        call_until(&addresses, caller, &good, |_| stop.load(Ordering::Relaxed));
    };
    run_while(CALLERS, call, || {
        for round in 0..4 {
            pause(Duration::from_millis(700));
            fleet.restart_upstream(round % 3);
        }
        pause(Duration::from_millis(700));
        fleet.daemons[3].process.kill();
        pause(Duration::from_millis(700));
        wait_count("good answers", &good, 200);
    });
    let good = good.into_inner();
    assert!(good > 200, "only {good} good answers");
}

#[test]
fn answers_that_a_relay_ends_half_way_are_errors() {
    let fleet = ProcessFleet::start_serving(2, &["--seed=9"]);
    // The daemons meet their upstreams through relays: the announcements name the relay.
    let relays: Vec<TcpRelay> = fleet
        .upstreams
        .iter()
        .map(|upstream| TcpRelay::start(upstream.address).expect("relay starts"))
        .collect();
    let announce = |index: usize| {
        let body = serde_json::json!({
            "service": "stalls", "version": "v1", "slots": 9, "leaving": false,
            "address": relays[index].address().to_string(),
        });
        post_json(fleet.daemons[index].control, "/announce", &body.to_string());
    };
    for upstream in &fleet.upstreams {
        upstream.process.signal("STOP");
    }
    (0..2).for_each(announce);
    for upstream in &fleet.upstreams {
        upstream.process.signal("CONT");
    }
    let mut broken = 0;
    for number in 0..200_usize {
        let half = number % 4 == 3;
        let mode = if half {
            RelayMode::HalfAnswer(500 + number * 10)
        } else {
            RelayMode::Pass
        };
        relays.iter().for_each(|relay| relay.set_mode(mode));
        (0..2).for_each(announce);
        let id = format!("half-{number}");
        let size = 20_000;
        let end = call_once(fleet.daemons[number % 2].calls, &sized_call(&id, size));
        let CallEnd::Whole(answer) = end else {
            panic!("the daemon cut its own answer: {end:?}");
        };
        assert_own(&answer, &id, size);
        broken += usize::from(half && !answer.is_good());
    }
    assert!(broken > 10, "only {broken} answers were broken");
}
