//! Ranks of members whose entries were dropped, so that older entries don't restore them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::member::EntryRank;
use crate::member::MemberHash;

/// Retention of a tombstone as a multiple of the entry retention.
const RETENTION_FACTOR: u32 = 24;

/// Rank of a dead or left member.
#[derive(Clone, Debug)]
struct MemberTombstone {
    rank: EntryRank,
    recorded: Duration,
}

/// Tombstones of the dead or left members that have no entry.
#[derive(Clone, Debug, Default)]
pub(crate) struct TombstoneTable {
    tombstones: BTreeMap<MemberHash, MemberTombstone>,
}

impl TombstoneTable {
    /// Records the rank of a dead or left member; ignores a live rank and one that isn't higher.
    pub(crate) fn insert(&mut self, member: MemberHash, rank: EntryRank, now: Duration) {
        if rank.state.is_live() || self.get(member) >= Some(rank) {
            return;
        }
        let tombstone = MemberTombstone {
            rank,
            recorded: now,
        };
        self.tombstones.insert(member, tombstone);
    }

    /// Returns the recorded rank of a member.
    pub(crate) fn get(&self, member: MemberHash) -> Option<EntryRank> {
        self.tombstones.get(&member).map(|tombstone| tombstone.rank)
    }

    /// Removes the tombstone of a member that has an entry again.
    pub(crate) fn remove(&mut self, member: MemberHash) {
        self.tombstones.remove(&member);
    }

    /// Returns all members with their recorded ranks.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (MemberHash, EntryRank)> {
        self.tombstones
            .iter()
            .map(|(member, tombstone)| (*member, tombstone.rank))
    }

    /// Drops the tombstones that are older than [`RETENTION_FACTOR`] times `entry_retention`.
    pub(crate) fn expire(&mut self, entry_retention: Duration, now: Duration) {
        let kept = entry_retention * RETENTION_FACTOR;
        self.tombstones
            .retain(|_, tombstone| now.saturating_sub(tombstone.recorded) < kept);
    }
}
