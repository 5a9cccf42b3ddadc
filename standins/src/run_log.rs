//! Log of every request an upstream stand-in ran: the oracle for "not run" and "at most once".

use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::millis;

/// Entries kept; older ones are dropped and counted.
pub const MAX_RUN_ENTRIES: usize = 500_000;

/// Number of a run, from 1 in start order.
pub type RunNumber = u64;

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RunOutcome {
    /// It still runs.
    Running,
    /// It ended and its answer was made.
    Finished,
    /// It ended and its answer says it failed.
    Failed,
    /// It was ended at its deadline.
    Expired,
    /// Its caller hung up, and it was ended.
    Cancelled,
    /// The upstream crashed while it ran.
    Crashed,
}

/// What identifies a request to the upstream.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunRequest {
    /// Value of `x-request-id`.
    pub request_id: Option<Box<str>>,
    /// Value of `idempotency-key`.
    pub idempotency_key: Option<Box<str>>,
    /// Path and query of the request.
    pub path: Box<str>,
}

/// One run of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunEntry {
    /// Number of the run, in start order.
    pub run: RunNumber,
    /// The request.
    #[serde(flatten)]
    pub request: RunRequest,
    /// Start of the run, since the upstream was made; whole milliseconds.
    #[serde(with = "millis", rename = "started_ms")]
    pub started: Duration,
    /// Whether the upstream had said that it was leaving when the run started.
    pub after_leave: bool,
    /// How it ended.
    pub outcome: RunOutcome,
}

/// Runs in start order.
#[derive(Debug, Default)]
pub struct RunLog {
    entries: VecDeque<RunEntry>,
    dropped: u64,
}

impl RunLog {
    /// Records the start of a run and returns its number.
    pub fn start_run(
        &mut self,
        request: RunRequest,
        started: Duration,
        after_leave: bool,
    ) -> RunNumber {
        if self.entries.len() == MAX_RUN_ENTRIES {
            self.entries.pop_front();
            self.dropped += 1;
        }
        let run = self.total() + 1;
        let started_ms = u64::try_from(started.as_millis()).unwrap_or(u64::MAX);
        self.entries.push_back(RunEntry {
            run,
            request,
            started: Duration::from_millis(started_ms),
            after_leave,
            outcome: RunOutcome::Running,
        });
        run
    }

    /// Records how a run ended.
    pub fn end_run(&mut self, run: RunNumber, outcome: RunOutcome) {
        let Some(index) = run.checked_sub(self.dropped + 1) else {
            return;
        };
        let Ok(index) = usize::try_from(index) else {
            return;
        };
        if let Some(entry) = self.entries.get_mut(index) {
            entry.outcome = outcome;
        }
    }

    /// Number of runs started.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.dropped + self.entries.len() as u64
    }

    /// Runs with a number above `after`, in start order.
    #[must_use]
    pub fn entries_after(&self, after: RunNumber) -> Vec<RunEntry> {
        let skipped = after.saturating_sub(self.dropped);
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        self.entries.iter().skip(skipped).cloned().collect()
    }
}
