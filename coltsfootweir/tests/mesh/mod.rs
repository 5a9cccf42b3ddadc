//! Simulated members with their configurations and one shared store.

// Each test program uses a part of this module.
#![allow(dead_code)]

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use coltsfootweir::accept::accept_change;
use coltsfootweir::accept::fetch_snapshot;
use coltsfootweir::accept::read_head;
use coltsfootweir::config_state::ConfigState;
use coltsfootweir::config_state::OfferOutcome;
use coltsfootweir::floor::FloorState;
use coltsfootweir::gossip::GossipState;
use coltsfootweir::gossip_limits::GossipLimits;
use coltsfootweir::gossip_message::GossipAction;
use coltsfootweir::ids::Digest;
use coltsfootweir::ids::Generation;
use coltsfootweir::ids::WriteId;
use coltsfootweir::rank::holds_job;
use coltsfootweir::record::ConfigRecord;
use coltsfootweir::route_table::RouteTable;
use coltsfootweir::snapshot::ConfigSnapshot;
use coltsfootweir::snapshot::HeadMark;

use super::common::fake_store::FakeStore;
use super::common::fake_store::StoreFault;
use super::common::fake_store::first_store;
use super::common::records::route;
use super::support::address_of;
use super::support::entry_of;
use super::support::region_of;

/// Number of members; those with an even index are in the store's region.
pub const MEMBERS: usize = 6;

/// State of a member's process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberMode {
    Running,
    Frozen,
    Killed,
}

struct MeshMember {
    mode: MemberMode,
    gossip: GossipState,
    config: ConfigState,
    floor: FloorState,
    read_store: bool,
    /// Highest generation that any run at this address served.
    served: Generation,
}

/// The members, the store, and the failures between them.
pub struct MeshWorld {
    members: Vec<MeshMember>,
    store: Arc<FakeStore>,
    now: Duration,
    incarnation: u64,
    writes: u64,
    pub is_cut: bool,
    pub is_store_up: bool,
    pub lose: u8,
    pub damage: u8,
    /// Members that report a wrong digest with each head; those with an odd index also serve their own
    /// configuration under it.
    pub liars: [bool; MEMBERS],
}

fn wrong_digest(member: usize) -> Digest {
    format!("{:064x}", 0xbad + member).into()
}

/// Truncates an encoded transfer, or flips one bit of it.
fn damage_bytes(bytes: &mut Vec<u8>, number: u8) {
    let place = bytes.len() * (usize::from(number) * 37 % 100) / 100;
    if number.is_multiple_of(2) {
        bytes.truncate(place);
    } else {
        bytes[place] ^= 1;
    }
}

fn start_member(index: usize, incarnation: u64, now: Duration) -> MeshMember {
    let entry = entry_of(index, incarnation);
    let mut gossip = GossipState::new(entry, GossipLimits::default(), incarnation);
    gossip.add_seeds((0..MEMBERS).map(address_of));
    gossip.set_floor_wanted(true);
    MeshMember {
        mode: MemberMode::Running,
        gossip,
        config: ConfigState::new(),
        floor: FloorState::new(now),
        read_store: false,
        served: 0,
    }
}

impl MeshWorld {
    pub fn new() -> MeshWorld {
        let members =
            (0..MEMBERS).map(|index| start_member(index, index as u64 + 1, Duration::ZERO));
        MeshWorld {
            members: members.collect(),
            store: first_store(),
            now: Duration::ZERO,
            incarnation: 100,
            writes: 0,
            is_cut: false,
            is_store_up: true,
            lose: 0,
            damage: 0,
            liars: [false; MEMBERS],
        }
    }

    pub fn set_mode(&mut self, member: usize, mode: MemberMode) {
        // A killed process only returns through a restart.
        if self.members[member].mode != MemberMode::Killed {
            self.members[member].mode = mode;
        }
    }

    pub fn restart(&mut self, member: usize) {
        self.incarnation += 1;
        let served = self.members[member].served;
        self.members[member] = start_member(member, self.incarnation, self.now);
        self.members[member].served = served;
    }

    pub fn heal(&mut self) {
        (self.is_cut, self.is_store_up, self.lose, self.damage) = (false, true, 0, 0);
        self.store.apply_late_writes();
        for index in 0..MEMBERS {
            if self.members[index].mode == MemberMode::Killed {
                self.restart(index);
            }
            self.members[index].mode = MemberMode::Running;
        }
    }

