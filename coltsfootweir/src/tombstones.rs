//! Ranks of members whose entries were dropped, so that older entries do not bring them back.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::member::EntryRank;
use crate::member::MemberHash;

/// Multiple of the entry retention for which a tombstone is kept.
const RETENTION_FACTOR: u32 = 24;

/// Rank of a member that ended.
#[derive(Clone, Debug)]
struct MemberTombstone {
    rank: EntryRank,
    noted: Duration,
}

/// Tombstones of the members that ended and have no entry.
#[derive(Clone, Debug, Default)]
pub(crate) struct TombstoneTable {
    tombstones: BTreeMap<MemberHash, MemberTombstone>,
}

impl TombstoneTable {
    /// Keeps the rank of a member that ended; a live or a lower rank is passed over.
    pub(crate) fn note(&mut self, member: MemberHash, rank: EntryRank, now: Duration) {
        if rank.state.is_live() || self.get(member) >= Some(rank) {
            return;
        }
        let tombstone = MemberTombstone { rank, noted: now };
        self.tombstones.insert(member, tombstone);
    }

    /// Rank that is kept of a member.
    pub(crate) fn get(&self, member: MemberHash) -> Option<EntryRank> {
        self.tombstones.get(&member).map(|tombstone| tombstone.rank)
    }

    /// Forgets a member that has an entry again.
    pub(crate) fn remove(&mut self, member: MemberHash) {
        self.tombstones.remove(&member);
    }

    /// Members and the ranks that are kept of them.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (MemberHash, EntryRank)> {
        self.tombstones
            .iter()
            .map(|(member, tombstone)| (*member, tombstone.rank))
    }

    /// Drops the tombstones that are older than a multiple of the entry retention.
    pub(crate) fn expire(&mut self, entry_retention: Duration, now: Duration) {
        let kept = entry_retention * RETENTION_FACTOR;
        self.tombstones
            .retain(|_, tombstone| now.saturating_sub(tombstone.noted) < kept);
    }
}
