//! Members that exchange messages without a network.
#![allow(dead_code)]

pub mod machine;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootweir::fact::CondemnedFact;
use coltsfootweir::gossip::GossipState;
use coltsfootweir::gossip_limits::GossipLimits;
use coltsfootweir::gossip_message::GossipAction;
use coltsfootweir::gossip_message::GossipMessage;
use coltsfootweir::gossip_message::RepairPart;
use coltsfootweir::member::EndpointEntry;
use coltsfootweir::member::EndpointPhase;
use coltsfootweir::member::MemberEntry;
use coltsfootweir::member::MemberState;
use coltsfootweir::packed::PackedNumbers;
use coltsfootweir::snapshot::HeadMark;

/// The two regions.
pub const REGIONS: [&str; 2] = ["Noord-Holland", "Zuid-Holland"];

/// Bytes that HTTP adds to each message.
pub const HTTP_BYTES: u64 = 150;

/// Control address of member `index`.
pub fn address_of(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 23, (index / 200) as u8, (index % 200) as u8 + 1], 7000))
}

/// Region of member `index`: even members stand in the first one.
pub fn region_of(index: usize) -> &'static str {
    REGIONS[index % 2]
}

/// First entry of a run of member `index`.
pub fn entry_of(index: usize, incarnation: u64) -> MemberEntry {
    let mut call_address = address_of(index);
    call_address.set_port(8000);
    MemberEntry {
        id: address_of(index).to_string().into_boxed_str(),
        call_address,
        region: region_of(index).into(),
        zone: "Purmerend".into(),
        incarnation,
        counter: 0,
        state: MemberState::Alive,
        served: 0,
        endpoint: Some(EndpointEntry {
            service: "stall-booking".into(),
            version: "2026-11-30.4".into(),
            slots: 9,
            phase: EndpointPhase::Ready,
        }),
    }
}

/// Head of a generation.
pub fn mark_of(generation: u64) -> HeadMark {
    HeadMark {
        generation,
        digest: format!("{generation:064x}").into_boxed_str(),
    }
}

/// Fact that a member asserts of a version.
pub fn condemned_fact(member: usize, version: &str) -> CondemnedFact {
    CondemnedFact {
        move_name: "raking".into(),
        service: "crews".into(),
        version: version.into(),
        reason: format!("seen by {member}").into(),
        asserted_by: address_of(member).to_string().into(),
    }
}

/// Bytes sent, as messages and encoded.
#[derive(Default)]
pub struct ByteCounts {
    /// Messages sent.
    pub messages: u64,
    /// Bytes of all messages.
    pub bytes: u64,
    /// Bytes of the messages that crossed the link.
    pub link: u64,
}

/// Many members; a push or fetch takes a whole round.
pub struct GossipFleet {
    /// The members.
    pub states: Vec<GossipState>,
    /// Members that do not run.
    pub stopped: Vec<bool>,
    /// Whether the link is cut.
    pub cut: bool,
    /// Bytes sent; counted only while `counting`.
    pub counts: ByteCounts,
    /// Whether bytes are counted.
    pub counting: bool,
    /// Rounds driven.
    pub round: u64,
    index: BTreeMap<SocketAddr, usize>,
    waiting: Vec<(usize, GossipAction)>,
}

impl GossipFleet {
    /// Members that know each other already.
    pub fn new(count: usize) -> GossipFleet {
        let entries: Vec<MemberEntry> = (0..count).map(|member| entry_of(member, 1)).collect();
        let mut fleet = GossipFleet::started_at_once(count);
        for (member, state) in fleet.states.iter_mut().enumerate() {
            state.receive(introduction(&entries, member), Duration::ZERO);
        }
        fleet
    }

    /// Members that start at the same time and know a few seeds.
    pub fn started_at_once(count: usize) -> GossipFleet {
        let mut states = Vec::new();
        let mut index = BTreeMap::new();
        for member in 0..count {
            let mut state =
                GossipState::new(entry_of(member, 1), GossipLimits::default(), member as u64);
            state.add_seeds((0..count.min(5)).map(address_of));
            index.insert(address_of(member), member);
            states.push(state);
        }
        GossipFleet {
            states,
            stopped: vec![false; count],
            cut: false,
            counts: ByteCounts::default(),
            counting: false,
            round: 0,
            index,
            waiting: Vec::new(),
        }
    }

    /// Time of the present round.
    pub fn now(&self) -> Duration {
        Duration::from_secs(self.round)
    }

    /// Accepts a head at one member.
    pub fn publish(&mut self, member: usize, generation: u64) {
        self.serve(member, mark_of(generation));
    }

