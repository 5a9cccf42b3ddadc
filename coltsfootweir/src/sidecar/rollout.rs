//! Canary rollout of a new version of a service: traffic share and evaluation of the responses.
//!
//! The response counts of all daemons are pooled. Any daemon may find the new version faulty; the
//! others then take over its decision.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::VersionName;
use crate::sidecar::member_table::RolloutStage;
use crate::sidecar::member_table::VersionCount;
use crate::sidecar::platform_adapter::RolloutOrder;
use crate::sidecar::store_era::store_version::StoreVersion;

/// Share of the canary limit that the new version receives during the trial. The rest is left for
/// retries and for daemons that are not yet aware of each other's requests.
const TRIAL_LIMIT_SHARE: f64 = 0.6;

/// Share of the rollout's duration that the trial takes. The rest is left for shifting the traffic
/// and for requests at the old version to finish.
const TRIAL_DURATION_SHARE: f64 = 0.6;

/// Responses of the new version that are required before the traffic is shifted.
const MIN_TRIAL_CALLS: u32 = 20;

/// Responses required before the failure share is evaluated, for one route or for all of them.
const MIN_FAILURE_CALLS: u32 = 16;

/// Failures required before a version is found faulty. This is a tenth of the failed responses after
/// which it must be out of service, and more than a few calls that fail together.
const MIN_FAILURES: u32 = 7;

/// Margin by which the failure share must exceed that of the old version. It is several times the
/// failure share of healthy versions.
const FAILURE_MARGIN: f64 = 0.15;

/// Factor by which the mean response time must exceed that of the old version. Endpoints of one
/// version differ by a factor of two, and new endpoints are slow at first.
const SLOW_FACTOR: f64 = 3.0;

/// Minimum in milliseconds by which the mean response time must exceed that of the old version. It
/// covers the scheduling pauses of a VM with a fifth of a core.
const SLOW_MARGIN_MS: f64 = 20.0;

/// Responses of each version required before their mean times are compared.
const MIN_SLOW_CALLS: u32 = 12;

/// Window over which recent responses are evaluated in addition to all responses. It is half of the
/// time within which a faulty version must be out of service.
const RECENT_WINDOW: Duration = Duration::from_millis(2_500);

/// State of one rollout on one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutState {
    /// The operator's order.
    pub order: RolloutOrder,
    /// Row version of the order.
    pub row: StoreVersion,
    /// Time since the daemon's start at which it received the order.
    pub since: Duration,
    /// Stage that this daemon has reached.
    pub stage: RolloutStage,
    counts: Vec<VersionCount>,
}

/// Returns whether an attempt that was cancelled after `time`, because a second one was answered first,
/// counts as a failure of its version. One that is not far beyond the `expected` time may have been about
/// to be answered.
#[must_use]
pub fn is_faulty_straggler(time: Duration, expected: Duration) -> bool {
    time > expected + Duration::from_secs_f64(SLOW_MARGIN_MS / 1_000.0)
}

/// Versions of a service that may receive a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VersionChoice {
    /// The new version, or the old ones if it has no endpoint.
    New,
    /// The old versions.
    Old,
    /// Only the new version.
    OnlyNew,
}

impl RolloutState {
    /// Creates the state of a rollout whose trial starts now.
    #[must_use]
    pub fn new(order: RolloutOrder, row: StoreVersion, since: Duration) -> RolloutState {
        RolloutState {
            order,
            row,
            since,
            stage: RolloutStage::Trial,
            counts: Vec::new(),
        }
    }

    /// Returns which versions may receive a request. `point` is uniformly random in 0 to 1.
    #[must_use]
    pub fn choose(&self, canary_share: f64, point: f64) -> VersionChoice {
        match self.stage {
            RolloutStage::Trial if point < canary_share * TRIAL_LIMIT_SHARE => VersionChoice::New,
            RolloutStage::Trial | RolloutStage::TakenBack => VersionChoice::Old,
            RolloutStage::Shifted | RolloutStage::Settled | RolloutStage::Done => {
                VersionChoice::OnlyNew
            }
        }
    }

