//! Requests of a connection without a written answer.

use std::future::Future;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use hyper::Response;
use hyper::Version;
use hyper::body::Body;

use crate::sidecar::answer::client_body::ClientBody;
use crate::sidecar::client_connection::body_decoder::BodyDecoder;
use crate::sidecar::client_connection::read_ahead::RequestTraits;
use crate::sidecar::client_connection::request_body::BodyPipe;

/// Unread bytes of a refused body up to which it is read to its end, so that the connection can be
/// used again. It takes less time than a new connection.
const DRAIN_LIMIT: u64 = 64 * 1024;

pub(super) type RunningRequest = Pin<Box<dyn Future<Output = Response<ClientBody>>>>;

pub(super) enum RequestProgress {
    Running(RunningRequest),
    Answered(Response<ClientBody>),
}

/// A request without a written answer.
pub(super) struct PendingRequest {
    pub(super) progress: RequestProgress,
    pub(super) traits: RequestTraits,
    pub(super) version: Version,
    pub(super) is_head: bool,
    pub(super) keeps_alive: bool,
}

impl PendingRequest {
    pub(super) fn poll(&mut self, context: &mut Context<'_>) {
        if let RequestProgress::Running(running) = &mut self.progress
            && let Poll::Ready(response) = running.as_mut().poll(context)
        {
            self.progress = RequestProgress::Answered(response);
        }
    }

    pub(super) fn is_answered(&self) -> bool {
        matches!(self.progress, RequestProgress::Answered(_))
    }

    /// Returns the number of bytes of an answer that waits for earlier ones.
    pub(super) fn held(&self) -> usize {
        match &self.progress {
            RequestProgress::Answered(response) => {
                usize::try_from(response.body().size_hint().lower()).unwrap_or(usize::MAX)
            }
            RequestProgress::Running(_) => 0,
        }
    }
}

/// The body of the latest request while it is being received.
pub(super) struct InboundBody {
    pub(super) decoder: BodyDecoder,
    pub(super) pipe: BodyPipe,
    pub(super) expects_continue: bool,
    /// Bytes that were discarded because the request was answered without them.
    pub(super) drained: u64,
    /// Whether the received bytes are decoded as far as possible.
    pub(super) needs_more: bool,
}

impl InboundBody {
    pub(super) fn wants_read(&self) -> bool {
        match self.pipe.is_dropped() {
            true => self.drained < DRAIN_LIMIT,
            false => self.pipe.has_room(),
        }
    }

    /// Returns whether the rest of a body that is not needed any more is short.
    pub(super) fn may_drain(&self) -> bool {
        self.decoder.left().is_some_and(|left| left <= DRAIN_LIMIT)
    }
}
