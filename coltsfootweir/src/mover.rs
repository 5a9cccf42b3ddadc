//! State machine of a daemon for the moves it is a candidate for.
//!
//! A step forward needs the lease on the move. Condemning a version does not: each candidate asserts
//! it at once, and the holder of the lease writes the end of the move when the store answers.

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

/// Returns the key of the table row that holds a move's lease.
#[must_use]
pub fn lease_key(move_name: &str) -> Box<str> {
    format!("move/{move_name}").into()
}

/// Returns the key of the table row that holds a move's decision lines. The lines have a separate row
/// so that heartbeats and the reads of observers don't transfer them.
#[must_use]
pub fn lines_key(move_name: &str) -> Box<str> {
    format!("lines/{move_name}").into()
}

/// Reads the lease and the decision lines of a move; `None` if the lease row is absent or cannot be
/// parsed.
///
/// # Errors
/// Returns the errors of [`PlatformStore::read_row`].
pub fn read_lease(store: &dyn PlatformStore, move_name: &str) -> PlatformResult<Option<LeaseRow>> {
    let row = store.read_row(&lease_key(move_name))?;
    let lease = row.and_then(|row| serde_json::from_str(&row.value).ok());
    let Some(lease) = lease else {
        return Ok(None);
    };
    Ok(Some(with_lines(store, move_name, lease)?))
}

/// Returns the lease with the decision lines of the move. The lines of `lease` stay if their row is
/// absent or cannot be parsed.
///
/// # Errors
/// Returns the errors of [`PlatformStore::read_row`].
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

/// One step of a move, submitted as a new configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MoveStep {
    /// Name of the move.
    pub move_name: MoveName,
    /// Phase at the time of the decision.
    pub from_phase: MovePhase,
    /// Share at the time of the decision.
    pub from_share: TrafficShare,
    /// Phase after the step.
    pub phase: MovePhase,
    /// Share after the step.
    pub share: TrafficShare,
    /// Reason for the end of the move; empty while the move runs.
    pub reason: Box<str>,
}

impl MoveStep {
    /// Returns the record after the step, or `None` if the newest accepted record does not allow the
    /// step: the move has ended, or a step forward was decided on another state.
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

/// Action of the daemon for a move.
#[derive(Clone, Debug, PartialEq)]
pub enum MoverAction {
    /// Request the evidence of every endpoint of the service, including endpoints without calls.
    PollEvidence {
        /// Name of the service.
        service: ServiceName,
    },
    /// Read the row [`lease_key`] and pass it to [`MoverState::on_lease_row`].
    ReadLease {
        /// Name of the move.
        move_name: MoveName,
    },
    /// Write the row [`lease_key`] and pass the result to [`MoverState::on_lease_written`].
    WriteLease {
        /// Name of the move.
        move_name: MoveName,
        /// Condition of the write.
        condition: RowCondition,
        /// New value of the row.
        row: LeaseRow,
    },
    /// Submit the step and write the row [`lease_key`] under the condition in the same transaction.
    /// Pass the result to [`MoverState::on_step`].
    StepMove {
        /// The step.
        step: MoveStep,
        /// Condition on the lease row.
        lease_condition: RowCondition,
        /// New value of the lease row, including the decision line of the step.
        lease_row: LeaseRow,
    },
    /// Send the fact to the other daemons at once.
    AssertCondemned(CondemnedFact),
}

/// Result of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteResult {
    /// The write took effect.
    Committed,
    /// The write had no effect: its condition was not met, or the record does not allow the step.
    Refused,
    /// The write had no effect: the store could not be reached.
    Unavailable,
    /// The answer was lost, and the write may have taken effect.
    AnswerLost,
}

/// Input of a tick.
pub struct MoverInput<'a> {
    /// Time since the start of the daemon.
    pub now: Duration,
    /// Wall-clock time.
    pub wall: SystemTime,
    /// Moves in the configuration in force.
    pub moves: &'a [MoveRecord],
    /// Returns whether this daemon is a candidate for a move, by rank.
    pub is_candidate: &'a dyn Fn(&MoveRecord) -> bool,
    /// Returns whether every live daemon serves at least this generation.
    pub all_live_serve: &'a dyn Fn(Generation) -> bool,
    /// Generation in force.
    pub generation: Generation,
    /// All known condemned versions.
    pub condemned: &'a [CondemnedFact],
    /// Whether this daemon is in a planned stop; it then releases its leases and takes none.
    pub is_leaving: bool,
}

