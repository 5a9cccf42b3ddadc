//! Body of a response to a client: whole, or passed on in pieces.

use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use hyper::body::Body;
use hyper::body::Bytes;
use hyper::body::Frame;
use hyper::body::SizeHint;
use log::info;
use serde_json::json;
use tokio::time::Sleep;

use crate::logging::CALLS;
use crate::sidecar::answer::answer_rest::AnswerRest;
use crate::sidecar::answer::answer_rest::BodyPiece;
use crate::sidecar::client_limits::connection_limit::BusyConnection;
use crate::sidecar::sidecar_state::SidecarState;

/// Body of a response to a client.
pub enum ClientBody {
    /// All bytes, until they are taken.
    Whole(Option<Bytes>),
    /// An answer that is still being received.
    Pieces(Box<PassedBody>),
}

/// Error that ends a response whose body can't be completed. The connection is closed, so the
/// client does not take it for complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// The answer broke off.
    Broken,
    /// The answer was not complete in time.
    TimedOut,
    /// The answer differs from the length that its head states.
    WrongLength,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BodyError::Broken => "the endpoint's answer broke off",
            BodyError::TimedOut => "the endpoint's answer was not complete in time",
            BodyError::WrongLength => "the endpoint's answer has not the length that it states",
        })
    }
}

impl std::error::Error for BodyError {}

/// An answer that is passed on while it is received.
pub struct PassedBody {
    first: Option<Bytes>,
    rest: AnswerRest,
    /// Bytes that are left of the stated length.
    left: Option<u64>,
    passed: u64,
    time_limit: Pin<Box<Sleep>>,
    outcome: &'static str,
    request_id: Box<str>,
    _running: RunningCount,
}

impl PassedBody {
    /// Creates a body that begins with `first` and must be complete within `time_left`.
    #[must_use]
    pub fn new(
        first: Vec<u8>,
        rest: AnswerRest,
        time_left: Duration,
        request_id: &str,
        running: RunningCount,
    ) -> PassedBody {
        PassedBody {
            first: Some(Bytes::from(first)),
            left: rest.length,
            rest,
            passed: 0,
            time_limit: Box::pin(tokio::time::sleep(time_left)),
            outcome: "client_left",
            request_id: request_id.into(),
            _running: running,
        }
    }

    fn pass(&mut self, bytes: Bytes) -> Result<Frame<Bytes>, BodyError> {
        let length = bytes.len() as u64;
        self.passed += length;
        if let Some(left) = &mut self.left {
            let Some(rest) = left.checked_sub(length) else {
                return self.fail(BodyError::WrongLength);
            };
            *left = rest;
        }
        Ok(Frame::data(bytes))
    }

    fn fail<T>(&mut self, error: BodyError) -> Result<T, BodyError> {
        self.outcome = match error {
            BodyError::Broken => "broke_off",
            BodyError::TimedOut => "timed_out",
            BodyError::WrongLength => "wrong_length",
        };
        Err(error)
    }

    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(first) = self.first.take().filter(|first| !first.is_empty()) {
            return Poll::Ready(Some(self.pass(first)));
        }
        if self.time_limit.as_mut().poll(context).is_ready() {
            return Poll::Ready(Some(self.fail(BodyError::TimedOut)));
        }
        loop {
            let Poll::Ready(piece) = self.rest.pieces.poll_recv(context) else {
                return Poll::Pending;
            };
            return Poll::Ready(match piece.unwrap_or(BodyPiece::Broken) {
                BodyPiece::Data(bytes) => Some(self.pass(Bytes::from(bytes))),
                BodyPiece::End if self.left.is_none_or(|left| left == 0) => {
                    self.outcome = "complete";
                    None
                }
                BodyPiece::End => Some(self.fail(BodyError::WrongLength)),
                BodyPiece::Broken => Some(self.fail(BodyError::Broken)),
                BodyPiece::Stalled => continue,
            });
        }
    }
}

impl Drop for PassedBody {
    fn drop(&mut self) {
        // The stated length ends a body before its end is polled.
        if self.left == Some(0) && self.outcome == "client_left" {
            self.outcome = "complete";
        }
        let event = json!({"name": "answer_passed", "request": self.request_id,
            "bytes": self.passed, "outcome": self.outcome});
        info!(target: CALLS, "{event}");
    }
}

impl ClientBody {
    /// Creates a body of known bytes.
    #[must_use]
    pub fn whole(bytes: impl Into<Bytes>) -> ClientBody {
        ClientBody::Whole(Some(bytes.into()))
    }
}

impl Body for ClientBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            ClientBody::Whole(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            ClientBody::Pieces(body) => body.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ClientBody::Whole(bytes) if bytes.as_ref().is_none_or(Bytes::is_empty))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ClientBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            ClientBody::Pieces(body) => body.left.map(SizeHint::with_exact).unwrap_or_default(),
        }
    }
}

/// Counts a request as in progress until it is dropped.
pub struct RunningCount {
    state: Rc<SidecarState>,
    _connection: BusyConnection,
}

impl RunningCount {
    /// Counts one more request.
    #[must_use]
    pub fn new(state: &Rc<SidecarState>, connection: BusyConnection) -> RunningCount {
        state.running.set(state.running.get() + 1);
        RunningCount {
            state: Rc::clone(state),
            _connection: connection,
        }
    }
}

impl Drop for RunningCount {
    fn drop(&mut self) {
        let running = &self.state.running;
        running.set(running.get() - 1);
    }
}
