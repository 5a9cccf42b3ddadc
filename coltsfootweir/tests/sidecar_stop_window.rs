//! Tests of the times of a planned stop: which requests are taken and until when they are answered.

use std::time::Duration;

use coltsfootweir::sidecar::planned_stop::stop_window::StopWindow;
use coltsfootweir::sidecar::request_server::RESPONSE_MARGIN;
use proptest::prelude::*;

/// Requests sent later than this after SIGTERM must not be at work when the daemon exits.
const EXCUSED_TIME: Duration = Duration::from_secs(3);

proptest! {
    /// Guards against a request that is taken although its answer would come after the exit.
    #[test]
    fn taken_requests_are_answered_before_the_exit(
        start_ms in 0_u64..100_000,
        grace_ms in 100_u64..30_000,
        sent_ms in 0_u64..30_000,
        limit_ms in 0_u64..10_000,
    ) {
        let start = Duration::from_millis(start_ms);
        let grace = Duration::from_millis(grace_ms);
        let window = StopWindow::new(start, grace);
        prop_assert!(window.answer_by <= window.exit_by && window.exit_by <= start + grace);
        prop_assert!(window.answer_by >= start + grace * 5 / 6, "running requests have five sixths");
        let now = start + Duration::from_millis(sent_ms);
        let deadline = now + Duration::from_millis(limit_ms);
        if let Some(taken) = window.admit(now, deadline) {
            prop_assert!(taken <= deadline);
            prop_assert!(taken + RESPONSE_MARGIN <= window.answer_by);
            if now > start + EXCUSED_TIME {
                prop_assert_eq!(taken, deadline, "a late request has its whole time");
            }
        }
    }

    /// Guards against calls of other daemons that would be cut off at the exit.
    #[test]
    fn calls_that_are_taken_can_end_before_the_exit(
        grace_ms in 100_u64..30_000,
        sent_ms in 0_u64..30_000,
        left_ms in 0_u64..10_000,
    ) {
        let window = StopWindow::new(Duration::ZERO, Duration::from_millis(grace_ms));
        let now = Duration::from_millis(sent_ms);
        let deadline = now + Duration::from_millis(left_ms);
        if window.admits_call(now, deadline) {
            prop_assert!(now < window.notice_by);
            prop_assert!(deadline + RESPONSE_MARGIN <= window.answer_by);
        }
        prop_assert!(!window.without_calls().admits_call(now, deadline));
        prop_assert!(!window.ended(now).admits_call(now, deadline));
    }

    /// Guards against requests taken by a daemon that has decided to exit.
    #[test]
    fn daemon_that_ends_early_takes_nothing(
        grace_ms in 3_000_u64..30_000,
        ended_ms in 0_u64..30_000,
        later_ms in 0_u64..1_000,
        limit_ms in 1_u64..10_000,
    ) {
        let ended = Duration::from_millis(ended_ms);
        let window = StopWindow::new(Duration::ZERO, Duration::from_millis(grace_ms)).ended(ended);
        let now = ended + Duration::from_millis(later_ms);
        prop_assert_eq!(window.admit(now, now + Duration::from_millis(limit_ms)), None);
        prop_assert!(window.answer_by <= ended);
    }
}

#[test]
fn clients_that_have_not_noticed_the_stop_are_served_in_the_time_that_is_left() {
    let seconds = Duration::from_secs_f64;
    let window = StopWindow::new(seconds(100.0), seconds(6.0));
    assert_eq!(
        window.admit(seconds(101.0), seconds(103.0)),
        Some(seconds(103.0))
    );
    let taken = window
        .admit(seconds(102.0), seconds(108.0))
        .expect("a deadline");
    assert!(taken > seconds(105.0) && taken < window.answer_by);
    assert_eq!(
        window.admit(seconds(103.0), seconds(104.5)),
        Some(seconds(104.5))
    );
    assert_eq!(window.admit(seconds(103.0), seconds(106.0)), None);
}

/// Guards against slots that stay empty while the daemon beside them lives on for its own clients: many
/// daemons are restarted one after the other at the time of the highest load.
#[test]
fn calls_of_other_daemons_are_taken_in_the_first_part_of_a_stop() {
    let seconds = Duration::from_secs_f64;
    let window = StopWindow::new(seconds(100.0), seconds(6.0));
    assert!(window.admits_call(seconds(100.0), seconds(102.0)));
    assert!(window.admits_call(seconds(101.4), seconds(103.4)));
    assert!(!window.admits_call(seconds(101.6), seconds(102.0)));
    assert!(!window.admits_call(seconds(101.0), seconds(105.5)));
}
