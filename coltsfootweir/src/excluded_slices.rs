//! Slices excluded from comparisons because an endpoint was crashing or starting, so that its counts
//! are not representative of its version.

use std::ops::RangeInclusive;
use std::time::Duration;

use crate::evidence_pool::PoolView;
use crate::evidence_pool::SLICE_LENGTH;
use crate::evidence_pool::slice_number;
use crate::evidence_slice::VersionSide;
use crate::ids::MemberIndex;

/// Slices of each endpoint whose counts are excluded.
#[derive(Clone, Debug)]
pub struct ExcludedSlices {
    by_member: Vec<Vec<RangeInclusive<u64>>>,
}

impl ExcludedSlices {
    /// Returns a set without excluded slices.
    #[must_use]
    pub fn new(view: &PoolView) -> ExcludedSlices {
        ExcludedSlices {
            by_member: vec![Vec::new(); view.member_count],
        }
    }

    /// Excludes the slice before each crash, the slice of the crash and the time `after` it.
    pub fn add_crashes(&mut self, view: &PoolView, after: Duration) {
        for slice in &view.slices {
            for member in &slice.crashed {
                self.add(
                    *member,
                    slice.number.saturating_sub(1),
                    after + SLICE_LENGTH,
                );
            }
        }
    }

    /// Excludes the time `after` the first calls of each endpoint of the new version.
    pub fn add_starts(&mut self, view: &PoolView, after: Duration) {
        let mut started = vec![false; view.member_count];
        for slice in &view.slices {
            for cell in &slice.cells {
                let member = cell.key.member;
                if cell.key.side != VersionSide::New || started[member as usize] {
                    continue;
                }
                started[member as usize] = true;
                self.add(member, slice.number, after);
            }
        }
    }

    /// Returns whether the counts of an endpoint in a slice are excluded.
    #[must_use]
    pub fn contains(&self, member: MemberIndex, slice: u64) -> bool {
        let ranges = &self.by_member[member as usize];
        ranges.iter().any(|range| range.contains(&slice))
    }

    fn add(&mut self, member: MemberIndex, first: u64, length: Duration) {
        self.by_member[member as usize].push(first..=first + slice_number(length));
    }
}
