//! Body of a client's request while it is being received.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use hyper::body::Body;
use hyper::body::Bytes;
use hyper::body::Frame;
use hyper::body::SizeHint;

/// Bytes that are read from the connection before the reader of the body has taken them.
pub const PIPE_BYTES: usize = 64 * 1024;

/// Error for a body whose chunks are malformed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestBodyError;

impl fmt::Display for RequestBodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the request's body is malformed")
    }
}

impl std::error::Error for RequestBodyError {}

#[derive(Default)]
struct PipeState {
    pieces: VecDeque<Bytes>,
    queued: usize,
    end: Option<Result<(), RequestBodyError>>,
    reader: Option<Waker>,
    is_wanted: bool,
    is_dropped: bool,
}

/// The connection's end of a request body.
#[derive(Clone, Default)]
pub struct BodyPipe(Rc<RefCell<PipeState>>);

impl BodyPipe {
    /// Returns the pipe of a body and the body, of which `length` bytes will come if it is known.
    #[must_use]
    pub fn new(length: Option<u64>) -> (BodyPipe, RequestBody) {
        let pipe = BodyPipe::default();
        let body = RequestBody {
            pipe: pipe.clone(),
            left: length,
        };
        (pipe, body)
    }

    /// Returns whether more bytes may be read from the connection.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.0.borrow().queued < PIPE_BYTES
    }

    /// Returns whether the reader has asked for the body and nothing was received yet, so that a
    /// client that waits for `100 Continue` should get it.
    #[must_use]
    pub fn is_wanted(&self) -> bool {
        let state = self.0.borrow();
        state.is_wanted && !state.is_dropped
    }

    /// Returns whether the reader has dropped the body.
    #[must_use]
    pub fn is_dropped(&self) -> bool {
        self.0.borrow().is_dropped
    }

    /// Adds received bytes. They are discarded if the reader is gone.
    pub fn push(&self, bytes: Bytes) {
        let mut state = self.0.borrow_mut();
        if state.is_dropped {
            return;
        }
        state.queued += bytes.len();
        state.pieces.push_back(bytes);
        state.wake();
    }

    /// Ends the body.
    pub fn end(&self, end: Result<(), RequestBodyError>) {
        let mut state = self.0.borrow_mut();
        state.end = Some(end);
        state.wake();
    }
}

impl PipeState {
    fn wake(&mut self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}

/// Body of a request.
pub struct RequestBody {
    pipe: BodyPipe,
    left: Option<u64>,
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = RequestBodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RequestBodyError>>> {
        let mut state = self.pipe.0.borrow_mut();
        if let Some(bytes) = state.pieces.pop_front() {
            state.queued -= bytes.len();
            drop(state);
            if let Some(left) = &mut self.left {
                *left = left.saturating_sub(bytes.len() as u64);
            }
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        match state.end {
            Some(Ok(())) => Poll::Ready(None),
            Some(Err(error)) => Poll::Ready(Some(Err(error))),
            None => {
                state.is_wanted = true;
                state.reader = Some(context.waker().clone());
                Poll::Pending
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        let state = self.pipe.0.borrow();
        state.pieces.is_empty() && state.end == Some(Ok(()))
    }

    fn size_hint(&self) -> SizeHint {
        self.left.map(SizeHint::with_exact).unwrap_or_default()
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        let mut state = self.pipe.0.borrow_mut();
        state.is_dropped = true;
        state.pieces.clear();
        state.queued = 0;
    }
}
