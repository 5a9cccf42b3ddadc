//! Samples of the head over time, from which the age of old generations is derived.
//!
//! The history is a row of the platform's table, because the daemon that removes objects changes over
//! time.

use std::time::Duration;
use std::time::SystemTime;

use serde::Deserialize;
use serde::Serialize;

use crate::accept::read_head;
use crate::ids::Generation;
use crate::ids::WriteId;
use crate::platform::PlatformResult;
use crate::platform::PlatformStore;
use crate::platform::RowCondition;
use crate::platform::RowWrite;
use crate::platform::WriteBatch;

/// Key of the history row.
pub const HISTORY_KEY: &str = "head-history";

/// Time between two samples.
pub const SAMPLE_INTERVAL: Duration = Duration::from_secs(6 * 60 * 60);

/// Retention limits of the object store; a generation within either limit is kept.
#[derive(Clone, Copy, Debug)]
pub struct HistoryLimits {
    /// Number of generations kept before the head.
    pub generations: Generation,
    /// Time for which a generation is kept after it was last the head.
    pub age: Duration,
}

impl Default for HistoryLimits {
    fn default() -> HistoryLimits {
        HistoryLimits {
            generations: 1000,
            age: Duration::from_secs(7 * 24 * 60 * 60),
        }
    }
}

/// The head at one point in time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeadSample {
    /// Wall-clock time of the read.
    pub at: SystemTime,
    /// Generation of the head.
    pub generation: Generation,
}

/// Value of the row: samples in the order in which they were taken.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeadHistory {
    samples: Vec<HeadSample>,
}

impl HeadHistory {
    /// Adds a head read at the wall-clock time `wall`, at most one per [`SAMPLE_INTERVAL`]; returns
    /// whether the history changed.
    pub fn add_sample(
        &mut self,
        generation: Generation,
        wall: SystemTime,
        limits: &HistoryLimits,
    ) -> bool {
        if let Some(last) = self.samples.last()
            && wall < last.at + SAMPLE_INTERVAL
        {
            return false;
        }
        self.samples.push(HeadSample {
            at: wall,
            generation,
        });
        let old_count = self
            .samples
            .iter()
            .filter(|sample| sample.is_old(wall, limits));
        // Only the latest of the old samples determines the cutoff.
        let surplus = old_count.count().saturating_sub(1);
        self.samples.drain(..surplus);
        true
    }

    /// Returns the lowest generation whose objects are kept.
    #[must_use]
    pub fn cutoff(&self, head: Generation, wall: SystemTime, limits: &HistoryLimits) -> Generation {
        let by_count = head.saturating_sub(limits.generations);
        let old = self
            .samples
            .iter()
            .filter(|sample| sample.is_old(wall, limits));
        let by_age = old.map(|sample| sample.generation).max().unwrap_or(0);
        by_count.min(by_age)
    }
}

impl HeadSample {
    fn is_old(&self, wall: SystemTime, limits: &HistoryLimits) -> bool {
        self.at + limits.age < wall
    }
}

/// Reads the head, adds it to the history and returns the lowest generation whose objects are kept.
///
/// # Errors
/// Any [`PlatformError`](crate::platform::PlatformError).
pub fn find_cutoff(
    store: &dyn PlatformStore,
    write_id: WriteId,
    wall: SystemTime,
    limits: &HistoryLimits,
) -> PlatformResult<Generation> {
    let row = store.read_row(HISTORY_KEY)?;
    let held = row
        .as_ref()
        .and_then(|row| serde_json::from_str(&row.value).ok());
    let mut history: HeadHistory = held.unwrap_or_default();
    let head = read_head(store)?.generation;
    if history.add_sample(head, wall, limits) {
        let condition = row.map_or(RowCondition::Absent, |row| RowCondition::At(row.version));
        let value = serde_json::to_string(&history).unwrap_or_default();
        let write = RowWrite {
            key: HISTORY_KEY.into(),
            condition,
            value: Some(value.into()),
        };
        let writes = vec![write];
        // On a conflict another daemon has added a sample.
        store.commit(&WriteBatch { write_id, writes })?;
    }
    Ok(history.cutoff(head, wall, limits))
}
