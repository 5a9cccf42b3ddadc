//! Choice of an endpoint: two random choices on load, the own zone first.

use std::collections::HashMap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::ids::MemberId;
use crate::ids::RegionName;
use crate::ids::ZoneName;
use crate::load_report::LoadReport;

/// Failures in a row after which an endpoint is ejected.
pub const MAX_FAILURES: u32 = 5;

/// Connect errors in a row after which an endpoint is ejected.
pub const MAX_CONNECT_ERRORS: u32 = 2;

/// Time of the first ejection; each further one in a row doubles it.
pub const EJECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest ejection.
pub const MAX_EJECT_TIMEOUT: Duration = Duration::from_secs(80);

/// Time over which an endpoint newly seen grows to its full share.
pub const SLOW_START: Duration = Duration::from_secs(5);

/// Age after which a load report no longer counts.
pub const LOAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Time without a mention after which an endpoint is forgotten.
const FORGET_TIMEOUT: Duration = Duration::from_secs(600);

/// Endpoints remembered before the forgotten ones are removed.
const MAX_ENDPOINTS: usize = 256;

/// Smallest weight of an endpoint newly seen.
const MIN_WEIGHT: f64 = 0.1;

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
}

/// How a call to an endpoint ended, as the choice of the next one sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// The endpoint answered in order.
    Success,
    /// It failed, broke off or timed out.
    Failure,
    /// No connection came about.
    ConnectError,
    /// It refused, or the caller gave up: neither good nor bad.
    Neutral,
}

