//! Reads the seed rows of all regions and maintains the row of the own region.

use std::sync::Arc;
use std::time::Duration;

use log::debug;
use log::info;

use crate::context::DaemonContext;
use crate::context::lock;
use crate::kernel::DaemonTask;
use crate::kernel::StopSignal;
use crate::kernel::TaskPlugin;
use crate::logging::MEMBERS;
use crate::platform::CommitOutcome;
use crate::platform::RowCondition;
use crate::platform::RowWrite;
use crate::platform::TableRow;
use crate::platform::WriteBatch;
use crate::seed_row::SEED_PREFIX;
use crate::seed_row::SeedRow;
use crate::seed_row::SeedSchedule;

/// Interval between checks of the schedule.
const TICK_INTERVAL: Duration = Duration::from_secs(1);

struct SeedTask;

inventory::submit! { TaskPlugin { task: &SeedTask } }

impl DaemonTask for SeedTask {
    fn name(&self) -> &'static str {
        "seeds"
    }

    fn run(&self, context: &Arc<DaemonContext>, stop: &StopSignal) {
        let mut schedule = SeedSchedule::default();
        loop {
            sync_seeds(context, &mut schedule);
            if stop.wait(TICK_INTERVAL) {
                return;
            }
        }
    }
}

fn sync_seeds(context: &DaemonContext, schedule: &mut SeedSchedule) {
    let now = context.now();
    let region = &context.settings.region;
    let is_wanted = {
        let gossip = lock(&context.gossip);
        schedule.should_read(&context.id, gossip.view().live_in(region), now)
    };
    if !is_wanted {
        return;
    }
    let rows = match context.platform.list_rows(SEED_PREFIX) {
        Ok(rows) => rows,
        Err(error) => {
            debug!(target: MEMBERS, "seed rows not read: {error}");
            schedule.on_read_failure();
            return;
        }
    };
    let key = format!("{SEED_PREFIX}{region}");
    let mut own_row = None;
    let mut gossip = lock(&context.gossip);
    for row in &rows {
        let Ok(seeds) = serde_json::from_str::<SeedRow>(&row.value) else {
            continue;
        };
        gossip.add_seeds(seeds.addresses.iter().copied());
        if *row.key == *key {
            own_row = Some((row, seeds));
        }
    }
    let held = own_row
        .as_ref()
        .map(|(_, seeds)| seeds.clone())
        .unwrap_or_default();
    let wanted = schedule.row_to_write(&context.id, &held, gossip.view().live_in(region), now);
    drop(gossip);
    if let Some(seeds) = wanted {
        let written = write_seeds(context, &key, own_row.map(|(row, _)| row), &seeds);
        match written {
            Some(CommitOutcome::Committed) => schedule.on_written(now),
            Some(CommitOutcome::Conflict(_)) => schedule.on_conflict(),
            None => {}
        }
    }
}

fn write_seeds(
    context: &DaemonContext,
    key: &str,
    held: Option<&TableRow>,
    seeds: &SeedRow,
) -> Option<CommitOutcome> {
    let condition = held.map_or(RowCondition::Absent, |row| RowCondition::At(row.version));
    let value = serde_json::to_string(seeds).unwrap_or_default();
    let batch = WriteBatch {
        write_id: context.make_write_id(),
        writes: vec![RowWrite {
            key: key.into(),
            condition,
            value: Some(value.into()),
        }],
    };
    match context.platform.commit(&batch) {
        Ok(outcome) => {
            info!(target: MEMBERS, "write of seed row {key}: {outcome:?}");
            Some(outcome)
        }
        Err(error) => {
            debug!(target: MEMBERS, "seed row {key} not written: {error}");
            None
        }
    }
}
