//! Brings the accepted configuration to this daemon, and serves it to peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use flume::RecvTimeoutError;
use log::debug;
use log::info;
use log::warn;
use serde::Deserialize;
use serde::Serialize;

use crate::accept::read_head;
use crate::accept::snapshot_object;
use crate::config_state::OfferOutcome;
use crate::context::DaemonContext;
use crate::context::lock;
use crate::control_client::ExchangeRoute;
use crate::control_server::ControlAnswer;
use crate::control_server::ControlHandler;
use crate::control_server::HandlerPlugin;
use crate::ids::Generation;
use crate::kernel::DaemonTask;
use crate::kernel::StopSignal;
use crate::kernel::TaskPlugin;
use crate::link::LinkCause;
use crate::logging::CONFIG;
use crate::rank::holds_job;
use crate::snapshot::HeadMark;
use crate::snapshot::SnapshotError;

/// Path at which a daemon gives its configuration.
const PULL_PATH: &str = "/pull";

/// Longest time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two reads of the store's head by a member that reads it.
const HEAD_INTERVAL: Duration = Duration::from_secs(1);

/// Members of a region that read the store's head.
const READER_COUNT: usize = 2;

/// Holders asked in one round before the store is.
const HOLDERS_ASKED: usize = 3;

/// A request for the configuration in force.
#[derive(Debug, Deserialize, Serialize)]
struct PullRequest {
    held: Generation,
}

/// The configuration in force, as a delta from what the asking daemon holds or whole.
#[derive(Debug, Deserialize, Serialize)]
enum PullAnswer {
    Nothing,
    Delta(HeadMark, Vec<u8>),
    Snapshot(HeadMark, Vec<u8>),
}

struct PullHandler;

inventory::submit! { HandlerPlugin { handler: &PullHandler } }

impl ControlHandler for PullHandler {
    fn path(&self) -> &'static str {
        PULL_PATH
    }

    fn answer(&self, context: &Arc<DaemonContext>, body: &[u8]) -> ControlAnswer {
        let request: PullRequest = match rmp_serde::from_slice(body) {
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
        Some(delta) => PullAnswer::Delta(mark, delta.encode()),
        None => PullAnswer::Snapshot(mark, config.snapshot().encode()),
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
        while !stop.is_set() {
            let now = context.now();
            let is_due = last_read.is_none_or(|last| now.saturating_sub(last) >= HEAD_INTERVAL);
            if is_due && reads_store(context) {
                last_read = Some(now);
                read_store_head(context);
            }
            settle_floor(context);
            catch_up(context);
            if let Err(RecvTimeoutError::Disconnected) = wakes.recv_timeout(ROUND_INTERVAL) {
                return;
            }
        }
    }
}

/// Returns whether this daemon reads the store's head now: a few members in the store's region do,
/// or in each region while that one is out of reach, and any daemon whose floor is unknown.
fn reads_store(context: &DaemonContext) -> bool {
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
            lock(&context.gossip).note_head(mark);
        }
        Err(error) => {
            debug!(target: CONFIG, "head not read: {error}");
            lock(&context.floor).on_store_head(None);
        }
    }
}

fn settle_floor(context: &DaemonContext) {
    if lock(&context.config).is_settled() {
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
    lock(&context.gossip).set_floor_wanted(false);
    info!(target: CONFIG, "floor is generation {floor}");
}

/// Pulls the highest head known, from peers or else from the store.
fn catch_up(context: &DaemonContext) {
    let best = lock(&context.gossip).best_head();
    let Some((mark, holders)) = best else {
        return;
    };
    for holder in holders.iter().take(HOLDERS_ASKED) {
        if pull_from(context, *holder) {
            return;
        }
    }
    if holders.is_empty() && reads_store(context) {
        fetch_from_store(context, &mark);
    }
}

fn pull_from(context: &DaemonContext, holder: SocketAddr) -> bool {
    let region = &context.settings.region;
    let crosses = {
        let gossip = lock(&context.gossip);
        gossip
            .view()
            .get(&holder.to_string())
            .is_some_and(|entry| entry.region != *region)
    };
    let held = lock(&context.config).mark().generation;
    let route = ExchangeRoute {
        peer: holder,
        cause: LinkCause::Config,
        crosses,
    };
    let request = PullRequest { held };
    let answer = match context
        .client
        .exchange::<PullAnswer>(route, PULL_PATH, &request)
    {
        Ok(answer) => answer,
        Err(error) => {
            debug!(target: CONFIG, "pull from {holder} failed: {error}");
            return false;
        }
    };
    match answer {
        PullAnswer::Nothing => false,
        PullAnswer::Delta(mark, bytes) => {
            let outcome = lock(&context.config).offer_delta(&bytes, &mark);
            finish_offer(context, outcome, &mark)
        }
        PullAnswer::Snapshot(mark, bytes) => {
            let outcome = lock(&context.config).offer(&bytes, &mark);
            finish_offer(context, outcome, &mark)
        }
    }
}

fn fetch_from_store(context: &DaemonContext, mark: &HeadMark) {
    match context.platform.get_object(&snapshot_object(mark)) {
        Ok(Some(bytes)) => {
            let outcome = lock(&context.config).offer(&bytes, mark);
            finish_offer(context, outcome, mark);
        }
        Ok(None) => warn!(target: CONFIG, "snapshot {} is not in the store", mark.generation),
        Err(error) => debug!(target: CONFIG, "snapshot not read: {error}"),
    }
}

/// Puts an applied configuration in force; returns whether the daemon is up to date with `mark`.
fn finish_offer(
    context: &DaemonContext,
    outcome: Result<OfferOutcome, SnapshotError>,
    mark: &HeadMark,
) -> bool {
    match outcome {
        Ok(OfferOutcome::Applied) => {
            let config = lock(&context.config);
            context.table.store(config.table());
            context
                .serving
                .store(config.is_serving(), Ordering::Release);
            drop(config);
            lock(&context.gossip).set_served(mark.clone());
            context.push_urgent();
            info!(target: CONFIG, "generation {} is in force", mark.generation);
            true
        }
        Ok(_) => true,
        Err(error) => {
            warn!(target: CONFIG, "generation {} refused: {error}", mark.generation);
            false
        }
    }
}
