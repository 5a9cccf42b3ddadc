//! Persistent connections to other daemons, each with many concurrent calls.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use tokio::net::TcpStream;

use crate::ids::MemberId;
use crate::sidecar::answer::answer_check::check_answer;
use crate::sidecar::answer::answer_rest::AnswerRest;
use crate::sidecar::answer::answer_rest::BodyPiece;
use crate::sidecar::answer::answer_rest::PieceSender;
use crate::sidecar::answer::link_body::LinkBody;
use crate::sidecar::frame::AnswerHead;
use crate::sidecar::frame::CallNumber;
use crate::sidecar::frame::CallResult;
use crate::sidecar::frame::EndpointLoad;
use crate::sidecar::frame::FEATURE_OFFERS;
use crate::sidecar::frame::ForwardedCall;
use crate::sidecar::frame::PEER_FEATURES;
use crate::sidecar::frame::PeerFrame;
use crate::sidecar::frame::PieceBytes;
use crate::sidecar::link::dial_error::DialError;
use crate::sidecar::link::dialed_limits::DialedLimits;
use crate::sidecar::link::frame_io::exchange_frames;
use crate::sidecar::link::link_side::LinkSide;
use crate::sidecar::link::uplink::TransferSender;
use crate::sidecar::link::uplink::Uplink;
use crate::sidecar::link::uplink_schedule::PIECE_BYTES;
use crate::sidecar::link::uplink_schedule::TRANSFER_CREDIT;

/// Time limit for connecting, and for the first frame after that: several round trips between
/// regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Time without received frames after which a link with calls in progress is pinged.
const BUSY_PING_TIME: Duration = Duration::from_millis(250);

/// Time limit for the response to a ping: a round trip between regions, and the scheduling pauses
/// of a daemon that is limited to a fifth of a core.
const PONG_TIMEOUT: Duration = Duration::from_millis(600);

/// Number of [`PeerFrame::Hello`] that the side that dialed sends.
const HELLO_COUNT: u32 = 3;

/// Outcome of a call over a link.
#[derive(Debug)]
pub enum LinkOutcome {
    /// The peer sent its load and the result of the call, or the beginning of an answer and the
    /// rest of it.
    Replied(EndpointLoad, CallResult, Option<AnswerRest>),
    /// The call, or a part of its body, was not sent, so it has not run.
    NotSent,
    /// The link was lost, so the call may have run.
    Lost,
}

/// Event on a link for a call in progress.
enum CallEvent {
    /// The link became silent.
    Silent,
    /// The peer sent its load and the result of the call.
    Replied(EndpointLoad, CallResult),
    /// The peer sent its load and the beginning of an answer.
    Started(EndpointLoad, Box<StartedAnswer>),
}

/// An answer in pieces whose head has been received.
struct StartedAnswer {
    /// The head; its body is empty.
    result: CallResult,
    /// Pieces as they are received.
    received: Receiver<BodyPiece>,
    /// Takes the pieces that [`StartedAnswer::rest`] returns.
    pieces: PieceSender,
    rest: AnswerRest,
}

/// A call that has no complete result yet.
enum PendingCall {
    /// Nothing was received.
    Waiting(Sender<CallEvent>),
    /// The answer is being received.
    Body(InboundBody),
}

struct InboundBody {
    pieces: Sender<BodyPiece>,
    received: u64,
    consumed: u64,
}

/// State of a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkState {
    /// Calls are accepted.
    Open,
    /// The peer did not respond to a ping. Calls that can't be sent elsewhere keep waiting.
    Silent,
    /// The connection has ended.
    Closed,
}

/// A link to another daemon.
pub struct PeerLink {
    side: Rc<LinkSide>,
    pending: RefCell<HashMap<CallNumber, PendingCall>>,
    /// Bytes of the bodies of calls that were not handed to the socket, for bodies in pieces.
    unsent: RefCell<HashMap<CallNumber, u64>>,
    next_number: Cell<CallNumber>,
    last_received: Cell<Duration>,
    ping_sent: Cell<Option<Duration>>,
    state: Cell<LinkState>,
}