#[derive(Debug)]
struct EndpointState {
    seen: Duration,
    weight_from: Option<Duration>,
    load: LoadReport,
    load_at: Option<Duration>,
    started: u32,
    started_at_load: u32,
    failures: u32,
    connect_errors: u32,
    ejections: u32,
    ejected_until: Duration,
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
    /// full, the least loaded of the own region is taken. Ejected endpoints are a last resort.
    pub fn choose(
        &mut self,
        candidates: &[Candidate<'_>],
        exclude: &[MemberId],
        now: Duration,
    ) -> Option<usize> {
        self.note_seen(candidates, now);
        let ejected = self.ejected(candidates, now);
        let mut usable = Vec::new();
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
        let pool = self.nearest_free(candidates, &usable, now);
        self.pick(candidates, &pool, now)
    }

    /// Takes an endpoint's load as its answer reported it.
    pub fn on_answer(&mut self, id: &MemberId, load: LoadReport, now: Duration) {
        let Some(state) = self.states.get_mut(id) else {
            return;
        };
        state.load = load;
        state.load_at = Some(now);
        state.started_at_load = state.started;
    }

    /// Counts a call sent to an endpoint.
    pub fn on_start(&mut self, id: &MemberId, now: Duration) {
        let state = self.state(id, now);
        state.started += 1;
    }

    /// Counts the end of a call, and ejects an endpoint that keeps failing.
    pub fn on_end(&mut self, id: &MemberId, end: CallEnd, now: Duration) {
        let state = self.state(id, now);
        state.started = state.started.saturating_sub(1);
        state.started_at_load = state.started_at_load.min(state.started);
        match end {
            CallEnd::Neutral => return,
            CallEnd::Success => {
                state.failures = 0;
                state.connect_errors = 0;
                if now >= state.ejected_until + MAX_EJECT_TIMEOUT {
                    state.ejections = 0;
                }
                return;
            }
            CallEnd::Failure => state.failures += 1,
            CallEnd::ConnectError => state.connect_errors += 1,
        }
        if state.failures >= MAX_FAILURES || state.connect_errors >= MAX_CONNECT_ERRORS {
            state.eject(now);
        }
    }

    /// Returns the indexes of the candidates that are ejected: never more than a third.
    #[must_use]
    pub fn ejected(&self, candidates: &[Candidate<'_>], now: Duration) -> Vec<usize> {
        let mut ejected = Vec::new();
        for (index, candidate) in candidates.iter().enumerate() {
            let Some(state) = self.states.get(candidate.id) else {
                continue;
            };
            if now < state.ejected_until {
                ejected.push((std::cmp::Reverse(state.ejected_until), index));
            }
        }
        ejected.sort_unstable();
        ejected.truncate(candidates.len() / EJECT_DIVISOR);
        ejected.into_iter().map(|(_, index)| index).collect()
    }

    fn note_seen(&mut self, candidates: &[Candidate<'_>], now: Duration) {
        // The endpoints known when the first call comes are not new, only unknown.
        let is_first = self.states.is_empty();
        for candidate in candidates {
            let is_new = !self.states.contains_key(candidate.id);
            let state = self.state(candidate.id, now);
            if is_new && !is_first {
                state.weight_from = Some(now);
            }
        }
        if self.states.len() > MAX_ENDPOINTS {
            self.states
                .retain(|_, state| state.started > 0 || now < state.seen + FORGET_TIMEOUT);
        }
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
        usable: &[usize],
        now: Duration,
    ) -> Vec<usize> {
        let mut tiers: [Vec<usize>; 3] = Default::default();
        let mut full: [Vec<usize>; 2] = Default::default();
        for index in usable {
            let candidate = &candidates[*index];
            let is_near = *candidate.region == self.region;
            if self.load_of(candidate, now) >= u32::from(candidate.slots) {
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
        pool: &[usize],
        now: Duration,
    ) -> Option<usize> {
        let first = *pool.get(self.rng.random_range(0..pool.len().max(1)))?;
        if pool.len() == 1 {
            return Some(first);
        }
        let mut second = first;
        while second == first {
            second = pool[self.rng.random_range(0..pool.len())];
        }
        let first_cost = self.cost(&candidates[first], now);
        let second_cost = self.cost(&candidates[second], now);
        Some(if second_cost < first_cost {
            second
        } else {
            first
        })
    }

    fn load_of(&self, candidate: &Candidate<'_>, now: Duration) -> u32 {
        self.states
            .get(candidate.id)
            .map_or(0, |state| state.load(now))
    }

    fn cost(&self, candidate: &Candidate<'_>, now: Duration) -> f64 {
        let weight = self
            .states
            .get(candidate.id)
            .map_or(1.0, |state| state.weight(now));
        let load = f64::from(self.load_of(candidate, now) + 1);
        load / (f64::from(candidate.slots.max(1)) * weight)
    }
}

impl EndpointState {
    fn new() -> EndpointState {
        EndpointState {
            seen: Duration::ZERO,
            weight_from: None,
            load: LoadReport::default(),
            load_at: None,
            started: 0,
            started_at_load: 0,
            failures: 0,
            connect_errors: 0,
            ejections: 0,
            ejected_until: Duration::ZERO,
        }
    }

    /// Reported load plus the calls sent since the report.
    fn load(&self, now: Duration) -> u32 {
        let Some(load_at) = self.load_at.filter(|at| now < *at + LOAD_TIMEOUT) else {
            return self.started;
        };
        debug_assert!(load_at <= now);
        let since = self.started.saturating_sub(self.started_at_load);
        (self.load.total() + since).max(self.started)
    }

    fn weight(&self, now: Duration) -> f64 {
        let Some(from) = self.weight_from else {
            return 1.0;
        };
        let age = now.saturating_sub(from).as_secs_f64();
        (age / SLOW_START.as_secs_f64()).clamp(MIN_WEIGHT, 1.0)
    }

    fn eject(&mut self, now: Duration) {
        if now < self.ejected_until {
            return;
        }
        let factor = 1_u32 << self.ejections.min(8);
        let timeout = EJECT_TIMEOUT.saturating_mul(factor).min(MAX_EJECT_TIMEOUT);
        self.ejected_until = now + timeout;
        self.weight_from = Some(self.ejected_until);
        self.ejections += 1;
        self.failures = 0;
        self.connect_errors = 0;
    }
}
