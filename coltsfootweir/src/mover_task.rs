//! Task that runs the moves this daemon is a candidate for.
//!
//! A separate thread reads and writes the store, so that a slow store does not delay the collection of
//! evidence or the condemnation of a bad version.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use flume::Receiver;
use flume::RecvTimeoutError;
use flume::Sender;
use log::info;
use log::warn;
use serde::Serialize;

use crate::accept::AcceptError;
use crate::accept::accept_change;
use crate::context::DaemonContext;
use crate::context::lock;
use crate::evidence_task::candidates_in;
use crate::evidence_task::poll_evidence;
use crate::fact::CondemnedFact;
use crate::ids::Generation;
use crate::ids::MoveName;
use crate::kernel::DaemonTask;
use crate::kernel::StopSignal;
use crate::kernel::TaskPlugin;
use crate::lease::LeaseRow;
use crate::logging::MOVES;
use crate::mover::MoveStep;
use crate::mover::MoverAction;
use crate::mover::MoverInput;
use crate::mover::WriteResult;
use crate::mover::lease_key;
use crate::mover::lines_key;
use crate::mover::with_lines;
use crate::offer::AcceptedOffer;
use crate::platform::CommitOutcome;
use crate::platform::PlatformError;
use crate::platform::PlatformResult;
use crate::platform::RowCondition;
use crate::platform::RowWrite;
use crate::platform::TableRow;
use crate::platform::WriteBatch;
use crate::record::MoveRecord;
use crate::record_fault::RecordFault;
use crate::snapshot::ConfigSnapshot;

/// Interval between two ticks.
const TICK_INTERVAL: Duration = Duration::from_secs(1);

struct MoverTask;

inventory::submit! { TaskPlugin { task: &MoverTask } }

impl DaemonTask for MoverTask {
    fn name(&self) -> &'static str {
        "moves"
    }

    fn run(&self, context: &Arc<DaemonContext>, stop: &StopSignal) {
        let (sender, operations) = flume::unbounded();
        thread::scope(|scope| {
            scope.spawn(|| run_store_operations(context, &operations, stop));
            while !stop.wait(TICK_INTERVAL) {
                for action in tick(context) {
                    run_action(context, action, &sender);
                }
            }
        });
    }
}

fn tick(context: &DaemonContext) -> Vec<MoverAction> {
    let snapshot = lock(&context.config).snapshot();
    let moves: Vec<MoveRecord> = snapshot
        .moves
        .values()
        .filter(|record| !record.phase.is_ended())
        .cloned()
        .collect();
    let gossip = lock(&context.gossip);
    let condemned: Vec<CondemnedFact> = gossip.condemned().cloned().collect();
    let view = gossip.view();
    let region = &context.settings.region;
    let is_candidate = |record: &MoveRecord| {
        let candidates = candidates_in(view, region, record);
        candidates.iter().any(|entry| entry.id == context.id)
    };
    let all_live_serve =
        |generation: Generation| view.live().all(|entry| entry.served >= generation);
    let input = MoverInput {
        now: context.now(),
        wall: context.clock.wall(),
        moves: &moves,
        is_candidate: &is_candidate,
        all_live_serve: &all_live_serve,
        generation: snapshot.generation,
        condemned: &condemned,
        is_leaving: context.is_leaving(),
    };
    lock(&context.mover).tick(&input)
}

fn run_action(context: &Arc<DaemonContext>, action: MoverAction, sender: &Sender<MoverAction>) {
    match action {
        MoverAction::PollEvidence { service } => poll_evidence(context, &service),
        MoverAction::AssertCondemned(fact) => assert_condemned(context, fact),
        operation => {
            let _ = sender.send(operation);
        }
    }
}

fn assert_condemned(context: &DaemonContext, fact: CondemnedFact) {
    warn!(target: MOVES, "move {}: version {} condemned: {}", fact.move_name, fact.version, fact.reason);
    lock(&context.gossip).assert_condemned(fact);
    context.refresh_index();
    context.push_urgent();
}