impl PeerLink {
    /// Connects to the daemon `peer`, checks its id, sends the own one and starts to exchange frames.
    /// `on_frame` is called for each frame that is not about a call, and `on_end` when the link ends.
    ///
    /// # Errors
    /// [`DialError`] if the connection fails or another daemon uses the address.
    pub async fn open(
        peer: &MemberId,
        own: &MemberId,
        address: SocketAddr,
        uplink: &Rc<Uplink>,
        now: impl Fn() -> Duration + 'static,
        on_frame: impl Fn(&LinkSide, PeerFrame) + 'static,
        on_end: impl FnOnce() + 'static,
    ) -> Result<Rc<PeerLink>, DialError> {
        let connecting = TcpStream::connect(address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
        let stream = stream
            .map_err(|_| DialError::Unreachable)?
            .map_err(|_| DialError::Unreachable)?;
        stream
            .set_nodelay(true)
            .map_err(|_| DialError::Unreachable)?;
        let (hello, hellos) = flume::bounded(1);
        let (side, queue) = LinkSide::new(uplink);
        side.set_peer(peer.clone());
        // Each further one tells that more kinds of frames are understood.
        for _ in 0..HELLO_COUNT {
            side.send(PeerFrame::Hello(own.clone()));
        }
        let link = Rc::new(PeerLink {
            side,
            pending: RefCell::default(),
            unsent: RefCell::default(),
            next_number: Cell::new(0),
            last_received: Cell::new(now()),
            ping_sent: Cell::new(None),
            state: Cell::new(LinkState::Open),
        });
        let weak_link = Rc::downgrade(&link);
        let writing_link = Weak::clone(&weak_link);
        let limits = DialedLimits::default();
        let greeted = limits.clone();
        let id = peer.clone();
        tokio::task::spawn_local(async move {
            let take = |frame| {
                let Some(link) = weak_link.upgrade() else {
                    return;
                };
                link.last_received.set(now());
                link.ping_sent.set(None);
                link.state.set(LinkState::Open);
                match frame {
                    PeerFrame::Result(number, load, result) => link.finish(number, load, *result),
                    PeerFrame::AnswerHead(number, load, head) => link.start(number, load, *head),
                    PeerFrame::AnswerPiece(number, bytes) => link.receive(number, bytes),
                    PeerFrame::AnswerEnd(number, is_whole) => link.end_body(number, is_whole),
                    PeerFrame::BodyGrant(number, up_to, received) => {
                        link.side.grant_body(number, up_to, received);
                    }
                    PeerFrame::Pieces => link.side.set_pieces(),
                    PeerFrame::Features(features) => {
                        let frame = PeerFrame::Features(features);
                        if link.side.set_features(features) {
                            link.side.send(PeerFrame::Features(PEER_FEATURES));
                            on_frame(&link.side, frame);
                        }
                    }
                    PeerFrame::Pong => {}
                    // Only the first `Hello` is awaited; later ones are ignored.
                    PeerFrame::Hello(other) => {
                        if other == id {
                            greeted.on_hello();
                        }
                        drop(hello.try_send(other));
                    }
                    frame => on_frame(&link.side, frame),
                }
            };
            let on_write = |frame: &PeerFrame| {
                if let (PeerFrame::BodyPiece(number, bytes), Some(link)) =
                    (frame, writing_link.upgrade())
                {
                    link.count_sent(*number, bytes);
                }
            };
            exchange_frames(stream, queue, limits, take, on_write).await;
            if let Some(link) = weak_link.upgrade() {
                link.close();
            }
            on_end();
        });
        let hello = tokio::time::timeout(CONNECT_TIMEOUT, hellos.recv_async()).await;
        match hello {
            Ok(Ok(id)) if id == *peer => Ok(link),
            Ok(Ok(id)) => Err(DialError::OtherDaemon(id)),
            _ => Err(DialError::Unreachable),
        }
    }

    /// Returns the state of the link.
    #[must_use]
    pub fn state(&self) -> LinkState {
        self.state.get()
    }

    /// Returns whether the peer has a feature, one of the bits of [`PEER_FEATURES`].
    #[must_use]
    pub fn has_feature(&self, feature: u32) -> bool {
        self.side.has_feature(feature)
    }

    /// Returns whether calls are in progress.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        !self.pending.borrow().is_empty()
    }

    /// Queues a frame; returns false if the queue is full or the link has ended.
    pub fn send(&self, frame: PeerFrame) -> bool {
        self.side.send(frame)
    }

