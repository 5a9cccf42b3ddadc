//! Building and taking in gossip messages.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::facts_table::FactHash;
use crate::gossip::GossipState;
use crate::gossip_message::FloorAnswer;
use crate::gossip_message::GossipAction;
use crate::gossip_message::GossipMessage;
use crate::gossip_message::LinkCause;
use crate::gossip_message::RegionAge;
use crate::gossip_message::ServedBatch;
use crate::gossip_message::StateDigest;
use crate::ids::Generation;
use crate::ids::RegionName;
use crate::member::MemberHash;
use crate::member::MemberState;
use crate::member::RunHash;
use crate::member::member_hash;
use crate::member::run_hash;
use crate::packed::PackedNumbers;
use crate::spread_queue::send_limit;

/// Changed entries in an urgent message.
const URGENT_ENTRIES: usize = 4;

/// Served rows in an urgent message.
const URGENT_SERVED: usize = 8;

impl GossipState {
    /// Takes in a message that arrived at `now` and returns the answer. Pushes that became due are
    /// left for [`GossipState::take_urgent`].
    pub fn receive(&mut self, message: GossipMessage, now: Duration) -> GossipMessage {
        self.advance(now);
        self.absorb(&message);
        if let Some(probe) = &message.probe {
            self.probes.push(member_hash(probe));
        }
        let peer = member_hash(&message.from);
        let cause = if message.repair.is_some() {
            LinkCause::Repair
        } else {
            LinkCause::Periodic
        };
        let mut answer = self.message_to(Some(peer), cause);
        if message.floor_wanted && !self.floor_wanted {
            let held = self.own().served;
            let advertised = self.view.advertised(&message.from);
            answer.floor = Some(FloorAnswer { held, advertised });
        }
        if let Some(part) = message.repair {
            self.answer_repair(part, &mut answer);
        }
        answer
    }

    /// Takes in the answer of `peer` that arrived at `now`; a repair may follow.
    pub fn on_answer(
        &mut self,
        peer: SocketAddr,
        message: GossipMessage,
        now: Duration,
    ) -> Vec<GossipAction> {
        self.advance(now);
        self.absorb(&message);
        self.floor_heard |= message.floor.is_some() && message.region == self.region;
        let mut actions = self.take_urgent();
        let follow_up = match &message.repair {
            Some(part) => self.follow_repair(part, &message),
            None => self.start_repair(&message),
        };
        if let Some(message) = follow_up {
            let cause = LinkCause::Repair;
            let crosses = self
                .view
                .get(&peer.to_string())
                .is_some_and(|e| e.region != self.region);
            actions.push(GossipAction::Exchange {
                to: peer,
                message,
                cause,
                crosses,
            });
        }
        actions
    }

    /// A message with the changes that are due; `to` is the receiver, if it is known.
    pub(crate) fn message_to(&mut self, to: Option<MemberHash>, cause: LinkCause) -> GossipMessage {
        let mut message = self.bare_message();
        if cause != LinkCause::Repair {
            let far = self.far_region_of(to);
            match far.filter(|_| self.peers.links) {
                None => self.add_near_changes(&mut message, cause),
                Some(region) if self.region_reachable(&region, self.now) => {
                    self.add_far_changes(&mut message);
                }
                // Changes sent into a cut would be lost.
                Some(_) => {}
            }
        }
        self.add_word_of(to, &mut message);
        message
    }

    fn far_region_of(&self, to: Option<MemberHash>) -> Option<RegionName> {
        let record = to.and_then(|to| self.view.record(to))?;
        (record.entry.region != self.region).then(|| record.entry.region.clone())
    }

    fn add_near_changes(&mut self, message: &mut GossipMessage, cause: LinkCause) {
        let (entries, served) = match cause {
            LinkCause::Urgent => (URGENT_ENTRIES, URGENT_SERVED),
            _ => (self.limits.message_entries, self.limits.message_served),
        };
        let members = self.peers.near.len();
        let sends = send_limit(self.limits.entry_sends, members);
        let served_sends = send_limit(self.limits.served_sends, members);
        let changes = self.entry_queue.near.take(entries, sends);
        self.add_entries(message, changes);
        let runs = self.served_queue.near.take(served, served_sends);
        self.add_served(message, runs);
        let facts = self.fact_queue.near.take(self.limits.message_facts, sends);
        self.add_facts(message, facts);
    }

    fn add_far_changes(&mut self, message: &mut GossipMessage) {
        let changes = self
            .entry_queue
            .far
            .take(self.limits.far_entries, self.limits.far_sends);
        self.add_entries(message, changes);
        let runs = self
            .served_queue
            .far
            .take(self.limits.far_served, self.limits.far_sends);
        self.add_served(message, runs);
        let facts = self
            .fact_queue
            .far
            .take(self.limits.message_facts, self.limits.far_sends);
        self.add_facts(message, facts);
    }

    pub(crate) fn bare_message(&self) -> GossipMessage {
        GossipMessage {
            from: self.id.clone(),
            region: self.region.clone(),
            incarnation: self.own().incarnation,
            served: self.own().served,
            head: self.head.mark().clone(),
            digest: self.digest(),
            entries: Vec::new(),
            served_batches: Vec::new(),
            condemned: Vec::new(),
            crashes: Vec::new(),
            regions: self.region_ages(),
            probe: None,
            floor_wanted: self.floor_wanted,
            floor: None,
            repair: None,
        }
    }

    pub(crate) fn digest(&self) -> StateDigest {
        let sum = |parts: &[u64]| parts.iter().copied().fold(0, u64::wrapping_add);
        StateDigest {
            table: sum(self.view.digests().ranks()),
            served: sum(self.view.digests().served()),
            facts: self.facts.digest(),
        }
    }

