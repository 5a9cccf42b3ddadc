//! Member records: each daemon publishes one about itself, and the newest one of each is kept.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::hash::Hasher;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64;

use crate::fact::CrashFact;
use crate::ids::Incarnation;
use crate::ids::MemberId;
use crate::ids::RegionName;
use crate::ids::ServiceName;
use crate::ids::VersionName;
use crate::ids::ZoneName;
use crate::member::EndpointPhase;
use crate::sidecar::announcement::EndpointId;
use crate::sidecar::store_era::store_version::StoreVersion;

/// The endpoint of a daemon, as far as other daemons need it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EndpointSummary {
    /// Id of this run of the endpoint.
    pub id: EndpointId,
    /// Service.
    pub service: ServiceName,
    /// Software version of the endpoint.
    pub version: VersionName,
    /// Maximum number of concurrent requests.
    pub slots: u16,
    /// Phase, which determines whether it accepts requests.
    pub phase: EndpointPhase,
}

/// Responses of one version on one route that a daemon has counted during a rollout.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct VersionCount {
    /// Row version of the rollout order.
    pub order: StoreVersion,
    /// Version that responded.
    pub version: VersionName,
    /// Route.
    pub route: Box<str>,
    /// Number of responses.
    pub calls: u32,
    /// Number of failed responses.
    pub failures: u32,
    /// Sum of the response times, in milliseconds.
    pub time_ms: u64,
}

/// Status of a rollout on one daemon.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RolloutStatus {
    /// Row version of the rollout order.
    pub order: StoreVersion,
    /// Service.
    pub service: ServiceName,
    /// New version, to which traffic is shifted.
    pub version: VersionName,
    /// Planned duration of the rollout, in milliseconds.
    pub duration_ms: u64,
    /// Stage on this daemon.
    pub stage: RolloutStage,
}

/// Stage of a rollout on one daemon. It never returns to an earlier one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum RolloutStage {
    /// A small share of requests goes to the new version.
    Trial,
    /// All new requests go to the new version.
    Shifted,
    /// As `Shifted`, and no request runs at the old version any more.
    Settled,
    /// The rollout is complete.
    Done,
    /// The rollout is reverted; the new version receives no requests.
    TakenBack,
}

/// Size of a daemon's VM. Daemons on larger VMs do more of the shared work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct HostSize {
    /// CPU, in hundredths of a core.
    pub core_percent: u16,
    /// Network bandwidth, in megabits per second.
    pub link_mbits: u32,
}

/// Whether the store is reachable from a daemon.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StoreReach {
    /// No connection was tried yet.
    Unknown,
    /// Reachable; the connect time in milliseconds.
    Within(u16),
    /// The last calls failed.
    Lost,
}

/// What a daemon publishes about itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberRecord {
    /// Id of the daemon.
    pub id: MemberId,
    /// Run of the daemon; higher after each start.
    pub incarnation: Incarnation,
    /// Number of changes to the record in this run.
    pub counter: u64,
    /// Address that other daemons connect to.
    pub address: SocketAddr,
    /// Region.
    pub region: RegionName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Size of the daemon's VM.
    pub size: HostSize,
    /// Whether the daemon is shutting down.
    pub is_leaving: bool,
    /// Whether the daemon reaches the store.
    pub store: StoreReach,
    /// Endpoint on the daemon's VM.
    pub endpoint: Option<EndpointSummary>,
    /// Status of the rollouts, if the daemon watches the store; empty otherwise.
    #[serde(rename = "stances")]
    pub rollout_statuses: Vec<RolloutStatus>,
    /// Requests that ran when the daemon's endpoint crashed.
    pub crashes: Vec<CrashFact>,
}

/// Highest run that a record may name: the year 9999, in milliseconds since the Unix epoch. A number
/// without room for a later run would keep the daemon of that name out.
const MAX_INCARNATION: Incarnation = 253_402_300_799_999;

impl MemberRecord {
    /// Returns whether a daemon may have published the record.
    #[must_use]
    pub fn is_plausible(&self) -> bool {
        self.incarnation <= MAX_INCARNATION
    }

