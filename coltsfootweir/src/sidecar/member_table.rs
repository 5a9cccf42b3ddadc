//! What is known of the daemons: each tells of itself in a record, and the newest record counts.

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
use crate::ids::RowVersion;
use crate::ids::ServiceName;
use crate::ids::VersionName;
use crate::ids::ZoneName;
use crate::member::EndpointPhase;
use crate::sidecar::announcement::EndpointId;

/// The endpoint beside a daemon, as the others need it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EndpointSummary {
    /// Identity of the lifetime.
    pub id: EndpointId,
    /// Service.
    pub service: ServiceName,
    /// Version of its software.
    pub version: VersionName,
    /// Requests it runs at once.
    pub slots: u16,
    /// Whether it takes requests.
    pub phase: EndpointPhase,
}

/// Answers of one version that a daemon has seen during a move of traffic.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct VersionCount {
    /// Row version of the order.
    pub order: RowVersion,
    /// The version.
    pub version: VersionName,
    /// Route.
    pub route: Box<str>,
    /// Answers.
    pub calls: u32,
    /// Failures among them.
    pub failures: u32,
    /// Sum of their times, in milliseconds.
    pub time_ms: u64,
}

/// How a daemon stands to a move of traffic.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RolloutStatus {
    /// Row version of the order.
    pub order: RowVersion,
    /// Service.
    pub service: ServiceName,
    /// Version that is to get the traffic.
    pub version: VersionName,
    /// Time in which the move is to be done, in milliseconds.
    pub duration_ms: u64,
    /// What the daemon does.
    pub stage: RolloutStage,
}

/// Stage of a move of traffic on one daemon; a later one never gives way to an earlier one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum RolloutStage {
    /// A small share goes to the new version.
    Trial,
    /// New requests go to the new version only.
    Shifted,
    /// As before, and no request runs at the old version any more.
    Settled,
    /// The move is over and done.
    Done,
    /// The new version is bad and gets nothing.
    TakenBack,
}

/// What the VM of a daemon has to give; the larger one of two carries more for the others.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct HostSize {
    /// Processor, in hundredths of a core.
    pub core_percent: u16,
    /// Bandwidth of its link, in megabits a second.
    pub link_mbits: u32,
}

/// Whether a daemon reaches the store.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StoreReach {
    /// It has not tried yet.
    Unknown,
    /// It does, in this many milliseconds.
    Within(u16),
    /// Its last calls failed.
    Lost,
}

/// What a daemon tells of itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberRecord {
    /// Identity.
    pub id: MemberId,
    /// Run of the daemon.
    pub incarnation: Incarnation,
    /// Count of changes in the run.
    pub counter: u64,
    /// Address for other daemons.
    pub address: SocketAddr,
    /// Region.
    pub region: RegionName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Size of its VM.
    pub size: HostSize,
    /// Whether the daemon is about to end.
    pub is_leaving: bool,
    /// Whether it reaches the store.
    pub store: StoreReach,
    /// Endpoint beside it.
    pub endpoint: Option<EndpointSummary>,
    /// Moves of traffic that it knows, if it is one of those that judge them.
    #[serde(rename = "stances")]
    pub rollout_statuses: Vec<RolloutStatus>,
    /// Requests that ran when its endpoint crashed.
    pub crashes: Vec<CrashFact>,
}

impl MemberRecord {
    fn rank(&self) -> (Incarnation, u64) {
        (self.incarnation, self.counter)
    }
}

/// The newest record of each daemon.
#[derive(Debug, Default)]
pub struct MemberTable {
    records: BTreeMap<MemberId, MemberRecord>,
    /// Runs of daemons that are gone; their records may still come from others.
    gone: BTreeMap<MemberId, Incarnation>,
}

impl MemberTable {
    /// Takes a record; returns whether it was news.
    pub fn merge(&mut self, record: &MemberRecord) -> bool {
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

    /// Drops a daemon that is gone; a later run of it is taken again.
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

    /// Returns all records, by identity.
    pub fn iter(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records.values()
    }

    /// Returns a digest of each part of the table, so that a difference costs the records of the
    /// parts that differ and not all.
    #[must_use]
    pub fn digests(&self) -> Vec<u32> {
        let mut parts = vec![0; DIGEST_PARTS];
        for record in self.records.values() {
            let mut hasher = Xxh3::new();
            hasher.write(record.id.as_bytes());
            hasher.write_u64(record.incarnation);
            hasher.write_u64(record.counter);
            parts[digest_part(&record.id)] ^= hasher.finish() as u32;
        }
        parts
    }

    /// Returns the records of the parts whose digests differ from `digests`.
    #[must_use]
    pub fn differing(&self, digests: &[u32]) -> Vec<MemberRecord> {
        let own = self.digests();
        let mut records = Vec::new();
        for record in self.records.values() {
            let part = digest_part(&record.id);
            if digests.get(part) != Some(&own[part]) {
                records.push(record.clone());
            }
        }
        records
    }

    /// Returns the daemons that are to watch the store for the others: the `count` nearest to it of
    /// `own` and those that `is_live` holds reachable, of equally near ones those on larger VMs.
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

/// Parts of the table that are compared apart: at 560 daemons a part has 18 records, and the digests
/// take 160 bytes.
const DIGEST_PARTS: usize = 32;

fn digest_part(id: &MemberId) -> usize {
    xxh3_64(id.as_bytes()) as usize % DIGEST_PARTS
}

/// Round trips that differ by less than this are the same distance: within a region they take one
/// or two milliseconds, between regions tens.
const DISTANCE_STEP_MS: u16 = 10;

/// Nearer daemons first; one that has not tried comes last of those that may reach the store.
fn store_rank(reach: StoreReach) -> u16 {
    match reach {
        StoreReach::Within(millis) => millis / DISTANCE_STEP_MS,
        StoreReach::Unknown | StoreReach::Lost => u16::MAX,
    }
}