    /// Advances the rollout to a later stage; returns whether that changed anything.
    ///
    /// Nothing changes if `row` is not the row version of the current order, which happens when a
    /// newer order arrives while the report of the previous one is written.
    pub fn advance(&mut self, row: StoreVersion, stage: RolloutStage) -> bool {
        // A finished rollout cannot be reverted because the old endpoints are gone.
        let is_over = self.stage == RolloutStage::Done;
        if row != self.row || stage <= self.stage || is_over {
            return false;
        }
        self.stage = stage;
        true
    }

    /// Records that the order has been written again, as another version of its row. Its progress stays.
    pub fn renew(&mut self, row: StoreVersion) {
        self.row = row;
        for count in &mut self.counts {
            count.order = row;
        }
    }

    /// Counts a response.
    pub fn count(&mut self, version: &VersionName, route: &str, failed: bool, time: Duration) {
        if self.stage >= RolloutStage::Done {
            return;
        }
        let found = self
            .counts
            .iter()
            .position(|count| count.version == *version && *count.route == *route);
        let index = found.unwrap_or_else(|| {
            self.counts.push(VersionCount {
                order: self.row,
                version: version.clone(),
                route: route.into(),
                ..VersionCount::default()
            });
            self.counts.len() - 1
        });
        let count = &mut self.counts[index];
        count.calls += 1;
        count.failures += u32::from(failed);
        count.time_ms += time.as_millis() as u64;
    }

    /// Returns the responses counted by this daemon.
    #[must_use]
    pub fn counts(&self) -> &[VersionCount] {
        &self.counts
    }

    /// Evaluates the pooled counts of all daemons. Returns the reason if the new version is faulty.
    #[must_use]
    pub fn find_fault(&self, pooled: &[VersionCount]) -> Option<String> {
        let mut totals = (CountTotals::default(), CountTotals::default());
        for route in self.routes(pooled) {
            let (new, old) = self.totals(pooled, route);
            totals.0.add(&new);
            totals.1.add(&old);
            if let Some(fault) = new.fault_against(&old) {
                return Some(format!("route {route}: {fault}"));
            }
        }
        // Mean times over different mixes of routes are not comparable, but failure shares are.
        totals.0.failures_against(&totals.1)
    }

    /// Returns a summary of the trial once it has lasted long enough and has enough responses for
    /// the traffic to be shifted; `None` before.
    #[must_use]
    pub fn trial_summary(&self, pooled: &[VersionCount], now: Duration) -> Option<String> {
        let trial = self.order.duration.mul_f64(TRIAL_DURATION_SHARE);
        let (mut new, mut old) = (CountTotals::default(), CountTotals::default());
        for route in self.routes(pooled) {
            let (of_new, of_old) = self.totals(pooled, route);
            new.add(&of_new);
            old.add(&of_old);
        }
        let is_complete = now >= self.since + trial && new.calls >= MIN_TRIAL_CALLS;
        is_complete.then(|| {
            format!(
                "{} of {} answers failed after {:.0} ms in the mean, at the old version {} of {} \
                 after {:.0} ms",
                new.failures,
                new.calls,
                new.mean_ms(),
                old.failures,
                old.calls,
                old.mean_ms()
            )
        })
    }

    /// Returns the routes with counts for this order.
    fn routes<'c>(&self, pooled: &'c [VersionCount]) -> Vec<&'c str> {
        let mut routes: Vec<&str> = Vec::new();
        for count in pooled.iter().filter(|count| count.order == self.row) {
            if !routes.contains(&&*count.route) {
                routes.push(&count.route);
            }
        }
        routes
    }

    /// Returns the totals of the new and of the old versions on a route.
    fn totals(&self, pooled: &[VersionCount], route: &str) -> (CountTotals, CountTotals) {
        let (mut new, mut old) = (CountTotals::default(), CountTotals::default());
        for count in pooled {
            if count.order != self.row || *count.route != *route {
                continue;
            }
            let totals = match count.version == self.order.version {
                true => &mut new,
                false => &mut old,
            };
            totals.calls += count.calls;
            totals.failures += count.failures;
            totals.time_ms += count.time_ms;
        }
        (new, old)
    }
}

