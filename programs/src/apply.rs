//! `apply` and `validate`: reads record files and has them accepted as one change.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::SystemTime;

use coltsfootweir::accept::AcceptError;
use coltsfootweir::accept::accept_change;
use coltsfootweir::http_platform::HttpPlatform;
use coltsfootweir::ids::WriteId;
use coltsfootweir::record::ConfigRecord;
use coltsfootweir::record_fault::RecordFault;
use coltsfootweir::schema::parse_records;
use coltsfootweir::snapshot::ConfigSnapshot;
use rand::RngExt;

use crate::failure::CommandFailure;
use crate::failure::CommandResult;
use crate::hand_out::hand_out;
use crate::hand_out::read_seeds;

/// Time a platform operation may take.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);

/// Checks record files without accepting them.
///
/// # Errors
/// [`CommandFailure::Refused`] with every fault.
pub fn validate_files(files: &[PathBuf]) -> CommandResult {
    let records = read_files(files)?;
    Ok(format!("{} records are well formed\n", records.len()))
}

/// Accepts the records of files, all or none.
///
/// # Errors
/// Any [`CommandFailure`] but those of waiting.
pub fn apply_files(platform: SocketAddr, files: &[PathBuf]) -> CommandResult {
    let records = read_files(files)?;
    let snapshot = accept_records(platform, &records)?;
    Ok(format!("accepted as generation {}\n", snapshot.generation))
}

/// Reads the records of files.
///
/// # Errors
/// [`CommandFailure::Refused`] with every fault of every file.
pub fn read_files(files: &[PathBuf]) -> Result<Vec<ConfigRecord>, CommandFailure> {
    let mut records = Vec::new();
    let mut faults = Vec::new();
    for file in files {
        let text = read_file(file)?;
        match parse_records(&text, SystemTime::now()) {
            Ok(list) => records.extend(list),
            Err(list) => {
                let name = file.display();
                faults.extend(list.iter().map(|fault| format!("{name}: {fault}")));
            }
        }
    }
    if !faults.is_empty() {
        return Err(CommandFailure::Refused(faults.join("\n  ").into()));
    }
    Ok(records)
}

fn read_file(file: &Path) -> Result<String, CommandFailure> {
    let text = if file == Path::new("-") {
        io::read_to_string(io::stdin())
    } else {
        fs::read_to_string(file)
    };
    text.map_err(|error| CommandFailure::Refused(format!("{}: {error}", file.display()).into()))
}

/// Has records accepted as one change.
///
/// # Errors
/// Any [`CommandFailure`] but those of waiting.
pub fn accept_records(
    platform: SocketAddr,
    records: &[ConfigRecord],
) -> Result<ConfigSnapshot, CommandFailure> {
    let store = open_store(platform);
    let change = |base: &ConfigSnapshot| base.with_records(records.iter().cloned());
    let seeds = read_seeds(&store);
    let snapshot = accept_change(&store, &make_write_id, &change, &[])
        .map_err(|report| to_failure(report.current_context()))?;
    hand_out(&seeds, &snapshot);
    Ok(snapshot)
}

/// Names the platform at an address.
#[must_use]
pub fn open_store(platform: SocketAddr) -> HttpPlatform {
    HttpPlatform::new(platform, PLATFORM_TIMEOUT)
}

fn make_write_id() -> WriteId {
    let id: u128 = rand::rng().random();
    format!("operator-{id:032x}").into()
}

fn to_failure(error: &AcceptError) -> CommandFailure {
    match error {
        AcceptError::Refused(faults) => CommandFailure::Refused(join_faults(faults)),
        AcceptError::Conflict(name) => CommandFailure::Conflict(name.clone()),
        AcceptError::Unavailable => CommandFailure::Unavailable(error.to_string().into()),
        AcceptError::InDoubt(_) => CommandFailure::InDoubt(error.to_string().into()),
    }
}

fn join_faults(faults: &[RecordFault]) -> Box<str> {
    let lines: Vec<String> = faults.iter().map(RecordFault::to_string).collect();
    lines.join("\n  ").into()
}
