//! Digests of a view, by bucket, which show two members where their views differ.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::member::MemberHash;
use crate::view::ViewRecord;

/// Buckets into which the view's digests are split.
pub(crate) const VIEW_BUCKETS: usize = 64;

/// Sums of the digests of all live records, by bucket.
#[derive(Clone, Debug)]
pub(crate) struct ViewDigests {
    ranks: [u64; VIEW_BUCKETS],
    served: [u64; VIEW_BUCKETS],
}

impl ViewDigests {
    /// Adds a record; one that is not live has no digest.
    pub(crate) fn add(&mut self, member: MemberHash, record: &ViewRecord) {
        self.change(member, record, u64::wrapping_add);
    }

    /// Takes out a record that was added.
    pub(crate) fn remove(&mut self, member: MemberHash, record: &ViewRecord) {
        self.change(member, record, u64::wrapping_sub);
    }

    /// Digests of the members' ranks.
    pub(crate) fn ranks(&self) -> &[u64; VIEW_BUCKETS] {
        &self.ranks
    }

    /// Digests of the generations that the members serve.
    pub(crate) fn served(&self) -> &[u64; VIEW_BUCKETS] {
        &self.served
    }

    fn change(&mut self, member: MemberHash, record: &ViewRecord, apply: fn(u64, u64) -> u64) {
        if !record.entry.state.is_live() {
            return;
        }
        let rank = record.entry.rank().digest(member);
        let served = xxh3_64_with_seed(&record.run.to_le_bytes(), record.entry.served);
        let bucket = bucket_of(member);
        self.ranks[bucket] = apply(self.ranks[bucket], rank);
        self.served[bucket] = apply(self.served[bucket], served);
    }
}

impl Default for ViewDigests {
    fn default() -> ViewDigests {
        ViewDigests {
            ranks: [0; VIEW_BUCKETS],
            served: [0; VIEW_BUCKETS],
        }
    }
}

/// Bucket of a member.
pub(crate) fn bucket_of(member: MemberHash) -> usize {
    (member % VIEW_BUCKETS as u64) as usize
}
