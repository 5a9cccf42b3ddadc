//! Daemons in the test's own process, on a platform in memory or over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfootweir::daemon::DaemonParts;
use coltsfootweir::daemon::MeshDaemon;
use coltsfootweir::ids::Generation;
use coltsfootweir::settings::DaemonArgs;
use standins::memory_platform::MemoryPlatform;
use standins::platform_faults::PlatformFaults;
use standins::platform_server::PlatformServer;
use standins::relay::RelayMode;
use standins::relay::TcpRelay;
use standins::run_log::RunEntry;
use standins::upstream::UpstreamServer;
use standins::upstream_settings::UpstreamSettings;

use super::CONVERGENCE_TARGET;
use super::PATIENCE;
use super::apply;
use super::call_fleet::RECORDS;
use super::free_address;
use super::member_counts::is_ready;
use super::net_store::NetStore;
use super::records::accept_unoffered;
use super::test_net::CutKind;
use super::test_net::NORTH;
use super::test_net::NetDialer;
use super::test_net::TestNet;
use super::wait_each;
use super::wait_for;

/// Platform address of daemons that reach their platform in memory.
const NO_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

/// The platform over HTTP, with the line that other regions have to it.
struct HttpAccess {
    server: PlatformServer,
    relay: TcpRelay,
}

/// Daemons of one test and, where there are any, the upstreams beside them in the same order.
pub struct LocalFleet {
    pub platform: MemoryPlatform,
    pub net: Arc<TestNet>,
    pub daemons: Vec<MeshDaemon>,
    pub servers: Vec<UpstreamServer>,
    http: Option<HttpAccess>,
}

impl LocalFleet {
    /// A fleet without daemons, on a platform in memory.
    pub fn new() -> LocalFleet {
        LocalFleet {
            platform: MemoryPlatform::new(),
            net: Arc::default(),
            daemons: Vec::new(),
            servers: Vec::new(),
            http: None,
        }
    }

    /// A fleet without daemons, on a platform over HTTP.
    pub fn over_http() -> LocalFleet {
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = PlatformServer::start(listen).expect("platform starts");
        let relay = TcpRelay::start(server.address()).expect("relay starts");
        LocalFleet {
            platform: server.platform().clone(),
            http: Some(HttpAccess { server, relay }),
            ..LocalFleet::new()
        }
    }

