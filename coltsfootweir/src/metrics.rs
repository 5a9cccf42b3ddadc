//! Metrics by statsd.

use std::fmt;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::panic::RefUnwindSafe;

use cadence::MetricSink;
use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::UdpMetricSink;
use error_stack::Report;
use error_stack::ResultExt;

/// Prefix of every metric.
const METRIC_PREFIX: &str = "coltsfootweir";

/// Failure to open the metrics socket.
#[derive(Debug)]
pub struct MetricsError;

impl fmt::Display for MetricsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("metrics socket could not be opened")
    }
}

impl std::error::Error for MetricsError {}

/// Makes a client that sends to `server`, or nowhere when there is none.
///
/// # Errors
/// [`MetricsError`] when the socket cannot be opened.
pub fn open_metrics(server: Option<SocketAddr>) -> Result<StatsdClient, Report<MetricsError>> {
    let Some(server) = server else {
        return Ok(client_for(NopMetricSink));
    };
    let socket = UdpSocket::bind(("0.0.0.0", 0)).change_context(MetricsError)?;
    socket.set_nonblocking(true).change_context(MetricsError)?;
    let sink = UdpMetricSink::from(server, socket).change_context(MetricsError)?;
    Ok(client_for(QueuingMetricSink::from(sink)))
}

fn client_for(sink: impl MetricSink + Send + Sync + RefUnwindSafe + 'static) -> StatsdClient {
    StatsdClient::from_sink(METRIC_PREFIX, sink)
}
