//! Serves the evidence of the local upstream, polls the evidence of endpoints, and sends and
//! receives alerts.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use log::debug;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::context::DaemonContext;
use crate::context::lock;
use crate::control_client::ExchangeRoute;
use crate::control_server::ControlAnswer;
use crate::control_server::ControlHandler;
use crate::control_server::HandlerPlugin;
use crate::evidence::EndpointEvidence;
use crate::evidence::SURVIVED_KEPT;
use crate::evidence_alert::AlertWatch;
use crate::ids::MoveName;
use crate::kernel::DaemonTask;
use crate::kernel::StopSignal;
use crate::kernel::TaskPlugin;
use crate::link::LinkCause;
use crate::logging::MOVES;
use crate::member::MemberEntry;
use crate::message_format::decode_message;
use crate::mover::lease_key;
use crate::rank::rank_idle_first;
use crate::record::MoveRecord;
use crate::view::MemberView;

/// Number of members of a region that act on a move.
const CANDIDATE_COUNT: usize = 2;

/// Path at which a daemon serves its evidence.
const EVIDENCE_PATH: &str = "/evidence";

/// Path at which a candidate receives alerts.
const ALERT_PATH: &str = "/evidence/alert";

/// Time between two checks of the local counts.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

struct EvidenceHandler;

inventory::submit! { HandlerPlugin { handler: &EvidenceHandler } }

impl ControlHandler for EvidenceHandler {
    fn path(&self) -> &'static str {
        EVIDENCE_PATH
    }

    fn answer(&self, context: &Arc<DaemonContext>, _body: &[u8]) -> ControlAnswer {
        ControlAnswer::message(&vec![local_report(context)])
    }
}

fn local_report(context: &DaemonContext) -> EndpointEvidence {
    let mut report = lock(&context.recorder).report();
    report.survived = lock(&context.poison).survived(SURVIVED_KEPT, context.now());
    report
}

struct AlertHandler;

inventory::submit! { HandlerPlugin { handler: &AlertHandler } }

impl ControlHandler for AlertHandler {
    fn path(&self) -> &'static str {
        ALERT_PATH
    }

    fn answer(&self, context: &Arc<DaemonContext>, body: &[u8]) -> ControlAnswer {
        match decode_message::<MoveName>(body) {
            Ok(move_name) => {
                lock(&context.mover).on_alert(&move_name, context.now());
                ControlAnswer::message(&())
            }
            Err(error) => ControlAnswer::BadRequest(error.to_string().into()),
        }
    }
}

struct AlertTask;

inventory::submit! { TaskPlugin { task: &AlertTask } }

impl DaemonTask for AlertTask {
    fn name(&self) -> &'static str {
        "alerts"
    }

    fn run(&self, context: &Arc<DaemonContext>, stop: &StopSignal) {
        let mut watch = AlertWatch::new();
        while !stop.wait(CHECK_INTERVAL) {
            check_counts(context, &mut watch);
        }
    }
}

fn check_counts(context: &DaemonContext, watch: &mut AlertWatch) {
    let snapshot = lock(&context.config).snapshot();
    if snapshot
        .moves
        .values()
        .all(|record| record.phase.is_ended())
    {
        watch.reset();
        return;
    }
    let report = lock(&context.recorder).report();
    let active_move = snapshot.active_move(&report.service);
    let Some(record) = active_move.filter(|record| record.to == report.version) else {
        watch.reset();
        return;
    };
    if watch.check(report, context.now()) {
        send_alert(context, record);
    }
}

/// Alerts all candidates in parallel.
fn send_alert(context: &DaemonContext, record: &MoveRecord) {
    lock(&context.mover).on_alert(&record.name, context.now());
    let candidates = find_candidates(context, record);
    exchange_all(context, &candidates, ALERT_PATH, &record.name, |()| {});
}

/// Exchanges messages with all peers in parallel, so that an unresponsive one does not delay the
/// others.
fn exchange_all<T: DeserializeOwned>(
    context: &DaemonContext,
    peers: &[EvidencePeer],
    path: &str,
    message: &(impl Serialize + Sync),
    take: impl Fn(T) + Sync,
) {
    let take = &take;
    thread::scope(|scope| {
        for peer in peers {
            scope.spawn(
                move || match context.client.exchange(peer.route(), path, message) {
                    Ok(answer) => take(answer),
                    Err(error) => debug!(target: MOVES, "no answer to {path}: {error}"),
                },
            );
        }
    });
}

/// A daemon that is polled for evidence or alerted.
struct EvidencePeer {
    address: SocketAddr,
    is_remote: bool,
}

impl EvidencePeer {
    /// Returns a member as a peer, or `None` if it is this daemon or unreachable.
    fn find(context: &DaemonContext, entry: &MemberEntry, is_reachable: bool) -> Option<Self> {
        if entry.id == context.id || !is_reachable {
            return None;
        }
        Some(EvidencePeer {
            address: entry.id.parse().ok()?,
            is_remote: entry.region != context.settings.region,
        })
    }

    fn route(&self) -> ExchangeRoute {
        ExchangeRoute {
            peer: self.address,
            cause: LinkCause::Evidence,
            crosses: self.is_remote,
        }
    }
}

/// Returns the members of a region that act on a move.
///
/// Daemons of the new version are ranked last, because they get the load of the move.
pub(crate) fn candidates_in<'a>(
    view: &'a MemberView,
    region: &'a str,
    record: &MoveRecord,
) -> Vec<&'a MemberEntry> {
    let is_busy = |entry: &MemberEntry| {
        let endpoint = entry.endpoint.as_ref();
        endpoint.is_some_and(|endpoint| {
            endpoint.service == record.service && endpoint.version == record.to
        })
    };
    let job = lease_key(&record.name);
    let mut ranked = rank_idle_first(&job, view.live_in(region), is_busy);
    ranked.truncate(CANDIDATE_COUNT);
    ranked
}

fn find_candidates(context: &DaemonContext, record: &MoveRecord) -> Vec<EvidencePeer> {
    let gossip = lock(&context.gossip);
    let view = gossip.view();
    let regions: BTreeSet<&str> = view.live().map(|entry| &*entry.region).collect();
    let mut candidates = Vec::new();
    for region in regions {
        let is_reachable = gossip.region_reachable(region, context.now());
        for entry in candidates_in(view, region, record) {
            candidates.extend(EvidencePeer::find(context, entry, is_reachable));
        }
    }
    candidates
}

/// Polls the evidence of every endpoint of a service.
pub(crate) fn poll_evidence(context: &DaemonContext, service: &str) {
    add_evidence(context, service, vec![local_report(context)]);
    let sources = find_sources(context, service);
    exchange_all(context, &sources, EVIDENCE_PATH, &(), |reports| {
        add_evidence(context, service, reports);
    });
}

fn find_sources(context: &DaemonContext, service: &str) -> Vec<EvidencePeer> {
    let gossip = lock(&context.gossip);
    let mut sources = Vec::new();
    for entry in gossip.view().endpoints_of(service) {
        let is_reachable = gossip.region_reachable(&entry.region, context.now());
        sources.extend(EvidencePeer::find(context, entry, is_reachable));
    }
    sources
}

fn add_evidence(context: &DaemonContext, service: &str, reports: Vec<EndpointEvidence>) {
    let now = context.now();
    let mut mover = lock(&context.mover);
    for report in reports {
        if *report.service == *service {
            mover.on_evidence(&report, now);
        }
    }
}
