//! Sends large transfers in pieces, in the order and at the pace of the schedule.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use flume::Sender;
use hyper::body::Bytes;
use tokio::sync::Notify;

use crate::clock::DaemonClock;
use crate::sidecar::frame::CallNumber;
use crate::sidecar::frame::PeerFrame;
use crate::sidecar::frame::PieceBytes;
use crate::sidecar::link::uplink_schedule::LinkId;
use crate::sidecar::link::uplink_schedule::TransferId;
use crate::sidecar::link::uplink_schedule::TransferSpec;
use crate::sidecar::link::uplink_schedule::UplinkSchedule;

/// Maximum number of bytes that wait to be sent, of all transfers together: more than a second of a
/// link of 16 Mbit/s, for which few requests would wait. Endpoints whose answers find no room wait to
/// write them and keep their slots, which small calls need, too.
const BUFFER_LIMIT: usize = 3 * 1024 * 1024;

/// What the pieces of a transfer are part of, with its number on the link.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum TransferKind {
    /// The answer to a call.
    Answer(CallNumber),
    /// A configuration.
    Configuration(u32),
    /// The body of a call.
    Body(CallNumber),
}

struct OutgoingTransfer {
    frames: Sender<PeerFrame>,
    kind: TransferKind,
    pieces: VecDeque<Bytes>,
    /// Frame to send after the last piece.
    end: Option<PeerFrame>,
    is_ended: bool,
}

impl OutgoingTransfer {
    /// Returns whether its bytes count as waiting. Those of bodies are held by the request anyway.
    fn is_counted(&self) -> bool {
        !matches!(self.kind, TransferKind::Body(_))
    }
}

#[derive(Default)]
struct UplinkState {
    schedule: UplinkSchedule,
    outgoing: HashMap<TransferId, OutgoingTransfer>,
    ids: HashMap<(LinkId, TransferKind), TransferId>,
    buffered: usize,
    next_link: LinkId,
}

/// The large transfers from this VM to other daemons.
pub struct Uplink {
    state: RefCell<UplinkState>,
    clock: Arc<dyn DaemonClock>,
    has_room: Notify,
}

impl Uplink {
    /// Creates an uplink without transfers.
    #[must_use]
    pub fn new(clock: Arc<dyn DaemonClock>) -> Rc<Uplink> {
        Rc::new(Uplink {
            state: RefCell::default(),
            clock,
            has_room: Notify::new(),
        })
    }

    /// Returns the id of a new connection.
    #[must_use]
    pub fn add_link(&self) -> LinkId {
        let mut state = self.state.borrow_mut();
        state.next_link += 1;
        state.next_link
    }

    /// Drops the transfers of a connection that has ended.
    pub fn remove_link(&self, link: LinkId) {
        let mut state = self.state.borrow_mut();
        for id in state.schedule.close_link(link) {
            state.drop_outgoing(id);
        }
        drop(state);
        self.send_pieces();
    }

    /// Starts a transfer whose pieces are sent as frames on `frames`.
    pub fn open(
        self: &Rc<Self>,
        spec: TransferSpec,
        kind: TransferKind,
        frames: Sender<PeerFrame>,
    ) -> TransferSender {
        let mut state = self.state.borrow_mut();
        let id = state.schedule.open(spec);
        let transfer = OutgoingTransfer {
            frames,
            kind,
            pieces: VecDeque::new(),
            end: None,
            is_ended: false,
        };
        state.outgoing.insert(id, transfer);
        state.ids.insert((spec.link, kind), id);
        TransferSender {
            uplink: Rc::clone(self),
            id,
            is_finished: false,
        }
    }

    /// Returns whether a configuration is being sent on a connection.
    #[must_use]
    pub fn is_sending_config(&self, link: LinkId) -> bool {
        let state = self.state.borrow();
        let mut transfers = state.ids.keys();
        transfers
            .any(|(other, kind)| *other == link && matches!(kind, TransferKind::Configuration(_)))
    }

