//! Validation faults of records.

use std::fmt;

/// A fault in one field of a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordFault {
    /// Kind and name of the record, such as `route/stalls`.
    pub record: Box<str>,
    /// Name of the invalid field.
    pub field: Box<str>,
    /// Why the field is invalid.
    pub reason: Box<str>,
}

impl RecordFault {
    /// Creates a fault of a field.
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

/// Writes faults separated by semicolons.
pub(crate) fn write_faults(f: &mut fmt::Formatter<'_>, faults: &[RecordFault]) -> fmt::Result {
    for (index, fault) in faults.iter().enumerate() {
        let separator = if index == 0 { "" } else { "; " };
        write!(f, "{separator}{fault}")?;
    }
    Ok(())
}
