//! `apply`: has the records of files accepted as one change.

use std::cell::RefCell;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use coltsfootweir::accept::AcceptError;
use coltsfootweir::accept::ConfigChange;
use coltsfootweir::accept::accept_change;
use coltsfootweir::accept::find_write;
use coltsfootweir::ids::Generation;
use coltsfootweir::ids::MoveName;
use coltsfootweir::ids::WriteId;
use coltsfootweir::lease::LeaseRow;
use coltsfootweir::mover::lease_key;
use coltsfootweir::platform::PlatformStore;
use coltsfootweir::platform::RowCondition;
use coltsfootweir::platform::RowWrite;
use coltsfootweir::record::ConfigRecord;
use coltsfootweir::snapshot::ConfigSnapshot;
use error_stack::Report;
use rand::RngExt;
use serde_json::json;

use crate::accepted::read_accepted;
use crate::accepted::unavailable;
use crate::failure::CommandFailure;
use crate::failure::InputFault;
use crate::input::read_files;
use crate::output::CommandOutput;
use crate::output::CommandResult;
use crate::output::print_note;
use crate::wait::wait_moves;

/// Longest time for which the outcome of a write without an answer is looked for.
const SETTLE_LIMIT: Duration = Duration::from_secs(10);

/// Time between two looks for such a write.
const SETTLE_INTERVAL: Duration = Duration::from_millis(250);

/// What came of a change that was not refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AcceptedChange {
    /// Generation that holds the records.
    pub generation: Generation,
    /// Whether the change made that generation; otherwise it held the records already.
    pub changed: bool,
}

/// Accepts the records of files, all or none; with a limit waits until their moves have ended.
///
/// # Errors
/// Any [`CommandFailure`].
pub fn apply_files(
    store: &dyn PlatformStore,
    files: &[PathBuf],
    wait_limit: Option<Duration>,
) -> CommandResult {
    let records = read_files(files)?;
    let accepted = accept_records(store, &records)?;
    let generation = accepted.generation;
    let mut text = if accepted.changed {
        format!("accepted as generation {generation}\n")
    } else {
        format!("unchanged: generation {generation} holds these records\n")
    };
    let mut json = json!({
        "generation": generation,
        "changed": accepted.changed,
        "records": records.iter().map(ConfigRecord::label).collect::<Vec<_>>(),
    });
    if let Some(limit) = wait_limit {
        print_note(&text);
        let moves = wait_moves(store, &move_names(&records), limit)?;
        text = moves.iter().map(|summary| format!("{summary}\n")).collect();
        json["moves"] = json!(moves);
    }
    Ok(CommandOutput::new(text, json))
}

/// Has records accepted as one change.
///
/// A new move also makes its lease row, so that the name of an earlier move, even of one that has left
/// the configuration, is not used again.
///
/// # Errors
/// Any [`CommandFailure`] but those of waiting.
pub fn accept_records(
    store: &dyn PlatformStore,
    records: &[ConfigRecord],
) -> Result<AcceptedChange, CommandFailure> {
    let held = read_accepted(store)?;
    let mut guards = Vec::new();
    for record in records {
        let ConfigRecord::Move(record) = record else {
            continue;
        };
        if !held.moves.contains_key(&record.name) {
            guards.push(first_lease(&record.name));
        }
    }
    let change = |base: &ConfigSnapshot| base.with_records(records.iter().cloned());
    accept_guarded(store, &change, &guards)
}

fn first_lease(name: &MoveName) -> RowWrite {
    let row = serde_json::to_string(&LeaseRow::default()).unwrap_or_default();
    RowWrite {
        key: lease_key(name),
        condition: RowCondition::Absent,
        value: Some(row.into()),
    }
}

/// Has a change accepted; the guards are written in the same transaction.
///
/// # Errors
/// Any [`CommandFailure`] but those of waiting.
pub fn accept_guarded(
    store: &dyn PlatformStore,
    change: &ConfigChange<'_>,
    guards: &[RowWrite],
) -> Result<AcceptedChange, CommandFailure> {
    let last_write = RefCell::new(None);
    let write_ids = || {
        let write_id = make_write_id();
        last_write.replace(Some(write_id.clone()));
        write_id
    };
    match accept_change(store, &write_ids, change, guards) {
        Ok(snapshot) => Ok(AcceptedChange {
            generation: snapshot.generation,
            changed: last_write.borrow().is_some(),
        }),
        Err(report) => match report.current_context() {
            AcceptError::InDoubt(write_id) => settle_write(store, write_id),
            _ => Err(to_failure(&report)),
        },
    }
}

/// Looks for the outcome of a write whose answer was lost.
fn settle_write(
    store: &dyn PlatformStore,
    write_id: &WriteId,
) -> Result<AcceptedChange, CommandFailure> {
    let start = Instant::now();
    while start.elapsed() < SETTLE_LIMIT {
        if let Ok(Some(generation)) = find_write(store, write_id) {
            return Ok(AcceptedChange {
                generation,
                changed: true,
            });
        }
        thread::sleep(SETTLE_INTERVAL);
    }
    Err(CommandFailure::InDoubt(write_id.clone()))
}

fn make_write_id() -> WriteId {
    let id: u128 = rand::rng().random();
    format!("operator-{id:032x}").into()
}

fn move_names(records: &[ConfigRecord]) -> Vec<MoveName> {
    let mut names = Vec::new();
    for record in records {
        let ConfigRecord::Move(record) = record else {
            continue;
        };
        names.push(record.name.clone());
    }
    names
}

fn to_failure(report: &Report<AcceptError>) -> CommandFailure {
    match report.current_context() {
        AcceptError::Refused(faults) => {
            CommandFailure::Refused(faults.iter().cloned().map(InputFault::from).collect())
        }
        AcceptError::Conflict(record) => CommandFailure::Conflict(record.clone()),
        AcceptError::Unavailable => unavailable(report),
        AcceptError::InDoubt(write_id) => CommandFailure::InDoubt(write_id.clone()),
    }
}
