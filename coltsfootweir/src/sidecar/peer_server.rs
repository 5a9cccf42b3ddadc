//! Serves connections from other daemons: runs their calls at the local endpoint and handles the
//! frames that synchronize members, rollouts and configurations.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use log::warn;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::ids::MemberId;
use crate::logging::MEMBERS;
use crate::sidecar::announcement::DepartedLifetime;
use crate::sidecar::announcement::DepartureCount;
use crate::sidecar::client_limits::accept_loop::accept_each;
use crate::sidecar::client_limits::byte_account::ByteAccount;
use crate::sidecar::client_limits::connection_limit::ConnectionSlot;
use crate::sidecar::frame::CallNumber;
use crate::sidecar::frame::CallResult;
use crate::sidecar::frame::FEATURE_COMPLETE_DEPARTURES;
use crate::sidecar::frame::ForwardedCall;
use crate::sidecar::frame::NotRunCause;
use crate::sidecar::frame::NotRunReport;
use crate::sidecar::frame::PEER_FEATURES;
use crate::sidecar::frame::PeerFrame;
use crate::sidecar::link::call_age::wall_delay;
use crate::sidecar::link::frame_io::FrameLimits;
use crate::sidecar::link::frame_io::exchange_frames;
use crate::sidecar::link::link_side::LinkSide;
use crate::sidecar::link::uplink::TransferKind;
use crate::sidecar::member_table::RolloutStage;
use crate::sidecar::placement::evacuation_task::send_evacuations;
use crate::sidecar::placement::evacuation_task::take_evacuations;
use crate::sidecar::rate_limits::hand_over::take_slot_offer;
use crate::sidecar::rate_limits::hand_over::take_slot_report;
use crate::sidecar::rate_limits::limit_task::answer_tokens;
use crate::sidecar::rate_limits::limit_task::take_granted;
use crate::sidecar::sent_answer::SentAnswer;
use crate::sidecar::sidecar_state::SidecarState;
use crate::sidecar::teams::freshness_task::answer_freshness;
use crate::sidecar::teams::freshness_task::take_freshness;
use crate::sidecar::uploads::grant_schedule::BodySpec;
use crate::sidecar::uploads::upload_times::CallTimes;
use crate::sidecar::warmup::warmup_task::awaits_config;

/// Time in which a peer has to identify itself. It does so as soon as it is connected; the dialing side
/// gives up after a shorter time.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);

/// `Retry-After` of a call that does not fit the account, in milliseconds: about the time in which a
/// large body is received and run.
const FULL_RETRY_AFTER_MS: u32 = 300;

type RunningCalls = Rc<RefCell<HashMap<CallNumber, AbortHandle>>>;

/// A connection from another daemon.
#[derive(Clone)]
struct AcceptedLink {
    state: Rc<SidecarState>,
    side: Rc<LinkSide>,
    calls: RunningCalls,
    slot: Rc<ConnectionSlot>,
}

/// Accepts connections from other daemons until this daemon stops.
pub async fn serve_peers(state: Rc<SidecarState>, listener: TcpListener) {
    let limit = &state.guard.strangers;
    accept_each(&listener, "peers", limit, &state.metrics, |stream, slot| {
        tokio::task::spawn_local(serve_peer(Rc::clone(&state), stream, slot));
    })
    .await;
}

async fn serve_peer(state: Rc<SidecarState>, stream: TcpStream, slot: Rc<ConnectionSlot>) {
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
        slot: Rc::clone(&slot),
    };
    let calls = Rc::clone(&link.calls);
    let metrics = Rc::clone(&link.state);
    let limits = link.clone();
    let exchange = exchange_frames(
        stream,
        queue,
        limits,
        move |frame| link.handle(frame),
        |_| {},
    );
    tokio::select! {
        () = exchange => {}
        () = slot.evicted() => {}
        () = unidentified(&slot) => {
            let event = json!({"name": "peer_unidentified", "ms": HELLO_TIMEOUT.as_millis() as u64});
            warn!(target: MEMBERS, "{event}");
            metrics.metrics.count_refusal("peer_unidentified");
        }
    }
    // The results can't be sent any more.
    for (_, call) in calls.borrow_mut().drain() {
        call.abort();
    }
    side.close();
}

