//! A member's view of all members.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::Generation;
use crate::member::EndpointPhase;
use crate::member::EntryRank;
use crate::member::MemberEntry;
use crate::member::MemberHash;
use crate::member::MemberState;
use crate::member::RunHash;
use crate::member::member_hash;
use crate::member::run_hash;
use crate::tombstones::TombstoneTable;
use crate::view_digests::ViewDigests;

/// Changes made by a merge.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MergeOutcome {
    /// The entry changed in more than its served generation.
    pub changed: bool,
    /// Only the served generation changed.
    pub served: bool,
    /// The change should spread immediately: an endpoint is leaving or down, a member left, or this
    /// member refuted an entry.
    pub urgent: bool,
}

/// An entry with its derived values.
#[derive(Clone, Debug)]
pub(crate) struct ViewRecord {
    pub(crate) entry: MemberEntry,
    pub(crate) address: SocketAddr,
    pub(crate) run: RunHash,
    /// Time of the last change of the entry's state.
    pub(crate) state_since: Duration,
}

/// Entries of all known members, including the member itself.
#[derive(Clone, Debug)]
pub struct MemberView {
    own: MemberHash,
    records: BTreeMap<MemberHash, ViewRecord>,
    runs: BTreeMap<RunHash, MemberHash>,
    tombstones: TombstoneTable,
    advertised: BTreeMap<MemberHash, Generation>,
    digests: ViewDigests,
    revision: u64,
    changes: u64,
}

impl MemberView {
    /// Creates a view that contains only the member itself.
    pub fn new(own: MemberEntry) -> MemberView {
        let mut view = MemberView {
            own: member_hash(&own.id),
            records: BTreeMap::new(),
            runs: BTreeMap::new(),
            tombstones: TombstoneTable::default(),
            advertised: BTreeMap::new(),
            digests: ViewDigests::default(),
            revision: 0,
            changes: 0,
        };
        view.insert(own, Duration::ZERO);
        view
    }

    /// Returns all entries, in no particular order.
    pub fn entries(&self) -> impl Iterator<Item = &MemberEntry> {
        self.records.values().map(|record| &record.entry)
    }

    /// Returns the entries of the members that are alive or suspected.
    pub fn live(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries().filter(|entry| entry.state.is_live())
    }

    /// Returns the live entries of one region.
    pub fn live_in<'a>(&'a self, region: &'a str) -> impl Iterator<Item = &'a MemberEntry> {
        self.live().filter(move |entry| &*entry.region == region)
    }

    /// Returns the live entries whose endpoint runs `service`, in any phase.
    pub fn endpoints_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a MemberEntry> {
        self.live().filter(move |entry| {
            entry
                .endpoint
                .as_ref()
                .is_some_and(|endpoint| &*endpoint.service == service)
        })
    }

    /// Returns the entry of the member `id`.
    pub fn get(&self, id: &str) -> Option<&MemberEntry> {
        self.record(member_hash(id)).map(|record| &record.entry)
    }

    /// Returns the member's own entry.
    pub fn own(&self) -> &MemberEntry {
        &self.records[&self.own].entry
    }

    /// Returns the highest generation that the member `id` has ever advertised, in any incarnation; 0
    /// if none.
    pub fn advertised(&self, id: &str) -> Generation {
        self.advertised.get(&member_hash(id)).copied().unwrap_or(0)
    }

    /// Merges an entry that was received at `now`.
    ///
    /// A newer entry of the member itself is refuted instead of merged. An entry whose rank can't be
    /// refuted is ignored.
    pub fn merge(&mut self, entry: &MemberEntry, now: Duration) -> MergeOutcome {
        if !entry.rank().is_refutable() {
            return MergeOutcome::default();
        }
        let member = member_hash(&entry.id);
        if member == self.own {
            return self.refute(entry.rank());
        }
        self.record_advertised(member, entry.served);
        if !self.records.contains_key(&member) {
            return self.merge_new(member, entry, now);
        }
        let before = self.records[&member].entry.clone();
        let mut merged = before.clone();
        if !merged.merge(entry) {
            return MergeOutcome::default();
        }
        let urgent = is_urgent(Some(&before), &merged);
        let changed = !before.equals_except_served(&merged);
        let served = !changed && before.served != merged.served;
        self.replace(member, merged, now);
        MergeOutcome {
            changed,
            served,
            urgent,
        }
    }

