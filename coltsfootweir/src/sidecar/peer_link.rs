//! Persistent connections to other daemons, each with many concurrent calls.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use log::warn;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;

use crate::ids::MemberId;
use crate::logging::MEMBERS;
use crate::sidecar::frame::CallNumber;
use crate::sidecar::frame::CallResult;
use crate::sidecar::frame::EndpointLoad;
use crate::sidecar::frame::ForwardedCall;
use crate::sidecar::frame::PeerFrame;
use crate::sidecar::frame::read_frame;
use crate::sidecar::frame::write_frame;

/// Maximum number of frames queued on a link. It fills only if the peer stops reading.
const FRAME_QUEUE: usize = 4096;

/// Bytes reserved for each read from the socket.
const READ_SIZE: usize = 4 * 1024;

/// Time limit for connecting, and for the first frame after that: several round trips between
/// regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Time without received frames after which a link with calls in progress is pinged.
const BUSY_PING_TIME: Duration = Duration::from_millis(250);

/// Time without received frames after which an idle link is pinged.
const IDLE_PING_TIME: Duration = Duration::from_secs(3);

/// Time limit for the response to a ping: a round trip between regions, and the scheduling pauses
/// of a daemon that is limited to a fifth of a core.
const PONG_TIMEOUT: Duration = Duration::from_millis(600);

/// Outcome of a call over a link.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkOutcome {
    /// The peer sent its load and the result of the call.
    Replied(EndpointLoad, CallResult),
    /// The call was not sent.
    NotSent,
    /// The link was lost, so the call may have run.
    Lost,
}

/// Error when a link can't be opened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DialError {
    /// The connection failed, or the peer did not identify itself in time.
    Unreachable,
    /// Another daemon uses the address now.
    OtherDaemon(MemberId),
}

impl fmt::Display for DialError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DialError::Unreachable => {
                f.write_str("the connection failed or no hello frame was received")
            }
            DialError::OtherDaemon(id) => write!(f, "the address is used by daemon {id}"),
        }
    }
}

impl std::error::Error for DialError {}

/// Event on a link for a call in progress.
enum CallEvent {
    /// The link became silent.
    Silent,
    /// The peer sent its load and the result of the call.
    Replied(EndpointLoad, CallResult),
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
    frames: Sender<PeerFrame>,
    pending: RefCell<HashMap<CallNumber, Sender<CallEvent>>>,
    next_number: Cell<CallNumber>,
    last_received: Cell<Duration>,
    ping_sent: Cell<Option<Duration>>,
    state: Cell<LinkState>,
}

