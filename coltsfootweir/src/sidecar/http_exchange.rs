//! HTTP/1.1 client for one keep-alive connection.
//!
//! Responses are matched to requests by request id, since an endpoint may send an extra or a late
//! response before the expected one. Hyper's client would return such a response for the wrong
//! request.

use std::cell::Cell;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::Buf;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::sidecar::frame::HeaderList;
use crate::sidecar::http_body::BodyReader;
use crate::sidecar::http_body::SocketBuffer;
use crate::sidecar::message_syntax::is_final_status;
use crate::sidecar::response_head::ResponseFault;
use crate::sidecar::response_head::ResponseHead;
use crate::sidecar::response_head::parse_response_head;

/// Maximum size of a response body that is read whole, in bytes. The store's answers hold rows of 1 MB at
/// most, which take a third more in their encoding.
const BODY_LIMIT: usize = 2 * 1024 * 1024;

/// Maximum number of interim responses and of responses to other requests that are skipped before
/// the expected one. A server sends at most a few; without a limit, such bytes may never end.
const MAX_SKIPPED: u32 = 8;

/// Maximum size of the body of a skipped response, in bytes. It is discarded while it is read.
const SKIPPED_BODY_LIMIT: usize = 1024 * 1024;

/// Size of the pieces in which a body is read, in bytes.
pub const PIECE_SIZE: usize = 16 * 1024;

/// A complete response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HttpResponse {
    /// Status code.
    pub status: u16,
    /// Headers in the order received, with their names unchanged.
    pub headers: HeaderList,
    /// Body with the transfer encoding removed.
    pub body: Vec<u8>,
    /// Whether the connection can be used for another request.
    pub is_reusable: bool,
    /// Number of responses to other requests, or to none, that were received before this one.
    pub skipped: u32,
}

impl HttpResponse {
    /// Returns the first value of a header, or `None` when it is absent or not UTF-8.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let (_, value) = headers.find(|(key, _)| key.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(value).ok()
    }

    /// Returns the idle timeout from the `Keep-Alive` header.
    #[must_use]
    pub fn idle_limit(&self) -> Option<Duration> {
        let value = self.header("keep-alive")?;
        for part in value.split(',') {
            let Some(seconds) = part.trim().strip_prefix("timeout=") else {
                continue;
            };
            return seconds.trim().parse().ok().map(Duration::from_secs);
        }
        None
    }
}

/// Reason why no complete response was received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExchangeError {
    /// The connection could not be established; nothing was sent.
    NotConnected,
    /// The connection was closed or reset before the end of the response.
    Ended,
    /// The response is not valid HTTP or exceeds a size limit.
    Malformed(ResponseFault),
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ExchangeError::NotConnected => f.write_str("connection could not be established"),
            ExchangeError::Ended => f.write_str("connection ended before the end of the response"),
            ExchangeError::Malformed(fault) => fault.fmt(f),
        }
    }
}

impl std::error::Error for ExchangeError {}

impl From<ResponseFault> for ExchangeError {
    fn from(fault: ResponseFault) -> ExchangeError {
        ExchangeError::Malformed(fault)
    }
}

/// A request in its wire format.
#[derive(Clone, Copy, Debug)]
pub struct WireRequest<'a> {
    /// Head.
    pub head: &'a [u8],
    /// Body.
    pub body: &'a [u8],
    /// Whether this is a `HEAD` request, so that responses have no body.
    pub is_head: bool,
    /// Header name and value that identify the response; one without them belongs to no request. If
    /// `None`, the first response is accepted.
    pub identity: Option<(&'a str, &'a str)>,
}

/// A connection to a server.
#[derive(Debug)]
pub struct HttpConnection {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// Whether a write has failed. The write has then taken the error of the socket, and a read finds
    /// the end of the stream instead.
    has_write_failed: Cell<bool>,
}

