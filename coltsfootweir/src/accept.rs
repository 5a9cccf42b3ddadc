//! Publishes a configuration: writes its objects, then advances the `head` row by compare-and-swap.

use std::fmt;

use error_stack::Report;
use error_stack::ResultExt;

use crate::head_row::HEAD_KEY;
use crate::head_row::HeadRow;
use crate::ids::Generation;
use crate::ids::WriteId;
use crate::platform::CommitOutcome;
use crate::platform::PlatformError;
use crate::platform::PlatformResult;
use crate::platform::PlatformStore;
use crate::platform::RowWrite;
use crate::platform::WriteBatch;
use crate::record_fault::RecordFault;
use crate::record_fault::write_faults;
use crate::snapshot::ConfigSnapshot;
use crate::snapshot::HeadMark;

/// Maximum number of attempts to apply a change, when other changes are accepted concurrently.
pub const MAX_REBASES: usize = 16;

/// Maximum number of times a batch is sent while the platform gives no definite answer.
pub const MAX_SETTLE_TRIES: usize = 4;

/// Why a change was not accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AcceptError {
    /// The change breaks a rule; nothing took effect.
    Refused(Vec<RecordFault>),
    /// Another write changed this record or row first; nothing took effect.
    Conflict(Box<str>),
    /// The platform is down or its data is broken; nothing took effect.
    Unavailable,
    /// The platform gave no answer; the write with this id may have taken effect.
    ///
    /// Retrying the same change is safe: if the write took effect, the retry changes nothing, and
    /// otherwise at most one of the two writes takes effect.
    InDoubt(WriteId),
}

impl fmt::Display for AcceptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AcceptError::Refused(faults) => {
                f.write_str("refused: ")?;
                write_faults(f, faults)
            }
            AcceptError::Conflict(key) => write!(f, "conflict: {key} was changed by another write"),
            AcceptError::Unavailable => f.write_str("platform unavailable, nothing changed"),
            AcceptError::InDoubt(write_id) => {
                write!(f, "in doubt: write {write_id} may have taken effect")
            }
        }
    }
}

impl std::error::Error for AcceptError {}

/// Outcome of one attempt to write a change.
enum WriteEnd {
    /// The configuration became the head.
    Accepted,
    /// Another change was accepted first.
    Overtaken,
    /// The head is still the one the change is based on.
    Unchanged,
    /// The head cannot be read, or no longer lists the writes in question.
    Unknown,
}

/// Computes the next configuration from the accepted one, or returns the faults of the change.
pub type ConfigChange<'a> =
    dyn Fn(&ConfigSnapshot) -> Result<ConfigSnapshot, Vec<RecordFault>> + 'a;

/// Reads the generation and digest of the accepted configuration.
///
/// # Errors
/// Any [`PlatformError`].
pub fn read_head(store: &dyn PlatformStore) -> PlatformResult<HeadMark> {
    Ok(HeadRow::read(store)?.mark().clone())
}

/// Returns the generation that a write made the head, if the `head` row still lists the write.
///
/// # Errors
/// Any [`PlatformError`].
pub fn find_write(store: &dyn PlatformStore, write_id: &str) -> PlatformResult<Option<Generation>> {
    Ok(HeadRow::read(store)?.find(write_id))
}

/// Prefix of the object names of deltas.
pub const DELTA_PREFIX: &str = "delta/";

/// Returns the name of the object that holds a snapshot.
#[must_use]
pub fn snapshot_object(mark: &HeadMark) -> String {
    format!("snapshot/{}", mark.digest)
}

/// Returns the name of the object that holds the delta leading to a snapshot from the one before.
///
/// The name includes the digest, so a change that loses a race does not overwrite the winner's delta.
#[must_use]
pub fn delta_object(mark: &HeadMark) -> String {
    format!("{DELTA_PREFIX}{}/{}", mark.generation, mark.digest)
}

/// Parses the generation and digest from the object name of a delta.
#[must_use]
pub fn parse_delta_object(name: &str) -> Option<HeadMark> {
    let (generation, digest) = name.strip_prefix(DELTA_PREFIX)?.split_once('/')?;
    Some(HeadMark {
        generation: generation.parse().ok()?,
        digest: digest.into(),
    })
}

/// Reads the snapshot of a mark and verifies its digest.
///
/// # Errors
/// [`AcceptError::Unavailable`] if the object is missing, damaged or cannot be read.
pub fn fetch_snapshot(
    store: &dyn PlatformStore,
    mark: &HeadMark,
) -> Result<ConfigSnapshot, Report<AcceptError>> {
    if mark.generation == 0 {
        return Ok(ConfigSnapshot::default());
    }
    let name = snapshot_object(mark);
    let body = store
        .get_object(&name)
        .change_context(AcceptError::Unavailable)?;
    let Some(body) = body else {
        return Err(Report::new(AcceptError::Unavailable).attach(format!("no object {name}")));
    };
    ConfigSnapshot::decode(&body, mark)
        .map_err(|error| Report::new(error).change_context(AcceptError::Unavailable))
}

