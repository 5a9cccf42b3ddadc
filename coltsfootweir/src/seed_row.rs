//! Addresses of a few members of each region, kept in the platform's table so that daemons find
//! one another without a list, also after a region lost all its VMs.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::MemberId;
use crate::member::MemberEntry;
use crate::rank::rank_members;

/// Prefix of the keys of seed rows.
pub const SEED_PREFIX: &str = "seed/";

/// Addresses in a row.
pub const SEED_COUNT: usize = 5;

/// Shortest time between two writes of one member.
pub const WRITE_INTERVAL: Duration = Duration::from_secs(10);

/// Time between two reads by a member that knows others.
pub const READ_INTERVAL: Duration = Duration::from_secs(60);

/// Time between two reads by a member that knows no other, or after a read that failed.
pub const LONELY_READ_INTERVAL: Duration = Duration::from_secs(2);

/// Members of a region that keep its row.
const KEEPER_COUNT: usize = 1;

/// Value of the row `seed/<region>`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SeedRow {
    /// Control addresses.
    pub addresses: Vec<SocketAddr>,
}

impl SeedRow {
    /// The row that the live members of a region should have.
    pub fn of<'a>(live: impl Iterator<Item = &'a MemberEntry>) -> SeedRow {
        let mut addresses = Vec::new();
        for entry in rank_members("seed", live).into_iter().take(SEED_COUNT) {
            if let Ok(address) = entry.id.parse() {
                addresses.push(address);
            }
        }
        SeedRow { addresses }
    }
}

/// When a member reads the seed rows and when it writes its region's.
#[derive(Debug, Default)]
pub struct SeedSchedule {
    read: Option<Duration>,
    read_failed: bool,
    written: Option<Duration>,
}

impl SeedSchedule {
    /// Returns whether the rows are to be read now: often while alone, else now and then by the
    /// member that keeps the row.
    pub fn wants_read<'a>(
        &mut self,
        own: &MemberId,
        live: impl Iterator<Item = &'a MemberEntry>,
        now: Duration,
    ) -> bool {
        let live: Vec<&MemberEntry> = live.collect();
        let interval = if live.len() <= 1 || self.read_failed {
            LONELY_READ_INTERVAL
        } else {
            READ_INTERVAL
        };
        let is_due = self
            .read
            .is_none_or(|read| now.saturating_sub(read) >= interval);
        if !is_due || !is_keeper(own, &live) {
            return false;
        }
        self.read = Some(now);
        self.read_failed = false;
        true
    }

    /// Notes that the rows could not be read, so that they are read again soon.
    pub fn note_failure(&mut self) {
        self.read_failed = true;
    }

    /// Returns the row to write when the one read is another.
    pub fn wants_write<'a>(
        &self,
        own: &MemberId,
        held: &SeedRow,
        live: impl Iterator<Item = &'a MemberEntry>,
        now: Duration,
    ) -> Option<SeedRow> {
        let live: Vec<&MemberEntry> = live.collect();
        let is_due = self
            .written
            .is_none_or(|last| now.saturating_sub(last) >= WRITE_INTERVAL);
        if !is_due || !is_keeper(own, &live) {
            return None;
        }
        let row = SeedRow::of(live.into_iter());
        (row != *held).then_some(row)
    }

    /// Notes that the row was written.
    pub fn note_written(&mut self, now: Duration) {
        self.written = Some(now);
    }

    /// Notes that the row was changed by another member, so that it is read again soon.
    pub fn note_conflict(&mut self) {
        self.read = None;
    }
}

fn is_keeper(own: &MemberId, live: &[&MemberEntry]) -> bool {
    let ranked = rank_members("seed", live.iter().copied());
    ranked
        .iter()
        .take(KEEPER_COUNT)
        .any(|entry| entry.id == *own)
}
