//! This daemon's side of a connection to another daemon.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Bytes;
use log::warn;
use serde_json::json;

use crate::ids::MemberId;
use crate::logging::MEMBERS;
use crate::sidecar::frame::CallNumber;
use crate::sidecar::frame::PeerFrame;
use crate::sidecar::frame::PieceBytes;
use crate::sidecar::frame::decode_config;
use crate::sidecar::frame::encode_config;
use crate::sidecar::http_exchange::PIECE_SIZE;
use crate::sidecar::link::call_age::CallAge;
use crate::sidecar::link::config_pieces::ConfigPieces;
use crate::sidecar::link::frame_queue::FrameQueue;
use crate::sidecar::link::frame_queue::QueuedFrames;
use crate::sidecar::link::frame_queue::frame_queue;
use crate::sidecar::link::uplink::TransferKind;
use crate::sidecar::link::uplink::TransferSender;
use crate::sidecar::link::uplink::Uplink;
use crate::sidecar::link::uplink_schedule::LinkId;
use crate::sidecar::link::uplink_schedule::TransferClass;
use crate::sidecar::link::uplink_schedule::TransferSpec;
use crate::sidecar::mesh_config::ConfigDelta;

/// Change of the time that answers take, in milliseconds, from which on the peer is told.
const LOAD_STEP_MS: u32 = 15;

/// This daemon's side of a connection, either dialed or accepted.
pub struct LinkSide {
    id: LinkId,
    frames: QueuedFrames,
    uplink: Rc<Uplink>,
    has_pieces: Cell<bool>,
    features: Cell<u32>,
    hellos: Cell<u32>,
    age: RefCell<CallAge>,
    config: RefCell<ConfigPieces>,
    next_config: Cell<u32>,
    told_load: Cell<u32>,
    peer: RefCell<Option<MemberId>>,
}

impl LinkSide {
    /// Creates the side of a new connection. Returns the frames that it sends, too.
    #[must_use]
    pub fn new(uplink: &Rc<Uplink>) -> (Rc<LinkSide>, FrameQueue) {
        let (frames, queue) = frame_queue();
        let side = LinkSide {
            id: uplink.add_link(),
            frames,
            uplink: Rc::clone(uplink),
            has_pieces: Cell::new(false),
            features: Cell::new(0),
            hellos: Cell::new(0),
            age: RefCell::default(),
            config: RefCell::default(),
            next_config: Cell::new(0),
            told_load: Cell::new(0),
            peer: RefCell::default(),
        };
        (Rc::new(side), queue)
    }

    /// Returns the id of the connection.
    #[must_use]
    pub fn id(&self) -> LinkId {
        self.id
    }

    /// Queues a frame; returns false if the queue is full or the connection has ended. A peer that
    /// does not read finds its own pings unanswered and gives up the link.
    pub fn send(&self, frame: PeerFrame) -> bool {
        let is_sent = self.frames.send(frame);
        if !is_sent {
            log::debug!(
                target: MEMBERS,
                "dropped a frame to a peer: the queue is full or closed"
            );
        }
        is_sent
    }

    /// Records the id of the peer.
    pub fn set_peer(&self, peer: MemberId) {
        self.peer.replace(Some(peer));
    }

    /// Returns the id of the peer; `None` before the peer has sent it.
    #[must_use]
    pub fn peer(&self) -> Option<MemberId> {
        self.peer.borrow().clone()
    }

    /// Returns the id of the peer, or a placeholder for the log before the peer has sent it.
    #[must_use]
    pub fn peer_name(&self) -> MemberId {
        self.peer().unwrap_or_else(|| "unidentified daemon".into())
    }

    /// Records that the peer understands answers in pieces.
    pub fn set_pieces(&self) {
        self.has_pieces.set(true);
    }

    /// Returns whether the peer understands answers in pieces.
    #[must_use]
    pub fn has_pieces(&self) -> bool {
        self.has_pieces.get()
    }

    /// Counts a received [`PeerFrame::Hello`] and returns how many there were.
    pub fn count_hello(&self) -> u32 {
        self.hellos.set(self.hellos.get() + 1);
        self.hellos.get()
    }

    /// Records the features of the peer. Returns whether they were not known before.
    pub fn set_features(&self, features: u32) -> bool {
        self.features.replace(features) == 0
    }

