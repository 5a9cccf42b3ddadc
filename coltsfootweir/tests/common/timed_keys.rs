//! Booking keys with a timestamp.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Hour at which the clocks of the tests start, in hours since the Unix epoch.
pub const FIRST_HOUR: u64 = 490_000;

/// Returns the time `hour` hours after [`FIRST_HOUR`].
pub fn at_hour(hour: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs((FIRST_HOUR + hour) * 3600)
}

/// Returns a version 7 UUID with the timestamp `time`.
pub fn timed_key(time: SystemTime, number: u64) -> String {
    let millis = time.duration_since(UNIX_EPOCH).unwrap().as_millis();
    let (high, low) = (millis >> 16, millis & 0xffff);
    format!("{high:08x}-{low:04x}-7000-8000-{number:012x}")
}
