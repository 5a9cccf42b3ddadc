//! Load balancing over endpoints: takes the less loaded of two random ones, nearest first.

use std::collections::HashMap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::endpoint_state::CallEnd;
use crate::endpoint_state::EndpointState;
use crate::endpoint_state::EndpointStatus;
use crate::ids::MemberId;
use crate::ids::RegionName;
use crate::ids::ZoneName;
use crate::load_report::LoadReport;

/// Time after which the state of an endpoint that was not a candidate may be removed.
const STATE_TIMEOUT: Duration = Duration::from_secs(600);

/// Number of endpoint states above which those past [`STATE_TIMEOUT`] are removed.
const MAX_ENDPOINTS: usize = 256;

/// Cost of an idle endpoint; a full one costs 1 more. With this value, a half full endpoint costs as
/// much as an idle one that takes twice as long per run.
const IDLE_COST: f64 = 0.5;

/// At most one in this many candidates may be ejected.
const EJECT_DIVISOR: usize = 3;

/// An endpoint that could take a call.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Member id of the daemon beside the endpoint.
    pub id: &'a MemberId,
    /// Its availability zone.
    pub zone: &'a ZoneName,
    /// Its region.
    pub region: &'a RegionName,
    /// Requests it runs at once.
    pub slots: u16,
    /// Whether the daemon is reachable according to the membership view.
    pub reachable: bool,
    /// Expected run time there, as a ratio to that at the other endpoints.
    pub run_time_ratio: f64,
    /// Whether a run there is expected to end too late to be useful.
    pub is_late: bool,
}

/// Chooses endpoints for the calls that one daemon forwards.
#[derive(Clone, Debug)]
pub struct EndpointChooser {
    zone: ZoneName,
    region: RegionName,
    rng: ChaCha8Rng,
    states: HashMap<MemberId, EndpointState>,
}

impl EndpointChooser {
    /// Creates the chooser of a daemon in `zone` of `region`.
    #[must_use]
    pub fn new(zone: ZoneName, region: RegionName, seed: u64) -> EndpointChooser {
        EndpointChooser {
            zone,
            region,
            rng: ChaCha8Rng::seed_from_u64(seed),
            states: HashMap::new(),
        }
    }

