//! How much longer requests of each route wait than the queue suggested when they arrived.

use std::collections::HashMap;
use std::time::Duration;

/// Weight of the newest wait in the moving average.
const NEWEST_WEIGHT: f64 = 1.0 / 12.0;

/// Bounds of the factor. The upper one keeps some requests coming, so that a wrong factor is
/// corrected.
const FACTOR_BOUNDS: (f64, f64) = (1.0, 4.0);

/// Waits below this are not compared: they depend on the end of a single run.
const MIN_WAIT: Duration = Duration::from_millis(10);

/// Maximum number of routes with a factor. A service normally has a few routes.
const MAX_ROUTES: usize = 1024;

/// Factors by the hash of the route's name.
#[derive(Debug, Default)]
pub struct WaitFactors {
    factors: HashMap<u32, f64>,
}

impl WaitFactors {
    /// Returns the factor of a route, 1 before any wait.
    #[must_use]
    pub fn factor(&self, route_hash: u32) -> f64 {
        let factor = self.factors.get(&route_hash).copied().unwrap_or(1.0);
        factor.clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1)
    }

    /// Records that a request that should have waited for `expected` waited for `waited`, until it
    /// started or was given up.
    pub fn record(&mut self, route_hash: u32, expected: Duration, waited: Duration) {
        if expected < MIN_WAIT && waited < MIN_WAIT {
            return;
        }
        if self.factors.len() >= MAX_ROUTES && !self.factors.contains_key(&route_hash) {
            self.factors.clear();
        }
        let ratio = waited.as_secs_f64() / expected.max(MIN_WAIT).as_secs_f64();
        let ratio = ratio.min(FACTOR_BOUNDS.1 * 2.0);
        let factor = self.factors.entry(route_hash).or_insert(1.0);
        *factor += (ratio - *factor) * NEWEST_WEIGHT;
    }
}
