//! Where connections to other daemons go, at its border.

use std::fmt;
use std::net::SocketAddr;

/// Finds the address to connect to for a peer.
pub trait PeerDialer: Send + Sync + fmt::Debug {
    /// Returns the address to connect to, or `None` when the peer cannot be reached now.
    fn dial(&self, peer: SocketAddr) -> Option<SocketAddr>;
}

/// Connects to the address that the peer announces.
#[derive(Clone, Copy, Debug, Default)]
pub struct DirectDialer;

impl PeerDialer for DirectDialer {
    fn dial(&self, peer: SocketAddr) -> Option<SocketAddr> {
        Some(peer)
    }
}
