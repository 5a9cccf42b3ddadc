//! Daemons, upstreams and the platform stand-in of the demo.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use coltsfootweir::daemon::MeshDaemon;
use coltsfootweir::settings::DaemonArgs;
use standins::platform_server::PlatformServer;
use standins::upstream::UpstreamServer;
use standins::upstream_faults::UpstreamFaults;
use standins::upstream_settings::UpstreamSettings;

use crate::failure::CommandFailure;

/// Region and availability zone of each daemon, and the version beside it.
const PLACES: [(&str, &str, &str); 8] = [
    ("noord-holland", "zaandam", "v1"),
    ("noord-holland", "purmerend", "v1"),
    ("noord-holland", "zaandam", "v2"),
    ("noord-holland", "purmerend", "v3"),
    ("zuid-holland", "gouda", "v1"),
    ("zuid-holland", "delft", "v2"),
    ("zuid-holland", "gouda", "v2"),
    ("zuid-holland", "delft", "v3"),
];

/// Requests that the bad version fails, percent.
const BAD_PERCENT: u8 = 40;

/// Time between two looks at the daemons.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// The demo's platform, daemons and upstreams.
pub struct DemoFleet {
    platform: PlatformServer,
    daemons: Vec<MeshDaemon>,
    upstreams: Vec<(&'static str, UpstreamServer)>,
}

impl DemoFleet {
    /// Starts the fleet on loopback.
    ///
    /// # Errors
    /// [`CommandFailure::Unavailable`] when a part cannot be started.
    pub fn start() -> Result<DemoFleet, CommandFailure> {
        let platform = PlatformServer::start(SocketAddr::from(([127, 0, 0, 1], 0)))
            .map_err(|error| unavailable(&error))?;
        let mut fleet = DemoFleet {
            platform,
            daemons: Vec::new(),
            upstreams: Vec::new(),
        };
        for (region, zone, version) in PLACES {
            let arguments = demo_arguments(region, zone, fleet.platform.address());
            let settings = arguments.check().map_err(|error| unavailable(&error))?;
            let daemon = MeshDaemon::start(settings).map_err(|error| unavailable(&error))?;
            let mut upstream = UpstreamSettings::new("stalls", version);
            upstream.daemon = daemon.id().parse().ok();
            let upstream = UpstreamServer::start(upstream).map_err(|error| unavailable(&error))?;
            fleet.upstreams.push((version, upstream));
            fleet.daemons.push(daemon);
        }
        Ok(fleet)
    }

    /// Address of the platform stand-in.
    #[must_use]
    pub fn platform_address(&self) -> SocketAddr {
        self.platform.address()
    }

    /// Addresses that take calls.
    #[must_use]
    pub fn call_addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(MeshDaemon::call_address).collect()
    }

    /// Waits until every daemon serves `generation` and knows every endpoint.
    ///
    /// # Errors
    /// [`CommandFailure::Unavailable`] after `limit`.
    pub fn wait_generation(&self, generation: u64, limit: Duration) -> Result<(), CommandFailure> {
        let start = Instant::now();
        while !self
            .daemons
            .iter()
            .all(|daemon| self.is_ready(daemon, generation))
        {
            if start.elapsed() > limit {
                return Err(CommandFailure::Unavailable(
                    "not every daemon is ready".into(),
                ));
            }
            thread::sleep(LOOK_INTERVAL);
        }
        Ok(())
    }

    fn is_ready(&self, daemon: &MeshDaemon, generation: u64) -> bool {
        let status = daemon.status();
        let endpoints = status
            .members
            .iter()
            .filter(|entry| entry.endpoint.is_some());
        status.is_serving
            && status.generation >= generation
            && endpoints.count() == self.daemons.len()
    }

    /// Makes the upstreams of a version fail a share of their requests.
    pub fn spoil_version(&self, version: &str) {
        for (_, upstream) in self.upstreams.iter().filter(|(own, _)| *own == version) {
            let faults = UpstreamFaults {
                fail_percent: BAD_PERCENT,
                ..UpstreamFaults::default()
            };
            upstream.set_faults(faults);
        }
    }

    /// Tells how many requests each version ran, and whether a booking ran twice.
    #[must_use]
    pub fn count_runs(&self) -> String {
        let mut by_version: BTreeMap<&str, usize> = BTreeMap::new();
        let mut by_key: HashMap<Box<str>, usize> = HashMap::new();
        for (version, upstream) in &self.upstreams {
            for run in upstream.runs() {
                *by_version.entry(version).or_default() += 1;
                if let Some(key) = run.request.idempotency_key {
                    *by_key.entry(key).or_default() += 1;
                }
            }
        }
        let twice = by_key.values().filter(|count| **count > 1).count();
        let mut text = String::new();
        for (version, count) in by_version {
            text.push_str(&format!("version {version} ran {count} requests\n"));
        }
        text.push_str(&format!(
            "{} bookings ran, {twice} of them more than once\n",
            by_key.len()
        ));
        text
    }

    /// Stops every daemon in order, all at the same time.
    pub fn stop(&mut self) {
        thread::scope(|scope| {
            for daemon in self.daemons.drain(..) {
                scope.spawn(|| daemon.stop());
            }
        });
    }
}

fn unavailable(error: &dyn std::fmt::Display) -> CommandFailure {
    CommandFailure::Unavailable(error.to_string().into())
}

fn demo_arguments(region: &str, zone: &str, platform: SocketAddr) -> DaemonArgs {
    DaemonArgs {
        control: "127.0.0.1:0".into(),
        calls: "127.0.0.1:0".into(),
        region: region.into(),
        zone: zone.into(),
        platform: platform.to_string(),
        store_region: "noord-holland".into(),
        seeds: String::new(),
        statsd: String::new(),
        log: "off".into(),
        drain_limit: "10s".into(),
        queue_limit: "18".into(),
        read_timeout: "5s".into(),
        move_dwell: "900ms".into(),
        move_settle: "3s".into(),
        key_age_limit: "24h".into(),
        claim_layout: "timed".into(),
    }
}
