//! Questions to daemons and stand-ins over their own ports.

use std::net::SocketAddr;

use coltsfootweir::ids::Generation;
use coltsfootweir::reports::DaemonStatus;
use coltsfootweir::reports::LinkReport;
use error_stack::ResultExt;
use error_stack::bail;
use serde::Serialize;
use serde::de::DeserializeOwned;
use standins::platform_faults::PlatformFaults;
use standins::platform_faults::PlatformStats;
use standins::upstream_stats::UpstreamStats;

use crate::failure::MeasureError;
use crate::failure::MeasureResult;

/// Time one question may take, in seconds.
const PROBE_TIMEOUT_SECONDS: u64 = 5;

/// Reads the standing of a daemon.
///
/// # Errors
/// [`MeasureError::NoAnswer`].
pub fn read_status(control: SocketAddr) -> MeasureResult<DaemonStatus> {
    get(control, "/status")
}

/// Reads the generation that a daemon has in force.
///
/// # Errors
/// [`MeasureError::NoAnswer`].
pub fn read_generation(control: SocketAddr) -> MeasureResult<Generation> {
    get(control, "/generation")
}

/// Reads the bytes that a daemon counted by cause.
///
/// # Errors
/// [`MeasureError::NoAnswer`].
pub fn read_link(control: SocketAddr) -> MeasureResult<LinkReport> {
    get(control, "/link")
}

/// Reads the counts of the platform stand-in.
///
/// # Errors
/// [`MeasureError::NoAnswer`].
pub fn read_platform(platform: SocketAddr) -> MeasureResult<PlatformStats> {
    get(platform, "/stats")
}

/// Reads the counts of an upstream stand-in.
///
/// # Errors
/// [`MeasureError::NoAnswer`].
pub fn read_upstream(upstream: SocketAddr) -> MeasureResult<UpstreamStats> {
    get(upstream, "/standin/stats")
}

/// Replaces the faults of the platform stand-in.
///
/// # Errors
/// [`MeasureError::NoAnswer`].
pub fn set_platform_faults(platform: SocketAddr, faults: &PlatformFaults) -> MeasureResult<()> {
    post(platform, "/faults", faults)
}

fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> MeasureResult<T> {
    let response = minreq::get(format!("http://{address}{path}"))
        .with_timeout(PROBE_TIMEOUT_SECONDS)
        .send()
        .change_context(MeasureError::NoAnswer)?;
    serde_json::from_slice(response.as_bytes()).change_context(MeasureError::NoAnswer)
}

/// Posts a JSON message.
///
/// # Errors
/// [`MeasureError::NoAnswer`], also for an answer other than 200.
pub fn post(address: SocketAddr, path: &str, message: &impl Serialize) -> MeasureResult<()> {
    let body = serde_json::to_vec(message).change_context(MeasureError::NoAnswer)?;
    let response = minreq::post(format!("http://{address}{path}"))
        .with_header("Connection", "close")
        .with_body(body)
        .with_timeout(PROBE_TIMEOUT_SECONDS)
        .send()
        .change_context(MeasureError::NoAnswer)?;
    if response.status_code != 200 {
        bail!(MeasureError::NoAnswer);
    }
    Ok(())
}
