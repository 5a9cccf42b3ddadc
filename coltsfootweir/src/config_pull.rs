//! Fetches the newest known configuration from peers that hold it, or from the store.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::debug;
use log::info;
use log::warn;

use crate::accept::delta_object;
use crate::accept::read_head;
use crate::accept::snapshot_object;
use crate::config_state::ConfigState;
use crate::config_state::OfferOutcome;
use crate::config_task::reads_store;
use crate::context::DaemonContext;
use crate::context::lock;
use crate::control_client::ExchangeRoute;
use crate::ids::Generation;
use crate::link::LinkCause;
use crate::logging::CONFIG;
use crate::pull_message::PULL_PATH;
use crate::pull_message::PullAnswer;
use crate::pull_message::PullRequest;
use crate::snapshot::HeadMark;
use crate::snapshot::SnapshotError;

/// Number of peers asked in one round; the next round asks others.
const HOLDERS_ASKED: usize = 3;

/// Time without a usable answer from peers after which a member that normally does not read the
/// store does so, and the minimum time between two such reads.
const STORE_FALLBACK: Duration = Duration::from_secs(5);

/// Rotation over peers and fallback to the store after failed rounds.
#[derive(Debug, Default)]
pub(crate) struct PullSchedule {
    /// Consecutive rounds in which no peer returned the configuration.
    failed_rounds: usize,
    /// Start of the first failed round, or time of the last fallback to the store.
    failing_since: Option<Duration>,
    /// Generation whose format this build does not support, and when that was detected.
    unknown: Option<(Generation, Duration)>,
}

impl PullSchedule {
    /// Rotates the list so that the peers to ask in this round come first.
    fn order(&self, holders: &mut [SocketAddr]) {
        if !holders.is_empty() {
            let turn = self.failed_rounds * HOLDERS_ASKED % holders.len();
            holders.rotate_left(turn);
        }
    }

    /// Returns whether pulls of the generation are paused because its format is not supported;
    /// peers would all return the same format.
    fn is_paused(&self, generation: Generation, now: Duration) -> bool {
        self.unknown.is_some_and(|(unknown, found)| {
            unknown == generation && now.saturating_sub(found) < STORE_FALLBACK
        })
    }

    /// Records a failed round; returns whether to fall back to the store.
    fn on_failure(&mut self, now: Duration) -> bool {
        self.failed_rounds += 1;
        let since = *self.failing_since.get_or_insert(now);
        let is_due = now.saturating_sub(since) >= STORE_FALLBACK;
        if is_due {
            self.failing_since = Some(now);
        }
        is_due
    }
}

/// Pulls the newest known configuration, from peers first and then from the store.
pub(crate) fn catch_up(context: &DaemonContext, pulls: &mut PullSchedule) {
    let best = lock(&context.gossip).best_head();
    let Some((mark, mut holders)) = best else {
        *pulls = PullSchedule::default();
        return;
    };
    if pulls.is_paused(mark.generation, context.now()) {
        return;
    }
    pulls.order(&mut holders);
    for holder in holders.iter().take(HOLDERS_ASKED) {
        if pull_from(context, *holder, &mark) {
            *pulls = PullSchedule::default();
            return;
        }
    }
    if !holders.is_empty() {
        lock(&context.gossip).reject_head(&mark);
    }
    let is_fallback = !holders.is_empty() && pulls.on_failure(context.now());
    if is_fallback || reads_store(context) {
        fetch_head(context, &mark);
    }
    if has_unknown_format(context, mark.generation) {
        pulls.unknown = Some((mark.generation, context.now()));
    }
}

fn has_unknown_format(context: &DaemonContext, generation: Generation) -> bool {
    lock(&context.config).refused().is_some_and(|refused| {
        refused.generation == generation && matches!(refused.error, SnapshotError::UnknownFormat(_))
    })
}

