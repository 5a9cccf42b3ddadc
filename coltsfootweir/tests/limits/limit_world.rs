//! Daemons of one region, their store and a network that delays, loses and cuts.

use std::time::Duration;

use coltsfootweir::ids::MemberId;
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
use coltsfootweir::sidecar::store_era::store_version::StoreVersion;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::world_event::WorldEvent;
use super::world_event::name;

pub const DAEMONS: usize = 4;
const TICK_MS: u64 = 10;
const RUN_MS: u64 = 60_000;

/// Time in which the daemons have taken the slots after their start.
const START_MS: u64 = 5_000;

/// Time after which a daemon knows that it has lost the store.
const NOTICE_MS: u64 = 600;

/// Daemons that may take slots, as in the daemon.
const CANDIDATES: usize = 3;
const RATE: f64 = 60.0;
const WINDOW_MS: usize = 5_000;

/// Additional tokens of slots whose bucket is smaller than one token; none at this limit.
const TOLERANCE: f64 = 1e-6;

#[derive(Clone)]
enum Message {
    SlotRead(usize, u64, StoreVersion),
    SlotReleased(usize, usize, StoreVersion),
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
    store_cut_at: u64,
    writes_land: bool,
    doubts_until: u64,
    has_lost_store: bool,
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
            store_cut_at: 0,
            writes_land: false,
            doubts_until: 0,
            has_lost_store: false,
        }
    }
}

impl ModelDaemon {
    fn cut_store(&mut self, at: u64, until: u64, writes_land: bool) {
        self.store_cut_until = until;
        self.store_cut_at = at;
        self.writes_land = writes_land;
    }

    /// Updates whether the daemon takes the store for lost.
    fn notice_store(&mut self, at: u64) {
        let is_cut = at < self.store_cut_until && at >= self.store_cut_at + NOTICE_MS;
        self.has_lost_store = is_cut || at < self.doubts_until;
    }
}

struct LateWrite {
    at: u64,
    slot: usize,
    version: StoreVersion,
    row: LeaseRow,
}

