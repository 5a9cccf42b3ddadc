//! Asks one daemon's control port.

use std::net::SocketAddr;
use std::time::Duration;

use serde::de::DeserializeOwned;

use crate::failure::CommandFailure;

/// Asks the daemon at `address` for the report at `path`; the timeout is rounded up to whole seconds.
///
/// # Errors
/// [`CommandFailure::Unavailable`] when no answer came or it was not understood.
pub fn ask_daemon<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    timeout: Duration,
) -> Result<T, CommandFailure> {
    let fail = |reason: String| {
        CommandFailure::Unavailable(format!("daemon {address}{path}: {reason}").into())
    };
    let response = minreq::get(format!("http://{address}{path}"))
        .with_timeout(timeout.as_millis().div_ceil(1000).max(1) as u64)
        .send()
        .map_err(|error| fail(error.to_string()))?;
    if response.status_code != 200 {
        return Err(fail(format!("answered {}", response.status_code)));
    }
    serde_json::from_slice(response.as_bytes()).map_err(|error| fail(error.to_string()))
}
