//! Counts of one time slice by endpoint and route, stored for comparisons.

use crate::evidence::LATENCY_BUCKETS;
use crate::evidence::RouteCounts;
use crate::ids::MemberIndex;
use crate::ids::RouteIndex;

/// Side of a comparison.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum VersionSide {
    /// The version that serves before the move.
    Old,
    /// The version that serves after the move.
    New,
}

/// Increase of the counts of one route at one endpoint in one slice.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SliceCounts {
    /// Calls that completed.
    pub calls: u32,
    /// Calls that failed.
    pub failures: u32,
    /// Number of successful calls in this latency bucket or a higher one, by bucket.
    pub at_least: [u32; LATENCY_BUCKETS],
}

impl SliceCounts {
    fn add(&mut self, growth: &RouteCounts) {
        self.calls = add_count(self.calls, growth.calls);
        self.failures = add_count(self.failures, growth.failures);
        let mut above = 0;
        for (count, more) in self.at_least.iter_mut().zip(growth.latency).rev() {
            above += more;
            *count = add_count(*count, above);
        }
    }
}

fn add_count(count: u32, more: u64) -> u32 {
    count.saturating_add(u32::try_from(more).unwrap_or(u32::MAX))
}

/// Identifies the counts of one endpoint on one route.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CountKey {
    /// Side of the endpoint's version.
    pub side: VersionSide,
    /// Index of the endpoint's daemon.
    pub member: MemberIndex,
    /// Index of the route.
    pub route: RouteIndex,
}

/// Counts of one endpoint on one route in one slice.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SliceCell {
    /// Endpoint and route.
    pub key: CountKey,
    /// Increase of the counts.
    pub counts: SliceCounts,
}

/// Increase of the counts in one time slice.
#[derive(Clone, Debug, Default)]
pub struct EvidenceSlice {
    /// Number of the slice since the daemon's start.
    pub number: u64,
    /// Increase of the counts, ordered by key.
    pub cells: Vec<SliceCell>,
    /// Endpoints that crashed in the slice.
    pub crashed: Vec<MemberIndex>,
}

impl EvidenceSlice {
    /// Adds an increase of the counts.
    pub fn add(&mut self, key: CountKey, growth: &RouteCounts) {
        let found = self.cells.binary_search_by_key(&key, |cell| cell.key);
        let position = found.unwrap_or_else(|position| {
            let counts = SliceCounts::default();
            self.cells.insert(position, SliceCell { key, counts });
            position
        });
        self.cells[position].counts.add(growth);
    }

    /// Removes the counts and crashes of an endpoint.
    pub fn remove_member(&mut self, member: MemberIndex) {
        self.cells.retain(|cell| cell.key.member != member);
        self.crashed.retain(|crashed| *crashed != member);
    }

    /// Returns the memory use of the slice in bytes.
    #[must_use]
    pub fn stored_bytes(&self) -> usize {
        size_of::<EvidenceSlice>()
            + self.cells.capacity() * size_of::<SliceCell>()
            + self.crashed.capacity() * size_of::<MemberIndex>()
    }
}
