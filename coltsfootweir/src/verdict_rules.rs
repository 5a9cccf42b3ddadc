//! Built-in verdict rules: failures, slowness and crashes.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::evidence::RouteCounts;
use crate::evidence_pool::PoolView;
use crate::evidence_pool::PooledCrash;
use crate::evidence_pool::VersionTotals;
use crate::excluded_slices::ExcludedSlices;
use crate::ids::Fingerprint;
use crate::ids::MemberId;
use crate::sequential::BadCalls;
use crate::sequential::BadMeasure;
use crate::sequential::ComparisonResult;
use crate::sequential::compare;
use crate::verdict::CONDEMN_STRENGTH;
use crate::verdict::SUSPECT_STRENGTH;
use crate::verdict::VerdictFinding;
use crate::verdict::VerdictPlugin;
use crate::verdict::VerdictRule;

/// Accepted increase of the failure rate.
const FAILURE_TOLERANCE: f64 = 0.002;

/// Accepted increase of the share of slow calls.
const SLOW_TOLERANCE: f64 = 0.05;

/// Time after a crash in which failures of the endpoint are attributed to the crash.
const CRASH_TIME: Duration = Duration::from_secs(4);

/// Warm-up time of an endpoint after a start.
const WARM_UP: Duration = Duration::from_secs(10);

/// Number of crashes that condemns a version even if all share a request.
const MANY_CRASHES: usize = 6;

/// Separate causes that condemn a version even if only one endpoint crashes.
///
/// The requests that trigger a fault may all reach one endpoint. Crashes during only requests that
/// the old version completed are left out, because those also occur on a bad VM.
const SINGLE_ENDPOINT_CAUSES: usize = 6;

/// Factor by which crashes per call must exceed those of the old version.
const CRASH_RATIO: f64 = 4.0;

/// Compares the failure rates of both versions.
struct FailureRule;

impl VerdictRule for FailureRule {
    fn name(&self) -> &'static str {
        "failures"
    }

    fn evaluate(&self, view: &PoolView) -> Option<VerdictFinding> {
        let mut excluded = ExcludedSlices::new(view);
        excluded.add_crashes(view, CRASH_TIME);
        let measure = BadMeasure {
            by_route: vec![Some(BadCalls::Failed); view.route_names.len()],
            tolerance: FAILURE_TOLERANCE,
            excluded,
        };
        find_difference(self.name(), "failed calls", view, &measure)
    }
}

inventory::submit! { VerdictPlugin { rule: &FailureRule } }

/// Compares the shares of calls that are slow relative to the old version's latency.
struct SlownessRule;

impl VerdictRule for SlownessRule {
    fn name(&self) -> &'static str {
        "slowness"
    }

    fn evaluate(&self, view: &PoolView) -> Option<VerdictFinding> {
        let mut excluded = ExcludedSlices::new(view);
        excluded.add_crashes(view, WARM_UP);
        excluded.add_starts(view, WARM_UP);
        let measure = BadMeasure {
            by_route: slow_calls(view),
            tolerance: SLOW_TOLERANCE,
            excluded,
        };
        find_difference(self.name(), "slow calls", view, &measure)
    }
}

inventory::submit! { VerdictPlugin { rule: &SlownessRule } }

/// Compares both versions by a measure; returns a finding with the counts.
fn find_difference(
    rule: &'static str,
    label: &str,
    view: &PoolView,
    measure: &BadMeasure,
) -> Option<VerdictFinding> {
    let result = compare(view, measure)?;
    let counts = describe_counts(view, &result, measure);
    Some(VerdictFinding {
        rule,
        strength: result.strength,
        summary: format!("{label}, {counts}").into(),
    })
}

/// Returns the criterion for slow calls of each route; `None` if the old version has too few calls.
fn slow_calls(view: &PoolView) -> Vec<Option<BadCalls>> {
    let mut calls = Vec::new();
    for route in &view.route_names {
        let bucket = view
            .old
            .routes
            .get(route)
            .and_then(RouteCounts::slow_bucket);
        calls.push(bucket.map(BadCalls::Slower));
    }
    calls
}

