//! Deadlines of calls. A deadline is sent as the time left and is shortened at each hop.

use std::time::Duration;

/// Time reserved at a hop inside a region, so that the answer arrives before the caller's deadline.
pub const RETURN_MARGIN: Duration = Duration::from_millis(2);

/// Time reserved at a hop to another region.
pub const LINK_RETURN_MARGIN: Duration = Duration::from_millis(32);

/// Maximum timeout of a route or of a request's deadline header.
pub const MAX_TIMEOUT: Duration = Duration::from_secs(3600);

/// Time by which a call must be answered, measured from the daemon's start.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallDeadline {
    at: Duration,
}

impl CallDeadline {
    /// Creates the deadline of a request that arrived at `now`.
    ///
    /// `header` is the value of `x-coltsfootweir-deadline-ms`. If it is absent or not a number, the
    /// route's `timeout` applies. The header may exceed the route's timeout, up to [`MAX_TIMEOUT`].
    #[must_use]
    pub fn on_arrival(header: Option<&str>, timeout: Duration, now: Duration) -> CallDeadline {
        let asked = header
            .and_then(|text| text.trim().parse::<u64>().ok())
            .map_or(timeout, Duration::from_millis);
        CallDeadline {
            at: now + asked.min(MAX_TIMEOUT),
        }
    }

    /// Creates a deadline from a time since the daemon's start.
    #[must_use]
    pub fn at(at: Duration) -> CallDeadline {
        CallDeadline { at }
    }

    /// Returns the deadline as time since the daemon's start.
    #[must_use]
    pub fn as_time(self) -> Duration {
        self.at
    }

    /// Returns the time left, or zero if the deadline has passed.
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
    /// if less than a millisecond is left.
    #[must_use]
    pub fn header_ms(self, now: Duration) -> Option<u64> {
        let ms = u64::try_from(self.remaining(now).as_millis()).unwrap_or(u64::MAX);
        (ms > 0).then_some(ms)
    }
}
