//! The lease on a move, held in a table row without synchronized clocks.
//!
//! The holder writes heartbeats to the row. An observer takes the lease once the row's version has
//! not changed for [`LEASE_TIMEOUT`] on the observer's own clock. Each write is conditional on the
//! row's version, so a delayed write of a former holder has no effect.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::decision::DecisionLine;
use crate::ids::MemberId;
use crate::ids::RowVersion;
use crate::platform::RowCondition;
use crate::platform::TableRow;

/// Time without a change of the row after which another member may take the lease.
pub const LEASE_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval between two heartbeats of the holder.
pub const LEASE_HEARTBEAT: Duration = Duration::from_secs(3);

/// Interval between two reads of the row by an observer.
pub const LEASE_READ_INTERVAL: Duration = Duration::from_secs(2);

/// Value of a lease row, stored as JSON.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRow {
    /// Member that holds the lease; `None` once it was released.
    pub holder: Option<MemberId>,
    /// Number of times that the lease changed its holder.
    pub epoch: u64,
    /// Number of writes in this epoch.
    pub beat: u64,
    /// Latest decision lines of the move, oldest first; filled in for the holder only and stored in
    /// a separate row.
    pub lines: Vec<DecisionLine>,
}

/// Next operation on the lease row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseAction {
    /// No operation is due.
    Nothing,
    /// Read the row.
    Read,
    /// Write the row under the condition, to take or renew the lease.
    Write(RowCondition, LeaseRow),
}

/// State of one lease as observed by one member.
#[derive(Clone, Debug)]
pub struct LeaseState {
    own_id: MemberId,
    seen: Option<SeenRow>,
    changed_at: Duration,
    read_at: Option<Duration>,
    written_at: Duration,
    stale: bool,
}

/// Last observed row; the version is `None` while the row is absent.
#[derive(Clone, Debug)]
struct SeenRow {
    version: Option<RowVersion>,
    row: LeaseRow,
}

impl LeaseState {
    /// Creates the state of a member that has not read the row yet.
    #[must_use]
    pub fn new(own_id: MemberId) -> LeaseState {
        LeaseState {
            own_id,
            seen: None,
            changed_at: Duration::ZERO,
            read_at: None,
            written_at: Duration::ZERO,
            stale: true,
        }
    }

    /// Handles the result of a read; a value that cannot be parsed counts as a released lease.
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

    /// Handles a successful write of `row` under `condition`.
    pub fn on_written(&mut self, condition: RowCondition, row: LeaseRow, now: Duration) {
        let RowCondition::At(before) = condition else {
            self.stale = true;
            return;
        };
        let seen = self
            .seen
            .as_ref()
            .filter(|seen| seen.version == Some(before));
        // After a change of holder the row is read again for the decision lines, which only the
        // new holder writes from then on.
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

    /// Marks the observed row as out of date, after a failed read or write or a lost answer. The row
    /// is read again before the next write.
    pub fn mark_stale(&mut self) {
        self.stale = true;
    }

    /// Returns whether this member holds the lease according to an up-to-date read or write of the
    /// row, and may therefore write it.
    #[must_use]
    pub fn is_held(&self) -> bool {
        let holder = self.seen.as_ref().and_then(|seen| seen.row.holder.as_ref());
        !self.stale && holder == Some(&self.own_id)
    }

    /// Returns whether the row must be read again to find out who holds the lease: a write of this
    /// member with an unknown result may have taken it.
    #[must_use]
    pub fn needs_reread(&self) -> bool {
        self.stale && self.seen.is_some()
    }

    /// Returns the decision lines of the last observed row.
    #[must_use]
    pub fn lines(&self) -> &[DecisionLine] {
        self.seen.as_ref().map_or(&[], |seen| &seen.row.lines)
    }

    /// Returns the operation that is due at `now` to take or keep the lease.
    pub fn next(&mut self, now: Duration) -> LeaseAction {
        if self.stale {
            return self.read_if_due(now);
        }
        let Some(seen) = self.seen.clone() else {
            return self.read_if_due(now);
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
            return self.read_if_due(now);
        }
        // The row may have changed since the last read, which can be older than the timeout.
        if !released && self.read_at.is_none_or(|at| now > at + LEASE_READ_INTERVAL) {
            return self.read_if_due(now);
        }
        let condition = seen.version.map_or(RowCondition::Absent, RowCondition::At);
        let row = LeaseRow {
            holder: Some(self.own_id.clone()),
            epoch: seen.row.epoch + 1,
            beat: 0,
            lines: seen.row.lines,
        };
        self.stale = true;
        LeaseAction::Write(condition, row)
    }

    /// Returns the holder's next row with these lines, and the version condition that rejects the
    /// write if another member changed the row.
    #[must_use]
    pub fn renewal(&self, lines: Vec<DecisionLine>) -> (RowCondition, LeaseRow) {
        let seen = self.seen.clone().unwrap_or(SeenRow {
            version: None,
            row: LeaseRow::default(),
        });
        let condition = seen.version.map_or(RowCondition::Absent, RowCondition::At);
        let row = LeaseRow {
            holder: Some(self.own_id.clone()),
            epoch: seen.row.epoch,
            beat: seen.row.beat + 1,
            lines,
        };
        (condition, row)
    }

    /// Returns the write that releases the lease; `None` if this member does not hold it.
    #[must_use]
    pub fn release(&self) -> Option<(RowCondition, LeaseRow)> {
        if !self.is_held() {
            return None;
        }
        let (condition, mut row) = self.renewal(self.lines().to_vec());
        row.holder = None;
        Some((condition, row))
    }

    fn read_if_due(&mut self, now: Duration) -> LeaseAction {
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
