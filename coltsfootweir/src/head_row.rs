//! The `head` row: the accepted configuration, and the ids of the latest accepted writes.

use error_stack::Report;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::Generation;
use crate::ids::WriteId;
use crate::platform::PlatformError;
use crate::platform::PlatformResult;
use crate::platform::PlatformStore;
use crate::platform::RowCondition;
use crate::platform::RowWrite;
use crate::snapshot::HeadMark;

/// Key of the `head` row.
pub const HEAD_KEY: &str = "head";

/// Number of accepted writes whose ids the row keeps.
pub const KEPT_WRITES: usize = 16;

/// A write that was accepted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AcceptedWrite {
    /// Id of the write.
    pub write_id: WriteId,
    /// Generation that the write made the head.
    pub generation: Generation,
}

/// Value of the `head` row.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct HeadValue {
    mark: HeadMark,
    writes: Vec<AcceptedWrite>,
}

/// The `head` row with the version at which it was read.
#[derive(Clone, Debug)]
pub struct HeadRow {
    condition: RowCondition,
    value: HeadValue,
}

impl HeadRow {
    /// Reads the row; if it does not exist, the head is generation 0.
    ///
    /// # Errors
    /// Any [`PlatformError`]; [`PlatformError::BadAnswer`] if the value cannot be decoded.
    pub fn read(store: &dyn PlatformStore) -> PlatformResult<HeadRow> {
        let Some(row) = store.read_row(HEAD_KEY)? else {
            return Ok(HeadRow {
                condition: RowCondition::Absent,
                value: HeadValue::default(),
            });
        };
        let value = serde_json::from_str(&row.value)
            .map_err(|error| Report::new(error).change_context(PlatformError::BadAnswer))?;
        Ok(HeadRow {
            condition: RowCondition::At(row.version),
            value,
        })
    }

    /// Returns the mark of the accepted configuration.
    #[must_use]
    pub fn mark(&self) -> &HeadMark {
        &self.value.mark
    }

    /// Returns the generation that a write made the head, if the row still lists the write.
    #[must_use]
    pub fn find(&self, write_id: &str) -> Option<Generation> {
        let found = self
            .value
            .writes
            .iter()
            .find(|write| &*write.write_id == write_id)?;
        Some(found.generation)
    }

    /// Returns whether the row still lists the write of every generation above `base`.
    #[must_use]
    pub fn covers(&self, base: Generation) -> bool {
        let oldest = self
            .value
            .writes
            .first()
            .map_or(0, |write| write.generation);
        oldest <= base.saturating_add(1)
    }

    /// Returns the row write that makes `mark` the head if the row is unchanged since it was read.
    #[must_use]
    pub fn advance(&self, mark: &HeadMark, write_id: &WriteId) -> RowWrite {
        let mut writes = self.value.writes.clone();
        writes.push(AcceptedWrite {
            write_id: write_id.clone(),
            generation: mark.generation,
        });
        let surplus = writes.len().saturating_sub(KEPT_WRITES);
        writes.drain(..surplus);
        let value = HeadValue {
            mark: mark.clone(),
            writes,
        };
        let text = serde_json::to_string(&value).expect("a head row encodes");
        RowWrite {
            key: HEAD_KEY.into(),
            condition: self.condition,
            value: Some(text.into()),
        }
    }
}
