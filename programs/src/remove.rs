//! `remove`: takes records out of the configuration, all or none.

use coltsfootweir::platform::PlatformStore;
use coltsfootweir::snapshot::ConfigSnapshot;
use serde_json::json;

use crate::apply::accept_guarded;
use crate::output::CommandOutput;
use crate::output::CommandResult;

/// Removes the records of these labels, such as `route/stalls`.
///
/// # Errors
/// Any [`CommandFailure`](crate::failure::CommandFailure) but those of waiting.
pub fn remove_records(store: &dyn PlatformStore, labels: &[Box<str>]) -> CommandResult {
    let change = |base: &ConfigSnapshot| base.without_records(labels);
    let accepted = accept_guarded(store, &change, &[])?;
    let text = format!("removed in generation {}\n", accepted.generation);
    let json = json!({"generation": accepted.generation, "removed": labels});
    Ok(CommandOutput::new(text, json))
}