/// Formats the numbers of bad calls and of all calls of both versions.
fn describe_counts(view: &PoolView, result: &ComparisonResult, measure: &BadMeasure) -> Box<str> {
    let sum = |totals: &VersionTotals| {
        let mut sum = (0, 0);
        for (route, bad) in view.route_names.iter().zip(&measure.by_route) {
            if result.route.as_ref().is_some_and(|scope| scope != route) {
                continue;
            }
            let (Some(bad), Some(counts)) = (bad, totals.routes.get(route)) else {
                continue;
            };
            let (calls, bad) = bad.split(counts);
            sum = (sum.0 + calls, sum.1 + bad);
        }
        sum
    };
    let scope = result
        .route
        .as_ref()
        .map_or("all routes".into(), |name| format!("route {name}"));
    let ((new_calls, new_bad), (old_calls, old_bad)) = (sum(&view.new), sum(&view.old));
    format!("{scope}: new {new_bad} of {new_calls}, old {old_bad} of {old_calls}").into()
}

/// Counts crashes that are not explained by a request running at crashes of the old version.
struct CrashRule;

impl VerdictRule for CrashRule {
    fn name(&self) -> &'static str {
        "crashes"
    }

    fn evaluate(&self, view: &PoolView) -> Option<VerdictFinding> {
        let old_running = fingerprints(&view.old.crashes);
        let new_crashes: Vec<&PooledCrash> = view
            .new
            .crashes
            .iter()
            .filter(|crash| !shares(crash, &old_running))
            .collect();
        if new_crashes.is_empty() {
            return None;
        }
        let members: BTreeSet<&MemberId> = new_crashes.iter().map(|crash| &crash.member).collect();
        let causes = distinct_causes(new_crashes.iter().copied(), &view.old.survived);
        let summary = format!(
            "crashes: new {} at {} endpoints with {causes} separate causes in {} calls, old {} in {} calls",
            view.new.crashes.len(),
            members.len(),
            view.new.calls(),
            view.old.crashes.len(),
            view.old.calls(),
        );
        let strength = if is_version_fault(view, &new_crashes, members.len()) {
            CONDEMN_STRENGTH
        } else {
            SUSPECT_STRENGTH / 2.0
        };
        Some(VerdictFinding {
            rule: self.name(),
            strength,
            summary: summary.into(),
        })
    }
}

inventory::submit! { VerdictPlugin { rule: &CrashRule } }

fn fingerprints(crashes: &[PooledCrash]) -> BTreeSet<Fingerprint> {
    crashes
        .iter()
        .flat_map(|crash| crash.running.iter().copied())
        .collect()
}

fn shares(crash: &PooledCrash, running: &BTreeSet<Fingerprint>) -> bool {
    crash
        .running
        .iter()
        .any(|fingerprint| running.contains(fingerprint))
}

/// Counts crashes that share no running request with an earlier one. Requests that the old version
/// completed are ignored, because they are not poison requests.
fn distinct_causes<'a>(
    crashes: impl Iterator<Item = &'a PooledCrash>,
    survived: &BTreeSet<Fingerprint>,
) -> usize {
    let mut running = BTreeSet::new();
    let mut causes = 0;
    for crash in crashes {
        if !shares(crash, &running) {
            causes += 1;
        }
        let suspects = crash
            .running
            .iter()
            .filter(|request| !survived.contains(request));
        running.extend(suspects.copied());
    }
    causes
}

/// Returns whether these crashes, at `members` endpoints, are attributed to the version.
fn is_version_fault(view: &PoolView, crashes: &[&PooledCrash], members: usize) -> bool {
    if !exceeds_old(view, crashes.len()) {
        return false;
    }
    let survived = &view.old.survived;
    let is_suspect = |crash: &&PooledCrash| {
        !crash
            .running
            .iter()
            .all(|request| survived.contains(request))
    };
    let has_suspect = crashes.iter().copied().filter(is_suspect);
    if distinct_causes(has_suspect, survived) >= SINGLE_ENDPOINT_CAUSES {
        return true;
    }
    let is_spread = members >= 2 || view.new_members().count() < 2;
    is_spread
        && (crashes.len() >= MANY_CRASHES
            || distinct_causes(crashes.iter().copied(), survived) >= 2)
}

/// Returns whether the new version crashes clearly more often per call than the old one.
fn exceeds_old(view: &PoolView, crashes: usize) -> bool {
    let old_crashes = view.old.crashes.len() as f64;
    let new_calls = view.new.calls().max(1) as f64;
    let old_calls = view.old.calls().max(1) as f64;
    crashes as f64 / new_calls > CRASH_RATIO * old_crashes / old_calls
}