impl PeerLink {
    /// Connects to the daemon `peer`, checks its id and starts to exchange frames. `on_frame` is
    /// called for each frame that is not about a call, and `on_end` when the link ends.
    ///
    /// # Errors
    /// [`DialError`] if the connection fails or another daemon uses the address.
    pub async fn open(
        peer: &MemberId,
        address: SocketAddr,
        now: impl Fn() -> Duration + 'static,
        on_frame: impl Fn(&PeerLink, PeerFrame) + 'static,
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
        let (frames, queue) = flume::bounded(FRAME_QUEUE);
        let link = Rc::new(PeerLink {
            frames,
            pending: RefCell::default(),
            next_number: Cell::new(0),
            last_received: Cell::new(now()),
            ping_sent: Cell::new(None),
            state: Cell::new(LinkState::Open),
        });
        let weak_link = Rc::downgrade(&link);
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
                    PeerFrame::Pong => {}
                    // Only the first `Hello` is awaited; later ones are ignored.
                    PeerFrame::Hello(id) => drop(hello.try_send(id)),
                    frame => on_frame(&link, frame),
                }
            };
            exchange_frames(stream, queue, take).await;
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

    /// Returns whether calls are in progress.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        !self.pending.borrow().is_empty()
    }

    /// Queues a frame; returns false if the queue is full or the link has ended.
    pub fn send(&self, frame: PeerFrame) -> bool {
        self.frames.try_send(frame).is_ok()
    }

    /// Makes a call; dropping the future cancels it. When the link becomes silent, the call is also
    /// cancelled if `may_leave` returns true: it can be sent elsewhere then.
    pub async fn call(&self, call: ForwardedCall, may_leave: impl Fn() -> bool) -> LinkOutcome {
        if self.state.get() != LinkState::Open {
            return LinkOutcome::NotSent;
        }
        let number = self.next_number.get();
        self.next_number.set(number.wrapping_add(1));
        let (sender, receiver) = flume::unbounded();
        if !self.send(PeerFrame::Call(number, Box::new(call))) {
            return LinkOutcome::NotSent;
        }
        self.pending.borrow_mut().insert(number, sender);
        let _running = RunningCall { link: self, number };
        while let Ok(event) = receiver.recv_async().await {
            match event {
                CallEvent::Replied(load, result) => return LinkOutcome::Replied(load, result),
                CallEvent::Silent if may_leave() => return LinkOutcome::Lost,
                CallEvent::Silent => {}
            }
        }
        LinkOutcome::Lost
    }

    /// Sends a ping when one is due, and marks the link as silent when the response is overdue; to
    /// be called several times a second. Returns whether the link has become silent in this call.
    pub fn check(&self, now: Duration) -> bool {
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
            true => BUSY_PING_TIME,
            false => IDLE_PING_TIME,
        };
        if now >= self.last_received.get() + limit && self.send(PeerFrame::Ping) {
            self.ping_sent.set(Some(now));
        }
        false
    }

    fn finish(&self, number: CallNumber, load: EndpointLoad, result: CallResult) {
        let Some(caller) = self.pending.borrow_mut().remove(&number) else {
            return;
        };
        // Fails if the caller is gone; the result is not needed then.
        let _ = caller.send(CallEvent::Replied(load, result));
    }

    fn notify_silence(&self) {
        for caller in self.pending.borrow().values() {
            // Fails if the caller has just cancelled the call.
            let _ = caller.send(CallEvent::Silent);
        }
    }

    fn close(&self) {
        self.state.set(LinkState::Closed);
        self.pending.borrow_mut().clear();
    }
}

/// A call in progress; sends a cancel frame when dropped before the result.
struct RunningCall<'a> {
    link: &'a PeerLink,
    number: CallNumber,
}

impl Drop for RunningCall<'_> {
    fn drop(&mut self) {
        let pending = self.link.pending.borrow_mut().remove(&self.number);
        if pending.is_some() {
            self.link.send(PeerFrame::Cancel(self.number));
        }
    }
}

/// Sends the frames of `queue` and passes received ones to `take`, until the connection or the
/// queue ends.
pub async fn exchange_frames(
    stream: TcpStream,
    queue: Receiver<PeerFrame>,
    take: impl FnMut(PeerFrame),
) {
    let (reader, writer) = stream.into_split();
    tokio::select! {
        () = read_frames(reader, take) => {}
        () = write_frames(writer, queue) => {}
    }
}

async fn read_frames(mut reader: OwnedReadHalf, mut take: impl FnMut(PeerFrame)) {
    let mut bytes = Vec::new();
    loop {
        loop {
            match read_frame(&mut bytes) {
                Ok(Some(frame)) => take(frame),
                Ok(None) => break,
                Err(error) => {
                    let event = json!({"name": "link_unreadable", "reason": error.to_string()});
                    warn!(target: MEMBERS, "{event}");
                    return;
                }
            }
        }
        bytes.reserve(READ_SIZE);
        match reader.read_buf(&mut bytes).await {
            Ok(count) if count > 0 => {}
            _ => return,
        }
    }
}

async fn write_frames(mut writer: OwnedWriteHalf, queue: Receiver<PeerFrame>) {
    let mut bytes = Vec::new();
    while let Ok(frame) = queue.recv_async().await {
        bytes.clear();
        for frame in std::iter::once(frame).chain(queue.try_iter()) {
            if let Err(error) = write_frame(&frame, &mut bytes) {
                let event = json!({"name": "frame_not_sent", "reason": error.to_string()});
                warn!(target: MEMBERS, "{event}");
            }
        }
        if writer.write_all(&bytes).await.is_err() {
            return;
        }
    }
}
