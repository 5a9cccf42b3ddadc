//! A few members and the messages in flight between them, for generated steps.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootweir::floor::FloorState;
use coltsfootweir::gossip::GossipState;
use coltsfootweir::gossip_limits::GossipLimits;
use coltsfootweir::gossip_message::GossipAction;
use coltsfootweir::gossip_message::GossipMessage;
use coltsfootweir::member::EntryRank;
use coltsfootweir::member::MemberState;

use super::address_of;
use super::condemned_fact;
use super::entry_of;
use super::mark_of;
use super::region_of;

/// Members of a machine.
pub const MEMBERS: usize = 8;

/// Rounds after which an exchange without an answer has failed.
const EXCHANGE_ROUNDS: u64 = 3;

/// What a member does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberPhase {
    /// Runs.
    Running,
    /// Paused; keeps its state.
    Frozen,
    /// Ended; keeps nothing.
    Stopped,
    /// Runs, but has left.
    Left,
}

#[derive(Clone)]
struct MessageFlight {
    from: usize,
    from_run: u64,
    to: usize,
    message: GossipMessage,
    answer: bool,
    sent: u64,
}

/// A member as the machine drives it.
pub struct MachineMember {
    /// What it does.
    pub phase: MemberPhase,
    /// Its run.
    pub run: u64,
    /// Its gossip.
    pub gossip: GossipState,
    /// What it learned about its floor.
    pub floor: FloorState,
    /// Its floor, once known.
    pub known_floor: Option<u64>,
    /// Highest generation that any run at this address served.
    pub advertised: u64,
    seen: SeenValues,
}

/// Highest values one run showed so far.
#[derive(Default)]
struct SeenValues {
    ranks: BTreeMap<Box<str>, EntryRank>,
    served: BTreeMap<(Box<str>, u64), u64>,
    head: u64,
    condemned: usize,
}

/// Members, messages in flight and the store's head.
pub struct GossipMachine {
    /// The members.
    pub members: Vec<MachineMember>,
    /// Whether the regions are cut off from each other.
    pub cut: bool,
    /// Side of each member; members on different sides do not reach each other.
    pub sides: [bool; MEMBERS],
    /// Whether the store answers.
    pub store_up: bool,
    /// Facts asserted by members that ran on.
    pub condemned: BTreeSet<Box<str>>,
    store_head: u64,
    round: u64,
    runs: u64,
    flights: Vec<MessageFlight>,
}

impl GossipMachine {
    /// Members that just started.
    pub fn new() -> GossipMachine {
        let mut machine = GossipMachine {
            members: Vec::new(),
            cut: false,
            sides: [false; MEMBERS],
            store_up: true,
            condemned: BTreeSet::new(),
            store_head: 0,
            round: 0,
            runs: 0,
            flights: Vec::new(),
        };
        for member in 0..MEMBERS {
            let started = machine.start(member, 0);
            machine.members.push(started);
        }
        machine
    }

    /// Time of the present round.
    pub fn now(&self) -> Duration {
        Duration::from_secs(self.round)
    }

    /// Lets a second pass: exchanges time out, members tick, learn their floor and fetch heads.
    pub fn pass_round(&mut self) {
        self.round += 1;
        let deadline = self.round.saturating_sub(EXCHANGE_ROUNDS);
        let is_late = |flight: &MessageFlight| flight.sent < deadline;
        while let Some(late) = self.flights.iter().position(is_late) {
            self.lose(late);
        }
        for member in 0..MEMBERS {
            if !self.is_active(member) {
                continue;
            }
            let now = self.now();
            let actions = self.members[member].gossip.tick(now);
            self.send(member, actions);
            self.learn_floor(member);
            self.fetch_head(member);
        }
    }