/// Returns when the peer has not identified itself in time.
async fn unidentified(slot: &ConnectionSlot) {
    tokio::time::sleep(HELLO_TIMEOUT).await;
    if slot.is_released() {
        std::future::pending::<()>().await;
    }
}

impl FrameLimits for AcceptedLink {
    fn is_identified(&self) -> bool {
        self.slot.is_released()
    }

    fn account(&self) -> Option<&Arc<ByteAccount>> {
        self.state.guard.account.as_ref()
    }

    fn refuse(&self, size: usize, call: Option<CallNumber>) {
        let event = json!({"name": "frame_refused", "peer": self.side.peer_name(), "bytes": size,
            "call": call});
        warn!(target: MEMBERS, "{event}");
        self.state.metrics.count_refusal("frame_no_memory");
        if let Some(number) = call {
            self.refuse_call(number, NotRunCause::Overloaded);
        }
    }
}

impl AcceptedLink {
    fn refuse_call(&self, number: CallNumber, cause: NotRunCause) {
        let result = CallResult::NotRun(NotRunReport {
            cause,
            reached: false,
            retry_after_ms: match cause {
                NotRunCause::Overloaded => FULL_RETRY_AFTER_MS,
                _ => 0,
            },
        });
        let load = self.state.endpoint.load();
        let frame = PeerFrame::Result(number, load, Box::new(result));
        self.side.send(frame);
    }

