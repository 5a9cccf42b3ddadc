//! Waits until moves are done or taken back.

use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use coltsfootweir::ids::MoveName;
use coltsfootweir::platform::PlatformStore;
use coltsfootweir::record::MovePhase;
use coltsfootweir::snapshot::ConfigSnapshot;

use crate::accepted::read_accepted;
use crate::failure::CommandFailure;
use crate::moves::MoveSummary;
use crate::output::print_note;

/// Time between two reads of the accepted configuration.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Waits until every named move has ended, through outages of the platform, and returns the moves.
/// Each change of a phase or share is noted on standard error.
///
/// # Errors
/// [`CommandFailure::TakenBack`] when one was, [`CommandFailure::TimedOut`] at the limit.
pub fn wait_moves(
    store: &dyn PlatformStore,
    names: &[MoveName],
    limit: Duration,
) -> Result<Vec<MoveSummary>, CommandFailure> {
    let start = Instant::now();
    let mut latest: Vec<MoveSummary> = Vec::new();
    loop {
        if let Ok(snapshot) = read_accepted(store) {
            let moves = find_moves(&snapshot, names);
            note_changes(&latest, &moves);
            latest = moves;
            if latest.len() == names.len() && latest.iter().all(|own| own.phase.is_ended()) {
                return check_ends(latest);
            }
        }
        let left = limit.saturating_sub(start.elapsed());
        if left.is_zero() {
            return Err(CommandFailure::TimedOut(latest));
        }
        thread::sleep(POLL_INTERVAL.min(left));
    }
}

fn find_moves(snapshot: &ConfigSnapshot, names: &[MoveName]) -> Vec<MoveSummary> {
    let now = SystemTime::now();
    let mut moves = Vec::new();
    for name in names {
        let record = snapshot.moves.get(name);
        moves.extend(record.map(|record| MoveSummary::new(record, &[], now)));
    }
    moves
}

fn note_changes(before: &[MoveSummary], after: &[MoveSummary]) {
    for summary in after {
        let known = before.iter().find(|known| known.name == summary.name);
        let is_same =
            |known: &MoveSummary| known.phase == summary.phase && known.share == summary.share;
        if known.is_some_and(is_same) || summary.phase.is_ended() {
            continue;
        }
        print_note(&format!("{summary}\n"));
    }
}

fn check_ends(moves: Vec<MoveSummary>) -> Result<Vec<MoveSummary>, CommandFailure> {
    let is_bad = |summary: &MoveSummary| summary.phase == MovePhase::TakenBack;
    if moves.iter().any(is_bad) {
        return Err(CommandFailure::TakenBack(moves));
    }
    Ok(moves)
}
