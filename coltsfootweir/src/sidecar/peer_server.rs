//! Serves connections from other daemons: runs their calls at the local endpoint and handles the
//! frames that synchronize members, rollouts and configurations.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::ids::MemberId;
use crate::sidecar::announcement::DepartedLifetime;
use crate::sidecar::announcement::DepartureCount;
use crate::sidecar::frame::CallNumber;
use crate::sidecar::frame::ForwardedCall;
use crate::sidecar::frame::NotRunCause;
use crate::sidecar::frame::PEER_FEATURES;
use crate::sidecar::frame::PeerFrame;
use crate::sidecar::link::call_age::wall_delay;
use crate::sidecar::link::frame_io::exchange_frames;
use crate::sidecar::link::link_side::LinkSide;
use crate::sidecar::link::uplink::TransferKind;
use crate::sidecar::local_endpoint::not_run;
use crate::sidecar::member_table::RolloutStage;
use crate::sidecar::rate_limits::limit_task::answer_tokens;
use crate::sidecar::rate_limits::limit_task::take_granted;
use crate::sidecar::request_server::accept_each;
use crate::sidecar::sent_answer::SentAnswer;
use crate::sidecar::sidecar_state::SidecarState;
use crate::sidecar::teams::freshness_task::answer_freshness;
use crate::sidecar::teams::freshness_task::take_freshness;

type RunningCalls = Rc<RefCell<HashMap<CallNumber, AbortHandle>>>;

/// A connection from another daemon.
#[derive(Clone)]
struct AcceptedLink {
    state: Rc<SidecarState>,
    side: Rc<LinkSide>,
    calls: RunningCalls,
}

/// Accepts connections from other daemons until this daemon stops.
pub async fn serve_peers(state: Rc<SidecarState>, listener: TcpListener) {
    accept_each(&listener, "peers", |stream| {
        tokio::task::spawn_local(serve_peer(Rc::clone(&state), stream));
    })
    .await;
}

async fn serve_peer(state: Rc<SidecarState>, stream: TcpStream) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (side, queue) = LinkSide::new(&state.uplink);
    side.send(PeerFrame::Hello(state.members.own().id));
    side.send(state.config_held_frame());
    let link = AcceptedLink {
        state,
        side: Rc::clone(&side),
        calls: RunningCalls::default(),
    };
    let calls = Rc::clone(&link.calls);
    exchange_frames(stream, queue, move |frame| link.handle(frame)).await;
    // The results can't be sent any more.
    for (_, call) in calls.borrow_mut().drain() {
        call.abort();
    }
    side.close();
}

impl AcceptedLink {
    fn handle(&self, frame: PeerFrame) {
        match frame {
            PeerFrame::Hello(id) => self.greet(id),
            PeerFrame::Features(features) => {
                self.side.set_features(features);
            }
            PeerFrame::HoldDepartures(count, departures) => {
                self.hold_departures(count, departures);
            }
            PeerFrame::Call(number, call) => {
                let delay = wall_delay(call.sent_at_ms, self.state.clock.wall());
                self.start_call(number, call, delay);
            }
            PeerFrame::TimedCall(number, sent_ms, call) => {
                let delay = self.side.call_delay(sent_ms, self.state.now());
                self.start_call(number, call, delay);
            }
            PeerFrame::Cancel(number) => {
                if let Some(call) = self.calls.borrow_mut().remove(&number) {
                    call.abort();
                }
                self.side.cancel_transfer(TransferKind::Answer(number));
            }
            PeerFrame::AnswerCredit(number, received, consumed) => {
                let kind = TransferKind::Answer(number);
                self.side.acknowledge(kind, received, consumed);
            }
            other => handle_sync_frame(&self.state, &self.side, other),
        }
    }

    /// Handles a [`PeerFrame::Hello`]: each further one tells that the peer understands more frames.
    fn greet(&self, id: MemberId) {
        let is_known = self.side.peer().as_ref() == Some(&id);
        match (self.side.count_hello(), is_known) {
            (_, false) => {
                self.side.set_peer(id);
                self.side.set_pieces();
                self.side.send(PeerFrame::Pieces);
            }
            (2, true) => {
                self.side.send(self.state.departures.report(&id));
            }
            (_, true) => {
                self.side.send(PeerFrame::Features(PEER_FEATURES));
            }
        }
    }

