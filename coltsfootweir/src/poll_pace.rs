//! Decides when a candidate of a move polls the endpoints for evidence: every few seconds normally,
//! every second after an alert or while the verdict is a suspicion.

use std::time::Duration;

use crate::token_bucket::TokenBucket;

/// Time between two polls after an alert or during a suspicion; slightly less than a tick.
const ALERT_INTERVAL: Duration = Duration::from_millis(900);

/// Time between two polls of the lease holder, which needs the counts to pace the move.
const HOLDER_INTERVAL: Duration = Duration::from_millis(3_900);

/// Time between two polls of the other candidates.
const STANDBY_INTERVAL: Duration = Duration::from_millis(7_900);

/// Time of polling every second after an alert.
const ALERT_TIME: Duration = Duration::from_secs(4);

/// Polls that alerts may cause in a burst, so that a low constant failure rate does not cause
/// polling every second.
const ALERT_POLLS: u32 = 20;

/// Time after which one more such poll is allowed.
const ALERT_REFILL: Duration = Duration::from_secs(10);

/// State on which a candidate decides whether to poll.
#[derive(Clone, Copy, Debug)]
pub struct PollInput {
    /// Time since the daemon's start.
    pub now: Duration,
    /// Whether the candidate holds the lease on the move.
    pub is_holder: bool,
    /// Whether the last verdict was a suspicion.
    pub is_suspect: bool,
    /// Failed calls and crashes of the new version in the evidence so far.
    pub faults: u64,
}

/// Decides when a candidate asks for evidence.
#[derive(Clone, Debug)]
pub struct PollPace {
    polled_at: Option<Duration>,
    alert_until: Duration,
    faults: u64,
    budget: TokenBucket,
}

impl PollPace {
    /// Returns the pace of a candidate that has not polled yet.
    #[must_use]
    pub fn new() -> PollPace {
        PollPace {
            polled_at: None,
            alert_until: Duration::ZERO,
            faults: 0,
            budget: TokenBucket::new(ALERT_POLLS, ALERT_REFILL),
        }
    }

    /// Switches to polling every second for a few seconds, because of a new fault of the new version.
    pub fn alert(&mut self, now: Duration) {
        self.alert_until = now + ALERT_TIME;
    }

    /// Returns whether to poll now.
    pub fn poll(&mut self, input: &PollInput) -> bool {
        if input.faults > self.faults {
            self.faults = input.faults;
            self.alert(input.now);
        }
        if !self.is_due(input) {
            return false;
        }
        self.polled_at = Some(input.now);
        true
    }

    fn is_due(&mut self, input: &PollInput) -> bool {
        let Some(polled_at) = self.polled_at else {
            return true;
        };
        let waited = input.now.saturating_sub(polled_at);
        let interval = if input.is_suspect {
            ALERT_INTERVAL
        } else if input.is_holder {
            HOLDER_INTERVAL
        } else {
            STANDBY_INTERVAL
        };
        if waited >= interval {
            return true;
        }
        let is_alerted = input.now < self.alert_until && waited >= ALERT_INTERVAL;
        is_alerted && self.budget.take(input.now)
    }
}

impl Default for PollPace {
    fn default() -> PollPace {
        PollPace::new()
    }
}
