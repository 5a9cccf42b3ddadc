//! Daemons in this process on one platform in memory, whose connections can be cut or redirected.

#![allow(dead_code)]

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use coltsfootweir::accept::accept_change;
use coltsfootweir::clock::SystemClock;
use coltsfootweir::daemon::DaemonParts;
use coltsfootweir::daemon::MeshDaemon;
use coltsfootweir::dialer::PeerDialer;
use coltsfootweir::ids::Generation;
use coltsfootweir::link::LinkMeter;
use coltsfootweir::platform::CommitOutcome;
use coltsfootweir::platform::PlatformError;
use coltsfootweir::platform::PlatformResult;
use coltsfootweir::platform::PlatformStore;
use coltsfootweir::platform::TableRow;
use coltsfootweir::platform::WriteBatch;
use coltsfootweir::schema::parse_records;
use coltsfootweir::settings::DaemonArgs;
use coltsfootweir::snapshot::ConfigSnapshot;
use error_stack::Report;
use standins::memory_platform::MemoryPlatform;

use crate::common::free_address;

/// Region in which the store stands.
pub const STORE_REGION: &str = "north";

/// The network between the daemons of a test.
#[derive(Debug, Default)]
pub struct LocalNet {
    is_cut: AtomicBool,
    is_store_far: AtomicBool,
    regions: Mutex<HashMap<SocketAddr, &'static str>>,
    lost: Mutex<HashSet<SocketAddr>>,
    detours: Mutex<HashMap<(SocketAddr, SocketAddr), SocketAddr>>,
}

impl LocalNet {
    /// Cuts the link between the regions, or heals it.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
    }

    /// Cuts the store off from the regions in which it does not stand, or heals that.
    pub fn set_store_far(&self, is_far: bool) {
        self.is_store_far.store(is_far, Ordering::Relaxed);
    }

    /// Lets connections of `from` to `peer` go to `through`.
    pub fn set_detour(&self, from: SocketAddr, peer: SocketAddr, through: SocketAddr) {
        let mut detours = self.detours.lock().expect("detours");
        detours.insert((from, peer), through);
    }

    /// Lets connections of `from` go to `peer` again.
    pub fn clear_detour(&self, from: SocketAddr, peer: SocketAddr) {
        self.detours.lock().expect("detours").remove(&(from, peer));
    }

    /// Takes the store away from one daemon, or gives it back.
    pub fn set_store_lost(&self, own: SocketAddr, is_lost: bool) {
        let mut lost = self.lost.lock().expect("lost");
        if is_lost {
            lost.insert(own);
        } else {
            lost.remove(&own);
        }
    }

    /// Lets every connection go to its peer again.
    pub fn clear_detours(&self) {
        self.detours.lock().expect("detours").clear();
    }

    fn reaches(&self, region: &str, peer: SocketAddr) -> bool {
        let regions = self.regions.lock().expect("regions");
        let other = regions.get(&peer).is_some_and(|home| *home != region);
        !(other && self.is_cut.load(Ordering::Relaxed))
    }
}

/// Dials on behalf of one daemon.
#[derive(Debug)]
struct LocalDialer {
    net: Arc<LocalNet>,
    region: &'static str,
    own: SocketAddr,
}

impl PeerDialer for LocalDialer {
    fn dial(&self, peer: SocketAddr) -> Option<SocketAddr> {
        if !self.net.reaches(self.region, peer) {
            return None;
        }
        let detours = self.net.detours.lock().expect("detours");
        Some(detours.get(&(self.own, peer)).copied().unwrap_or(peer))
    }
}

/// The platform as one region reaches it.
struct RegionPlatform {
    net: Arc<LocalNet>,
    own: SocketAddr,
    region: &'static str,
    platform: MemoryPlatform,
}