    /// An operator changes a route; with `rivals`, concurrent operators change another one.
    pub fn operate(&mut self, name: u8, script: &[StoreFault], rivals: bool) {
        if !self.is_store_up {
            return;
        }
        self.writes += 1;
        let number = self.writes;
        let rival = move |store: &FakeStore| {
            let write_id: WriteId = format!("rival-{number}-{}", store.head_commits().len()).into();
            let change = |base: &ConfigSnapshot| {
                let record = route("rival", "stalls", base.generation);
                base.with_records([ConfigRecord::Route(record)])
            };
            let _ = accept_change(store, &|| write_id.clone(), &change, &[]);
        };
        self.store
            .script_faults(script, rivals.then(|| Arc::new(rival) as _));
        let tries = std::cell::Cell::new(0);
        let write_ids = || {
            tries.set(tries.get() + 1);
            format!("operator-{number}-{}", tries.get()).into()
        };
        let name = format!("route-{name}");
        let record = ConfigRecord::Route(route(&name, "stalls", 100 + number));
        let change = |base: &ConfigSnapshot| base.with_records([record.clone()]);
        let _ = accept_change(self.store.as_ref(), &write_ids, &change, &[]);
        self.store.script_faults(&[], None);
    }

    /// Simulates one second: every running member gossips, then runs its configuration task.
    pub fn pass_round(&mut self) {
        self.now += Duration::from_secs(1);
        let mut queue = VecDeque::new();
        for index in 0..MEMBERS {
            if self.members[index].mode == MemberMode::Running {
                let actions = self.members[index].gossip.tick(self.now);
                queue.extend(actions.into_iter().map(|action| (index, action)));
            }
        }
        self.exchange_all(queue);
        for index in 0..MEMBERS {
            if self.members[index].mode == MemberMode::Running {
                self.run_config_task(index);
            }
        }
    }

    fn exchange_all(&mut self, mut queue: VecDeque<(usize, GossipAction)>) {
        let mut limit = 400;
        while let Some((from, action)) = queue.pop_front() {
            limit -= 1;
            if limit == 0 {
                return;
            }
            let GossipAction::Exchange { to, message, .. } = action;
            let mut message = message;
            self.lie(from, &mut message.head);
            let target = (0..MEMBERS).find(|index| address_of(*index) == to);
            let Some(target) = target.filter(|target| self.reaches(from, *target)) else {
                let member = &mut self.members[from];
                let actions = member.gossip.on_failure(to, self.now);
                member.floor.on_peer_failure(&to.to_string().into());
                queue.extend(actions.into_iter().map(|action| (from, action)));
                continue;
            };
            // The message arrives twice; the first answer may be lost.
            let peer = &mut self.members[target].gossip;
            let _ = peer.receive(message.clone(), self.now);
            let mut answer = peer.receive(message, self.now);
            let pushed = peer.take_urgent();
            self.lie(target, &mut answer.head);
            queue.extend(pushed.into_iter().map(|action| (target, action)));
            let actions = if self.lose > 0 {
                self.lose -= 1;
                self.members[from].gossip.on_failure(to, self.now)
            } else {
                self.members[from].floor.on_answer(&answer, self.now);
                self.members[from].gossip.on_answer(to, answer, self.now)
            };
            queue.extend(actions.into_iter().map(|action| (from, action)));
            let pushed = self.members[from].gossip.take_urgent();
            queue.extend(pushed.into_iter().map(|action| (from, action)));
        }
    }

    fn lie(&self, member: usize, mark: &mut HeadMark) {
        if self.liars[member] && mark.generation > 0 {
            mark.digest = wrong_digest(member);
        }
    }

    /// Returns the accepted head.
    pub fn head(&self) -> HeadMark {
        read_head(self.store.as_ref()).expect("the store works")
    }

    /// Returns the mark of each member's active configuration.
    pub fn marks(&self) -> Vec<HeadMark> {
        let members = self.members.iter();
        members.map(|member| member.config.mark()).collect()
    }

