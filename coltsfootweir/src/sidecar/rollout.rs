//! A move of a service's traffic to a new version: how much the version gets, and what its answers
//! tell.
//!
//! The counts of all daemons are pooled. Any daemon may find the version bad; the others follow.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::RowVersion;
use crate::ids::VersionName;
use crate::sidecar::dialect::RolloutOrder;
use crate::sidecar::member_table::RolloutStage;
use crate::sidecar::member_table::VersionCount;

/// Share of the allowed requests that a version on trial gets: the rest is left for requests that
/// are repeated, and for daemons that do not know of each other's.
const TRIAL_PART: f64 = 0.6;

/// Share of the move's time that the trial takes; daemons then still have to shift and settle.
const TRIAL_TIME: f64 = 0.6;

/// Answers of the new version that a trial needs before the traffic is shifted.
const MIN_TRIAL_CALLS: u32 = 20;

/// Answers after which a version or one of its routes may be found bad.
const MIN_VERDICT_CALLS: u32 = 16;

/// Failures after which a version may be found bad: a tenth of the bad answers after which it must be
/// out of service, and more than a few calls that fail together.
const MIN_FAILURES: u32 = 7;

/// Share of failures above that of the old version at which the new one is bad: several times what
/// healthy versions fail with.
const FAILURE_MARGIN: f64 = 0.15;

/// Times the mean answer time of the old version at which the new one is bad. Endpoints of one
/// version differ by a factor of two, and new ones are slow at first.
const SLOW_FACTOR: f64 = 3.0;

/// Milliseconds by which the mean must lie above that of the old version at the least: the pauses
/// of a processor that has a fifth of a core.
const SLOW_MARGIN_MS: f64 = 20.0;

/// Answers after which a version may be found slow.
const MIN_SLOW_CALLS: u32 = 12;

/// Time over which recent answers are judged apart from all: half of the time in which a bad
/// version is to be out of service.
const RECENT_TIME: Duration = Duration::from_millis(2_500);

/// One move on one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutState {
    /// The order.
    pub order: RolloutOrder,
    /// Row version of the order.
    pub row: RowVersion,
    /// When the daemon learned of it.
    pub since: Duration,
    /// What the daemon does.
    pub stage: RolloutStage,
    counts: Vec<VersionCount>,
}

/// Which versions of a service may get a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VersionChoice {
    /// The version on trial, the old ones when it has no endpoint.
    New,
    /// The old versions.
    Old,
    /// The new version and nothing else.
    OnlyNew,
}

impl RolloutState {
    /// Starts a move.
    #[must_use]
    pub fn new(order: RolloutOrder, row: RowVersion, since: Duration) -> RolloutState {
        RolloutState {
            order,
            row,
            since,
            stage: RolloutStage::Trial,
            counts: Vec::new(),
        }
    }

    /// Returns which versions may get a request; `point` is random in 0 to 1.
    #[must_use]
    pub fn choose(&self, canary_share: f64, point: f64) -> VersionChoice {
        match self.stage {
            RolloutStage::Trial if point < canary_share * TRIAL_PART => VersionChoice::New,
            RolloutStage::Trial | RolloutStage::TakenBack => VersionChoice::Old,
            RolloutStage::Shifted | RolloutStage::Settled | RolloutStage::Done => {
                VersionChoice::OnlyNew
            }
        }
    }

    /// Moves the order with the row version `row` on to a later stage; returns whether that changed
    /// anything. An order may have been followed by another while its report was written.
    pub fn advance(&mut self, row: RowVersion, stage: RolloutStage) -> bool {
        // What is done cannot be taken back, as the old endpoints are gone.
        let is_over = self.stage == RolloutStage::Done;
        if row != self.row || stage <= self.stage || is_over {
            return false;
        }
        self.stage = stage;
        true
    }

    /// Counts an answer.
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

    /// Returns the own counts.
    #[must_use]
    pub fn counts(&self) -> &[VersionCount] {
        &self.counts
    }

