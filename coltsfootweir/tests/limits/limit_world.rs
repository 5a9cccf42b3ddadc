//! Daemons of one region, their store and a network that delays, loses and cuts.

use std::time::Duration;

use coltsfootweir::ids::MemberId;
use coltsfootweir::ids::RowVersion;
use coltsfootweir::sidecar::frame::TokenDemand;
use coltsfootweir::sidecar::frame::TokenGrant;
use coltsfootweir::sidecar::platform_adapter::StoreFault;
use coltsfootweir::sidecar::rate_limits::limit_bucket::LimitBuckets;
use coltsfootweir::sidecar::rate_limits::limit_bucket::SlotLimit;
use coltsfootweir::sidecar::rate_limits::limit_lease::LeaseCandidate;
use coltsfootweir::sidecar::rate_limits::limit_lease::LeaseRow;
use coltsfootweir::sidecar::rate_limits::limit_lease::LeaseStep;
use coltsfootweir::sidecar::rate_limits::limit_lease::LimitLease;
use coltsfootweir::sidecar::rate_limits::limit_share::LimitShare;
use coltsfootweir::sidecar::rate_limits::limit_share::ShareOutcome;
use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const DAEMONS: usize = 4;
const TICK_MS: u64 = 10;
const RUN_MS: u64 = 60_000;
const RATE: f64 = 60.0;
const WINDOW_MS: usize = 5_000;

/// Additional tokens of slots whose bucket is smaller than one token; none at this limit.
const TOLERANCE: f64 = 1e-6;

/// Disturbances, in ticks since the last one.
#[derive(Clone, Debug)]
pub enum WorldEvent {
    Calm,
    Kill(usize),
    Freeze(usize, u64),
    Leave(usize),
    Cut(usize, u64),
    CutStore(usize, u64),
    LoseAnswers(u64),
    DelayWrites(u64),
}

pub fn world_event() -> impl Strategy<Value = WorldEvent> {
    let daemon = 0..DAEMONS;
    let ticks = 1..1_000_u64;
    prop_oneof![
        daemon.clone().prop_map(WorldEvent::Kill),
        (daemon.clone(), ticks.clone()).prop_map(|(of, time)| WorldEvent::Freeze(of, time)),
        daemon.clone().prop_map(WorldEvent::Leave),
        (daemon.clone(), ticks.clone()).prop_map(|(of, time)| WorldEvent::Cut(of, time)),
        (daemon, ticks.clone()).prop_map(|(of, time)| WorldEvent::CutStore(of, time)),
        ticks.clone().prop_map(WorldEvent::LoseAnswers),
        ticks.prop_map(WorldEvent::DelayWrites),
    ]
}

enum Message {
    Wanted(usize, u32, usize, Vec<TokenDemand>),
    Granted(usize, u32, Vec<TokenGrant>),
}

struct ModelDaemon {
    lease: LimitLease,
    share: LimitShare,
    buckets: [LimitBuckets; 2],
    run: u64,
    is_leaving: bool,
    frozen_until: u64,
    cut_until: u64,
    store_cut_until: u64,
}

impl ModelDaemon {
    fn new(index: usize, run: u64, at: u64) -> ModelDaemon {
        let now = ms(at);
        ModelDaemon {
            lease: LimitLease::new(name(index), run, now),
            share: LimitShare::new(&name(index)),
            buckets: [LimitBuckets::new(now), LimitBuckets::new(now)],
            run,
            is_leaving: false,
            frozen_until: 0,
            cut_until: 0,
            store_cut_until: 0,
        }
    }
}

struct LateWrite {
    at: u64,
    slot: usize,
    version: RowVersion,
    row: LeaseRow,
}

pub struct LimitWorld {
    burst: f64,
    rng: ChaCha8Rng,
    at: u64,
    daemons: Vec<ModelDaemon>,
    rows: [(RowVersion, Option<LeaseRow>); 2],
    last_version: RowVersion,
    late: Vec<LateWrite>,
    messages: Vec<(u64, usize, Message)>,
    used: Vec<u32>,
    answers_lost_until: u64,
    writes_late_until: u64,
}

fn name(index: usize) -> MemberId {
    format!("vm-{index}").into()
}

fn ms(at: u64) -> Duration {
    Duration::from_millis(at)
}

