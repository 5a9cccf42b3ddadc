//! Past numbers of running requests, for a load endpoint that lags.

use std::collections::VecDeque;
use std::time::Duration;

/// Numbers of running requests by time.
#[derive(Debug, Default)]
pub struct LoadHistory {
    samples: VecDeque<(Duration, u32)>,
}

impl LoadHistory {
    /// Records that `running` requests run from `now` on, and forgets what is older than `lag`.
    pub fn record(&mut self, now: Duration, running: u32, lag: Duration) {
        self.samples.push_back((now, running));
        while self
            .samples
            .get(1)
            .is_some_and(|(time, _)| *time + lag <= now)
        {
            self.samples.pop_front();
        }
    }

    /// Number of requests that ran `lag` before `now`.
    #[must_use]
    pub fn running_before(&self, now: Duration, lag: Duration) -> u32 {
        let mut running = 0;
        for (time, sample) in &self.samples {
            if *time + lag > now {
                break;
            }
            running = *sample;
        }
        running
    }
}
