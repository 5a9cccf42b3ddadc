//! Time that calls spent on their way, without comparing the time of day of two VMs.

use std::time::Duration;
use std::time::SystemTime;

use crate::sidecar::local_endpoint::wall_ms;

/// Age above which a call counts as delayed. Smaller differences come from scheduling.
const MIN_LATE_AGE: Duration = Duration::from_millis(250);

/// Estimates the age of the calls on one connection. Each states the time since the start of its
/// daemon. The quickest call tells the offset between the two daemons, and the others are compared
/// with it.
#[derive(Debug, Default)]
pub struct CallAge {
    /// Smallest difference in milliseconds between the receiver's and the sender's time.
    offset: Option<i64>,
}

impl CallAge {
    /// Returns by how much a call was delayed that was sent at `sent_ms` and arrived at `now`; zero
    /// for usual delays.
    pub fn delay(&mut self, sent_ms: u64, now: Duration) -> Duration {
        let now_ms = i64::try_from(now.as_millis()).unwrap_or(i64::MAX);
        let sent_ms = i64::try_from(sent_ms).unwrap_or(i64::MAX);
        let difference = now_ms.saturating_sub(sent_ms);
        let offset = self.offset.map_or(difference, |best| best.min(difference));
        self.offset = Some(offset);
        let age = u64::try_from(difference.saturating_sub(offset)).unwrap_or_default();
        let age = Duration::from_millis(age);
        match age > MIN_LATE_AGE {
            true => age,
            false => Duration::ZERO,
        }
    }
}

/// Returns by how much a call was delayed that states the time of day at which it was sent, in
/// milliseconds since the Unix epoch; zero for usual delays. Wrong if the clocks of the two VMs
/// differ, so it serves only calls of daemons that state no other time.
#[must_use]
pub fn wall_delay(sent_at_ms: u64, now: SystemTime) -> Duration {
    let age = wall_ms(now).saturating_sub(sent_at_ms);
    let age = Duration::from_millis(age);
    match age > MIN_LATE_AGE {
        true => age,
        false => Duration::ZERO,
    }
}
