//! Sequential comparison of how often calls of the new and of the old version are bad.
//!
//! Counts are compared within strata: calls of one route at about the same time. Given the bad calls
//! of a stratum, their number on the new version is hypergeometric when both versions are alike. The
//! likelihood ratio against an odds ratio above one, with its normaliser bounded by the binomial
//! one, is summed over strata and reset at zero (CUSUM), so that a fault which shows late is not
//! diluted by what went well before. A cause common to both versions cancels out in each stratum.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::evidence::RouteCounts;
use crate::evidence_pool::CountKey;
use crate::evidence_pool::PoolView;
use crate::evidence_pool::SLICE_LENGTH;
use crate::evidence_pool::VersionSide;
use crate::evidence_pool::slice_number;
use crate::ids::MemberId;
use crate::ids::RouteName;

/// Odds ratios that are tested against one.
const ODDS_RATIOS: [f64; 4] = [2.5, 6.0, 16.0, 40.0];

/// Weight from which all endpoints together condemn, in natural logarithms of the likelihood ratio.
const FULL_WEIGHT: f64 = 9.0;

/// Weight that must remain without any one endpoint.
const REST_WEIGHT: f64 = 6.5;

/// Strength below which evidence is not looked at more closely.
const LEAST_STRENGTH: f64 = 0.5;

/// Calls that close a stratum.
const STRATUM_CALLS: f64 = 20.0;

/// Slices that close a stratum with fewer calls.
const STRATUM_SLICES: u64 = 15;

/// Old calls per new call below which the old version's past takes the place of its present.
const LEAST_CONTROL: f64 = 0.05;

/// Factor on evidence that rests on the past of the old version.
const PAST_FACTOR: f64 = 0.5;

/// Failure rate assumed of an old version without any calls.
const UNKNOWN_RATE: f64 = 0.02;

/// Delay after which a slice holds the reports of every endpoint that answers.
const REPORT_DELAY: Duration = Duration::from_millis(1200);

/// Calls of the new version above which a silent endpoint is no longer waited for.
const WAIT_CALLS: u64 = 30;

/// What counts as a bad call.
pub trait BadMeasure {
    /// Returns the calls that can be compared and the bad ones among them.
    fn split(&self, route: &RouteName, counts: &RouteCounts) -> (u64, u64);

    /// Extra share of bad calls that does not matter.
    fn tolerance(&self) -> f64;

    /// Returns whether counts of an endpoint in a slice take no part.
    fn is_excluded(&self, key: &CountKey, slice: u64) -> bool;
}

/// Result of a comparison.
#[derive(Clone, Debug)]
pub struct ComparisonResult {
    /// The route; `None` for all routes together.
    pub route: Option<RouteName>,
    /// Strength of the evidence; 1 condemns.
    pub strength: f64,
}

/// Calls and bad calls of both versions.
#[derive(Clone, Copy, Debug, Default)]
struct SideCounts {
    new_calls: f64,
    new_bad: f64,
    old_calls: f64,
    old_bad: f64,
}

impl SideCounts {
    fn add(&mut self, other: &SideCounts) {
        self.new_calls += other.new_calls;
        self.new_bad += other.new_bad;
        self.old_calls += other.old_calls;
        self.old_bad += other.old_bad;
    }

    /// Returns the old version's rate of bad calls, less one standard deviation of their count.
    fn burst_rate(&self) -> f64 {
        if self.old_calls < 1.0 {
            return 0.0;
        }
        (self.old_bad - self.old_bad.sqrt()) / self.old_calls
    }
}

/// Counts of each route by slice.
type RouteSlices<'a> = BTreeMap<&'a RouteName, BTreeMap<u64, SideCounts>>;

