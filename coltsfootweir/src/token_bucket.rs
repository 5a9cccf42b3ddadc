//! A budget for something that may come in a burst but only seldom in the long run.

use std::time::Duration;

/// Allows `burst` uses in a row and one more in each `refill` after that.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    burst: u32,
    refill: Duration,
    /// When every use so far is made up for.
    full_at: Duration,
}

impl TokenBucket {
    /// Returns a full budget.
    #[must_use]
    pub fn new(burst: u32, refill: Duration) -> TokenBucket {
        TokenBucket {
            burst,
            refill,
            full_at: Duration::ZERO,
        }
    }

    /// Takes one use; returns whether the budget allowed it.
    pub fn take(&mut self, now: Duration) -> bool {
        let full_at = self.full_at.max(now) + self.refill;
        if full_at > now + self.refill * self.burst {
            return false;
        }
        self.full_at = full_at;
        true
    }
}
