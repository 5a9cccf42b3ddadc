//! Removes old claims from the platform.

use std::sync::Arc;
use std::time::Duration;

use log::debug;
use log::info;

use crate::claim_removal::ClaimAction;
use crate::claim_removal::ClaimRemoval;
use crate::claim_removal::IDLE_INTERVAL;
use crate::context::DaemonContext;
use crate::context::lock;
use crate::kernel::DaemonTask;
use crate::kernel::StopSignal;
use crate::kernel::TaskPlugin;
use crate::logging::RETENTION;
use crate::platform::CommitOutcome;
use crate::platform::PlatformResult;
use crate::platform::WriteBatch;
use crate::rank::holds_job;

/// Delay after the start, in which the daemon discovers other members.
pub(crate) const START_DELAY: Duration = Duration::from_secs(20);

/// Number of members in the store's region that perform a removal job.
const REMOVER_COUNT: usize = 1;

struct RetentionTask;

inventory::submit! { TaskPlugin { task: &RetentionTask } }

impl DaemonTask for RetentionTask {
    fn name(&self) -> &'static str {
        "retention"
    }

    fn run(&self, context: &Arc<DaemonContext>, stop: &StopSignal) {
        let mut delay = START_DELAY;
        while !stop.wait(delay) {
            if !is_remover(context, "claims") {
                delay = IDLE_INTERVAL;
                continue;
            }
            delay = remove_claims(context, stop).unwrap_or_else(|error| {
                debug!(target: RETENTION, "old claims not removed: {error}");
                IDLE_INTERVAL
            });
        }
    }
}

/// Returns whether this daemon performs a removal job; [`REMOVER_COUNT`] members in the store's region
/// do. If two daemons run the same job, the only cost is extra store operations.
pub(crate) fn is_remover(context: &DaemonContext, job: &str) -> bool {
    let settings = &context.settings;
    if !context.is_serving() || settings.region != settings.store_region {
        return false;
    }
    let gossip = lock(&context.gossip);
    let live = gossip.view().live_in(&settings.region);
    holds_job(job, &context.id, REMOVER_COUNT, live)
}

/// Runs one pass; returns the delay until the next.
fn remove_claims(context: &DaemonContext, stop: &StopSignal) -> PlatformResult<Duration> {
    let (mut pass, mut action) = ClaimRemoval::start();
    let mut removed = 0;
    while !stop.is_set() {
        action = match action {
            ClaimAction::List(range) => {
                let rows = context.platform.list_range(&range)?;
                pass.on_page(&rows, context.clock.wall())
            }
            ClaimAction::Remove(writes, claims) => {
                let write_id = context.make_write_id();
                let outcome = context.platform.commit(&WriteBatch { write_id, writes })?;
                if outcome == CommitOutcome::Committed {
                    context.retention.add_claims_removed(claims);
                    removed += claims;
                }
                pass.on_removed(&outcome)
            }
            ClaimAction::Wait(delay) => {
                if removed > 0 {
                    info!(target: RETENTION, "removed {removed} old claims");
                }
                return Ok(delay);
            }
        };
    }
    Ok(IDLE_INTERVAL)
}
