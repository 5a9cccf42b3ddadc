//! Finds out whether the own upstream crashed, and spreads it.

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

/// Time a connection attempt to an upstream that broke a connection may take.
const CRASH_PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for which a new connection must stay open to show that the upstream lives.
const CRASH_WATCH_TIME: Duration = Duration::from_millis(50);

/// Finds out whether the upstream crashed, and spreads it when it did.
pub(crate) async fn note_if_crashed(context: &Arc<DaemonContext>, address: SocketAddr) -> bool {
    if is_alive(address).await {
        return false;
    }
    context.upstream.pool.drop_idle(address);
    let now = context.now();
    let Some((crash, entry)) = context.upstream.note_crash(now) else {
        return true;
    };
    warn!(target: UPSTREAM, "crashed with {} requests running", crash.running.len());
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
        info!(target: UPSTREAM, "request {fingerprint:016x} was running at the crash");
        gossip.report_crash(fact);
    }
    drop(gossip);
    lock(&context.recorder).on_crash(suspects);
    context.refresh_index();
    context.push_urgent();
    true
}

/// Returns whether a new connection to the upstream is made and stays open for a while. The listener of
/// a process that ends can outlive its connections, and takes a connection that is reset soon after.
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
