//! Deadlines of calls: they travel as time left and shrink at each hop.

use std::time::Duration;

/// Time kept at a hop inside a region, so that the answer is back before the caller's deadline.
pub const RETURN_MARGIN: Duration = Duration::from_millis(2);

/// Time kept at a hop to the other region.
pub const LINK_RETURN_MARGIN: Duration = Duration::from_millis(32);

/// Longest time that a route may give a request, or that a request may ask for.
pub const MAX_TIMEOUT: Duration = Duration::from_secs(3600);

/// Time by which a call must be answered, counted from the daemon's start.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallDeadline {
    at: Duration,
}

impl CallDeadline {
    /// Makes the deadline of a request that arrived at `now`.
    ///
    /// `header` is the value of `x-coltsfootweir-deadline-ms`; without one, or with one that is not
    /// a number, the route's `timeout` applies. A header may ask for more than the route's timeout,
    /// up to [`MAX_TIMEOUT`].
    #[must_use]
    pub fn on_arrival(header: Option<&str>, timeout: Duration, now: Duration) -> CallDeadline {
        let asked = header
            .and_then(|text| text.trim().parse::<u64>().ok())
            .map_or(timeout, Duration::from_millis);
        CallDeadline {
            at: now + asked.min(MAX_TIMEOUT),
        }
    }

    /// Makes a deadline at a time since the daemon's start.
    #[must_use]
    pub fn at(at: Duration) -> CallDeadline {
        CallDeadline { at }
    }

    /// Returns the deadline as time since the daemon's start.
    #[must_use]
    pub fn as_time(self) -> Duration {
        self.at
    }

    /// Returns the time left, zero when the deadline has passed.
    #[must_use]
    pub fn remaining(self, now: Duration) -> Duration {
        self.at.saturating_sub(now)
    }

    /// Returns whether the deadline has passed.
    #[must_use]
    pub fn is_passed(self, now: Duration) -> bool {
        now >= self.at
    }

    /// Returns the deadline for the next hop, `margin` earlier.
    #[must_use]
    pub fn shrink(self, margin: Duration) -> CallDeadline {
        CallDeadline {
            at: self.at.saturating_sub(margin),
        }
    }

    /// Returns the header value for the next hop in whole milliseconds, rounded down, or `None`
    /// when no time is left.
    #[must_use]
    pub fn header_ms(self, now: Duration) -> Option<u64> {
        let ms = u64::try_from(self.remaining(now).as_millis()).unwrap_or(u64::MAX);
        (ms > 0).then_some(ms)
    }
}
