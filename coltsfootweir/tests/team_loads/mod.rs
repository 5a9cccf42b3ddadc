//! Simulated loads of several teams at one guard, as an ingress would send them.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use coltsfootweir::guard::AdmitDecision;
use coltsfootweir::guard::GuardEvent;
use coltsfootweir::guard::GuardState;
use coltsfootweir::guard::RankedRequest;
use coltsfootweir::sidecar::fair_queue::TeamHash;
use coltsfootweir::sidecar::run_times::RunTimes;
use coltsfootweir::sidecar::wait_factors::WaitFactors;

/// Slots of the endpoint.
pub const SLOTS: u16 = 9;

/// Waiting requests per slot, as in the slot queue.
pub const QUEUE_LIMIT: usize = 16 * SLOTS as usize;

/// Requests of one team.
#[derive(Clone, Copy, Debug)]
pub struct TeamLoad {
    pub team: Option<TeamHash>,
    pub rank: u8,
    pub per_s: f64,
    /// Requests that arrive together; `per_s` counts these groups.
    pub burst: u32,
    /// Mean run time; runs take between half and one and a half of it.
    pub run: Duration,
    pub time_limit: Duration,
    pub from: Duration,
    pub until: Duration,
}

/// What became of the requests of one load.
#[derive(Clone, Debug, Default)]
pub struct TeamOutcome {
    pub arrivals: u32,
    pub done: u32,
    /// Refused on arrival.
    pub refused: u32,
    /// Refused or expired after a wait.
    pub dropped: u32,
    /// Ended after its time limit.
    pub late: u32,
    pub slot_time: Duration,
    pub longest_wait: Duration,
    /// Waits stated with refusals on arrival.
    pub stated: Vec<Duration>,
    /// Expected and actual waits of the requests that waited and started.
    pub waits: Vec<(Duration, Duration)>,
}

impl TeamOutcome {
    /// Returns the share of the arrivals that were done in time.
    pub fn in_time(&self) -> f64 {
        f64::from(self.done - self.late) / f64::from(self.arrivals.max(1))
    }
}

struct SimulatedRequest {
    load: usize,
    at: Duration,
    run: Duration,
    expected: Duration,
}

/// A guard and the requests at it.
pub struct TeamSimulation {
    guard: GuardState,
    loads: Vec<TeamLoad>,
    outcomes: Vec<TeamOutcome>,
    ends: BTreeMap<(Duration, u64), ()>,
    requests: BTreeMap<u64, SimulatedRequest>,
    run_times: RunTimes,
    factors: WaitFactors,
    rng: ChaCha8Rng,
    /// Load whose runs take several times as long as its route suggests, and how many.
    pub slow: Option<(usize, u32)>,
}

impl TeamSimulation {
    pub fn new(loads: Vec<TeamLoad>, seed: u64) -> TeamSimulation {
        TeamSimulation {
            guard: GuardState::new(SLOTS, QUEUE_LIMIT),
            outcomes: vec![TeamOutcome::default(); loads.len()],
            loads,
            ends: BTreeMap::new(),
            requests: BTreeMap::new(),
            run_times: RunTimes::default(),
            factors: WaitFactors::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            slow: None,
        }
    }

    /// Plays all loads to their ends and returns what became of each.
    pub fn play(mut self) -> Vec<TeamOutcome> {
        let mut arrivals = Vec::new();
        for (index, load) in self.loads.iter().enumerate() {
            let mut at = load.from;
            loop {
                let chance: f64 = self.rng.random_range(1e-9..1.0);
                at += Duration::from_secs_f64(-chance.ln() / load.per_s);
                if at >= load.until {
                    break;
                }
                for _ in 0..load.burst {
                    arrivals.push((at, index));
                }
            }
        }
        arrivals.sort_unstable();
        for (id, (at, index)) in arrivals.into_iter().enumerate() {
            self.finish_until(at);
            self.arrive(id as u64, index, at);
        }
        self.finish_until(Duration::from_secs(3_600));
        assert!(self.guard.is_idle());
        self.outcomes
    }

