//! Daemons of two regions in this process, with a link between the regions that can be cut.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use coltsfootweir::accept::fetch_snapshot;
use coltsfootweir::accept::read_head;
use coltsfootweir::daemon::DaemonParts;
use coltsfootweir::daemon::MeshDaemon;
use coltsfootweir::dialer::PeerDialer;
use coltsfootweir::http_platform::HttpPlatform;
use coltsfootweir::ids::MemberId;
use coltsfootweir::lease::LeaseRow;
use coltsfootweir::mover::lease_key;
use coltsfootweir::platform::CommitOutcome;
use coltsfootweir::platform::PlatformError;
use coltsfootweir::platform::PlatformResult;
use coltsfootweir::platform::PlatformStore;
use coltsfootweir::platform::TableRow;
use coltsfootweir::platform::WriteBatch;
use coltsfootweir::record::MoveRecord;
use coltsfootweir::settings::DaemonArgs;
use error_stack::Report;
use standins::platform_server::PlatformServer;
use standins::upstream::UpstreamServer;
use standins::upstream_faults::UpstreamFaults;
use standins::upstream_settings::UpstreamSettings;

use super::PATIENCE;
use super::wait_for;

/// Region that has the store.
pub const NORTH: &str = "north";

/// Region that reaches the store over the link.
pub const SOUTH: &str = "south";

/// Time a platform operation may take.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// The link between the regions.
#[derive(Debug, Default)]
pub struct RegionLink {
    is_cut: AtomicBool,
    regions: Mutex<HashMap<SocketAddr, &'static str>>,
}

impl RegionLink {
    fn reaches(&self, from: &str, to: &str) -> bool {
        from == to || !self.is_cut.load(Ordering::Relaxed)
    }
}

#[derive(Debug)]
struct RegionDialer {
    region: &'static str,
    link: Arc<RegionLink>,
}

impl PeerDialer for RegionDialer {
    fn dial(&self, peer: SocketAddr) -> Option<SocketAddr> {
        let regions = self.link.regions.lock().expect("no dialer panicked");
        let to = regions.get(&peer).copied().unwrap_or(self.region);
        self.link.reaches(self.region, to).then_some(peer)
    }
}

/// The platform as one region reaches it.
struct RegionPlatform {
    store: HttpPlatform,
    region: &'static str,
    link: Arc<RegionLink>,
}

impl RegionPlatform {
    fn reach(&self) -> PlatformResult<&HttpPlatform> {
        if self.link.reaches(self.region, NORTH) {
            return Ok(&self.store);
        }
        Err(Report::new(PlatformError::Unavailable))
    }
}

impl PlatformStore for RegionPlatform {
    fn read_row(&self, key: &str) -> PlatformResult<Option<TableRow>> {
        self.reach()?.read_row(key)
    }

    fn list_rows(&self, prefix: &str) -> PlatformResult<Vec<TableRow>> {
        self.reach()?.list_rows(prefix)
    }

    fn commit(&self, batch: &WriteBatch) -> PlatformResult<CommitOutcome> {
        self.reach()?.commit(batch)
    }

    fn put_object(&self, name: &str, body: &[u8]) -> PlatformResult<()> {
        self.reach()?.put_object(name, body)
    }

    fn get_object(&self, name: &str) -> PlatformResult<Option<Vec<u8>>> {
        self.reach()?.get_object(name)
    }
}

/// A daemon, its upstream and where they stand.
pub struct RegionEndpoint {
    pub region: &'static str,
    pub version: &'static str,
    pub daemon: MeshDaemon,
    pub upstream: UpstreamServer,
}

/// Two endpoints of each version in each region.
pub struct RegionFleet {
    pub endpoints: Vec<RegionEndpoint>,
    pub platform: PlatformServer,
    link: Arc<RegionLink>,
}

impl RegionFleet {
    /// Starts the fleet; the service is `stalls` with versions v1 and v2.
    pub fn start() -> RegionFleet {
        let platform =
            PlatformServer::start(SocketAddr::from(([127, 0, 0, 1], 0))).expect("platform starts");
        let mut fleet = RegionFleet {
            endpoints: Vec::new(),
            platform,
            link: Arc::default(),
        };
        for region in [NORTH, SOUTH] {
            for version in ["v1", "v1", "v2", "v2"] {
                fleet.add(region, version);
            }
        }
        fleet
    }

