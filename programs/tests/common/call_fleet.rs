//! Process fleets for the proofs of calls: an upstream beside each daemon.

use std::net::SocketAddr;

use standins::run_log::RunEntry;
use standins::upstream::UpstreamServer;
use standins::upstream_settings::UpstreamSettings;

use super::apply;
use super::call_checks::read_runs;
use super::json_http::post_json;
use super::process_fleet::ProcessFleet;
use super::start_upstream_with;

/// Checks under `/stalls`, bookings under `/bookings`, both at one version.
pub const RECORDS: &str = r#"[
  {"kind": "upstream-version", "schema": 1, "service": "stalls", "version": "v1", "share": 100},
  {"kind": "route", "schema": 1, "name": "stalls", "service": "stalls", "prefix": "/stalls",
   "class": "check", "timeout_ms": 2000},
  {"kind": "route", "schema": 1, "name": "bookings", "service": "stalls", "prefix": "/bookings",
   "class": "booking", "timeout_ms": 2000}
]"#;

impl ProcessFleet {
    /// Starts `count` daemons with an upstream process each and waits until all serve.
    pub fn start_serving(count: usize, upstream_flags: &[&str]) -> ProcessFleet {
        let flags: Vec<String> = upstream_flags.iter().map(ToString::to_string).collect();
        let mut fleet = ProcessFleet::empty();
        for _ in 0..count {
            let index = fleet.add_joined("north");
            let upstream = start_upstream_with(fleet.control(index), &flags);
            fleet.upstreams.push(upstream);
        }
        fleet.open()
    }

    /// Starts `count` daemons with an upstream each in the test's own process, whose log outlasts
    /// its crashes, and waits until all serve.
    pub fn start_logged(count: usize, settings: &UpstreamSettings) -> ProcessFleet {
        let mut fleet = ProcessFleet::empty();
        for _ in 0..count {
            let index = fleet.add_joined("north");
            let mut settings = settings.clone();
            settings.daemon = Some(fleet.control(index));
            let server = UpstreamServer::start(settings).expect("upstream starts");
            fleet.servers.push(server);
        }
        fleet.open()
    }

    fn open(self) -> ProcessFleet {
        apply(self.platform.address, RECORDS);
        self.wait_ready(1);
        self
    }

    /// Kills a daemon and starts it again at the same control address, joining all others; its
    /// upstream stays.
    pub fn restart_joined(&mut self, index: usize) {
        let own = self.control(index);
        let mut seeds: Vec<SocketAddr> = self.controls();
        seeds.retain(|seed| *seed != own);
        self.restart_with(index, &seeds);
    }

    /// Kills an upstream process and starts another in its place, with an empty log.
    pub fn restart_upstream(&mut self, index: usize) {
        self.upstreams[index].process.kill();
        let flags = &self.upstreams[index].flags;
        self.upstreams[index] = start_upstream_with(self.control(index), flags);
    }

    /// Runs in the logs of the living upstreams.
    pub fn runs(&self) -> Vec<RunEntry> {
        let mut runs = Vec::new();
        for server in &self.servers {
            runs.extend(server.runs());
        }
        for upstream in &self.upstreams {
            runs.extend(read_runs(upstream.address));
        }
        runs
    }

    /// Sets the faults of every upstream process, JSON.
    pub fn set_upstream_faults(&self, faults: &str) {
        for upstream in &self.upstreams {
            post_json(upstream.address, "/standin/faults", faults);
        }
    }
}
