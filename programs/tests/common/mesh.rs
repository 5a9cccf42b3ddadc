//! Daemons of two regions in the test's own process, with cuts at the border between daemons.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

use coltsfootweir::daemon::DaemonParts;
use coltsfootweir::daemon::MeshDaemon;
use coltsfootweir::dialer::PeerDialer;
use coltsfootweir::settings::DaemonArgs;
use standins::platform_server::PlatformServer;
use standins::relay::RelayMode;
use standins::relay::TcpRelay;
use standins::run_log::RunEntry;
use standins::upstream::UpstreamServer;
use standins::upstream_settings::UpstreamSettings;

use super::PATIENCE;
use super::apply;
use super::fleet::RECORDS;
use super::wait_for;

/// What is cut between the regions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CutKind {
    /// Nothing.
    Nothing = 0,
    /// Control exchanges; calls pass.
    Control = 1,
    /// Control exchanges and calls.
    Everything = 2,
}

/// The line between two regions.
#[derive(Debug, Default)]
pub struct RegionCut {
    kind: AtomicU8,
    /// Region by address, with whether it is a control address.
    places: Mutex<HashMap<SocketAddr, (&'static str, bool)>>,
}

#[derive(Debug)]
struct CutDialer {
    region: &'static str,
    cut: Arc<RegionCut>,
}

impl PeerDialer for CutDialer {
    fn dial(&self, peer: SocketAddr) -> Option<SocketAddr> {
        let kind = self.cut.kind.load(Ordering::Relaxed);
        let places = self.cut.places.lock().expect("places");
        let Some((region, is_control)) = places.get(&peer) else {
            return Some(peer);
        };
        let is_cut =
            kind == CutKind::Everything as u8 || (kind == CutKind::Control as u8 && *is_control);
        (!is_cut || *region == self.region).then_some(peer)
    }
}

/// Daemons in the regions `north` and `south` with an upstream each; the store stands in `north`.
pub struct TestMesh {
    pub daemons: Vec<MeshDaemon>,
    pub servers: Vec<UpstreamServer>,
    cut: Arc<RegionCut>,
    relay: TcpRelay,
    platform: PlatformServer,
}

impl TestMesh {
    /// Starts a daemon in each of `regions` and waits until all serve.
    pub fn start(regions: &[&'static str], settings: &UpstreamSettings) -> TestMesh {
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = PlatformServer::start(listen).expect("platform starts");
        let mut mesh = TestMesh {
            daemons: Vec::new(),
            servers: Vec::new(),
            cut: Arc::default(),
            relay: TcpRelay::start(platform.address()).expect("relay starts"),
            platform,
        };
        for region in regions {
            mesh.start_daemon(region, settings);
        }
        apply(mesh.platform.address(), RECORDS);
        mesh.wait_ready();
        mesh
    }

    fn start_daemon(&mut self, region: &'static str, settings: &UpstreamSettings) {
        let platform = match region {
            "north" => self.platform.address(),
            _ => self.relay.address(),
        };
        let seeds: Vec<&str> = self.daemons.iter().map(|daemon| &**daemon.id()).collect();
        let arguments = make_arguments(region, platform, seeds.join(","));
        let checked = arguments.check().expect("settings");
        let mut parts = DaemonParts::new(&checked);
        parts.dialer = Arc::new(CutDialer {
            region,
            cut: Arc::clone(&self.cut),
        });
        let daemon = MeshDaemon::start_with(checked, parts).expect("daemon starts");
        let control: SocketAddr = daemon.id().parse().expect("control address");
        let mut places = self.cut.places.lock().expect("places");
        places.insert(control, (region, true));
        places.insert(daemon.call_address(), (region, false));
        drop(places);
        let mut settings = settings.clone();
        settings.daemon = Some(control);
        let server = UpstreamServer::start(settings).expect("upstream starts");
        self.servers.push(server);
        self.daemons.push(daemon);
    }

    /// Waits until every daemon serves the records and knows every endpoint as ready.
    pub fn wait_ready(&self) {
        wait_for("mesh ready", PATIENCE, || {
            self.daemons.iter().all(|daemon| {
                let status = daemon.status();
                let ready = status.members.iter().filter(|entry| {
                    let endpoint = entry.endpoint.as_ref();
                    endpoint.is_some_and(|endpoint| format!("{:?}", endpoint.phase) == "Ready")
                });
                status.generation >= 1 && ready.count() == self.daemons.len()
            })
        });
    }

    /// Cuts or mends the line between the regions, for the store too when calls are cut.
    pub fn set_cut(&self, kind: CutKind) {
        self.cut.kind.store(kind as u8, Ordering::Relaxed);
        self.relay.set_mode(match kind {
            CutKind::Everything => RelayMode::Cut,
            _ => RelayMode::Pass,
        });
    }

    pub fn calls(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(MeshDaemon::call_address).collect()
    }

    pub fn runs(&self) -> Vec<RunEntry> {
        self.servers.iter().flat_map(UpstreamServer::runs).collect()
    }
}

fn make_arguments(region: &str, platform: SocketAddr, seeds: String) -> DaemonArgs {
    DaemonArgs {
        control: "127.0.0.1:0".into(),
        calls: "127.0.0.1:0".into(),
        region: region.into(),
        zone: format!("{region}-a"),
        platform: platform.to_string(),
        store_region: "north".into(),
        seeds,
        statsd: String::new(),
        log: "off".into(),
        drain_limit: "10s".into(),
        queue_limit: "18".into(),
        read_timeout: "5s".into(),
        move_dwell: "1500ms".into(),
        move_settle: "4s".into(),
    }
}
