//! Acceptance of a configuration: objects first, then the `head` row by compare-and-swap.

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

/// Times a change is validated and written anew after another one was accepted first.
pub const MAX_REBASES: usize = 16;

/// Times a write without an answer is sent again to settle it.
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
    /// It is safe to make the same change again: if the write took effect, nothing is left to
    /// change, and otherwise only one of the two can take effect.
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

/// How one write of a change ended.
enum WriteEnd {
    /// It made its configuration the head.
    Accepted,
    /// Another change was accepted first.
    Overtaken,
    /// The head has not moved.
    Unmoved,
    /// The head cannot be read, or no longer names the writes in question.
    Unknown,
}

/// A change: the next configuration from the one in force, or its faults.
pub type ConfigChange<'a> =
    dyn Fn(&ConfigSnapshot) -> Result<ConfigSnapshot, Vec<RecordFault>> + 'a;

/// Reads which configuration is accepted.
///
/// # Errors
/// Any [`PlatformError`].
pub fn read_head(store: &dyn PlatformStore) -> PlatformResult<HeadMark> {
    Ok(HeadRow::read(store)?.mark().clone())
}

/// Returns the generation that a write made the head, if the `head` row still names the write.
///
/// # Errors
/// Any [`PlatformError`].
pub fn find_write(store: &dyn PlatformStore, write_id: &str) -> PlatformResult<Option<Generation>> {
    Ok(HeadRow::read(store)?.find(write_id))
}

/// Prefix of the names of deltas.
pub const DELTA_PREFIX: &str = "delta/";

/// Returns the name of the object that holds a snapshot.
#[must_use]
pub fn snapshot_object(mark: &HeadMark) -> String {
    format!("snapshot/{}", mark.digest)
}

/// Returns the name of the object that holds the delta leading to a snapshot from the one before.
///
/// The name has the digest, so that a change that loses a race overwrites nothing.
#[must_use]
pub fn delta_object(mark: &HeadMark) -> String {
    format!("{DELTA_PREFIX}{}/{}", mark.generation, mark.digest)
}

/// Returns the mark that the name of a delta tells.
#[must_use]
pub fn parse_delta_object(name: &str) -> Option<HeadMark> {
    let (generation, digest) = name.strip_prefix(DELTA_PREFIX)?.split_once('/')?;
    Some(HeadMark {
        generation: generation.parse().ok()?,
        digest: digest.into(),
    })
}

/// Reads and verifies the snapshot of a mark.
///
/// # Errors
/// [`AcceptError::Unavailable`].
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
/// When another change is accepted first, the change is applied anew, unless both touch one
/// record. `write_ids` gives a new id at each call. The `guards` are written in the same
/// transaction. A change that changes nothing and has no guards writes nothing.
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
            Err(faults) => return Err(Report::new(refusal(faults, touched.is_some()))),
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

/// A change that was valid until another one was accepted has lost a race.
fn refusal(faults: Vec<RecordFault>, overtaken: bool) -> AcceptError {
    match faults.first() {
        Some(fault) if overtaken => AcceptError::Conflict(fault.record.clone()),
        _ => AcceptError::Refused(faults),
    }
}

/// Returns a record that both the change and the writes accepted since its start have touched.
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
    // The delta goes first: by its name the snapshot is found when both are to be removed.
    store
        .put_object(&delta_object(&mark), &delta.encode())
        .change_context(AcceptError::Unavailable)?;
    store
        .put_object(&snapshot_object(&mark), &next.encode())
        .change_context(AcceptError::Unavailable)?;
    Ok(mark)
}

/// Commits a batch and settles a lost answer.
///
/// The same batch is sent again until the platform answers. Its condition on the `head` row lets
/// it take effect at most once, also when an earlier sending arrives late.
fn commit_batch(
    store: &dyn PlatformStore,
    batch: &WriteBatch,
    base: Generation,
) -> Result<WriteEnd, Report<AcceptError>> {
    let mut doubtful = false;
    for _ in 0..MAX_SETTLE_TRIES {
        match store.commit(batch) {
            Ok(CommitOutcome::Committed) => return Ok(WriteEnd::Accepted),
            Ok(CommitOutcome::Conflict(key)) if !doubtful => return overtaken_by(&key),
            Ok(CommitOutcome::Conflict(key)) => match settle_write(store, batch, base) {
                WriteEnd::Unknown => {}
                // It was a guard that failed. Row versions only rise, so an earlier sending that
                // arrives late fails by it too.
                WriteEnd::Unmoved => return overtaken_by(&key),
                end => return Ok(end),
            },
            Err(report) if *report.current_context() == PlatformError::Unavailable => {
                if !doubtful {
                    return Err(report.change_context(AcceptError::Unavailable));
                }
            }
            Err(_) => doubtful = true,
        }
    }
    match settle_write(store, batch, base) {
        WriteEnd::Unknown | WriteEnd::Unmoved => {
            Err(Report::new(AcceptError::InDoubt(batch.write_id.clone())))
        }
        end => Ok(end),
    }
}

fn overtaken_by(key: &str) -> Result<WriteEnd, Report<AcceptError>> {
    if key == HEAD_KEY {
        return Ok(WriteEnd::Overtaken);
    }
    Err(Report::new(AcceptError::Conflict(key.into())))
}

/// Returns how a write ended, as the `head` row tells it.
fn settle_write(store: &dyn PlatformStore, batch: &WriteBatch, base: Generation) -> WriteEnd {
    let Ok(head) = HeadRow::read(store) else {
        return WriteEnd::Unknown;
    };
    if head.find(&batch.write_id).is_some() {
        return WriteEnd::Accepted;
    }
    if head.mark().generation == base {
        return WriteEnd::Unmoved;
    }
    if head.covers(base) {
        WriteEnd::Overtaken
    } else {
        WriteEnd::Unknown
    }
}