    /// Merges the rank of a dead or left member. Returns whether an entry changed.
    pub fn merge_ended(&mut self, member: MemberHash, rank: EntryRank, now: Duration) -> bool {
        if !rank.is_refutable() {
            return false;
        }
        if member == self.own {
            return self.refute(rank).changed;
        }
        let Some(record) = self.records.get(&member) else {
            self.tombstones.insert(member, rank, now);
            return false;
        };
        if rank.state.is_live() || rank <= record.entry.rank() {
            return false;
        }
        let mut ended = record.entry.clone();
        if ended.incarnation != rank.incarnation {
            // The later incarnation's served generation and endpoint are unknown.
            ended.served = 0;
            ended.endpoint = None;
        }
        ended.incarnation = rank.incarnation;
        ended.counter = rank.counter;
        ended.state = rank.state;
        self.replace(member, ended, now);
        true
    }

    /// Records that a run of a member serves `generation`. Returns whether this is higher than the
    /// known one.
    pub fn record_served(&mut self, run: RunHash, generation: Generation) -> bool {
        let Some(member) = self.runs.get(&run).copied() else {
            return false;
        };
        if self.records[&member].entry.served >= generation {
            return false;
        }
        self.record_advertised(member, generation);
        if let Some(record) = self.records.get_mut(&member) {
            self.digests.remove(member, record);
            record.entry.served = generation;
            self.digests.add(member, record);
        }
        true
    }

    pub(crate) fn own_hash(&self) -> MemberHash {
        self.own
    }

    pub(crate) fn own_run(&self) -> RunHash {
        self.records[&self.own].run
    }

    /// Returns a counter that changes whenever a member joins, dies, leaves or returns.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns a counter that changes whenever an entry changes in more than its served generation.
    pub(crate) fn changes(&self) -> u64 {
        self.changes
    }

