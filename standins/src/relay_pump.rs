//! One direction of a relayed connection.

use std::io;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::select;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::relay::RelayMode;

/// Bytes read at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// Chunks held between reading and writing.
const MAX_HELD_CHUNKS: usize = 64;

/// Way that bytes take through a relay.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayDirection {
    /// From the client to the target.
    Request,
    /// From the target to the client.
    Answer,
}

/// How one direction of a connection ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PumpEnd {
    /// The sender closed its side, and all bytes were passed on.
    Finished,
    /// The connection is to be closed both ways.
    Broken,
}

/// Time at which a paced relay has passed on everything that it took so far.
#[derive(Debug, Default)]
pub struct PaceClock(Mutex<Option<Instant>>);

impl PaceClock {
    /// Returns the time at which `bytes` more have passed at `rate` bytes per millisecond.
    fn pass(&self, bytes: usize, rate: u32) -> Instant {
        let mut free_at = self.0.lock().expect("no holder panicked");
        let start = free_at.map_or_else(Instant::now, |at| at.max(Instant::now()));
        let end = start + Duration::from_secs_f64(bytes as f64 / f64::from(rate) / 1_000.0);
        *free_at = Some(end);
        end
    }
}

struct HeldChunk {
    arrived: Instant,
    bytes: Vec<u8>,
}

/// Passes bytes from `reader` to `writer` as the mode says, until either side ends; takes and closes
/// the writer when all bytes were passed on.
pub async fn pump_bytes(
    reader: &OwnedReadHalf,
    writer: &mut Option<OwnedWriteHalf>,
    direction: RelayDirection,
    modes: watch::Receiver<RelayMode>,
    count: &AtomicU64,
    pace: &PaceClock,
) -> PumpEnd {
    let (chunk_sender, chunks) = flume::bounded(MAX_HELD_CHUNKS);
    let reading = async {
        read_chunks(reader, chunk_sender).await;
        std::future::pending::<()>().await;
    };
    let Some(open_writer) = writer.as_ref() else {
        return PumpEnd::Finished;
    };
    let end = select! {
        end = write_chunks(open_writer, direction, modes, (count, pace), chunks) => end,
        () = reading => PumpEnd::Broken,
    };
    if end == PumpEnd::Finished {
        *writer = None;
    }
    end
}

async fn read_chunks(reader: &OwnedReadHalf, chunk_sender: Sender<HeldChunk>) {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        if reader.readable().await.is_err() {
            return;
        }
        let length = match reader.try_read(&mut buffer) {
            Ok(0) => return,
            Ok(length) => length,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
            Err(_) => return,
        };
        let chunk = HeldChunk {
            arrived: Instant::now(),
            bytes: buffer[..length].to_vec(),
        };
        if chunk_sender.send_async(chunk).await.is_err() {
            return;
        }
    }
}

async fn write_chunks(
    writer: &OwnedWriteHalf,
    direction: RelayDirection,
    mut modes: watch::Receiver<RelayMode>,
    (count, pace): (&AtomicU64, &PaceClock),
    chunks: Receiver<HeldChunk>,
) -> PumpEnd {
    let mut answer_len = 0;
    while let Ok(chunk) = chunks.recv_async().await {
        let Ok(mode) = pass_mode(&mut modes, direction).await else {
            return PumpEnd::Broken;
        };
        if let RelayMode::Delay(delay) = mode {
            sleep_until(chunk.arrived + delay).await;
        }
        let rate = match (mode, direction) {
            (RelayMode::Pace(rate), RelayDirection::Answer) => Some(rate),
            (RelayMode::PaceRequests(rate), RelayDirection::Request) => Some(rate),
            _ => None,
        };
        if let Some(rate) = rate {
            sleep_until(pace.pass(chunk.bytes.len(), rate)).await;
        }
        let mut bytes = &chunk.bytes[..];
        let mut is_last = false;
        if let RelayMode::HalfAnswer(limit) = mode
            && direction == RelayDirection::Answer
        {
            let room = limit.saturating_sub(answer_len);
            is_last = bytes.len() >= room;
            bytes = &bytes[..bytes.len().min(room)];
        }
        if write_all(writer, bytes).await.is_err() {
            return PumpEnd::Broken;
        }
        answer_len += bytes.len();
        count.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        if is_last {
            return PumpEnd::Broken;
        }
    }
    match pass_mode(&mut modes, direction).await {
        Ok(_) => PumpEnd::Finished,
        Err(_) => PumpEnd::Broken,
    }
}

/// Waits while the relay is frozen.
async fn pass_mode(
    modes: &mut watch::Receiver<RelayMode>,
    direction: RelayDirection,
) -> Result<RelayMode, watch::error::RecvError> {
    let passes = |mode: &RelayMode| match mode {
        RelayMode::Freeze => false,
        RelayMode::FreezeAnswers => direction == RelayDirection::Request,
        _ => true,
    };
    let mode = modes.wait_for(passes).await?;
    Ok(*mode)
}

async fn write_all(writer: &OwnedWriteHalf, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        writer.writable().await?;
        match writer.try_write(bytes) {
            Ok(length) => bytes = &bytes[length..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