    fn region_ages(&self) -> Vec<RegionAge> {
        let mut ages = Vec::new();
        for (region, heard) in &self.heard {
            let age = self.now.saturating_sub(*heard);
            if age >= self.limits.region_timeout {
                continue;
            }
            let tenths = u32::try_from(age.as_millis().div_ceil(100)).unwrap_or(u32::MAX);
            ages.push(RegionAge {
                region: region.clone(),
                tenths,
            });
        }
        ages
    }

    fn add_entries(&self, message: &mut GossipMessage, members: Vec<MemberHash>) {
        for member in members {
            let record = self.view.record(member);
            message
                .entries
                .extend(record.map(|record| record.entry.clone()));
        }
    }

    fn add_served(&self, message: &mut GossipMessage, runs: Vec<RunHash>) {
        let mut served = Vec::with_capacity(runs.len());
        for run in runs {
            let record = self.view.by_run(run);
            served.extend(record.map(|record| (run, record.entry.served)));
        }
        message.served_batches = batch_served(served);
    }

    fn add_facts(&self, message: &mut GossipMessage, facts: Vec<FactHash>) {
        for hash in facts {
            message
                .condemned
                .extend(self.facts.condemned_at(hash).cloned());
            message.crashes.extend(self.facts.crash_at(hash, self.now));
        }
    }

    /// Tells the receiver what this member holds of it, so that it can refute, and tells a receiver
    /// that is not known about this member.
    fn add_word_of(&self, to: Option<MemberHash>, message: &mut GossipMessage) {
        let Some(record) = to.and_then(|to| self.view.record(to)) else {
            if !message.entries.iter().any(|entry| entry.id == self.id) {
                message.entries.push(self.own().clone());
            }
            return;
        };
        let listed = message
            .entries
            .iter()
            .any(|entry| entry.id == record.entry.id);
        if record.entry.state != MemberState::Alive && !listed {
            message.entries.push(record.entry.clone());
        }
    }

    fn absorb(&mut self, message: &GossipMessage) {
        if message.from == self.id {
            return;
        }
        self.absorb_regions(message);
        // A joining member learns what the others know already, or what repairs bring them too.
        let is_joining = self.is_joining();
        for entry in &message.entries {
            let member = member_hash(&entry.id);
            let outcome = self.view.merge(entry, self.now);
            if outcome.changed && (outcome.urgent || !is_joining) {
                self.spread_entry(member);
            }
            // What others send too needs fewer sends of this member.
            if !outcome.changed && self.view.known_rank(member) == Some(entry.rank()) {
                let sends = send_limit(self.limits.entry_sends, self.peers.near.len());
                self.entry_queue.near.note_heard(member, sends);
            }
            if outcome.served {
                self.spread_served(run_hash(&entry.id, entry.incarnation));
            }
            self.urgent_due |= outcome.urgent;
        }
        let from = run_hash(&message.from, message.incarnation);
        self.absorb_served(from, message.served);
        for batch in &message.served_batches {
            for run in &batch.runs.0 {
                self.absorb_served(*run, batch.generation);
            }
        }
        self.absorb_head(message);
        self.absorb_facts(message);
        self.refresh_peers();
    }

    fn absorb_regions(&mut self, message: &GossipMessage) {
        if message.region != self.region {
            self.heard.insert(message.region.clone(), self.now);
        }
        for age in &message.regions {
            if age.region == self.region {
                continue;
            }
            let Some(heard) = self.now.checked_sub(age.age()) else {
                continue;
            };
            let latest = self.heard.entry(age.region.clone()).or_insert(heard);
            *latest = heard.max(*latest);
        }
    }

    fn absorb_served(&mut self, run: RunHash, generation: Generation) {
        if self.view.note_served(run, generation) {
            self.spread_served(run);
            return;
        }
        let sends = send_limit(self.limits.served_sends, self.peers.near.len());
        self.served_queue.near.note_heard(run, sends);
    }

    fn spread_served(&mut self, run: RunHash) {
        let record = self.view.by_run(run);
        let own = record.is_some_and(|record| record.entry.region == self.region);
        self.served_queue.push(run, own);
    }

    fn absorb_head(&mut self, message: &GossipMessage) {
        let serves = message.served >= message.head.generation;
        let teller = serves.then(|| member_hash(&message.from));
        self.head.add_peer_claim(&message.head, teller, self.now);
    }

    fn absorb_facts(&mut self, message: &GossipMessage) {
        let mut news = Vec::new();
        for fact in &message.condemned {
            news.extend(self.facts.condemn(fact.clone()));
        }
        for crash in &message.crashes {
            let age = Duration::from_secs(u64::from(crash.seconds));
            news.extend(self.facts.crash(crash.fact.clone(), age, self.now));
        }
        self.urgent_due |= !news.is_empty();
        for hash in news {
            self.fact_queue.push(hash, true);
        }
    }
}

/// Groups runs by the generation they serve.
pub(crate) fn batch_served(runs: Vec<(RunHash, Generation)>) -> Vec<ServedBatch> {
    let mut grouped: BTreeMap<Generation, Vec<RunHash>> = BTreeMap::new();
    for (run, generation) in runs {
        grouped.entry(generation).or_default().push(run);
    }
    let mut batches = Vec::with_capacity(grouped.len());
    for (generation, runs) in grouped {
        batches.push(ServedBatch {
            generation,
            runs: PackedNumbers(runs),
        });
    }
    batches
}
