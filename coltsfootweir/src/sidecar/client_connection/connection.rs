//! Serves the requests of one connection of a client.

use std::collections::VecDeque;
use std::future::Future;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::Version;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::Sleep;

use crate::sidecar::answer::client_body::RunningCount;
use crate::sidecar::client_connection::body_decoder::BodyDecoder;
use crate::sidecar::client_connection::body_decoder::DecodedStep;
use crate::sidecar::client_connection::pending_request::InboundBody;
use crate::sidecar::client_connection::pending_request::PendingRequest;
use crate::sidecar::client_connection::pending_request::RequestProgress;
use crate::sidecar::client_connection::read_ahead::RequestTraits;
use crate::sidecar::client_connection::read_ahead::may_start;
use crate::sidecar::client_connection::request_body::BodyPipe;
use crate::sidecar::client_connection::request_body::RequestBodyError;
use crate::sidecar::client_connection::request_head::HeadError;
use crate::sidecar::client_connection::request_head::RequestHead;
use crate::sidecar::client_connection::request_head::has_end;
use crate::sidecar::client_connection::request_head::parse_head;
use crate::sidecar::client_limits::connection_limit::ConnectionSlot;
use crate::sidecar::client_response::daemon_response;
use crate::sidecar::mesh_config::ClientLimits;
use crate::sidecar::request_server::UNREADY_RETRY_AFTER;
use crate::sidecar::request_server::is_repeatable;
use crate::sidecar::request_server::serve_request;
use crate::sidecar::sidecar_state::SidecarState;

/// Free buffer space reserved for each read from the socket, in bytes.
pub(super) const READ_SIZE: usize = 8 * 1024;

/// Lower limit of the size of a request head, in bytes, whatever the configuration says.
const MIN_HEAD_LIMIT: usize = 8 * 1024;

/// Time in addition to the configured one in which a head must be complete: the client's clock starts
/// earlier than the one here.
const HEAD_MARGIN: Duration = Duration::from_secs(1);

/// What a connection waits for without an outstanding request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum InputWait {
    /// A request is outstanding; its own time limits apply.
    None,
    /// The first byte of a request.
    Idle,
    /// The rest of a head, or of a body that is not needed any more.
    Rest,
}

enum ConnectionEvent {
    /// The first outstanding request is answered.
    Answered,
    /// Bytes were received.
    Received,
    /// Received bytes can be decoded further.
    Decodable,
    /// The client waits for `100 Continue`.
    ContinueDue,
    /// The daemon stops, or the connection has to be closed for another one.
    Stopping,
    /// The client closed the connection.
    Ended,
    /// The time limit on the client's input has passed.
    TimedOut,
}

/// A connection of a client.
pub struct ClientConnection {
    pub(super) state: Rc<SidecarState>,
    pub(super) stream: TcpStream,
    pub(super) slot: Rc<ConnectionSlot>,
    /// Limits that were in force when the input that is awaited or read began.
    begun: ClientLimits,
    pub(super) buffer: Vec<u8>,
    /// Length of the front of the buffer that holds no end of a head.
    pub(super) scanned: usize,
    pub(super) outstanding: VecDeque<PendingRequest>,
    /// Head of a request that may not start yet.
    pub(super) next: Option<RequestHead>,
    pub(super) body: Option<InboundBody>,
    /// Whether no further request is started.
    pub(super) is_last: bool,
    pub(super) is_stopping: bool,
    pub(super) has_served: bool,
    /// Whether the client may still be sending when the connection is closed.
    pub(super) is_cut: bool,
    /// Whether the client has announced that it sends no further request.
    pub(super) is_client_done: bool,
    /// When the last answer was written.
    pub(super) answered_at: Option<Instant>,
}

impl ClientConnection {
    /// Creates a connection that has just been accepted.
    #[must_use]
    pub fn new(
        state: Rc<SidecarState>,
        stream: TcpStream,
        slot: Rc<ConnectionSlot>,
    ) -> ClientConnection {
        ClientConnection {
            begun: state.config.client_limits(),
            state,
            stream,
            slot,
            buffer: Vec::new(),
            scanned: 0,
            outstanding: VecDeque::new(),
            next: None,
            body: None,
            is_last: false,
            is_stopping: false,
            has_served: false,
            is_cut: false,
            is_client_done: false,
            answered_at: None,
        }
    }