    /// A fleet for calls, over HTTP: an upstream beside a daemon in each of `regions`, all ready.
    pub fn start_for_calls(regions: &[&'static str], settings: &UpstreamSettings) -> LocalFleet {
        let mut fleet = LocalFleet::over_http();
        for region in regions {
            fleet.add_endpoint(region, settings);
        }
        apply(fleet.platform_address(NORTH), RECORDS);
        fleet.wait_ready(1);
        fleet
    }

    /// A fleet of daemons that know one another and serve these records, accepted one by one.
    pub fn start_with(regions: &[&'static str], records: &[String]) -> LocalFleet {
        let mut fleet = LocalFleet::new();
        regions.iter().for_each(|region| fleet.add(region));
        let all: Vec<usize> = (0..regions.len()).collect();
        fleet.wait_live(&all, PATIENCE);
        let mut generation = 0;
        for text in records {
            generation = fleet.accept(text);
        }
        fleet.wait_generation(&all, generation, CONVERGENCE_TARGET);
        fleet
    }

    /// Starts a daemon in a region.
    pub fn add(&mut self, region: &'static str) {
        let daemon = self.start(region, free_address(), &[]);
        self.daemons.push(daemon);
    }

    /// Starts a daemon in a region and an upstream beside it.
    pub fn add_endpoint(&mut self, region: &'static str, settings: &UpstreamSettings) {
        self.add(region);
        let mut settings = settings.clone();
        settings.daemon = Some(self.control(self.daemons.len() - 1));
        let server = UpstreamServer::start(settings).expect("upstream starts");
        self.servers.push(server);
    }

    /// Starts a daemon on a control address.
    pub fn start(&self, region: &'static str, own: SocketAddr, seeds: &[SocketAddr]) -> MeshDaemon {
        let arguments = local_arguments(region, own, self.platform_address(region), seeds);
        let settings = arguments.check().expect("settings are good");
        let mut parts = DaemonParts::new(&settings);
        let net = &self.net;
        parts.platform = Arc::new(NetStore {
            store: match self.http {
                Some(_) => parts.platform,
                None => Arc::new(self.platform.clone()),
            },
            net: Arc::clone(net),
            region,
            own,
        });
        parts.dialer = Arc::new(NetDialer {
            net: Arc::clone(net),
            region,
            own,
        });
        let daemon = MeshDaemon::start_with(settings, parts).expect("the daemon starts");
        net.place(region, own, daemon.call_address());
        daemon
    }

    /// Address of the platform as a region reaches it.
    pub fn platform_address(&self, region: &str) -> SocketAddr {
        match &self.http {
            None => NO_ADDRESS,
            Some(http) if region == NORTH => http.server.address(),
            Some(http) => http.relay.address(),
        }
    }

    /// Cuts or heals the link between the regions; connections to the platform are reset with it.
    pub fn set_cut(&self, kind: CutKind) {
        self.net.set_cut(kind);
        if let Some(http) = &self.http {
            http.relay.set_mode(match kind {
                CutKind::Everything => RelayMode::Cut,
                _ => RelayMode::Pass,
            });
        }
    }

    /// Waits until every daemon serves `generation` and knows every endpoint as ready.
    pub fn wait_ready(&self, generation: Generation) {
        wait_for("every daemon ready", PATIENCE, || {
            let mut all = self.daemons.iter().map(MeshDaemon::status);
            all.all(|status| is_ready(&status, generation, self.servers.len()))
        });
    }

    /// Control address of a daemon.
    pub fn control(&self, index: usize) -> SocketAddr {
        self.daemons[index].id().parse().expect("an address")
    }

    /// Addresses that take calls.
    pub fn calls(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(MeshDaemon::call_address).collect()
    }

    /// Runs in the logs of the upstreams.
    pub fn runs(&self) -> Vec<RunEntry> {
        self.servers.iter().flat_map(UpstreamServer::runs).collect()
    }

    /// Accepts records; returns the generation.
    pub fn accept(&self, records: &str) -> Generation {
        accept_unoffered(&self.platform, records)
    }

    /// Whether the daemon serves `generation` or a higher one.
    pub fn serves(&self, index: usize, generation: Generation) -> bool {
        let status = self.daemons[index].status();
        status.is_serving && status.generation >= generation
    }

    /// Waits until each daemon named serves `generation`; returns the time it took.
    pub fn wait_generation(
        &self,
        indexes: &[usize],
        generation: Generation,
        limit: Duration,
    ) -> Duration {
        let what = format!("generation {generation} in force");
        wait_each(&what, limit, indexes, |index| {
            self.serves(index, generation)
        })
    }

    /// Waits until each daemon named holds as many members as live as are named; returns the time
    /// it took.
    pub fn wait_live(&self, indexes: &[usize], limit: Duration) -> Duration {
        wait_for("membership", limit, || {
            let mut counts = indexes.iter().map(|index| self.live_count(*index));
            counts.all(|count| count == indexes.len())
        })
    }

    /// Starts or ends an outage of the platform.
    pub fn set_outage(&self, outage: bool) {
        self.platform.set_faults(PlatformFaults {
            outage,
            ..PlatformFaults::default()
        });
    }

    /// Number of live members that a daemon knows.
    pub fn live_count(&self, index: usize) -> usize {
        let status = self.daemons[index].status();
        let live = status.members.iter().filter(|entry| entry.state.is_live());
        live.count()
    }
}

fn local_arguments(
    region: &str,
    control: SocketAddr,
    platform: SocketAddr,
    seeds: &[SocketAddr],
) -> DaemonArgs {
    let seeds: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
    DaemonArgs {
        control: control.to_string(),
        calls: "127.0.0.1:0".into(),
        region: region.into(),
        zone: format!("{region}-a"),
        platform: platform.to_string(),
        store_region: NORTH.into(),
        seeds: seeds.join(","),
        statsd: String::new(),
        log: "off".into(),
        drain_limit: "10s".into(),
        queue_limit: "18".into(),
        read_timeout: "5s".into(),
        move_dwell: "1500ms".into(),
        move_settle: "4s".into(),
        key_age_limit: "24h".into(),
        claim_layout: "both".into(),
    }
}
