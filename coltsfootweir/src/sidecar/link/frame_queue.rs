//! Frames that wait to be sent on a connection, bounded in number and in bytes.

use std::cell::Cell;
use std::rc::Rc;

use flume::Receiver;
use flume::Sender;

use crate::sidecar::frame::CallResult;
use crate::sidecar::frame::PeerFrame;

/// Maximum number of frames queued on a connection. It fills only if the peer stops reading.
const FRAME_LIMIT: usize = 4096;

/// Maximum number of bytes of the whole answers queued on a connection: 64 of the largest, of 16 KB.
/// Bodies of calls are in the account of the daemon, and pieces have credits.
const ANSWER_LIMIT: usize = 1024 * 1024;

/// Sending side of the frames of a connection.
pub struct QueuedFrames {
    frames: Sender<PeerFrame>,
    answers: Rc<Cell<usize>>,
}

/// Receiving side of the frames of a connection.
pub struct FrameQueue {
    frames: Receiver<PeerFrame>,
    answers: Rc<Cell<usize>>,
}

/// Creates the queue of a connection.
#[must_use]
pub fn frame_queue() -> (QueuedFrames, FrameQueue) {
    let (sender, receiver) = flume::bounded(FRAME_LIMIT);
    let answers = Rc::new(Cell::new(0));
    let queued = QueuedFrames {
        frames: sender,
        answers: Rc::clone(&answers),
    };
    let queue = FrameQueue {
        frames: receiver,
        answers,
    };
    (queued, queue)
}

impl QueuedFrames {
    /// Queues a frame; returns false if the queue is full or the connection has ended. An answer is
    /// queued if none is, whatever its size.
    #[must_use]
    pub fn send(&self, frame: PeerFrame) -> bool {
        let size = answer_size(&frame);
        let queued = self.answers.get();
        if size > 0 && queued > 0 && queued + size > ANSWER_LIMIT {
            return false;
        }
        let is_sent = self.frames.try_send(frame).is_ok();
        if is_sent {
            self.answers.set(queued + size);
        }
        is_sent
    }

    /// Returns a sender of frames that are bounded by credits.
    #[must_use]
    pub fn sender(&self) -> Sender<PeerFrame> {
        self.frames.clone()
    }
}

impl FrameQueue {
    /// Waits for the next frame; `None` after the end of the sending side.
    pub async fn next(&self) -> Option<PeerFrame> {
        let frame = self.frames.recv_async().await.ok()?;
        Some(self.taken(frame))
    }

    /// Returns the next frame if there is one.
    #[must_use]
    pub fn try_next(&self) -> Option<PeerFrame> {
        let frame = self.frames.try_recv().ok()?;
        Some(self.taken(frame))
    }

    fn taken(&self, frame: PeerFrame) -> PeerFrame {
        self.answers.set(self.answers.get() - answer_size(&frame));
        frame
    }
}

/// Returns the size of the body of a whole answer in bytes, 0 for other frames.
fn answer_size(frame: &PeerFrame) -> usize {
    match frame {
        PeerFrame::Result(_, _, result) => match &**result {
            CallResult::Answer { body, .. } => body.len(),
            CallResult::NotRun(_) | CallResult::Unknown(_) => 0,
        },
        _ => 0,
    }
}
