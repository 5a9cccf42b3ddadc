//! Announces an upstream stand-in to the daemon beside it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use coltsfootweir::announce::ANNOUNCE_INTERVAL;
use flume::Receiver;
use flume::RecvTimeoutError;

use crate::upstream_state::UpstreamState;

/// Time allowed for one announcement, seconds.
const ANNOUNCE_REQUEST_SECONDS: u64 = 1;

/// Announces the upstream at `address` once an interval and at each nudge, until `nudges` closes.
pub fn spawn_announcer(
    state: Arc<UpstreamState>,
    address: SocketAddr,
    daemon: SocketAddr,
    nudges: Receiver<()>,
) {
    thread::spawn(move || {
        loop {
            announce(&state, address, daemon);
            match nudges.recv_timeout(ANNOUNCE_INTERVAL) {
                Ok(()) | Err(RecvTimeoutError::Timeout) => continue,
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    });
}

/// A lost announcement is made good by the next one.
fn announce(state: &UpstreamState, address: SocketAddr, daemon: SocketAddr) {
    let Ok(body) = serde_json::to_vec(&state.announcement(address)) else {
        return;
    };
    let result = minreq::post(format!("http://{daemon}/announce"))
        .with_header("Content-Type", "application/json")
        .with_header("Connection", "close")
        .with_body(body)
        .with_timeout(ANNOUNCE_REQUEST_SECONDS)
        .send();
    if let Err(error) = result {
        log::debug!("standin: announcement to {daemon} failed: {error}");
    }
}
