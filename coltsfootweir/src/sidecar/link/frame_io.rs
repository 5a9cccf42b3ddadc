//! Reads and writes the frames of a connection between daemons.

use std::sync::Arc;

use log::warn;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;

use crate::logging::MEMBERS;
use crate::sidecar::client_limits::byte_account::ByteAccount;
use crate::sidecar::client_limits::byte_account::ByteReservation;
use crate::sidecar::frame::CallNumber;
use crate::sidecar::frame::PeerFrame;
use crate::sidecar::frame::frame_size;
use crate::sidecar::frame::read_frame;
use crate::sidecar::frame::requested_call;
use crate::sidecar::frame::write_frame;
use crate::sidecar::link::frame_queue::FrameQueue;

/// Bytes reserved for each read from the socket.
const READ_SIZE: usize = 4 * 1024;

/// Maximum size of a frame of a peer that has not identified itself, in bytes. Its first frame is its
/// id and takes well below 100 bytes.
const FIRST_FRAME_LIMIT: usize = 4 * 1024;

/// Maximum size of a frame that is read without a reservation, in bytes. Member records of 560 daemons
/// take below 200 KB.
const FREE_FRAME_LIMIT: usize = 1024 * 1024;

/// Copies of a large frame while it is decoded: its bytes and the body that it contains.
const FRAME_COPIES: u64 = 2;

/// Capacity that a buffer keeps, in bytes; four pieces of a transfer. A larger one is released after
/// the frame that it was needed for.
const KEPT_CAPACITY: usize = 64 * 1024;

/// Limits on the received frames of a connection, and what happens to a frame that they refuse.
pub trait FrameLimits {
    /// Returns whether the peer has identified itself.
    fn is_identified(&self) -> bool;

    /// Returns the account of held bytes; `None` if there is no limit.
    fn account(&self) -> Option<&Arc<ByteAccount>>;

    /// Handles a frame that is not read because it does not fit the account. `call` is the call that it
    /// requests, if any.
    fn refuse(&self, size: usize, call: Option<CallNumber>);
}

/// Sends the frames of `queue` and passes received ones to `take`, until the connection or the
/// queue ends. `on_write` is called for each frame directly before it is handed to the socket.
pub async fn exchange_frames(
    stream: TcpStream,
    queue: FrameQueue,
    limits: impl FrameLimits,
    take: impl FnMut(PeerFrame),
    on_write: impl FnMut(&PeerFrame),
) {
    let (reader, writer) = stream.into_split();
    tokio::select! {
        () = read_frames(reader, limits, take) => {}
        () = write_frames(writer, queue, on_write) => {}
    }
}

async fn read_frames(
    mut reader: OwnedReadHalf,
    limits: impl FrameLimits,
    mut take: impl FnMut(PeerFrame),
) {
    let mut bytes = Vec::new();
    let mut reservation = None;
    loop {
        loop {
            let size = frame_size(&bytes);
            if size.is_some_and(|size| size > FIRST_FRAME_LIMIT) && !limits.is_identified() {
                let event = json!({"name": "peer_unidentified", "frame_bytes": size});
                warn!(target: MEMBERS, "{event}");
                return;
            }
            if let Some(size) = size.filter(|size| *size > FREE_FRAME_LIMIT)
                && reservation.is_none()
            {
                match reserve_frame(&limits, size) {
                    Ok(reserved) => reservation = reserved,
                    Err(()) => {
                        limits.refuse(size, requested_call(&bytes));
                        if !skip(&mut reader, &mut bytes, size).await {
                            return;
                        }
                        continue;
                    }
                }
            }
            match read_frame(&mut bytes) {
                Ok(Some(frame)) => {
                    reservation = None;
                    shrink(&mut bytes);
                    take(frame);
                }
                Ok(None) => break,
                Err(error) => {
                    let event = json!({"name": "link_unreadable", "reason": error.to_string()});
                    warn!(target: MEMBERS, "{event}");
                    return;
                }
            }
        }
        // A large frame gets its room at once: growing would copy it.
        let missing = frame_size(&bytes).map_or(0, |size| size.saturating_sub(bytes.len()));
        match missing > KEPT_CAPACITY {
            true => bytes.reserve_exact(missing),
            false => bytes.reserve(READ_SIZE),
        }
        match reader.read_buf(&mut bytes).await {
            Ok(count) if count > 0 => {}
            _ => return,
        }
    }
}

/// Reserves the bytes of a large frame; `None` without an account.
fn reserve_frame(limits: &impl FrameLimits, size: usize) -> Result<Option<ByteReservation>, ()> {
    let Some(account) = limits.account() else {
        return Ok(None);
    };
    let reserved = account.reserve((size as u64).saturating_mul(FRAME_COPIES));
    reserved.map(Some).ok_or(())
}

/// Discards the first `size` bytes of the stream, of which `bytes` were read. Returns false if the
/// connection has ended.
async fn skip(reader: &mut OwnedReadHalf, bytes: &mut Vec<u8>, size: usize) -> bool {
    let mut left = size;
    loop {
        let count = left.min(bytes.len());
        bytes.drain(..count);
        left -= count;
        if left == 0 {
            return true;
        }
        bytes.reserve(READ_SIZE);
        match reader.read_buf(bytes).await {
            Ok(count) if count > 0 => {}
            _ => return false,
        }
    }
}

fn shrink(bytes: &mut Vec<u8>) {
    if bytes.capacity() > KEPT_CAPACITY {
        bytes.shrink_to(KEPT_CAPACITY);
    }
}

async fn write_frames(
    mut writer: OwnedWriteHalf,
    queue: FrameQueue,
    mut on_write: impl FnMut(&PeerFrame),
) {
    let mut bytes = Vec::new();
    while let Some(first) = queue.next().await {
        bytes.clear();
        shrink(&mut bytes);
        let mut next = Some(first);
        while let Some(frame) = next {
            on_write(&frame);
            if let Err(error) = write_frame(&frame, &mut bytes) {
                let event = json!({"name": "frame_not_sent", "reason": error.to_string()});
                warn!(target: MEMBERS, "{event}");
            }
            // Only what is in the buffer exists twice.
            if bytes.len() >= KEPT_CAPACITY {
                break;
            }
            next = queue.try_next();
        }
        if writer.write_all(&bytes).await.is_err() {
            return;
        }
    }
}