    /// Serves requests until the client or the daemon closes the connection. Once `stopping`
    /// changes, it closes when it is idle. Dropping the future cancels the requests.
    pub async fn run(mut self, mut stopping: watch::Receiver<bool>) {
        let slot = Rc::clone(&self.slot);
        // Closing was asked for, by the daemon's stop or by the limit on connections.
        let closing = async move {
            tokio::select! {
                Ok(()) = stopping.changed() => {}
                () = slot.evicted() => {}
            }
        };
        tokio::pin!(closing);
        let timer = tokio::time::sleep(self.idle_time());
        tokio::pin!(timer);
        let mut wait = InputWait::Idle;
        let mut wait_since = Instant::now();
        loop {
            self.feed_body();
            self.start_requests();
            self.feed_body();
            if self.is_finished() {
                self.close().await;
                return;
            }
            let last_wait = std::mem::replace(&mut wait, self.input_wait());
            if wait != last_wait && wait != InputWait::None {
                if wait == InputWait::Idle {
                    self.begun = self.state.config.client_limits();
                }
                wait_since = Instant::now();
                timer.as_mut().reset(wait_since + self.time_limit(wait));
            }
            let event = poll_fn(|context| {
                let timer = (wait != InputWait::None).then_some(timer.as_mut());
                self.poll_event(context, closing.as_mut(), timer)
            });
            let is_open = match event.await {
                ConnectionEvent::Answered => self.write_answer().await,
                ConnectionEvent::ContinueDue => self.write_continue().await,
                ConnectionEvent::Received | ConnectionEvent::Decodable => true,
                ConnectionEvent::Stopping => {
                    self.is_stopping = true;
                    true
                }
                ConnectionEvent::Ended => false,
                ConnectionEvent::TimedOut => {
                    // The limit may have been raised since the wait began.
                    let until = wait_since + self.time_limit(wait);
                    if Instant::now() < until {
                        timer.as_mut().reset(until);
                        continue;
                    }
                    if wait == InputWait::Rest {
                        self.state.metrics.count_refusal("head_timed_out");
                    }
                    self.close().await;
                    return;
                }
            };
            if !is_open {
                return;
            }
        }
    }

    /// Returns the limits on the present input: those in force, or those under which it began if they are
    /// larger. Its sender can't take back what it has sent.
    fn limits(&self) -> ClientLimits {
        self.begun.or_larger(self.state.config.client_limits())
    }

    pub(super) fn idle_time(&self) -> Duration {
        let limits = self.limits();
        Duration::from_millis(u64::from(limits.idle_ms.max(limits.header_ms)))
    }

    fn time_limit(&self, wait: InputWait) -> Duration {
        match wait {
            InputWait::None | InputWait::Idle => self.idle_time(),
            InputWait::Rest => {
                Duration::from_millis(u64::from(self.limits().header_ms)) + HEAD_MARGIN
            }
        }
    }

    fn input_wait(&self) -> InputWait {
        match () {
            () if !self.outstanding.is_empty() => InputWait::None,
            () if self.buffer.is_empty() && self.body.is_none() => InputWait::Idle,
            () => InputWait::Rest,
        }
    }

    fn head_limit(&self) -> usize {
        MIN_HEAD_LIMIT.max(self.limits().header_bytes as usize)
    }

    fn is_finished(&self) -> bool {
        let is_idle = self.buffer.is_empty() && self.next.is_none() && self.body.is_none();
        // A client that has just connected may be sending its first request while the daemon stops.
        let is_unused = !self.has_served && !self.slot.is_evicted();
        let may_stop = self.is_stopping && is_idle && !is_unused;
        self.outstanding.is_empty() && (self.is_last || may_stop)
    }

    /// Starts the requests that have been received, as far as they may run beside each other.
    fn start_requests(&mut self) {
        while !self.is_last && self.body.is_none() {
            let head = match self.next.take() {
                Some(head) => head,
                None => match self.take_head() {
                    Ok(Some(head)) => head,
                    Ok(None) => return,
                    Err(error) => {
                        self.refuse(error);
                        return;
                    }
                },
            };
            let traits = RequestTraits {
                is_repeatable: is_repeatable(&self.state, &head.request),
                has_body: !BodyDecoder::new(head.framing).is_ended(),
            };
            let outstanding = self.outstanding.iter();
            let held = outstanding.clone().map(PendingRequest::held).sum();
            if !may_start(outstanding.map(|pending| pending.traits), held, traits) {
                self.next = Some(head);
                return;
            }
            self.start(head, traits);
        }
    }

    fn take_head(&mut self) -> Result<Option<RequestHead>, HeadError> {
        let limit = self.head_limit();
        let parsed = match has_end(&self.buffer, self.scanned) {
            true => parse_head(&self.buffer)?,
            false => None,
        };
        match parsed {
            Some((size, _)) if size > limit => Err(HeadError::TooLarge),
            Some((size, head)) => {
                self.buffer.drain(..size);
                self.scanned = 0;
                Ok(Some(head))
            }
            None if self.buffer.len() >= limit => Err(HeadError::TooLarge),
            None => {
                self.scanned = self.buffer.len();
                Ok(None)
            }
        }
    }