    fn handle(&self, frame: PeerFrame) {
        match frame {
            PeerFrame::Hello(id) => self.greet(id),
            PeerFrame::Features(features) => {
                if self.side.set_features(features) {
                    send_evacuations(&self.state, &self.side);
                    self.testify();
                }
            }
            PeerFrame::DeparturesComplete => self.on_departures_complete(),
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
            PeerFrame::OfferedCall(number, sent_ms, call, length) => {
                let delay = self.side.call_delay(sent_ms, self.state.now());
                match length {
                    0 => self.start_call(number, call, delay),
                    _ => self.take_offer(number, call, delay, length),
                }
            }
            PeerFrame::BodyPiece(number, piece) => {
                self.state.uploads.receive(&self.side, number, &piece);
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
                self.slot.release();
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

    /// Tells the daemon that dialed whether the departures reported to it are all of its earlier runs.
    fn testify(&self) {
        let is_complete = self
            .side
            .peer()
            .is_some_and(|owner| self.state.departures.is_complete(&owner));
        if is_complete && self.side.has_feature(FEATURE_COMPLETE_DEPARTURES) {
            self.side.send(PeerFrame::DeparturesComplete);
        }
    }

    fn on_departures_complete(&self) {
        let Some(owner) = self.side.peer() else {
            return;
        };
        self.state.members.read(|table| {
            let keeper = &self.state.departures;
            keeper.on_complete(owner, |id| table.get(id).is_some());
        });
    }

    fn start_call(&self, number: CallNumber, mut call: Box<ForwardedCall>, delay: Duration) {
        if refuses_call(&self.state, &call, delay) {
            self.refuse_call(number, NotRunCause::Closed);
            return;
        }
        if let Some(account) = &self.state.guard.account
            && !call.body.is_empty()
        {
            let Some(reservation) = account.reserve(call.body.len() as u64) else {
                self.state.metrics.count_refusal("call_no_memory");
                self.refuse_call(number, NotRunCause::Overloaded);
                return;
            };
            call.body = reservation.attach(std::mem::take(&mut call.body));
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

impl AcceptedLink {
    /// Receives the body of a call as far as it is granted and runs the call then, or refuses it.
    fn take_offer(
        &self,
        number: CallNumber,
        call: Box<ForwardedCall>,
        delay: Duration,
        length: u64,
    ) {
        if refuses_call(&self.state, &call, delay) {
            self.refuse_call(number, NotRunCause::Closed);
            return;
        }
        let offered_at = self.state.now();
        let times = CallTimes::with_body(&call, length, offered_at, delay);
        let run = self.state.endpoint.expected_run(&call);
        let queued = self.state.endpoint.expected_time(&call).saturating_sub(run);
        let wait = times.limit(offered_at).saturating_sub(offered_at);
        if queued > wait {
            self.state.endpoint.refuse_early(&call, wait, queued);
            self.refuse_with(number, refusal(NotRunCause::Overloaded, queued - wait));
            return;
        }
        let spec = BodySpec {
            rank: call.rank,
            due: times.finish_by,
            give_up: times.deadline.saturating_sub(run),
            run,
            length,
        };
        let body = match self.state.uploads.offer(&self.side, number, spec) {
            Ok(body) => body,
            Err(retry_after) => {
                self.refuse_with(number, refusal(NotRunCause::LinkFull, retry_after));
                return;
            }
        };
        let link = self.clone();
        let task = tokio::task::spawn_local(async move {
            let left = spec.give_up.saturating_sub(link.state.now());
            let received = tokio::time::timeout(left, body.whole()).await;
            // Released when the call has ended.
            let _memory = body.into_memory();
            let Ok(Some(bytes)) = received else {
                let retry_after = link.state.uploads.backlog_time();
                link.refuse_with(number, refusal(NotRunCause::LinkFull, retry_after));
                link.calls.borrow_mut().remove(&number);
                return;
            };
            // A stop lets accepted calls end; a rollout may have begun during the transfer.
            if is_withdrawn(&link.state) {
                link.refuse_call(number, NotRunCause::Closed);
                link.calls.borrow_mut().remove(&number);
                return;
            }
            let call = ForwardedCall {
                body: bytes,
                ..*call
            };
            let answer = SentAnswer {
                state: &link.state,
                side: &link.side,
                number,
                call: &call,
            };
            let transfer = link.state.now().saturating_sub(offered_at);
            answer.run(delay + transfer).await;
            link.calls.borrow_mut().remove(&number);
        });
        self.calls.borrow_mut().insert(number, task.abort_handle());
    }

    fn refuse_with(&self, number: CallNumber, result: CallResult) {
        let load = self.state.endpoint.load();
        let result = Box::new(result);
        self.side.send(PeerFrame::Result(number, load, result));
    }
}

/// Returns the result of a call whose body is not received.
fn refusal(cause: NotRunCause, retry_after: Duration) -> CallResult {
    CallResult::NotRun(NotRunReport {
        cause,
        reached: false,
        retry_after_ms: u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX),
    })
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
        PeerFrame::Evacuations(version, zones) => take_evacuations(state, side, version, zones),
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
        PeerFrame::LimitSlotRead(slot, run, version) => {
            take_slot_report(state, &side.peer_name(), slot, (run, version));
        }
        PeerFrame::LimitSlotReleased(slot, version) => {
            take_slot_offer(state, &side.peer_name(), slot, version);
        }
        // Frames of the other direction.
        _ => {}
    }
}

/// Returns whether forwarded calls are refused, because this daemon is stopping, does not know the
/// limits on its endpoint, or a rollout has taken the endpoint's version out of service.
fn refuses_call(state: &SidecarState, call: &ForwardedCall, delay: Duration) -> bool {
    let now = state.now();
    let left = Duration::from_millis(u64::from(call.left_ms)).saturating_sub(delay);
    !state.stop.admits_call(now, now + left) || awaits_config(state) || is_withdrawn(state)
}

/// Returns whether a rollout has taken the endpoint's version out of service.
fn is_withdrawn(state: &SidecarState) -> bool {
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
