//! HTTP/1.1 client for one keep-alive connection.
//!
//! Responses are matched to requests by request id, since an endpoint may send an extra or a late
//! response before the expected one. Hyper's client would return such a response for the wrong
//! request.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;

/// Maximum size of a response head, in bytes; hyper's default for its read buffer.
const HEAD_LIMIT: usize = 64 * 1024;

/// Maximum size of a response body, in bytes. A quarter of the smallest VM's memory of 160 MB is
/// 40 MB.
const BODY_LIMIT: usize = 32 * 1024 * 1024;

/// Maximum number of headers of a response.
const MAX_HEADERS: usize = 64;

/// Free buffer space reserved for each read from the socket, in bytes.
const READ_SIZE: usize = 8 * 1024;

/// A complete response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HttpResponse {
    /// Status code.
    pub status: u16,
    /// Headers in the order received, with their names unchanged.
    pub headers: Vec<(Box<str>, Box<[u8]>)>,
    /// Body with the transfer encoding removed.
    pub body: Vec<u8>,
    /// Whether the connection can be used for another request.
    pub is_reusable: bool,
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
    Malformed,
}

/// A request in its wire format.
#[derive(Clone, Copy, Debug)]
pub struct WireRequest<'a> {
    /// Head and body.
    pub bytes: &'a [u8],
    /// Whether this is a `HEAD` request, so that responses have no body.
    pub is_head: bool,
    /// Header name and value that identify the response. A response without the header is accepted,
    /// unless another response was skipped before it.
    pub identity: Option<(&'a str, &'a str)>,
}

/// A connection to a server.
#[derive(Debug)]
pub struct HttpConnection {
    stream: TcpStream,
    buffer: Vec<u8>,
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
        let (reader, mut writer) = self.stream.split();
        let mut reader = ResponseReader {
            reader,
            buffer: &mut self.buffer,
        };
        let mut response = None;
        let written = {
            let write = writer.write_all(request.bytes);
            let read = reader.matching_response(request);
            tokio::pin!(write, read);
            tokio::select! {
                biased;
                result = &mut write => result.is_ok(),
                early = &mut read => {
                    response = Some(early);
                    false
                }
            }
        };
        let response = match response {
            Some(early) => early,
            // A write can fail although the response arrived before the connection was reset.
            None => reader.matching_response(request).await,
        };
        let has_no_extra_bytes = self.buffer.is_empty();
        response.map(|response| HttpResponse {
            is_reusable: response.is_reusable && written && has_no_extra_bytes,
            ..response
        })
    }
}

/// How the length of a body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BodyFraming {
    Length(usize),
    Chunked,
    UntilClose,
}

struct ResponseReader<'a> {
    reader: ReadHalf<'a>,
    buffer: &'a mut Vec<u8>,
}