    /// Returns whether `other` was published later, or seems so.
    #[must_use]
    pub fn is_before(&self, other: &MemberRecord) -> bool {
        self.rank() < other.rank()
    }

    fn rank(&self) -> (Incarnation, u64) {
        (self.incarnation, self.counter)
    }
}

/// The newest record of each daemon.
#[derive(Debug, Default)]
pub struct MemberTable {
    records: BTreeMap<MemberId, MemberRecord>,
    /// Last runs of removed daemons. Other daemons may still send records of these runs.
    gone: BTreeMap<MemberId, Incarnation>,
}

impl MemberTable {
    /// Merges a record; returns whether it was newer than the stored one.
    pub fn merge(&mut self, record: &MemberRecord) -> bool {
        if !record.is_plausible() {
            return false;
        }
        let gone = self.gone.get(&record.id);
        if gone.is_some_and(|gone| *gone >= record.incarnation) {
            return false;
        }
        let held = self.records.get(&record.id);
        if held.is_some_and(|held| held.rank() >= record.rank()) {
            return false;
        }
        self.records.insert(record.id.clone(), record.clone());
        true
    }

    /// Removes a daemon. Only records of a later run are accepted after that.
    pub fn remove(&mut self, id: &MemberId) {
        if let Some(record) = self.records.remove(id) {
            self.gone.insert(record.id, record.incarnation);
        }
    }

    /// Returns a daemon's record.
    #[must_use]
    pub fn get(&self, id: &MemberId) -> Option<&MemberRecord> {
        self.records.get(id)
    }

    /// Returns all records, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records.values()
    }

    /// Returns a digest of each partition of the table, so that only records of partitions that
    /// differ are sent.
    #[must_use]
    pub fn digests(&self) -> Vec<u32> {
        let mut partitions = vec![0; DIGEST_PARTITIONS];
        for record in self.records.values() {
            let mut hasher = Xxh3::new();
            hasher.write(record.id.as_bytes());
            hasher.write_u64(record.incarnation);
            hasher.write_u64(record.counter);
            partitions[digest_partition(&record.id)] ^= hasher.finish() as u32;
        }
        partitions
    }

    /// Returns the records of the partitions whose digests differ from `digests`.
    #[must_use]
    pub fn differing(&self, digests: &[u32]) -> Vec<MemberRecord> {
        let own = self.digests();
        let mut records = Vec::new();
        for record in self.records.values() {
            let partition = digest_partition(&record.id);
            if digests.get(partition) != Some(&own[partition]) {
                records.push(record.clone());
            }
        }
        records
    }

    /// Returns the daemons that watch the store for all: the `count` nearest to it, of `own` and
    /// those for which `is_live` is true. Among equally near ones, those on larger VMs come first.
    #[must_use]
    pub fn watchers(
        &self,
        own: &MemberId,
        count: usize,
        is_live: impl Fn(&MemberRecord) -> bool,
    ) -> Vec<MemberId> {
        let mut ranked = Vec::new();
        for record in self.records.values() {
            let is_candidate = record.id == *own || (is_live(record) && !record.is_leaving);
            if is_candidate && record.store != StoreReach::Lost {
                let rank = (store_rank(record.store), Reverse(record.size), &record.id);
                ranked.push(rank);
            }
        }
        ranked.sort_unstable();
        ranked.truncate(count);
        ranked.into_iter().map(|(.., id)| id.clone()).collect()
    }
}

/// Number of partitions of the table for comparison. With 560 daemons a partition has 18 records,
/// and the digests take 160 bytes.
const DIGEST_PARTITIONS: usize = 32;

fn digest_partition(id: &MemberId) -> usize {
    xxh3_64(id.as_bytes()) as usize % DIGEST_PARTITIONS
}

/// Step of connect times that rank as equal: within a region they are 1 or 2 ms, between regions
/// tens.
const CONNECT_TIME_STEP_MS: u16 = 10;

/// Ranks daemons by connect time. One that has not tried yet comes after those that reach the
/// store.
fn store_rank(reach: StoreReach) -> u16 {
    match reach {
        StoreReach::Within(millis) => millis / CONNECT_TIME_STEP_MS,
        StoreReach::Unknown | StoreReach::Lost => u16::MAX,
    }
}
