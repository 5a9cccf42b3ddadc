//! The platform's services at their border: a transactional table and an object store.

use std::fmt;

use error_stack::Report;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::RowVersion;
use crate::ids::WriteId;

/// A row of the table as it was read.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableRow {
    /// Key of the row.
    pub key: Box<str>,
    /// Version of the row, one higher after each write.
    pub version: RowVersion,
    /// Value of the row, JSON text.
    pub value: Box<str>,
}

/// What a row must look like for a write to take effect.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RowCondition {
    /// The row does not exist.
    Absent,
    /// The row exists at this version.
    At(RowVersion),
    /// Any state of the row.
    Any,
}

/// One write of a batch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowWrite {
    /// Key of the row.
    pub key: Box<str>,
    /// Condition under which the whole batch takes effect.
    pub condition: RowCondition,
    /// New value; `None` deletes the row.
    pub value: Option<Box<str>>,
}

/// Writes that take effect together or not at all.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WriteBatch {
    /// Identity of the batch.
    pub write_id: WriteId,
    /// Writes of the batch.
    pub writes: Vec<RowWrite>,
}

/// A bounded part of the keys or names with one prefix, in their order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyRange {
    /// Start of every key.
    pub prefix: Box<str>,
    /// Only keys above this one; empty for all.
    pub after: Box<str>,
    /// Most keys wanted.
    pub limit: usize,
}

/// Answer to a batch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CommitOutcome {
    /// Every write took effect.
    Committed,
    /// Nothing took effect; the row with this key did not meet its condition.
    Conflict(Box<str>),
}

/// Failure of the platform, as its caller sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlatformError {
    /// The platform could not be reached or refused; nothing took effect.
    Unavailable,
    /// No answer came; a write may have taken effect.
    AnswerLost,
    /// The answer could not be understood.
    BadAnswer,
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            PlatformError::Unavailable => "platform unavailable",
            PlatformError::AnswerLost => "platform gave no answer",
            PlatformError::BadAnswer => "platform answer not understood",
        };
        f.write_str(text)
    }
}

impl std::error::Error for PlatformError {}

/// Result of a platform operation.
pub type PlatformResult<T> = Result<T, Report<PlatformError>>;

/// The platform's table service and object store.
pub trait PlatformStore: Send + Sync {
    /// Reads a row.
    ///
    /// # Errors
    /// Any [`PlatformError`].
    fn read_row(&self, key: &str) -> PlatformResult<Option<TableRow>>;

    /// Lists the rows whose key starts with `prefix`, in key order.
    ///
    /// # Errors
    /// Any [`PlatformError`].
    fn list_rows(&self, prefix: &str) -> PlatformResult<Vec<TableRow>>;

    /// Lists the first rows of a range, in key order; fewer than its limit only when there are no
    /// more.
    ///
    /// # Errors
    /// Any [`PlatformError`].
    fn list_range(&self, range: &KeyRange) -> PlatformResult<Vec<TableRow>>;

    /// Writes all rows of the batch, or none.
    ///
    /// # Errors
    /// Any [`PlatformError`]; after [`PlatformError::AnswerLost`] the batch may have taken effect.
    fn commit(&self, batch: &WriteBatch) -> PlatformResult<CommitOutcome>;

    /// Stores an object; storing the same name again replaces it.
    ///
    /// # Errors
    /// Any [`PlatformError`].
    fn put_object(&self, name: &str, body: &[u8]) -> PlatformResult<()>;

    /// Reads an object.
    ///
    /// # Errors
    /// Any [`PlatformError`].
    fn get_object(&self, name: &str) -> PlatformResult<Option<Vec<u8>>>;

    /// Lists the first names of a range of objects, in their order; fewer than its limit only when
    /// there are no more.
    ///
    /// # Errors
    /// Any [`PlatformError`].
    fn list_objects(&self, range: &KeyRange) -> PlatformResult<Vec<Box<str>>>;

    /// Deletes an object; one that does not exist counts as deleted.
    ///
    /// # Errors
    /// Any [`PlatformError`].
    fn delete_object(&self, name: &str) -> PlatformResult<()>;
}
