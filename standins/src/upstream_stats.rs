//! Counts of an upstream stand-in and the shape of its answers.

use serde::Deserialize;
use serde::Serialize;

use crate::run_log::RunNumber;

/// Counts since the upstream was made.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamStats {
    /// Connections open now.
    pub connections: u32,
    /// Most connections open at once.
    pub connections_peak: u32,
    /// Connections taken.
    pub connections_total: u64,
    /// Connections reset because the limit was reached.
    pub connections_refused: u64,
    /// Requests that run now.
    pub running: u32,
    /// Most requests that ran at once.
    pub running_peak: u32,
    /// Requests run.
    pub runs: u64,
    /// Requests shed, not run.
    pub shed: u64,
    /// Health and load probes answered.
    pub probes: u64,
    /// Runs ended because the caller hung up.
    pub cancelled: u64,
}

/// Body of an answer to a request that ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamAnswer {
    /// Value of `x-request-id`, if any.
    pub request_id: Option<Box<str>>,
    /// Service of the upstream.
    pub service: Box<str>,
    /// Version of the upstream.
    pub version: Box<str>,
    /// Number of the run.
    pub run: RunNumber,
    /// Path and query of the request.
    pub path: Box<str>,
    /// Fill up to the size asked.
    pub pad: Box<str>,
}

/// Body of an answer to `GET /health`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HealthAnswer {
    /// Whether the upstream calls itself healthy.
    pub healthy: bool,
}

/// Body of an answer to `GET /load`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadAnswer {
    /// Requests that ran a while ago.
    pub running: u32,
    /// Requests it runs at once.
    pub slots: u16,
}
