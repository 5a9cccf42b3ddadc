//! How long requests of one route run.

use std::collections::HashMap;
use std::time::Duration;

/// Weight of the newest run in an estimate, as a divisor.
const NEWEST_WEIGHT: u32 = 12;

/// Routes remembered; a service is reached by a few.
const MAX_KINDS: usize = 1024;

#[derive(Clone, Copy, Debug)]
struct RunEstimate {
    mean: Duration,
    deviation: Duration,
}

/// Times of runs by the hash of the route's name.
#[derive(Debug, Default)]
pub struct RunTimes {
    estimates: HashMap<u32, RunEstimate>,
}

impl RunTimes {
    /// Returns the time within which most runs of a route end; zero when none is known.
    #[must_use]
    pub fn expected(&self, kind: u32) -> Duration {
        let estimate = self.estimates.get(&kind);
        estimate.map_or(Duration::ZERO, |estimate| {
            estimate.mean + estimate.deviation
        })
    }

    /// Takes the time of a run.
    pub fn learn(&mut self, kind: u32, run: Duration) {
        if self.estimates.len() >= MAX_KINDS && !self.estimates.contains_key(&kind) {
            self.estimates.clear();
        }
        let estimate = self.estimates.entry(kind).or_insert(RunEstimate {
            mean: run,
            deviation: Duration::ZERO,
        });
        let off = estimate.mean.abs_diff(run);
        estimate.deviation = smoothed(estimate.deviation, off);
        estimate.mean = smoothed(estimate.mean, run);
    }
}

fn smoothed(mean: Duration, newest: Duration) -> Duration {
    (mean * (NEWEST_WEIGHT - 1) + newest) / NEWEST_WEIGHT
}
