//! Process fleets with two versions of a service, and a look at its moves.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootweir::http_platform::HttpPlatform;
use coltsfootweir::record::MoveRecord;

use super::PATIENCE;
use super::apply_move;
use super::apply_service;
use super::json_http::post_json;
use super::move_reads::read_holder;
use super::move_reads::read_move;
use super::process_fleet::ProcessFleet;
use super::start_upstream;
use super::wait_for;

/// Flags of daemons that make the steps of a move short.
const SHORT_STEPS: [&str; 2] = ["--move-dwell=1500ms", "--move-settle=4s"];

/// Time a platform operation may take.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

impl ProcessFleet {
    /// Starts a daemon and an upstream for each `service/version`, spread over two regions.
    pub fn start_versions(endpoints: &[&str]) -> ProcessFleet {
        let mut fleet = ProcessFleet::empty();
        fleet.daemon_flags = SHORT_STEPS.map(String::from).into();
        for (number, endpoint) in endpoints.iter().enumerate() {
            let region = if number % 3 == 2 { "south" } else { "north" };
            let index = fleet.add_joined(region);
            let (service, version) = endpoint.split_once('/').expect("service/version");
            let upstream = start_upstream(fleet.control(index), service, version);
            fleet.upstreams.push(upstream);
        }
        fleet
    }

    /// Accepts the records of a service with versions v1 and v2.
    pub fn apply_service(&self, service: &str) {
        apply_service(self.platform.address, service);
    }

    /// Accepts a move from v1 to v2, to be done in `seconds`.
    pub fn apply_move(&self, service: &str, seconds: u64) {
        apply_move(self.platform.address, service, seconds);
    }

    fn store(&self) -> HttpPlatform {
        HttpPlatform::new(self.platform.address, PLATFORM_TIMEOUT)
    }

    /// The move as accepted; `None` while the store is down.
    pub fn read_move(&self, service: &str) -> Option<MoveRecord> {
        read_move(&self.store(), service)
    }

    /// Control address of the member that holds the lease of a move.
    pub fn lease_holder(&self, service: &str) -> Option<SocketAddr> {
        read_holder(&self.store(), service)?.parse().ok()
    }

    /// Waits until the new version gets at least `checks` percent of the checks.
    pub fn wait_share(&self, service: &str, checks: u8) {
        wait_for("share of the move", PATIENCE, || {
            self.read_move(service)
                .is_some_and(|record| record.share.checks >= checks)
        });
    }

    /// Sets faults, as JSON, at the upstreams of a version; returns how many there are.
    pub fn spoil(&self, service: &str, version: &str, faults: &str) -> usize {
        let flags = [
            format!("--service={service}"),
            format!("--version={version}"),
        ];
        let all = self.upstreams.iter();
        let own = all.filter(|upstream| upstream.flags == flags);
        own.map(|upstream| post_json(upstream.address, "/standin/faults", faults))
            .count()
    }
}
