//! Sequential comparison of the rates of bad calls of the new and the old version.
//!
//! Counts are compared within strata: calls of one route at about the same time. Given the total
//! number of bad calls in a stratum, the number on the new version is hypergeometric if both versions
//! are equal. The log-likelihood ratio for an odds ratio above one, with its normaliser bounded by the
//! binomial one, is summed over the strata with a floor of zero (CUSUM), so that a late fault is not
//! diluted by earlier good calls. A cause common to both versions cancels out in each stratum.
//!
//! The calls are summed once. The evidence without one endpoint is that sum minus the endpoint's
//! calls, so the cost grows linearly with the number of endpoints.

use std::time::Duration;

use crate::evidence::RouteCounts;
use crate::evidence_pool::PoolView;
use crate::evidence_pool::slice_number;
use crate::evidence_slice::SliceCell;
use crate::evidence_slice::SliceCounts;
use crate::evidence_slice::VersionSide;
use crate::excluded_slices::ExcludedSlices;
use crate::ids::MemberIndex;
use crate::ids::RouteName;
use crate::stratum::RouteSlice;
use crate::stratum::StratumGain;
use crate::stratum::join_routes;
use crate::stratum::route_gains;
use crate::stratum::total_weight;

/// Weight of all endpoints together that condemns a version, as a natural log-likelihood ratio.
const CONDEMN_WEIGHT: f64 = 9.0;

/// Weight that must remain when any one endpoint is left out.
const LEAVE_ONE_OUT_WEIGHT: f64 = 6.5;

/// Strength up to which a result is not reported.
const MIN_STRENGTH: f64 = 0.5;

/// Delay after which a slice contains the reports of all responding endpoints.
const REPORT_DELAY: Duration = Duration::from_millis(1200);

/// Calls of the new version from which the comparison does not wait for more endpoints with calls.
const MAX_WAIT_CALLS: u64 = 30;

/// Criterion for bad calls of a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BadCalls {
    /// Failed calls.
    Failed,
    /// Successful calls in this latency bucket or a higher one.
    Slower(usize),
}

impl BadCalls {
    /// Returns the number of comparable calls and of bad calls among them.
    #[must_use]
    pub fn split(self, counts: &RouteCounts) -> (u64, u64) {
        match self {
            BadCalls::Failed => (counts.calls, counts.failures),
            BadCalls::Slower(first) => {
                let calls = counts.latency.iter().sum();
                (calls, counts.latency[first..].iter().sum())
            }
        }
    }

    fn split_slice(self, counts: &SliceCounts) -> (f64, f64) {
        match self {
            BadCalls::Failed => (f64::from(counts.calls), f64::from(counts.failures)),
            BadCalls::Slower(first) => {
                let bad = counts.at_least.get(first).copied().unwrap_or(0);
                (f64::from(counts.at_least[0]), f64::from(bad))
            }
        }
    }
}

/// Criteria of a comparison.
#[derive(Clone, Debug)]
pub struct BadMeasure {
    /// Criterion of each route of the view; `None` for a route that cannot be compared.
    pub by_route: Vec<Option<BadCalls>>,
    /// Accepted increase of the share of bad calls.
    pub tolerance: f64,
    /// Slices that are left out.
    pub excluded: ExcludedSlices,
}

/// Result of a comparison.
#[derive(Clone, Debug)]
pub struct ComparisonResult {
    /// The route; `None` for all routes together.
    pub route: Option<RouteName>,
    /// Strength of the evidence; 1 condemns the version.
    pub strength: f64,
}

/// Compares the versions on each route and on all routes together; returns the strongest result.
#[must_use]
pub fn compare(view: &PoolView, measure: &BadMeasure) -> Option<ComparisonResult> {
    let sums = CallSums::collect(view, measure);
    // Later slices may lack reports; they are used only to detect bursts across a slice boundary.
    let end = slice_number(view.now.saturating_sub(REPORT_DELAY));
    let all = sums.gains(end, measure.tolerance);
    let order = route_order(view);
    let mut scopes: Vec<Option<usize>> = order.iter().copied().map(Some).collect();
    scopes.push(None);
    let left_out = left_out_members(view, &sums);
    let mut left_out_gains: Vec<Option<RouteGains>> = vec![None; left_out.len()];
    let mut strongest: Option<(Option<usize>, f64)> = None;
    for scope in scopes {
        let mut strength = weight(&all, scope, &order) / CONDEMN_WEIGHT;
        let floor = strongest.map_or(MIN_STRENGTH, |(_, strength)| strength);
        for (member, gains) in left_out.iter().zip(&mut left_out_gains) {
            if strength <= floor {
                break;
            }
            let gains =
                gains.get_or_insert_with(|| sums.without(*member).gains(end, measure.tolerance));
            strength = strength.min(weight(gains, scope, &order) / LEAVE_ONE_OUT_WEIGHT);
        }
        if strength > floor {
            strongest = Some((scope, strength));
        }
    }
    strongest.map(|(scope, strength)| ComparisonResult {
        route: scope.map(|route| view.route_names[route].clone()),
        strength,
    })
}