    fn start(&mut self, head: RequestHead, traits: RequestTraits) {
        let decoder = BodyDecoder::new(head.framing);
        let (pipe, body) = BodyPipe::new(decoder.left());
        match decoder.is_ended() {
            true => pipe.end(Ok(())),
            false => {
                self.body = Some(InboundBody {
                    decoder,
                    pipe,
                    expects_continue: head.expects_continue,
                    drained: 0,
                    needs_more: false,
                });
            }
        }
        let (parts, ()) = head.request.into_parts();
        let version = parts.version;
        let is_head = parts.method == Method::HEAD;
        let request = Request::from_parts(parts, body);
        let state = Rc::clone(&self.state);
        let count = RunningCount::new(&state, self.slot.begin_request());
        let running = Box::pin(async move { serve_request(&state, request, count).await });
        self.is_last |= !head.keeps_alive;
        self.is_client_done |= !head.keeps_alive;
        self.has_served = true;
        self.outstanding.push_back(PendingRequest {
            progress: RequestProgress::Running(running),
            traits,
            version,
            is_head,
            keeps_alive: head.keeps_alive,
        });
    }

    /// Queues the answer to a head that can't be served, after which the connection closes.
    fn refuse(&mut self, error: HeadError) {
        let (status, cause) = match error {
            // The configuration may allow it.
            HeadError::TooLarge if self.state.config.version() == 0 => {
                (StatusCode::SERVICE_UNAVAILABLE, "no_config")
            }
            HeadError::TooLarge => (StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "head_too_long"),
            HeadError::Malformed => (StatusCode::BAD_REQUEST, "head_unreadable"),
        };
        self.state.metrics.count_refusal(cause);
        let retry_after =
            (status == StatusCode::SERVICE_UNAVAILABLE).then_some(UNREADY_RETRY_AFTER);
        let response = daemon_response(&self.state, "", status, cause, retry_after);
        self.is_last = true;
        self.is_cut = true;
        self.outstanding.push_back(PendingRequest {
            progress: RequestProgress::Answered(response),
            traits: RequestTraits {
                is_repeatable: false,
                has_body: false,
            },
            version: Version::HTTP_11,
            is_head: false,
            keeps_alive: false,
        });
    }

    /// Hands received bytes to the request whose body is being received.
    fn feed_body(&mut self) {
        let Some(body) = &mut self.body else {
            return;
        };
        while body.wants_read() {
            match body.decoder.decode(&mut self.buffer) {
                Ok(DecodedStep::Data(bytes)) => {
                    if body.pipe.is_dropped() {
                        body.drained += bytes.len() as u64;
                    }
                    body.pipe.push(bytes);
                }
                Ok(DecodedStep::Incomplete) => {
                    body.needs_more = true;
                    return;
                }
                Ok(DecodedStep::End) => {
                    body.pipe.end(Ok(()));
                    self.body = None;
                    return;
                }
                Err(_) => {
                    body.pipe.end(Err(RequestBodyError));
                    self.body = None;
                    self.is_last = true;
                    self.is_cut = true;
                    return;
                }
            }
        }
    }

    fn poll_event(
        &mut self,
        context: &mut Context<'_>,
        closing: Pin<&mut impl Future<Output = ()>>,
        timer: Option<Pin<&mut Sleep>>,
    ) -> Poll<ConnectionEvent> {
        self.poll_requests(context);
        if self
            .outstanding
            .front()
            .is_some_and(PendingRequest::is_answered)
        {
            return Poll::Ready(ConnectionEvent::Answered);
        }
        if let Some(body) = &self.body {
            if body.expects_continue && body.pipe.is_wanted() {
                return Poll::Ready(ConnectionEvent::ContinueDue);
            }
            if !body.needs_more && !self.buffer.is_empty() && body.wants_read() {
                return Poll::Ready(ConnectionEvent::Decodable);
            }
        }
        if let Poll::Ready(is_open) = self.poll_input(context) {
            return Poll::Ready(match is_open {
                true => ConnectionEvent::Received,
                false => ConnectionEvent::Ended,
            });
        }
        if !self.is_stopping && closing.poll(context).is_ready() {
            return Poll::Ready(ConnectionEvent::Stopping);
        }
        match timer {
            Some(timer) => timer.poll(context).map(|()| ConnectionEvent::TimedOut),
            None => Poll::Pending,
        }
    }

    pub(super) fn poll_requests(&mut self, context: &mut Context<'_>) {
        for pending in &mut self.outstanding {
            pending.poll(context);
        }
    }

    /// Reads into the buffer while it has room. Returns whether the connection is still open.
    pub(super) fn poll_input(&mut self, context: &mut Context<'_>) -> Poll<bool> {
        loop {
            let has_room = match &self.body {
                Some(body) => body.wants_read(),
                None => self.buffer.len() < self.head_limit(),
            };
            if !has_room {
                return Poll::Pending;
            }
            match self.stream.poll_read_ready(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Err(_)) => return Poll::Ready(false),
                Poll::Ready(Ok(())) => {}
            }
            if self.buffer.is_empty() {
                self.begun = self.state.config.client_limits();
            }
            self.buffer.reserve(READ_SIZE);
            match self.stream.try_read_buf(&mut self.buffer) {
                Ok(0) => return Poll::Ready(false),
                Ok(_) => {
                    if let Some(body) = &mut self.body {
                        body.needs_more = false;
                    }
                    return Poll::Ready(true);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return Poll::Ready(false),
            }
        }
    }
}
