//! Choice of an endpoint: two random choices on load, the own zone first.

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

/// Time without a mention after which an endpoint is forgotten.
const FORGET_TIMEOUT: Duration = Duration::from_secs(600);

/// Endpoints remembered before the forgotten ones are removed.
const MAX_ENDPOINTS: usize = 256;

/// Cost of an idle endpoint, where a full one costs 1 more: one that is twice as fast is as good half
/// full as the other idle.
const IDLE_COST: f64 = 0.5;

/// Share of the candidates that may be ejected, as a divisor.
const EJECT_DIVISOR: usize = 3;

/// An endpoint that could take a call.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Daemon beside the endpoint.
    pub id: &'a MemberId,
    /// Its availability zone.
    pub zone: &'a ZoneName,
    /// Its region.
    pub region: &'a RegionName,
    /// Requests it runs at once.
    pub slots: u16,
    /// Whether the view holds the daemon reachable.
    pub reachable: bool,
    /// Expected time of a run there, relative to that at the other endpoints.
    pub run_time_ratio: f64,
    /// Whether a run there is expected to take longer than it is worth.
    pub is_late: bool,
}

/// Chooses endpoints for the calls of one daemon.
#[derive(Debug)]
pub struct EndpointChooser {
    zone: ZoneName,
    region: RegionName,
    rng: ChaCha8Rng,
    states: HashMap<MemberId, EndpointState>,
}

impl EndpointChooser {
    /// Makes the chooser of a daemon in `zone` of `region`.
    #[must_use]
    pub fn new(zone: ZoneName, region: RegionName, seed: u64) -> EndpointChooser {
        EndpointChooser {
            zone,
            region,
            rng: ChaCha8Rng::seed_from_u64(seed),
            states: HashMap::new(),
        }
    }

    /// Chooses among the candidates of a service and returns the index; `None` when none is
    /// reachable outside `exclude`.
    ///
    /// The nearest endpoints with a free slot come first: zone, region, other region. When all are
    /// full, a less loaded one of the own region is taken. Ejected endpoints are a last resort.
    pub fn choose(
        &mut self,
        candidates: &[Candidate<'_>],
        exclude: &[MemberId],
        now: Duration,
    ) -> Option<usize> {
        let statuses = self.note_seen(candidates, now);
        let ejected = most_ejected(&statuses, now);
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
        let pool = self.nearest_free(candidates, &statuses, &usable, now);
        self.pick(candidates, &statuses, &pool)
    }

    /// Takes an endpoint's load as its answer reported it.
    pub fn on_answer(&mut self, id: &MemberId, load: LoadReport, now: Duration) {
        if let Some(state) = self.states.get_mut(id) {
            state.on_load(load, now);
        }
    }

    /// Counts a call sent to an endpoint.
    pub fn on_start(&mut self, id: &MemberId, now: Duration) {
        self.state(id, now).started += 1;
    }

    /// Counts a failure of an endpoint beside the end of the call, and ejects one that keeps failing.
    pub fn on_abandoned_attempt(&mut self, id: &MemberId, now: Duration) {
        self.state(id, now).on_failure(now);
    }

    /// Counts the end of a call, and ejects an endpoint that keeps failing.
    pub fn on_end(&mut self, id: &MemberId, end: CallEnd, now: Duration) {
        self.state(id, now).on_end(end, now);
    }

    /// Returns the requests at an endpoint as far as this daemon knows: those told with its last
    /// answer and those sent since.
    #[must_use]
    pub fn load(&self, id: &MemberId, now: Duration) -> u32 {
        self.states.get(id).map_or(0, |state| state.load(now))
    }

    /// Returns the indexes of the candidates that are ejected: never more than a third.
    #[must_use]
    pub fn ejected(&self, candidates: &[Candidate<'_>], now: Duration) -> Vec<usize> {
        let mut statuses = Vec::with_capacity(candidates.len());
        for candidate in candidates {
            let state = self.states.get(candidate.id);
            statuses.push(state.map_or_else(EndpointStatus::default, |state| {
                state.status(candidate.slots, now)
            }));
        }
        most_ejected(&statuses, now)
    }

    /// Notes that these candidates were offered, and returns how each stands.
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
        // When none of a service's endpoints is known, they are not new, only unknown to this daemon.
        let is_first = unknown.len() == candidates.len();
        for index in unknown {
            let candidate = &candidates[index];
            let state = self.state(candidate.id, now);
            if !is_first {
                state.weight_from = Some(now);
            }
            statuses[index] = state.status(candidate.slots, now);
        }
        if self.states.len() > MAX_ENDPOINTS {
            self.states
                .retain(|_, state| state.started > 0 || now < state.seen + FORGET_TIMEOUT);
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

    fn nearest_free(
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

    /// An endpoint newly seen is passed over but for a growing share of its turns, so that it gets
    /// some calls also while the others are idle.
    fn cost(&mut self, candidate: &Candidate<'_>, status: &EndpointStatus) -> f64 {
        if !self.rng.random_bool(status.weight) {
            return f64::INFINITY;
        }
        let load = status.load + status.penalty + 1;
        candidate.run_time_ratio * (IDLE_COST + f64::from(load) / f64::from(candidate.slots.max(1)))
    }
}

/// Returns the indexes of those ejected for longest, a third of all at most.
fn most_ejected(statuses: &[EndpointStatus], now: Duration) -> Vec<usize> {
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
