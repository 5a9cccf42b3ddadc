//! Digests of a view by bucket, which two members compare to find where their views differ.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::member::MemberHash;
use crate::view::ViewRecord;

/// Number of buckets into which the members are divided by hash.
pub(crate) const VIEW_BUCKETS: usize = 64;

/// Wrapping sums of the digests of all live records, by bucket.
#[derive(Clone, Debug)]
pub(crate) struct ViewDigests {
    ranks: [u64; VIEW_BUCKETS],
    served: [u64; VIEW_BUCKETS],
}

impl ViewDigests {
    /// Adds the digests of a record; a record that isn't live is ignored.
    pub(crate) fn add(&mut self, member: MemberHash, record: &ViewRecord) {
        self.change(member, record, u64::wrapping_add);
    }

    /// Subtracts the digests of a record that was added.
    pub(crate) fn remove(&mut self, member: MemberHash, record: &ViewRecord) {
        self.change(member, record, u64::wrapping_sub);
    }

    /// Returns the digests of the members' ranks.
    pub(crate) fn ranks(&self) -> &[u64; VIEW_BUCKETS] {
        &self.ranks
    }

    /// Returns the digests of the generations that the members serve.
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

/// Returns the bucket of a member.
pub(crate) fn bucket_of(member: MemberHash) -> usize {
    (member % VIEW_BUCKETS as u64) as usize
}