impl RegionPlatform {
    fn reach(&self) -> PlatformResult<&MemoryPlatform> {
        let is_cut = self.net.is_cut.load(Ordering::Relaxed);
        let is_far = self.net.is_store_far.load(Ordering::Relaxed);
        let is_lost = self.net.lost.lock().expect("lost").contains(&self.own);
        if is_lost || self.region != STORE_REGION && (is_cut || is_far) {
            return Err(Report::new(PlatformError::Unavailable));
        }
        Ok(&self.platform)
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

/// Daemons of one test.
pub struct LocalFleet {
    pub platform: MemoryPlatform,
    pub net: Arc<LocalNet>,
    pub daemons: Vec<MeshDaemon>,
}

impl LocalFleet {
    pub fn new() -> LocalFleet {
        LocalFleet {
            platform: MemoryPlatform::new(),
            net: Arc::default(),
            daemons: Vec::new(),
        }
    }

    /// Starts a daemon in a region.
    pub fn add(&mut self, region: &'static str) {
        let daemon = self.start(region, free_address(), &[]);
        self.daemons.push(daemon);
    }

    /// Starts a daemon on a control address.
    pub fn start(&self, region: &'static str, own: SocketAddr, seeds: &[SocketAddr]) -> MeshDaemon {
        let mut arguments = local_arguments(region);
        arguments.control = own.to_string();
        let seeds: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
        arguments.seeds = seeds.join(",");
        let settings = arguments.check().expect("settings are good");
        let parts = DaemonParts {
            platform: Arc::new(RegionPlatform {
                net: Arc::clone(&self.net),
                own,
                region,
                platform: self.platform.clone(),
            }),
            dialer: Arc::new(LocalDialer {
                net: Arc::clone(&self.net),
                region,
                own,
            }),
            clock: Arc::new(SystemClock::new()),
            meter: Arc::new(LinkMeter::default()),
        };
        let daemon = MeshDaemon::start_with(settings, parts).expect("the daemon starts");
        let mut regions = self.net.regions.lock().expect("regions");
        regions.insert(own, region);
        regions.insert(daemon.call_address(), region);
        drop(regions);
        daemon
    }

    /// Control address of a daemon.
    pub fn control(&self, index: usize) -> SocketAddr {
        self.daemons[index].id().parse().expect("an address")
    }

    /// Accepts records; returns the generation.
    pub fn accept(&self, records: &str) -> Generation {
        let records = parse_records(records, std::time::SystemTime::now()).expect("records");
        let change = |base: &ConfigSnapshot| base.with_records(records.iter().cloned());
        let ids = || "local-write".into();
        let accepted = accept_change(&self.platform, &ids, &change, &[]).expect("accepted");
        accepted.generation
    }

    /// Whether the daemon serves `generation` or a higher one.
    pub fn serves(&self, index: usize, generation: Generation) -> bool {
        let status = self.daemons[index].status();
        status.is_serving && status.generation >= generation
    }

    /// Number of live members that a daemon knows.
    pub fn live_count(&self, index: usize) -> usize {
        let status = self.daemons[index].status();
        let live = status.members.iter().filter(|entry| entry.state.is_live());
        live.count()
    }
}

fn local_arguments(region: &str) -> DaemonArgs {
    DaemonArgs {
        control: "127.0.0.1:0".into(),
        calls: "127.0.0.1:0".into(),
        region: region.into(),
        zone: format!("{region}-a"),
        platform: "127.0.0.1:1".into(),
        store_region: STORE_REGION.into(),
        seeds: String::new(),
        statsd: String::new(),
        log: "off".into(),
        drain_limit: "2s".into(),
        queue_limit: "18".into(),
        read_timeout: "5s".into(),
        move_dwell: "6s".into(),
        move_settle: "30s".into(),
    }
}

/// Records of one route and its only version.
pub fn one_route(name: &str) -> String {
    format!(
        r#"[{{"kind": "upstream-version", "schema": 1, "service": "{name}", "version": "v1", "share": 100}},
            {{"kind": "route", "schema": 1, "name": "{name}", "service": "{name}",
              "prefix": "/{name}", "class": "check", "timeout_ms": 2000}}]"#
    )
}

/// Longest time a configuration may take on a few daemons.
pub const LOCAL_TARGET: Duration = Duration::from_secs(19);
