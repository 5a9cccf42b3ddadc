//! `moves`: every move and how it stands.

use std::fmt;
use std::time::Duration;
use std::time::SystemTime;

use coltsfootweir::decision::DecisionLine;
use coltsfootweir::ids::MoveName;
use coltsfootweir::ids::ServiceName;
use coltsfootweir::ids::VersionName;
use coltsfootweir::mover::read_lease;
use coltsfootweir::platform::PlatformStore;
use coltsfootweir::record::MovePhase;
use coltsfootweir::record::MoveRecord;
use coltsfootweir::record::TrafficShare;
use serde::Serialize;
use serde_json::json;

use crate::accepted::read_accepted;
use crate::accepted::unavailable;
use crate::failure::CommandFailure;
use crate::output::CommandOutput;
use crate::output::CommandResult;
use crate::text_table::TextTable;

/// How a move stands.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct MoveSummary {
    /// Name of the move.
    pub name: MoveName,
    /// Service that moves.
    pub service: ServiceName,
    /// Version that serves before the move.
    pub from: VersionName,
    /// Version that serves after the move.
    pub to: VersionName,
    /// State of the move.
    pub phase: MovePhase,
    /// Share of the new version, percent.
    pub share: TrafficShare,
    /// Time by which all traffic is to be on the new version, RFC 3339.
    pub done_by: Box<str>,
    /// Whole seconds left until then: now for a move under way, at its end for one that has ended;
    /// negative when late, `None` when the time of the end is not known.
    pub seconds_left: Option<i64>,
    /// Why the move was taken back, or how it ended; empty until then.
    pub reason: Box<str>,
}

impl MoveSummary {
    /// Summarizes a move at `now`; the last decision line of an ended move tells when it ended.
    #[must_use]
    pub fn new(record: &MoveRecord, lines: &[DecisionLine], now: SystemTime) -> MoveSummary {
        let counted_at = if record.phase.is_ended() {
            lines.last().map(|line| line.wall)
        } else {
            Some(now)
        };
        MoveSummary {
            name: record.name.clone(),
            service: record.service.clone(),
            from: record.from.clone(),
            to: record.to.clone(),
            phase: record.phase,
            share: record.share,
            done_by: humantime::format_rfc3339_seconds(record.done_by)
                .to_string()
                .into(),
            seconds_left: counted_at.map(|at| seconds_between(at, record.done_by)),
            reason: record.reason.clone(),
        }
    }

    fn time_text(&self) -> String {
        let Some(seconds) = self.seconds_left else {
            return "-".into();
        };
        let length = humantime::format_duration(Duration::from_secs(seconds.unsigned_abs()));
        match (self.phase, seconds < 0) {
            (MovePhase::TakenBack, _) => "-".into(),
            (MovePhase::Done, false) => format!("{length} early"),
            (_, true) => format!("{length} late"),
            (_, false) => format!("{length} left"),
        }
    }
}

impl fmt::Display for MoveSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "move/{} {}: checks {}%, bookings {}%, done by {}",
            self.name,
            phase_text(self.phase),
            self.share.checks,
            self.share.bookings,
            self.done_by
        )?;
        if self.reason.is_empty() {
            return Ok(());
        }
        write!(f, "; {}", self.reason)
    }
}

/// Lists every move.
///
/// # Errors
/// [`CommandFailure::Unavailable`].
pub fn list_moves(store: &dyn PlatformStore) -> CommandResult {
    let snapshot = read_accepted(store)?;
    let now = SystemTime::now();
    let mut moves = Vec::new();
    for record in snapshot.moves.values() {
        let lines = read_lines(store, record)?;
        moves.push(MoveSummary::new(record, &lines, now));
    }
    let mut table = TextTable::new([
        "MOVE", "SERVICE", "FROM", "TO", "PHASE", "CHECKS", "BOOKINGS", "DONE BY", "TIME", "REASON",
    ]);
    for summary in &moves {
        table.push([
            summary.name.to_string(),
            summary.service.to_string(),
            summary.from.to_string(),
            summary.to.to_string(),
            phase_text(summary.phase).to_string(),
            format!("{}%", summary.share.checks),
            format!("{}%", summary.share.bookings),
            summary.done_by.to_string(),
            summary.time_text(),
            summary.reason.to_string(),
        ]);
    }
    let generation = snapshot.generation;
    let text = format!("generation {generation}, {} moves\n{table}", moves.len());
    Ok(CommandOutput::new(
        text,
        json!({"generation": generation, "moves": moves}),
    ))
}

/// Reads the decision lines of a move, oldest first.
///
/// # Errors
/// [`CommandFailure::Unavailable`].
pub fn read_lines(
    store: &dyn PlatformStore,
    record: &MoveRecord,
) -> Result<Vec<DecisionLine>, CommandFailure> {
    let row = read_lease(store, &record.name).map_err(|report| unavailable(&report))?;
    Ok(row.map(|row| row.lines).unwrap_or_default())
}

/// Returns a phase as people read it.
#[must_use]
pub fn phase_text(phase: MovePhase) -> &'static str {
    match phase {
        MovePhase::Waiting => "waiting",
        MovePhase::Climbing => "climbing",
        MovePhase::Settling => "settling",
        MovePhase::Done => "done",
        MovePhase::TakenBack => "taken back",
    }
}

fn seconds_between(from: SystemTime, to: SystemTime) -> i64 {
    let whole = |length: Duration| i64::try_from(length.as_secs()).unwrap_or(i64::MAX);
    match to.duration_since(from) {
        Ok(left) => whole(left),
        Err(late) => -whole(late.duration()),
    }
}
