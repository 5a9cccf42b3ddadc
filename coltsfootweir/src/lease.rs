//! The lease on a move, held in a table row without synchronized clocks.
//!
//! A holder writes a heartbeat into the row. An observer takes over after it saw the row's version
//! unchanged for a timeout on its own clock. Each write is conditional on the row's version, so a
//! late write of a former holder has no effect.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::decision::DecisionLine;
use crate::ids::MemberId;
use crate::ids::RowVersion;
use crate::platform::RowCondition;
use crate::platform::TableRow;

/// Time for which a row must stand unchanged before another member takes the lease.
pub const LEASE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time between two heartbeats of a holder.
pub const LEASE_HEARTBEAT: Duration = Duration::from_secs(3);

/// Time between two reads of the row by an observer.
pub const LEASE_READ_INTERVAL: Duration = Duration::from_secs(2);

/// Value of a lease row.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRow {
    /// Member that holds the lease; `None` once it was released.
    pub holder: Option<MemberId>,
    /// Count of the changes of holder.
    pub epoch: u64,
    /// Count of the writes in this epoch.
    pub beat: u64,
    /// Latest decision lines of the move, oldest first; known to the holder, and kept in a row apart.
    pub lines: Vec<DecisionLine>,
}

/// What the owner of a lease state is to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseAction {
    /// Nothing until later.
    Nothing,
    /// Read the row.
    Read,
    /// Write the row under the condition, to take or keep the lease.
    Write(RowCondition, LeaseRow),
}

/// What one member knows of one lease.
#[derive(Clone, Debug)]
pub struct LeaseState {
    own: MemberId,
    seen: Option<SeenRow>,
    changed_at: Duration,
    read_at: Option<Duration>,
    written_at: Duration,
    stale: bool,
}

/// A row as it was last seen; version `None` while the row is absent.
#[derive(Clone, Debug)]
struct SeenRow {
    version: Option<RowVersion>,
    row: LeaseRow,
}

impl LeaseState {
    /// Returns the state of a member that has not read the row yet.
    #[must_use]
    pub fn new(own: MemberId) -> LeaseState {
        LeaseState {
            own,
            seen: None,
            changed_at: Duration::ZERO,
            read_at: None,
            written_at: Duration::ZERO,
            stale: true,
        }
    }

    /// Takes in the row as a read gave it; a value that cannot be read counts as released.
    pub fn on_row(&mut self, row: Option<&TableRow>, now: Duration) {
        let version = row.map(|row| row.version);
        let known = self.seen.as_ref().map(|seen| seen.version);
        self.stale = false;
        if known != Some(version) {
            self.changed_at = now;
        }
        let row = row
            .and_then(|row| serde_json::from_str(&row.value).ok())
            .unwrap_or_default();
        self.seen = Some(SeenRow { version, row });
    }

    /// Takes in that a write of `row` under `condition` took effect.
    pub fn on_written(&mut self, condition: RowCondition, row: LeaseRow, now: Duration) {
        let RowCondition::At(before) = condition else {
            self.stale = true;
            return;
        };
        let seen = self
            .seen
            .as_ref()
            .filter(|seen| seen.version == Some(before));
        // The decision lines are read after the lease is taken, when nobody else writes them.
        if seen.is_none_or(|seen| seen.row.epoch != row.epoch) {
            self.written_at = now;
            self.stale = true;
            return;
        }
        self.seen = Some(SeenRow {
            version: Some(before + 1),
            row,
        });
        self.changed_at = now;
        self.written_at = now;
        self.stale = false;
    }

    /// Takes in that a write failed or that its answer was lost; the row is read before the next.
    pub fn mark_stale(&mut self) {
        self.stale = true;
    }

    /// Returns whether this member holds the lease as far as it knows and may write the row.
    #[must_use]
    pub fn is_held(&self) -> bool {
        let holder = self.seen.as_ref().and_then(|seen| seen.row.holder.as_ref());
        !self.stale && holder == Some(&self.own)
    }

    /// Returns whether a write of this member may have taken the lease without its knowledge.
    #[must_use]
    pub fn needs_reread(&self) -> bool {
        self.stale && self.seen.is_some()
    }

    /// Returns the lines of the row as it was last seen.
    #[must_use]
    pub fn lines(&self) -> &[DecisionLine] {
        self.seen.as_ref().map_or(&[], |seen| &seen.row.lines)
    }

    /// Returns what is to be done now by a member that wants the lease.
    pub fn next(&mut self, now: Duration) -> LeaseAction {
        if self.stale {
            return self.read(now);
        }
        let Some(seen) = self.seen.clone() else {
            return self.read(now);
        };
        if self.is_held() {
            if now < self.written_at + LEASE_HEARTBEAT {
                return LeaseAction::Nothing;
            }
            self.written_at = now;
            let (condition, row) = self.renewal(seen.row.lines);
            return LeaseAction::Write(condition, row);
        }
        let released = seen.row.holder.is_none();
        if !released && now < self.changed_at + LEASE_TIMEOUT {
            return self.read(now);
        }
        // The last read may be older than the timeout itself.
        if !released && self.read_at.is_none_or(|at| now > at + LEASE_READ_INTERVAL) {
            return self.read(now);
        }
        let condition = seen.version.map_or(RowCondition::Absent, RowCondition::At);
        let row = LeaseRow {
            holder: Some(self.own.clone()),
            epoch: seen.row.epoch + 1,
            beat: 0,
            lines: seen.row.lines,
        };
        self.stale = true;
        LeaseAction::Write(condition, row)
    }

    /// Returns the holder's next row with these lines and the condition that fences it.
    #[must_use]
    pub fn renewal(&self, lines: Vec<DecisionLine>) -> (RowCondition, LeaseRow) {
        let seen = self.seen.clone().unwrap_or(SeenRow {
            version: None,
            row: LeaseRow::default(),
        });
        let condition = seen.version.map_or(RowCondition::Absent, RowCondition::At);
        let row = LeaseRow {
            holder: Some(self.own.clone()),
            epoch: seen.row.epoch,
            beat: seen.row.beat + 1,
            lines,
        };
        (condition, row)
    }

    /// Returns the row that gives the lease up, when this member holds it.
    #[must_use]
    pub fn release(&self) -> Option<(RowCondition, LeaseRow)> {
        if !self.is_held() {
            return None;
        }
        let (condition, mut row) = self.renewal(self.lines().to_vec());
        row.holder = None;
        Some((condition, row))
    }

    fn read(&mut self, now: Duration) -> LeaseAction {
        if !self.stale
            && self
                .read_at
                .is_some_and(|at| now < at + LEASE_READ_INTERVAL)
        {
            return LeaseAction::Nothing;
        }
        self.read_at = Some(now);
        LeaseAction::Read
    }
}