    /// Returns whether the peer has a feature, one of the bits of [`crate::sidecar::frame::PEER_FEATURES`].
    #[must_use]
    pub fn has_feature(&self, feature: u32) -> bool {
        self.features.get() & feature != 0
    }

    /// Returns by how much a call was delayed on its way, if it was sent at `sent_ms` since the
    /// start of the peer.
    pub fn call_delay(&self, sent_ms: u64, now: Duration) -> Duration {
        self.age.borrow_mut().delay(sent_ms, now)
    }

    /// Starts a transfer on this connection.
    #[must_use]
    pub fn open_transfer(
        &self,
        class: TransferClass,
        kind: TransferKind,
        due: Duration,
    ) -> TransferSender {
        let spec = TransferSpec {
            class,
            link: self.id,
            due,
        };
        self.uplink.open(spec, kind, self.frames.sender())
    }

    /// Starts to send the body of a call, as far as the peer grants it.
    #[must_use]
    pub fn open_body(&self, number: CallNumber, body: Bytes, due: Duration) -> TransferSender {
        let kind = TransferKind::Body(number);
        let transfer = self.open_transfer(TransferClass::Body, kind, due);
        transfer.queue_body(body);
        transfer
    }

    /// Records how much of the body of a call may be sent and was received by the peer.
    pub fn grant_body(&self, number: CallNumber, up_to: u64, received: u64) {
        self.uplink.grant(self.id, number, up_to, received);
    }

    /// Records how much of a transfer the peer has received and consumed.
    pub fn acknowledge(&self, kind: TransferKind, received: u64, consumed: u64) {
        self.uplink.acknowledge(self.id, kind, received, consumed);
    }

    /// Drops a transfer that the peer does not want any more.
    pub fn cancel_transfer(&self, kind: TransferKind) {
        self.uplink.cancel(self.id, kind);
    }

    /// Tells the peer how long the answers on their way from this VM take, if that has changed.
    pub fn tell_uplink_load(&self) {
        if !self.has_pieces() {
            return;
        }
        let time = self.uplink.time_for(0).as_millis();
        let load_ms = u32::try_from(time).unwrap_or(u32::MAX);
        if load_ms.abs_diff(self.told_load.get()) >= LOAD_STEP_MS {
            self.told_load.set(load_ms);
            self.send(PeerFrame::UplinkLoad(load_ms));
        }
    }

    /// Sends a configuration, in pieces if the peer understands them and it is large. `now` is the
    /// time since the start of the daemon.
    pub fn send_config(&self, delta: ConfigDelta, now: Duration) {
        if !self.has_pieces() {
            self.send(PeerFrame::Config(Box::new(delta)));
            return;
        }
        if self.uplink.is_sending_config(self.id) {
            return;
        }
        let bytes = match encode_config(&delta) {
            Ok(bytes) => bytes,
            Err(error) => {
                let event = json!({"name": "frame_not_sent", "reason": error.to_string()});
                warn!(target: MEMBERS, "{event}");
                return;
            }
        };
        if bytes.len() <= PIECE_SIZE {
            self.send(PeerFrame::Config(Box::new(delta)));
            return;
        }
        let number = self.next_config.get();
        self.next_config.set(number.wrapping_add(1));
        let kind = TransferKind::Configuration(number);
        let transfer = self.open_transfer(TransferClass::Configuration, kind, now);
        tokio::task::spawn_local(async move {
            if transfer.push(bytes).await {
                transfer.finish(PeerFrame::ConfigEnd(number));
            }
        });
    }

    /// Adds a received piece of a configuration.
    pub fn receive_config(&self, number: u32, piece: &PieceBytes) {
        if let Some(received) = self.config.borrow_mut().add(number, piece) {
            self.send(PeerFrame::ConfigCredit(number, received));
        }
    }

    /// Returns the configuration whose last piece has been received.
    #[must_use]
    pub fn finish_config(&self, number: u32) -> Option<ConfigDelta> {
        let bytes = self.config.borrow_mut().take(number)?;
        match decode_config(&bytes) {
            Ok(delta) => Some(delta),
            Err(error) => {
                let event = json!({"name": "config_unreadable", "bytes": bytes.len(),
                    "reason": error.to_string()});
                warn!(target: MEMBERS, "{event}");
                None
            }
        }
    }

    /// Drops the transfers of the connection, which has ended.
    pub fn close(&self) {
        self.uplink.remove_link(self.id);
    }
}