    /// Keeps departures for the daemon that dialed.
    fn hold_departures(&self, count: DepartureCount, departures: Vec<DepartedLifetime>) {
        let Some(owner) = self.side.peer() else {
            return;
        };
        self.state.members.read(|table| {
            let keeper = &self.state.departures;
            keeper.hold(&owner, departures, |id| table.get(id).is_some());
        });
        self.side.send(PeerFrame::DeparturesHeld(count, Vec::new()));
    }

    fn start_call(&self, number: CallNumber, call: Box<ForwardedCall>, delay: Duration) {
        if refuses_calls(&self.state) {
            let result = Box::new(not_run(NotRunCause::Closed));
            let load = self.state.endpoint.load();
            self.side.send(PeerFrame::Result(number, load, result));
            return;
        }
        let link = self.clone();
        let task = tokio::task::spawn_local(async move {
            let answer = SentAnswer {
                state: &link.state,
                side: &link.side,
                number,
                call: &call,
            };
            answer.run(delay).await;
            link.calls.borrow_mut().remove(&number);
        });
        self.calls.borrow_mut().insert(number, task.abort_handle());
    }
}

/// Handles a frame that is not about a call, and sends the response, if any, on the same connection.
pub fn handle_sync_frame(state: &SidecarState, side: &LinkSide, frame: PeerFrame) {
    match frame {
        PeerFrame::Ping => {
            side.send(PeerFrame::Pong);
        }
        PeerFrame::Members(records) => {
            state.merge_records(&records);
            let later = state.members.later_runs(&records);
            if !later.is_empty() {
                side.send(PeerFrame::Members(later));
            }
        }
        PeerFrame::Digests(digests) => {
            let records = state.members.read(|table| table.differing(&digests));
            if !records.is_empty() {
                side.send(PeerFrame::Members(records));
            }
        }
        PeerFrame::Rollouts(id, rollout_statuses, counts) => {
            state.merge_peer_rollouts(id, rollout_statuses, counts);
        }
        PeerFrame::ConfigHeld(id, version) => {
            state.spread.record(id, version);
            if version < state.config.version() {
                side.send(state.config_held_frame());
            }
            state.request_config();
        }
        PeerFrame::ConfigWanted(held) => {
            if let Some(delta) = state.config.delta_from(held) {
                side.send_config(delta, state.now());
            }
        }
        PeerFrame::Config(delta) => state.adopt_config(*delta, &side.peer_name()),
        PeerFrame::ConfigPiece(number, bytes) => {
            state.spread.on_piece(state.now());
            side.receive_config(number, &bytes);
        }
        PeerFrame::ConfigEnd(number) => {
            if let Some(delta) = side.finish_config(number) {
                state.adopt_config(delta, &side.peer_name());
            }
        }
        PeerFrame::ConfigCredit(number, received) => {
            let kind = TransferKind::Configuration(number);
            side.acknowledge(kind, received, received);
        }
        PeerFrame::FreshnessWanted(number) => answer_freshness(state, side, number),
        PeerFrame::Freshness(number, version, age_ms) => {
            take_freshness(state, &side.peer_name(), number, version, age_ms);
        }
        PeerFrame::TokensWanted(number, slot, demands) => {
            answer_tokens(state, side, number, slot, &demands);
        }
        PeerFrame::TokensGranted(number, grants) => {
            take_granted(state, &side.peer_name(), number, &grants);
        }
        // Frames of the other direction.
        _ => {}
    }
}

/// Returns whether forwarded calls are refused, because this daemon is stopping or a rollout has
/// taken the endpoint's version out of service.
fn refuses_calls(state: &SidecarState) -> bool {
    if state.is_leaving.get() {
        return true;
    }
    let Some(endpoint) = state.endpoint.summary() else {
        return false;
    };
    let rollouts = state.rollouts.borrow();
    let Some(rollout) = rollouts.get(&endpoint.service) else {
        return false;
    };
    let is_new = endpoint.version == rollout.order.version;
    match rollout.stage {
        RolloutStage::Trial => false,
        RolloutStage::Shifted | RolloutStage::Settled | RolloutStage::Done => !is_new,
        RolloutStage::TakenBack => is_new,
    }
}
