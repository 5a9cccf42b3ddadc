//! Removes the objects of old generations from the platform.

use std::sync::Arc;
use std::time::Duration;

use log::debug;
use log::info;

use crate::context::DaemonContext;
use crate::head_history::HistoryLimits;
use crate::head_history::find_cutoff;
use crate::kernel::DaemonTask;
use crate::kernel::StopSignal;
use crate::kernel::TaskPlugin;
use crate::logging::RETENTION;
use crate::object_sweep::ObjectSweep;
use crate::object_sweep::SWEEP_INTERVAL;
use crate::object_sweep::SweepAction;
use crate::platform::PlatformResult;
use crate::retention_task::START_DELAY;
use crate::retention_task::is_remover;

/// Time between two checks of whether this daemon is the remover.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_secs(60);

struct ObjectTask;

inventory::submit! { TaskPlugin { task: &ObjectTask } }

impl DaemonTask for ObjectTask {
    fn name(&self) -> &'static str {
        "objects"
    }

    fn run(&self, context: &Arc<DaemonContext>, stop: &StopSignal) {
        let mut delay = START_DELAY;
        while !stop.wait(delay) {
            if !is_remover(context, "objects") {
                delay = ROLE_CHECK_INTERVAL;
                continue;
            }
            delay = SWEEP_INTERVAL;
            if let Err(error) = sweep_objects(context, stop) {
                debug!(target: RETENTION, "old generations not removed: {error}");
            }
        }
    }
}

fn sweep_objects(context: &DaemonContext, stop: &StopSignal) -> PlatformResult<()> {
    let store = context.platform.as_ref();
    let limits = HistoryLimits::default();
    let cutoff = find_cutoff(
        store,
        context.make_write_id(),
        context.clock.wall(),
        &limits,
    )?;
    let mut sweep = ObjectSweep::start(cutoff);
    let mut removed = 0;
    loop {
        match sweep.next_action() {
            SweepAction::List(range) => sweep.on_page(store.list_objects(&range)?),
            SweepAction::Remove(names) => {
                for name in &names {
                    store.delete_object(name)?;
                }
                context.retention.add_objects_removed(names.len());
                removed += names.len();
                sweep.on_removed();
            }
            SweepAction::Wait(delay) if stop.wait(delay) => return Ok(()),
            SweepAction::Wait(_) => {}
            SweepAction::End => break,
        }
    }
    if removed > 0 {
        info!(target: RETENTION, "removed {removed} objects of generations below {cutoff}");
    }
    Ok(())
}