/// Compares the versions on each route and on all routes together; returns the strongest result.
#[must_use]
pub fn compare(view: &PoolView, measure: &dyn BadMeasure) -> Option<ComparisonResult> {
    let slices = collect(view, measure, None);
    // Later slices lack reports yet; they only show bursts that reach over an edge.
    let end = slice_number(view.now.saturating_sub(REPORT_DELAY));
    let mut scopes: Vec<Option<RouteName>> =
        slices.keys().map(|name| Some((*name).clone())).collect();
    scopes.push(None);
    let rests = rest_members(view);
    let mut rest_slices: Vec<RouteSlices<'_>> = Vec::new();
    let mut strongest: Option<ComparisonResult> = None;
    for route in scopes {
        let mut strength = weight(&slices, route.as_ref(), measure, end) / FULL_WEIGHT;
        let floor = strongest
            .as_ref()
            .map_or(LEAST_STRENGTH, |result| result.strength);
        if strength <= floor {
            continue;
        }
        if rest_slices.is_empty() {
            rest_slices = rests
                .iter()
                .map(|left| collect(view, measure, Some(left)))
                .collect();
        }
        for rest in &rest_slices {
            strength = strength.min(weight(rest, route.as_ref(), measure, end) / REST_WEIGHT);
        }
        if strength > floor {
            strongest = Some(ComparisonResult { route, strength });
        }
    }
    strongest
}

/// Returns the endpoints without each of which the evidence must hold.
fn rest_members(view: &PoolView) -> Vec<MemberId> {
    let mut called: BTreeSet<MemberId> = BTreeSet::new();
    for slice in &view.slices {
        let keys = slice
            .counts
            .keys()
            .filter(|key| key.side == VersionSide::New);
        called.extend(keys.map(|key| key.member.clone()));
    }
    let live = view.new_members().count();
    if called.len() >= 2 || (live >= 2 && view.new.calls() < WAIT_CALLS) {
        return called.into_iter().collect();
    }
    Vec::new()
}

fn collect<'a>(
    view: &'a PoolView,
    measure: &dyn BadMeasure,
    left_out: Option<&MemberId>,
) -> RouteSlices<'a> {
    let mut slices = RouteSlices::new();
    for slice in &view.slices {
        for (key, counts) in &slice.counts {
            let is_left = key.side == VersionSide::New && left_out == Some(&key.member);
            if is_left || measure.is_excluded(key, slice.number) {
                continue;
            }
            let (calls, bad) = measure.split(&key.route, counts);
            let sides = slices.entry(&key.route).or_default();
            let sides = sides.entry(slice.number).or_default();
            match key.side {
                VersionSide::New => {
                    sides.new_calls += calls as f64;
                    sides.new_bad += bad as f64;
                }
                VersionSide::Old => {
                    sides.old_calls += calls as f64;
                    sides.old_bad += bad as f64;
                }
            }
        }
    }
    slices
}

/// Returns the weight of the evidence on one route or on all, at least 0.
fn weight(
    slices: &RouteSlices<'_>,
    scope: Option<&RouteName>,
    measure: &dyn BadMeasure,
    end: u64,
) -> f64 {
    let mut strata: Vec<(u64, Stratum)> = Vec::new();
    for (route, slices) in slices {
        if scope.is_some_and(|scope| scope != *route) {
            continue;
        }
        strata.extend(stratify(slices, end));
    }
    strata.sort_by_key(|(slice, _)| *slice);
    let mut heaviest = 0.0_f64;
    for ratio in ODDS_RATIOS {
        let mut sum = 0.0_f64;
        for (_, stratum) in &strata {
            sum = (sum + stratum.weight(ratio, measure.tolerance())).max(0.0);
        }
        heaviest = heaviest.max(sum);
    }
    heaviest
}

/// Calls of one route at about the same time.
#[derive(Clone, Copy, Debug)]
struct Stratum {
    counts: SideCounts,
    factor: f64,
}

impl Stratum {
    fn weight(&self, ratio: f64, tolerance: f64) -> f64 {
        let counts = &self.counts;
        let calls = counts.new_calls + counts.old_calls;
        if calls <= 0.0 {
            return 0.0;
        }
        let share = counts.new_calls / calls;
        let bad = counts.new_bad + counts.old_bad;
        let gain = counts.new_bad * ratio.ln() - bad * (1.0 + share * (ratio - 1.0)).ln();
        self.factor * (gain - counts.new_calls * tolerance * (ratio - 1.0))
    }
}