    /// Judges the pooled counts of all daemons; returns why the new version is bad, if it is.
    #[must_use]
    pub fn find_fault(&self, pooled: &[VersionCount]) -> Option<String> {
        let mut all = (Sums::default(), Sums::default());
        for route in self.routes(pooled) {
            let (new, old) = self.sums(pooled, route);
            all.0.add(&new);
            all.1.add(&old);
            if let Some(fault) = new.fault_against(&old) {
                return Some(format!("route {route}: {fault}"));
            }
        }
        // Means over different mixes of routes do not compare; failures do.
        all.0.failures_against(&all.1)
    }

    /// Returns what the trial has shown once it has lasted long enough and shown enough for the
    /// traffic to be shifted.
    #[must_use]
    pub fn trial_summary(&self, pooled: &[VersionCount], now: Duration) -> Option<String> {
        let trial = self.order.duration.mul_f64(TRIAL_TIME);
        let (mut new, mut old) = (Sums::default(), Sums::default());
        for route in self.routes(pooled) {
            let (of_new, of_old) = self.sums(pooled, route);
            new.add(&of_new);
            old.add(&of_old);
        }
        let is_proven = now >= self.since + trial && new.calls >= MIN_TRIAL_CALLS;
        is_proven.then(|| {
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

    fn routes<'c>(&self, pooled: &'c [VersionCount]) -> Vec<&'c str> {
        let mut routes: Vec<&str> = Vec::new();
        for count in pooled.iter().filter(|count| count.order == self.row) {
            if !routes.contains(&&*count.route) {
                routes.push(&count.route);
            }
        }
        routes
    }

    fn sums(&self, pooled: &[VersionCount], route: &str) -> (Sums, Sums) {
        let (mut new, mut old) = (Sums::default(), Sums::default());
        for count in pooled {
            if count.order != self.row || *count.route != *route {
                continue;
            }
            let sums = match count.version == self.order.version {
                true => &mut new,
                false => &mut old,
            };
            sums.calls += count.calls;
            sums.failures += count.failures;
            sums.time_ms += count.time_ms;
        }
        (new, old)
    }
}

/// The pooled counts of the last seconds, so that early answers do not hide what comes later.
#[derive(Debug, Default)]
pub struct CountHistory {
    steps: VecDeque<(Duration, Vec<VersionCount>)>,
}

impl CountHistory {
    /// Notes the pooled counts and returns what was added to them in the last seconds.
    pub fn record(&mut self, pooled: Vec<VersionCount>, now: Duration) -> Vec<VersionCount> {
        while self
            .steps
            .get(1)
            .is_some_and(|(at, _)| *at + RECENT_TIME <= now)
        {
            self.steps.pop_front();
        }
        let mut recent = Vec::new();
        if let Some((_, before)) = self.steps.front() {
            for key in distinct(&pooled) {
                let (now, then) = (sum_of(&pooled, key), sum_of(before, key));
                // Counts fall when a daemon restarts or is gone.
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

/// Returns one count for each order, version and route.
fn distinct(counts: &[VersionCount]) -> Vec<&VersionCount> {
    let mut kept: Vec<&VersionCount> = Vec::new();
    for count in counts {
        if !kept.iter().any(|other| is_same(other, count)) {
            kept.push(count);
        }
    }
    kept
}

fn is_same(one: &VersionCount, other: &VersionCount) -> bool {
    one.order == other.order && one.version == other.version && one.route == other.route
}

fn sum_of(counts: &[VersionCount], key: &VersionCount) -> Sums {
    let mut sums = Sums::default();
    for count in counts.iter().filter(|count| is_same(count, key)) {
        sums.calls += count.calls;
        sums.failures += count.failures;
        sums.time_ms += count.time_ms;
    }
    sums
}

#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    calls: u32,
    failures: u32,
    time_ms: u64,
}

impl Sums {
    fn add(&mut self, other: &Sums) {
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

    fn failures_against(&self, old: &Sums) -> Option<String> {
        let is_bad = self.calls >= MIN_VERDICT_CALLS
            && self.failures >= MIN_FAILURES
            && self.failure_share() > old.failure_share() + FAILURE_MARGIN;
        is_bad.then(|| {
            format!(
                "{} of {} answers failed, {} of {} at the old version",
                self.failures, self.calls, old.failures, old.calls
            )
        })
    }

    fn fault_against(&self, old: &Sums) -> Option<String> {
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