/// Pulls from a peer; returns whether the daemon now holds `wanted` or a newer generation.
fn pull_from(context: &DaemonContext, holder: SocketAddr, wanted: &HeadMark) -> bool {
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
    match context
        .client
        .exchange::<PullAnswer>(route, PULL_PATH, &request)
    {
        Ok(answer) => apply_answer(context, &answer, wanted),
        Err(error) => {
            debug!(target: CONFIG, "pull from {holder} failed: {error}");
            false
        }
    }
}

fn apply_answer(context: &DaemonContext, answer: &PullAnswer, wanted: &HeadMark) -> bool {
    let (PullAnswer::Delta(mark, bytes) | PullAnswer::Snapshot(mark, bytes)) = answer else {
        return false;
    };
    if mark.generation == wanted.generation && mark.digest != wanted.digest {
        let error = SnapshotError::WrongDigest {
            expected: wanted.digest.clone(),
            found: mark.digest.clone(),
        };
        warn_refused(mark, &error);
        return false;
    }
    let is_delta = matches!(answer, PullAnswer::Delta(..));
    apply_offered_config(context, mark, |config| {
        if is_delta {
            config.offer_delta(&bytes.0, mark)
        } else {
            config.offer(&bytes.0, mark)
        }
    }) && mark.generation >= wanted.generation
}

/// Fetches `claimed` from the store; if only peers have reported it, the `head` row is read first.
fn fetch_head(context: &DaemonContext, claimed: &HeadMark) {
    if lock(&context.gossip).is_head_confirmed() {
        fetch_from_store(context, claimed);
        return;
    }
    match read_head(context.platform.as_ref()) {
        Ok(head) => {
            lock(&context.gossip).confirm_head(head.clone());
            let is_current = head.generation >= claimed.generation;
            fetch_from_store(context, if is_current { &head } else { claimed });
        }
        Err(error) => debug!(target: CONFIG, "head not read: {error}"),
    }
}

fn fetch_from_store(context: &DaemonContext, mark: &HeadMark) {
    if fetch_delta(context, mark) {
        return;
    }
    match context.platform.get_object(&snapshot_object(mark)) {
        Ok(Some(bytes)) => {
            apply_offered_config(context, mark, |config| config.offer(&bytes, mark));
        }
        Ok(None) => warn!(target: CONFIG, "snapshot {} is not in the store", mark.generation),
        Err(error) => debug!(target: CONFIG, "snapshot not read: {error}"),
    }
}

/// Fetches and applies the delta to `mark` if it starts from the active configuration; returns
/// whether that succeeded.
fn fetch_delta(context: &DaemonContext, mark: &HeadMark) -> bool {
    let held = lock(&context.config).mark().generation;
    if held == 0 || held + 1 != mark.generation {
        return false;
    }
    match context.platform.get_object(&delta_object(mark)) {
        Ok(Some(bytes)) => {
            apply_offered_config(context, mark, |config| config.offer_delta(&bytes, mark))
        }
        _ => false,
    }
}

/// Applies an offered configuration to the daemon if it is newer; returns whether it was valid.
pub(crate) fn apply_offered_config(
    context: &DaemonContext,
    mark: &HeadMark,
    offer: impl FnOnce(&mut ConfigState) -> Result<OfferOutcome, SnapshotError>,
) -> bool {
    let mut config = lock(&context.config);
    let outcome = offer(&mut config);
    if outcome == Ok(OfferOutcome::Applied) {
        // The route table is stored first, so that no call sees a serving daemon without routes.
        context.table.store(config.table());
        context
            .serving
            .store(config.is_serving(), Ordering::Release);
    }
    drop(config);
    match outcome {
        Ok(OfferOutcome::Applied) => {
            lock(&context.gossip).set_served(mark.clone());
            context.push_urgent();
            info!(target: CONFIG, "generation {} is in force", mark.generation);
            true
        }
        Ok(_) => true,
        Err(error) => {
            warn_refused(mark, &error);
            false
        }
    }
}

fn warn_refused(mark: &HeadMark, error: &SnapshotError) {
    warn!(target: CONFIG, "generation {} refused: {error}", mark.generation);
}
