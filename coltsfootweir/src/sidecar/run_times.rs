//! Estimates of the run time of requests by route.

use std::collections::HashMap;
use std::time::Duration;

/// Divisor for the weight of the newest run in the moving averages.
const NEWEST_DIVISOR: u32 = 12;

/// Maximum number of routes with an estimate. A service normally has a few routes.
const MAX_ROUTES: usize = 1024;

#[derive(Clone, Copy, Debug)]
struct RunEstimate {
    mean: Duration,
    deviation: Duration,
}

/// Moving averages of run times and their deviations, by the hash of the route's name.
#[derive(Debug, Default)]
pub struct RunTimes {
    estimates: HashMap<u32, RunEstimate>,
}

impl RunTimes {
    /// Returns the time within which most runs of a route finish, the mean plus the mean deviation;
    /// zero when no run was recorded.
    #[must_use]
    pub fn expected(&self, route_hash: u32) -> Duration {
        let estimate = self.estimates.get(&route_hash);
        estimate.map_or(Duration::ZERO, |estimate| {
            estimate.mean + estimate.deviation
        })
    }

    /// Records the time of a run.
    pub fn record(&mut self, route_hash: u32, run: Duration) {
        if self.estimates.len() >= MAX_ROUTES && !self.estimates.contains_key(&route_hash) {
            self.estimates.clear();
        }
        let estimate = self.estimates.entry(route_hash).or_insert(RunEstimate {
            mean: run,
            deviation: Duration::ZERO,
        });
        let deviation = estimate.mean.abs_diff(run);
        estimate.deviation = smoothed(estimate.deviation, deviation);
        estimate.mean = smoothed(estimate.mean, run);
    }
}

fn smoothed(mean: Duration, newest: Duration) -> Duration {
    (mean * (NEWEST_DIVISOR - 1) + newest) / NEWEST_DIVISOR
}
