//! Times of a planned stop.

use std::time::Duration;

use crate::sidecar::request_server::RESPONSE_MARGIN;

/// Time after SIGTERM in which new connections are still accepted from clients that have not noticed
/// the shutdown yet. Covers two missed readiness checks at one per second.
const NOTICE_TIME: Duration = Duration::from_millis(2_500);

/// Share of the notice time in which calls of other daemons are still taken, in fifths. The rest is
/// about the time that most of them run.
const CALL_FIFTHS: u32 = 3;

/// Longest time before SIGKILL at which the daemon exits even if requests are still running.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// Longest time before the exit at which requests without an answer get one from the daemon.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);

/// Part of the grace that the exit margin takes at most, and twice that of the answer margin: running
/// requests may use the grace up to its last sixth.
const MARGIN_DIVISOR: u32 = 12;

/// Times of a planned stop, since the start of the daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopWindow {
    /// Until when calls of other daemons are taken. The daemon lives longer than this for its own
    /// clients, and without calls the slots of its endpoint would be empty in that time.
    pub calls_by: Duration,
    /// Until when clients may not have noticed the stop.
    pub notice_by: Duration,
    /// When the daemon answers the requests that have no answer.
    pub answer_by: Duration,
    /// When the daemon exits.
    pub exit_by: Duration,
}

impl StopWindow {
    /// Returns the times of a stop that began at `start` and is followed by SIGKILL after `grace`.
    #[must_use]
    pub fn new(start: Duration, grace: Duration) -> StopWindow {
        let exit_margin = EXIT_MARGIN.min(grace / MARGIN_DIVISOR);
        let answer_margin = ANSWER_MARGIN.min(grace / MARGIN_DIVISOR / 2);
        let exit_by = start + grace.saturating_sub(exit_margin);
        let notice_by = (start + NOTICE_TIME).min(exit_by);
        StopWindow {
            calls_by: start + notice_by.saturating_sub(start) * CALL_FIFTHS / 5,
            notice_by,
            answer_by: start.max(exit_by.saturating_sub(answer_margin)),
            exit_by,
        }
    }

    /// Returns the window of a daemon that exits at `now`, because nothing runs any more.
    #[must_use]
    pub fn ended(self, now: Duration) -> StopWindow {
        StopWindow {
            calls_by: self.calls_by.min(now),
            notice_by: self.notice_by.min(now),
            answer_by: self.answer_by.min(now),
            exit_by: self.exit_by.min(now),
        }
    }

    /// Returns the window of a daemon that takes no calls of other daemons.
    #[must_use]
    pub fn without_calls(self) -> StopWindow {
        StopWindow {
            calls_by: Duration::ZERO,
            ..self
        }
    }

    /// Returns whether a call of another daemon is taken that must be answered by `deadline`. One that
    /// might outlast the daemon can still run elsewhere.
    #[must_use]
    pub fn admits_call(&self, now: Duration, deadline: Duration) -> bool {
        now < self.calls_by && deadline + RESPONSE_MARGIN <= self.answer_by
    }

    /// Returns the deadline of a request that is complete at `now` and would have the deadline
    /// `deadline`; `None` if it must be refused.
    ///
    /// Until clients notice the stop, they are served, in the time that is left. Later requests are
    /// stragglers, which would be cut off at the exit unless their whole time fits.
    #[must_use]
    pub fn admit(&self, now: Duration, deadline: Duration) -> Option<Duration> {
        let last = self.answer_by.saturating_sub(RESPONSE_MARGIN);
        match now < self.notice_by {
            true => Some(deadline.min(last)).filter(|deadline| now < *deadline),
            false => Some(deadline).filter(|deadline| *deadline <= last),
        }
    }
}
