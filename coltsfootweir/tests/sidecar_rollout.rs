//! Rollouts in sidecar mode: traffic shares, evaluation of pooled responses, stages.

use std::time::Duration;

use coltsfootweir::sidecar::member_table::RolloutStage;
use coltsfootweir::sidecar::member_table::VersionCount;
use coltsfootweir::sidecar::platform_adapter::RolloutOrder;
use coltsfootweir::sidecar::rollout::CountHistory;
use coltsfootweir::sidecar::rollout::RolloutState;
use coltsfootweir::sidecar::rollout::VersionChoice;
use coltsfootweir::sidecar::rollout::is_faulty_straggler;
use coltsfootweir::sidecar::store_era::store_version::StoreVersion;

/// Row version of the order.
fn order_row() -> StoreVersion {
    version(7)
}

/// Version of a store without eras.
fn version(row: u64) -> StoreVersion {
    StoreVersion::new(0, row).expect("in range")
}

fn state() -> RolloutState {
    let order = RolloutOrder {
        service: "stalls".into(),
        version: "v2".into(),
        duration: Duration::from_secs(16),
    };
    RolloutState::new(order, order_row(), Duration::ZERO)
}

fn count(version: &str, calls: u32, failures: u32, mean_ms: u64) -> VersionCount {
    VersionCount {
        order: order_row(),
        version: version.into(),
        route: "free".into(),
        calls,
        failures,
        time_ms: u64::from(calls) * mean_ms,
    }
}

fn evaluate(steps: &[Vec<VersionCount>]) -> Option<String> {
    let state = state();
    let mut history = CountHistory::default();
    let mut fault = None;
    for (second, pooled) in steps.iter().enumerate() {
        let now = Duration::from_secs(second as u64);
        let recent = history.record(pooled.clone(), now);
        fault = fault
            .or_else(|| state.find_fault(pooled))
            .or_else(|| state.find_fault(&recent));
    }
    fault
}

#[test]
fn failing_version_is_found() {
    let pooled = vec![count("v1", 300, 2, 60), count("v2", 20, 9, 60)];
    assert!(evaluate(&[pooled]).is_some());
}

#[test]
fn slow_version_is_found() {
    let pooled = vec![count("v1", 300, 2, 60), count("v2", 20, 0, 400)];
    assert!(evaluate(&[pooled]).is_some());
}

/// Guards against a false result for very short requests: scheduling pauses of a busy CPU are several
/// times as long as the run.
#[test]
fn short_answers_are_not_compared_by_factor_alone() {
    let pooled = vec![count("v1", 300, 0, 1), count("v2", 20, 0, 6)];
    assert_eq!(evaluate(&[pooled]), None);
}

/// A few failures among few responses, as after a shift under load, are not enough evidence.
#[test]
fn few_failures_are_no_proof() {
    let pooled = vec![count("v1", 65, 1, 90), count("v2", 17, 3, 90)];
    assert_eq!(evaluate(&[pooled]), None);
}

#[test]
fn version_that_fails_like_the_old_one_is_kept() {
    let pooled = vec![count("v1", 300, 60, 60), count("v2", 40, 10, 70)];
    assert_eq!(evaluate(&[pooled]), None);
}

/// Good responses of the first seconds must not mask later failures.
#[test]
fn version_that_turns_bad_late_is_found_within_seconds() {
    let mut steps = Vec::new();
    for second in 0..8 {
        let calls = 30 * second;
        steps.push(vec![
            count("v1", 270 * second, 11 * second, 60),
            count("v2", calls, 0, 60),
        ]);
    }
    for second in 8..11 {
        let calls = 30 * second;
        let failures = 10 * (second - 7);
        steps.push(vec![
            count("v1", 270 * second, 11 * second, 60),
            count("v2", calls, failures, 60),
        ]);
    }
    assert!(evaluate(&steps).is_some());
}

/// A restarted daemon counts from zero again. The decrease of the counts must not look like failures.
#[test]
fn restarted_daemon_causes_no_fault() {
    let steps = [
        vec![count("v1", 500, 30, 60), count("v2", 60, 4, 60)],
        vec![count("v1", 100, 1, 60), count("v2", 10, 0, 60)],
        vec![count("v1", 200, 2, 60), count("v2", 20, 0, 60)],
    ];
    assert_eq!(evaluate(&steps), None);
}

#[test]
fn trial_stays_below_the_allowed_share() {
    let state = state();
    let mut new = 0;
    for point in 0..1_000 {
        let choice = state.choose(0.1, f64::from(point) / 1_000.0);
        new += u32::from(choice == VersionChoice::New);
    }
    assert!(
        (1..100).contains(&new),
        "{new} of 1000 requests went to the new version"
    );
}

#[test]
fn what_is_done_is_not_taken_back() {
    let mut state = state();
    assert!(state.advance(order_row(), RolloutStage::Shifted));
    assert!(!state.advance(order_row(), RolloutStage::Trial));
    assert!(state.advance(order_row(), RolloutStage::Done));
    assert!(!state.advance(order_row(), RolloutStage::TakenBack));
    assert_eq!(state.choose(0.1, 0.5), VersionChoice::OnlyNew);
}

#[test]
fn version_taken_back_gets_nothing() {
    let mut state = state();
    assert!(state.advance(order_row(), RolloutStage::TakenBack));
    assert!(!state.advance(order_row(), RolloutStage::Shifted));
    assert_eq!(state.choose(0.1, 0.0), VersionChoice::Old);
}

/// The next order for a service may arrive while the report on the previous one is written.
#[test]
fn report_on_an_earlier_order_does_not_advance_the_next_one() {
    let mut state = state();
    assert!(!state.advance(version(6), RolloutStage::Done));
    assert_eq!(state.stage, RolloutStage::Trial);
}

/// Guards against a good version that is taken back because its answers come some milliseconds later than
/// those of a closer endpoint, so that hedged attempts overtake them.
#[test]
fn answers_overtaken_within_the_margin_are_no_failures() {
    let run = Duration::from_millis(1);
    let [close, far] = [4, 30].map(Duration::from_millis);
    assert!(!is_faulty_straggler(close, run));
    assert!(is_faulty_straggler(far, run));
    let run = Duration::from_millis(130);
    assert!(is_faulty_straggler(run * 2, run), "an answer that is lost");
    for (time, is_kept) in [(close, true), (far, false)] {
        let mut state = state();
        let run = Duration::from_millis(1);
        for number in 0..400 {
            state.count(&"v1".into(), "free", number % 100 == 0, run);
        }
        for number in 0..40 {
            let is_overtaken = number % 5 == 0;
            let is_failed = is_overtaken && is_faulty_straggler(time, run);
            let time = if is_overtaken { time } else { run };
            state.count(&"v2".into(), "free", is_failed, time);
        }
        assert_eq!(
            state.find_fault(state.counts()).is_none(),
            is_kept,
            "{time:?}"
        );
    }
}
