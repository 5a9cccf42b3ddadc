//! Goodput of the guard under overload: it stays near its peak when more requests arrive than the
//! upstream can run.

use std::collections::HashMap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use coltsfootweir::guard::AdmitDecision;
use coltsfootweir::guard::GuardEvent;
use coltsfootweir::guard::GuardState;

const SLOTS: u16 = 9;

/// Long enough that requests are refused because of their deadlines and not because of this limit.
const QUEUE_LIMIT: usize = 200;

/// Mean run time, in milliseconds.
const MEAN_RUN_MS: f64 = 20.0;

/// Simulated time, in seconds.
const SECONDS: u64 = 20;

/// Requests per second that were answered in time and that expired in the queue.
#[derive(Clone, Copy, Debug)]
struct OverloadRates {
    in_time: f64,
    expired: f64,
}

/// Simulates `load` times the capacity of the upstream. Callers never cancel a request, so a run past
/// its deadline occupies its slot to the end.
fn simulate(load: f64, run_ms: impl Fn(&mut ChaCha8Rng) -> u64) -> OverloadRates {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut guard = GuardState::new(SLOTS, QUEUE_LIMIT);
    let mut deadlines: HashMap<u64, Duration> = HashMap::new();
    let mut ends: HashMap<u64, Duration> = HashMap::new();
    let rate_per_ms = load * f64::from(SLOTS) / MEAN_RUN_MS;
    let mut backlog = 0.0;
    let mut in_time = 0_u64;
    let mut expired = 0_u64;
    for ms in 0..SECONDS * 1000 {
        let now = Duration::from_millis(ms);
        let mut events = guard.poll(now);
        let mut ended: Vec<u64> = Vec::new();
        for (id, end) in &ends {
            if *end <= now {
                ended.push(*id);
            }
        }
        ended.sort_unstable();
        for id in ended {
            let end = ends.remove(&id).unwrap();
            in_time += u64::from(end <= deadlines[&id]);
            events.extend(guard.finish(id, now));
        }
        backlog += rate_per_ms;
        while backlog >= rng.random_range(0.0..2.0) && backlog > 0.0 {
            backlog -= 1.0;
            let id = deadlines.len() as u64;
            let time_left = rng.random_range(30..150);
            deadlines.insert(id, now + Duration::from_millis(time_left));
            if guard.arrive(id, deadlines[&id], now) == AdmitDecision::Run {
                events.push(GuardEvent::Start(id));
            }
        }
        for event in events {
            if let GuardEvent::Start(id) = event {
                ends.insert(id, now + Duration::from_millis(run_ms(&mut rng)));
            }
            expired += u64::from(matches!(event, GuardEvent::Expire(_)));
        }
    }
    OverloadRates {
        in_time: in_time as f64 / SECONDS as f64,
        expired: expired as f64 / SECONDS as f64,
    }
}

fn check_goodput(run_ms: impl Fn(&mut ChaCha8Rng) -> u64) {
    let loads = [0.8, 1.0, 2.0, 3.0, 4.0];
    let rates_by_load = loads.map(|load| (load, simulate(load, &run_ms)));
    println!("{rates_by_load:?}");
    let goodputs = rates_by_load.iter().map(|(_, rates)| rates.in_time);
    let peak = goodputs.fold(0.0, f64::max);
    let capacity = f64::from(SLOTS) * 1000.0 / MEAN_RUN_MS;
    assert!(
        peak >= 0.8 * capacity,
        "peak goodput {peak} of {capacity} per second"
    );
    for (load, rates) in rates_by_load {
        let is_near_peak = load < 2.0 || rates.in_time >= 0.9 * peak;
        assert!(
            is_near_peak,
            "goodput {} per second at {load} times the capacity",
            rates.in_time
        );
        // Requests that cannot finish in time must be refused on arrival, not expire in the queue.
        assert!(
            rates.expired <= 0.1 * capacity,
            "{} requests per second expired",
            rates.expired
        );
    }
}

#[test]
fn goodput_under_overload_stays_near_the_peak() {
    check_goodput(|rng| rng.random_range(10..=30));
}

#[test]
fn goodput_with_short_and_long_runs_stays_near_the_peak() {
    check_goodput(|rng| if rng.random_bool(0.8) { 10 } else { 60 });
}
