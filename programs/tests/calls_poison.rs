//! A request that crashes every upstream that runs it is sent again and again through all daemons:
//! it brings down a bounded number of upstreams, and other calls go on.

mod common;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use coltsfootweir::poison::POISON_TIMEOUT;
use standins::run_log::RunOutcome;
use standins::upstream_faults::UpstreamFaults;
use standins::upstream_settings::UpstreamSettings;

use common::caller::CallSpec;
use common::caller::KeptCaller;
use common::caller::call_once;
use common::caller::send_raw;
use common::caller_threads::pause;
use common::caller_threads::run_while;
use common::process_fleet::ProcessFleet;

const DAEMONS: usize = 5;

/// Time between two copies of the poison request.
const COPY_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which a caller leaves, half of the time after which the request crashes the upstream.
const LEAVE_TIME: Duration = Duration::from_millis(100);

/// Time within which a crash fact reaches every daemon.
const SPREAD_TIME: Duration = Duration::from_secs(1);

/// Time for which copies are sent, well within the time the request stays refused.
const SENDING_TIME: Duration = Duration::from_secs(12);

/// Time after which no more copies are sent, still within the time the request stays refused.
const MAX_SENDING_TIME: Duration = Duration::from_secs(40);

/// Copies to be exceeded that are refused as poison.
const LEAST_REFUSED: usize = 10;

/// Crashes allowed: two, and one for each copy sent before the facts are everywhere.
const MAX_CRASHES: usize = 2 + (SPREAD_TIME.as_millis() / COPY_INTERVAL.as_millis()) as usize;

struct OtherCalls {
    good: AtomicUsize,
    failed: AtomicUsize,
}

fn call_others(fleet: &ProcessFleet, caller: usize, stop: &AtomicBool, calls: &OtherCalls) {
    let mut kept = KeptCaller::new(fleet.daemons[caller % DAEMONS].calls);
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        // Paths of their own, so that none has run to its end before.
        let spec = CallSpec::get(format!("/stalls/{caller}-{number}"));
        let answer = kept.call(&spec).whole();
        let count = match answer.is_some_and(|answer| answer.is_good()) {
            true => &calls.good,
            false => &calls.failed,
        };
        count.fetch_add(1, Ordering::Relaxed);
        pause(Duration::from_millis(10));
    }
}

fn crash_count(fleet: &ProcessFleet) -> usize {
    let runs = fleet.runs();
    let is_poison = |path: &str| path.contains("poison");
    let crashed = runs
        .iter()
        .filter(|run| run.outcome == RunOutcome::Crashed && is_poison(&run.request.path));
    crashed.count()
}

/// Restarts what crashed, until stopped.
fn restart_crashed(fleet: &ProcessFleet, stop: &AtomicBool) {
    let mut restarted = vec![0; DAEMONS];
    while !stop.load(Ordering::Relaxed) {
        for (server, done) in fleet.servers.iter().zip(&mut restarted) {
            let runs = server.runs();
            let crashes = runs.iter().filter(|run| {
                run.outcome == RunOutcome::Crashed && run.request.path.contains("poison")
            });
            if crashes.count() > *done {
                *done += 1;
                server.restart().expect("upstream restarts");
            }
        }
        pause(Duration::from_millis(50));
    }
}

fn send_poison(fleet: &ProcessFleet, make_copy: impl Fn(usize) -> CallSpec) -> usize {
    let start = Instant::now();
    let mut refused = 0;
    for copy in 0.. {
        // Fewer copies are sent on a slow machine, so the sending goes on until enough were refused.
        let is_enough = refused > LEAST_REFUSED || start.elapsed() > MAX_SENDING_TIME;
        if is_enough && start.elapsed() > SENDING_TIME {
            break;
        }
        let answer = call_once(fleet.daemons[copy % DAEMONS].calls, &make_copy(copy)).whole();
        if let Some(answer) = answer {
            assert!(!answer.is_good(), "a crashed request was answered as run");
            refused += usize::from(answer.reason() == "poison");
        }
        pause(COPY_INTERVAL);
    }
    refused
}

/// Sends copies whose callers leave before the upstream crashes, and then some whose callers wait.
fn send_poison_and_leave(fleet: &ProcessFleet) -> usize {
    let spec = CallSpec::get("/stalls/poison");
    let start = Instant::now();
    for copy in 0.. {
        if start.elapsed() > SENDING_TIME {
            break;
        }
        let stream = send_raw(fleet.daemons[copy % DAEMONS].calls, &spec.encode());
        pause(LEAVE_TIME);
        drop(stream);
        pause(COPY_INTERVAL - LEAVE_TIME);
    }
    let mut refused = 0;
    for copy in 0..=LEAST_REFUSED {
        let answer = call_once(fleet.daemons[copy % DAEMONS].calls, &spec).whole();
        refused += usize::from(answer.is_some_and(|answer| answer.reason() == "poison"));
    }
    refused
}

fn prove_poison(make_copy: impl Fn(usize) -> CallSpec) {
    prove_poison_sent(Duration::ZERO, |fleet| send_poison(fleet, make_copy));
}

/// Proves that a request that crashes upstreams after `crash_delay` brings down few of them; `send` sends
/// copies of it and returns how many were refused.
fn prove_poison_sent(crash_delay: Duration, send: impl FnOnce(&ProcessFleet) -> usize) {
    assert!(MAX_SENDING_TIME < POISON_TIMEOUT);
    let mut settings = UpstreamSettings::new("stalls", "v1");
    settings.faults = UpstreamFaults {
        crash_on_body: Some("poison".into()),
        crash_delay,
        ..UpstreamFaults::default()
    };
    let fleet = ProcessFleet::start_logged(DAEMONS, &settings);
    let calls = OtherCalls {
        good: AtomicUsize::new(0),
        failed: AtomicUsize::new(0),
    };
    let mut refused = 0;
    // One thread more than there are callers restarts what crashed.
    let work = |number, stop: &AtomicBool| match number {
        DAEMONS => restart_crashed(&fleet, stop),
        caller => call_others(&fleet, caller, stop, &calls),
    };
    run_while(DAEMONS + 1, work, || {
        refused = send(&fleet);
    });
    let crashes = crash_count(&fleet);
    assert!(crashes <= MAX_CRASHES, "{crashes} upstreams brought down");
    assert!(crashes >= 2, "only {crashes} upstreams brought down");
    assert!(refused > LEAST_REFUSED, "only {refused} refused as poison");
    let good = calls.good.load(Ordering::Relaxed);
    let failed = calls.failed.load(Ordering::Relaxed);
    assert!(
        failed * 20 < good,
        "{failed} other calls failed, {good} were good"
    );
}

/// Guards against a request that crashes upstreams and is never refused, as its callers leave before the
/// crash.
#[test]
fn poison_whose_callers_leave_brings_down_few_upstreams() {
    prove_poison_sent(LEAVE_TIME * 2, send_poison_and_leave);
}

#[test]
fn poison_check_brings_down_few_upstreams() {
    prove_poison(|_| CallSpec::get("/stalls/poison"));
}

#[test]
fn poison_booking_sent_with_new_keys_brings_down_few_upstreams() {
    // The key is not part of what makes two requests the same.
    prove_poison(|copy| {
        let spec = CallSpec::post("/bookings/poison", "stall 4");
        spec.with("idempotency-key", format!("poison-{copy}"))
    });
}
