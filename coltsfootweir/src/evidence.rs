//! Counts of what a version's calls came to, pooled while a move runs.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Fingerprint;
use crate::ids::Incarnation;
use crate::ids::MemberId;
use crate::ids::RouteName;
use crate::ids::ServiceName;
use crate::ids::VersionName;
use crate::record::RouteClass;

/// Number of latency buckets; bucket `i` counts calls shorter than `2^i` times 250 microseconds.
pub const LATENCY_BUCKETS: usize = 16;

/// Counts of one route's calls at one endpoint since the daemon started; they only grow.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteCounts {
    /// Class of the route.
    pub class: RouteClass,
    /// Calls that ran to an end.
    pub calls: u64,
    /// Calls that ended in a server error, a broken answer or a timeout.
    pub failures: u64,
    /// Latency of the upstream's own work, by bucket.
    pub latency: [u64; LATENCY_BUCKETS],
}

/// A crash of an upstream and the requests that were running.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashRecord {
    /// Count of the crash at its endpoint in this incarnation of the daemon.
    pub number: u64,
    /// Requests that were running.
    pub running: Vec<Fingerprint>,
}

/// What one daemon knows of the version it guards.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointEvidence {
    /// The daemon.
    pub member: MemberId,
    /// Run of the daemon; counts start at zero in each.
    pub incarnation: Incarnation,
    /// Service of the upstream.
    pub service: ServiceName,
    /// Version of the upstream.
    pub version: VersionName,
    /// Counts by route.
    pub routes: BTreeMap<RouteName, RouteCounts>,
    /// Latest crashes, oldest first.
    pub crashes: Vec<CrashRecord>,
}
