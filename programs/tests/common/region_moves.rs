//! A fleet in this process with two endpoints of each version in each region, for moves.

use std::net::SocketAddr;

use coltsfootweir::accept::read_head;
use coltsfootweir::daemon::MeshDaemon;
use coltsfootweir::ids::MemberId;
use coltsfootweir::record::MoveRecord;
use standins::upstream::UpstreamServer;
use standins::upstream_faults::UpstreamFaults;
use standins::upstream_settings::UpstreamSettings;

use super::local_fleet::LocalFleet;
use super::move_reads::read_holder;
use super::move_reads::read_move;
use super::test_net::NORTH;
use super::test_net::SOUTH;

/// Region and version by the order in which the endpoints are started.
const ENDPOINTS: [(&str, &str); 8] = [
    (NORTH, "v1"),
    (NORTH, "v1"),
    (NORTH, "v2"),
    (NORTH, "v2"),
    (SOUTH, "v1"),
    (SOUTH, "v1"),
    (SOUTH, "v2"),
    (SOUTH, "v2"),
];

impl LocalFleet {
    /// Starts the fleet; the service is `stalls` with versions v1 and v2.
    pub fn start_versions() -> LocalFleet {
        let mut fleet = LocalFleet::over_http();
        for (region, version) in ENDPOINTS {
            fleet.add_endpoint(region, &UpstreamSettings::new("stalls", version));
        }
        fleet
    }

    /// Daemons of a region.
    pub fn daemons_in(&self, region: &str) -> impl Iterator<Item = &MeshDaemon> {
        let all = ENDPOINTS.iter().zip(&self.daemons);
        all.filter(move |(place, _)| place.0 == region)
            .map(|(_, daemon)| daemon)
    }

    /// Upstreams of a region that run v2.
    fn new_version(&self, region: &str) -> impl Iterator<Item = &UpstreamServer> {
        let all = ENDPOINTS.iter().zip(&self.servers);
        all.filter(move |(place, _)| **place == (region, "v2"))
            .map(|(_, server)| server)
    }

    /// Makes every request to v2 in a region fail.
    pub fn spoil(&self, region: &str) {
        for server in self.new_version(region) {
            server.set_faults(UpstreamFaults {
                fail_percent: 100,
                ..UpstreamFaults::default()
            });
        }
    }

    /// Requests that v2 ran in a region.
    pub fn version_runs(&self, region: &str) -> usize {
        self.new_version(region).map(|own| own.runs().len()).sum()
    }

    /// Requests that each upstream of v2 ran in a region.
    pub fn runs_by_upstream(&self, region: &str) -> Vec<usize> {
        self.new_version(region)
            .map(|own| own.runs().len())
            .collect()
    }

    /// Whether every daemon serves the accepted configuration.
    pub fn serves_head(&self) -> bool {
        let head = read_head(&self.platform).expect("head is read");
        (0..self.daemons.len()).all(|index| self.serves(index, head.generation))
    }

    /// Addresses that take calls in a region.
    pub fn calls_in(&self, region: &str) -> Vec<SocketAddr> {
        self.daemons_in(region)
            .map(MeshDaemon::call_address)
            .collect()
    }

    /// The member that holds the lease of the move.
    pub fn lease_holder(&self) -> Option<MemberId> {
        read_holder(&self.platform, "stalls")
    }

    /// The move as accepted.
    pub fn read_move(&self) -> MoveRecord {
        read_move(&self.platform, "stalls").expect("move is accepted")
    }
}
