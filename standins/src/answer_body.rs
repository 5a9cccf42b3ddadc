//! Body of an answer, whole or cut half-way.

use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use hyper::body::Body;
use hyper::body::Bytes;
use hyper::body::Frame;
use hyper::body::SizeHint;

/// Failure that makes the server close the connection within an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerCut;

impl fmt::Display for AnswerCut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("answer cut on demand")
    }
}

impl std::error::Error for AnswerCut {}

impl From<Infallible> for AnswerCut {
    fn from(never: Infallible) -> AnswerCut {
        match never {}
    }
}

/// Body that states its whole length and sends all of it or the first half.
#[derive(Debug)]
pub struct AnswerBody {
    stated_len: u64,
    rest: Option<Bytes>,
    stage: CutStage,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CutStage {
    /// The body is sent whole.
    Whole,
    /// The first half is to be sent, then the body is cut.
    FirstHalf,
    /// The first half is on its way out.
    Flushing,
    /// The body is to be cut now.
    Cut,
}

impl AnswerBody {
    /// Makes a body that is sent whole.
    pub fn whole(bytes: impl Into<Bytes>) -> AnswerBody {
        AnswerBody::new(bytes.into(), CutStage::Whole)
    }

    /// Makes a body that states the length of `bytes` and ends half-way.
    pub fn cut(bytes: impl Into<Bytes>) -> AnswerBody {
        AnswerBody::new(bytes.into(), CutStage::FirstHalf)
    }

    fn new(bytes: Bytes, stage: CutStage) -> AnswerBody {
        AnswerBody {
            stated_len: bytes.len() as u64,
            rest: Some(bytes),
            stage,
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerCut>>> {
        match self.stage {
            CutStage::Whole => Poll::Ready(self.rest.take().map(|rest| Ok(Frame::data(rest)))),
            CutStage::FirstHalf => {
                self.stage = CutStage::Flushing;
                let bytes = self.rest.take().unwrap_or_default();
                let half = bytes.slice(..bytes.len() / 2);
                Poll::Ready(Some(Ok(Frame::data(half))))
            }
            // An error now would make the server drop what it has buffered.
            CutStage::Flushing => {
                self.stage = CutStage::Cut;
                context.waker().wake_by_ref();
                Poll::Pending
            }
            CutStage::Cut => Poll::Ready(Some(Err(AnswerCut))),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.stage == CutStage::Whole && self.rest.as_ref().is_none_or(Bytes::is_empty)
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.stated_len)
    }
}
