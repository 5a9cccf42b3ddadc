//! Version of a row or of the whole store, with the era that gave it out.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::RowVersion;

/// Number of times that the store has come back from a copy, as the store counts them.
pub type StoreEra = u32;

/// Bits of the row version.
const ROW_BITS: u32 = 44;

/// Highest era that fits beside a row version.
const MAX_ERA: StoreEra = (1 << (u64::BITS - ROW_BITS)) - 1;

/// Version that the store gave out in one of its eras. A later era is newer, whatever the row version.
///
/// Daemons send it as one number. Without eras this is the row version alone, as in earlier builds, and an
/// earlier build that compares the numbers gets the same order.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct StoreVersion(u64);

impl StoreVersion {
    /// Version of a row that does not exist, in any era.
    pub const ABSENT: StoreVersion = StoreVersion(0);

    /// Creates the version that the store gave out as `row` in the era `era`; `None` if one of them is out
    /// of range.
    #[must_use]
    pub fn new(era: StoreEra, row: RowVersion) -> Option<StoreVersion> {
        let is_in_range = era <= MAX_ERA && row >> ROW_BITS == 0;
        is_in_range.then(|| StoreVersion(u64::from(era) << ROW_BITS | row))
    }

    /// Returns the era.
    #[must_use]
    pub fn era(self) -> StoreEra {
        (self.0 >> ROW_BITS) as StoreEra
    }

    /// Returns the version as the store counts it in its era.
    #[must_use]
    pub fn row(self) -> RowVersion {
        self.0 & ((1 << ROW_BITS) - 1)
    }

    /// Returns whether this is the version of a row that does not exist.
    #[must_use]
    pub fn is_absent(self) -> bool {
        self.row() == 0
    }

    /// Returns whether the store gave this version out after `other`, in the same era. What was written in
    /// different eras is not ordered by it: either may be from the copy.
    #[must_use]
    pub fn follows(self, other: StoreVersion) -> bool {
        self.era() == other.era() && self > other
    }
}

impl fmt::Display for StoreVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era() {
            0 => write!(f, "{}", self.row()),
            era => write!(f, "{era}:{}", self.row()),
        }
    }
}