/// Applies a change to the accepted configuration and makes the result the accepted one.
///
/// When another change is accepted first, the change is applied again to the new base, unless both
/// modify the same record. `write_ids` returns a new id at each call. The `guards` are written in
/// the same transaction. A change without effect and without guards writes nothing.
///
/// # Errors
/// Any [`AcceptError`].
pub fn accept_change(
    store: &dyn PlatformStore,
    write_ids: &dyn Fn() -> WriteId,
    change: &ConfigChange<'_>,
    guards: &[RowWrite],
) -> Result<ConfigSnapshot, Report<AcceptError>> {
    let mut touched: Option<(ConfigSnapshot, ConfigSnapshot)> = None;
    for _ in 0..MAX_REBASES {
        let head = HeadRow::read(store).change_context(AcceptError::Unavailable)?;
        let base = fetch_snapshot(store, head.mark())?;
        let next = match apply_change(change, &base) {
            Ok(next) => next,
            Err(faults) => return Err(Report::new(refusal_error(faults, touched.is_some()))),
        };
        if guards.is_empty() && next.records() == base.records() {
            return Ok(base);
        }
        if let Some((first, first_next)) = &touched
            && let Some(name) = find_overlap(first, first_next, &base)
        {
            return Err(Report::new(AcceptError::Conflict(name)));
        }
        let mark = put_objects(store, &base, &next)?;
        let write_id = write_ids();
        let mut writes = vec![head.advance(&mark, &write_id)];
        writes.extend(guards.iter().cloned());
        let batch = WriteBatch { write_id, writes };
        match commit_batch(store, &batch, base.generation)? {
            WriteEnd::Accepted => return Ok(next),
            _ => touched = touched.or(Some((base, next))),
        }
    }
    Err(Report::new(AcceptError::Conflict(HEAD_KEY.into())))
}

fn apply_change(
    change: &ConfigChange<'_>,
    base: &ConfigSnapshot,
) -> Result<ConfigSnapshot, Vec<RecordFault>> {
    let mut next = change(base)?;
    next.generation = base.generation + 1;
    next.validate()?;
    Ok(next)
}

/// Returns a conflict if the change was valid before another change was accepted.
fn refusal_error(faults: Vec<RecordFault>, overtaken: bool) -> AcceptError {
    match faults.first() {
        Some(fault) if overtaken => AcceptError::Conflict(fault.record.clone()),
        _ => AcceptError::Refused(faults),
    }
}

/// Returns a record modified both by the change and by the writes accepted since it began.
fn find_overlap(
    first: &ConfigSnapshot,
    first_next: &ConfigSnapshot,
    base: &ConfigSnapshot,
) -> Option<Box<str>> {
    let own = first_next.delta_from(first).changed_labels();
    let other = base.delta_from(first).changed_labels();
    own.intersection(&other).next().cloned()
}

fn put_objects(
    store: &dyn PlatformStore,
    base: &ConfigSnapshot,
    next: &ConfigSnapshot,
) -> Result<HeadMark, Report<AcceptError>> {
    let delta = next.delta_from(base);
    let mark = delta.result.clone();
    // The delta is written first: object removal finds the snapshot by the name of the delta.
    store
        .put_object(&delta_object(&mark), &delta.encode())
        .change_context(AcceptError::Unavailable)?;
    store
        .put_object(&snapshot_object(&mark), &next.encode())
        .change_context(AcceptError::Unavailable)?;
    Ok(mark)
}

/// Commits a batch and determines its outcome if the answer is lost.
///
/// The same batch is sent again until the platform answers, at most [`MAX_SETTLE_TRIES`] times. Its
/// condition on the `head` row lets it take effect at most once, even if an earlier copy arrives
/// late.
fn commit_batch(
    store: &dyn PlatformStore,
    batch: &WriteBatch,
    base: Generation,
) -> Result<WriteEnd, Report<AcceptError>> {
    let mut is_in_doubt = false;
    for _ in 0..MAX_SETTLE_TRIES {
        match store.commit(batch) {
            Ok(CommitOutcome::Committed) => return Ok(WriteEnd::Accepted),
            Ok(CommitOutcome::Conflict(key)) if !is_in_doubt => return overtaken_or_conflict(&key),
            Ok(CommitOutcome::Conflict(key)) => match resolve_write(store, batch, base) {
                WriteEnd::Unknown => {}
                // A guard failed. Row versions only increase, so an earlier copy that arrives late
                // fails on the same guard.
                WriteEnd::Unchanged => return overtaken_or_conflict(&key),
                end => return Ok(end),
            },
            Err(report) if *report.current_context() == PlatformError::Unavailable => {
                if !is_in_doubt {
                    return Err(report.change_context(AcceptError::Unavailable));
                }
            }
            Err(_) => is_in_doubt = true,
        }
    }
    match resolve_write(store, batch, base) {
        WriteEnd::Unknown | WriteEnd::Unchanged => {
            Err(Report::new(AcceptError::InDoubt(batch.write_id.clone())))
        }
        end => Ok(end),
    }
}

fn overtaken_or_conflict(key: &str) -> Result<WriteEnd, Report<AcceptError>> {
    if key == HEAD_KEY {
        return Ok(WriteEnd::Overtaken);
    }
    Err(Report::new(AcceptError::Conflict(key.into())))
}

/// Determines the outcome of a write from the `head` row.
fn resolve_write(store: &dyn PlatformStore, batch: &WriteBatch, base: Generation) -> WriteEnd {
    let Ok(head) = HeadRow::read(store) else {
        return WriteEnd::Unknown;
    };
    if head.find(&batch.write_id).is_some() {
        return WriteEnd::Accepted;
    }
    if head.mark().generation == base {
        return WriteEnd::Unchanged;
    }
    if head.covers(base) {
        WriteEnd::Overtaken
    } else {
        WriteEnd::Unknown
    }
}
