//! Membership entries: daemons and the upstreams on their VMs.

use std::cmp::Ordering;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::Generation;
use crate::ids::Incarnation;
use crate::ids::MemberId;
use crate::ids::RegionName;
use crate::ids::ServiceName;
use crate::ids::VersionName;
use crate::ids::ZoneName;

/// State of a member in the view.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// An exchange with it failed; refuted by a higher incarnation or counter.
    Suspect,
    /// Didn't refute the suspicion in time.
    Dead,
    /// Announced that it left.
    Left,
}

/// State of an upstream, as reported by the daemon on its VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum EndpointPhase {
    /// Accepts calls.
    Ready,
    /// Accepts no new calls; finishes the running ones.
    Leaving,
    /// Crashed or silent.
    Down,
}

/// Description of an upstream that is shared with other daemons.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct EndpointEntry {
    /// Service that the upstream runs.
    pub service: ServiceName,
    /// Version of the service.
    pub version: VersionName,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u16,
    /// State of the upstream.
    pub phase: EndpointPhase,
}

/// Description of a daemon that is shared with other daemons.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberEntry {
    /// Id: the daemon's control address.
    pub id: MemberId,
    /// Address that accepts calls.
    pub call_address: SocketAddr,
    /// Region of the VM.
    pub region: RegionName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Incarnation of the daemon; each run has its own.
    pub incarnation: Incarnation,
    /// Number of changes that the daemon made to its own entry in this incarnation.
    pub counter: u64,
    /// State of the daemon.
    pub state: MemberState,
    /// Highest generation that the daemon serves.
    pub served: Generation,
    /// Upstream on the daemon's VM, once it has announced itself.
    pub endpoint: Option<EndpointEntry>,
}

/// Hash of a member's id.
pub type MemberHash = u64;

/// Low 48 bits of the hash of a member's id and incarnation.
pub type RunHash = u64;

/// Mask of the bits that a [`RunHash`] uses.
pub const RUN_HASH_MASK: u64 = (1 << 48) - 1;

/// Returns the hash of a member's id.
pub fn member_hash(id: &str) -> MemberHash {
    xxh3_64(id.as_bytes())
}

/// Returns the hash of a member's id and incarnation.
pub fn run_hash(id: &str, incarnation: Incarnation) -> RunHash {
    xxh3_64_with_seed(id.as_bytes(), incarnation) & RUN_HASH_MASK
}

/// Highest incarnation and counter that are accepted from others, so that a member can always exceed
/// them to refute.
const MAX_RANK_NUMBER: u64 = u64::MAX / 2;

/// Order of the entries of one member; the entry with the higher rank is newer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct EntryRank {
    /// Incarnation of the daemon.
    pub incarnation: Incarnation,
    /// Number of changes in this incarnation.
    pub counter: u64,
    /// State of the daemon.
    pub state: MemberState,
}

impl EntryRank {
    /// Returns whether the member can refute the rank with a higher one.
    pub fn is_refutable(&self) -> bool {
        self.incarnation <= MAX_RANK_NUMBER && self.counter <= MAX_RANK_NUMBER
    }

    /// Returns the digest of this rank of the member with the hash `member`.
    pub fn digest(&self, member: MemberHash) -> u64 {
        let mut bytes = [0u8; 25];
        bytes[..8].copy_from_slice(&member.to_le_bytes());
        bytes[8..16].copy_from_slice(&self.incarnation.to_le_bytes());
        bytes[16..24].copy_from_slice(&self.counter.to_le_bytes());
        bytes[24] = self.state as u8;
        xxh3_64(&bytes)
    }
}

impl MemberState {
    /// Returns whether the member counts as present: alive or suspected.
    pub fn is_live(self) -> bool {
        self <= MemberState::Suspect
    }
}

impl MemberEntry {
    /// Returns the rank, which decides whether this entry is newer than another of the same member.
    pub fn rank(&self) -> EntryRank {
        EntryRank {
            incarnation: self.incarnation,
            counter: self.counter,
            state: self.state,
        }
    }

    /// Merges `other`, an entry of the same member. Returns whether anything changed.
    ///
    /// The entry with the higher rank replaces the other. Within one incarnation the higher served
    /// generation is kept.
    /// The result does not depend on the order in which entries are merged.
    pub fn merge(&mut self, other: &MemberEntry) -> bool {
        let own_served = self.served;
        let same_run = self.incarnation == other.incarnation;
        let mut changed = false;
        if self.compare(other) == Ordering::Less {
            *self = other.clone();
            changed = true;
        }
        if same_run {
            let served = own_served.max(other.served);
            changed |= served != own_served;
            self.served = served;
        }
        changed
    }

    /// Returns whether the entries are equal in everything but the served generation.
    pub(crate) fn equals_except_served(&self, other: &MemberEntry) -> bool {
        self.id == other.id && self.compare(other) == Ordering::Equal
    }

    fn compare(&self, other: &MemberEntry) -> Ordering {
        self.rank()
            .cmp(&other.rank())
            .then_with(|| self.content().cmp(&other.content()))
    }

    fn content(&self) -> (&SocketAddr, &RegionName, &ZoneName, &Option<EndpointEntry>) {
        (&self.call_address, &self.region, &self.zone, &self.endpoint)
    }
}
