//! Seed rows: addresses of a few members of each region in the platform's table. They let daemons
//! discover each other without a configured list, even after a region has lost all its VMs.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::MemberId;
use crate::member::MemberEntry;
use crate::rank::rank_members;

/// Prefix of the keys of seed rows.
pub const SEED_PREFIX: &str = "seed/";

/// Maximum number of addresses in a row.
pub const SEED_COUNT: usize = 5;

/// Minimum time between two writes by one member.
pub const WRITE_INTERVAL: Duration = Duration::from_secs(10);

/// Interval between reads while the view holds other members.
pub const READ_INTERVAL: Duration = Duration::from_secs(60);

/// Interval between reads while the view holds no other member, or after a failed read.
pub const ALONE_READ_INTERVAL: Duration = Duration::from_secs(2);

/// Number of members of a region that maintain its row.
const WRITER_COUNT: usize = 1;

/// Value of the row `seed/<region>`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SeedRow {
    /// Control addresses of members.
    pub addresses: Vec<SocketAddr>,
}

impl SeedRow {
    /// Creates the row for the live members of a region.
    pub fn from_members<'a>(live: impl Iterator<Item = &'a MemberEntry>) -> SeedRow {
        let mut addresses = Vec::new();
        for entry in rank_members("seed", live).into_iter().take(SEED_COUNT) {
            if let Ok(address) = entry.id.parse() {
                addresses.push(address);
            }
        }
        SeedRow { addresses }
    }
}

/// Decides when a member reads the seed rows and when it writes the row of its region.
#[derive(Debug, Default)]
pub struct SeedSchedule {
    last_read: Option<Duration>,
    read_failed: bool,
    last_written: Option<Duration>,
}

impl SeedSchedule {
    /// Returns whether to read the rows now: every [`ALONE_READ_INTERVAL`] while no other member is
    /// known, otherwise every [`READ_INTERVAL`] by the member that maintains the row.
    pub fn should_read<'a>(
        &mut self,
        own: &MemberId,
        live: impl Iterator<Item = &'a MemberEntry>,
        now: Duration,
    ) -> bool {
        let live: Vec<&MemberEntry> = live.collect();
        let interval = if live.len() <= 1 || self.read_failed {
            ALONE_READ_INTERVAL
        } else {
            READ_INTERVAL
        };
        let is_due = self
            .last_read
            .is_none_or(|read| now.saturating_sub(read) >= interval);
        if !is_due || !is_row_writer(own, &live) {
            return false;
        }
        self.last_read = Some(now);
        self.read_failed = false;
        true
    }

    /// Records a failed read; the rows are read again after [`ALONE_READ_INTERVAL`].
    pub fn on_read_failure(&mut self) {
        self.read_failed = true;
    }

    /// Returns the row to write, if it differs from the stored row `held` and a write is due.
    pub fn row_to_write<'a>(
        &self,
        own: &MemberId,
        held: &SeedRow,
        live: impl Iterator<Item = &'a MemberEntry>,
        now: Duration,
    ) -> Option<SeedRow> {
        let live: Vec<&MemberEntry> = live.collect();
        let is_due = self
            .last_written
            .is_none_or(|last| now.saturating_sub(last) >= WRITE_INTERVAL);
        if !is_due || !is_row_writer(own, &live) {
            return None;
        }
        let row = SeedRow::from_members(live.into_iter());
        (row != *held).then_some(row)
    }

    /// Records a successful write.
    pub fn on_written(&mut self, now: Duration) {
        self.last_written = Some(now);
    }

    /// Records that another member changed the row; it is read again at the next check.
    pub fn on_conflict(&mut self) {
        self.last_read = None;
    }
}

fn is_row_writer(own: &MemberId, live: &[&MemberEntry]) -> bool {
    let ranked = rank_members("seed", live.iter().copied());
    ranked
        .iter()
        .take(WRITER_COUNT)
        .any(|entry| entry.id == *own)
}
