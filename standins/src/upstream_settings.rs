//! Settings of the upstream stand-in.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootweir::ids::ServiceName;
use coltsfootweir::ids::VersionName;

use crate::upstream_faults::UpstreamFaults;
use crate::upstream_next::NextService;

/// Settings of one upstream stand-in.
#[derive(Clone, Debug)]
pub struct UpstreamSettings {
    /// Address to listen on; port 0 takes a free port.
    pub listen: SocketAddr,
    /// Service it runs.
    pub service: ServiceName,
    /// Version it runs.
    pub version: VersionName,
    /// Requests it runs at once; more are shed, or wait.
    pub slots: u16,
    /// Whether requests wait for a slot without limit, and run also when their caller has hung up.
    pub queues_all: bool,
    /// Control address of the daemon beside it, to which it announces itself.
    pub daemon: Option<SocketAddr>,
    /// Time of work for one request.
    pub work: Duration,
    /// Largest random part added to or taken from the work, percent.
    pub work_jitter_percent: u8,
    /// Time that each new connection takes; connections are taken one after another.
    pub connection_cost: Duration,
    /// Time that each health or load probe takes.
    pub probe_cost: Duration,
    /// Connections held at once; more are reset.
    pub connection_limit: u32,
    /// Time after a start in which work is slower, up to four times at first.
    pub cold_start: Duration,
    /// Age of what the health and load endpoints tell.
    pub health_lag: Duration,
    /// Service that it calls within each request, after its work.
    pub next: Option<NextService>,
    /// Seed of the random choices.
    pub seed: u64,
    /// Faults shown from the start.
    pub faults: UpstreamFaults,
}

impl UpstreamSettings {
    /// Makes the settings of a faultless upstream of today's usual size on a free loopback port.
    #[must_use]
    pub fn new(
        service: impl Into<ServiceName>,
        version: impl Into<VersionName>,
    ) -> UpstreamSettings {
        UpstreamSettings {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            service: service.into(),
            version: version.into(),
            slots: 9,
            queues_all: false,
            daemon: None,
            work: Duration::from_millis(2),
            work_jitter_percent: 0,
            connection_cost: Duration::from_millis(1),
            probe_cost: Duration::from_millis(6),
            connection_limit: 120,
            cold_start: Duration::ZERO,
            health_lag: Duration::from_secs(2),
            next: None,
            seed: 0,
            faults: UpstreamFaults::default(),
        }
    }
}