    pub(crate) fn record(&self, member: MemberHash) -> Option<&ViewRecord> {
        self.records.get(&member)
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = (MemberHash, &ViewRecord)> {
        self.records
            .iter()
            .map(|(member, record)| (*member, record))
    }

    pub(crate) fn by_run(&self, run: RunHash) -> Option<&ViewRecord> {
        self.runs
            .get(&run)
            .and_then(|member| self.records.get(member))
    }

    pub(crate) fn tombstones(&self) -> &TombstoneTable {
        &self.tombstones
    }

    /// Returns the highest known rank of a member, even after its entry was dropped.
    pub(crate) fn known_rank(&self, member: MemberHash) -> Option<EntryRank> {
        let held = self.records.get(&member).map(|record| record.entry.rank());
        held.max(self.tombstones.get(member))
    }

    pub(crate) fn digests(&self) -> &ViewDigests {
        &self.digests
    }

    /// Changes the member's own entry and increments its counter.
    pub(crate) fn change_own(&mut self, change: impl FnOnce(&mut MemberEntry)) {
        let mut entry = self.own().clone();
        change(&mut entry);
        entry.counter += 1;
        let state_since = self.records[&self.own].state_since;
        self.replace(self.own, entry, state_since);
    }

    /// Marks an alive member as suspect. Returns whether the state changed.
    pub(crate) fn suspect(&mut self, member: MemberHash, now: Duration) -> bool {
        self.set_state(member, MemberState::Alive, MemberState::Suspect, now)
    }

    /// Restarts the timeouts of all suspicions.
    pub(crate) fn renew_suspicions(&mut self, now: Duration) {
        for record in self.records.values_mut() {
            if record.entry.state == MemberState::Suspect {
                record.state_since = now;
            }
        }
    }

    /// Declares suspects of `region` dead after `suspect_timeout` and returns them. Drops the entries
    /// of members that have been dead or left for `retention`.
    pub(crate) fn expire(
        &mut self,
        region: &str,
        suspect_timeout: Duration,
        retention: Duration,
        now: Duration,
    ) -> Vec<MemberHash> {
        let mut dead = Vec::new();
        let mut ended = Vec::new();
        for (member, record) in &self.records {
            let age = now.saturating_sub(record.state_since);
            match record.entry.state {
                MemberState::Suspect => {
                    if &*record.entry.region == region && age >= suspect_timeout {
                        dead.push(*member);
                    }
                }
                MemberState::Dead | MemberState::Left => {
                    if *member != self.own && age >= retention {
                        ended.push(*member);
                    }
                }
                MemberState::Alive => {}
            }
        }
        for member in ended {
            self.drop_entry(member, now);
        }
        for member in &dead {
            self.set_state(*member, MemberState::Suspect, MemberState::Dead, now);
        }
        self.tombstones.expire(retention, now);
        dead
    }

    fn merge_new(
        &mut self,
        member: MemberHash,
        entry: &MemberEntry,
        now: Duration,
    ) -> MergeOutcome {
        if !entry.state.is_live() {
            self.tombstones.insert(member, entry.rank(), now);
            return MergeOutcome::default();
        }
        if self.tombstones.get(member) >= Some(entry.rank()) {
            return MergeOutcome::default();
        }
        if !self.insert(entry.clone(), now) {
            return MergeOutcome::default();
        }
        MergeOutcome {
            changed: true,
            served: false,
            urgent: is_urgent(None, entry),
        }
    }

    /// Raises the rank of the own entry above `rank`, if `rank` is higher.
    fn refute(&mut self, rank: EntryRank) -> MergeOutcome {
        let own = self.own();
        if rank <= own.rank() {
            return MergeOutcome::default();
        }
        let later_run = rank.incarnation > own.incarnation;
        self.change_own(|entry| {
            if later_run {
                entry.incarnation = rank.incarnation + 1;
            } else {
                entry.counter = rank.counter;
            }
        });
        MergeOutcome {
            changed: true,
            served: false,
            urgent: true,
        }
    }

    fn set_state(
        &mut self,
        member: MemberHash,
        from: MemberState,
        to: MemberState,
        now: Duration,
    ) -> bool {
        let Some(record) = self.records.get(&member) else {
            return false;
        };
        if record.entry.state != from || member == self.own {
            return false;
        }
        let mut entry = record.entry.clone();
        entry.state = to;
        self.replace(member, entry, now);
        true
    }

    fn insert(&mut self, entry: MemberEntry, now: Duration) -> bool {
        let Ok(address) = entry.id.parse() else {
            return false;
        };
        let member = member_hash(&entry.id);
        let run = run_hash(&entry.id, entry.incarnation);
        self.record_advertised(member, entry.served);
        self.tombstones.remove(member);
        self.runs.insert(run, member);
        let record = ViewRecord {
            entry,
            address,
            run,
            state_since: now,
        };
        self.digests.add(member, &record);
        self.records.insert(member, record);
        self.revision += 1;
        self.changes += 1;
        true
    }

    fn replace(&mut self, member: MemberHash, entry: MemberEntry, now: Duration) {
        let Some(record) = self.records.get_mut(&member) else {
            return;
        };
        self.digests.remove(member, record);
        if record.entry.state.is_live() != entry.state.is_live() {
            self.revision += 1;
        }
        if !record.entry.equals_except_served(&entry) {
            self.changes += 1;
        }
        if record.entry.state != entry.state {
            record.state_since = now;
        }
        if record.entry.incarnation != entry.incarnation {
            self.runs.remove(&record.run);
            record.run = run_hash(&entry.id, entry.incarnation);
            self.runs.insert(record.run, member);
        }
        record.entry = entry;
        self.digests.add(member, record);
    }

    /// Drops the entry of a dead or left member; a tombstone keeps its rank.
    fn drop_entry(&mut self, member: MemberHash, now: Duration) {
        let Some(record) = self.records.remove(&member) else {
            return;
        };
        self.digests.remove(member, &record);
        self.changes += 1;
        self.runs.remove(&record.run);
        self.tombstones.insert(member, record.entry.rank(), now);
    }

    fn record_advertised(&mut self, member: MemberHash, generation: Generation) {
        let highest = self.advertised.entry(member).or_default();
        *highest = generation.max(*highest);
    }
}

fn is_urgent(before: Option<&MemberEntry>, after: &MemberEntry) -> bool {
    if after.state == MemberState::Left {
        return before.is_some_and(|entry| entry.state != MemberState::Left);
    }
    let phase_of = |entry: &MemberEntry| entry.endpoint.as_ref().map(|endpoint| endpoint.phase);
    let phase = phase_of(after);
    phase.is_some_and(|phase| phase != EndpointPhase::Ready) && before.and_then(phase_of) != phase
}