    /// Records how much of a transfer the receiver has received and consumed.
    pub fn acknowledge(&self, link: LinkId, kind: TransferKind, received: u64, consumed: u64) {
        let mut state = self.state.borrow_mut();
        let Some(id) = state.ids.get(&(link, kind)).copied() else {
            return;
        };
        let now = self.clock.now();
        state.schedule.acknowledge(id, received, consumed, now);
        let is_ended = state.outgoing.get(&id).is_none_or(|out| out.is_ended);
        if is_ended && state.schedule.is_through(id) {
            state.drop_outgoing(id);
        }
        drop(state);
        self.send_pieces();
    }

    /// Records how much of a body may be sent and was received.
    pub fn grant(&self, link: LinkId, number: CallNumber, up_to: u64, received: u64) {
        let kind = TransferKind::Body(number);
        let mut state = self.state.borrow_mut();
        let Some(id) = state.ids.get(&(link, kind)).copied() else {
            return;
        };
        state.schedule.grant(id, up_to);
        drop(state);
        self.acknowledge(link, kind, received, received);
    }

    /// Drops a transfer that the receiver does not want any more.
    pub fn cancel(&self, link: LinkId, kind: TransferKind) {
        let mut state = self.state.borrow_mut();
        if let Some(id) = state.ids.get(&(link, kind)).copied() {
            state.drop_outgoing(id);
        }
        drop(state);
        self.send_pieces();
    }

    /// Sends the pieces that may be sent now; to be called several times a second, as links may
    /// stop to acknowledge.
    pub fn send_pieces(&self) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        while let Some((id, bytes)) = state.schedule.next(now) {
            if !state.send_piece(id, bytes) {
                state.drop_outgoing(id);
            }
        }
        let has_room = state.buffered < BUFFER_LIMIT;
        drop(state);
        if has_room {
            self.has_room.notify_waiters();
        }
    }

    /// Reserves room for an answer that is expected; dropping the result releases it.
    #[must_use]
    pub fn reserve(self: &Rc<Self>, bytes: u64) -> UplinkReservation {
        self.state.borrow_mut().schedule.reserve(bytes);
        UplinkReservation {
            uplink: Rc::clone(self),
            bytes,
        }
    }

    /// Returns the time until `bytes` more would be received; zero if it is not known.
    #[must_use]
    pub fn time_for(&self, bytes: u64) -> Duration {
        self.state.borrow().schedule.time_for(bytes)
    }

    /// Returns whether no transfer is in progress or expected.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.state.borrow().schedule.backlog() == 0
    }

    /// Returns the number of bytes that wait, are expected or are on the way; the measured rate in
    /// bytes a second, 0 if it is not known; and the limit of the bytes on the way.
    #[must_use]
    pub fn figures(&self) -> (u64, u64, u64) {
        let state = self.state.borrow();
        let rate = state.schedule.rate().unwrap_or_default();
        (
            state.schedule.backlog(),
            rate as u64,
            state.schedule.window(),
        )
    }

    fn has_room_for(&self, id: TransferId) -> bool {
        let state = self.state.borrow();
        // One piece of each transfer always has room, so that none depends on the others.
        state.buffered < BUFFER_LIMIT || !state.schedule.has_queued(id)
    }
}

impl UplinkState {
    fn send_piece(&mut self, id: TransferId, bytes: u64) -> bool {
        let Some(transfer) = self.outgoing.get_mut(&id) else {
            return false;
        };
        let piece = take_bytes(&mut transfer.pieces, bytes as usize);
        if transfer.is_counted() {
            self.buffered -= piece.len();
        }
        let bytes = PieceBytes(piece);
        let frame = match transfer.kind {
            TransferKind::Answer(number) => PeerFrame::AnswerPiece(number, bytes),
            TransferKind::Configuration(number) => PeerFrame::ConfigPiece(number, bytes),
            TransferKind::Body(number) => PeerFrame::BodyPiece(number, bytes),
        };
        let mut is_sent = transfer.frames.try_send(frame).is_ok();
        if transfer.pieces.is_empty()
            && let Some(end) = transfer.end.take()
        {
            is_sent &= transfer.frames.try_send(end).is_ok();
        }
        is_sent
    }

