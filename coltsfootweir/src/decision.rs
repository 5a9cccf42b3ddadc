//! Lines that explain the decisions of a move.

use std::time::SystemTime;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::MoveName;

/// Lines kept for each move, the latest ones.
pub const MAX_LINES_PER_MOVE: usize = 32;

/// One decision: what was seen, the rule that applied and the outcome.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DecisionLine {
    /// Wall time at the daemon that decided.
    pub wall: SystemTime,
    /// The move.
    pub move_name: MoveName,
    /// Figures that were seen.
    pub seen: Box<str>,
    /// Rule that applied.
    pub rule: Box<str>,
    /// What was decided.
    pub outcome: Box<str>,
}

/// Adds a line and drops the oldest ones above [`MAX_LINES_PER_MOVE`].
pub fn push_line(lines: &mut Vec<DecisionLine>, line: DecisionLine) {
    lines.push(line);
    let surplus = lines.len().saturating_sub(MAX_LINES_PER_MOVE);
    lines.drain(..surplus);
}