/// Joins slices of one route into strata with enough calls; gives each its last slice.
fn stratify(slices: &BTreeMap<u64, SideCounts>, end: u64) -> Vec<(u64, Stratum)> {
    let past_rate = past_rate(slices);
    let last = slices.range(..end).next_back().map(|(last, _)| *last);
    let mut strata = Vec::new();
    let mut joined = SideCounts::default();
    let mut first = None;
    for (number, counts) in slices.range(..end) {
        joined.add(counts);
        let start = *first.get_or_insert(*number);
        let calls = joined.new_calls + joined.old_calls;
        let is_closed = calls >= STRATUM_CALLS || number - start >= STRATUM_SLICES;
        if !is_closed && last != Some(*number) {
            continue;
        }
        let near = slices.range(start.saturating_sub(1)..=number + 1);
        let burst = near.map(|(_, near)| near.burst_rate()).fold(0.0, f64::max);
        joined.old_bad = joined.old_bad.max(joined.old_calls * burst);
        let stratum = with_control(joined, is_closed, past_rate);
        strata.push((*number, stratum));
        joined = SideCounts::default();
        first = None;
    }
    strata
}

/// Puts the old version's past in place of its present where it has next to no calls any more.
fn with_control(mut counts: SideCounts, is_closed: bool, past_rate: f64) -> Stratum {
    if !is_closed || counts.old_calls >= counts.new_calls * LEAST_CONTROL {
        return Stratum {
            counts,
            factor: 1.0,
        };
    }
    counts.old_calls += counts.new_calls;
    counts.old_bad += counts.new_calls * past_rate;
    Stratum {
        counts,
        factor: PAST_FACTOR,
    }
}

/// Returns the highest rate of bad calls that the old version showed, over all or in one slice.
fn past_rate(slices: &BTreeMap<u64, SideCounts>) -> f64 {
    let mut total = SideCounts::default();
    let mut highest = 0.0_f64;
    for counts in slices.values() {
        total.add(counts);
        if counts.old_calls >= STRATUM_CALLS {
            highest = highest.max(counts.burst_rate());
        }
    }
    if total.old_calls < STRATUM_CALLS {
        return UNKNOWN_RATE;
    }
    highest.max(total.old_bad / total.old_calls)
}

/// Slices in which endpoints restart, during which their counts say nothing of their version.
#[derive(Clone, Debug, Default)]
pub struct QuietSlices {
    quiet: BTreeMap<MemberId, BTreeSet<u64>>,
}

impl QuietSlices {
    /// Adds the slices around each crash, `after` of them behind it.
    pub fn add_crashes(&mut self, view: &PoolView, after: Duration) {
        for slice in &view.slices {
            for member in &slice.crashed {
                self.add(member, slice.number.saturating_sub(1), after + SLICE_LENGTH);
            }
        }
    }

    /// Adds the first slices in which each endpoint of the new version has calls.
    pub fn add_starts(&mut self, view: &PoolView, after: Duration) {
        let mut started: BTreeSet<MemberId> = BTreeSet::new();
        for slice in &view.slices {
            for key in slice.counts.keys() {
                if key.side == VersionSide::New && !started.contains(&key.member) {
                    started.insert(key.member.clone());
                    self.add(&key.member, slice.number, after);
                }
            }
        }
    }

    /// Returns whether the counts of an endpoint in a slice say nothing.
    #[must_use]
    pub fn contains(&self, member: &MemberId, slice: u64) -> bool {
        self.quiet
            .get(member)
            .is_some_and(|slices| slices.contains(&slice))
    }

    fn add(&mut self, member: &MemberId, first: u64, length: Duration) {
        let slices = self.quiet.entry(member.clone()).or_default();
        slices.extend(first..=first + slice_number(length));
    }
}
