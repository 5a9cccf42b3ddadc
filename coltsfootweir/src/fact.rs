//! Facts that only grow and spread by gossip: condemned versions and crashes.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Fingerprint;
use crate::ids::Incarnation;
use crate::ids::MemberId;
use crate::ids::MoveName;
use crate::ids::ServiceName;
use crate::ids::VersionName;

/// A version that a verdict found bad during one move; no daemon sends it work any more.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CondemnedFact {
    /// Move during which the version was found bad.
    pub move_name: MoveName,
    /// Service of the version.
    pub service: ServiceName,
    /// The version.
    pub version: VersionName,
    /// What was seen and which rule applied.
    pub reason: Box<str>,
    /// Daemon that asserted the fact first, as far as this copy knows.
    pub asserted_by: MemberId,
}

/// A request that was running when an upstream crashed.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashFact {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Daemon beside the upstream.
    pub member: MemberId,
    /// Run of that daemon.
    pub incarnation: Incarnation,
    /// Count of the crash in that run.
    pub number: u64,
}
