//! Announcements of an upstream to the daemon beside it: `POST /announce` on the control port, JSON.
//!
//! An upstream announces itself every [`ANNOUNCE_INTERVAL`]. After [`ANNOUNCE_TIMEOUT`] without an
//! announcement, the daemon marks it down.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ServiceName;
use crate::ids::VersionName;

/// Interval between the announcements of an upstream.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Time without an announcement after which an upstream is marked down.
pub const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(3500);

/// Least time between two announcements after a silence before the upstream counts as up again.
/// Announcements that waited for a frozen daemon arrive together and may be older than the
/// upstream's leave.
pub const RECOVERY_GAP: Duration = Duration::from_millis(500);

/// An announcement of an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamAnnouncement {
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// Version of the upstream.
    pub version: VersionName,
    /// Address that it serves requests on.
    pub address: SocketAddr,
    /// Requests it runs at once.
    pub slots: u16,
    /// Whether it is leaving and takes no new requests.
    pub leaving: bool,
}