/// Returns the route indices sorted by name, so that sums do not depend on the order of arrival.
fn route_order(view: &PoolView) -> Vec<usize> {
    let mut order: Vec<usize> = (0..view.route_names.len()).collect();
    order.sort_by_key(|route| &view.route_names[*route]);
    order
}

/// Returns the endpoints that are left out one at a time; the evidence must hold without each.
///
/// A single bad endpoint does not condemn the version while another endpoint can take its calls. A
/// silent endpoint, for example one in a region that is cut off, cannot take calls; its calls alone
/// still do not condemn the version.
fn left_out_members(view: &PoolView, sums: &CallSums) -> Vec<usize> {
    let is_silent = |member: &usize| view.is_silent(*member as MemberIndex);
    let mut called: Vec<usize> = (0..view.member_count)
        .filter(|member| sums.called[*member])
        .collect();
    let reporting = called.iter().filter(|member| !is_silent(member)).count();
    let live = view.new_members().count();
    if reporting >= 2 || (live >= 2 && view.new.calls() < MAX_WAIT_CALLS) {
        return called;
    }
    if called.len() < 2 {
        return Vec::new();
    }
    called.retain(is_silent);
    called
}

/// Gains of the strata, by route index.
type RouteGains = Vec<Vec<StratumGain>>;

/// Returns the weight of the evidence on one route or on all routes; never negative.
fn weight(gains: &RouteGains, scope: Option<usize>, order: &[usize]) -> f64 {
    if let Some(route) = scope {
        return total_weight(&gains[route]);
    }
    let routes = order.iter().map(|route| gains[*route].as_slice());
    total_weight(&join_routes(routes))
}

/// Calls of one endpoint of the new version on one route in one slice.
#[derive(Clone, Copy, Debug)]
struct CallPart {
    route: usize,
    position: usize,
    calls: f64,
    bad: f64,
}

/// Calls of all endpoints by route and slice, and the parts of each endpoint of the new version.
#[derive(Clone, Debug)]
struct CallSums {
    routes: Vec<Vec<RouteSlice>>,
    parts: Vec<Vec<CallPart>>,
    called: Vec<bool>,
}

impl CallSums {
    fn collect(view: &PoolView, measure: &BadMeasure) -> CallSums {
        let mut sums = CallSums {
            routes: vec![Vec::with_capacity(view.slices.len()); view.route_names.len()],
            parts: vec![Vec::new(); view.member_count],
            called: vec![false; view.member_count],
        };
        for slice in &view.slices {
            for cell in &slice.cells {
                let member = cell.key.member;
                if cell.key.side == VersionSide::New {
                    sums.called[member as usize] = true;
                }
                let Some(bad) = measure.by_route[cell.key.route as usize] else {
                    continue;
                };
                if !measure.excluded.contains(member, slice.number) {
                    sums.add(slice.number, cell, bad);
                }
            }
        }
        sums
    }

    fn add(&mut self, number: u64, cell: &SliceCell, bad: BadCalls) {
        let route = cell.key.route as usize;
        let (calls, bad) = bad.split_slice(&cell.counts);
        let slices = &mut self.routes[route];
        if slices.last().is_none_or(|last| last.number != number) {
            slices.push(RouteSlice {
                number,
                ..RouteSlice::default()
            });
        }
        let position = slices.len() - 1;
        let slice = &mut slices[position];
        slice.cells += 1;
        if cell.key.side == VersionSide::Old {
            slice.counts.old_calls += calls;
            slice.counts.old_bad += bad;
            return;
        }
        slice.counts.new_calls += calls;
        slice.counts.new_bad += bad;
        self.parts[cell.key.member as usize].push(CallPart {
            route,
            position,
            calls,
            bad,
        });
    }

    /// Returns the sums minus the calls of one endpoint of the new version.
    fn without(&self, member: usize) -> CallSums {
        let mut routes = self.routes.clone();
        for part in &self.parts[member] {
            let slice = &mut routes[part.route][part.position];
            slice.counts.new_calls -= part.calls;
            slice.counts.new_bad -= part.bad;
            slice.cells -= 1;
        }
        for slices in &mut routes {
            slices.retain(|slice| slice.cells > 0);
        }
        CallSums {
            routes,
            parts: Vec::new(),
            called: Vec::new(),
        }
    }

    fn gains(&self, end: u64, tolerance: f64) -> RouteGains {
        self.routes
            .iter()
            .map(|slices| route_gains(slices, end, tolerance))
            .collect()
    }
}
