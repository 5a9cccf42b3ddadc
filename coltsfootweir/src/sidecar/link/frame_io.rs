//! Reads and writes the frames of a connection between daemons.

use flume::Receiver;
use log::warn;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;

use crate::logging::MEMBERS;
use crate::sidecar::frame::PeerFrame;
use crate::sidecar::frame::read_frame;
use crate::sidecar::frame::write_frame;

/// Bytes reserved for each read from the socket.
const READ_SIZE: usize = 4 * 1024;

/// Sends the frames of `queue` and passes received ones to `take`, until the connection or the
/// queue ends. `on_write` is called for each frame directly before it is handed to the socket.
pub async fn exchange_frames(
    stream: TcpStream,
    queue: Receiver<PeerFrame>,
    take: impl FnMut(PeerFrame),
    on_write: impl FnMut(&PeerFrame),
) {
    let (reader, writer) = stream.into_split();
    tokio::select! {
        () = read_frames(reader, take) => {}
        () = write_frames(writer, queue, on_write) => {}
    }
}

async fn read_frames(mut reader: OwnedReadHalf, mut take: impl FnMut(PeerFrame)) {
    let mut bytes = Vec::new();
    loop {
        loop {
            match read_frame(&mut bytes) {
                Ok(Some(frame)) => take(frame),
                Ok(None) => break,
                Err(error) => {
                    let event = json!({"name": "link_unreadable", "reason": error.to_string()});
                    warn!(target: MEMBERS, "{event}");
                    return;
                }
            }
        }
        bytes.reserve(READ_SIZE);
        match reader.read_buf(&mut bytes).await {
            Ok(count) if count > 0 => {}
            _ => return,
        }
    }
}

async fn write_frames(
    mut writer: OwnedWriteHalf,
    queue: Receiver<PeerFrame>,
    mut on_write: impl FnMut(&PeerFrame),
) {
    let mut bytes = Vec::new();
    while let Ok(frame) = queue.recv_async().await {
        bytes.clear();
        for frame in std::iter::once(frame).chain(queue.try_iter()) {
            on_write(&frame);
            if let Err(error) = write_frame(&frame, &mut bytes) {
                let event = json!({"name": "frame_not_sent", "reason": error.to_string()});
                warn!(target: MEMBERS, "{event}");
            }
        }
        if writer.write_all(&bytes).await.is_err() {
            return;
        }
    }
}
