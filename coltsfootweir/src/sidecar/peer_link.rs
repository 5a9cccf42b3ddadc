//! Kept connections to other daemons, each carrying many calls at once.

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

/// Frames that may wait on a link; beyond that the other side does not read.
const FRAME_QUEUE: usize = 4096;

/// Bytes asked of the socket at once.
const READ_SIZE: usize = 4 * 1024;

/// Time a new link may take: several round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Silence on a link with calls in progress after which a sign of life is asked for.
const QUIET_LIMIT: Duration = Duration::from_millis(250);

/// Silence on a link at rest after which a sign of life is asked for.
const REST_LIMIT: Duration = Duration::from_secs(3);

/// Time in which the sign of life must come: a round trip between regions and the pauses of a
/// processor that has a fifth of a core.
const PONG_TIMEOUT: Duration = Duration::from_millis(600);

/// How a call over a link ended.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkOutcome {
    /// The other daemon told what became of it.
    Replied(EndpointLoad, CallResult),
    /// The call was not sent.
    NotSent,
    /// The link was lost; the call may have run.
    Lost,
}

/// Why a link did not come about.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DialError {
    /// Nobody answers at the address.
    Unreachable,
    /// Another daemon has the address now.
    OtherDaemon(MemberId),
}

impl fmt::Display for DialError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DialError::Unreachable => f.write_str("nobody answers"),
            DialError::OtherDaemon(id) => write!(f, "the address is that of {id}"),
        }
    }
}

impl std::error::Error for DialError {}

/// What a caller hears of its call.
enum CallNews {
    /// The other side is silent.
    Silent,
    /// The other side told what became of the call.
    Told(EndpointLoad, CallResult),
}

/// How a link stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkState {
    /// It carries calls.
    Open,
    /// The other side is silent; calls that cannot go elsewhere wait on.
    Silent,
    /// It is over.
    Closed,
}

/// A link to another daemon.
pub struct PeerLink {
    frames: Sender<PeerFrame>,
    pending: RefCell<HashMap<CallNumber, Sender<CallNews>>>,
    next_number: Cell<CallNumber>,
    heard: Cell<Duration>,
    asked: Cell<Option<Duration>>,
    state: Cell<LinkState>,
}

impl PeerLink {
    /// Connects to a daemon, learns who it is and starts to carry frames; what comes in beside the
    /// results of calls goes to `on_frame`, the end of the link to `on_end`.
    ///
    /// # Errors
    /// [`DialError`].
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
            heard: Cell::new(now()),
            asked: Cell::new(None),
            state: Cell::new(LinkState::Open),
        });
        let carrier = Rc::downgrade(&link);
        tokio::task::spawn_local(async move {
            let take = |frame| {
                let Some(link) = carrier.upgrade() else {
                    return;
                };
                link.heard.set(now());
                link.asked.set(None);
                link.state.set(LinkState::Open);
                match frame {
                    PeerFrame::Result(number, load, result) => link.finish(number, load, *result),
                    PeerFrame::Pong => {}
                    // Only the first one is waited for.
                    PeerFrame::Hello(id) => drop(hello.try_send(id)),
                    frame => on_frame(&link, frame),
                }
            };
            exchange_frames(stream, queue, take).await;
            if let Some(link) = carrier.upgrade() {
                link.close();
            }
            on_end();
        });
        let told = tokio::time::timeout(CONNECT_TIMEOUT, hellos.recv_async()).await;
        match told {
            Ok(Ok(told)) if told == *peer => Ok(link),
            Ok(Ok(told)) => Err(DialError::OtherDaemon(told)),
            _ => Err(DialError::Unreachable),
        }
    }

    /// Returns how the link stands.
    #[must_use]
    pub fn state(&self) -> LinkState {
        self.state.get()
    }

    /// Returns whether calls are in progress.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        !self.pending.borrow().is_empty()
    }

    /// Sends a frame that needs no answer; returns whether it was queued.
    pub fn send(&self, frame: PeerFrame) -> bool {
        self.frames.try_send(frame).is_ok()
    }

    /// Makes a call; dropping the future gives the call up. When the other side falls silent the call
    /// is given up too if `may_leave` says that it can go elsewhere.
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
        while let Ok(news) = receiver.recv_async().await {
            match news {
                CallNews::Told(load, result) => return LinkOutcome::Replied(load, result),
                CallNews::Silent if may_leave() => return LinkOutcome::Lost,
                CallNews::Silent => {}
            }
        }
        LinkOutcome::Lost
    }

    /// Asks for a sign of life when one is due, and notes the lack of one; to be called several
    /// times a second. Returns whether the link has gone silent since the last time.
    pub fn check(&self, now: Duration) -> bool {
        if self.state.get() == LinkState::Closed {
            return false;
        }
        if let Some(asked) = self.asked.get() {
            if now >= asked + PONG_TIMEOUT && self.state.get() == LinkState::Open {
                self.state.set(LinkState::Silent);
                self.tell_silence();
                return true;
            }
            return false;
        }
        let limit = match self.is_busy() {
            true => QUIET_LIMIT,
            false => REST_LIMIT,
        };
        if now >= self.heard.get() + limit && self.send(PeerFrame::Ping) {
            self.asked.set(Some(now));
        }
        false
    }

    fn finish(&self, number: CallNumber, load: EndpointLoad, result: CallResult) {
        let Some(caller) = self.pending.borrow_mut().remove(&number) else {
            return;
        };
        // A caller that is gone needs no result.
        let _ = caller.send(CallNews::Told(load, result));
    }

    fn tell_silence(&self) {
        for caller in self.pending.borrow().values() {
            // The caller may have given up just now.
            let _ = caller.send(CallNews::Silent);
        }
    }

    fn close(&self) {
        self.state.set(LinkState::Closed);
        self.pending.borrow_mut().clear();
    }
}

/// A call in progress; tells the other side when it is given up.
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

/// Carries frames over a connection until it ends or `queue` does.
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
                    let what = json!({"name": "link_unreadable", "reason": error.to_string()});
                    warn!(target: MEMBERS, "{what}");
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
                let what = json!({"name": "frame_not_sent", "reason": error.to_string()});
                warn!(target: MEMBERS, "{what}");
            }
        }
        if writer.write_all(&bytes).await.is_err() {
            return;
        }
    }
}
