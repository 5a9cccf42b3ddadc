//! Error rates of the verdicts over generated good and bad versions, with fixed seeds.

mod common;
mod trial;

use std::cell::Cell;
use std::ops::Range;
use std::time::Duration;

use rand::RngExt;

use coltsfootweir::ids::Fingerprint;

use crate::trial::CallEnd;
use crate::trial::CallSite;
use crate::trial::MoveTrial;
use crate::trial::PlannedCrash;
use crate::trial::TrialRuns;
use crate::trial::WELL;
use crate::trial::repeat;

/// Largest share of wrongly condemned good versions.
const WRONG_BOUND: f64 = 0.01;

/// Largest share of bad versions missed where the faulty route has one call in twenty.
const MISSED_BOUND: f64 = 0.03;

/// Largest share of a move's bookings harmed by a fault that shows at the first steps.
const EARLY_HARM: f64 = 0.02;

/// The same for a fault that takes many calls to tell, or that shows half way.
const PARTIAL_HARM: f64 = 0.035;

/// The same for a fault that shows at the full share, or to bookings only.
const LATE_HARM: f64 = 0.07;

/// The same for a fault of both versions at the full share, where all calls of the fault count.
const COMMON_HARM: f64 = 0.05;

/// The same for a fault that shows after a long good past, at a small share.
const LONG_HARM: f64 = 0.01;

/// The same when a whole move has about thirty bookings.
const SPARSE_HARM: f64 = 0.25;

const FAILED: CallEnd = CallEnd {
    failed: true,
    ..WELL
};

/// Check that at most a hundredth of the good versions is condemned and every other one is done.
fn assert_good(runs: &TrialRuns) {
    let (condemned, all) = (runs.condemned, runs.runs);
    let wrong = condemned as f64 / all as f64;
    assert!(wrong <= WRONG_BOUND, "{condemned} of {all} condemned");
    assert_eq!(runs.done + condemned, all, "every other one is done");
}

/// Check that every bad version is condemned, and that no more than this share of a move's bookings
/// is harmed.
fn assert_bad(worst_harm: f64) -> impl Fn(&TrialRuns) {
    move |runs| {
        assert_eq!(runs.condemned, runs.runs, "every bad version is condemned");
        let harm = runs.worst_harm;
        assert!(harm <= worst_harm, "bookings harmed: {harm}");
    }
}

/// Check that few bad versions are missed and that none harms a booking.
fn assert_few_missed(runs: &TrialRuns) {
    let missed = runs.done as f64 / runs.runs as f64;
    assert!(missed <= MISSED_BOUND, "{missed} of the bad ones missed");
    assert_eq!(runs.harmed, 0);
}

/// Makes this share of the calls fail where `hits` says so.
fn failing(trial: &mut MoveTrial, rate: f64, hits: impl Fn(&CallSite) -> bool + 'static) {
    trial.fault = Box::new(move |site, rng| {
        if hits(site) && rng.random_bool(rate) {
            FAILED
        } else {
            WELL
        }
    });
}

/// Makes calls slower by this factor where `hits` says so.
fn slower(trial: &mut MoveTrial, factor: f64, hits: impl Fn(&CallSite) -> bool + 'static) {
    trial.fault = Box::new(move |site, _| CallEnd {
        latency_factor: if hits(site) { factor } else { 1.0 },
        ..WELL
    });
}

fn set_weights(trial: &mut MoveTrial, weights: [f64; 3]) {
    for (route, weight) in trial.routes.iter_mut().zip(weights) {
        route.1 = weight;
    }
}

/// Crashes an endpoint of the new version while these requests run.
fn crash(trial: &mut MoveTrial, second: u64, endpoint: usize, running: Vec<Fingerprint>) {
    trial.crashes.push(PlannedCrash {
        second,
        is_new: true,
        endpoint,
        running,
    });
}

/// Lets calls of both versions fail in bursts.
fn burst(trial: &mut MoveTrial, rate: f64) {
    let is_hit = |second| (30..45).contains(&second) || (60..75).contains(&second);
    failing(trial, rate, move |site| is_hit(site.second));
}

/// Lets calls of both versions fail in these seconds of the full share.
fn common_at_full_share(trial: &mut MoveTrial, rate: f64, seconds: Range<u64>) {
    let began = Cell::new(None);
    trial.fault = Box::new(move |site, rng| {
        if site.share.bookings < 100 {
            began.set(None);
            return WELL;
        }
        let start = began.get().unwrap_or(site.second);
        began.set(Some(start));
        if seconds.contains(&(site.second - start)) && rng.random_bool(rate) {
            return FAILED;
        }
        WELL
    });
}

/// Makes a test of each trial: its name, what must hold, its label and how it differs from the usual.
macro_rules! trials {
    ($($(#[$doc:meta])* $name:ident: $check:expr, $label:expr, $vary:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            $check(&repeat($label, $vary));
        }
    )*};
}

