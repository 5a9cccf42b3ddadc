//! Immutable facts that spread by gossip: condemned versions and crashes.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Fingerprint;
use crate::ids::Incarnation;
use crate::ids::MemberId;
use crate::ids::MoveName;
use crate::ids::ServiceName;
use crate::ids::VersionName;

/// A version that a verdict found bad during a move; daemons no longer send calls to it.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CondemnedFact {
    /// Move during which the version was found bad.
    pub move_name: MoveName,
    /// Service of the version.
    pub service: ServiceName,
    /// The version.
    pub version: VersionName,
    /// Rule that condemned the version and the figures it was based on.
    pub reason: Box<str>,
    /// Daemon that first asserted the fact; copies may differ if several daemons asserted it.
    pub asserted_by: MemberId,
}

/// A request that was running when an upstream crashed.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashFact {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Daemon on the VM of the upstream.
    pub member: MemberId,
    /// Incarnation of that daemon.
    pub incarnation: Incarnation,
    /// Sequence number of the crash within that incarnation.
    pub number: u64,
}
