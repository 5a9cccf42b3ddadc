//! Reads the body of a request within a limit, an account and a time.

use std::collections::VecDeque;
use std::future::poll_fn;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Body;
use hyper::body::Bytes;

use crate::sidecar::client_limits::byte_account::ByteAccount;

/// Size of the blocks in which a body of unstated length is collected and reserved, in bytes.
const BLOCK_BYTES: usize = 64 * 1024;

/// Limits on one body.
#[derive(Clone, Debug)]
pub struct BodyLimits {
    /// Maximum size, in bytes.
    pub size: u64,
    /// Time for the whole body.
    pub time: Duration,
    /// Longest pause between two parts.
    pub pause: Duration,
    /// Account of held bodies.
    pub account: Option<Arc<ByteAccount>>,
}

/// Reason why a body was not read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyRefusal {
    /// It is larger than the configuration allows.
    TooLong,
    /// It does not fit the account.
    NoMemory,
    /// It was not complete in time.
    TimedOut,
    /// The framing is malformed, or the connection ended.
    Unreadable,
}

impl BodyRefusal {
    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            BodyRefusal::TooLong => "body_too_long",
            BodyRefusal::NoMemory => "body_no_memory",
            BodyRefusal::TimedOut => "body_timed_out",
            BodyRefusal::Unreadable => "body_unreadable",
        }
    }
}

/// Reads a body. One of stated length is reserved as a whole before its first byte, so that it is not
/// refused halfway.
///
/// # Errors
/// [`BodyRefusal`]; the rest of the body is not read.
pub async fn read_body(
    body: impl Body<Data = Bytes>,
    limits: BodyLimits,
) -> Result<Bytes, BodyRefusal> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let time = limits.time;
    let reading = read_parts(body, limits);
    let read = tokio::time::timeout(time, reading).await;
    read.unwrap_or(Err(BodyRefusal::TimedOut))
}

async fn read_parts(
    body: impl Body<Data = Bytes>,
    limits: BodyLimits,
) -> Result<Bytes, BodyRefusal> {
    let first = body.size_hint().exact().unwrap_or(0);
    if first > limits.size {
        return Err(BodyRefusal::TooLong);
    }
    let mut reservation = match &limits.account {
        Some(account) => Some(account.reserve(first).ok_or(BodyRefusal::NoMemory)?),
        None => None,
    };
    let mut bytes = BodyBuffer::new(usize::try_from(first).unwrap_or(usize::MAX));
    let mut body = pin!(body);
    loop {
        let part = poll_fn(|context| body.as_mut().poll_frame(context));
        let part = tokio::time::timeout(limits.pause, part).await;
        let Some(part) = part.map_err(|_| BodyRefusal::TimedOut)? else {
            break;
        };
        let Ok(part) = part.map_err(|_| BodyRefusal::Unreadable)?.into_data() else {
            // Trailers are not forwarded.
            continue;
        };
        if (bytes.length + part.len()) as u64 > limits.size {
            return Err(BodyRefusal::TooLong);
        }
        let growth = bytes.growth(part.len()) as u64;
        if let Some(reservation) = &mut reservation
            && growth > 0
            && !reservation.grow(growth)
        {
            return Err(BodyRefusal::NoMemory);
        }
        bytes.push(&part);
    }
    let bytes = bytes.join();
    Ok(match reservation {
        Some(reservation) if !bytes.is_empty() => reservation.attach(bytes),
        _ => Bytes::from(bytes),
    })
}

/// Bytes of a body while it is read. They are collected in blocks of one size: a buffer that grows would
/// need both sizes while it is copied, and the allocator keeps the smaller ones after that.
struct BodyBuffer {
    blocks: VecDeque<Vec<u8>>,
    /// Capacity of all blocks.
    capacity: usize,
    length: usize,
}

impl BodyBuffer {
    /// Creates a buffer whose first block has `first` bytes.
    fn new(first: usize) -> BodyBuffer {
        // Pages of the buffer that are not written take no memory.
        BodyBuffer {
            blocks: VecDeque::from([Vec::with_capacity(first)]),
            capacity: first,
            length: 0,
        }
    }

    /// Returns by how much the capacity grows if `count` bytes are added.
    fn growth(&self, count: usize) -> usize {
        let missing = (self.length + count).saturating_sub(self.capacity);
        missing.div_ceil(BLOCK_BYTES) * BLOCK_BYTES
    }

    fn push(&mut self, mut part: &[u8]) {
        self.length += part.len();
        while !part.is_empty() {
            let room = match self.blocks.back_mut() {
                Some(block) if block.len() < block.capacity() => block,
                _ => {
                    self.capacity += BLOCK_BYTES;
                    self.blocks.push_back(Vec::with_capacity(BLOCK_BYTES));
                    continue;
                }
            };
            let count = part.len().min(room.capacity() - room.len());
            let (now, later) = part.split_at(count);
            room.extend_from_slice(now);
            part = later;
        }
    }

    /// Returns the bytes in one block. Each block is released as soon as it is copied.
    fn join(mut self) -> Vec<u8> {
        self.blocks.retain(|block| !block.is_empty());
        if self.blocks.len() == 1 {
            return self.blocks.pop_front().unwrap_or_default();
        }
        let mut bytes = Vec::with_capacity(self.length);
        while let Some(block) = self.blocks.pop_front() {
            bytes.extend_from_slice(&block);
        }
        bytes
    }
}