impl ResponseReader<'_> {
    async fn matching_response(
        &mut self,
        request: WireRequest<'_>,
    ) -> Result<HttpResponse, ExchangeError> {
        let mut skipped = false;
        loop {
            let response = self.response(request.is_head).await?;
            if (100..200).contains(&response.status) {
                continue;
            }
            let received = request.identity.and_then(|(name, _)| response.header(name));
            let is_match = match (received, request.identity) {
                (Some(received), Some((_, expected))) => received == expected,
                _ => !skipped,
            };
            if is_match {
                let is_reusable = response.is_reusable && !skipped;
                return Ok(HttpResponse {
                    is_reusable,
                    ..response
                });
            }
            if !response.is_reusable {
                return Err(ExchangeError::Ended);
            }
            skipped = true;
        }
    }

    async fn response(&mut self, is_head: bool) -> Result<HttpResponse, ExchangeError> {
        let (mut response, framing) = self.head(is_head).await?;
        match framing {
            BodyFraming::Length(length) if length > BODY_LIMIT => {
                return Err(ExchangeError::Malformed);
            }
            BodyFraming::Length(length) => {
                self.fill(length).await?;
                response.body = self.buffer.drain(..length).collect();
            }
            BodyFraming::Chunked => response.body = self.chunks().await?,
            BodyFraming::UntilClose => {
                while self.read_more().await? {
                    if self.buffer.len() > BODY_LIMIT {
                        return Err(ExchangeError::Malformed);
                    }
                }
                response.body = std::mem::take(self.buffer);
                response.is_reusable = false;
            }
        }
        Ok(response)
    }

    async fn head(&mut self, is_head: bool) -> Result<(HttpResponse, BodyFraming), ExchangeError> {
        loop {
            if let Some((length, response, framing)) = parse_head(self.buffer, is_head)? {
                self.buffer.drain(..length);
                return Ok((response, framing));
            }
            if self.buffer.len() > HEAD_LIMIT {
                return Err(ExchangeError::Malformed);
            }
            if !self.read_more().await? {
                return Err(ExchangeError::Ended);
            }
        }
    }

    async fn chunks(&mut self) -> Result<Vec<u8>, ExchangeError> {
        let mut body = Vec::new();
        loop {
            let parsed =
                httparse::parse_chunk_size(self.buffer).map_err(|_| ExchangeError::Malformed)?;
            let httparse::Status::Complete((start, size)) = parsed else {
                if self.buffer.len() > HEAD_LIMIT || !self.read_more().await? {
                    return Err(ExchangeError::Ended);
                }
                continue;
            };
            let size = usize::try_from(size).map_err(|_| ExchangeError::Malformed)?;
            if body.len().saturating_add(size) > BODY_LIMIT {
                return Err(ExchangeError::Malformed);
            }
            if size == 0 {
                self.buffer.drain(..start);
                self.trailers().await?;
                return Ok(body);
            }
            self.fill(start + size + 2).await?;
            body.extend_from_slice(&self.buffer[start..start + size]);
            if &self.buffer[start + size..start + size + 2] != b"\r\n" {
                return Err(ExchangeError::Malformed);
            }
            self.buffer.drain(..start + size + 2);
        }
    }

    async fn trailers(&mut self) -> Result<(), ExchangeError> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                self.buffer.drain(..end + 2);
                if end == 0 {
                    return Ok(());
                }
                continue;
            }
            if self.buffer.len() > HEAD_LIMIT || !self.read_more().await? {
                return Err(ExchangeError::Ended);
            }
        }
    }

    async fn fill(&mut self, length: usize) -> Result<(), ExchangeError> {
        while self.buffer.len() < length {
            if !self.read_more().await? {
                return Err(ExchangeError::Ended);
            }
        }
        Ok(())
    }

    /// Reads available bytes into the buffer. Returns `false` at the end of the stream.
    async fn read_more(&mut self) -> Result<bool, ExchangeError> {
        self.buffer.reserve(READ_SIZE);
        let read = self.reader.read_buf(self.buffer).await;
        read.map(|count| count > 0)
            .map_err(|_| ExchangeError::Ended)
    }
}

/// Parses a response head. Returns its size in bytes, or `None` when it is incomplete.
fn parse_head(
    bytes: &[u8],
    is_head: bool,
) -> Result<Option<(usize, HttpResponse, BodyFraming)>, ExchangeError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let status = parsed.parse(bytes).map_err(|_| ExchangeError::Malformed)?;
    let httparse::Status::Complete(length) = status else {
        return Ok(None);
    };
    let mut response = HttpResponse {
        status: parsed.code.unwrap_or_default(),
        is_reusable: parsed.version == Some(1),
        ..HttpResponse::default()
    };
    for header in parsed.headers.iter() {
        let entry = (header.name.into(), header.value.into());
        response.headers.push(entry);
    }
    let closes = response.header("connection").is_some_and(|value| {
        let mut words = value.split(',');
        words.any(|word| word.trim().eq_ignore_ascii_case("close"))
    });
    response.is_reusable &= !closes;
    let framing = body_framing(&response, is_head)?;
    Ok(Some((length, response, framing)))
}

fn body_framing(response: &HttpResponse, is_head: bool) -> Result<BodyFraming, ExchangeError> {
    let has_no_body = is_head || matches!(response.status, 100..=199 | 204 | 304);
    if has_no_body {
        return Ok(BodyFraming::Length(0));
    }
    if let Some(coding) = response.header("transfer-encoding") {
        return match coding.trim().eq_ignore_ascii_case("chunked") {
            true => Ok(BodyFraming::Chunked),
            false => Err(ExchangeError::Malformed),
        };
    }
    match response.header("content-length") {
        Some(length) => {
            let length = length.trim().parse();
            length
                .map(BodyFraming::Length)
                .map_err(|_| ExchangeError::Malformed)
        }
        None => Ok(BodyFraming::UntilClose),
    }
}
