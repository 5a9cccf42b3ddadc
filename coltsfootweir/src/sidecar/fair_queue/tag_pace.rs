//! Measures how fast the virtual time of a rank advances while requests of its teams wait.

use std::time::Duration;

/// Measured time above which older measurements lose half of their weight. Several runs of the slowest
/// routes (some 100 ms) fit in, and the pace follows a change of the load within about a second.
const WINDOW: Duration = Duration::from_secs(1);

/// Measured time from which on there is a pace; fewer starts differ by chance.
const MIN_ELAPSED: Duration = Duration::from_millis(100);

/// Advance of the virtual time and the time that it took.
#[derive(Clone, Copy, Debug, Default)]
pub struct TagPace {
    advance: Duration,
    elapsed: Duration,
    /// Time of the last start, while requests have waited since.
    last_at: Option<Duration>,
}

impl TagPace {
    /// Records that a request that waited started at `now` and advanced the virtual time.
    pub fn record(&mut self, advance: Duration, now: Duration) {
        let Some(last_at) = self.last_at.replace(now) else {
            return;
        };
        self.advance += advance;
        self.elapsed += now.saturating_sub(last_at);
        if self.elapsed > WINDOW {
            self.advance /= 2;
            self.elapsed /= 2;
        }
    }

    /// Ends the measured time: no request waits.
    pub fn pause(&mut self) {
        self.last_at = None;
    }

    /// Returns the advance of the virtual time per second of time; `None` without enough measurements.
    #[must_use]
    pub fn rate(&self) -> Option<f64> {
        let is_known = self.elapsed >= MIN_ELAPSED;
        is_known.then(|| self.advance.as_secs_f64() / self.elapsed.as_secs_f64())
    }
}
