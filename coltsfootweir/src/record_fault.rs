//! What is wrong with a record, by record, field and reason.

use std::fmt;

/// One fault of one record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordFault {
    /// Kind and name of the record, such as `route/stalls`.
    pub record: Box<str>,
    /// Field at fault.
    pub field: Box<str>,
    /// What is wrong with the field.
    pub reason: Box<str>,
}

impl RecordFault {
    /// Creates a fault.
    #[must_use]
    pub fn new(
        record: impl Into<Box<str>>,
        field: impl Into<Box<str>>,
        reason: impl Into<Box<str>>,
    ) -> RecordFault {
        RecordFault {
            record: record.into(),
            field: field.into(),
            reason: reason.into(),
        }
    }
}

impl fmt::Display for RecordFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "record {}: field {}: {}",
            self.record, self.field, self.reason
        )
    }
}

impl std::error::Error for RecordFault {}

/// Writes faults one after another, separated by semicolons.
pub(crate) fn write_faults(f: &mut fmt::Formatter<'_>, faults: &[RecordFault]) -> fmt::Result {
    for (index, fault) in faults.iter().enumerate() {
        let separator = if index == 0 { "" } else { "; " };
        write!(f, "{separator}{fault}")?;
    }
    Ok(())
}
