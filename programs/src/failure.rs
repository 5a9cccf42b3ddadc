//! How a command fails, and the exit code that says so.

use std::fmt;

use coltsfootweir::ids::WriteId;
use coltsfootweir::record_fault::RecordFault;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::moves::MoveSummary;

/// Exit code for arguments that were not understood.
pub const EXIT_USAGE: u8 = 2;

/// One fault of what the operator gave.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct InputFault {
    /// File at fault, `-` for standard input; `None` when it is not in one file.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub file: Option<Box<str>>,
    /// Kind and name of the record at fault, if it is one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub record: Option<Box<str>>,
    /// Field at fault, if it is one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub field: Option<Box<str>>,
    /// What is wrong.
    pub reason: Box<str>,
}

/// Why a command ended without success.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommandFailure {
    /// Records or names were refused; nothing changed. Exit code 2.
    Refused(Vec<InputFault>),
    /// Another change of this record came first; nothing changed. Exit code 3.
    Conflict(Box<str>),
    /// The platform or a daemon could not be reached; nothing changed. Exit code 4.
    Unavailable(Box<str>),
    /// It is not known whether the write with this id took effect. Exit code 5.
    InDoubt(WriteId),
    /// A move that was waited for was taken back. Exit code 6.
    TakenBack(Vec<MoveSummary>),
    /// The time to wait passed before every move ended. Exit code 7.
    TimedOut(Vec<MoveSummary>),
}

impl InputFault {
    /// Creates a fault that concerns no single file or record.
    #[must_use]
    pub fn new(reason: impl Into<Box<str>>) -> InputFault {
        InputFault {
            file: None,
            record: None,
            field: None,
            reason: reason.into(),
        }
    }

    /// Returns the fault as one of a file.
    #[must_use]
    pub fn in_file(mut self, file: impl Into<Box<str>>) -> InputFault {
        self.file = Some(file.into());
        self
    }
}

impl From<RecordFault> for InputFault {
    fn from(fault: RecordFault) -> InputFault {
        InputFault {
            file: None,
            record: Some(fault.record),
            field: Some(fault.field),
            reason: fault.reason,
        }
    }
}

impl fmt::Display for InputFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(file) = &self.file {
            write!(f, "{file}: ")?;
        }
        if let Some(record) = &self.record {
            write!(f, "record {record}: ")?;
        }
        if let Some(field) = &self.field {
            write!(f, "field {field}: ")?;
        }
        f.write_str(&self.reason)
    }
}

impl CommandFailure {
    /// Creates a refusal for one reason.
    #[must_use]
    pub fn refused(reason: impl Into<Box<str>>) -> CommandFailure {
        CommandFailure::Refused(vec![InputFault::new(reason)])
    }

    /// Exit code of the program.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            CommandFailure::Refused(_) => EXIT_USAGE,
            CommandFailure::Conflict(_) => 3,
            CommandFailure::Unavailable(_) => 4,
            CommandFailure::InDoubt(_) => 5,
            CommandFailure::TakenBack(_) => 6,
            CommandFailure::TimedOut(_) => 7,
        }
    }

    /// Returns the failure as `--json` prints it.
    #[must_use]
    pub fn to_json(&self) -> Value {
        let mut error = json!({
            "kind": self.kind(),
            "exit_code": self.exit_code(),
            "message": self.to_string(),
        });
        match self {
            CommandFailure::Refused(faults) => error["faults"] = json!(faults),
            CommandFailure::Conflict(record) => error["record"] = json!(record),
            CommandFailure::Unavailable(_) => {}
            CommandFailure::InDoubt(write_id) => error["write_id"] = json!(write_id),
            CommandFailure::TakenBack(moves) | CommandFailure::TimedOut(moves) => {
                error["moves"] = json!(moves);
            }
        }
        json!({ "error": error })
    }

    fn kind(&self) -> &'static str {
        match self {
            CommandFailure::Refused(_) => "refused",
            CommandFailure::Conflict(_) => "conflict",
            CommandFailure::Unavailable(_) => "unavailable",
            CommandFailure::InDoubt(_) => "in-doubt",
            CommandFailure::TakenBack(_) => "taken-back",
            CommandFailure::TimedOut(_) => "timed-out",
        }
    }
}

impl fmt::Display for CommandFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.kind())?;
        match self {
            CommandFailure::Refused(faults) => write_list(f, faults),
            CommandFailure::Conflict(record) => {
                write!(f, " {record} was changed by another write; nothing changed")
            }
            CommandFailure::Unavailable(reason) => write!(f, " {reason}"),
            CommandFailure::InDoubt(write_id) => {
                write!(
                    f,
                    " write {write_id} may have taken effect; the same apply settles it"
                )
            }
            CommandFailure::TakenBack(moves) => write_list(f, moves),
            CommandFailure::TimedOut(moves) => {
                f.write_str(" the wait limit passed;")?;
                write_list(f, moves)
            }
        }
    }
}

impl std::error::Error for CommandFailure {}

/// Writes one item on the line, or each of several on a line of its own.
fn write_list(f: &mut fmt::Formatter<'_>, items: &[impl fmt::Display]) -> fmt::Result {
    let separator = if items.len() == 1 { " " } else { "\n  " };
    for item in items {
        write!(f, "{separator}{item}")?;
    }
    Ok(())
}
