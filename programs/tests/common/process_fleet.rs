//! A fleet of daemon processes on one platform; upstreams may stand beside them.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootweir::ids::Generation;
use coltsfootweir::reports::DaemonStatus;
use standins::upstream::UpstreamServer;

use super::DaemonProcess;
use super::DaemonSpec;
use super::PATIENCE;
use super::PlatformProcess;
use super::UpstreamProcess;
use super::free_address;
use super::json_http::post_json;
use super::member_counts::is_ready;
use super::member_counts::live_ids;
use super::read_status;
use super::start_daemon_with;
use super::start_platform;
use super::start_upstream;
use super::wait_each;
use super::wait_for;

/// Processes on loopback; each is killed on drop.
pub struct ProcessFleet {
    pub platform: PlatformProcess,
    pub daemons: Vec<DaemonProcess>,
    pub upstreams: Vec<UpstreamProcess>,
    /// Upstreams in the test's own process; their logs outlast their crashes.
    pub servers: Vec<UpstreamServer>,
    /// Further flags of the daemons.
    pub daemon_flags: Vec<String>,
    specs: Vec<DaemonSpec>,
}

impl ProcessFleet {
    /// A fleet without daemons.
    pub fn empty() -> ProcessFleet {
        ProcessFleet {
            platform: start_platform(),
            daemons: Vec::new(),
            upstreams: Vec::new(),
            servers: Vec::new(),
            daemon_flags: Vec::new(),
            specs: Vec::new(),
        }
    }

    /// A fleet of `count` daemons that find one another by the seed rows; even ones stand in the
    /// north, odd ones in the south.
    pub fn start(count: usize) -> ProcessFleet {
        let mut fleet = ProcessFleet::empty();
        for number in 0..count {
            fleet.add(region_of(number), &[]);
        }
        fleet.wait_members(&(0..count).collect::<Vec<_>>(), PATIENCE);
        fleet
    }

    /// Starts a daemon and returns its index.
    pub fn add(&mut self, region: &str, seeds: &[SocketAddr]) -> usize {
        let mut spec = DaemonSpec::new(self.platform.address, region, &format!("{region}-a"));
        spec.seeds = seeds.to_vec();
        spec.control = free_address().to_string();
        let daemon = start_daemon_with(&spec, &self.daemon_flags);
        self.daemons.push(daemon);
        self.specs.push(spec);
        self.daemons.len() - 1
    }

    /// Starts a daemon that joins all earlier ones and returns its index.
    pub fn add_joined(&mut self, region: &str) -> usize {
        let seeds = self.controls();
        self.add(region, &seeds)
    }

    /// Kills a daemon and starts it again on its control address, with nothing kept.
    pub fn restart(&mut self, index: usize) {
        self.daemons[index].process.kill();
        self.daemons[index] = start_daemon_with(&self.specs[index], &self.daemon_flags);
    }

    /// Kills a daemon and starts it again on its control address, with these seeds.
    pub fn restart_with(&mut self, index: usize, seeds: &[SocketAddr]) {
        self.specs[index].seeds = seeds.to_vec();
        self.restart(index);
    }

    pub fn control(&self, index: usize) -> SocketAddr {
        self.daemons[index].control
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.control).collect()
    }

    /// Addresses that take calls.
    pub fn calls(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.calls).collect()
    }

    pub fn status(&self, index: usize) -> Option<DaemonStatus> {
        read_status(self.control(index))
    }

    /// Starts or ends an outage of the platform.
    pub fn set_outage(&self, outage: bool) {
        self.set_faults(&format!("{{\"outage\": {outage}}}"));
    }

    /// Replaces the platform's faults, JSON.
    pub fn set_faults(&self, faults: &str) {
        post_json(self.platform.address, "/faults", faults);
    }

    /// Starts an upstream process of `stalls` beside every daemon.
    pub fn add_upstreams(&mut self) {
        for daemon in &self.daemons {
            let upstream = start_upstream(daemon.control, "stalls", "v1");
            self.upstreams.push(upstream);
        }
    }

    /// Waits until every daemon serves `generation` and knows every endpoint as ready.
    pub fn wait_ready(&self, generation: Generation) {
        self.wait_ready_within(generation, PATIENCE);
    }

    /// Waits for each daemon in turn, no longer than `limit`.
    pub fn wait_ready_within(&self, generation: Generation, limit: Duration) {
        let count = self.upstreams.len() + self.servers.len();
        for index in 0..self.daemons.len() {
            wait_for("fleet ready", limit, || {
                let status = self.status(index);
                status.is_some_and(|status| is_ready(&status, generation, count))
            });
        }
    }

    /// Whether the daemon serves `generation` or a higher one.
    pub fn serves(&self, index: usize, generation: Generation) -> bool {
        self.status(index)
            .is_some_and(|status| status.is_serving && status.generation >= generation)
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

    /// Waits until the daemons named hold just one another as live; returns the time it took.
    pub fn wait_members(&self, indexes: &[usize], limit: Duration) -> Duration {
        let controls = indexes.iter().map(|index| self.control(*index));
        let mut wanted: Vec<String> = controls.map(|control| control.to_string()).collect();
        wanted.sort();
        wait_each("membership", limit, indexes, |index| {
            let status = self.status(index);
            status.is_some_and(|status| live_ids(&status) == wanted)
        })
    }
}

/// Region of a daemon by its number.
pub fn region_of(number: usize) -> &'static str {
    if number.is_multiple_of(2) {
        "north"
    } else {
        "south"
    }
}
