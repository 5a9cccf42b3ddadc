//! Sizes of the answers of each route, as seen so far.

use std::collections::HashMap;

use crate::sidecar::answer::answer_rest::INLINE_LIMIT;

/// Weight of the newest answer in the moving average.
const NEWEST_WEIGHT: f64 = 1.0 / 12.0;

/// Maximum number of routes with an estimate. A service normally has a few routes.
const MAX_ROUTES: usize = 1024;

/// Mean sizes of answers by the hash of the route's name.
#[derive(Debug, Default)]
pub struct AnswerSizes {
    means: HashMap<u32, f64>,
}

impl AnswerSizes {
    /// Records the size of an answer in bytes.
    pub fn record(&mut self, route_hash: u32, bytes: u64) {
        if self.means.len() >= MAX_ROUTES && !self.means.contains_key(&route_hash) {
            self.means.clear();
        }
        let bytes = bytes as f64;
        let mean = self.means.entry(route_hash).or_insert(bytes);
        *mean += (bytes - *mean) * NEWEST_WEIGHT;
    }

    /// Returns the mean size of the answers of a route in bytes; 0 before the first.
    #[must_use]
    pub fn mean(&self, route_hash: u32) -> u64 {
        self.means.get(&route_hash).map_or(0, |mean| *mean as u64)
    }

    /// Returns whether the answers of a route are mostly sent in pieces.
    #[must_use]
    pub fn is_large(&self, route_hash: u32) -> bool {
        self.mean(route_hash) > INLINE_LIMIT as u64
    }
}