pub struct LimitWorld {
    burst: f64,
    rng: ChaCha8Rng,
    at: u64,
    daemons: Vec<ModelDaemon>,
    rows: [(StoreVersion, Option<LeaseRow>); 2],
    last_version: u64,
    late: Vec<LateWrite>,
    messages: Vec<(u64, usize, Message)>,
    used: Vec<u32>,
    answers_lost_until: u64,
    writes_late_until: u64,
    /// Whether the network neither loses, delays nor duplicates messages.
    pub is_network_sound: bool,
    /// Whether messages may arrive twice. A repeated question takes tokens that nobody uses.
    pub has_duplicates: bool,
    /// Largest number of daemons that could lend from one slot at the same time.
    pub most_lenders: usize,
    /// Time without a holder so far, and its longest duration.
    holderless: (u64, u64),
    /// Number of hand-overs and of leases that began.
    pub handed_over: usize,
    pub taken: usize,
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
            rows: [(StoreVersion::ABSENT, None), (StoreVersion::ABSENT, None)],
            last_version: 0,
            late: Vec::new(),
            messages: Vec::new(),
            used: vec![0; RUN_MS as usize],
            answers_lost_until: 0,
            writes_late_until: 0,
            is_network_sound: false,
            has_duplicates: false,
            most_lenders: 0,
            holderless: (0, 0),
            handed_over: 0,
            taken: 0,
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
            self.watch_holders();
            self.at += TICK_MS;
        }
    }

    fn watch_holders(&mut self) {
        let now = ms(self.at);
        for slot in 0..2 {
            let lenders = self.daemons.iter();
            let lenders = lenders.filter(|daemon| daemon.lease.may_lend(slot, now));
            self.most_lenders = self.most_lenders.max(lenders.count());
        }
        if self.at < START_MS || self.daemons.iter().any(|daemon| lends(daemon, now)) {
            self.holderless.0 = 0;
            return;
        }
        self.holderless.0 += TICK_MS;
        self.holderless.1 = self.holderless.1.max(self.holderless.0);
    }

    /// Longest time in which no daemon could lend, in milliseconds.
    pub fn longest_without_holder(&self) -> u64 {
        self.holderless.1
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
                self.daemons[*of].cut_store(at, at + ticks * TICK_MS, false);
            }
            WorldEvent::LoseStoreAnswers(of, ticks) => {
                self.daemons[*of].cut_store(at, at + ticks * TICK_MS, true);
            }
            WorldEvent::CutHolders(ticks, writes_land) => {
                for daemon in &mut self.daemons {
                    let until = match lends(daemon, ms(at)) {
                        true => at + ticks * TICK_MS,
                        false => at,
                    };
                    daemon.cut_store(at, until, *writes_land);
                }
            }
            WorldEvent::DoubtStore(of, ticks) => {
                self.daemons[*of].doubts_until = at + ticks * TICK_MS;
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
        version: StoreVersion,
        row: LeaseRow,
    ) -> Result<StoreVersion, StoreFault> {
        if self.rows[slot].0 != version {
            return Err(StoreFault::Condition);
        }
        self.last_version += 1;
        let version = StoreVersion::new(0, self.last_version).expect("in range");
        self.rows[slot] = (version, Some(row));
        Ok(version)
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
                Message::SlotRead(slot, run, version) => {
                    daemon.lease.on_reported(slot, run, version, now);
                }
                Message::SlotReleased(from, slot, version) => {
                    daemon.lease.on_offered(&name(from), slot, version);
                }
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
        if self.at < self.daemons[from].cut_until {
            return;
        }
        if self.is_network_sound {
            self.messages.push((self.at, to, message));
            return;
        }
        if self.rng.random_bool(0.02) {
            return;
        }
        if self.has_duplicates && self.rng.random_bool(0.05) {
            let delay = self.rng.random_range(0..5_000);
            self.messages.push((self.at + delay, to, message.clone()));
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
        self.daemons[index].notice_store(at);
        let order = self.candidates();
        let daemon = &mut self.daemons[index];
        let mut others = order.iter().filter(|of| **of != index);
        let has_others = others.next().is_some();
        let candidate = LeaseCandidate {
            rank: order.iter().position(|of| *of == index),
            has_others,
            is_leaving: daemon.is_leaving,
            can_hand_over: has_others,
            has_lost_store: daemon.has_lost_store,
        };
        let now = ms(at);
        let Some(step) = daemon.lease.next_step(candidate, now) else {
            return;
        };
        let is_cut = at < daemon.store_cut_until;
        match step {
            LeaseStep::Read if is_cut => daemon.lease.on_read_failed(),
            LeaseStep::Read => {
                for slot in 0..2 {
                    let (version, row) = self.rows[slot].clone();
                    self.report(index, slot, version, row.as_ref());
                    let lease = &mut self.daemons[index].lease;
                    lease.on_read(slot, version, row, now);
                }
            }
            LeaseStep::HandOver(slot, version) => {
                self.handed_over += 1;
                for to in order.into_iter().filter(|of| *of != index) {
                    self.send(index, to, Message::SlotReleased(index, slot, version));
                }
            }
            LeaseStep::Write(slot, version, row) => {
                let late = is_cut && daemon.writes_land;
                let result = self.call_write((slot, version, row.clone()), is_cut, late);
                let daemon = &mut self.daemons[index];
                if daemon.lease.on_written(slot, row, result, now, now) {
                    self.taken += 1;
                    daemon.buckets[slot] = LimitBuckets::new(now);
                }
            }
        }
    }

    /// Daemons that may take slots.
    fn candidates(&self) -> Vec<usize> {
        let all = 0..DAEMONS;
        let with_store = all.filter(|of| !self.daemons[*of].has_lost_store);
        with_store.take(CANDIDATES).collect()
    }

    /// Reports a row that a candidate has read, also to holders that have the store and were not started
    /// again, as daemons may believe that.
    fn report(&mut self, index: usize, slot: usize, version: StoreVersion, row: Option<&LeaseRow>) {
        let Some(row) = row.filter(|row| !row.is_released) else {
            return;
        };
        let holder = (0..DAEMONS).find(|of| name(*of) == row.holder);
        let holder = holder.expect("a daemon of the model");
        if holder != index {
            self.send(index, holder, Message::SlotRead(slot, row.run, version));
        }
    }

    fn call_write(
        &mut self,
        (slot, version, row): (usize, StoreVersion, LeaseRow),
        is_cut: bool,
        is_late: bool,
    ) -> Result<StoreVersion, StoreFault> {
        if is_late || self.at < self.writes_late_until {
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

fn lends(daemon: &ModelDaemon, now: Duration) -> bool {
    (0..2).any(|slot| daemon.lease.may_lend(slot, now))
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
