//! `validate`: checks record files, alone or against the accepted configuration.

use std::path::PathBuf;

use coltsfootweir::platform::PlatformStore;
use coltsfootweir::record_fault::RecordFault;
use serde_json::json;

use crate::accepted::read_accepted;
use crate::failure::CommandFailure;
use crate::failure::InputFault;
use crate::input::read_files;
use crate::output::CommandOutput;
use crate::output::CommandResult;

/// Checks record files without accepting them; with a store also whether they would be accepted now.
///
/// # Errors
/// [`CommandFailure::Refused`] with every fault, [`CommandFailure::Unavailable`].
pub fn validate_files(store: Option<&dyn PlatformStore>, files: &[PathBuf]) -> CommandResult {
    let records = read_files(files)?;
    let count = records.len();
    let Some(store) = store else {
        let json = json!({"valid": true, "records": count});
        return Ok(CommandOutput::new(
            format!("{count} records are well formed\n"),
            json,
        ));
    };
    let base = read_accepted(store)?;
    base.with_records(records).map_err(refused)?;
    let generation = base.generation;
    Ok(CommandOutput::new(
        format!("{count} records are well formed and fit generation {generation}\n"),
        json!({"valid": true, "records": count, "generation": generation}),
    ))
}

fn refused(faults: Vec<RecordFault>) -> CommandFailure {
    CommandFailure::Refused(faults.into_iter().map(InputFault::from).collect())
}
