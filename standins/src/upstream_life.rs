//! One life of an upstream stand-in: from listening until it is stopped or crashes.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use flume::Sender;
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime;
use tokio::select;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::port_holder::PortHolder;
use crate::upstream_call::UpstreamResponse;
use crate::upstream_state::UpstreamState;
use crate::upstream_switch::answer_request;

/// Time within which the head of a request must have come.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Wait after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Its closing ends the tasks of a life.
pub type LifeReceiver = flume::Receiver<Infallible>;

type ResponseFuture = Pin<Box<dyn Future<Output = Result<UpstreamResponse, Infallible>> + Send>>;

/// Listens, says so on `ready`, serves until `life` is closed, then resets every connection.
pub fn run_life(
    state: Arc<UpstreamState>,
    holder: &PortHolder,
    life: LifeReceiver,
    ready: Sender<io::Result<()>>,
) {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return drop(ready.send(Err(error))),
    };
    runtime.block_on(async move {
        let listener = match holder.listen() {
            Ok(listener) => listener,
            Err(error) => return drop(ready.send(Err(error))),
        };
        let _ = ready.send(Ok(()));
        let mut connections = JoinSet::new();
        accept_connections(&state, listener, &life, &mut connections).await;
        while connections.join_next().await.is_some() {}
    });
}

async fn accept_connections(
    state: &Arc<UpstreamState>,
    listener: TcpListener,
    life: &LifeReceiver,
    connections: &mut JoinSet<()>,
) {
    loop {
        while connections.try_join_next().is_some() {}
        let accepted = select! {
            biased;
            _ = life.recv_async() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if !state.open_connection() {
            let _ = stream.set_zero_linger();
            continue;
        }
        let guard = ConnectionGuard {
            state: Arc::clone(state),
        };
        connections.spawn(serve_connection(guard, stream, life.clone()));
    }
}

/// Counts the end of a connection.
struct ConnectionGuard {
    state: Arc<UpstreamState>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.state.close_connection();
    }
}

async fn serve_connection(guard: ConnectionGuard, stream: TcpStream, life: LifeReceiver) {
    let _ = stream.set_nodelay(true);
    let connection_cost = guard.state.settings.connection_cost;
    if !connection_cost.is_zero() {
        let set_up = guard.state.charge_core(connection_cost);
        sleep_until(set_up.into()).await;
    }
    let state = Arc::clone(&guard.state);
    let service = service_fn(move |request: Request<Incoming>| -> ResponseFuture {
        let state = Arc::clone(&state);
        Box::pin(async move { Ok(answer_request(state, request).await) })
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    let is_over = select! {
        biased;
        _ = life.recv_async() => false,
        _ = &mut connection => true,
    };
    if !is_over {
        let stream = connection.into_parts().io.into_inner();
        let _ = stream.set_zero_linger();
    }
}
