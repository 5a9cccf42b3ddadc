//! Removes old claim rows, a bounded number in each pass.
//!
//! Timed rows are listed oldest first, so that a pass with nothing to remove reads a single page.
//! Concurrent passes, a pass that is paused midway and a removal whose answer is lost are safe, because
//! a row that was removable once stays removable.

use std::time::Duration;
use std::time::SystemTime;

use crate::claim_row::ClaimValue;
use crate::claim_row::TIMED_PREFIX;
use crate::claim_row::TimedClaim;
use crate::platform::CommitOutcome;
use crate::platform::KeyRange;
use crate::platform::RowCondition;
use crate::platform::RowWrite;
use crate::platform::TableRow;

/// Maximum number of rows read, or claims removed, by one operation.
pub const PAGE_ROWS: usize = 50;

/// Maximum number of pages read in one pass.
pub const PASS_PAGES: usize = 10;

/// Time between two passes while more old rows may remain.
pub const BUSY_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two passes otherwise.
pub const IDLE_INTERVAL: Duration = Duration::from_secs(60);

/// Next action of a pass.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimAction {
    /// Read these rows.
    List(KeyRange),
    /// Commit these writes, which remove this number of claims.
    Remove(Vec<RowWrite>, usize),
    /// The pass has ended. Start the next one after this time.
    Wait(Duration),
}

/// One removal pass over the oldest timed rows.
#[derive(Debug)]
pub struct ClaimRemoval {
    after: Box<str>,
    pages_left: usize,
    /// Whether rows after the last page may be old too.
    has_more: bool,
}

impl ClaimRemoval {
    /// Starts a pass and returns its first action.
    #[must_use]
    pub fn start() -> (ClaimRemoval, ClaimAction) {
        let mut pass = ClaimRemoval {
            after: TIMED_PREFIX.into(),
            pages_left: PASS_PAGES,
            has_more: true,
        };
        let action = pass.next_page();
        (pass, action)
    }

    /// Handles the listed rows. `wall` is the wall-clock time.
    pub fn on_page(&mut self, rows: &[TableRow], wall: SystemTime) -> ClaimAction {
        let mut writes = Vec::new();
        let mut claims = 0;
        self.has_more = rows.len() >= PAGE_ROWS;
        for row in rows {
            self.after = row.key.clone();
            let Some(claim) = TimedClaim::parse(&row.key) else {
                continue;
            };
            if !claim.is_removable(wall) {
                self.has_more = false;
                break;
            }
            claims += 1;
            writes.push(removal(&row.key, RowCondition::At(row.version)));
            if is_paired(row) {
                writes.push(removal(&claim.plain, RowCondition::Any));
            }
        }
        if claims == 0 {
            return self.next_page();
        }
        ClaimAction::Remove(writes, claims)
    }

    /// Handles the outcome of a removal. A conflict means that another pass is removing the same rows.
    pub fn on_removed(&mut self, outcome: &CommitOutcome) -> ClaimAction {
        match outcome {
            CommitOutcome::Committed => self.next_page(),
            CommitOutcome::Conflict(_) => ClaimAction::Wait(IDLE_INTERVAL),
        }
    }

    fn next_page(&mut self) -> ClaimAction {
        if !self.has_more {
            return ClaimAction::Wait(IDLE_INTERVAL);
        }
        if self.pages_left == 0 {
            return ClaimAction::Wait(BUSY_INTERVAL);
        }
        self.pages_left -= 1;
        ClaimAction::List(KeyRange {
            prefix: TIMED_PREFIX.into(),
            after: self.after.clone(),
            limit: PAGE_ROWS,
        })
    }
}

fn removal(key: &str, condition: RowCondition) -> RowWrite {
    RowWrite {
        key: key.into(),
        condition,
        value: None,
    }
}

fn is_paired(row: &TableRow) -> bool {
    serde_json::from_str(&row.value).is_ok_and(|value: ClaimValue| value.is_paired)
}