impl HttpConnection {
    /// Opens a connection.
    ///
    /// # Errors
    /// [`ExchangeError::NotConnected`] when the connection fails or `timeout` passes.
    pub async fn open(
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<HttpConnection, ExchangeError> {
        let stream = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
        let stream = stream
            .map_err(|_| ExchangeError::NotConnected)?
            .map_err(|_| ExchangeError::NotConnected)?;
        stream
            .set_nodelay(true)
            .map_err(|_| ExchangeError::NotConnected)?;
        Ok(HttpConnection {
            stream,
            buffer: Vec::new(),
            has_write_failed: Cell::new(false),
        })
    }

    /// Returns whether the idle connection is open and has received no unexpected bytes.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        self.buffer.is_empty()
            && matches!(read, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    /// [`ExchangeError`]; the server may have run the request.
    pub async fn exchange(
        &mut self,
        request: WireRequest<'_>,
    ) -> Result<HttpResponse, ExchangeError> {
        let (mut response, mut rest) = self.begin(request, BODY_LIMIT).await?;
        if let Some(rest) = &mut rest
            && self.next_piece(rest).await?.is_some()
        {
            return Err(ResponseFault::BodySize.into());
        }
        response.is_reusable &= self.buffer.is_empty();
        Ok(response)
    }

    /// Sends a request and reads the head of the response and at least the first `limit` bytes of
    /// its body, up to one piece more. Returns the reader of the rest if the end has not been read.
    ///
    /// # Errors
    /// [`ExchangeError`]; the server may have run the request.
    pub async fn begin(
        &mut self,
        request: WireRequest<'_>,
        limit: usize,
    ) -> Result<(HttpResponse, Option<BodyReader>), ExchangeError> {
        let (response, is_written) = {
            let (reader, mut writer) = self.stream.split();
            let mut socket = SocketBuffer {
                reader,
                buffer: &mut self.buffer,
                has_write_failed: &self.has_write_failed,
            };
            let mut bytes = request.head.chain(request.body);
            let write = async {
                let is_written = writer.write_all_buf(&mut bytes).await.is_ok();
                self.has_write_failed.set(!is_written);
                is_written
            };
            let read = matching_response(&mut socket, request, limit);
            tokio::pin!(write, read);
            let mut written = None;
            // A write can fail although the response arrived before the connection was reset. The same
            // read goes on after the write, since it may have consumed a part of the response.
            let response = loop {
                tokio::select! {
                    biased;
                    result = &mut write, if written.is_none() => written = Some(result),
                    response = &mut read => break response,
                }
            };
            (response, written == Some(true))
        };
        let (mut response, rest) = response?;
        let is_whole = rest.is_none();
        response.is_reusable &= is_written && (!is_whole || self.buffer.is_empty());
        Ok((response, rest))
    }

    /// Reads the next piece of a body; `None` at its end.
    ///
    /// # Errors
    /// [`ExchangeError`] if the body is malformed or the connection ends before it is complete.
    pub async fn next_piece(
        &mut self,
        rest: &mut BodyReader,
    ) -> Result<Option<Vec<u8>>, ExchangeError> {
        let (reader, _writer) = self.stream.split();
        let mut socket = SocketBuffer {
            reader,
            buffer: &mut self.buffer,
            has_write_failed: &self.has_write_failed,
        };
        rest.next(&mut socket, PIECE_SIZE).await
    }

    /// Returns whether bytes were received that belong to no response yet.
    #[must_use]
    pub fn has_extra_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Reads responses until the one to the request. Its body is read up to `limit` bytes.
async fn matching_response(
    socket: &mut SocketBuffer<'_>,
    request: WireRequest<'_>,
    limit: usize,
) -> Result<(HttpResponse, Option<BodyReader>), ExchangeError> {
    let mut skipped = 0;
    let mut interim = 0;
    loop {
        let head = read_head(socket, request.is_head).await?;
        if !is_final_status(head.status) {
            interim += 1;
            if interim > MAX_SKIPPED {
                return Err(ResponseFault::InterimCount.into());
            }
            continue;
        }
        let mut body = BodyReader::new(head.framing);
        let mut response = HttpResponse {
            status: head.status,
            headers: head.headers,
            is_reusable: head.keeps_alive,
            ..HttpResponse::default()
        };
        let is_match = request
            .identity
            .is_none_or(|(name, expected)| response.header(name) == Some(expected));
        if is_match {
            response.skipped = skipped;
            response.is_reusable &= skipped == 0;
            let is_whole = read_body(socket, &mut body, limit, &mut response.body).await?;
            return Ok((response, (!is_whole).then_some(body)));
        }
        discard_body(socket, &mut body).await?;
        skipped += 1;
        if !response.is_reusable || skipped > MAX_SKIPPED {
            return Err(ExchangeError::Ended);
        }
    }
}

/// Reads a body into `bytes` until its end or until there are `limit` bytes. Returns whether the
/// end was read.
async fn read_body(
    socket: &mut SocketBuffer<'_>,
    body: &mut BodyReader,
    limit: usize,
    bytes: &mut Vec<u8>,
) -> Result<bool, ExchangeError> {
    if body
        .length()
        .is_some_and(|length| length > BODY_LIMIT as u64)
        && limit >= BODY_LIMIT
    {
        return Err(ResponseFault::BodySize.into());
    }
    while bytes.len() < limit || body.is_at_end() {
        match body.next(socket, PIECE_SIZE).await? {
            Some(piece) => bytes.extend_from_slice(&piece),
            None => return Ok(true),
        }
    }
    Ok(false)
}

/// Reads a body to its end and discards it.
async fn discard_body(
    socket: &mut SocketBuffer<'_>,
    body: &mut BodyReader,
) -> Result<(), ExchangeError> {
    if body
        .length()
        .is_some_and(|length| length > SKIPPED_BODY_LIMIT as u64)
    {
        return Err(ResponseFault::BodySize.into());
    }
    let mut discarded = 0;
    while let Some(piece) = body.next(socket, PIECE_SIZE).await? {
        discarded += piece.len();
        if discarded > SKIPPED_BODY_LIMIT {
            return Err(ResponseFault::BodySize.into());
        }
    }
    Ok(())
}

async fn read_head(
    socket: &mut SocketBuffer<'_>,
    is_head: bool,
) -> Result<ResponseHead, ExchangeError> {
    loop {
        if let Some((size, head)) = parse_response_head(socket.buffer, is_head)? {
            socket.buffer.drain(..size);
            return Ok(head);
        }
        if !socket.read_more().await? {
            return Err(ExchangeError::Ended);
        }
    }
}
