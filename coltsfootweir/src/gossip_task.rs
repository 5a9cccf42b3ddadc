//! Runs the gossip: periodic ticks, a pool of exchange workers, and the handler of peers' messages.

use std::sync::Arc;
use std::thread;

use flume::Receiver;
use flume::RecvTimeoutError;
use log::debug;

use crate::context::DaemonContext;
use crate::context::lock;
use crate::control_client::ExchangeRoute;
use crate::control_server::ControlAnswer;
use crate::control_server::ControlHandler;
use crate::control_server::HandlerPlugin;
use crate::gossip_limits::GOSSIP_INTERVAL;
use crate::gossip_message::GossipAction;
use crate::gossip_message::GossipMessage;
use crate::ids::Generation;
use crate::kernel::DaemonTask;
use crate::kernel::StopSignal;
use crate::kernel::TaskPlugin;
use crate::link::LinkCause;
use crate::logging::MEMBERS;
use crate::message_format::decode_message;

/// HTTP path of gossip exchanges.
const GOSSIP_PATH: &str = "/gossip";

/// Number of threads that run exchanges.
const WORKER_COUNT: usize = 3;

struct GossipTask;

inventory::submit! { TaskPlugin { task: &GossipTask } }

impl DaemonTask for GossipTask {
    fn name(&self) -> &'static str {
        "gossip"
    }

    fn run(&self, context: &Arc<DaemonContext>, stop: &StopSignal) {
        let Some(exchanges) = context.take_exchange_queue() else {
            return;
        };
        thread::scope(|scope| {
            for _ in 0..WORKER_COUNT {
                scope.spawn(|| run_exchange_worker(context, &exchanges, stop));
            }
            let mut generation = 0;
            loop {
                generation = sync_ended_moves(context, generation);
                let actions = lock(&context.gossip).tick(context.now());
                context.queue_exchanges(actions);
                context.refresh_index();
                if stop.wait(GOSSIP_INTERVAL) {
                    return;
                }
            }
        });
    }
}

/// Passes the ended moves to the gossip state if the generation differs from `known`. Returns the
/// current generation.
fn sync_ended_moves(context: &DaemonContext, known: Generation) -> Generation {
    let snapshot = lock(&context.config).snapshot();
    if snapshot.generation != known {
        let moves = snapshot.moves.values();
        let ended = moves.filter(|record| record.phase.is_ended());
        lock(&context.gossip).set_ended_moves(ended.map(|record| record.name.clone()));
    }
    snapshot.generation
}

fn run_exchange_worker(
    context: &Arc<DaemonContext>,
    exchanges: &Receiver<GossipAction>,
    stop: &StopSignal,
) {
    while !stop.is_set() {
        match exchanges.recv_timeout(GOSSIP_INTERVAL / 2) {
            Ok(action) => run_exchange(context, action),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

fn run_exchange(context: &Arc<DaemonContext>, action: GossipAction) {
    let GossipAction::Exchange {
        to,
        message,
        crosses,
        ..
    } = action;
    let route = ExchangeRoute {
        peer: to,
        cause: LinkCause::Gossip,
        crosses,
    };
    let region = &context.settings.region;
    let is_remote = |answer: &GossipMessage| answer.region != *region;
    let answer = context
        .client
        .exchange_placed(route, GOSSIP_PATH, &message, is_remote);
    let now = context.now();
    let mut gossip = lock(&context.gossip);
    let mut actions = match answer {
        Ok(answer) => {
            lock(&context.floor).on_answer(&answer, now);
            gossip.on_answer(to, answer, now)
        }
        Err(error) => {
            debug!(target: MEMBERS, "exchange with {to} failed: {error}");
            lock(&context.floor).on_peer_failure(&to.to_string().into());
            gossip.on_failure(to, now)
        }
    };
    actions.extend(gossip.take_urgent());
    drop(gossip);
    context.queue_exchanges(actions);
    context.after_gossip();
}

struct GossipHandler;

inventory::submit! { HandlerPlugin { handler: &GossipHandler } }

impl ControlHandler for GossipHandler {
    fn path(&self) -> &'static str {
        GOSSIP_PATH
    }

    fn answer(&self, context: &Arc<DaemonContext>, body: &[u8]) -> ControlAnswer {
        let message: GossipMessage = match decode_message(body) {
            Ok(message) => message,
            Err(error) => return ControlAnswer::BadRequest(error.to_string().into()),
        };
        let mut gossip = lock(&context.gossip);
        let answer = gossip.receive(message, context.now());
        let actions = gossip.take_urgent();
        drop(gossip);
        context.queue_exchanges(actions);
        context.after_gossip();
        ControlAnswer::message(&answer)
    }
}
