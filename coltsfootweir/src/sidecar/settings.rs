//! Settings of a sidecar, read from the platform's settings file.

use std::collections::BTreeMap;
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
    /// Unique id of the daemon.
    pub id: MemberId,
    /// Region of the VM.
    pub region: RegionName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// CPU share and link bandwidth of the VM.
    pub size: HostSize,
    /// Whether the whole deployment starts for the first time, which means that the store is empty.
    pub is_first_start: bool,
    /// Service of the endpoint on the VM.
    pub service: ServiceName,
    /// Address of the endpoint on the VM.
    pub endpoint: SocketAddr,
    /// Addresses the daemon listens on.
    pub listen: ListenAddresses,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Interval between announcements of an endpoint.
    pub announce_interval: Duration,
    /// Limits that the deployment guarantees to its users.
    pub bounds: MeshBounds,
    /// Regions by availability zone; empty if the platform does not tell.
    pub zones: BTreeMap<ZoneName, RegionName>,
    /// Resource limits of the process.
    pub host_limits: HostLimits,
}

/// Resource limits of the process; `None` if the platform does not tell.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HostLimits {
    /// Memory, in bytes.
    pub memory_bytes: Option<u64>,
    /// Open descriptors.
    pub descriptors: Option<u32>,
}

/// Addresses the daemon listens on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenAddresses {
    /// For requests from clients and from the endpoint on the VM.
    pub requests: SocketAddr,
    /// For links to other daemons.
    pub peers: SocketAddr,
    /// For readiness checks of the platform.
    pub readiness: SocketAddr,
    /// For announcements of the endpoint on the VM.
    pub announcements: SocketAddr,
}

/// Limits that the deployment guarantees to its users.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeshBounds {
    /// Time after an acknowledged departure in which an endpoint may still receive requests.
    pub drain: Duration,
    /// Time after a disruption, such as a restart, in which a daemon does not count as in touch and has
    /// longer limits.
    pub stability: Duration,
    /// Time between SIGTERM and SIGKILL.
    pub stop_grace: Duration,
    /// Allowed retries, as a share of the requests to a service.
    pub retry_share: f64,
    /// Number of retries allowed per window in addition to the share.
    pub retry_slack: u32,
    /// Largest share of a service's requests that a canary version may receive.
    pub canary_share: f64,
    /// Limits on the rate of requests to cold endpoints.
    pub warmup: WarmupBounds,
    /// Time after an acknowledged evacuation in which endpoints of the zone may still receive requests.
    pub evacuation: Option<Duration>,
    /// Time after a withdrawn API key's acknowledgement from which on it must not be used by any
    /// daemon, in touch or not; `None` if only daemons in touch are bound.
    pub revocation: Option<Duration>,
    /// Limits on the requests of a team beyond its rate.
    pub quota: Option<QuotaBounds>,
}

/// Limits on the rate of requests to cold endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WarmupBounds {
    /// Factor on the rate that a cold endpoint tolerates.
    pub overage: f64,
    /// Number of requests per second in addition.
    pub slack: f64,
}

/// Limits on the requests of a team in a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Length of the window.
    pub window: Duration,
    /// Allowed share beyond the team's limit.
    pub overage: f64,
    /// Number of requests in addition.
    pub slack: f64,
}
