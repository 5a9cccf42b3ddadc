//! Retries stay within the budget and the deadline, and only the top of a call chain retries.

mod common;

use std::time::Duration;

use proptest::prelude::*;

use coltsfootweir::outcome::CallOutcome;
use coltsfootweir::outcome::DOUBT_REASONS;
use coltsfootweir::outcome::REFUSAL_REASONS;
use coltsfootweir::outcome::RefusalReason;
use coltsfootweir::record::RouteClass;
use coltsfootweir::retry::MAX_ATTEMPTS;
use coltsfootweir::retry::MIN_RETRY_TIME;
use coltsfootweir::retry::RETRY_BURST;
use coltsfootweir::retry::RetryBudget;
use coltsfootweir::retry::RetryCase;
use coltsfootweir::retry::RetryDecision;
use coltsfootweir::retry::RetryRule;

use common::fixed_config;

const CHAIN_DEPTH: u32 = 7;

fn any_outcome() -> impl Strategy<Value = CallOutcome> {
    prop_oneof![
        Just(CallOutcome::Ran),
        proptest::sample::select(REFUSAL_REASONS.to_vec()).prop_map(CallOutcome::NotRun),
        proptest::sample::select(DOUBT_REASONS.to_vec()).prop_map(CallOutcome::InDoubt),
    ]
}

/// Outcomes with few failures, most of which another endpoint may cure, so that calls reach the end
/// of the chain.
fn mostly_ran() -> impl Strategy<Value = CallOutcome> {
    prop_oneof![
        9 => Just(CallOutcome::Ran),
        2 => Just(CallOutcome::NotRun(RefusalReason::Overloaded)),
        1 => any_outcome(),
    ]
}

fn any_case() -> impl Strategy<Value = RetryCase> {
    let class = prop_oneof![Just(RouteClass::Check), Just(RouteClass::Booking)];
    (any_outcome(), class, 1..6_u32, 0..3_u32, 0..40_u64, 0..4_u8).prop_map(
        |(outcome, class, attempt, hops, remaining, suspect)| RetryCase {
            outcome,
            class,
            attempt,
            hops,
            remaining: Duration::from_millis(remaining),
            is_suspect: suspect == 0,
        },
    )
}

/// Simulates a call and the calls below it in the chain; counts the attempts at each depth.
fn call(
    depth: u32,
    class: RouteClass,
    outcomes: &mut impl Iterator<Item = CallOutcome>,
    budgets: &mut [RetryBudget],
    attempts: &mut [u32],
) -> CallOutcome {
    budgets[depth as usize].on_call();
    let mut attempt = 0;
    loop {
        attempt += 1;
        attempts[depth as usize] += 1;
        let mut outcome = outcomes.next().unwrap_or(CallOutcome::Ran);
        // A level that runs calls the next one and returns that call's failure as its own.
        if outcome == CallOutcome::Ran && depth + 1 < CHAIN_DEPTH {
            outcome = call(depth + 1, class, outcomes, budgets, attempts);
        }
        let case = RetryCase {
            outcome,
            class,
            attempt,
            hops: depth,
            remaining: Duration::from_secs(1),
            is_suspect: false,
        };
        let budget = &mut budgets[depth as usize];
        if RetryRule.decide(&case, budget) != RetryDecision::Retry {
            return outcome;
        }
    }
}

proptest! {
    #![proptest_config(fixed_config(0x7e7, 60))]

    #[test]
    fn attempts_over_a_chain_are_bounded(
        percent in 0..50_u8,
        calls in 1..200_u32,
        outcomes in proptest::collection::vec(mostly_ran(), 0..4000),
    ) {
        let mut outcomes = outcomes.into_iter();
        let mut budgets = vec![RetryBudget::new(percent, RETRY_BURST); CHAIN_DEPTH as usize];
        let mut attempts = vec![0; CHAIN_DEPTH as usize];
        for _ in 0..calls {
            call(0, RouteClass::Check, &mut outcomes, &mut budgets, &mut attempts);
        }
        let bound = calls + calls * u32::from(percent) / 100 + RETRY_BURST;
        for made in attempts {
            prop_assert!(made <= bound, "{made} attempts at one level, at most {bound} allowed");
        }
    }

    #[test]
    fn only_what_may_be_repeated_is_retried(cases in proptest::collection::vec(any_case(), 500)) {
        for case in cases {
            let mut budget = RetryBudget::new(20, 1);
            let decision = RetryRule.decide(&case, &mut budget);
            let has_left = budget.take();
            prop_assert_eq!(has_left, decision != RetryDecision::Retry, "a retry takes the only token");
            if decision != RetryDecision::Retry {
                continue;
            }
            let may_have_run = !matches!(case.outcome, CallOutcome::NotRun(_));
            prop_assert!(!may_have_run || case.class == RouteClass::Check);
            prop_assert!(case.outcome != CallOutcome::Ran);
            prop_assert!(case.remaining >= MIN_RETRY_TIME);
            prop_assert!(case.hops == 0 && !case.is_suspect && case.attempt < MAX_ATTEMPTS);
            prop_assert_ne!(case.outcome.reason_str(), Some("upstream-crashed"));
            prop_assert_ne!(case.outcome.reason_str(), Some("poison"));
        }
    }

    #[test]
    fn outcomes_survive_their_headers(outcome in any_outcome()) {
        let read = CallOutcome::parse(outcome.as_str(), outcome.reason_str());
        prop_assert_eq!(read, Some(outcome));
    }
}

#[test]
fn budget_holds_no_more_than_a_burst() {
    let mut budget = RetryBudget::new(50, RETRY_BURST);
    for _ in 0..1000 {
        budget.on_call();
    }
    let retries = (0..1000).filter(|_| budget.take()).count();
    assert_eq!(retries, RETRY_BURST as usize);
}

/// Guards against a daemon that has taken the first request of a service while it knew few others, and keeps
/// the burst of so few for good: the bursts of all daemons would add up to many times what is allowed.
#[test]
fn budget_follows_the_number_of_daemons() {
    let mut budget = RetryBudget::new(20, 60);
    budget.set_terms(20, 6);
    let mut retries = 0;
    while budget.take() {
        retries += 1;
    }
    assert_eq!(retries, 6);
    for _ in 0..1_000 {
        budget.on_call();
    }
    let saved = (0..100).filter(|_| budget.take()).count();
    assert_eq!(saved, 6);
}
