//! Counts of one slice of time, by endpoint and route, in the form that comparisons read.

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

/// Growth of the counts of one route at one endpoint in one slice.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SliceCounts {
    /// Calls that ran to an end.
    pub calls: u32,
    /// Calls that failed.
    pub failures: u32,
    /// Calls that did not fail and lie in this latency bucket or a higher one.
    pub at_least: [u32; LATENCY_BUCKETS],
}

impl SliceCounts {
    fn add(&mut self, growth: &RouteCounts) {
        self.calls = add_count(self.calls, growth.calls);
        self.failures = add_count(self.failures, growth.failures);
        let mut above = 0;
        for (own, more) in self.at_least.iter_mut().zip(growth.latency).rev() {
            above += more;
            *own = add_count(*own, above);
        }
    }
}

fn add_count(count: u32, more: u64) -> u32 {
    count.saturating_add(u32::try_from(more).unwrap_or(u32::MAX))
}

/// Which counts of a slice these are.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CountKey {
    /// Side of the endpoint's version.
    pub side: VersionSide,
    /// The endpoint's daemon.
    pub member: MemberIndex,
    /// The route.
    pub route: RouteIndex,
}

/// Counts of one endpoint on one route in one slice.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SliceCell {
    /// Endpoint and route.
    pub key: CountKey,
    /// Growth of the counts.
    pub counts: SliceCounts,
}

/// What the counts grew by in one slice of time.
#[derive(Clone, Debug, Default)]
pub struct EvidenceSlice {
    /// Number of the slice, counted from the daemon's start.
    pub number: u64,
    /// Growth of the counts, ordered by key.
    pub cells: Vec<SliceCell>,
    /// Endpoints that crashed in the slice.
    pub crashed: Vec<MemberIndex>,
}

impl EvidenceSlice {
    /// Adds growth of the counts.
    pub fn add(&mut self, key: CountKey, growth: &RouteCounts) {
        let found = self.cells.binary_search_by_key(&key, |cell| cell.key);
        let position = found.unwrap_or_else(|position| {
            let counts = SliceCounts::default();
            self.cells.insert(position, SliceCell { key, counts });
            position
        });
        self.cells[position].counts.add(growth);
    }

    /// Removes what is known of an endpoint.
    pub fn forget(&mut self, member: MemberIndex) {
        self.cells.retain(|cell| cell.key.member != member);
        self.crashed.retain(|crashed| *crashed != member);
    }

    /// Returns the bytes that the slice occupies.
    #[must_use]
    pub fn stored_bytes(&self) -> usize {
        size_of::<EvidenceSlice>()
            + self.cells.capacity() * size_of::<SliceCell>()
            + self.crashed.capacity() * size_of::<MemberIndex>()
    }
}