/// History of pooled counts, from which the responses of the last seconds are derived. Without it,
/// good responses at the start of a trial would mask later failures.
#[derive(Debug, Default)]
pub struct CountHistory {
    steps: VecDeque<(Duration, Vec<VersionCount>)>,
}

impl CountHistory {
    /// Records the pooled counts and returns the increase over the last seconds.
    pub fn record(&mut self, pooled: Vec<VersionCount>, now: Duration) -> Vec<VersionCount> {
        while self
            .steps
            .get(1)
            .is_some_and(|(at, _)| *at + RECENT_WINDOW <= now)
        {
            self.steps.pop_front();
        }
        let mut recent = Vec::new();
        if let Some((_, before)) = self.steps.front() {
            for key in distinct(&pooled) {
                let (now, then) = (sum_of(&pooled, key), sum_of(before, key));
                // Counts decrease when a daemon restarts or leaves.
                recent.push(VersionCount {
                    calls: now.calls.saturating_sub(then.calls),
                    failures: now.failures.saturating_sub(then.failures),
                    time_ms: now.time_ms.saturating_sub(then.time_ms),
                    ..key.clone()
                });
            }
        }
        self.steps.push_back((now, pooled));
        recent
    }
}

/// Returns one count for each distinct order, version and route.
fn distinct(counts: &[VersionCount]) -> Vec<&VersionCount> {
    let mut found: Vec<&VersionCount> = Vec::new();
    for count in counts {
        if !found.iter().any(|other| is_same(other, count)) {
            found.push(count);
        }
    }
    found
}

fn is_same(one: &VersionCount, other: &VersionCount) -> bool {
    one.order == other.order && one.version == other.version && one.route == other.route
}

fn sum_of(counts: &[VersionCount], key: &VersionCount) -> CountTotals {
    let mut totals = CountTotals::default();
    for count in counts.iter().filter(|count| is_same(count, key)) {
        totals.calls += count.calls;
        totals.failures += count.failures;
        totals.time_ms += count.time_ms;
    }
    totals
}

#[derive(Clone, Copy, Debug, Default)]
struct CountTotals {
    calls: u32,
    failures: u32,
    time_ms: u64,
}

impl CountTotals {
    fn add(&mut self, other: &CountTotals) {
        self.calls += other.calls;
        self.failures += other.failures;
        self.time_ms += other.time_ms;
    }

    fn failure_share(&self) -> f64 {
        f64::from(self.failures) / f64::from(self.calls.max(1))
    }

    fn mean_ms(&self) -> f64 {
        self.time_ms as f64 / f64::from(self.calls.max(1))
    }

    /// Returns a description if the failure share is significantly above that of the old version.
    fn failures_against(&self, old: &CountTotals) -> Option<String> {
        let is_bad = self.calls >= MIN_FAILURE_CALLS
            && self.failures >= MIN_FAILURES
            && self.failure_share() > old.failure_share() + FAILURE_MARGIN;
        is_bad.then(|| {
            format!(
                "{} of {} answers failed, {} of {} at the old version",
                self.failures, self.calls, old.failures, old.calls
            )
        })
    }

    /// Returns a description if failures or mean response time are significantly above those of the
    /// old version.
    fn fault_against(&self, old: &CountTotals) -> Option<String> {
        let failures = self.failures_against(old);
        let is_slow = self.calls >= MIN_SLOW_CALLS
            && old.calls >= MIN_SLOW_CALLS
            && self.mean_ms() > old.mean_ms() * SLOW_FACTOR
            && self.mean_ms() > old.mean_ms() + SLOW_MARGIN_MS;
        failures.or_else(|| {
            is_slow.then(|| {
                format!(
                    "answers took {:.0} ms in the mean, {:.0} ms at the old version",
                    self.mean_ms(),
                    old.mean_ms()
                )
            })
        })
    }
}
