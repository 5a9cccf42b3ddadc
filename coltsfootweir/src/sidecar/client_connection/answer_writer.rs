//! Writes the answers of a connection and closes it.

use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use hyper::Version;
use hyper::body::Body;
use hyper::body::Bytes;
use hyper::header;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::time::Instant;

use crate::sidecar::answer::client_body::ClientBody;
use crate::sidecar::client_connection::connection::ClientConnection;
use crate::sidecar::client_connection::connection::READ_SIZE;
use crate::sidecar::client_connection::pending_request::RequestProgress;
use crate::sidecar::client_connection::response_head::ResponseFraming;
use crate::sidecar::client_connection::response_head::write_head;

/// Bytes and time for which a connection is read after its last answer, unless the client has ended its
/// side: bytes that reach a closed connection reset it, and the client could lose the answer. Source:
/// RFC 9112, 9.6.
const LINGER_BYTES: usize = 256 * 1024;
const LINGER_TIME: Duration = Duration::from_secs(2);

/// Size from which on a body is written separately from the head instead of being copied, in bytes.
const SEPARATE_BODY: usize = 16 * 1024;

impl ClientConnection {
    pub(super) async fn write_continue(&mut self) -> bool {
        if let Some(body) = &mut self.body {
            body.expects_continue = false;
        }
        self.write(b"HTTP/1.1 100 Continue\r\n\r\n").await
    }

    /// Writes the answer to the first outstanding request. Returns whether the connection can be used
    /// on.
    pub(super) async fn write_answer(&mut self) -> bool {
        let _unsent = self.state.stop.begin_unsent();
        let Some(pending) = self.outstanding.pop_front() else {
            return true;
        };
        let RequestProgress::Answered(response) = pending.progress else {
            return true;
        };
        let closes = response.headers().get(header::CONNECTION);
        self.is_last |= closes.is_some_and(|value| value == "close") || !pending.keeps_alive;
        if let Some(body) = &mut self.body
            && pending.traits.has_body
        {
            // A client that waits for `100 Continue` does not send the body after a final answer.
            let is_unsent = body.expects_continue && self.buffer.is_empty();
            if is_unsent || !body.may_drain() {
                self.is_last = true;
                self.is_cut = !is_unsent;
            }
        }
        // Requests that have been started are answered before the connection closes.
        let connection = match (self.is_last && self.outstanding.is_empty(), pending.version) {
            (true, _) => Some("close"),
            (false, Version::HTTP_10) => Some("keep-alive"),
            (false, _) => None,
        };
        let framing = ResponseFraming::of(&response, pending.is_head);
        let (parts, body) = response.into_parts();
        let mut bytes = Vec::new();
        write_head(
            parts.status,
            &parts.headers,
            pending.version,
            framing,
            connection,
            &mut bytes,
        );
        let is_written = match body {
            _ if framing == ResponseFraming::Empty => self.write(&bytes).await,
            ClientBody::Whole(body) => self.write_whole(bytes, body.unwrap_or_default()).await,
            body => self.write(&bytes).await && self.write_pieces(body, framing).await,
        };
        self.answered_at = Some(Instant::now());
        is_written
    }

    async fn write_whole(&mut self, mut head: Vec<u8>, body: Bytes) -> bool {
        if body.len() >= SEPARATE_BODY {
            return self.write(&head).await && self.write(&body).await;
        }
        head.extend_from_slice(&body);
        self.write(&head).await
    }

    /// Writes a body that is still being received. Returns false if it broke off, so that the
    /// connection is closed before the end of the body.
    async fn write_pieces(&mut self, mut body: ClientBody, framing: ResponseFraming) -> bool {
        loop {
            let frame = poll_fn(|context| {
                self.poll_requests(context);
                if let Poll::Ready(frame) = Pin::new(&mut body).poll_frame(context) {
                    return Poll::Ready(Some(frame));
                }
                loop {
                    match self.poll_input(context) {
                        Poll::Ready(true) => {}
                        Poll::Ready(false) => return Poll::Ready(None),
                        Poll::Pending => return Poll::Pending,
                    }
                }
            });
            let data = match frame.await {
                Some(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Some(None) => break,
                Some(Some(Err(_))) | None => return false,
            };
            if data.is_empty() {
                continue;
            }
            let is_written = match framing {
                ResponseFraming::Chunked => self.write_chunk(&data).await,
                _ => self.write(&data).await,
            };
            if !is_written {
                return false;
            }
        }
        framing != ResponseFraming::Chunked || self.write(b"0\r\n\r\n").await
    }

    async fn write_chunk(&mut self, data: &[u8]) -> bool {
        let mut chunk = format!("{:x}\r\n", data.len()).into_bytes();
        chunk.extend_from_slice(data);
        chunk.extend_from_slice(b"\r\n");
        self.write(&chunk).await
    }

    /// Writes bytes; returns false if the client closed the connection or did not read them in time.
    async fn write(&mut self, bytes: &[u8]) -> bool {
        let limit = self.idle_time();
        let written = tokio::time::timeout(limit, self.stream.write_all(bytes)).await;
        if written.is_err() {
            self.state.metrics.count_refusal("answer_unread");
        }
        matches!(written, Ok(Ok(())))
    }

    /// Closes the connection after its last answer. What the client still sends is read and dropped, as it
    /// may have been sent before the answer arrived.
    pub(super) async fn close(mut self) {
        let has_unread = self.is_cut || !self.buffer.is_empty() || self.next.is_some();
        let may_send = has_unread || !self.is_client_done;
        let Some(until) = self.answered_at.map(|at| at + LINGER_TIME) else {
            return;
        };
        if !may_send || self.stream.shutdown().await.is_err() {
            return;
        }
        let _unsent = self.state.stop.begin_unsent();
        let slot = Rc::clone(&self.slot);
        let discard = async {
            let mut left = LINGER_BYTES;
            let mut bytes = [0; READ_SIZE];
            while let Ok(count) = self.stream.read(&mut bytes).await {
                left = left.saturating_sub(count);
                if count == 0 || left == 0 {
                    return;
                }
            }
        };
        tokio::select! {
            // After this time the client has the answer, or will not read it.
            _ = tokio::time::timeout_at(until, discard) => {}
            () = slot.evicted() => {}
        }
    }
}
