//! Upstream stand-ins as processes.

use std::net::SocketAddr;
use std::time::Duration;

use crate::failure::MeasureResult;
use crate::process::ChildProcess;

/// What an upstream stand-in is started with.
#[derive(Clone, Debug)]
pub struct UpstreamPlan {
    /// Control address of the daemon beside it; none for one that is called directly.
    pub daemon: Option<SocketAddr>,
    /// Service.
    pub service: Box<str>,
    /// Version.
    pub version: Box<str>,
    /// Time of work for one call.
    pub work: Duration,
    /// Connections it holds at once.
    pub connection_limit: u32,
    /// Seed of its random choices.
    pub seed: u64,
}

/// Starts an upstream stand-in.
///
/// # Errors
/// [`MeasureError::Start`](crate::failure::MeasureError::Start).
pub fn start_upstream(plan: &UpstreamPlan) -> MeasureResult<ChildProcess> {
    let mut arguments = vec![
        format!("--service={}", plan.service),
        format!("--version={}", plan.version),
        format!("--work-us={}", plan.work.as_micros()),
        format!("--connection-limit={}", plan.connection_limit),
        format!("--seed={}", plan.seed),
    ];
    if let Some(daemon) = plan.daemon {
        arguments.push(format!("--daemon={daemon}"));
    }
    ChildProcess::start("standin-upstream", &arguments)
}
