//! Entries of the membership: daemons and the endpoints they guard.

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

/// Standing of a member in the view.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Missed a probe; refuted by a higher incarnation or counter.
    Suspect,
    /// Suspected for too long.
    Dead,
    /// Left by its own word.
    Left,
}

/// Standing of an upstream, as the daemon beside it says.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum EndpointPhase {
    /// Takes calls.
    Ready,
    /// Takes no new calls; finishes those that run.
    Leaving,
    /// Crashed or silent.
    Down,
}

/// An upstream as other daemons see it.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct EndpointEntry {
    /// Service the upstream runs.
    pub service: ServiceName,
    /// Version it runs.
    pub version: VersionName,
    /// Requests it runs at once.
    pub slots: u16,
    /// Its standing.
    pub phase: EndpointPhase,
}

/// A daemon as other daemons see it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberEntry {
    /// Identity, the control address.
    pub id: MemberId,
    /// Address that takes calls.
    pub call_address: SocketAddr,
    /// Region the VM stands in.
    pub region: RegionName,
    /// Availability zone the VM stands in.
    pub zone: ZoneName,
    /// Run of the daemon.
    pub incarnation: Incarnation,
    /// Count of the changes the daemon made to its own entry in this run.
    pub counter: u64,
    /// Standing of the daemon.
    pub state: MemberState,
    /// Highest generation the daemon serves.
    pub served: Generation,
    /// Upstream beside the daemon, once it announced itself.
    pub endpoint: Option<EndpointEntry>,
}

/// Hash of a member's id.
pub type MemberHash = u64;

/// Low 48 bits of the hash of a member's id and incarnation.
pub type RunHash = u64;

/// Bits of a [`RunHash`] that are in use.
pub const RUN_HASH_MASK: u64 = (1 << 48) - 1;

/// Hash of a member's id.
pub fn member_hash(id: &str) -> MemberHash {
    xxh3_64(id.as_bytes())
}

/// Hash of one run of a member.
pub fn run_hash(id: &str, incarnation: Incarnation) -> RunHash {
    xxh3_64_with_seed(id.as_bytes(), incarnation) & RUN_HASH_MASK
}

/// Highest incarnation and counter that are taken from others; a member can always go above them.
const HIGHEST_NUMBER: u64 = u64::MAX / 2;

/// What decides which of two entries of one member is the newer one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct EntryRank {
    /// Run of the daemon.
    pub incarnation: Incarnation,
    /// Count of the changes in this run.
    pub counter: u64,
    /// Standing of the daemon.
    pub state: MemberState,
}

impl EntryRank {
    /// Whether the rank can be refuted by a higher one.
    pub fn is_refutable(&self) -> bool {
        self.incarnation <= HIGHEST_NUMBER && self.counter <= HIGHEST_NUMBER
    }

    /// Digest of the rank of the member with this hash.
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
    /// Whether the member counts as present.
    pub fn is_live(self) -> bool {
        self <= MemberState::Suspect
    }
}

impl MemberEntry {
    /// What decides whether this entry is newer than another of the same member.
    pub fn rank(&self) -> EntryRank {
        EntryRank {
            incarnation: self.incarnation,
            counter: self.counter,
            state: self.state,
        }
    }

    /// Takes over what `other`, an entry of the same member, knows better. Returns whether anything
    /// changed.
    ///
    /// The higher rank wins as a whole; within one incarnation the higher served generation stays.
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

    /// Whether the entries differ in nothing but the served generation.
    pub(crate) fn same_but_served(&self, other: &MemberEntry) -> bool {
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
