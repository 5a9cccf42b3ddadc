//! Decisions about hedged requests, without a network.

use std::time::Duration;

use coltsfootweir::ids::ServiceName;
use coltsfootweir::retry::RetryBudget;
use coltsfootweir::sidecar::frame::EndpointLoad;
use coltsfootweir::sidecar::hedging::answer_times::AnswerTimes;
use coltsfootweir::sidecar::hedging::hedge_policy::HedgeCase;
use coltsfootweir::sidecar::hedging::hedge_policy::HedgePolicy;
use coltsfootweir::sidecar::hedging::hedge_policy::HedgeRefusal;
use coltsfootweir::sidecar::hedging::hedge_policy::has_free_slot;
use coltsfootweir::sidecar::run_times::RunTimes;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const ROUTE: u32 = 7;

/// Multiple of the expected run time after which requests are hedged without an operator's limit.
const FIXED_FACTOR: f64 = 1.7;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn service() -> ServiceName {
    "orders".into()
}

fn case() -> HedgeCase {
    HedgeCase {
        route_hash: ROUTE,
        may_repeat: true,
        has_large_answer: false,
        expected_run: ms(20),
        time_left: ms(2_000),
    }
}

fn full_budget() -> RetryBudget {
    RetryBudget::new(20, 100)
}

fn policy(percent: u8, requests: u32) -> HedgePolicy {
    let mut policy = HedgePolicy::new(Some(percent));
    for _ in 0..requests {
        policy.on_request(&service());
    }
    policy
}

/// Share of the sampled answers that are later than the quantile and than the fixed factor, after
/// both have seen the same distribution.
fn hedged_shares(sample: impl Fn(&mut ChaCha8Rng) -> Duration) -> (f64, f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (mut answer_times, mut run_times) = (AnswerTimes::default(), RunTimes::default());
    let (mut by_quantile, mut by_factor, mut count) = (0.0, 0.0, 0.0);
    for number in 0..6_000 {
        let time = sample(&mut rng);
        if number >= 1_000 {
            let quantile = answer_times.quantile(ROUTE, 0.95).expect("enough answers");
            by_quantile += f64::from(time > quantile);
            by_factor += f64::from(time > run_times.expected(ROUTE).mul_f64(FIXED_FACTOR));
            count += 1.0;
        }
        answer_times.record(ROUTE, time);
        run_times.record(ROUTE, time);
    }
    (by_quantile / count, by_factor / count)
}

/// Guards against a delay that hedges much more of a route with a long tail than the share that is
/// meant: the fixed factor takes all the long runs of a route with two kinds of runs for overdue.
#[test]
fn quantile_hedges_the_same_share_of_every_distribution() {
    let two_kinds = |rng: &mut ChaCha8Rng| match rng.random_bool(0.12) {
        true => ms(100),
        false => ms(10),
    };
    let (by_quantile, by_factor) = hedged_shares(two_kinds);
    assert!(by_quantile < 0.01, "{by_quantile}");
    assert!(by_factor > 0.08, "{by_factor}");
    // Pareto with index 1.2.
    let long_tail = |rng: &mut ChaCha8Rng| {
        let point: f64 = rng.random_range(0.0005..1.0);
        ms(10).mul_f64(point.powf(-1.0 / 1.2))
    };
    let (by_quantile, by_factor) = hedged_shares(long_tail);
    assert!((0.02..0.07).contains(&by_quantile), "{by_quantile}");
    println!("long tail: {by_quantile} by quantile, {by_factor} by factor");
}

/// Guards against a delay far above the times of a route whose runs hardly differ.
#[test]
fn delay_of_even_runs_is_close_to_their_time() {
    let mut policy = policy(10, 0);
    for number in 0..200 {
        policy.on_answer(ROUTE, ms(98 + number % 5));
    }
    let even = HedgeCase {
        expected_run: ms(101),
        ..case()
    };
    let delay = policy.delay(&even).expect("a delay");
    assert!((ms(102)..ms(125)).contains(&delay), "{delay:?}");
}

/// Guards against an estimate that sees only the answers below its own delay: it becomes shorter with
/// each hedged request until most requests are hedged.
#[test]
fn abandoned_attempts_keep_the_delay_from_shrinking() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let mut policy = policy(100, 0);
    let mut hedged = 0;
    // Log-uniform from 10 ms to 1 s, so that the hedged attempt is mostly the faster one.
    let mut time = || ms(10).mul_f64(100_f64.powf(rng.random_range(0.0..1.0)));
    for _ in 0..5_000 {
        let (first, second) = (time(), time());
        let delay = policy.delay(&case()).expect("a delay");
        if first <= delay {
            policy.on_answer(ROUTE, first);
            continue;
        }
        hedged += 1;
        if delay + second < first {
            policy.on_answer(ROUTE, second);
            policy.on_answer(ROUTE, delay + second);
            continue;
        }
        policy.on_answer(ROUTE, first);
    }
    assert!(hedged < 400, "{hedged} of 5000");
}

/// Guards against hedged requests beyond the limit, and against none, while one of four endpoints
/// takes half a second longer; and against a delay that stays long after it has recovered.
#[test]
fn slow_endpoint_is_bypassed_within_the_limit() {
    let mut policy = HedgePolicy::new(Some(10));
    let mut budget = full_budget();
    let (mut hedged, mut worst_late) = (0, 0);
    // 200 requests a second, one in four to each endpoint; endpoint 0 is slow from 2.0 to 2.5 s.
    for number in 0..1_000_u64 {
        let now = ms(number * 5);
        policy.on_request(&service());
        budget.on_call();
        let is_slow = number % 4 == 0 && (ms(2_000)..ms(2_500)).contains(&now);
        let run = ms(10 + number % 7);
        if !is_slow {
            policy.on_answer(ROUTE, run);
            continue;
        }
        let delay = policy.delay(&case()).expect("a delay");
        assert!(delay < ms(25), "{delay:?}");
        match policy.take(&service(), &mut budget, now) {
            Ok(()) => {
                hedged += 1;
                policy.on_answer(ROUTE, delay + run);
            }
            Err(refusal) => {
                assert_eq!(refusal, HedgeRefusal::Limit);
                worst_late += 1;
                policy.on_answer(ROUTE, ms(500) + run);
            }
        }
    }
    // Ten saved up, and 10% of the 100 requests in the time.
    assert_eq!((hedged, worst_late), (19, 6));
    let delay = policy.delay(&case()).expect("a delay");
    assert!(delay < ms(25), "{delay:?}");
}

