//! Tests that the pace finishes good versions in time and limits bookings until there is evidence.

mod common;

use std::time::Duration;

use proptest::prelude::*;

use coltsfootweir::pace::MovePace;
use coltsfootweir::pace::PaceAdvice;
use coltsfootweir::pace::PaceInput;
use coltsfootweir::pace::PaceLimits;
use coltsfootweir::pace::StepCalls;
use coltsfootweir::record::MovePhase;
use coltsfootweir::record::TrafficShare;
use coltsfootweir::verdict::Verdict;

use common::fixed_config;

/// Maximum share of bookings on the new version without evidence, in percent, in the first half of
/// the time before the settle time.
const MAX_UNPROVEN_BOOKINGS: u8 = 25;

/// A step and the second in which it came into force.
#[derive(Clone, Copy, Debug)]
struct TakenStep {
    second: u64,
    phase: MovePhase,
    share: TrafficShare,
}

/// Runs a move with `rate` calls of the new version per second at full share. The route with the
/// fewest calls gets a fifth of them if `has_rare` is set, otherwise none.
fn run(allowed: u64, rate: u64, has_rare: bool, ticks: &[u64]) -> Vec<TakenStep> {
    let pace = MovePace::new(PaceLimits::default());
    let mut steps = vec![TakenStep {
        second: 0,
        phase: MovePhase::Waiting,
        share: TrafficShare::default(),
    }];
    let (mut second, mut calls, mut rare) = (0, 0, 0);
    for tick in ticks.iter().cycle() {
        let step = steps[steps.len() - 1];
        if step.phase.is_ended() || second > 2 * allowed {
            return steps;
        }
        calls += rate * tick * u64::from(step.share.checks) / 100;
        if has_rare {
            rare += rate * tick * u64::from(step.share.checks) / 500;
        }
        second += tick;
        let verdict = if calls >= 50 {
            Verdict::Clear { confidence: 0.95 }
        } else {
            Verdict::Unsure
        };
        let input = PaceInput {
            phase: step.phase,
            share: step.share,
            time_at_step: Duration::from_secs(second - step.second),
            time_left: Duration::from_secs(allowed.saturating_sub(second)),
            calls: StepCalls {
                total: calls,
                min_per_route: rare,
            },
            has_endpoints: true,
            verdict: &verdict,
        };
        let PaceAdvice::Step(phase, share) = pace.next(&input) else {
            continue;
        };
        steps.push(TakenStep {
            second,
            phase,
            share,
        });
        (calls, rare) = (0, 0);
    }
    steps
}

proptest! {
    #![proptest_config(fixed_config(41, 256))]

    #[test]
    fn good_versions_are_done_in_time(
        extra in 0..7200_u64,
        rate in prop_oneof![Just(0_u64), 1..10_u64, 10..500_u64],
        has_rare in any::<bool>(),
        ticks in prop::collection::vec(1..=2_u64, 1..20),
    ) {
        let limits = PaceLimits::default();
        let allowed = limits.least_time().as_secs() + extra;
        let steps = run(allowed, rate, has_rare, &ticks);
        let end = steps[steps.len() - 1];
        prop_assert_eq!(end.phase, MovePhase::Done);
        prop_assert!(end.second <= allowed, "done at {} of {}", end.second, allowed);
        for pair in steps.windows(2) {
            let (before, after) = (pair[0], pair[1]);
            if before.phase == MovePhase::Waiting {
                continue;
            }
            prop_assert!(after.share.checks >= before.share.checks);
            prop_assert!(after.share.bookings >= before.share.bookings);
            prop_assert!(after.share.bookings <= before.share.checks, "share of bookings is above that of checks");
            prop_assert!(after.second >= before.second + limits.min_dwell.as_secs());
            if before.phase == MovePhase::Settling {
                prop_assert!(after.second >= before.second + limits.settle.as_secs());
            }
        }
    }

    #[test]
    fn bookings_wait_for_evidence(
        extra in 0..7200_u64,
        rate in prop_oneof![Just(0_u64), 10..500_u64],
        ticks in prop::collection::vec(1..=2_u64, 1..20),
    ) {
        let limits = PaceLimits::default();
        let allowed = limits.least_time().as_secs() + extra;
        for step in run(allowed, rate, false, &ticks) {
            if step.second * 2 <= allowed - limits.settle.as_secs() {
                prop_assert!(step.share.bookings <= MAX_UNPROVEN_BOOKINGS, "{:?}", step);
            }
        }
    }
}