    /// Condemns a version at one member.
    pub fn condemn(&mut self, member: usize) {
        let now = self.now();
        self.states[member].assert_condemned(condemned_fact(member, "v2"));
        let pushes = self.states[member].push_urgent(now);
        self.wait(member, pushes);
    }

    /// Restarts a member that kept nothing.
    pub fn restart(&mut self, member: usize) {
        let entry = entry_of(member, self.round + 2);
        let mut state = GossipState::new(entry, GossipLimits::default(), self.round);
        let seeds = (0..8).map(|step| address_of((member + step * 2) % self.states.len()));
        state.add_seeds(seeds);
        self.states[member] = state;
        self.stopped[member] = false;
    }

    /// Drives one round: fetches, the pushes of the round before, and every member's tick.
    pub fn drive_round(&mut self) {
        self.round += 1;
        let now = self.now();
        for member in 0..self.states.len() {
            self.fetch_head(member);
        }
        for (from, action) in std::mem::take(&mut self.waiting) {
            self.carry_out(from, action);
        }
        for member in 0..self.states.len() {
            if self.stopped[member] {
                continue;
            }
            for action in self.states[member].tick(now) {
                self.carry_out(member, action);
            }
        }
    }

    /// Drives rounds, one after another.
    pub fn drive_rounds(&mut self, rounds: u64) {
        for _ in 0..rounds {
            self.drive_round();
        }
    }

    /// Members that run and serve less than `generation`.
    pub fn behind(&self, generation: u64) -> usize {
        let pairs = self.states.iter().zip(&self.stopped);
        let running = pairs.filter(|(_, stopped)| !**stopped);
        running
            .filter(|(state, _)| state.own().served < generation)
            .count()
    }

    fn fetch_head(&mut self, member: usize) {
        if self.stopped[member] {
            return;
        }
        let Some((mark, holders)) = self.states[member].best_head() else {
            return;
        };
        for holder in holders.iter().take(2) {
            let peer = self.index[holder];
            if self.reaches(member, peer) && self.states[peer].own().served >= mark.generation {
                self.serve(member, mark);
                return;
            }
        }
    }

    fn serve(&mut self, member: usize, mark: HeadMark) {
        let now = self.now();
        self.states[member].set_served(mark);
        let pushes = self.states[member].push_urgent(now);
        self.wait(member, pushes);
    }

    fn wait(&mut self, member: usize, actions: Vec<GossipAction>) {
        let actions = actions.into_iter();
        self.waiting.extend(actions.map(|action| (member, action)));
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let cut = self.cut && region_of(from) != region_of(to);
        !cut && !self.stopped[to]
    }

    /// Carries out an exchange and those that follow from its answer.
    fn carry_out(&mut self, from: usize, action: GossipAction) {
        let now = self.now();
        let mut due = vec![action];
        while let Some(GossipAction::Exchange {
            to,
            message,
            crosses,
            ..
        }) = due.pop()
        {
            if self.stopped[from] {
                return;
            }
            let peer = self.index[&to];
            self.count(&message, crosses);
            if !self.reaches(from, peer) {
                let probes = self.states[from].on_failure(to, now);
                self.wait(from, probes);
                continue;
            }
            let answer = self.states[peer].receive(message, now);
            let pushes = self.states[peer].take_urgent();
            self.wait(peer, pushes);
            self.count(&answer, crosses);
            due.extend(self.states[from].on_answer(to, answer, now));
        }
    }

    fn count(&mut self, message: &GossipMessage, crosses: bool) {
        if !self.counting {
            return;
        }
        let bytes = rmp_serde::to_vec(message).expect("a message encodes").len() as u64;
        self.counts.messages += 1;
        self.counts.bytes += bytes + HTTP_BYTES;
        if crosses {
            self.counts.link += bytes + HTTP_BYTES;
        }
    }
}

/// A message that introduces all members to `member`, as a repair would.
fn introduction(entries: &[MemberEntry], member: usize) -> GossipMessage {
    let other = entry_of((member + 2) % entries.len(), 1);
    let mut sender = GossipState::new(other, GossipLimits::default(), 0);
    sender.add_seeds([address_of(member)]);
    let GossipAction::Exchange { message, .. } = sender.tick(Duration::ZERO).remove(0);
    let mut message = message;
    message.entries = entries.to_vec();
    let (members, ended) = (PackedNumbers(Vec::new()), Vec::new());
    message.repair = Some(RepairPart::Wanted { members, ended });
    message
}
