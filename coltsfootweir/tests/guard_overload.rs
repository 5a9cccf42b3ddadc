//! Work done in time stays near the peak when far more arrives than the upstream can run.

use std::collections::HashMap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use coltsfootweir::guard::AdmitDecision;
use coltsfootweir::guard::GuardEvent;
use coltsfootweir::guard::GuardState;

const SLOTS: u16 = 9;

/// Long enough that only knowledge of deadlines keeps hopeless requests out.
const QUEUE_LIMIT: usize = 200;

/// Mean of the run times.
const MEAN_RUN_MS: f64 = 20.0;

const SECONDS: u64 = 20;

/// Requests a second: answered in time, and expired after waiting.
#[derive(Clone, Copy, Debug)]
struct WorkDone {
    good: f64,
    expired: f64,
}

/// Work done at `load` times what the upstream can run. Callers never
/// take back a request, so a run past its deadline wastes the slot to its end.
fn work_done(load: f64, run_ms: impl Fn(&mut ChaCha8Rng) -> u64) -> WorkDone {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut guard = GuardState::new(SLOTS, QUEUE_LIMIT);
    let mut deadlines: HashMap<u64, Duration> = HashMap::new();
    let mut ends: HashMap<u64, Duration> = HashMap::new();
    let rate_per_ms = load * f64::from(SLOTS) / MEAN_RUN_MS;
    let mut owed = 0.0;
    let mut good = 0_u64;
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
            good += u64::from(end <= deadlines[&id]);
            events.extend(guard.finish(id, now));
        }
        owed += rate_per_ms;
        while owed >= rng.random_range(0.0..2.0) && owed > 0.0 {
            owed -= 1.0;
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
    WorkDone {
        good: good as f64 / SECONDS as f64,
        expired: expired as f64 / SECONDS as f64,
    }
}

fn check_work_done(run_ms: impl Fn(&mut ChaCha8Rng) -> u64) {
    let loads = [0.8, 1.0, 2.0, 3.0, 4.0];
    let figures = loads.map(|load| (load, work_done(load, &run_ms)));
    println!("{figures:?}");
    let goods = figures.iter().map(|(_, work)| work.good);
    let peak = goods.fold(0.0, f64::max);
    let capacity = f64::from(SLOTS) * 1000.0 / MEAN_RUN_MS;
    assert!(peak >= 0.8 * capacity, "peak {peak} of {capacity}");
    for (load, work) in figures {
        let is_near = load < 2.0 || work.good >= 0.9 * peak;
        assert!(is_near, "{} a second at {load} times", work.good);
        // What cannot finish is refused on arrival, not after it waited.
        assert!(work.expired <= 0.1 * capacity, "{} expired", work.expired);
    }
}

#[test]
fn goodput_under_overload_stays_near_the_peak() {
    check_work_done(|rng| rng.random_range(10..=30));
}

#[test]
fn goodput_with_short_and_long_runs_stays_near_the_peak() {
    check_work_done(|rng| if rng.random_bool(0.8) { 10 } else { 60 });
}
