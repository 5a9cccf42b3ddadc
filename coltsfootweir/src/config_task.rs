//! Keeps this daemon at the accepted configuration, and serves it to peers.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use flume::RecvTimeoutError;
use log::debug;
use log::info;

use crate::accept::read_head;
use crate::config_pull::PullSchedule;
use crate::config_pull::catch_up;
use crate::context::DaemonContext;
use crate::context::lock;
use crate::control_server::ControlAnswer;
use crate::control_server::ControlHandler;
use crate::control_server::HandlerPlugin;
use crate::ids::Generation;
use crate::kernel::DaemonTask;
use crate::kernel::StopSignal;
use crate::kernel::TaskPlugin;
use crate::logging::CONFIG;
use crate::message_format::decode_message;
use crate::pull_message::EncodedBytes;
use crate::pull_message::PULL_PATH;
use crate::pull_message::PullAnswer;
use crate::pull_message::PullRequest;
use crate::rank::holds_job;

/// Maximum time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two reads of the `head` row by a member that reads the store.
const HEAD_INTERVAL: Duration = Duration::from_secs(1);

/// Number of members per region that read the `head` row.
const READER_COUNT: usize = 2;

struct PullHandler;

inventory::submit! { HandlerPlugin { handler: &PullHandler } }

impl ControlHandler for PullHandler {
    fn path(&self) -> &'static str {
        PULL_PATH
    }

    fn answer(&self, context: &Arc<DaemonContext>, body: &[u8]) -> ControlAnswer {
        let request: PullRequest = match decode_message(body) {
            Ok(request) => request,
            Err(error) => return ControlAnswer::BadRequest(error.to_string().into()),
        };
        ControlAnswer::message(&answer_pull(context, request.held))
    }
}

fn answer_pull(context: &DaemonContext, held: Generation) -> PullAnswer {
    let config = lock(&context.config);
    let mark = config.mark();
    if mark.generation <= held {
        return PullAnswer::Nothing;
    }
    match config.recent_delta(held) {
        Some(delta) => PullAnswer::Delta(mark, EncodedBytes(delta.encode())),
        None => PullAnswer::Snapshot(mark, EncodedBytes(config.snapshot().encode())),
    }
}

struct ConfigTask;

inventory::submit! { TaskPlugin { task: &ConfigTask } }

impl DaemonTask for ConfigTask {
    fn name(&self) -> &'static str {
        "config"
    }

    fn run(&self, context: &Arc<DaemonContext>, stop: &StopSignal) {
        let Some(wakes) = context.take_config_wakes() else {
            return;
        };
        let mut last_read = None;
        let mut pulls = PullSchedule::default();
        while !stop.is_set() {
            let now = context.now();
            let is_due = last_read.is_none_or(|last| now.saturating_sub(last) >= HEAD_INTERVAL);
            if is_due && reads_store(context) {
                last_read = Some(now);
                read_store_head(context);
            }
            settle_floor(context);
            catch_up(context, &mut pulls);
            if let Err(RecvTimeoutError::Disconnected) = wakes.recv_timeout(ROUND_INTERVAL) {
                return;
            }
        }
    }
}

/// Returns whether this daemon currently reads the `head` row from the store.
///
/// [`READER_COUNT`] members in the store's region read it. While that region is unreachable, as many
/// in each other region do. A daemon that is not serving always reads it.
pub(crate) fn reads_store(context: &DaemonContext) -> bool {
    if !context.is_serving() {
        return true;
    }
    let settings = &context.settings;
    let gossip = lock(&context.gossip);
    let view = gossip.view();
    let is_home = settings.region == settings.store_region;
    let home_works = gossip.region_reachable(&settings.store_region, context.now())
        && view.live_in(&settings.store_region).next().is_some();
    let is_reader = holds_job(
        "store",
        &context.id,
        READER_COUNT,
        view.live_in(&settings.region),
    );
    is_reader && (is_home || !home_works)
}

fn read_store_head(context: &DaemonContext) {
    match read_head(context.platform.as_ref()) {
        Ok(mark) => {
            lock(&context.floor).on_store_head(Some(mark.generation));
            lock(&context.gossip).confirm_head(mark);
        }
        Err(error) => {
            debug!(target: CONFIG, "head not read: {error}");
            lock(&context.floor).on_store_head(None);
        }
    }
}

fn settle_floor(context: &DaemonContext) {
    if lock(&context.config).is_settled() {
        enable_floor_answers(context);
        return;
    }
    let now = context.now();
    let gossip = lock(&context.gossip);
    let mut state = lock(&context.floor);
    state.on_view(gossip.view());
    drop(gossip);
    let Some(floor) = state.floor(now) else {
        return;
    };
    drop(state);
    let mut config = lock(&context.config);
    config.raise_floor(floor);
    config.settle_floor();
    context
        .serving
        .store(config.is_serving(), Ordering::Release);
    drop(config);
    info!(target: CONFIG, "floor is generation {floor}");
    enable_floor_answers(context);
}

/// Enables floor answers to other members once the daemon has reached its own floor.
fn enable_floor_answers(context: &DaemonContext) {
    if context.is_serving() {
        lock(&context.gossip).set_floor_wanted(false);
    }
}