    /// Chooses among the candidates of a service and returns the index, or `None` if every
    /// reachable candidate is in `exclude`.
    ///
    /// Endpoints with a free slot are preferred, first in the same zone, then in the same region,
    /// then in other regions. If all are full, one of the same region is taken by load. Ejected
    /// endpoints are used only if there is no other.
    pub fn choose(
        &mut self,
        candidates: &[Candidate<'_>],
        exclude: &[MemberId],
        now: Duration,
    ) -> Option<usize> {
        let statuses = self.note_seen(candidates, now);
        let ejected = capped_ejections(&statuses, now);
        let mut usable = Vec::with_capacity(candidates.len());
        let mut last_resort = Vec::new();
        for (index, candidate) in candidates.iter().enumerate() {
            if !candidate.reachable || exclude.contains(candidate.id) {
                continue;
            }
            if ejected.contains(&index) {
                last_resort.push(index);
                continue;
            }
            usable.push(index);
        }
        if usable.is_empty() {
            usable = last_resort;
        }
        let pool = self.nearest_pool(candidates, &statuses, &usable, now);
        self.pick(candidates, &statuses, &pool)
    }

    /// Records the load that an endpoint reported with an answer.
    pub fn on_answer(&mut self, id: &MemberId, load: LoadReport, now: Duration) {
        if let Some(state) = self.states.get_mut(id) {
            state.on_load(load, now);
        }
    }

    /// Counts a call sent to an endpoint.
    pub fn on_start(&mut self, id: &MemberId, now: Duration) {
        self.state(id, now).started += 1;
    }

    /// Counts a failure for an attempt that was abandoned because another endpoint answered first.
    /// The end of the attempt is counted separately, by [`EndpointChooser::on_end`].
    pub fn on_abandoned_attempt(&mut self, id: &MemberId, now: Duration) {
        self.state(id, now).on_failure(now);
    }

    /// Counts the end of a call, and ejects an endpoint that fails repeatedly.
    pub fn on_end(&mut self, id: &MemberId, end: CallEnd, now: Duration) {
        self.state(id, now).on_end(end, now);
    }

    /// Returns the estimated number of requests at an endpoint: those of its last load report and
    /// those sent since.
    #[must_use]
    pub fn load(&self, id: &MemberId, now: Duration) -> u32 {
        self.states.get(id).map_or(0, |state| state.load(now))
    }

    /// Returns whether an endpoint is ejected, apart from the cap on ejections.
    #[must_use]
    pub fn is_ejected(&self, id: &MemberId, now: Duration) -> bool {
        let state = self.states.get(id);
        state.is_some_and(|state| now < state.ejected_until)
    }

    /// Returns the indexes of the ejected candidates, at most a third of all.
    #[must_use]
    pub fn ejected(&self, candidates: &[Candidate<'_>], now: Duration) -> Vec<usize> {
        let mut statuses = Vec::with_capacity(candidates.len());
        for candidate in candidates {
            let state = self.states.get(candidate.id);
            statuses.push(state.map_or_else(EndpointStatus::default, |state| {
                state.status(candidate.slots, now)
            }));
        }
        capped_ejections(&statuses, now)
    }

    /// Marks the candidates as seen and returns the status of each.
    fn note_seen(&mut self, candidates: &[Candidate<'_>], now: Duration) -> Vec<EndpointStatus> {
        let mut statuses = Vec::with_capacity(candidates.len());
        let mut unknown = Vec::new();
        for (index, candidate) in candidates.iter().enumerate() {
            let Some(state) = self.states.get_mut(candidate.id) else {
                unknown.push(index);
                statuses.push(EndpointStatus::default());
                continue;
            };
            state.seen = now;
            statuses.push(state.status(candidate.slots, now));
        }
        // If all endpoints of the service are unknown, this daemon is new and they need no slow start.
        let is_all_unknown = unknown.len() == candidates.len();
        for index in unknown {
            let candidate = &candidates[index];
            let state = self.state(candidate.id, now);
            if !is_all_unknown {
                state.weight_from = Some(now);
            }
            statuses[index] = state.status(candidate.slots, now);
        }
        if self.states.len() > MAX_ENDPOINTS {
            self.states
                .retain(|_, state| state.started > 0 || now < state.seen + STATE_TIMEOUT);
        }
        statuses
    }

    fn state(&mut self, id: &MemberId, now: Duration) -> &mut EndpointState {
        let state = self
            .states
            .entry(id.clone())
            .or_insert_with(EndpointState::new);
        state.seen = now;
        state
    }

    fn nearest_pool(
        &self,
        candidates: &[Candidate<'_>],
        statuses: &[EndpointStatus],
        usable: &[usize],
        now: Duration,
    ) -> Vec<usize> {
        let mut tiers: [Vec<usize>; 3] = Default::default();
        let mut full: [Vec<usize>; 2] = Default::default();
        for index in usable {
            let candidate = &candidates[*index];
            let is_near = *candidate.region == self.region;
            if candidate.is_late || statuses[*index].is_full(candidate.slots, now) {
                full[usize::from(!is_near)].push(*index);
                continue;
            }
            let tier = match is_near {
                true if *candidate.zone == self.zone => 0,
                true => 1,
                false => 2,
            };
            tiers[tier].push(*index);
        }
        let pools = tiers.into_iter().chain(full);
        pools
            .into_iter()
            .find(|pool| !pool.is_empty())
            .unwrap_or_default()
    }

    fn pick(
        &mut self,
        candidates: &[Candidate<'_>],
        statuses: &[EndpointStatus],
        pool: &[usize],
    ) -> Option<usize> {
        let first = *pool.get(self.rng.random_range(0..pool.len().max(1)))?;
        if pool.len() == 1 {
            return Some(first);
        }
        let mut second = first;
        while second == first {
            second = pool[self.rng.random_range(0..pool.len())];
        }
        let first_cost = self.cost(&candidates[first], &statuses[first]);
        let second_cost = self.cost(&candidates[second], &statuses[second]);
        Some(if second_cost < first_cost {
            second
        } else {
            first
        })
    }

    /// Returns the cost of choosing an endpoint. During its slow start the cost is infinite, except
    /// with the probability of its weight, so that it gets some calls even while others are idle.
    fn cost(&mut self, candidate: &Candidate<'_>, status: &EndpointStatus) -> f64 {
        if !self.rng.random_bool(status.weight) {
            return f64::INFINITY;
        }
        let load = status.load + status.penalty + 1;
        candidate.run_time_ratio * (IDLE_COST + f64::from(load) / f64::from(candidate.slots.max(1)))
    }
}

/// Returns the indexes of the endpoints whose ejection ends last, at most a third of all.
fn capped_ejections(statuses: &[EndpointStatus], now: Duration) -> Vec<usize> {
    let mut ejected = Vec::new();
    for (index, status) in statuses.iter().enumerate() {
        if now < status.ejected_until {
            ejected.push((std::cmp::Reverse(status.ejected_until), index));
        }
    }
    ejected.sort_unstable();
    ejected.truncate(statuses.len() / EJECT_DIVISOR);
    ejected.into_iter().map(|(_, index)| index).collect()
}
