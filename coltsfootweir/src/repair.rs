//! Repair of differences between two members (anti-entropy).
//!
//! A member whose digests differ from those in an answer sends its digests by bucket. The peer answers
//! with the rows of the buckets that differ. The member then sends what the peer lacks and requests
//! what it lacks itself. Both the rate of repairs and the part of the table that each covers are
//! bounded, so the cost doesn't grow with the rate of changes.

use std::collections::BTreeMap;

use crate::exchange::batch_served;
use crate::facts_table::FactHash;
use crate::gossip::GossipState;
use crate::gossip::is_due;
use crate::gossip_message::EntryRow;
use crate::gossip_message::GossipMessage;
use crate::gossip_message::RepairPart;
use crate::gossip_message::ServedBatch;
use crate::ids::Generation;
use crate::member::EntryRank;
use crate::member::MemberHash;
use crate::member::RunHash;
use crate::packed::PackedNumbers;
use crate::view_digests::VIEW_BUCKETS;
use crate::view_digests::bucket_of;

impl GossipState {
    /// Starts a repair with the sender of `answer`, if their digests differ and a repair is due.
    pub(crate) fn start_repair(&mut self, answer: &GossipMessage) -> Option<GossipMessage> {
        let own = self.digest();
        let joining = self.now.saturating_sub(self.started) < self.limits.join_time;
        let join_or = |interval| {
            if joining {
                self.limits.join_interval
            } else {
                interval
            }
        };
        let table_interval = join_or(self.limits.repair_interval);
        let table = own.table != answer.digest.table
            && is_due(self.last.table_repair, table_interval, self.now);
        // While many served generations are still queued, a difference is expected.
        let is_queue_short = self.served_queue.local.len() <= self.limits.message_served / 4;
        let served = is_queue_short
            && own.served != answer.digest.served
            && own.table == answer.digest.table
            && is_due(
                self.last.served_repair,
                self.limits.served_interval,
                self.now,
            );
        let facts = own.facts != answer.digest.facts
            && is_due(self.last.facts_repair, self.limits.facts_interval, self.now);
        if !table && !served && !facts {
            return None;
        }
        let mut compare = CompareParts {
            ranks: Vec::new(),
            served: Vec::new(),
            facts: None,
        };
        if table {
            self.last.table_repair = Some(self.now);
            compare.ranks = low_halves(self.view.digests().ranks());
        }
        if served {
            self.last.served_repair = Some(self.now);
            compare.served = low_halves(self.view.digests().served());
        }
        if facts {
            self.last.facts_repair = Some(self.now);
            compare.facts = Some(PackedNumbers(self.facts.hashes().collect()));
        }
        let mut message = self.empty_message();
        message.repair = Some(RepairPart::Compare {
            ranks: PackedNumbers(compare.ranks),
            served: PackedNumbers(compare.served),
            facts: compare.facts,
        });
        Some(message)
    }

    /// Adds to `answer` what the repair step of a request asks for.
    pub(crate) fn answer_repair(&mut self, part: RepairPart, answer: &mut GossipMessage) {
        match part {
            RepairPart::Compare {
                ranks,
                served,
                facts,
            } => {
                let mut buckets = differing_buckets(&ranks.0, self.view.digests().ranks());
                // Each member starts at a different bucket, so that together they cover all buckets.
                let start = (self.view.own_hash() % VIEW_BUCKETS as u64) as usize;
                buckets.sort_by_key(|bucket| (bucket + VIEW_BUCKETS - start) % VIEW_BUCKETS);
                buckets.truncate(self.limits.repair_buckets);
                let served_buckets = differing_buckets(&served.0, self.view.digests().served());
                answer
                    .served_batches
                    .extend(self.served_in(&served_buckets, &BTreeMap::new()));
                let mut facts_wanted = Vec::new();
                if let Some(facts) = facts {
                    facts_wanted = self.compare_facts(&facts.0, answer);
                }
                answer.repair = Some(RepairPart::Rows {
                    rows: self.rows_in(&buckets),
                    buckets: pack_buckets(&buckets),
                    served_buckets: pack_buckets(&served_buckets),
                    facts_wanted: PackedNumbers(facts_wanted),
                });
            }
            RepairPart::Wanted { members, ended } => {
                for row in ended {
                    self.apply_ended(&row);
                }
                for member in members.0 {
                    let Some(record) = self.view.record(member) else {
                        continue;
                    };
                    answer.entries.push(record.entry.clone());
                }
            }
            RepairPart::Rows { .. } => {}
        }
    }