    /// Makes a call; dropping the future cancels it. When the link becomes silent, the call is also
    /// cancelled if `may_leave` returns true: it can be sent elsewhere then.
    /// `sent_ms` is the time in milliseconds since the start of this daemon.
    pub async fn call(
        self: &Rc<Self>,
        call: ForwardedCall,
        sent_ms: u64,
        may_leave: impl Fn() -> bool,
    ) -> LinkOutcome {
        if self.state.get() != LinkState::Open {
            return LinkOutcome::NotSent;
        }
        let number = self.next_number.get();
        self.next_number.set(number.wrapping_add(1));
        let (sender, receiver) = flume::unbounded();
        let length = call.body.len() as u64;
        let request_id = call.request_id.clone();
        let (frame, transfer) = self.call_frames(number, call, sent_ms);
        if !self.send(frame) {
            return LinkOutcome::NotSent;
        }
        let pending = PendingCall::Waiting(sender);
        self.pending.borrow_mut().insert(number, pending);
        let guard = CallGuard {
            link: Rc::clone(self),
            number,
        };
        if transfer.is_some() {
            self.unsent.borrow_mut().insert(number, length);
        }
        let has_queued = || transfer.as_ref().is_some_and(TransferSender::has_queued);
        while let Ok(event) = receiver.recv_async().await {
            match event {
                CallEvent::Replied(load, result) => {
                    let result = check_answer(result, &request_id);
                    return LinkOutcome::Replied(load, result, None);
                }
                CallEvent::Started(load, answer) => {
                    let result = check_answer(answer.result, &request_id);
                    if !matches!(result, CallResult::Answer { .. }) {
                        return LinkOutcome::Replied(load, result, None);
                    }
                    let body = LinkBody {
                        received: answer.received,
                        call: guard,
                    };
                    tokio::task::spawn_local(body.forward(answer.pieces));
                    return LinkOutcome::Replied(load, result, Some(answer.rest));
                }
                // The transfer ends here, so the peer never gets the whole body.
                CallEvent::Silent if has_queued() => return LinkOutcome::NotSent,
                CallEvent::Silent if may_leave() => return LinkOutcome::Lost,
                CallEvent::Silent => {}
            }
        }
        match self.has_unsent(number) {
            true => LinkOutcome::NotSent,
            false => LinkOutcome::Lost,
        }
    }

    /// Returns the frame that requests a call, and the transfer of its body if that is sent in pieces.
    fn call_frames(
        &self,
        number: CallNumber,
        mut call: ForwardedCall,
        sent_ms: u64,
    ) -> (PeerFrame, Option<TransferSender>) {
        let length = call.body.len() as u64;
        if length <= PIECE_BYTES || !self.has_feature(FEATURE_OFFERS) {
            let call = Box::new(call);
            let frame = match self.side.has_pieces() {
                true => PeerFrame::TimedCall(number, sent_ms, call),
                false => PeerFrame::Call(number, call),
            };
            return (frame, None);
        }
        let body = std::mem::take(&mut call.body);
        // A late body has the link of this VM after those that may be in time.
        let due_ms = match call.wait_ms {
            0 => call.left_ms,
            wait_ms => wait_ms,
        };
        let due = Duration::from_millis(sent_ms + u64::from(due_ms));
        let transfer = self.side.open_body(number, body, due);
        let frame = PeerFrame::OfferedCall(number, sent_ms, Box::new(call), length);
        (frame, Some(transfer))
    }

    /// Records that a piece of a body is handed to the socket.
    fn count_sent(&self, number: CallNumber, piece: &PieceBytes) {
        if let Some(left) = self.unsent.borrow_mut().get_mut(&number) {
            *left = left.saturating_sub(piece.0.len() as u64);
        }
    }

    /// Returns whether bytes of the body of a call were not handed to the socket.
    fn has_unsent(&self, number: CallNumber) -> bool {
        let unsent = self.unsent.borrow();
        unsent.get(&number).is_some_and(|left| *left > 0)
    }

    /// Sends a ping when one is due, and marks the link as silent when the response is overdue; to
    /// be called several times a second. An idle link is pinged after `idle_ping_time` without
    /// received frames. Returns whether the link has become silent in this call.
    pub fn check(&self, now: Duration, idle_ping_time: Duration) -> bool {
        if self.state.get() == LinkState::Closed {
            return false;
        }
        if let Some(ping_sent) = self.ping_sent.get() {
            if now >= ping_sent + PONG_TIMEOUT && self.state.get() == LinkState::Open {
                self.state.set(LinkState::Silent);
                self.notify_silence();
                return true;
            }
            return false;
        }
        let limit = match self.is_busy() {
            true => BUSY_PING_TIME.min(idle_ping_time),
            false => idle_ping_time,
        };
        if now >= self.last_received.get() + limit && self.send(PeerFrame::Ping) {
            self.ping_sent.set(Some(now));
        }
        false
    }