fn run_store_operations(
    context: &DaemonContext,
    operations: &Receiver<MoverAction>,
    stop: &StopSignal,
) {
    while !stop.is_set() {
        match operations.recv_timeout(TICK_INTERVAL) {
            Ok(action) => run_store_operation(context, action),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

fn run_store_operation(context: &DaemonContext, action: MoverAction) {
    match action {
        MoverAction::ReadLease { move_name } => read_lease(context, &move_name),
        MoverAction::WriteLease {
            move_name,
            condition,
            row,
        } => {
            let result = write_lease(context, &move_name, condition, &row);
            lock(&context.mover).on_lease_written(&move_name, result, context.now());
        }
        MoverAction::StepMove {
            step,
            lease_condition,
            lease_row,
        } => {
            let result = write_step(context, &step, lease_condition, &lease_row);
            lock(&context.mover).on_step(&step.move_name, result, context.now());
        }
        MoverAction::PollEvidence { .. } | MoverAction::AssertCondemned(_) => {}
    }
}

fn read_lease(context: &DaemonContext, move_name: &MoveName) {
    let row = read_lease_row(context, move_name);
    let mut mover = lock(&context.mover);
    match row {
        Ok(row) => mover.on_lease_row(move_name, row.as_ref(), context.now()),
        Err(_) => mover.on_lease_read_failed(move_name),
    }
}

/// Reads the row of a lease and, if this daemon holds the lease, adds its decision lines.
fn read_lease_row(
    context: &DaemonContext,
    move_name: &MoveName,
) -> PlatformResult<Option<TableRow>> {
    let store = context.platform.as_ref();
    let Some(row) = store.read_row(&lease_key(move_name))? else {
        return Ok(None);
    };
    let lease = serde_json::from_str(&row.value).ok();
    let own = lease.filter(|lease: &LeaseRow| lease.holder.as_ref() == Some(&context.id));
    let Some(lease) = own else {
        return Ok(Some(row));
    };
    let lease = with_lines(store, move_name, lease)?;
    let value = serde_json::to_string(&lease).unwrap_or_default();
    Ok(Some(TableRow {
        value: value.into(),
        ..row
    }))
}

fn write_lease(
    context: &DaemonContext,
    move_name: &MoveName,
    condition: RowCondition,
    row: &LeaseRow,
) -> WriteResult {
    let batch = WriteBatch {
        write_id: context.make_write_id(),
        writes: vec![lease_write(move_name, condition, row)],
    };
    match context.platform.commit(&batch) {
        Ok(CommitOutcome::Committed) => WriteResult::Committed,
        Ok(CommitOutcome::Conflict(_)) => WriteResult::Refused,
        Err(error) if *error.current_context() == PlatformError::Unavailable => {
            WriteResult::Unavailable
        }
        Err(_) => WriteResult::AnswerLost,
    }
}

/// Returns the write of a lease row without its decision lines.
fn lease_write(move_name: &MoveName, condition: RowCondition, row: &LeaseRow) -> RowWrite {
    let row = LeaseRow {
        lines: Vec::new(),
        ..row.clone()
    };
    row_write(lease_key(move_name), condition, &row)
}

/// Returns the write of the decision lines. It needs no condition of its own, since the condition on
/// the lease row applies to the whole batch.
fn lines_write(move_name: &MoveName, row: &LeaseRow) -> RowWrite {
    row_write(lines_key(move_name), RowCondition::Any, &row.lines)
}

fn row_write(key: Box<str>, condition: RowCondition, value: &impl Serialize) -> RowWrite {
    let value = serde_json::to_string(value).unwrap_or_default();
    RowWrite {
        key,
        condition,
        value: Some(value.into()),
    }
}

fn write_step(
    context: &DaemonContext,
    step: &MoveStep,
    condition: RowCondition,
    row: &LeaseRow,
) -> WriteResult {
    let rows = [
        lease_write(&step.move_name, condition, row),
        lines_write(&step.move_name, row),
    ];
    let change = |base: &ConfigSnapshot| apply_step(base, step);
    let write_ids = || context.make_write_id();
    match accept_change(context.platform.as_ref(), &write_ids, &change, &rows) {
        Ok(next) => {
            info!(target: MOVES, "move {} is {:?} in generation {}", step.move_name, step.phase, next.generation);
            context.apply_offer(&AcceptedOffer::new(&next));
            WriteResult::Committed
        }
        Err(error) => {
            info!(target: MOVES, "step of move {} not accepted: {error}", step.move_name);
            match error.current_context() {
                AcceptError::Refused(_) | AcceptError::Conflict(_) => WriteResult::Refused,
                AcceptError::Unavailable => WriteResult::Unavailable,
                AcceptError::InDoubt(_) => WriteResult::AnswerLost,
            }
        }
    }
}

fn apply_step(base: &ConfigSnapshot, step: &MoveStep) -> Result<ConfigSnapshot, Vec<RecordFault>> {
    let newest = base.moves.get(&step.move_name);
    let Some(record) = newest.and_then(|newest| step.apply(newest)) else {
        let reason = "no longer allows this step";
        return Err(vec![RecordFault::new(
            step.move_name.clone(),
            "phase",
            reason,
        )]);
    };
    base.with_move_step(&record.name, record.phase, record.share, &record.reason)
}
