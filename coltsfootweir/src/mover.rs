//! The acting member of a move: what one daemon does for the moves it is a candidate for.
//!
//! Going forward needs the lease on the move. Taking back does not: each candidate asserts the
//! condemned version at once, and a holder of the lease writes the end when the store answers.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::SystemTime;

use crate::decision::DecisionLine;
use crate::evidence::EndpointEvidence;
use crate::fact::CondemnedFact;
use crate::ids::Generation;
use crate::ids::MemberId;
use crate::ids::MoveName;
use crate::ids::ServiceName;
use crate::lease::LeaseRow;
use crate::move_work::MoveWork;
use crate::pace::PaceLimits;
use crate::platform::PlatformResult;
use crate::platform::PlatformStore;
use crate::platform::RowCondition;
use crate::platform::TableRow;
use crate::record::MovePhase;
use crate::record::MoveRecord;
use crate::record::TrafficShare;

/// Returns the key of the table row that holds a move's lease and decision lines.
#[must_use]
pub fn lease_key(move_name: &str) -> Box<str> {
    format!("move/{move_name}").into()
}

/// Returns the key of the table row that holds a move's decision lines. They have a row of their own, so
/// that heartbeats and the reads of observers don't carry them.
#[must_use]
pub fn lines_key(move_name: &str) -> Box<str> {
    format!("lines/{move_name}").into()
}

/// Reads the lease and the decision lines of a move; `None` without a readable row.
///
/// # Errors
/// Those of [`PlatformStore::read_row`].
pub fn read_lease(store: &dyn PlatformStore, move_name: &str) -> PlatformResult<Option<LeaseRow>> {
    let row = store.read_row(&lease_key(move_name))?;
    let lease = row.and_then(|row| serde_json::from_str(&row.value).ok());
    let Some(lease) = lease else {
        return Ok(None);
    };
    Ok(Some(with_lines(store, move_name, lease)?))
}

/// Returns the lease with the decision lines of the move, if they were written.
///
/// # Errors
/// Those of [`PlatformStore::read_row`].
pub fn with_lines(
    store: &dyn PlatformStore,
    move_name: &str,
    mut lease: LeaseRow,
) -> PlatformResult<LeaseRow> {
    let row = store.read_row(&lines_key(move_name))?;
    if let Some(lines) = row.and_then(|row| serde_json::from_str(&row.value).ok()) {
        lease.lines = lines;
    }
    Ok(lease)
}

/// One step of a move, to be accepted as a new configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MoveStep {
    /// The move.
    pub move_name: MoveName,
    /// Phase the decision started from.
    pub from_phase: MovePhase,
    /// Share the decision started from.
    pub from_share: TrafficShare,
    /// Phase after the step.
    pub phase: MovePhase,
    /// Share after the step.
    pub share: TrafficShare,
    /// How the move ended; empty while it runs.
    pub reason: Box<str>,
}

impl MoveStep {
    /// Returns the record after the step, or `None` when the newest accepted record no longer allows
    /// it: the move has ended, or a step forward started from another state.
    #[must_use]
    pub fn apply(&self, newest: &MoveRecord) -> Option<MoveRecord> {
        if newest.name != self.move_name || newest.phase.is_ended() {
            return None;
        }
        let is_forward = self.phase != MovePhase::TakenBack;
        let is_same = newest.phase == self.from_phase && newest.share == self.from_share;
        if is_forward && !is_same {
            return None;
        }
        Some(MoveRecord {
            phase: self.phase,
            share: self.share,
            reason: self.reason.clone(),
            ..newest.clone()
        })
    }
}

/// What the daemon is to do for a move.
#[derive(Clone, Debug, PartialEq)]
pub enum MoverAction {
    /// Ask each endpoint of the service for its evidence, also those without calls.
    PollEvidence {
        /// The service.
        service: ServiceName,
    },
    /// Read the row [`lease_key`] and hand it to [`MoverState::on_lease_row`].
    ReadLease {
        /// The move.
        move_name: MoveName,
    },
    /// Write the row [`lease_key`] and hand the result to [`MoverState::on_lease_written`].
    WriteLease {
        /// The move.
        move_name: MoveName,
        /// Condition of the write.
        condition: RowCondition,
        /// New value of the row.
        row: LeaseRow,
    },
    /// Accept the step; in the same transaction write the row [`lease_key`] under the condition. Hand
    /// the result to [`MoverState::on_step`].
    StepMove {
        /// The step.
        step: MoveStep,
        /// Condition on the lease row.
        lease_condition: RowCondition,
        /// New value of the lease row, with the line that explains the step.
        lease_row: LeaseRow,
    },
    /// Spread the fact at once.
    AssertCondemned(CondemnedFact),
}