    fn finish(&self, number: CallNumber, load: EndpointLoad, result: CallResult) {
        // Results of calls that were cancelled are not needed.
        if let Some(PendingCall::Waiting(caller)) = self.pending.borrow_mut().remove(&number) {
            // Fails if the caller is gone.
            let _ = caller.send(CallEvent::Replied(load, result));
        }
    }

    fn start(&self, number: CallNumber, load: EndpointLoad, head: AnswerHead) {
        let mut pending = self.pending.borrow_mut();
        let Some(PendingCall::Waiting(caller)) = pending.remove(&number) else {
            return;
        };
        let (sender, received) = flume::unbounded();
        let body = InboundBody {
            pieces: sender,
            received: 0,
            consumed: 0,
        };
        pending.insert(number, PendingCall::Body(body));
        drop(pending);
        let (pieces, rest) = AnswerRest::channel(head.length);
        let result = CallResult::Answer {
            status: head.status,
            headers: head.headers,
            body: Vec::new(),
            run_ms: head.run_ms,
        };
        let answer = StartedAnswer {
            result,
            received,
            pieces,
            rest,
        };
        // Fails if the caller is gone, which cancels the call.
        let _ = caller.send(CallEvent::Started(load, Box::new(answer)));
    }

    fn receive(&self, number: CallNumber, bytes: PieceBytes) {
        let mut pending = self.pending.borrow_mut();
        let Some(PendingCall::Body(body)) = pending.get_mut(&number) else {
            return;
        };
        body.received += bytes.0.len() as u64;
        if body.received - body.consumed > TRANSFER_CREDIT + PIECE_BYTES {
            // The peer does not keep to the credit, so the memory for its answer is not bounded.
            pending.remove(&number);
            drop(pending);
            self.send(PeerFrame::Cancel(number));
            return;
        }
        let frame = PeerFrame::AnswerCredit(number, body.received, body.consumed);
        // Fails if the consumer is gone, which cancels the call.
        let _ = body.pieces.send(BodyPiece::Data(bytes.0));
        drop(pending);
        self.send(frame);
    }

    fn end_body(&self, number: CallNumber, is_whole: bool) {
        if let Some(PendingCall::Body(body)) = self.pending.borrow_mut().remove(&number) {
            let end = match is_whole {
                true => BodyPiece::End,
                false => BodyPiece::Broken,
            };
            // Fails if the consumer is gone.
            let _ = body.pieces.send(end);
        }
    }

    /// Records that `consumed` bytes of an answer were passed on, and tells the peer.
    pub(crate) fn record_consumed(&self, number: CallNumber, consumed: u64) {
        let mut pending = self.pending.borrow_mut();
        let Some(PendingCall::Body(body)) = pending.get_mut(&number) else {
            return;
        };
        body.consumed = consumed;
        let frame = PeerFrame::AnswerCredit(number, body.received, consumed);
        drop(pending);
        self.send(frame);
    }

    fn notify_silence(&self) {
        for call in self.pending.borrow().values() {
            // Both fail if the caller has just cancelled the call.
            match call {
                PendingCall::Waiting(caller) => drop(caller.send(CallEvent::Silent)),
                PendingCall::Body(body) => drop(body.pieces.send(BodyPiece::Stalled)),
            }
        }
    }

    fn close(&self) {
        self.state.set(LinkState::Closed);
        self.pending.borrow_mut().clear();
        self.side.close();
    }
}

impl Drop for PeerLink {
    /// Drops the transfers to the peer: they hold the connection open, and nobody is left to handle
    /// its acknowledgements.
    fn drop(&mut self) {
        self.side.close();
    }
}

/// A call in progress; sends a cancel frame when dropped before the end of the result.
pub(crate) struct CallGuard {
    pub(crate) link: Rc<PeerLink>,
    pub(crate) number: CallNumber,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.link.unsent.borrow_mut().remove(&self.number);
        let pending = self.link.pending.borrow_mut().remove(&self.number);
        if pending.is_some() {
            self.link.send(PeerFrame::Cancel(self.number));
        }
    }
}
