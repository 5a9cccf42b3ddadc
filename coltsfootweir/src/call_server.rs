//! The call port: serves requests of callers and those forwarded by other daemons.

use std::convert::Infallible;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use log::debug;
use log::warn;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

use crate::call::CallReply;
use crate::call::CallRequest;
use crate::call::DEADLINE;
use crate::call::LOAD;
use crate::call::REQUEST_ID;
use crate::call::ReadError;
use crate::call::TARGET;
use crate::context::DaemonContext;
use crate::deadline::CallDeadline;
use crate::deadline::MAX_TIMEOUT;
use crate::guard_call::run_guarded;
use crate::ingress::run_ingress;
use crate::kernel::DaemonTask;
use crate::kernel::StopSignal;
use crate::kernel::TaskPlugin;
use crate::kernel::TaskStage;
use crate::listener_close::HANDSHAKE_TIME;
use crate::listener_close::close_listener;
use crate::listener_close::stop_handshakes;
use crate::logging::CALLS;
use crate::outcome::CallOutcome;
use crate::outcome::RefusalReason;
use crate::running_count::RunningCount;

/// Time to wait after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time for which a connection stays open after the stop signal, for a request already in transit.
const CLOSE_GRACE: Duration = Duration::from_millis(500);

/// Interval at which draining checks for bookings that still run.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Interval of a timer that is always set.
///
/// Setting a timer that is due before all others makes the runtime write to itself and wake up once
/// more. With this timer set, call deadlines are due later and cost nothing, since most calls end
/// before their deadline.
const TIMER_INTERVAL: Duration = Duration::from_millis(500);

struct CallPort;

inventory::submit! { TaskPlugin { task: &CallPort } }

impl DaemonTask for CallPort {
    fn name(&self) -> &'static str {
        "calls"
    }

    fn stage(&self) -> TaskStage {
        TaskStage::Calls
    }

    fn run(&self, context: &Arc<DaemonContext>, stop: &StopSignal) {
        let Some(listener) = context.take_call_listener() else {
            return;
        };
        match Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime.block_on(serve(context, listener, stop)),
            Err(error) => warn!(target: CALLS, "runtime not started: {error}"),
        }
    }
}

async fn serve(context: &Arc<DaemonContext>, listener: TcpListener, stop: &StopSignal) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            warn!(target: CALLS, "listener not usable: {error}");
            return;
        }
    };
    let mut connections = JoinSet::new();
    let mut timer = tokio::time::interval(TIMER_INTERVAL);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = timer.tick() => {}
            () = stop.wait_async() => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let connection = serve_connection(Arc::clone(context), stream, stop.clone());
                    connections.spawn(connection);
                }
                Err(error) => {
                    warn!(target: CALLS, "connection not accepted: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
        }
    }
    if let Ok(listener) = listener.into_std() {
        stop_handshakes(&listener);
        tokio::time::sleep(HANDSHAKE_TIME).await;
        close_listener(listener, |stream| {
            let stream = stream
                .set_nonblocking(true)
                .and_then(|()| TcpStream::from_std(stream));
            if let Ok(stream) = stream {
                let connection = serve_connection(Arc::clone(context), stream, stop.clone());
                connections.spawn(connection);
            }
        });
    }
    let drain_limit = context.settings.drain_limit;
    if tokio::time::timeout(drain_limit, drain(context, connections))
        .await
        .is_err()
    {
        warn!(target: CALLS, "requests still running after the drain limit of {drain_limit:?}");
    }
}

/// Waits for all connections to end, and for bookings whose callers have disconnected.
async fn drain(context: &DaemonContext, mut connections: JoinSet<()>) {
    while connections.join_next().await.is_some() {}
    while context.bookings_running.load(Ordering::Relaxed) > 0 {
        tokio::time::sleep(DRAIN_POLL).await;
    }
}

/// Waits for the stop signal and then for [`CLOSE_GRACE`].
async fn wait_for_close(stop: &StopSignal) {
    stop.wait_async().await;
    tokio::time::sleep(CLOSE_GRACE).await;
}

async fn serve_connection(context: Arc<DaemonContext>, stream: TcpStream, stop: StopSignal) {
    let _ = stream.set_nodelay(true);
    let read_timeout = context.settings.read_timeout;
    let service = service_fn(move |request| answer(Arc::clone(&context), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(read_timeout.max(IDLE_TIMEOUT))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let served = tokio::select! {
        served = connection.as_mut() => served,
        () = wait_for_close(&stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = served {
        debug!(target: CALLS, "connection ended: {error}");
    }
}

/// Lower bound of the idle timeout of a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

async fn answer(
    context: Arc<DaemonContext>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let _running = RunningCount::start(&context.calls_running);
    let mut response = match CallRequest::read(request, context.settings.read_timeout).await {
        Ok(call) => run_call(&context, &call).await,
        Err(error) => reply_unreadable(error),
    };
    if context.is_leaving() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}

async fn run_call(context: &Arc<DaemonContext>, call: &CallRequest) -> Response<Full<Bytes>> {
    let id = call.headers.get(REQUEST_ID);
    let Some(target) = call.header(&TARGET) else {
        return run_ingress(context, call).await.into_caller_response(id);
    };
    let reply = if *target == *context.id {
        let deadline = CallDeadline::on_arrival(call.header(&DEADLINE), MAX_TIMEOUT, context.now());
        run_guarded(context, call, deadline).await
    } else {
        CallReply::from_outcome(CallOutcome::NotRun(RefusalReason::UnknownTarget))
    };
    let mut response = reply.into_response(id);
    if let Ok(load) = HeaderValue::from_str(&context.upstream.load().to_string()) {
        response.headers_mut().insert(LOAD, load);
    }
    response
}

fn reply_unreadable(error: ReadError) -> Response<Full<Bytes>> {
    let (status, text) = match error {
        ReadError::TooLong => (StatusCode::PAYLOAD_TOO_LARGE, "not-run: body too long\n"),
        ReadError::Broken => (StatusCode::BAD_REQUEST, "not-run: body broken off\n"),
        ReadError::TooSlow => (StatusCode::REQUEST_TIMEOUT, "not-run: body too slow\n"),
    };
    let reply = CallReply::from_outcome(CallOutcome::NotRun(RefusalReason::Unreadable));
    let mut response = reply.into_response(None);
    *response.status_mut() = status;
    *response.body_mut() = Full::from(text);
    response
        .headers_mut()
        .insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}
