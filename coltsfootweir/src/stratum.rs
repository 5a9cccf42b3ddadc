//! Strata: calls of one route at about the same time, and their weight against the new version.

use std::ops::Range;

/// Odds ratios tested against a ratio of one.
const ODDS_RATIOS: [f64; RATIO_COUNT] = [2.5, 6.0, 16.0, 40.0];

/// Number of odds ratios.
const RATIO_COUNT: usize = 4;

/// Number of calls that closes a stratum.
const STRATUM_CALLS: f64 = 20.0;

/// Number of slices that closes a stratum with fewer calls.
const STRATUM_SLICES: u64 = 15;

/// Old calls per new call below which the old version's past rate is used as the control.
const MIN_CONTROL_RATIO: f64 = 0.05;

/// Factor on evidence that is based on the old version's past rate.
const PAST_FACTOR: f64 = 0.5;

/// Rate of bad calls assumed for an old version with too few calls.
const UNKNOWN_RATE: f64 = 0.02;

/// Calls and bad calls of both versions.
#[derive(Clone, Copy, Debug, Default)]
pub struct SideCounts {
    /// Calls of the new version.
    pub new_calls: f64,
    /// Bad calls of the new version.
    pub new_bad: f64,
    /// Calls of the old version.
    pub old_calls: f64,
    /// Bad calls of the old version.
    pub old_bad: f64,
}

impl SideCounts {
    fn add(&mut self, other: &SideCounts) {
        self.new_calls += other.new_calls;
        self.new_bad += other.new_bad;
        self.old_calls += other.old_calls;
        self.old_bad += other.old_bad;
    }

    /// Returns the old version's rate of bad calls, minus one standard deviation of their count.
    fn burst_rate(&self) -> f64 {
        if self.old_calls < 1.0 {
            return 0.0;
        }
        (self.old_bad - self.old_bad.sqrt()) / self.old_calls
    }
}

/// Calls of one route in one slice.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouteSlice {
    /// Number of the slice.
    pub number: u64,
    /// Calls of all endpoints.
    pub counts: SideCounts,
    /// Number of cells that were summed: one for each endpoint and version.
    pub cells: u32,
}

/// Contribution of a stratum to the weight against the new version.
#[derive(Clone, Copy, Debug)]
pub struct StratumGain {
    /// Last slice of the stratum.
    slice: u64,
    /// Natural logarithm of the likelihood ratio for each odds ratio.
    gains: [f64; RATIO_COUNT],
}

/// Returns the gains of one route's strata up to the slice before `end`, in chronological order.
///
/// `tolerance` is the accepted increase of the share of bad calls.
#[must_use]
pub fn route_gains(slices: &[RouteSlice], end: u64, tolerance: f64) -> Vec<StratumGain> {
    let bursts: Vec<f64> = slices
        .iter()
        .map(|slice| slice.counts.burst_rate())
        .collect();
    let past_rate = past_rate(slices, &bursts);
    let ended = slices.partition_point(|slice| slice.number < end);
    let mut gains = Vec::new();
    let mut joined = SideCounts::default();
    let mut first = 0;
    for (position, slice) in slices[..ended].iter().enumerate() {
        joined.add(&slice.counts);
        let calls = joined.new_calls + joined.old_calls;
        let is_long = slice.number - slices[first].number >= STRATUM_SLICES;
        let is_closed = calls >= STRATUM_CALLS || is_long;
        if !is_closed && position + 1 < ended {
            continue;
        }
        let adjacent = &bursts[adjacent_slices(slices, first, position)];
        let burst = adjacent.iter().copied().fold(0.0, f64::max);
        joined.old_bad = joined.old_bad.max(joined.old_calls * burst);
        let stratum = with_control(joined, is_closed, past_rate);
        gains.push(StratumGain {
            slice: slice.number,
            gains: ODDS_RATIOS.map(|ratio| stratum.gain(ratio, tolerance)),
        });
        joined = SideCounts::default();
        first = position + 1;
    }
    gains
}

/// Returns the positions from `first` to `last`, extended by directly adjacent slices.
fn adjacent_slices(slices: &[RouteSlice], first: usize, last: usize) -> Range<usize> {
    let (mut start, mut end) = (first, last + 1);
    if start > 0 && slices[start - 1].number + 1 == slices[first].number {
        start -= 1;
    }
    if end < slices.len() && slices[end].number == slices[last].number + 1 {
        end += 1;
    }
    start..end
}

/// Returns the highest CUSUM of chronological gains over the odds ratios; never negative.
#[must_use]
pub fn total_weight(gains: &[StratumGain]) -> f64 {
    let mut sums = [0.0_f64; RATIO_COUNT];
    for stratum in gains {
        for (sum, gain) in sums.iter_mut().zip(stratum.gains) {
            *sum = (*sum + gain).max(0.0);
        }
    }
    sums.into_iter().fold(0.0, f64::max)
}

/// Merges the gains of several routes in chronological order.
#[must_use]
pub fn join_routes<'a>(routes: impl Iterator<Item = &'a [StratumGain]>) -> Vec<StratumGain> {
    let mut joined: Vec<StratumGain> = Vec::new();
    for gains in routes {
        joined.extend_from_slice(gains);
    }
    joined.sort_by_key(|stratum| stratum.slice);
    joined
}

/// Calls of one route at about the same time.
#[derive(Clone, Copy, Debug)]
struct Stratum {
    counts: SideCounts,
    factor: f64,
}

impl Stratum {
    fn gain(&self, ratio: f64, tolerance: f64) -> f64 {
        let counts = &self.counts;
        let calls = counts.new_calls + counts.old_calls;
        if calls <= 0.0 {
            return 0.0;
        }
        let share = counts.new_calls / calls;
        let bad = counts.new_bad + counts.old_bad;
        let mut gain = 0.0;
        if bad > 0.0 {
            gain = counts.new_bad * ratio.ln() - bad * (1.0 + share * (ratio - 1.0)).ln();
        }
        self.factor * (gain - counts.new_calls * tolerance * (ratio - 1.0))
    }
}

/// Uses the old version's past rate as the control if it has almost no calls left in the stratum.
fn with_control(mut counts: SideCounts, is_closed: bool, past_rate: f64) -> Stratum {
    if !is_closed || counts.old_calls >= counts.new_calls * MIN_CONTROL_RATIO {
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

/// Returns the old version's highest rate of bad calls, over all slices or in a single one.
fn past_rate(slices: &[RouteSlice], bursts: &[f64]) -> f64 {
    let mut total = SideCounts::default();
    let mut highest = 0.0_f64;
    for (slice, burst) in slices.iter().zip(bursts) {
        total.add(&slice.counts);
        if slice.counts.old_calls >= STRATUM_CALLS {
            highest = highest.max(*burst);
        }
    }
    if total.old_calls < STRATUM_CALLS {
        return UNKNOWN_RATE;
    }
    highest.max(total.old_bad / total.old_calls)
}
