//! Token bucket: allows a burst, and a low rate in the long run.

use std::time::Duration;

/// Allows `burst` uses at once and one more per `refill` interval.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    burst: u32,
    refill: Duration,
    /// Time at which the bucket is full again.
    full_at: Duration,
}

impl TokenBucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(burst: u32, refill: Duration) -> TokenBucket {
        TokenBucket {
            burst,
            refill,
            full_at: Duration::ZERO,
        }
    }

    /// Takes one token; returns `false` if there is none.
    pub fn take(&mut self, now: Duration) -> bool {
        let full_at = self.full_at.max(now) + self.refill;
        if full_at > now + self.refill * self.burst {
            return false;
        }
        self.full_at = full_at;
        true
    }
}
