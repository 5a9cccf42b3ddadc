//! Builds gossip messages and merges received ones into the state.

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

/// Maximum number of changed entries in an urgent message.
const URGENT_ENTRIES: usize = 4;

/// Maximum number of served generations in an urgent message.
const URGENT_SERVED: usize = 8;

impl GossipState {
    /// Merges a message that arrived at `now` and returns the answer.
    ///
    /// [`GossipState::take_urgent`] then returns the pushes that the message triggered.
    pub fn receive(&mut self, message: GossipMessage, now: Duration) -> GossipMessage {
        self.advance(now);
        self.merge_message(&message);
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

    /// Merges the answer of `peer` that arrived at `now` and returns the exchanges that follow from
    /// it, such as a repair.
    pub fn on_answer(
        &mut self,
        peer: SocketAddr,
        message: GossipMessage,
        now: Duration,
    ) -> Vec<GossipAction> {
        self.advance(now);
        self.merge_message(&message);
        self.floor_answered |= message.floor.is_some() && message.region == self.region;
        let mut actions = self.take_urgent();
        let follow_up = match &message.repair {
            Some(part) => self.finish_repair(part, &message),
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

    /// Builds a message with the queued changes; `to` is the receiver, if its id is known.
    pub(crate) fn message_to(&mut self, to: Option<MemberHash>, cause: LinkCause) -> GossipMessage {
        let mut message = self.empty_message();
        if cause != LinkCause::Repair {
            let remote = self.remote_region_of(to);
            match remote.filter(|_| self.peers.is_link_holder) {
                None => self.add_local_changes(&mut message, cause),
                Some(region) if self.region_reachable(&region, self.now) => {
                    self.add_remote_changes(&mut message);
                }
                // While the region is unreachable, changes stay queued: sent ones would be lost.
                Some(_) => {}
            }
        }
        self.add_receiver_entry(to, &mut message);
        message
    }

    fn remote_region_of(&self, to: Option<MemberHash>) -> Option<RegionName> {
        let record = to.and_then(|to| self.view.record(to))?;
        (record.entry.region != self.region).then(|| record.entry.region.clone())
    }

    fn add_local_changes(&mut self, message: &mut GossipMessage, cause: LinkCause) {
        let (entries, served) = match cause {
            LinkCause::Urgent => (URGENT_ENTRIES, URGENT_SERVED),
            _ => (self.limits.message_entries, self.limits.message_served),
        };
        let members = self.peers.local.len();
        let sends = send_limit(self.limits.entry_sends, members);
        let served_sends = send_limit(self.limits.served_sends, members);
        let changes = self.entry_queue.local.take(entries, sends);
        self.add_entries(message, changes);
        let runs = self.served_queue.local.take(served, served_sends);
        self.add_served(message, runs);
        let facts = self.fact_queue.local.take(self.limits.message_facts, sends);
        self.add_facts(message, facts);
    }

    fn add_remote_changes(&mut self, message: &mut GossipMessage) {
        let changes = self
            .entry_queue
            .remote
            .take(self.limits.remote_entries, self.limits.remote_sends);
        self.add_entries(message, changes);
        let runs = self
            .served_queue
            .remote
            .take(self.limits.remote_served, self.limits.remote_sends);
        self.add_served(message, runs);
        let facts = self
            .fact_queue
            .remote
            .take(self.limits.message_facts, self.limits.remote_sends);
        self.add_facts(message, facts);
    }

    pub(crate) fn empty_message(&self) -> GossipMessage {
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
        for (region, heard) in &self.last_heard {
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

    /// Adds the receiver's own entry if this member doesn't hold it as alive, so that the receiver
    /// can refute it. Adds this member's entry if the receiver is not a known member.
    fn add_receiver_entry(&self, to: Option<MemberHash>, message: &mut GossipMessage) {
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

    fn merge_message(&mut self, message: &GossipMessage) {
        if message.from == self.id {
            return;
        }
        self.merge_region_ages(message);
        // A joining member receives entries that the others already have or get by repairs, so it
        // spreads only urgent ones.
        let is_joining = self.is_joining();
        for entry in &message.entries {
            let member = member_hash(&entry.id);
            let outcome = self.view.merge(entry, self.now);
            if outcome.changed && (outcome.urgent || !is_joining) {
                self.spread_entry(member);
            }
            // An entry that others send as well needs fewer sends by this member.
            if !outcome.changed && self.view.known_rank(member) == Some(entry.rank()) {
                let sends = send_limit(self.limits.entry_sends, self.peers.local.len());
                self.entry_queue.local.count_duplicate(member, sends);
            }
            if outcome.served {
                self.spread_served(run_hash(&entry.id, entry.incarnation));
            }
            self.urgent_due |= outcome.urgent;
        }
        let from = run_hash(&message.from, message.incarnation);
        self.merge_served(from, message.served);
        for batch in &message.served_batches {
            for run in &batch.runs.0 {
                self.merge_served(*run, batch.generation);
            }
        }
        self.merge_head(message);
        self.merge_facts(message);
        self.refresh_peers();
    }

    fn merge_region_ages(&mut self, message: &GossipMessage) {
        if message.region != self.region {
            self.last_heard.insert(message.region.clone(), self.now);
        }
        for age in &message.regions {
            if age.region == self.region {
                continue;
            }
            let Some(heard) = self.now.checked_sub(age.age()) else {
                continue;
            };
            let latest = self.last_heard.entry(age.region.clone()).or_insert(heard);
            *latest = heard.max(*latest);
        }
    }

    fn merge_served(&mut self, run: RunHash, generation: Generation) {
        if self.view.record_served(run, generation) {
            self.spread_served(run);
            return;
        }
        let sends = send_limit(self.limits.served_sends, self.peers.local.len());
        self.served_queue.local.count_duplicate(run, sends);
    }

    fn spread_served(&mut self, run: RunHash) {
        let record = self.view.by_run(run);
        let own = record.is_some_and(|record| record.entry.region == self.region);
        self.served_queue.push(run, own);
    }

    fn merge_head(&mut self, message: &GossipMessage) {
        let serves = message.served >= message.head.generation;
        let server = serves.then(|| member_hash(&message.from));
        self.head.add_peer_claim(&message.head, server, self.now);
    }

    fn merge_facts(&mut self, message: &GossipMessage) {
        let mut new_facts = Vec::new();
        for fact in &message.condemned {
            new_facts.extend(self.facts.condemn(fact.clone()));
        }
        for crash in &message.crashes {
            let age = Duration::from_secs(u64::from(crash.seconds));
            new_facts.extend(self.facts.crash(crash.fact.clone(), age, self.now));
        }
        self.urgent_due |= !new_facts.is_empty();
        for hash in new_facts {
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
