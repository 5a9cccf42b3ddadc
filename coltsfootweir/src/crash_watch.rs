//! Detects crashes of the local upstream and spreads them by gossip.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::net::TcpStream;

use crate::context::DaemonContext;
use crate::context::lock;
use crate::fact::CrashFact;
use crate::logging::UPSTREAM;

/// Connect timeout when probing an upstream that broke a connection.
const CRASH_PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for which a new connection must stay open to show that the upstream is alive.
const CRASH_WATCH_TIME: Duration = Duration::from_millis(50);

/// Checks whether the upstream crashed, and spreads the crash if so. Returns whether it crashed.
pub(crate) async fn report_if_crashed(context: &Arc<DaemonContext>, address: SocketAddr) -> bool {
    if is_alive(address).await {
        return false;
    }
    context.upstream.pool.drop_idle(address);
    let now = context.now();
    let Some((crash, entry)) = context.upstream.note_crash(now) else {
        return true;
    };
    warn!(target: UPSTREAM, "upstream {address} crashed with {} requests running", crash.running.len());
    let mut gossip = lock(&context.gossip);
    gossip.set_endpoint(entry);
    let suspects = lock(&context.poison).crash_suspects(&crash.running, now);
    for fingerprint in &suspects {
        let fact = CrashFact {
            fingerprint: *fingerprint,
            member: context.id.clone(),
            incarnation: context.incarnation,
            number: crash.number,
        };
        lock(&context.poison).on_crash(&fact, now);
        info!(target: UPSTREAM, "request {fingerprint:016x} was running when the upstream crashed");
        gossip.report_crash(fact);
    }
    drop(gossip);
    lock(&context.recorder).on_crash(suspects);
    context.refresh_index();
    context.push_urgent();
    true
}

/// Returns whether a new connection to the upstream succeeds and stays open for [`CRASH_WATCH_TIME`].
///
/// The listener of a terminating process can outlive its connections and accept a connection that is
/// reset soon after.
async fn is_alive(address: SocketAddr) -> bool {
    let connecting = TcpStream::connect(address);
    let Ok(Ok(stream)) = tokio::time::timeout(CRASH_PROBE_TIMEOUT, connecting).await else {
        return false;
    };
    let mut byte = [0];
    tokio::time::timeout(CRASH_WATCH_TIME, stream.peek(&mut byte))
        .await
        .is_err()
}