impl LimitWorld {
    pub fn new(seed: u64, burst: f64) -> LimitWorld {
        let daemons = (0..DAEMONS).map(|index| ModelDaemon::new(index, 1, 0));
        LimitWorld {
            burst,
            daemons: daemons.collect(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            at: 0,
            rows: [(0, None), (0, None)],
            last_version: 0,
            late: Vec::new(),
            messages: Vec::new(),
            used: vec![0; RUN_MS as usize],
            answers_lost_until: 0,
            writes_late_until: 0,
        }
    }

    pub fn run(&mut self, events: &[WorldEvent]) {
        let gap = RUN_MS / (events.len() as u64 + 1);
        let mut next_event = 0;
        while self.at < RUN_MS {
            while next_event < events.len() && self.at >= gap * (next_event as u64 + 1) {
                self.disturb(&events[next_event]);
                next_event += 1;
            }
            self.apply_late_writes();
            self.deliver();
            for index in 0..DAEMONS {
                if self.at >= self.daemons[index].frozen_until {
                    self.step(index);
                }
            }
            self.at += TICK_MS;
        }
    }

    /// Largest number of requests in a window above the bound of all slots.
    pub fn excess(&self) -> f64 {
        let bound = RATE * (WINDOW_MS as f64 / 1_000.0 + 0.3) + self.burst;
        let mut sum: i64 = 0;
        let mut most = 0;
        for (at, count) in self.used.iter().enumerate() {
            sum += i64::from(*count);
            if at >= WINDOW_MS {
                sum -= i64::from(self.used[at - WINDOW_MS]);
            }
            most = most.max(sum);
        }
        most as f64 - bound - TOLERANCE
    }

    /// Share of the rate that was used in the last half of the run.
    pub fn share_used(&self) -> f64 {
        let half = &self.used[self.used.len() / 2..];
        let sum: u32 = half.iter().sum();
        f64::from(sum) / (RATE * half.len() as f64 / 1_000.0)
    }

    fn disturb(&mut self, event: &WorldEvent) {
        let at = self.at;
        match event {
            WorldEvent::Calm => {}
            WorldEvent::Kill(of) => {
                let run = self.daemons[*of].run + 1;
                self.daemons[*of] = ModelDaemon::new(*of, run, at);
            }
            WorldEvent::Freeze(of, ticks) => {
                self.daemons[*of].frozen_until = at + ticks * TICK_MS;
            }
            WorldEvent::Leave(of) => {
                let daemon = &mut self.daemons[*of];
                daemon.is_leaving = !daemon.is_leaving;
            }
            WorldEvent::Cut(of, ticks) => self.daemons[*of].cut_until = at + ticks * TICK_MS,
            WorldEvent::CutStore(of, ticks) => {
                self.daemons[*of].store_cut_until = at + ticks * TICK_MS;
            }
            WorldEvent::LoseAnswers(ticks) => self.answers_lost_until = at + ticks * TICK_MS,
            WorldEvent::DelayWrites(ticks) => self.writes_late_until = at + ticks * TICK_MS,
        }
    }

    fn apply_late_writes(&mut self) {
        let at = self.at;
        for write in std::mem::take(&mut self.late) {
            if write.at > at {
                self.late.push(write);
                continue;
            }
            // Its daemon was told that there is no answer.
            let _ = self.write(write.slot, write.version, write.row);
        }
    }

    fn write(
        &mut self,
        slot: usize,
        version: RowVersion,
        row: LeaseRow,
    ) -> Result<RowVersion, StoreFault> {
        if self.rows[slot].0 != version {
            return Err(StoreFault::Condition);
        }
        self.last_version += 1;
        self.rows[slot] = (self.last_version, Some(row));
        Ok(self.last_version)
    }

    fn deliver(&mut self) {
        for (at, to, message) in std::mem::take(&mut self.messages) {
            let daemon = &mut self.daemons[to];
            if at > self.at || self.at < daemon.frozen_until {
                self.messages.push((at, to, message));
                continue;
            }
            if self.at < daemon.cut_until {
                continue;
            }
            let now = ms(self.at);
            match message {
                Message::Granted(from, number, grants) => {
                    daemon.share.on_granted(&name(from), number, &grants, now);
                }
                Message::Wanted(from, number, slot, demands) => {
                    let grants = lend(daemon, slot, &demands, (self.burst, now));
                    self.send(to, from, Message::Granted(to, number, grants));
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if self.at < self.daemons[from].cut_until || self.rng.random_bool(0.02) {
            return;
        }
        let is_slow = self.rng.random_bool(0.05);
        let delay = match is_slow {
            true => self.rng.random_range(0..2_000),
            false => 0,
        };
        self.messages.push((self.at + delay, to, message));
    }

    fn step(&mut self, index: usize) {
        self.step_lease(index);
        let now = ms(self.at);
        let team = "ash".into();
        // Three times the limit, from all daemons together.
        for _ in 0..self.rng.random_range(0..2_u32) {
            let share = &mut self.daemons[index].share;
            share.count_request(&team, now);
            if share.take(&team, [false; 2], now) == ShareOutcome::Taken {
                self.used[self.at as usize] += 1;
            }
        }
        // The member tables differ, so that daemons ask two holders of one slot if there are two.
        let first = self.rng.random_range(0..DAEMONS);
        let order = (0..DAEMONS).map(|place| name((place + first) % DAEMONS));
        let order: Vec<MemberId> = order.collect();
        for slot in 0..2 {
            let question = self.daemons[index].share.next_question(slot, &order, now);
            let Some(question) = question else {
                continue;
            };
            let to = (0..DAEMONS).find(|index| name(*index) == question.peer);
            let to = to.expect("a daemon of the order");
            if to == index {
                let daemon = &mut self.daemons[index];
                let grants = lend(daemon, slot, &question.demands, (self.burst, now));
                let peer = &question.peer;
                daemon.share.on_granted(peer, question.number, &grants, now);
                continue;
            }
            let wanted = Message::Wanted(index, question.number, slot, question.demands);
            self.send(index, to, wanted);
        }
    }

    fn step_lease(&mut self, index: usize) {
        let at = self.at;
        let daemon = &mut self.daemons[index];
        let candidate = LeaseCandidate {
            rank: Some(index).filter(|rank| *rank < 3),
            has_others: true,
            is_leaving: daemon.is_leaving,
        };
        let now = ms(at);
        let Some(step) = daemon.lease.next_step(candidate, now) else {
            return;
        };
        let is_cut = at < daemon.store_cut_until;
        match step {
            LeaseStep::Read if is_cut => {}
            LeaseStep::Read => {
                for slot in 0..2 {
                    let (version, row) = self.rows[slot].clone();
                    daemon.lease.on_read(slot, version, row, now);
                }
            }
            LeaseStep::Write(slot, version, row) => {
                let result = self.call_write(slot, version, row.clone(), is_cut);
                let daemon = &mut self.daemons[index];
                if daemon.lease.on_written(slot, row, result, now, now) {
                    daemon.buckets[slot] = LimitBuckets::new(now);
                }
            }
        }
    }

    fn call_write(
        &mut self,
        slot: usize,
        version: RowVersion,
        row: LeaseRow,
        is_cut: bool,
    ) -> Result<RowVersion, StoreFault> {
        if self.at < self.writes_late_until {
            let delay = self.rng.random_range(0..8_000);
            let at = self.at + delay;
            self.late.push(LateWrite {
                at,
                slot,
                version,
                row,
            });
            return Err(StoreFault::NoAnswer);
        }
        if is_cut {
            return Err(StoreFault::NoAnswer);
        }
        let result = self.write(slot, version, row);
        match self.at < self.answers_lost_until {
            true => Err(StoreFault::NoAnswer),
            false => result,
        }
    }
}

/// Lends as the daemon does.
fn lend(
    daemon: &mut ModelDaemon,
    slot: usize,
    demands: &[TokenDemand],
    (burst, now): (f64, Duration),
) -> Vec<TokenGrant> {
    let mut grants = Vec::new();
    if !daemon.lease.may_lend(slot, now) {
        return grants;
    }
    let limit = SlotLimit::new(RATE, burst, 1);
    for demand in demands {
        let (granted, next) = daemon.buckets[slot].take(&demand.team, limit, demand.wanted, now);
        let next_ms = u32::from(granted < demand.wanted) + next.as_millis() as u32;
        grants.push(TokenGrant {
            team: demand.team.clone(),
            granted,
            valid_ms: 300,
            next_ms,
        });
    }
    grants
}