    fn drop_outgoing(&mut self, id: TransferId) {
        self.schedule.close(id);
        self.ids.retain(|_, other| *other != id);
        let Some(transfer) = self.outgoing.remove(&id) else {
            return;
        };
        if transfer.is_counted() {
            let left: usize = transfer.pieces.iter().map(Bytes::len).sum();
            self.buffered -= left;
        }
    }
}

/// Removes `count` bytes from the front of `pieces`.
fn take_bytes(pieces: &mut VecDeque<Bytes>, count: usize) -> Vec<u8> {
    let mut taken = Vec::with_capacity(count);
    while taken.len() < count {
        let Some(mut piece) = pieces.pop_front() else {
            break;
        };
        let left = count - taken.len();
        if piece.len() > left {
            let rest = piece.split_off(left);
            pieces.push_front(rest);
        }
        taken.extend_from_slice(&piece);
    }
    taken
}

/// The sending side of one transfer. Dropping it before [`TransferSender::finish`] cancels the
/// transfer.
pub struct TransferSender {
    uplink: Rc<Uplink>,
    id: TransferId,
    is_finished: bool,
}

impl TransferSender {
    /// Queues bytes, after waiting until there is room. Returns false if the transfer has ended,
    /// because its connection has.
    pub async fn push(&self, bytes: impl Into<Bytes>) -> bool {
        let bytes = bytes.into();
        loop {
            let room = self.uplink.has_room.notified();
            tokio::pin!(room);
            room.as_mut().enable();
            if self.uplink.has_room_for(self.id) {
                break;
            }
            room.await;
        }
        let mut state = self.uplink.state.borrow_mut();
        let length = bytes.len();
        let Some(transfer) = state.outgoing.get_mut(&self.id) else {
            return false;
        };
        transfer.pieces.push_back(bytes);
        state.buffered += length;
        state.schedule.queue(self.id, length as u64);
        drop(state);
        self.uplink.send_pieces();
        true
    }

    /// Queues the whole body of a call, which is sent as far as it is granted.
    pub fn queue_body(&self, body: Bytes) {
        let mut state = self.uplink.state.borrow_mut();
        let length = body.len() as u64;
        let Some(transfer) = state.outgoing.get_mut(&self.id) else {
            return;
        };
        transfer.pieces.push_back(body);
        state.schedule.queue(self.id, length);
    }

    /// Returns whether bytes wait to be sent, so that the receiver can't have all of them. False if
    /// the transfer has ended.
    #[must_use]
    pub fn has_queued(&self) -> bool {
        self.uplink.state.borrow().schedule.has_queued(self.id)
    }

    /// Drops what was not sent yet and sends `end` at once.
    pub fn abort(self, end: PeerFrame) {
        let state = self.uplink.state.borrow();
        if let Some(transfer) = state.outgoing.get(&self.id) {
            // Fails if the connection has ended, which its reader notices too.
            let _ = transfer.frames.try_send(end);
        }
    }

    /// Ends the transfer: `end` is sent after the last piece.
    pub fn finish(mut self, end: PeerFrame) {
        self.is_finished = true;
        let mut state = self.uplink.state.borrow_mut();
        let Some(transfer) = state.outgoing.get_mut(&self.id) else {
            return;
        };
        transfer.is_ended = true;
        if !transfer.pieces.is_empty() {
            transfer.end = Some(end);
            return;
        }
        // Fails if the connection has ended, which its reader notices too.
        let _ = transfer.frames.try_send(end);
        if state.schedule.is_through(self.id) {
            state.drop_outgoing(self.id);
        }
    }
}

impl Drop for TransferSender {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        self.uplink.state.borrow_mut().drop_outgoing(self.id);
        self.uplink.send_pieces();
    }
}

/// Room reserved on the uplink for an answer whose bytes have not come yet.
pub struct UplinkReservation {
    uplink: Rc<Uplink>,
    bytes: u64,
}

impl Drop for UplinkReservation {
    fn drop(&mut self) {
        let mut state = self.uplink.state.borrow_mut();
        state.schedule.release(self.bytes);
    }
}
