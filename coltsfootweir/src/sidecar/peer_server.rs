//! Serves connections from other daemons: runs their calls at the local endpoint and handles the
//! frames that synchronize members, rollouts and configurations.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use flume::Sender;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::logging::MEMBERS;
use crate::sidecar::frame::CallNumber;
use crate::sidecar::frame::ForwardedCall;
use crate::sidecar::frame::NotRunCause;
use crate::sidecar::frame::PeerFrame;
use crate::sidecar::local_endpoint::not_run;
use crate::sidecar::member_table::RolloutStage;
use crate::sidecar::peer_link::exchange_frames;
use crate::sidecar::request_server::accept_each;
use crate::sidecar::sidecar_state::SidecarState;

/// Maximum number of frames queued on a connection. It fills only if the peer stops reading.
const FRAME_QUEUE: usize = 4096;

type RunningCalls = Rc<RefCell<HashMap<CallNumber, AbortHandle>>>;

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
    let (frames, queue) = flume::bounded(FRAME_QUEUE);
    send(&frames, PeerFrame::Hello(state.members.own().id));
    send(&frames, state.config_held_frame());
    let calls = RunningCalls::default();
    let running = Rc::clone(&calls);
    let take = move |frame| handle_frame(&state, &frames, &running, frame);
    exchange_frames(stream, queue, take).await;
    // The results can't be sent any more.
    for (_, call) in calls.borrow_mut().drain() {
        call.abort();
    }
}

fn handle_frame(
    state: &Rc<SidecarState>,
    frames: &Sender<PeerFrame>,
    calls: &RunningCalls,
    frame: PeerFrame,
) {
    match frame {
        PeerFrame::Call(number, call) => start_call(state, frames, calls, number, call),
        PeerFrame::Cancel(number) => {
            if let Some(call) = calls.borrow_mut().remove(&number) {
                call.abort();
            }
        }
        other => {
            if let Some(reply) = handle_sync_frame(state, other) {
                send(frames, reply);
            }
        }
    }
}

/// Handles a frame that is not about a call; returns the frame to send back, if any.
pub fn handle_sync_frame(state: &SidecarState, frame: PeerFrame) -> Option<PeerFrame> {
    match frame {
        PeerFrame::Ping => Some(PeerFrame::Pong),
        PeerFrame::Members(records) => {
            state.merge_records(&records);
            None
        }
        PeerFrame::Digests(digests) => {
            let records = state.members.read(|table| table.differing(&digests));
            (!records.is_empty()).then_some(PeerFrame::Members(records))
        }
        PeerFrame::Rollouts(id, rollout_statuses, counts) => {
            state.merge_peer_rollouts(id, rollout_statuses, counts);
            None
        }
        PeerFrame::ConfigHeld(id, version) => {
            state.members.record_config_version(id, version);
            state.request_config();
            None
        }
        PeerFrame::ConfigWanted(held) => {
            let delta = state.config.delta_from(held)?;
            Some(PeerFrame::Config(Box::new(delta)))
        }
        PeerFrame::Config(delta) => {
            if state.config.adopt_delta(*delta, "peer") {
                state.announce_config();
            }
            None
        }
        _ => None,
    }
}

fn start_call(
    state: &Rc<SidecarState>,
    frames: &Sender<PeerFrame>,
    calls: &RunningCalls,
    number: CallNumber,
    call: Box<ForwardedCall>,
) {
    if refuses_calls(state) {
        let result = Box::new(not_run(NotRunCause::Closed));
        send(
            frames,
            PeerFrame::Result(number, state.endpoint.load(), result),
        );
        return;
    }
    let state = Rc::clone(state);
    let frames = frames.clone();
    let running = Rc::clone(calls);
    let task = tokio::task::spawn_local(async move {
        let result = state.run_locally(&call).await;
        running.borrow_mut().remove(&number);
        let load = state.endpoint.load();
        send(&frames, PeerFrame::Result(number, load, Box::new(result)));
    });
    calls.borrow_mut().insert(number, task.abort_handle());
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

/// Queues a frame, or drops it if the queue is full. A peer that does not read finds its own pings
/// unanswered and gives up the link.
fn send(frames: &Sender<PeerFrame>, frame: PeerFrame) {
    if frames.try_send(frame).is_err() {
        log::debug!(
            target: MEMBERS,
            "dropped a frame to a peer: queue of {FRAME_QUEUE} frames is full or closed"
        );
    }
}
