//! Decodes the body of a request from the bytes of its connection.

use hyper::body::Bytes;

use crate::sidecar::message_syntax::chunk_header;
use crate::sidecar::message_syntax::is_field_line;

/// Maximum size of a chunk header with its extensions, and of all trailers, in bytes. Clients send a
/// few digits.
const CHUNK_HEADER_LIMIT: usize = 1024;

/// Maximum size of a piece, in bytes.
const PIECE_LIMIT: usize = 64 * 1024;

/// How the end of a request body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestFraming {
    /// Number of bytes; 0 if there is no body.
    Length(u64),
    /// Chunks.
    Chunked,
}

/// Error for a body whose chunks are malformed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ChunkError;

/// Result of a decoding step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DecodedStep {
    /// The next bytes of the body.
    Data(Bytes),
    /// The end of the body.
    End,
    /// More bytes of the connection are needed.
    Incomplete,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum DecoderState {
    /// Bytes of a body of known length, or of a chunk, that are left.
    Data(u64),
    /// At the line end after a chunk.
    ChunkEnd,
    /// At a chunk header.
    ChunkHeader,
    /// In the trailers, of which this many bytes were read.
    Trailers(usize),
    /// At the end of the body.
    Ended,
}

/// Decoder of one request body.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    framing: RequestFraming,
    state: DecoderState,
}

impl BodyDecoder {
    /// Creates a decoder at the begin of a body.
    #[must_use]
    pub fn new(framing: RequestFraming) -> BodyDecoder {
        let state = match framing {
            RequestFraming::Length(0) => DecoderState::Ended,
            RequestFraming::Length(length) => DecoderState::Data(length),
            RequestFraming::Chunked => DecoderState::ChunkHeader,
        };
        BodyDecoder { framing, state }
    }

    /// Returns whether the end of the body was decoded.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.state == DecoderState::Ended
    }

    /// Returns the number of bytes that are left of a body of known length.
    #[must_use]
    pub fn left(&self) -> Option<u64> {
        match (self.framing, self.state) {
            (_, DecoderState::Ended) => Some(0),
            (RequestFraming::Length(_), DecoderState::Data(left)) => Some(left),
            _ => None,
        }
    }

    /// Removes the next part of the body from the front of `bytes`.
    ///
    /// # Errors
    /// [`ChunkError`] if the chunks are malformed; the connection can't be used any more.
    pub fn decode(&mut self, bytes: &mut Vec<u8>) -> Result<DecodedStep, ChunkError> {
        loop {
            match self.state {
                DecoderState::Ended => return Ok(DecodedStep::End),
                DecoderState::Data(left) => return Ok(self.take_data(bytes, left)),
                DecoderState::ChunkEnd => {
                    if bytes.len() < 2 {
                        return Ok(DecodedStep::Incomplete);
                    }
                    if !bytes.starts_with(b"\r\n") {
                        return Err(ChunkError);
                    }
                    bytes.drain(..2);
                    self.state = DecoderState::ChunkHeader;
                }
                DecoderState::ChunkHeader => match chunk_header(bytes) {
                    Ok(Some((start, size))) => {
                        bytes.drain(..start);
                        self.state = match size {
                            0 => DecoderState::Trailers(0),
                            size => DecoderState::Data(size),
                        };
                    }
                    Ok(None) if bytes.len() <= CHUNK_HEADER_LIMIT => {
                        return Ok(DecodedStep::Incomplete);
                    }
                    Ok(None) | Err(_) => return Err(ChunkError),
                },
                DecoderState::Trailers(read) => {
                    let Some(end) = bytes.windows(2).position(|pair| pair == b"\r\n") else {
                        return match read + bytes.len() <= CHUNK_HEADER_LIMIT {
                            true => Ok(DecodedStep::Incomplete),
                            false => Err(ChunkError),
                        };
                    };
                    let is_field = is_field_line(&bytes[..end]);
                    bytes.drain(..end + 2);
                    let read = read + end + 2;
                    self.state = match end {
                        0 => DecoderState::Ended,
                        _ if is_field && read <= CHUNK_HEADER_LIMIT => DecoderState::Trailers(read),
                        _ => return Err(ChunkError),
                    };
                }
            }
        }
    }

    fn take_data(&mut self, bytes: &mut Vec<u8>, left: u64) -> DecodedStep {
        let limit = usize::try_from(left).unwrap_or(usize::MAX);
        let count = bytes.len().min(limit).min(PIECE_LIMIT);
        if count == 0 {
            return DecodedStep::Incomplete;
        }
        let left = left - count as u64;
        self.state = match (self.framing, left) {
            (RequestFraming::Length(_), 0) => DecoderState::Ended,
            (RequestFraming::Chunked, 0) => DecoderState::ChunkEnd,
            (_, left) => DecoderState::Data(left),
        };
        // A whole buffer is handed on without a copy.
        let data = match count == bytes.len() {
            true => std::mem::take(bytes),
            false => bytes.drain(..count).collect(),
        };
        DecodedStep::Data(Bytes::from(data))
    }
}
