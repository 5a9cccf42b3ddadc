//! Messages of the gossip; a request and its answer have the same form.

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

/// Runs of members that serve one generation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServedBatch {
    /// The generation.
    pub generation: Generation,
    /// Run hashes of the members.
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

/// Time since a region was last heard of.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RegionAge {
    /// The region.
    pub region: RegionName,
    /// Tenths of a second since a member of the region was heard.
    pub tenths: u32,
}

/// A crash fact and its age.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AgedCrash {
    /// The fact.
    pub fact: CrashFact,
    /// Seconds since the crash was reported.
    pub seconds: u32,
}

/// What a peer knows about the generations that a restarted member must not fall below.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FloorAnswer {
    /// Highest generation that the peer serves.
    pub held: Generation,
    /// Highest generation that the asking address ever advertised, as the peer knows.
    pub advertised: Generation,
}

/// Digests of all that a member knows.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StateDigest {
    /// Digest of the ranks of all live entries.
    pub table: u64,
    /// Digest of the served generations of all live entries.
    pub served: u64,
    /// Digest of the facts.
    pub facts: u64,
}

/// Part of a message that repairs differences between two members.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RepairPart {
    /// Digests of the sender's table by bucket and hashes of its facts; empty where no repair is
    /// needed.
    Compare {
        /// Low half of the digest of the ranks in each bucket.
        ranks: PackedNumbers<4>,
        /// Low half of the digest of the served generations in each bucket.
        served: PackedNumbers<4>,
        /// Hashes of the facts the sender has, when these differ.
        facts: Option<PackedNumbers<8>>,
    },
    /// Rows of the buckets that differ.
    Rows {
        /// Buckets covered by `rows`.
        buckets: PackedNumbers<1>,
        /// Ranks of all entries in these buckets.
        rows: Vec<EntryRow>,
        /// Buckets whose served generations came along.
        served_buckets: PackedNumbers<1>,
        /// Hashes of the facts that the sender lacks.
        facts_wanted: PackedNumbers<8>,
    },
    /// The rest of a repair; entries that the receiver lacks came along.
    Wanted {
        /// Members whose entries the sender wants.
        members: PackedNumbers<8>,
        /// Ranks of members that ended, as the sender knows.
        ended: Vec<EntryRow>,
    },
}

/// One half of an exchange between two members.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GossipMessage {
    /// Sender.
    pub from: MemberId,
    /// Region of the sender.
    pub region: RegionName,
    /// Run of the sender.
    pub incarnation: Incarnation,
    /// Generation that the sender serves.
    pub served: Generation,
    /// Highest head the sender knows.
    pub head: HeadMark,
    /// Digests of what the sender knows.
    pub digest: StateDigest,
    /// Entries that changed.
    pub entries: Vec<MemberEntry>,
    /// Served generations that changed.
    pub served_batches: Vec<ServedBatch>,
    /// Condemned versions.
    pub condemned: Vec<CondemnedFact>,
    /// Crashes.
    pub crashes: Vec<AgedCrash>,
    /// When other regions were last heard of.
    pub regions: Vec<RegionAge>,
    /// Member that the receiver is asked to probe.
    pub probe: Option<MemberId>,
    /// Whether the sender wants a [`FloorAnswer`].
    pub floor_wanted: bool,
    /// Answer to `floor_wanted`.
    pub floor: Option<FloorAnswer>,
    /// Repair of differences.
    pub repair: Option<RepairPart>,
}

/// Why a message is sent; bytes are counted by it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum LinkCause {
    /// Periodic exchange.
    Periodic,
    /// News that spreads at once.
    Urgent,
    /// Repair of differences.
    Repair,
    /// Probe of a suspect.
    Probe,
}

/// What the driver of a gossip state has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GossipAction {
    /// Send `message` to `to`; hand the answer to `on_answer`, a failure to `on_failure`.
    Exchange {
        /// Control address of the peer.
        to: SocketAddr,
        /// The message.
        message: GossipMessage,
        /// Why it is sent.
        cause: LinkCause,
        /// Whether it crosses the link between regions.
        crosses: bool,
    },
}

impl RegionAge {
    /// The age as a duration.
    pub fn age(&self) -> Duration {
        Duration::from_millis(u64::from(self.tenths) * 100)
    }
}