    /// Sends the accepted configuration to a member, as the `apply` command does.
    pub fn hand_out(&mut self, index: usize) {
        let mark = self.head();
        let snapshot = fetch_snapshot(self.store.as_ref(), &mark).expect("the store works");
        let member = &mut self.members[index];
        let outcome = member.config.offer(&snapshot.encode(), &mark);
        if outcome == Ok(OfferOutcome::Applied) {
            member.gossip.set_served(mark);
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let is_apart = self.is_cut && from % 2 != to % 2;
        !is_apart && self.members[to].mode == MemberMode::Running
    }

    /// Performs one round of the daemon's configuration task.
    fn run_config_task(&mut self, index: usize) {
        let is_store_up = self.is_store_up && !(self.is_cut && index % 2 == 1);
        let now = self.now;
        let member = &mut self.members[index];
        let region = region_of(index);
        let id = member.gossip.own().id.clone();
        let is_reader = holds_job("store", &id, 2, member.gossip.view().live_in(region));
        if !member.config.is_serving() || (is_reader && index.is_multiple_of(2)) {
            let head = is_store_up.then(|| read_head(self.store.as_ref()).ok());
            let head = head.flatten();
            let generation = head.as_ref().map(|head| head.generation);
            member.floor.on_store_head(generation);
            if let Some(head) = head {
                member.read_store = true;
                member.gossip.confirm_head(head);
            }
        }
        if !member.config.is_settled() {
            member.floor.on_view(member.gossip.view());
            if let Some(floor) = member.floor.floor(now) {
                member.config.raise_floor(floor);
                member.config.settle_floor();
                member.gossip.set_floor_wanted(false);
            }
        }
        self.note_served(index);
        self.catch_up(index, is_store_up);
        self.note_served(index);
    }

    /// Checks that the generation served at the member's address never decreases.
    fn note_served(&mut self, index: usize) {
        let member = &mut self.members[index];
        if !member.config.is_serving() {
            return;
        }
        let generation = member.config.mark().generation;
        let is_older = generation < member.served;
        assert!(!(member.read_store && is_older), "member {index} went back");
        member.served = member.served.max(generation);
    }

    /// Simulates a reordered transfer: the configuration of `holder` is offered to `index`.
    pub fn cross_pull(&mut self, index: usize, holder: usize) {
        if index != holder && self.members[index].mode == MemberMode::Running {
            self.pull(index, holder, None);
            self.note_served(index);
        }
    }

    fn catch_up(&mut self, index: usize, is_store_up: bool) {
        let Some((mark, holders)) = self.members[index].gossip.best_head() else {
            return;
        };
        for address in holders {
            let holder = (0..MEMBERS).find(|other| address_of(*other) == address);
            let Some(holder) = holder.filter(|holder| self.reaches(index, *holder)) else {
                continue;
            };
            if self.pull(index, holder, Some(&mark)) {
                return;
            }
        }
        self.members[index].gossip.reject_head(&mark);
        if !is_store_up {
            return;
        }
        let mark = self.head();
        self.members[index].gossip.confirm_head(mark.clone());
        if let Ok(snapshot) = fetch_snapshot(self.store.as_ref(), &mark) {
            let outcome = self.members[index].config.offer(&snapshot.encode(), &mark);
            assert!(outcome.is_ok(), "the store's own snapshot is refused");
            self.members[index].gossip.set_served(mark);
        }
    }

    fn pull(&mut self, index: usize, holder: usize, wanted: Option<&HeadMark>) -> bool {
        let held = self.members[index].config.mark().generation;
        let source = &self.members[holder].config;
        let mut mark = source.mark();
        let delta = source.recent_delta(held).map(|delta| delta.encode());
        let is_delta = delta.is_some();
        let mut bytes = delta.unwrap_or_else(|| source.snapshot().encode());
        if holder % 2 == 1 {
            self.lie(holder, &mut mark);
        }
        if let Some(wanted) = wanted
            && (wanted.generation == mark.generation && wanted.digest != mark.digest)
        {
            return false;
        }
        let is_damaged = self.damage > 0;
        if is_damaged {
            self.damage -= 1;
            damage_bytes(&mut bytes, self.damage);
        }
        let config = &mut self.members[index].config;
        let before = config.mark();
        let outcome = if is_delta {
            config.offer_delta(&bytes, &mark)
        } else {
            config.offer(&bytes, &mark)
        };
        if is_damaged && mark.generation > before.generation {
            assert!(outcome.is_err(), "a damaged transfer was taken");
            assert_eq!(config.mark(), before);
        }
        if outcome == Ok(OfferOutcome::Applied) {
            self.members[index].gossip.set_served(mark);
        }
        outcome.is_ok()
    }

    pub fn check_invariants(&self) {
        for member in &self.members {
            let snapshot = member.config.snapshot();
            assert!(RouteTable::compile(&snapshot).is_ok(), "not closed");
            assert_eq!(member.config.table().generation(), snapshot.generation);
            assert_eq!(member.gossip.own().served, member.config.mark().generation);
        }
    }

    pub fn check_converged(&self) {
        let head = self.head();
        for member in &self.members {
            let id = &member.gossip.own().id;
            assert!(member.config.is_serving(), "{id} does not serve");
            assert_eq!(member.config.mark(), head, "{id}");
        }
    }

    /// Checks that each generation was accepted by exactly one write.
    pub fn check_accepted_once(&self) {
        for (index, (_, generation)) in self.store.head_commits().iter().enumerate() {
            assert_eq!(*generation, index as u64 + 1);
        }
    }
}
