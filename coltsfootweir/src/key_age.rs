//! Ages of callers' keys that carry their time, and how long their claims are kept.
//!
//! A key is claimed only while it is young, and its claim is removed only when the key is older than any
//! daemon claims it. This holds while the clocks of two daemons differ by less than [`CLOCK_MARGIN`].

use std::time::Duration;
use std::time::SystemTime;

use crate::booking_key::BookingKey;

/// Longest age at which any daemon claims a key.
pub const MAX_KEY_AGE: Duration = Duration::from_secs(24 * 60 * 60);

/// Difference of two daemons' clocks below which no key runs twice.
pub const CLOCK_MARGIN: Duration = Duration::from_secs(24 * 60 * 60);

/// Age of a key at which its claim may be removed.
pub const CLAIM_RETENTION: Duration = MAX_KEY_AGE.saturating_add(CLOCK_MARGIN);

/// Time that a key may lie ahead of the daemon's clock.
pub const MAX_KEY_LEAD: Duration = Duration::from_secs(60 * 60);

/// What the time in a key says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyAge {
    /// The key carries no time.
    Untimed,
    /// The key may be claimed.
    Current,
    /// The key is too old to be claimed; its claim may have been removed.
    Expired,
    /// The key lies too far ahead.
    Early,
}

/// Bounds within which a key is claimed.
#[derive(Clone, Copy, Debug)]
pub struct KeyAgeLimits {
    /// Longest age, at most [`MAX_KEY_AGE`].
    pub age: Duration,
    /// Longest time ahead.
    pub lead: Duration,
}

impl Default for KeyAgeLimits {
    fn default() -> KeyAgeLimits {
        KeyAgeLimits {
            age: MAX_KEY_AGE,
            lead: MAX_KEY_LEAD,
        }
    }
}

impl KeyAgeLimits {
    /// Judges a key at the time of day `wall`.
    #[must_use]
    pub fn judge(&self, key: &BookingKey, wall: SystemTime) -> KeyAge {
        let Some(time) = key.time() else {
            return KeyAge::Untimed;
        };
        if wall > time + self.age.min(MAX_KEY_AGE) {
            return KeyAge::Expired;
        }
        if time > wall + self.lead {
            return KeyAge::Early;
        }
        KeyAge::Current
    }
}