    /// The run times are those of a route, which the load of one rank and run time stands for.
    fn route_hash(&self, index: usize) -> u32 {
        let load = &self.loads[index];
        load.run.as_millis() as u32 * 8 + u32::from(load.rank)
    }

    fn factor_key(&self, index: usize) -> u32 {
        let team = self.loads[index].team.map_or(0, |team| team as u32 + 1);
        self.route_hash(index) ^ (team << 16)
    }

    fn arrive(&mut self, id: u64, index: usize, now: Duration) {
        let load = self.loads[index];
        let mut run = load.run.mul_f64(self.rng.random_range(0.5..1.5));
        if let Some((slow, factor)) = self.slow
            && slow == index
        {
            run *= factor;
        }
        self.outcomes[index].arrivals += 1;
        let request = RankedRequest {
            rank: load.rank,
            team: load.team,
            finish_by: now + load.time_limit,
            run: self.run_times.expected(self.route_hash(index)),
            wait_factor: self.factors.factor(self.factor_key(index)),
        };
        let expected = self.guard.expected_wait(&request);
        let simulated = SimulatedRequest {
            load: index,
            at: now,
            run,
            expected,
        };
        self.requests.insert(id, simulated);
        let (decision, events) = self.guard.arrive_ranked(id, request, now);
        match decision {
            AdmitDecision::Run => {
                self.ends.insert((now + run, id), ());
            }
            AdmitDecision::Wait => {}
            AdmitDecision::Refuse(_) => {
                let stated = self.guard.wait_time(load.rank, load.team);
                self.outcomes[index].refused += 1;
                self.outcomes[index].stated.push(stated);
            }
        }
        self.apply(events, now);
    }

    fn apply(&mut self, events: Vec<GuardEvent>, now: Duration) {
        for event in events {
            let (id, is_started) = match event {
                GuardEvent::Start(id) => (id, true),
                GuardEvent::Expire(id) | GuardEvent::Refuse(id, _) => (id, false),
            };
            let request = &self.requests[&id];
            let (load, waited) = (request.load, now - request.at);
            let key = self.factor_key(load);
            self.factors.record(key, request.expected, waited);
            let outcome = &mut self.outcomes[load];
            if !is_started {
                outcome.dropped += 1;
                continue;
            }
            outcome.longest_wait = outcome.longest_wait.max(waited);
            outcome.waits.push((request.expected, waited));
            self.ends.insert((now + request.run, id), ());
        }
    }

    fn finish_until(&mut self, now: Duration) {
        while let Some(((at, id), ())) = self.ends.first_key_value().map(|(k, v)| (*k, *v)) {
            if at > now {
                return;
            }
            self.ends.remove(&(at, id));
            let request = &self.requests[&id];
            let (load, run, since) = (request.load, request.run, request.at);
            let outcome = &mut self.outcomes[load];
            outcome.done += 1;
            outcome.late += u32::from(at > since + self.loads[load].time_limit);
            outcome.slot_time += run;
            let route_hash = self.route_hash(load);
            self.run_times.record(route_hash, run);
            let events = self.guard.finish(id, at);
            self.apply(events, at);
        }
    }
}

/// Sums the outcomes of several loads.
pub fn total(outcomes: &[TeamOutcome]) -> TeamOutcome {
    let mut sum = TeamOutcome::default();
    for outcome in outcomes {
        sum.arrivals += outcome.arrivals;
        sum.done += outcome.done;
        sum.refused += outcome.refused;
        sum.dropped += outcome.dropped;
        sum.late += outcome.late;
        sum.slot_time += outcome.slot_time;
        sum.longest_wait = sum.longest_wait.max(outcome.longest_wait);
        sum.stated.extend(&outcome.stated);
        sum.waits.extend(&outcome.waits);
    }
    sum
}
