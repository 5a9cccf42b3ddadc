//! When a candidate of a move asks the endpoints for their evidence: seldom while nothing speaks
//! against the new version, each second after an alert and under a suspicion.

use std::time::Duration;

use crate::token_bucket::TokenBucket;

/// Time between two polls after an alert or under a suspicion; a little less than a tick.
const ALERT_INTERVAL: Duration = Duration::from_millis(900);

/// Time between two polls of the lease's holder, who needs the counts for the pace.
const HOLDER_INTERVAL: Duration = Duration::from_millis(3_900);

/// Time between two polls of the other candidates.
const STANDBY_INTERVAL: Duration = Duration::from_millis(7_900);

/// Time for which an alert has the evidence polled each second.
const ALERT_TIME: Duration = Duration::from_secs(4);

/// Polls that alerts may cause in a row, so that a few failures all the time don't cost the polls of
/// a fault.
const ALERT_POLLS: u32 = 20;

/// Time in which one more of them is allowed.
const ALERT_REFILL: Duration = Duration::from_secs(10);

/// What a candidate knows when it decides on a poll.
#[derive(Clone, Copy, Debug)]
pub struct PollInput {
    /// Time since the daemon's start.
    pub now: Duration,
    /// Whether the candidate holds the lease on the move.
    pub is_holder: bool,
    /// Whether the last verdict was a suspicion.
    pub is_suspect: bool,
    /// Failed calls and crashes of the new version that are known so far.
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
    /// Returns the pace of a candidate that has not polled.
    #[must_use]
    pub fn new() -> PollPace {
        PollPace {
            polled_at: None,
            alert_until: Duration::ZERO,
            faults: 0,
            budget: TokenBucket::new(ALERT_POLLS, ALERT_REFILL),
        }
    }

    /// Takes in that something new speaks against the new version.
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
