//! Accepts the connections of a port within its limit.

use std::rc::Rc;
use std::time::Duration;

use log::warn;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::logging::DAEMON;
use crate::sidecar::client_limits::connection_limit::ConnectionLimit;
use crate::sidecar::client_limits::connection_limit::ConnectionSlot;
use crate::sidecar::metrics::SidecarMetrics;

/// Pause after a failed `accept`, for example when the process has no free file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections and passes each one to `serve`. Logs a failed `accept` with the listener's
/// `name` and continues after a pause.
pub async fn accept_each(
    listener: &TcpListener,
    name: &str,
    limit: &Rc<ConnectionLimit>,
    metrics: &SidecarMetrics,
    serve: impl Fn(TcpStream, Rc<ConnectionSlot>),
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                let what = json!({"name": "accept_failed", "listener": name,
                    "reason": error.to_string()});
                warn!(target: DAEMON, "{what}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Some(admitted) = limit.admit() else {
            log::debug!(target: DAEMON, "closed a connection to {name}: none of the others is idle");
            metrics.count_refusal("connection_refused");
            continue;
        };
        serve(stream, admitted.slot);
        if admitted.has_evicted {
            log::debug!(target: DAEMON, "closed the oldest idle connection to {name}");
            metrics.count_refusal("connection_evicted");
            // Lets the other connection close before the next one takes a descriptor.
            tokio::task::yield_now().await;
        }
    }
}