/// Guards against hedged requests beyond the share of a daemon's requests, whose sum over all daemons
/// would exceed the operator's limit.
#[test]
fn hedges_never_exceed_the_share_of_the_requests() {
    for percent in [1, 5, 33, 100] {
        let mut rng = ChaCha8Rng::seed_from_u64(u64::from(percent));
        let mut policy = HedgePolicy::new(Some(percent));
        let mut budget = RetryBudget::new(100, 10_000);
        let (mut requests, mut hedges) = (0_u32, 0_u32);
        for step in 0..20_000 {
            if rng.random_bool(0.6) {
                policy.on_request(&service());
                requests += 1;
                continue;
            }
            if policy.take(&service(), &mut budget, ms(step)).is_ok() {
                hedges += 1;
            }
            assert!(hedges * 100 <= requests * u32::from(percent));
        }
        assert!(hedges > 0, "{percent}");
    }
}

/// Guards against extra load on a service that has none to spare.
#[test]
fn service_short_of_capacity_is_not_hedged() {
    let mut policy = policy(100, 50);
    let mut budget = full_budget();
    policy.on_refusal(&service(), ms(1_000));
    let taken = policy.take(&service(), &mut budget, ms(1_900));
    assert_eq!(taken, Err(HedgeRefusal::Shortage));
    assert_eq!(
        policy.take(&"other".into(), &mut budget, ms(1_900)),
        Err(HedgeRefusal::Limit)
    );
    assert_eq!(policy.take(&service(), &mut budget, ms(2_001)), Ok(()));
    let report = |running, waiting: &[(u8, u16)]| EndpointLoad {
        running,
        slots: 4,
        waiting: waiting.to_vec(),
        run_ms: 20,
    };
    assert!(has_free_slot(Some(&report(3, &[])), 3));
    assert!(!has_free_slot(Some(&report(4, &[])), 0), "full");
    assert!(!has_free_slot(Some(&report(3, &[(1, 1)])), 0), "a queue");
    assert!(!has_free_slot(Some(&report(1, &[])), 4), "sent since");
    assert!(!has_free_slot(None, 0), "never heard of");
}

/// Guards against hedged requests beyond the retry budget, and against a refused one that uses up
/// the operator's limit.
#[test]
fn hedges_stay_inside_the_retry_budget() {
    let mut policy = policy(100, 5);
    let mut budget = RetryBudget::new(0, 1);
    assert_eq!(policy.take(&service(), &mut budget, ms(1)), Ok(()));
    for _ in 0..10 {
        let taken = policy.take(&service(), &mut budget, ms(1));
        assert_eq!(taken, Err(HedgeRefusal::Budget));
    }
    let mut budget = full_budget();
    for _ in 0..4 {
        assert_eq!(policy.take(&service(), &mut budget, ms(1)), Ok(()));
    }
    let taken = policy.take(&service(), &mut budget, ms(1));
    assert_eq!(taken, Err(HedgeRefusal::Limit));
}

#[test]
fn limit_of_zero_turns_hedging_off() {
    let mut policy = policy(0, 1_000);
    assert_eq!(policy.delay(&case()), Err(HedgeRefusal::TurnedOff));
    let taken = policy.take(&service(), &mut full_budget(), ms(1));
    assert_eq!(taken, Err(HedgeRefusal::TurnedOff));
}

/// Guards against a second run of a request that must run once, and against hedged requests that
/// cannot help.
#[test]
fn requests_that_must_not_be_hedged_have_no_delay() {
    for percent in [None, Some(50)] {
        let policy = HedgePolicy::new(percent);
        for (unfit, refusal) in [
            (
                HedgeCase {
                    may_repeat: false,
                    ..case()
                },
                HedgeRefusal::NotRepeatable,
            ),
            (
                HedgeCase {
                    has_large_answer: true,
                    ..case()
                },
                HedgeRefusal::LargeAnswer,
            ),
            (
                HedgeCase {
                    expected_run: ms(0),
                    ..case()
                },
                HedgeRefusal::NoTime,
            ),
            (
                HedgeCase {
                    time_left: ms(53),
                    ..case()
                },
                HedgeRefusal::NoTime,
            ),
        ] {
            assert_eq!(policy.delay(&unfit), Err(refusal), "{percent:?}");
        }
    }
}

/// Guards against a change for deployments whose operator sets no limit.
#[test]
fn without_a_limit_the_factor_and_the_budget_decide() {
    let mut policy = HedgePolicy::new(None);
    for _ in 0..200 {
        policy.on_answer(ROUTE, ms(10));
    }
    policy.on_refusal(&service(), ms(1));
    assert_eq!(policy.delay(&case()), Ok(ms(20).mul_f64(FIXED_FACTOR)));
    let mut budget = RetryBudget::new(0, 1);
    assert_eq!(policy.take(&service(), &mut budget, ms(1)), Ok(()));
    let taken = policy.take(&service(), &mut budget, ms(1));
    assert_eq!(taken, Err(HedgeRefusal::Budget));
}