    fn add(&mut self, region: &'static str, version: &'static str) {
        let address = self.platform.address();
        let settings = arguments(region, address).check().expect("settings");
        let link = Arc::clone(&self.link);
        let mut parts = DaemonParts::new(&settings);
        parts.dialer = Arc::new(RegionDialer {
            region,
            link: Arc::clone(&link),
        });
        parts.platform = Arc::new(RegionPlatform {
            store: HttpPlatform::new(address, PLATFORM_TIMEOUT),
            region,
            link,
        });
        let daemon = MeshDaemon::start_with(settings, parts).expect("daemon starts");
        let control: SocketAddr = daemon.id().parse().expect("an address");
        let mut regions = self.link.regions.lock().expect("no dialer panicked");
        regions.insert(control, region);
        regions.insert(daemon.call_address(), region);
        drop(regions);
        let mut settings = UpstreamSettings::new("stalls", version);
        settings.daemon = Some(control);
        let upstream = UpstreamServer::start(settings).expect("upstream starts");
        self.endpoints.push(RegionEndpoint {
            region,
            version,
            daemon,
            upstream,
        });
    }

    /// Cuts the link between the regions, or heals it.
    pub fn set_cut(&self, is_cut: bool) {
        self.link.is_cut.store(is_cut, Ordering::Relaxed);
    }

    /// Endpoints of a region that run a version.
    pub fn of<'a>(
        &'a self,
        region: &'a str,
        version: &'a str,
    ) -> impl Iterator<Item = &'a RegionEndpoint> {
        let all = self.endpoints.iter();
        all.filter(move |own| own.region == region && own.version == version)
    }

    /// Makes every request to v2 in a region fail.
    pub fn spoil(&self, region: &str) {
        for endpoint in self.of(region, "v2") {
            endpoint.upstream.set_faults(UpstreamFaults {
                fail_percent: 100,
                ..UpstreamFaults::default()
            });
        }
    }

    /// Requests that v2 ran in a region.
    pub fn runs(&self, region: &str) -> usize {
        self.of(region, "v2")
            .map(|endpoint| endpoint.upstream.runs().len())
            .sum()
    }

    /// Addresses that take calls in a region.
    pub fn call_addresses(&self, region: &str) -> Vec<SocketAddr> {
        let own = self.endpoints.iter().filter(|own| own.region == region);
        own.map(|own| own.daemon.call_address()).collect()
    }

    /// Waits until every daemon serves `generation` and knows every endpoint.
    pub fn wait_ready(&self, generation: u64) {
        wait_for("every daemon ready", PATIENCE, || {
            self.endpoints.iter().all(|own| {
                let status = own.daemon.status();
                let known = status
                    .members
                    .iter()
                    .filter(|entry| entry.endpoint.is_some());
                status.generation >= generation && known.count() == self.endpoints.len()
            })
        });
    }

    /// The member that holds the lease of the move.
    pub fn lease_holder(&self) -> Option<MemberId> {
        let store = HttpPlatform::new(self.platform.address(), PLATFORM_TIMEOUT);
        let row = store.read_row(&lease_key("stalls-v2")).ok()??;
        let row: LeaseRow = serde_json::from_str(&row.value).ok()?;
        row.holder
    }

    /// The move as accepted.
    pub fn read_move(&self) -> MoveRecord {
        let store = HttpPlatform::new(self.platform.address(), PLATFORM_TIMEOUT);
        let mark = read_head(&store).expect("head");
        let snapshot = fetch_snapshot(&store, &mark).expect("snapshot");
        snapshot.moves["stalls-v2"].clone()
    }
}

fn arguments(region: &str, platform: SocketAddr) -> DaemonArgs {
    DaemonArgs {
        control: "127.0.0.1:0".into(),
        calls: "127.0.0.1:0".into(),
        region: region.into(),
        zone: region.into(),
        platform: platform.to_string(),
        store_region: NORTH.into(),
        seeds: String::new(),
        statsd: String::new(),
        log: "off".into(),
        drain_limit: "10s".into(),
        queue_limit: "18".into(),
        read_timeout: "5s".into(),
        move_dwell: "1500ms".into(),
        move_settle: "4s".into(),
    }
}
