//! Property tests: polls and alerts are rare without faults and immediate after a fault.

mod common;

use std::time::Duration;

use proptest::prelude::*;

use coltsfootweir::evidence::EvidenceRecorder;
use coltsfootweir::evidence_alert::AlertWatch;
use coltsfootweir::poll_pace::PollInput;
use coltsfootweir::poll_pace::PollPace;
use coltsfootweir::record::RouteClass;

use common::fixed_config;

/// Seconds between two polls without faults: of a standby candidate, then of the lease holder.
const QUIET_SECONDS: [u64; 2] = [8, 4];

/// Latency of a normal call and of a slow one.
const WORK: [Duration; 2] = [Duration::from_millis(5), Duration::from_millis(50)];

fn input(seconds: u64, is_holder: bool, faults: u64) -> PollInput {
    PollInput {
        now: Duration::from_secs(seconds),
        is_holder,
        is_suspect: false,
        faults,
    }
}

fn recorder() -> EvidenceRecorder {
    let mut recorder = EvidenceRecorder::new("10.0.0.1:1".into(), 1);
    recorder.set_version("stalls".into(), "v2".into());
    recorder
}

fn run_calls(recorder: &mut EvidenceRecorder, count: u32, failed: bool, work: Duration) {
    for _ in 0..count {
        recorder.on_call(&"free".into(), RouteClass::Check, failed, work);
    }
}

proptest! {
    #![proptest_config(fixed_config(20_261_204, 256))]

    #[test]
    fn faults_all_the_time_cost_a_bounded_number_of_polls(
        is_holder: bool,
        alerts in proptest::collection::vec(any::<bool>(), 1..400),
    ) {
        let mut pace = PollPace::new();
        let mut polls = 0;
        for (second, is_alert) in alerts.iter().enumerate() {
            if *is_alert {
                pace.alert(Duration::from_secs(second as u64));
            }
            polls += u64::from(pace.poll(&input(second as u64, is_holder, 0)));
        }
        let seconds = alerts.len() as u64;
        let quiet = seconds / QUIET_SECONDS[usize::from(is_holder)];
        prop_assert!(polls <= 1 + quiet + 20 + seconds / 10, "{polls} polls in {seconds} s");
        prop_assert!(polls >= quiet, "{polls} polls in {seconds} s");
    }

    #[test]
    fn first_fault_after_a_quiet_time_has_the_evidence_polled_each_second(
        is_holder: bool,
        by_alert: bool,
        quiet in 1..200_u64,
    ) {
        let mut pace = PollPace::new();
        for second in 0..quiet {
            pace.poll(&input(second, is_holder, 0));
        }
        if by_alert {
            pace.alert(Duration::from_secs(quiet));
        }
        for second in quiet..quiet + 4 {
            prop_assert!(pace.poll(&input(second, is_holder, u64::from(!by_alert))));
        }
    }

    #[test]
    fn first_fault_is_alerted_at_the_next_look(good in 0..500_u32, crashes: bool) {
        let (mut watch, mut recorder) = (AlertWatch::new(), recorder());
        prop_assert!(!watch.check(recorder.report(), Duration::ZERO));
        run_calls(&mut recorder, good, false, WORK[0]);
        prop_assert!(!watch.check(recorder.report(), Duration::from_millis(500)));
        if crashes {
            recorder.on_crash(Vec::new());
        } else {
            run_calls(&mut recorder, 1, true, WORK[0]);
        }
        prop_assert!(watch.check(recorder.report(), Duration::from_secs(1)));
    }

    #[test]
    fn alerts_are_no_more_often_than_their_gap_and_are_not_lost(
        looks in proptest::collection::vec(any::<bool>(), 1..300),
    ) {
        let (mut watch, mut recorder) = (AlertWatch::new(), recorder());
        watch.check(recorder.report(), Duration::ZERO);
        let (mut now, mut alerted, mut count) = (Duration::ZERO, None, 0);
        for fails in looks {
            now += Duration::from_millis(500);
            run_calls(&mut recorder, 1, fails, WORK[0]);
            if watch.check(recorder.report(), now) {
                let gap = alerted.map_or(Duration::MAX, |at| now - at);
                prop_assert!(gap >= Duration::from_secs(3));
                (alerted, count) = (Some(now), count + 1);
            }
            prop_assert!(!fails || count > 0, "the first fault was not alerted");
        }
        prop_assert!(count <= 10 + now.as_secs() / 10);
    }
}

#[test]
fn calls_that_turn_slow_are_alerted() {
    let (mut watch, mut recorder) = (AlertWatch::new(), recorder());
    run_calls(&mut recorder, 100, false, WORK[0]);
    assert!(!watch.check(recorder.report(), Duration::ZERO));
    run_calls(&mut recorder, 10, false, WORK[0]);
    run_calls(&mut recorder, 1, false, WORK[1]);
    assert!(!watch.check(recorder.report(), Duration::from_millis(500)));
    run_calls(&mut recorder, 10, false, WORK[1]);
    assert!(watch.check(recorder.report(), Duration::from_secs(1)));
}

#[test]
fn upstream_without_a_move_alerts_nobody() {
    let (mut watch, mut recorder) = (AlertWatch::new(), recorder());
    watch.check(recorder.report(), Duration::ZERO);
    run_calls(&mut recorder, 1, true, WORK[0]);
    watch.reset();
    assert!(!watch.check(recorder.report(), Duration::from_secs(1)));
}
