//! Age limits of callers' keys with a timestamp, and the retention of their claims.
//!
//! A key is claimed only up to a maximum age. Its claim is removed only when the key is older than the
//! age at which any daemon would claim it. This holds while the clocks of any two daemons differ by less
//! than [`CLOCK_MARGIN`].

use std::time::Duration;
use std::time::SystemTime;

use crate::booking_key::BookingKey;

/// Maximum age at which a daemon claims a key.
pub const MAX_KEY_AGE: Duration = Duration::from_secs(24 * 60 * 60);

/// Tolerated clock difference between two daemons. Below it no key runs twice.
pub const CLOCK_MARGIN: Duration = Duration::from_secs(24 * 60 * 60);

/// Age of a key after which its claim may be removed.
pub const CLAIM_RETENTION: Duration = MAX_KEY_AGE.saturating_add(CLOCK_MARGIN);

/// Maximum time by which a key's timestamp may be ahead of the daemon's clock.
pub const MAX_KEY_LEAD: Duration = Duration::from_secs(60 * 60);

/// Age class of a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyAge {
    /// The key has no timestamp.
    Untimed,
    /// The key may be claimed.
    Current,
    /// The key is too old to be claimed, and an earlier claim of it may have been removed.
    Expired,
    /// The key's timestamp is too far in the future.
    FromFuture,
}

/// Limits within which a key is claimed.
#[derive(Clone, Copy, Debug)]
pub struct KeyAgeLimits {
    /// Maximum age, capped at [`MAX_KEY_AGE`].
    pub age: Duration,
    /// Maximum time ahead of the clock.
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
    /// Returns the age class of a key at the wall-clock time `wall`.
    #[must_use]
    pub fn classify(&self, key: &BookingKey, wall: SystemTime) -> KeyAge {
        let Some(time) = key.time() else {
            return KeyAge::Untimed;
        };
        if wall > time + self.age.min(MAX_KEY_AGE) {
            return KeyAge::Expired;
        }
        if time > wall + self.lead {
            return KeyAge::FromFuture;
        }
        KeyAge::Current
    }
}
