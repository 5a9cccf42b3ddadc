//! Decides when the daemon of an upstream that runs a move's new version alerts the candidates.
//!
//! Alerts let candidates poll rarely and still learn of faults quickly.

use std::time::Duration;

use crate::evidence::EndpointEvidence;
use crate::evidence::RouteCounts;
use crate::token_bucket::TokenBucket;

/// Minimum time between two alerts; shorter than the time of frequent polling after an alert.
const ALERT_GAP: Duration = Duration::from_secs(3);

/// Alerts allowed in a burst.
const ALERT_BURST: u32 = 10;

/// Time after which one more alert is allowed.
const ALERT_REFILL: Duration = Duration::from_secs(10);

/// Minimum number of slow calls between two checks for an alert.
const MIN_SLOW_CALLS: u64 = 3;

/// Minimum share of slow calls between two checks for an alert: one in this many.
const SLOW_ONE_IN: u64 = 4;

/// Detects new faults in the counts of the local upstream.
#[derive(Clone, Debug)]
pub struct AlertWatch {
    last: Option<EndpointEvidence>,
    alerted_at: Option<Duration>,
    is_pending: bool,
    budget: TokenBucket,
}

impl AlertWatch {
    /// Returns a watch without earlier counts.
    #[must_use]
    pub fn new() -> AlertWatch {
        AlertWatch {
            last: None,
            alerted_at: None,
            is_pending: false,
            budget: TokenBucket::new(ALERT_BURST, ALERT_REFILL),
        }
    }

    /// Compares the counts with those of the last check; returns whether to alert the candidates now.
    ///
    /// A fault found too early for another alert is alerted by a later check.
    pub fn check(&mut self, report: EndpointEvidence, now: Duration) -> bool {
        let last = self.last.replace(report.clone());
        let last = last.filter(|last| last.version == report.version);
        self.is_pending |= last.is_some_and(|last| has_new_faults(&last, &report));
        let is_early = self.alerted_at.is_some_and(|at| now < at + ALERT_GAP);
        if !self.is_pending || is_early || !self.budget.take(now) {
            return false;
        }
        self.alerted_at = Some(now);
        self.is_pending = false;
        true
    }

    /// Clears the counts and any pending alert; called while no move to the upstream's version runs.
    pub fn reset(&mut self) {
        self.last = None;
        self.is_pending = false;
    }
}

impl Default for AlertWatch {
    fn default() -> AlertWatch {
        AlertWatch::new()
    }
}

fn has_new_faults(before: &EndpointEvidence, after: &EndpointEvidence) -> bool {
    let newest = |evidence: &EndpointEvidence| evidence.crashes.last().map(|crash| crash.number);
    if newest(after) > newest(before) {
        return true;
    }
    for (route, counts) in &after.routes {
        let zero = RouteCounts::new(counts.class);
        let before = before.routes.get(route).unwrap_or(&zero);
        if counts.failures > before.failures || has_slowed(before, counts) {
            return true;
        }
    }
    false
}

/// Returns whether many of the calls since `before` are slow compared with the earlier ones.
fn has_slowed(before: &RouteCounts, after: &RouteCounts) -> bool {
    let Some(bucket) = before.slow_bucket() else {
        return false;
    };
    let growth = after.since(before);
    let slow: u64 = growth.latency[bucket..].iter().sum();
    slow >= MIN_SLOW_CALLS && slow * SLOW_ONE_IN >= growth.calls
}