trials! {
    fails_all: assert_bad(EARLY_HARM), "fails 100%",
        |trial, _| failing(trial, 1.0, |site| site.is_new);
    fails_a_fifth: assert_bad(EARLY_HARM), "fails 20%",
        |trial, _| failing(trial, 0.2, |site| site.is_new);
    fails_a_twentieth: assert_bad(PARTIAL_HARM), "fails 5%",
        |trial, _| failing(trial, 0.05, |site| site.is_new);
    fails_later: assert_bad(LATE_HARM), "fails 50% after 60 s",
        |trial, _| failing(trial, 0.5, |site| site.is_new && site.second > 70);
    fails_after_a_long_while: assert_bad(LONG_HARM), "fails 25% after 240 s, all fail 5%",
        |trial, _| {
            failing(trial, 0.25, |site| site.is_new && site.second > 250);
            trial.base_failure = 0.05;
            trial.allowed = Duration::from_secs(900);
        };
    fails_after_the_last_step: assert_bad(LATE_HARM), "fails 50% at 100%",
        |trial, _| failing(trial, 0.5, |site| site.is_new && site.share.bookings == 100);
    fails_under_load: assert_bad(PARTIAL_HARM), "fails 30% from 50%",
        |trial, _| failing(trial, 0.3, |site| site.is_new && site.share.checks >= 50);
    fails_on_the_booking_route: assert_bad(LATE_HARM), "fails 50% of bookings",
        |trial, _| failing(trial, 0.5, |site| site.is_new && site.route == 2);
    fails_on_one_check_route: assert_bad(0.0), "fails 30% on one check route",
        |trial, _| failing(trial, 0.3, |site| site.is_new && site.route == 1);
    fails_at_low_traffic: assert_bad(SPARSE_HARM), "fails 50%, one call in two seconds",
        |trial, _| {
            failing(trial, 0.5, |site| site.is_new);
            trial.calls_per_second = 0.5;
            trial.allowed = Duration::from_secs(600);
        };
    fails_with_one_endpoint: assert_bad(EARLY_HARM), "fails 50%, one endpoint each",
        |trial, _| {
            failing(trial, 0.5, |site| site.is_new);
            trial.endpoints = (1, 1);
        };
    fails_on_a_rare_route: assert_few_missed, "fails 50% on a rare route, all fail 5%",
        |trial, _| {
            failing(trial, 0.5, |site| site.is_new && site.route == 1);
            set_weights(trial, [0.75, 0.05, 0.2]);
            trial.base_failure = 0.05;
        };
    three_times_slower: assert_bad(PARTIAL_HARM), "3 times slower",
        |trial, _| slower(trial, 3.0, |site| site.is_new);
    crashes: assert_bad(0.0), "crashes every 10 s",
        |trial, seed| for number in 0..10 {
            let running = vec![100 + 2 * number, 101 + 2 * number];
            crash(trial, 20 + 10 * number, (number + seed) as usize % 3, running);
        };
    /// Requests that crash the version reach one endpoint only, such as those of one region.
    crashes_where_the_requests_go: assert_bad(0.0), "crashes every 5 s at one endpoint",
        |trial, _| for number in 0..20 {
            crash(trial, 20 + 5 * number, 0, vec![100 + number]);
        };
    /// Ordinary requests, which ran to an end before, were running at each crash.
    good_with_one_endpoint_that_crashes: assert_good, "good, one endpoint crashes every 5 s",
        |trial, _| for number in 0..20 {
            crash(trial, 20 + 5 * number, 0, Vec::new());
        };
    good: assert_good, "good", |_, _| {};
    good_at_high_traffic: assert_good, "good, 200 calls a second",
        |trial, _| {
            trial.calls_per_second = 200.0;
            trial.endpoints = (6, 6);
        };
    good_with_one_endpoint: assert_good, "good, one endpoint each",
        |trial, _| trial.endpoints = (1, 1);
    good_at_a_high_failure_rate: assert_good, "good, both fail 5%",
        |trial, _| trial.base_failure = 0.05;
    good_with_one_bad_endpoint: assert_good, "good, one bad endpoint of 3",
        |trial, _| failing(trial, 1.0, |site| site.is_new && site.endpoint == 0);
    good_with_a_poison_request: assert_good, "good, poison request resent",
        |trial, seed| for number in 0..4 {
            trial.crashes.push(PlannedCrash {
                second: 15 + seed % 40 + 5 * number,
                is_new: !(seed + number).is_multiple_of(3),
                endpoint: number as usize % 3,
                running: vec![7, 100 + 3 * number, 101 + 3 * number, 102 + 3 * number],
            });
        };
    good_with_a_common_cause: assert_good, "good, both fail 60% in bursts",
        |trial, _| burst(trial, 0.6);
    good_with_a_common_cause_and_late_reports: assert_good, "good, both fail in bursts, late reports",
        |trial, _| {
            burst(trial, 1.0);
            trial.late_old = true;
        };
    good_with_skewed_routes: assert_good, "good, skewed routes",
        |trial, _| {
            failing(trial, 0.2, |site| site.route == 1);
            set_weights(trial, [0.03, 0.47, 0.5]);
        };
    good_at_low_traffic: assert_good, "good, one call in two seconds",
        |trial, _| {
            trial.calls_per_second = 0.5;
            trial.allowed = Duration::from_secs(300);
            trial.base_failure = 0.02;
        };
    good_with_a_cold_start: assert_good, "good, cold start",
        |trial, _| slower(trial, 5.0, |site| site.is_new && site.second < 20);
    good_and_a_little_slower: assert_good, "good, 1.3 times slower",
        |trial, _| slower(trial, 1.3, |site| site.is_new);
    good_with_a_small_common_cause_at_the_full_share: assert_good,
        "good, both fail 10% for 4 s of 100%",
        |trial, _| common_at_full_share(trial, 0.1, 5..9);
    /// No call of the old version is left to tell a common cause from the version's own.
    lasting_common_cause_at_the_full_share_is_taken_back: assert_bad(COMMON_HARM),
        "both fail 30% from 5 s of 100%",
        |trial, _| common_at_full_share(trial, 0.3, 5..1000);
}
