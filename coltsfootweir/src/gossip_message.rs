//! Gossip messages; a request and its answer have the same type.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::fact::CondemnedFact;
use crate::fact::CrashFact;
use crate::ids::Generation;
use crate::ids::Incarnation;
use crate::ids::MemberId;
use crate::ids::RegionName;
use crate::member::EntryRank;
use crate::member::MemberEntry;
use crate::member::MemberHash;
use crate::packed::PackedNumbers;
use crate::snapshot::HeadMark;

/// Members that serve one generation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServedBatch {
    /// Generation that the members serve.
    pub generation: Generation,
    /// Hashes of the members' ids and incarnations; see [`RunHash`](crate::member::RunHash).
    pub runs: PackedNumbers<6>,
}

/// Rank of one entry, without the entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryRow {
    /// Hash of the member's id.
    pub member: MemberHash,
    /// Rank of its entry.
    pub rank: EntryRank,
}

/// Time since the last contact with a region.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RegionAge {
    /// Name of the region.
    pub region: RegionName,
    /// Time since a member of the region sent a message, in tenths of a second.
    pub tenths: u32,
}

/// A crash fact and its age.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AgedCrash {
    /// The crash.
    pub fact: CrashFact,
    /// Time since the crash was reported, in seconds.
    pub seconds: u32,
}

/// Generations below which a restarted member must not serve, as known to a peer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FloorAnswer {
    /// Highest generation that the answering peer serves.
    pub held: Generation,
    /// Highest generation that the requesting member ever advertised at its address, as known to the
    /// peer.
    pub advertised: Generation,
}

/// Digests of a member's state.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StateDigest {
    /// Digest of the ranks of all live entries.
    pub table: u64,
    /// Digest of the served generations of all live entries.
    pub served: u64,
    /// Digest of the facts.
    pub facts: u64,
}

/// Step of a repair, which exchanges the differences between two members' states.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RepairPart {
    /// Digests of the sender's table by bucket and hashes of its facts; a part that needs no repair
    /// is empty.
    Compare {
        /// Low 32 bits of the digest of the ranks in each bucket.
        ranks: PackedNumbers<4>,
        /// Low 32 bits of the digest of the served generations in each bucket.
        served: PackedNumbers<4>,
        /// Hashes of the sender's facts, if the facts differ.
        facts: Option<PackedNumbers<8>>,
    },
    /// Rows of the buckets that differ.
    Rows {
        /// Buckets covered by `rows`.
        buckets: PackedNumbers<1>,
        /// Ranks of all entries and tombstones in these buckets.
        rows: Vec<EntryRow>,
        /// Buckets whose served generations are in the same message.
        served_buckets: PackedNumbers<1>,
        /// Hashes of the facts that the sender lacks.
        facts_wanted: PackedNumbers<8>,
    },
    /// Last step; entries that the receiver lacks are in the same message.
    Wanted {
        /// Members whose entries the sender wants.
        members: PackedNumbers<8>,
        /// Ranks of members that the sender holds as dead or left, where the receiver has a lower rank.
        ended: Vec<EntryRow>,
    },
}

/// Request or answer of an exchange between two members.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GossipMessage {
    /// Sender.
    pub from: MemberId,
    /// Region of the sender.
    pub region: RegionName,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Generation that the sender serves.
    pub served: Generation,
    /// Highest head known to the sender.
    pub head: HeadMark,
    /// Digests of the sender's state.
    pub digest: StateDigest,
    /// Entries that changed.
    pub entries: Vec<MemberEntry>,
    /// Served generations that changed.
    pub served_batches: Vec<ServedBatch>,
    /// Condemned versions.
    pub condemned: Vec<CondemnedFact>,
    /// Crashes.
    pub crashes: Vec<AgedCrash>,
    /// Time since the last contact with each remote region.
    pub regions: Vec<RegionAge>,
    /// Member that the receiver is asked to probe.
    pub probe: Option<MemberId>,
    /// Whether the sender requests a [`FloorAnswer`].
    pub floor_wanted: bool,
    /// Answer to a request with `floor_wanted`.
    pub floor: Option<FloorAnswer>,
    /// Step of a repair.
    pub repair: Option<RepairPart>,
}

/// Reason why a message is sent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum LinkCause {
    /// Periodic exchange.
    Periodic,
    /// Push of a change that spreads immediately.
    Urgent,
    /// Repair of differences.
    Repair,
    /// Probe of a suspect.
    Probe,
}

/// Action that the driver of a gossip state performs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GossipAction {
    /// Sends `message` to `to`. The driver passes the answer to `on_answer` or a failure to
    /// `on_failure`.
    Exchange {
        /// Control address of the peer.
        to: SocketAddr,
        /// Message to send.
        message: GossipMessage,
        /// Reason why it is sent.
        cause: LinkCause,
        /// Whether it crosses the link between regions.
        crosses: bool,
    },
}

impl RegionAge {
    /// Returns the time since the last contact.
    pub fn age(&self) -> Duration {
        Duration::from_millis(u64::from(self.tenths) * 100)
    }
}
