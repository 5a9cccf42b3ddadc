//! Waiting for a condition with a bound, for tests and measurements.

use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Time between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Looks at `condition` until it holds or `limit` has passed; tells whether it held.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    loop {
        if condition() {
            return true;
        }
        if start.elapsed() >= limit {
            return false;
        }
        thread::sleep(POLL_INTERVAL);
    }
}