/// Limits of a mover.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MoverLimits {
    /// Pace limits of each move.
    pub pace: PaceLimits,
}

/// State of the moves one daemon is a candidate for.
pub struct MoverState {
    own_id: MemberId,
    limits: MoverLimits,
    works: BTreeMap<MoveName, MoveWork>,
}

impl MoverState {
    /// Creates a state without moves.
    #[must_use]
    pub fn new(own_id: MemberId, limits: MoverLimits) -> MoverState {
        MoverState {
            own_id,
            limits,
            works: BTreeMap::new(),
        }
    }

    /// Returns the actions that are due now. Call it about once a second.
    pub fn tick(&mut self, input: &MoverInput<'_>) -> Vec<MoverAction> {
        let mut actions = Vec::new();
        for record in input.moves {
            if record.phase.is_ended() {
                self.works.remove(&record.name);
                continue;
            }
            if !(input.is_candidate)(record) {
                self.release_lease(record, input, &mut actions);
                continue;
            }
            let (own_id, limits) = (&self.own_id, self.limits);
            let work = self.works.entry(record.name.clone());
            let work =
                work.or_insert_with(|| MoveWork::new(own_id.clone(), record, limits, input.now));
            work.tick(record, input, &mut actions);
        }
        self.works
            .retain(|name, _| input.moves.iter().any(|record| record.name == *name));
        actions
    }

    /// Handles the lease row returned by a read. After a failed read, call
    /// [`MoverState::on_lease_read_failed`] instead.
    pub fn on_lease_row(&mut self, move_name: &MoveName, row: Option<&TableRow>, now: Duration) {
        if let Some(work) = self.works.get_mut(move_name) {
            work.on_lease_row(row, now);
        }
    }

    /// Handles a failed read of the lease row.
    pub fn on_lease_read_failed(&mut self, move_name: &MoveName) {
        if let Some(work) = self.works.get_mut(move_name) {
            work.on_lease_read_failed();
        }
    }

    /// Handles the result of the last [`MoverAction::WriteLease`] of a move.
    pub fn on_lease_written(&mut self, move_name: &MoveName, result: WriteResult, now: Duration) {
        if let Some(work) = self.works.get_mut(move_name) {
            work.on_written(result, now);
        }
    }

    /// Handles the result of the last [`MoverAction::StepMove`] of a move.
    pub fn on_step(&mut self, move_name: &MoveName, result: WriteResult, now: Duration) {
        if let Some(work) = self.works.get_mut(move_name) {
            work.on_written(result, now);
        }
    }

    /// Handles the evidence of one endpoint.
    pub fn on_evidence(&mut self, evidence: &EndpointEvidence, now: Duration) {
        for work in self.works.values_mut() {
            work.on_evidence(evidence, now);
        }
    }

    /// Handles an alert: an endpoint has new evidence against the new version of a move.
    pub fn on_alert(&mut self, move_name: &MoveName, now: Duration) {
        if let Some(work) = self.works.get_mut(move_name) {
            work.on_alert(now);
        }
    }

    /// Returns the decision lines of a move that this daemon made or read, oldest first.
    #[must_use]
    pub fn lines(&self, move_name: &MoveName) -> &[DecisionLine] {
        self.works.get(move_name).map_or(&[], |work| work.lines())
    }

    /// Releases the lease of a move for which this daemon is no longer a candidate.
    fn release_lease(
        &mut self,
        record: &MoveRecord,
        input: &MoverInput<'_>,
        actions: &mut Vec<MoverAction>,
    ) {
        let Some(work) = self.works.get_mut(&record.name) else {
            return;
        };
        if !work.release_lease(input.now, actions) {
            self.works.remove(&record.name);
        }
    }
}
