//! "Not run" is true: no request whose answer said so stands in any upstream's log of runs, under
//! overload, crashes of upstreams, killed daemons, leaving upstreams and short deadlines.

mod common;

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use standins::upstream_settings::UpstreamSettings;

use common::PATIENCE;
use common::call_checks::run_ids;
use common::caller::CallSpec;
use common::caller::call_once;
use common::caller_threads::pause;
use common::caller_threads::run_while;
use common::process_fleet::ProcessFleet;
use common::wait_for;

/// Callers at once: four times what the slots of the fleet hold, and more than queue.
const CALLERS: usize = 72;

/// Most connections an upstream may have seen at once; its limit is 120.
const MAX_CONNECTIONS: u32 = 60;

/// Refusals and other answers that the callers saw.
#[derive(Default)]
struct SeenAnswers {
    refused: Vec<(String, String)>,
    good: usize,
}

fn make_call(id: &str, rng: &mut ChaCha8Rng) -> CallSpec {
    let mut spec = if rng.random_range(0..3) == 0 {
        CallSpec::post("/bookings/stall", id).with("idempotency-key", id)
    } else {
        CallSpec::get(format!("/stalls/{id}"))
    };
    spec = spec.with("x-request-id", id);
    if rng.random_range(0..2) == 0 {
        // A call below another in a chain is tried once.
        spec = spec.with("x-coltsfootweir-hops", 1);
    }
    match rng.random_range(0..3) {
        0 => spec.with("x-coltsfootweir-deadline-ms", rng.random_range(1..60)),
        1 => spec.with("x-coltsfootweir-deadline-ms", rng.random_range(60..400)),
        _ => spec,
    }
}

fn call_until_stopped(
    caller: usize,
    addresses: &RwLock<Vec<SocketAddr>>,
    stop: &AtomicBool,
    seen: &Mutex<SeenAnswers>,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(caller as u64);
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("n{caller}-{number}");
        let spec = make_call(&id, &mut rng);
        let address = {
            let addresses = addresses.read().expect("addresses");
            addresses[rng.random_range(0..addresses.len())]
        };
        let Some(answer) = call_once(address, &spec).whole() else {
            continue;
        };
        let mut seen = seen.lock().expect("answers");
        seen.good += usize::from(answer.is_good());
        if answer.outcome() == "not-run" {
            seen.refused.push((id, answer.reason().to_string()));
        }
    }
}

/// Calls while `fail` breaks parts of the fleet, then holds every refusal against the run logs.
fn prove_refusals(
    fleet: &mut ProcessFleet,
    mut fail: impl FnMut(&mut ProcessFleet),
) -> SeenAnswers {
    let addresses = RwLock::new(fleet.calls());
    let seen = Mutex::new(SeenAnswers::default());
    let call = |caller, stop: &AtomicBool| call_until_stopped(caller, &addresses, stop, &seen);
    run_while(CALLERS, call, || {
        for _ in 0..4 {
            pause(Duration::from_millis(600));
            fail(fleet);
            *addresses.write().expect("addresses") = fleet.calls();
        }
        pause(Duration::from_millis(600));
        wait_for("good answers", PATIENCE, || {
            seen.lock().expect("answers").good > 50
        });
    });
    let seen = seen.into_inner().expect("answers");
    let ran = run_ids(&fleet.runs());
    for (id, reason) in &seen.refused {
        assert!(!ran.contains(id), "{id} ran but was refused as {reason}");
    }
    for server in &fleet.servers {
        let peak = server.stats().connections_peak;
        assert!(peak < MAX_CONNECTIONS, "{peak} connections at one upstream");
    }
    assert!(seen.good > 50, "only {} good answers", seen.good);
    seen
}

fn slow_upstream() -> UpstreamSettings {
    let mut settings = UpstreamSettings::new("stalls", "v1");
    settings.slots = 4;
    settings.work = Duration::from_millis(30);
    settings.work_jitter_percent = 80;
    settings
}

fn assert_seen(seen: &SeenAnswers, reason: &str) {
    let count = seen.refused.iter().filter(|(_, own)| own == reason).count();
    assert!(count > 0, "no request was refused as {reason}");
}

#[test]
fn refusals_are_true_under_overload_short_deadlines_and_broken_answers() {
    let mut settings = slow_upstream();
    settings.faults.truncate_percent = 20;
    let mut fleet = ProcessFleet::start_logged(3, &settings);
    let seen = prove_refusals(&mut fleet, |_| {});
    assert_seen(&seen, "overloaded");
    assert_seen(&seen, "deadline-passed");
    for server in &fleet.servers {
        // Only a run that its daemon gave up can still hold a slot that the daemon counts as free.
        let stats = server.stats();
        assert!(stats.shed <= stats.cancelled, "beyond the slots: {stats:?}");
    }
}

#[test]
fn refusals_are_true_while_upstreams_crash_and_come_back() {
    let mut fleet = ProcessFleet::start_logged(3, &slow_upstream());
    let mut next = 0;
    let seen = prove_refusals(&mut fleet, |fleet| {
        let server = &fleet.servers[next % 3];
        server.crash();
        pause(Duration::from_millis(200));
        server.restart().expect("upstream restarts");
        next += 1;
    });
    assert_seen(&seen, "upstream-down");
}

#[test]
fn refusals_are_true_while_daemons_die_and_an_upstream_leaves() {
    let mut fleet = ProcessFleet::start_logged(4, &slow_upstream());
    let mut next = 0;
    let seen = prove_refusals(&mut fleet, |fleet| {
        match next {
            0 | 2 => fleet.restart_joined(next),
            1 => fleet.servers[3].leave(),
            _ => fleet.daemons[1].process.kill(),
        }
        next += 1;
    });
    assert_seen(&seen, "overloaded");
}
