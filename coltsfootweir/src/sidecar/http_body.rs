//! Reads the body of an HTTP/1.1 response in pieces of bounded size.

use std::cell::Cell;

use tokio::io::AsyncReadExt;
use tokio::net::tcp::ReadHalf;

use crate::sidecar::http_exchange::ExchangeError;
use crate::sidecar::message_syntax::chunk_header;
use crate::sidecar::message_syntax::is_field_line;
use crate::sidecar::response_head::ResponseFault;

/// Maximum size of a response head and of all trailers, in bytes; hyper's default for its read
/// buffer.
pub(crate) const HEAD_LIMIT: usize = 64 * 1024;

/// Maximum size of a chunk header with its extensions, in bytes. Servers send a few digits.
const CHUNK_HEADER_LIMIT: usize = 1024;

/// Free buffer space reserved for each read from the socket, in bytes.
const READ_SIZE: usize = 8 * 1024;

/// How the length of a body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyFraming {
    /// Number of bytes; 0 if there is no body.
    Length(u64),
    /// Chunks.
    Chunked,
    /// The end of the connection.
    UntilClose,
}

/// A socket and the bytes read from it that are not consumed yet.
pub(crate) struct SocketBuffer<'a> {
    pub(crate) reader: ReadHalf<'a>,
    pub(crate) buffer: &'a mut Vec<u8>,
    /// Whether a write to the socket has failed.
    pub(crate) has_write_failed: &'a Cell<bool>,
}

impl SocketBuffer<'_> {
    /// Reads available bytes into the buffer. Returns `false` at the end of the stream.
    pub(crate) async fn read_more(&mut self) -> Result<bool, ExchangeError> {
        self.buffer.reserve(READ_SIZE);
        let read = self.reader.read_buf(self.buffer).await;
        read.map(|count| count > 0)
            .map_err(|_| ExchangeError::Ended)
    }

    async fn fill(&mut self, length: usize) -> Result<(), ExchangeError> {
        while self.buffer.len() < length {
            if !self.read_more().await? {
                return Err(ExchangeError::Ended);
            }
        }
        Ok(())
    }

    /// Removes up to `limit` bytes from the buffer, after a read if it is empty.
    async fn take(&mut self, limit: u64) -> Result<Vec<u8>, ExchangeError> {
        if self.buffer.is_empty() && !self.read_more().await? {
            return Err(ExchangeError::Ended);
        }
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let count = self.buffer.len().min(limit);
        Ok(self.buffer.drain(..count).collect())
    }
}

/// Position in a body that is being read.
#[derive(Debug)]
pub struct BodyReader {
    framing: BodyFraming,
    /// Bytes left of the body or of the current chunk.
    left: u64,
    is_in_chunk: bool,
}

impl BodyReader {
    pub(crate) fn new(framing: BodyFraming) -> BodyReader {
        let left = match framing {
            BodyFraming::Length(length) => length,
            BodyFraming::Chunked | BodyFraming::UntilClose => 0,
        };
        BodyReader {
            framing,
            left,
            is_in_chunk: false,
        }
    }

    /// Returns the number of bytes that are left, if the head states a length.
    #[must_use]
    pub fn length(&self) -> Option<u64> {
        match self.framing {
            BodyFraming::Length(_) => Some(self.left),
            BodyFraming::Chunked | BodyFraming::UntilClose => None,
        }
    }

    /// Returns whether all bytes of a body of stated length were read.
    pub(crate) fn is_at_end(&self) -> bool {
        self.length() == Some(0)
    }

    /// Reads the next piece, at most `limit` bytes; `None` at the end of the body.
    pub(crate) async fn next(
        &mut self,
        socket: &mut SocketBuffer<'_>,
        limit: usize,
    ) -> Result<Option<Vec<u8>>, ExchangeError> {
        let limit = limit as u64;
        match self.framing {
            BodyFraming::Length(_) if self.left == 0 => return Ok(None),
            BodyFraming::Chunked if self.left == 0 => {
                self.left = self.chunk_size(socket).await?;
                self.is_in_chunk = true;
                if self.left == 0 {
                    read_trailers(socket).await?;
                    return Ok(None);
                }
            }
            BodyFraming::UntilClose => {
                if socket.buffer.is_empty() && !socket.read_more().await? {
                    // Of a connection that was reset, the end of the stream says nothing about the body.
                    return match socket.has_write_failed.get() {
                        true => Err(ExchangeError::Ended),
                        false => Ok(None),
                    };
                }
                return socket.take(limit).await.map(Some);
            }
            BodyFraming::Length(_) | BodyFraming::Chunked => {}
        }
        let piece = socket.take(limit.min(self.left)).await?;
        self.left -= piece.len() as u64;
        Ok(Some(piece))
    }

    /// Reads the header of the next chunk, after the line end of the previous one.
    async fn chunk_size(&mut self, socket: &mut SocketBuffer<'_>) -> Result<u64, ExchangeError> {
        if self.is_in_chunk {
            socket.fill(2).await?;
            if !socket.buffer.starts_with(b"\r\n") {
                return Err(ResponseFault::ChunkFormat.into());
            }
            socket.buffer.drain(..2);
            self.is_in_chunk = false;
        }
        loop {
            let header = chunk_header(socket.buffer).map_err(|_| ResponseFault::ChunkFormat)?;
            if let Some((start, size)) = header {
                socket.buffer.drain(..start);
                return Ok(size);
            }
            if socket.buffer.len() > CHUNK_HEADER_LIMIT {
                return Err(ResponseFault::ChunkFormat.into());
            }
            if !socket.read_more().await? {
                return Err(ExchangeError::Ended);
            }
        }
    }
}

async fn read_trailers(socket: &mut SocketBuffer<'_>) -> Result<(), ExchangeError> {
    let mut left = HEAD_LIMIT;
    loop {
        if let Some(end) = socket.buffer.windows(2).position(|pair| pair == b"\r\n") {
            let is_field = is_field_line(&socket.buffer[..end]);
            socket.buffer.drain(..end + 2);
            if end == 0 {
                return Ok(());
            }
            left = left
                .checked_sub(end)
                .filter(|_| is_field)
                .ok_or(ResponseFault::TrailerField)?;
            continue;
        }
        if socket.buffer.len() > left {
            return Err(ResponseFault::TrailerField.into());
        }
        if !socket.read_more().await? {
            return Err(ExchangeError::Ended);
        }
    }
}
