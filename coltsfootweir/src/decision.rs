//! Log of the decisions made for a move.

use std::time::SystemTime;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::MoveName;

/// Maximum number of decision lines kept per move; older lines are dropped.
pub const MAX_LINES_PER_MOVE: usize = 32;

/// One decision: the observed figures, the rule that applied and the outcome.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DecisionLine {
    /// Wall-clock time of the daemon that made the decision.
    pub wall: SystemTime,
    /// Name of the move.
    pub move_name: MoveName,
    /// Observed figures the decision is based on.
    pub seen: Box<str>,
    /// Name of the rule that applied.
    pub rule: Box<str>,
    /// Outcome of the decision.
    pub outcome: Box<str>,
}

/// Appends a line and drops the oldest lines beyond [`MAX_LINES_PER_MOVE`].
pub fn push_line(lines: &mut Vec<DecisionLine>, line: DecisionLine) {
    lines.push(line);
    let surplus = lines.len().saturating_sub(MAX_LINES_PER_MOVE);
    lines.drain(..surplus);
}
