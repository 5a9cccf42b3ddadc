//! `get`: the accepted records, as `apply` takes them.

use std::time::SystemTime;

use coltsfootweir::ids::Generation;
use coltsfootweir::platform::PlatformStore;
use coltsfootweir::record::ConfigRecord;
use coltsfootweir::schema::render_record;
use serde_json::Value;
use serde_json::json;

use crate::accepted::read_accepted;
use crate::accepted::read_generation;
use crate::arguments::KindFilter;
use crate::failure::CommandFailure;
use crate::moves::MoveSummary;
use crate::output::CommandOutput;
use crate::output::CommandResult;

/// Prints the records of a configuration, the accepted one unless a generation is given.
///
/// Moves that have ended can't be applied again, so they are left out unless moves are asked for;
/// the state of every move goes to the notes.
///
/// # Errors
/// [`CommandFailure::Refused`] when there is no such generation or record,
/// [`CommandFailure::Unavailable`].
pub fn get_records(
    store: &dyn PlatformStore,
    kind: Option<KindFilter>,
    name: Option<&str>,
    generation: Option<Generation>,
) -> CommandResult {
    let snapshot = match generation {
        Some(generation) => read_generation(store, generation)?,
        None => read_accepted(store)?,
    };
    let mut records: Vec<Value> = Vec::new();
    let mut moves: Vec<MoveSummary> = Vec::new();
    for record in snapshot.records() {
        if kind.is_some_and(|kind| !kind.matches(&record)) {
            continue;
        }
        if name.is_some_and(|name| name != &*name_of(&record)) {
            continue;
        }
        if let ConfigRecord::Move(own) = &record {
            moves.push(MoveSummary::new(own, &[], SystemTime::now()));
            if own.phase.is_ended() && kind.is_none() {
                continue;
            }
        }
        records.push(render_record(&record));
    }
    if let Some(name) = name
        && records.is_empty()
    {
        return Err(CommandFailure::refused(format!(
            "no record {name:?} of this kind"
        )));
    }
    let mut notes = format!("generation {}\n", snapshot.generation);
    for summary in &moves {
        notes.push_str(&format!("{summary}\n"));
    }
    let text = format!("{:#}\n", Value::from(records.clone()));
    let json = json!({
        "generation": snapshot.generation,
        "digest": snapshot.mark().digest,
        "records": records,
        "moves": moves,
    });
    Ok(CommandOutput { text, json, notes })
}

/// Returns the name by which `get` finds a record.
fn name_of(record: &ConfigRecord) -> Box<str> {
    match record {
        ConfigRecord::Route(route) => route.name.clone(),
        ConfigRecord::Version(version) => version.key(),
        ConfigRecord::Move(record) => record.name.clone(),
    }
}