/// What came of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteResult {
    /// It took effect.
    Committed,
    /// It had no effect, because of its condition or because the record no longer allows it.
    Refused,
    /// It had no effect, because the store could not be reached.
    Unavailable,
    /// It may have taken effect.
    AnswerLost,
}

/// What the daemon knows at a tick.
pub struct MoverInput<'a> {
    /// Time since the daemon's start.
    pub now: Duration,
    /// Wall time.
    pub wall: SystemTime,
    /// Moves of the configuration in force.
    pub moves: &'a [MoveRecord],
    /// Whether this daemon ranks lowest for a move.
    pub is_candidate: &'a dyn Fn(&MoveRecord) -> bool,
    /// Whether every live daemon serves at least this generation.
    pub all_live_serve: &'a dyn Fn(Generation) -> bool,
    /// Generation in force.
    pub generation: Generation,
    /// Every condemned version that is known.
    pub condemned: &'a [CondemnedFact],
    /// Whether this daemon is in a planned stop; it then gives its leases up and takes none.
    pub is_leaving: bool,
}

/// Limits of a mover.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MoverLimits {
    /// Limits of the pace of each move.
    pub pace: PaceLimits,
}

/// What one daemon does for the moves it is a candidate for.
pub struct MoverState {
    own: MemberId,
    limits: MoverLimits,
    works: BTreeMap<MoveName, MoveWork>,
}

impl MoverState {
    /// Returns the state of a daemon that acts on no move yet.
    #[must_use]
    pub fn new(own: MemberId, limits: MoverLimits) -> MoverState {
        MoverState {
            own,
            limits,
            works: BTreeMap::new(),
        }
    }

    /// Decides what is to be done now; to be called about once a second.
    pub fn tick(&mut self, input: &MoverInput<'_>) -> Vec<MoverAction> {
        let mut actions = Vec::new();
        for record in input.moves {
            if record.phase.is_ended() {
                self.works.remove(&record.name);
                continue;
            }
            if !(input.is_candidate)(record) {
                self.resign(record, input, &mut actions);
                continue;
            }
            let (own, limits) = (&self.own, self.limits);
            let work = self.works.entry(record.name.clone());
            let work =
                work.or_insert_with(|| MoveWork::new(own.clone(), record, limits, input.now));
            work.tick(record, input, &mut actions);
        }
        self.works
            .retain(|name, _| input.moves.iter().any(|record| record.name == *name));
        actions
    }

    /// Takes in the lease row as a read gave it; not to be called after a failed read.
    pub fn on_lease_row(&mut self, move_name: &MoveName, row: Option<&TableRow>, now: Duration) {
        if let Some(work) = self.works.get_mut(move_name) {
            work.on_lease_row(row, now);
        }
    }

    /// Takes in that the lease row could not be read.
    pub fn on_lease_read_failed(&mut self, move_name: &MoveName) {
        if let Some(work) = self.works.get_mut(move_name) {
            work.on_lease_read_failed();
        }
    }

    /// Takes in what came of the last [`MoverAction::WriteLease`] of a move.
    pub fn on_lease_written(&mut self, move_name: &MoveName, result: WriteResult, now: Duration) {
        if let Some(work) = self.works.get_mut(move_name) {
            work.on_written(result, now);
        }
    }

    /// Takes in what came of the last [`MoverAction::StepMove`] of a move.
    pub fn on_step(&mut self, move_name: &MoveName, result: WriteResult, now: Duration) {
        if let Some(work) = self.works.get_mut(move_name) {
            work.on_written(result, now);
        }
    }

    /// Takes in the evidence of one endpoint.
    pub fn on_evidence(&mut self, evidence: &EndpointEvidence, now: Duration) {
        for work in self.works.values_mut() {
            work.on_evidence(evidence, now);
        }
    }

    /// Takes in that an endpoint saw something new speak against the new version of a move.
    pub fn on_alert(&mut self, move_name: &MoveName, now: Duration) {
        if let Some(work) = self.works.get_mut(move_name) {
            work.on_alert(now);
        }
    }

    /// Returns the lines of a move that this daemon decided on or read, oldest first.
    #[must_use]
    pub fn lines(&self, move_name: &MoveName) -> &[DecisionLine] {
        self.works.get(move_name).map_or(&[], |work| work.lines())
    }

    /// Gives up the lease of a move once this daemon no longer ranks lowest.
    fn resign(
        &mut self,
        record: &MoveRecord,
        input: &MoverInput<'_>,
        actions: &mut Vec<MoverAction>,
    ) {
        let Some(work) = self.works.get_mut(&record.name) else {
            return;
        };
        if !work.resign(input.now, actions) {
            self.works.remove(&record.name);
        }
    }
}
