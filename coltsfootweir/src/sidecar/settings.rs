//! Settings of a sidecar, as the platform's settings file gives them.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::MemberId;
use crate::ids::RegionName;
use crate::ids::ServiceName;
use crate::ids::ZoneName;
use crate::sidecar::member_table::HostSize;

/// Settings of a sidecar.
#[derive(Clone, Debug, PartialEq)]
pub struct SidecarSettings {
    /// Identity of the daemon.
    pub id: MemberId,
    /// Region of the VM.
    pub region: RegionName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Size of the VM.
    pub size: HostSize,
    /// Whether the whole deployment starts for the first time, so that the store holds nothing yet.
    pub is_first_start: bool,
    /// Service of the endpoint on the VM.
    pub service: ServiceName,
    /// Address of the endpoint on the VM.
    pub endpoint: SocketAddr,
    /// Addresses the daemon listens on.
    pub listen: ListenAddresses,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Time between two announcements of an endpoint.
    pub announce_interval: Duration,
    /// Bounds that the deployment promises its users.
    pub bounds: MeshBounds,
}

/// Addresses the daemon listens on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenAddresses {
    /// Requests of clients and of the endpoint on the VM.
    pub requests: SocketAddr,
    /// Other daemons.
    pub peers: SocketAddr,
    /// Readiness checks of the platform.
    pub readiness: SocketAddr,
    /// Announcements of the endpoint on the VM.
    pub announcements: SocketAddr,
}

/// Bounds that the deployment promises its users.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeshBounds {
    /// Time after an acknowledged departure in which an endpoint may still get requests.
    pub drain: Duration,
    /// Time between SIGTERM and SIGKILL.
    pub stop_grace: Duration,
    /// Repeats allowed, as a share of the requests for a service.
    pub retry_share: f64,
    /// Repeats allowed in a window on top of the share.
    pub retry_slack: u32,
    /// Largest share of a service's requests that a version on trial may get.
    pub canary_share: f64,
}