    /// Lets seconds pass in which every message arrives; checks each of them.
    pub fn pass_rounds(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.pass_round();
            self.deliver_all();
            self.check_steps();
        }
    }

    /// Delivers one message in flight, and keeps a copy in flight if `repeat`.
    pub fn deliver(&mut self, choice: usize, repeat: bool) {
        if self.flights.is_empty() {
            return;
        }
        let index = choice % self.flights.len();
        let flight = self.flights[index].clone();
        if self.members[flight.to].phase == MemberPhase::Frozen {
            return;
        }
        if !self.reaches(flight.from, flight.to) {
            self.lose(index);
            return;
        }
        if !repeat {
            self.flights.remove(index);
        }
        self.hand_over(flight);
    }

    /// Delivers all messages, and those that follow, in the order in which they were sent.
    pub fn deliver_all(&mut self) {
        let mut held = Vec::new();
        while !self.flights.is_empty() {
            let flight = self.flights[0].clone();
            if self.members[flight.to].phase == MemberPhase::Frozen {
                held.push(self.flights.remove(0));
                continue;
            }
            self.deliver(0, false);
        }
        self.flights = held;
    }

    /// Loses one message in flight; its exchange fails.
    pub fn drop_message(&mut self, choice: usize) {
        if !self.flights.is_empty() {
            self.lose(choice % self.flights.len());
        }
    }

    /// Sets what a member does; a stopped member that runs again has kept nothing.
    pub fn set_phase(&mut self, member: usize, phase: MemberPhase) {
        if self.members[member].phase == MemberPhase::Stopped && phase == MemberPhase::Running {
            let advertised = self.members[member].advertised;
            self.members[member] = self.start(member, advertised);
        }
        self.members[member].phase = phase;
        if phase == MemberPhase::Left {
            self.members[member].gossip.leave();
            self.push(member);
        }
    }

    /// Accepts a head in the store and serves it at one member.
    pub fn publish(&mut self, member: usize) {
        if !self.store_up || self.members[member].known_floor.is_none() {
            return;
        }
        self.store_head += 1;
        self.serve(member, self.store_head);
    }

    /// Lets a member condemn a version.
    pub fn condemn(&mut self, member: usize, version: u8) {
        let fact = condemned_fact(member, &format!("v{version}"));
        self.members[member].gossip.assert_condemned(fact);
        self.push(member);
    }

    /// Facts that `member` knows.
    pub fn facts_of(&self, member: usize) -> BTreeSet<Box<str>> {
        let facts = self.members[member].gossip.condemned();
        facts.map(|fact| fact.version.clone()).collect()
    }

    /// Members that run, are not paused and have not left.
    pub fn running(&self) -> Vec<usize> {
        let running = (0..MEMBERS).filter(|member| self.is_running(*member));
        running.collect()
    }

    /// Whether a member runs, is not paused and has not left.
    pub fn is_running(&self, member: usize) -> bool {
        self.members[member].phase == MemberPhase::Running
    }

    /// Checks that what each member shows never goes back and was once true.
    pub fn check_steps(&mut self) {
        for member in 0..MEMBERS {
            if self.members[member].phase == MemberPhase::Stopped {
                continue;
            }
            self.check_truth(member);
            let state = &mut self.members[member];
            state.seen.check(&state.gossip);
        }
    }

    fn check_truth(&self, member: usize) {
        let gossip = &self.members[member].gossip;
        let state = gossip.own().state;
        assert!(matches!(state, MemberState::Alive | MemberState::Left));
        for entry in gossip.view().entries() {
            let subject = (0..MEMBERS).find(|other| *address_of(*other).to_string() == *entry.id);
            let subject = &self.members[subject.expect("every entry is of a member")];
            assert!(entry.served <= subject.advertised, "{entry:?} is untrue");
            let current = subject.gossip.own();
            if entry.incarnation == current.incarnation {
                assert!(
                    entry.served <= current.served,
                    "{entry:?} is untrue of its run"
                );
                assert!(entry.counter <= current.counter, "{entry:?} is too new");
            }
        }
    }

    fn start(&mut self, member: usize, advertised: u64) -> MachineMember {
        self.runs += 1;
        let limits = GossipLimits {
            entry_retention: Duration::from_secs(60),
            ..Default::default()
        };
        let mut gossip = GossipState::new(entry_of(member, self.runs), limits, self.runs);
        gossip.add_seeds((0..MEMBERS).map(address_of));
        gossip.set_floor_wanted(true);
        MachineMember {
            phase: MemberPhase::Running,
            run: self.runs,
            gossip,
            floor: FloorState::new(self.now()),
            known_floor: None,
            advertised,
            seen: SeenValues::default(),
        }
    }

    fn is_active(&self, member: usize) -> bool {
        let phase = self.members[member].phase;
        matches!(phase, MemberPhase::Running | MemberPhase::Left)
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let cut = self.cut && region_of(from) != region_of(to);
        let parted = self.sides[from] != self.sides[to];
        !cut && !parted && self.members[to].phase != MemberPhase::Stopped
    }

    fn learn_floor(&mut self, member: usize) {
        let head = self.store_up.then_some(self.store_head);
        let now = self.now();
        let state = &mut self.members[member];
        if state.known_floor.is_none() {
            state.floor.on_store_head(head);
            state.floor.on_view(state.gossip.view());
            state.known_floor = state.floor.floor(now);
            let known = state.known_floor.unwrap_or(u64::MAX);
            let is_true = head.is_none() || known >= state.advertised;
            assert!(is_true, "floor {known} is too low");
        }
        let Some(floor) = state.known_floor else {
            return;
        };
        if let Some(head) = head {
            assert!(floor.max(head) >= state.advertised, "a floor too low");
            if head > state.gossip.own().served {
                self.serve(member, head);
            }
        }
        let state = &mut self.members[member];
        if state.gossip.own().served >= floor {
            state.gossip.set_floor_wanted(false);
        }
    }

    fn fetch_head(&mut self, member: usize) {
        let state = &self.members[member];
        let Some((mark, holders)) = state.gossip.best_head() else {
            return;
        };
        let floor = state.known_floor;
        if floor.is_none_or(|floor| mark.generation < floor) {
            return;
        }
        let holds = |holder: &SocketAddr| {
            let other = member_at(*holder);
            self.reaches(member, other) && self.is_active(other)
        };
        if holders.iter().any(holds) {
            self.serve(member, mark.generation);
        }
    }

    fn serve(&mut self, member: usize, generation: u64) {
        let state = &mut self.members[member];
        state.gossip.set_served(mark_of(generation));
        state.advertised = state.advertised.max(generation);
        self.push(member);
    }

    fn push(&mut self, member: usize) {
        let now = self.now();
        let pushes = self.members[member].gossip.push_urgent(now);
        self.send(member, pushes);
    }

    fn send(&mut self, from: usize, actions: Vec<GossipAction>) {
        for action in actions {
            let GossipAction::Exchange { to, message, .. } = action;
            self.flights.push(MessageFlight {
                from,
                from_run: self.members[from].run,
                to: member_at(to),
                message,
                answer: false,
                sent: self.round,
            });
        }
    }

    fn hand_over(&mut self, flight: MessageFlight) {
        let now = self.now();
        let to = flight.to;
        // What is sent is encoded and decoded, as between processes.
        let bytes = rmp_serde::to_vec(&flight.message).expect("a message encodes");
        let message: GossipMessage = rmp_serde::from_slice(&bytes).expect("a message decodes");
        assert_eq!(message, flight.message);
        if !flight.answer {
            let answer = self.members[to].gossip.receive(message, now);
            let pushes = self.members[to].gossip.take_urgent();
            self.send(to, pushes);
            let back = MessageFlight {
                from: to,
                from_run: flight.from_run,
                to: flight.from,
                message: answer,
                answer: true,
                sent: self.round,
            };
            self.flights.push(back);
            return;
        }
        let peer = address_of(flight.from);
        let state = &mut self.members[to];
        if state.run != flight.from_run {
            return;
        }
        state.floor.on_answer(&message, now);
        let actions = state.gossip.on_answer(peer, message, now);
        self.send(to, actions);
    }

    fn lose(&mut self, index: usize) {
        let flight = self.flights.remove(index);
        let (asker, peer) = match flight.answer {
            true => (flight.to, flight.from),
            false => (flight.from, flight.to),
        };
        if !self.is_active(asker) || self.members[asker].run != flight.from_run {
            return;
        }
        let now = self.now();
        let peer_id = self.members[peer].gossip.own().id.clone();
        self.members[asker].floor.on_peer_failure(&peer_id);
        let actions = self.members[asker].gossip.on_failure(address_of(peer), now);
        self.send(asker, actions);
    }
}

impl SeenValues {
    fn check(&mut self, gossip: &GossipState) {
        for entry in gossip.view().entries() {
            let rank = self.ranks.entry(entry.id.clone()).or_insert(entry.rank());
            assert!(entry.rank() >= *rank, "{entry:?} went back");
            *rank = entry.rank();
            let run = (entry.id.clone(), entry.incarnation);
            let served = self.served.entry(run).or_default();
            assert!(entry.served >= *served, "{entry:?} went back");
            *served = entry.served;
        }
        let condemned = gossip.condemned().count();
        assert!(condemned >= self.condemned, "a fact was forgotten");
        self.condemned = condemned;
        assert!(
            gossip.own().served >= self.head,
            "the own generation went back"
        );
        self.head = gossip.own().served;
    }
}

fn member_at(address: SocketAddr) -> usize {
    (0..MEMBERS)
        .find(|member| address_of(*member) == address)
        .expect("a member's address")
}
