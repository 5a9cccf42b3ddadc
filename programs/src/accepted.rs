//! Reads accepted configurations from the platform.

use std::error::Error;

use coltsfootweir::accept::delta_object;
use coltsfootweir::accept::fetch_snapshot;
use coltsfootweir::accept::read_head;
use coltsfootweir::ids::Generation;
use coltsfootweir::platform::PlatformStore;
use coltsfootweir::snapshot::ConfigSnapshot;
use coltsfootweir::snapshot::HeadMark;
use coltsfootweir::snapshot::SnapshotDelta;
use error_stack::Report;

use crate::failure::CommandFailure;

/// Reads the accepted configuration.
///
/// # Errors
/// [`CommandFailure::Unavailable`].
pub fn read_accepted(store: &dyn PlatformStore) -> Result<ConfigSnapshot, CommandFailure> {
    let mark = read_head(store).map_err(|report| unavailable(&report))?;
    fetch_snapshot(store, &mark).map_err(|report| unavailable(&report))
}

/// Reads an earlier configuration, found by walking the deltas back from the accepted one.
///
/// # Errors
/// [`CommandFailure::Refused`] when there was no such generation, [`CommandFailure::Unavailable`].
pub fn read_generation(
    store: &dyn PlatformStore,
    generation: Generation,
) -> Result<ConfigSnapshot, CommandFailure> {
    let mut mark = read_head(store).map_err(|report| unavailable(&report))?;
    if generation > mark.generation {
        let reason = format!(
            "no generation {generation}; the latest is {}",
            mark.generation
        );
        return Err(CommandFailure::refused(reason));
    }
    while mark.generation > generation {
        mark = read_base(store, &mark)?;
    }
    fetch_snapshot(store, &mark).map_err(|report| unavailable(&report))
}

fn read_base(store: &dyn PlatformStore, mark: &HeadMark) -> Result<HeadMark, CommandFailure> {
    let name = delta_object(mark);
    let bytes = store
        .get_object(&name)
        .map_err(|report| unavailable(&report))?;
    let Some(bytes) = bytes else {
        let reason = format!("the platform no longer has the object {name}");
        return Err(CommandFailure::Unavailable(reason.into()));
    };
    let delta = SnapshotDelta::decode(&bytes);
    let delta =
        delta.map_err(|error| CommandFailure::Unavailable(format!("{name}: {error}").into()))?;
    Ok(delta.base)
}

/// Turns an error of the platform into the failure that names its causes.
pub fn unavailable<C: Error + Send + Sync + 'static>(report: &Report<C>) -> CommandFailure {
    CommandFailure::Unavailable(cause_text(report).into())
}

/// Returns the contexts of a report, outermost first; layers that say the same are named once.
fn cause_text<C: Error + Send + Sync + 'static>(report: &Report<C>) -> String {
    let text = format!("{report:#}");
    let mut causes: Vec<&str> = text.split(": ").collect();
    causes.dedup();
    causes.join(": ")
}
