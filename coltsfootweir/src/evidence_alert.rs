//! When the daemon beside an upstream of a move's new version alerts the candidates, so that they
//! need not poll all the time to see a fault soon.

use std::time::Duration;

use crate::evidence::EndpointEvidence;
use crate::evidence::RouteCounts;
use crate::token_bucket::TokenBucket;

/// Time between two alerts; shorter than the time for which one has the evidence polled.
const ALERT_GAP: Duration = Duration::from_secs(3);

/// Alerts in a row.
const ALERT_BURST: u32 = 10;

/// Time in which one more alert is allowed.
const ALERT_REFILL: Duration = Duration::from_secs(10);

/// Slow calls between two looks that are worth an alert.
const SLOW_CALLS: u64 = 3;

/// Share of slow calls between two looks that is worth an alert: one in this many.
const SLOW_ONE_IN: u64 = 4;

/// Watches the counts of the own upstream for new faults.
#[derive(Clone, Debug)]
pub struct AlertWatch {
    last: Option<EndpointEvidence>,
    alerted_at: Option<Duration>,
    is_pending: bool,
    budget: TokenBucket,
}

impl AlertWatch {
    /// Returns a watch that has seen nothing.
    #[must_use]
    pub fn new() -> AlertWatch {
        AlertWatch {
            last: None,
            alerted_at: None,
            is_pending: false,
            budget: TokenBucket::new(ALERT_BURST, ALERT_REFILL),
        }
    }

    /// Looks at the counts; returns whether the candidates are to be alerted now.
    pub fn look(&mut self, report: EndpointEvidence, now: Duration) -> bool {
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

    /// Forgets the counts; for the time in which no move to the upstream's version runs.
    pub fn rest(&mut self) {
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

/// Returns whether many of the newest calls are slow by the measure of those before them.
fn has_slowed(before: &RouteCounts, after: &RouteCounts) -> bool {
    let Some(bucket) = before.slow_bucket() else {
        return false;
    };
    let growth = after.since(before);
    let slow: u64 = growth.latency[bucket..].iter().sum();
    slow >= SLOW_CALLS && slow * SLOW_ONE_IN >= growth.calls
}
