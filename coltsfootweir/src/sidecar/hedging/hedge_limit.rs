//! Limit of hedged attempts to a share of a service's requests.

/// Tokens for a hedged attempt; each request adds as many tokens as the limit has percent.
const HEDGE_COST: u32 = 100;

/// Hedged attempts that may be saved up. An endpoint that stops holds up about as many requests of one
/// daemon at a time; more would let a daemon hedge long after the requests that it counts for.
const MAX_SAVED: u32 = 10;

/// Token bucket that limits hedged attempts to a share of the requests. It starts empty, so that the
/// share holds from the first request on and therefore for the sum over all daemons, also when many of
/// them restart.
#[derive(Clone, Copy, Debug)]
pub struct HedgeLimit {
    percent: u32,
    tokens: u32,
}

impl HedgeLimit {
    /// Creates an empty bucket for a share of the requests, in percent.
    #[must_use]
    pub fn new(percent: u8) -> HedgeLimit {
        HedgeLimit {
            percent: u32::from(percent),
            tokens: 0,
        }
    }

    /// Adds the tokens for a request; its further attempts add none.
    pub fn on_request(&mut self) {
        self.tokens = (self.tokens + self.percent).min(HEDGE_COST * MAX_SAVED);
    }

    /// Returns whether a hedged attempt may be made.
    #[must_use]
    pub fn has_hedge(&self) -> bool {
        self.tokens >= HEDGE_COST
    }

    /// Takes the tokens of a hedged attempt; returns `false` if there are too few.
    pub fn take(&mut self) -> bool {
        let Some(left) = self.tokens.checked_sub(HEDGE_COST) else {
            return false;
        };
        self.tokens = left;
        true
    }
}
