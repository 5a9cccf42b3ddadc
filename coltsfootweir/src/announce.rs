//! What an upstream tells the daemon beside it: `POST /announce` on the control port, JSON.
//!
//! An upstream announces itself once a second; a daemon that hears nothing for
//! [`ANNOUNCE_TIMEOUT`] holds it down.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ServiceName;
use crate::ids::VersionName;

/// Time between two announcements of an upstream.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Silence after which an upstream is held down.
pub const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(3500);

/// Time by which two announcements must lie apart to end a silence. Those that waited for a daemon
/// which was frozen arrive together and may be older than the upstream's leave.
pub const RECOVERY_GAP: Duration = Duration::from_millis(500);

/// An upstream's announcement.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamAnnouncement {
    /// Service the upstream runs.
    pub service: ServiceName,
    /// Version it runs.
    pub version: VersionName,
    /// Address on which it takes requests.
    pub address: SocketAddr,
    /// Requests it runs at once.
    pub slots: u16,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
}