    /// Applies the peer's answer to the first step. Returns the message that completes the repair, or
    /// `None` if nothing is missing.
    pub(crate) fn finish_repair(
        &mut self,
        part: &RepairPart,
        answer: &GossipMessage,
    ) -> Option<GossipMessage> {
        let RepairPart::Rows {
            buckets,
            rows,
            served_buckets,
            facts_wanted,
        } = part
        else {
            return None;
        };
        let mut peer_rows: BTreeMap<MemberHash, EntryRank> = BTreeMap::new();
        let mut wanted = Vec::new();
        for row in rows {
            peer_rows.insert(row.member, row.rank);
            if !row.rank.state.is_live() {
                self.apply_ended(row);
                continue;
            }
            if self.view.known_rank(row.member) < Some(row.rank) {
                wanted.push(row.member);
            }
        }
        let mut message = self.empty_message();
        let mut ended = Vec::new();
        let buckets = unpack_buckets(buckets);
        for row in self.rows_in(&buckets) {
            let peer_rank = peer_rows.get(&row.member).copied();
            if peer_rank >= Some(row.rank) {
                continue;
            }
            if !row.rank.state.is_live() {
                ended.extend(peer_rank.map(|_| row));
                continue;
            }
            message.entries.extend(
                self.view
                    .record(row.member)
                    .map(|record| record.entry.clone()),
            );
        }
        let served_buckets = unpack_buckets(served_buckets);
        let peer_served = served_by_run(&answer.served_batches);
        message.served_batches = self.served_in(&served_buckets, &peer_served);
        for hash in facts_wanted.0.iter().take(self.limits.message_facts) {
            self.add_fact(*hash, &mut message);
        }
        let empty = message.entries.is_empty()
            && message.served_batches.is_empty()
            && message.condemned.is_empty()
            && message.crashes.is_empty();
        if empty && wanted.is_empty() && ended.is_empty() {
            return None;
        }
        let members = PackedNumbers(wanted);
        message.repair = Some(RepairPart::Wanted { members, ended });
        Some(message)
    }

    fn apply_ended(&mut self, row: &EntryRow) {
        if !self.view.merge_ended(row.member, row.rank, self.now) {
            return;
        }
        self.spread_entry(row.member);
        self.refresh_peers();
    }

    fn rows_in(&self, buckets: &[usize]) -> Vec<EntryRow> {
        let mut rows = Vec::new();
        for (member, record) in self.view.records() {
            if buckets.contains(&bucket_of(member)) {
                rows.push(EntryRow {
                    member,
                    rank: record.entry.rank(),
                });
            }
        }
        for (member, rank) in self.view.tombstones().iter() {
            if buckets.contains(&bucket_of(member)) {
                rows.push(EntryRow { member, rank });
            }
        }
        rows
    }

    /// Returns the served generations in `buckets` that are higher than those in `known`.
    fn served_in(
        &self,
        buckets: &[usize],
        known: &BTreeMap<RunHash, Generation>,
    ) -> Vec<ServedBatch> {
        let mut runs = Vec::new();
        for (member, record) in self.view.records() {
            if !buckets.contains(&bucket_of(member)) || !record.entry.state.is_live() {
                continue;
            }
            let known = known.get(&record.run).copied().unwrap_or(0);
            if record.entry.served > known {
                runs.push((record.run, record.entry.served));
            }
        }
        batch_served(runs)
    }

    /// Adds the facts that the peer lacks to `answer`. Returns the hashes of those that this member
    /// lacks.
    fn compare_facts(&self, peer: &[FactHash], answer: &mut GossipMessage) -> Vec<FactHash> {
        let lacking: Vec<FactHash> = self
            .facts
            .hashes()
            .filter(|hash| !peer.contains(hash))
            .collect();
        for hash in lacking.into_iter().take(self.limits.message_facts) {
            self.add_fact(hash, answer);
        }
        peer.iter()
            .copied()
            .filter(|hash| !self.facts.holds(*hash))
            .collect()
    }

    fn add_fact(&self, hash: FactHash, message: &mut GossipMessage) {
        message
            .condemned
            .extend(self.facts.condemned_at(hash).cloned());
        message.crashes.extend(self.facts.crash_at(hash, self.now));
    }
}

struct CompareParts {
    ranks: Vec<u64>,
    served: Vec<u64>,
    facts: Option<PackedNumbers<8>>,
}

/// Returns the low 32 bits of each digest.
fn low_halves(digests: &[u64; VIEW_BUCKETS]) -> Vec<u64> {
    digests
        .iter()
        .map(|digest| digest & u64::from(u32::MAX))
        .collect()
}

/// Returns the buckets in which the peer's digests differ from the own ones; none if the peer sent
/// no digests.
fn differing_buckets(peer: &[u64], own: &[u64; VIEW_BUCKETS]) -> Vec<usize> {
    let mut buckets = Vec::new();
    for (bucket, (peer, own)) in peer.iter().zip(low_halves(own)).enumerate() {
        if *peer != own {
            buckets.push(bucket);
        }
    }
    buckets
}

fn pack_buckets(buckets: &[usize]) -> PackedNumbers<1> {
    PackedNumbers(buckets.iter().map(|bucket| *bucket as u64).collect())
}

fn unpack_buckets(buckets: &PackedNumbers<1>) -> Vec<usize> {
    buckets.0.iter().map(|bucket| *bucket as usize).collect()
}

fn served_by_run(batches: &[ServedBatch]) -> BTreeMap<RunHash, Generation> {
    let mut served = BTreeMap::new();
    for batch in batches {
        for run in &batch.runs.0 {
            served.insert(*run, batch.generation);
        }
    }
    served
}
