//! `explain`: the decisions of one move.

use std::time::SystemTime;

use coltsfootweir::platform::PlatformStore;
use serde_json::json;

use crate::accepted::read_accepted;
use crate::failure::CommandFailure;
use crate::moves::MoveSummary;
use crate::moves::read_lines;
use crate::output::CommandOutput;
use crate::output::CommandResult;

/// Prints the latest decisions of a move, oldest first.
///
/// # Errors
/// [`CommandFailure::Refused`] when there is no such move, [`CommandFailure::Unavailable`].
pub fn explain_move(store: &dyn PlatformStore, name: &str) -> CommandResult {
    let snapshot = read_accepted(store)?;
    let Some(record) = snapshot.moves.get(name) else {
        return Err(CommandFailure::refused(format!("no move {name:?}")));
    };
    let lines = read_lines(store, record)?;
    let summary = MoveSummary::new(record, &lines, SystemTime::now());
    let mut text = format!("{summary}\n");
    let mut decisions = Vec::new();
    for line in &lines {
        let time = humantime::format_rfc3339_seconds(line.wall).to_string();
        text.push_str(&format!("{time}  {}\n", line.outcome));
        text.push_str(&format!(
            "    seen  {}\n    rule  {}\n",
            line.seen, line.rule
        ));
        decisions.push(json!({
            "time": time,
            "seen": line.seen,
            "rule": line.rule,
            "outcome": line.outcome,
        }));
    }
    if lines.is_empty() {
        text.push_str("no decision yet\n");
    }
    Ok(CommandOutput::new(
        text,
        json!({"move": summary, "decisions": decisions}),
    ))
}
