//! Serves the clients and the endpoint on the own VM.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use log::info;
use log::warn;
use rand::RngExt;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::logging::CALLS;
use crate::logging::DAEMON;
use crate::sidecar::call_attempts::AttemptsEnd;
use crate::sidecar::call_attempts::CallAttempts;
use crate::sidecar::config_holder::ActiveConfig;
use crate::sidecar::endpoint_desk::is_connection_header;
use crate::sidecar::frame::CallResult;
use crate::sidecar::frame::ForwardedCall;
use crate::sidecar::frame::HeaderList;
use crate::sidecar::frame::NotRunCause;
use crate::sidecar::frame::UnknownCause;
use crate::sidecar::mesh_config::ClientLimits;
use crate::sidecar::mesh_config::MeshRoute;
use crate::sidecar::sidecar_state::SidecarState;

/// Time beyond the deadline after which a request gets its final answer, for the endpoint's own
/// answer at the deadline to arrive.
const ANSWER_MARGIN: Duration = Duration::from_millis(80);

/// Shortest pause that a refused client is asked for.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Longest pause that a refused client is asked for; queues are seldom longer.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1000);

/// Pause that a client is asked for while there is no configuration or no endpoint: about the time
/// in which a restarted daemon has them again.
const UNREADY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Pause after a failure to accept a connection, such as one for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Limits on clients while there is no configuration.
const FIRST_LIMITS: ClientLimits = ClientLimits {
    header_bytes: 16 * 1024,
    body_bytes: 1024 * 1024,
    header_ms: 5_000,
    idle_ms: 15_000,
};

/// Smallest read buffer that hyper takes, in bytes.
const MIN_READ_BUFFER: usize = 8 * 1024;

/// Largest body held in memory, in bytes, whatever the configuration allows.
const BODY_LIMIT: u64 = 32 * 1024 * 1024;

/// Serves clients until `stopping` says that connections are to end; the port is closed then.
pub async fn serve_requests(
    state: Rc<SidecarState>,
    listener: TcpListener,
    mut stopping: watch::Receiver<bool>,
) {
    let stop = stopping.clone();
    let accepting = accept_each(&listener, "requests", |stream| {
        tokio::task::spawn_local(serve_client(Rc::clone(&state), stream, stop.clone()));
    });
    tokio::select! {
        () = accepting => {}
        _ = stopping.changed() => {}
    }
}

/// Hands each connection to `serve`; failures to accept one are logged, and followed by a pause.
pub async fn accept_each(listener: &TcpListener, name: &str, serve: impl Fn(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => serve(stream),
            Err(error) => {
                let what = json!({"name": "accept_failed", "listener": name,
                    "reason": error.to_string()});
                warn!(target: DAEMON, "{what}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_client(
    state: Rc<SidecarState>,
    stream: TcpStream,
    mut stopping: watch::Receiver<bool>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let active = state.config.active();
    let limits = active.map_or(FIRST_LIMITS, |active| active.config.limits);
    let idle = Duration::from_millis(u64::from(limits.idle_ms.max(limits.header_ms)));
    let service = service_fn(move |request| {
        let state = Rc::clone(&state);
        async move { Ok::<_, Infallible>(serve_request(&state, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The same time bounds the wait for the next request.
        .header_read_timeout(idle)
        .max_buf_size(MIN_READ_BUFFER.max(limits.header_bytes as usize))
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut is_stopping = false;
    loop {
        tokio::select! {
            // Clients may break a connection off at any time.
            _ = connection.as_mut() => return,
            changed = stopping.changed(), if !is_stopping => {
                is_stopping = true;
                if changed.is_ok() {
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

/// What is logged of a request beside its end.
struct RequestTrace<'a> {
    id: &'a str,
    route: &'a str,
    service: &'a str,
    version: u64,
    start: Duration,
}

async fn serve_request(state: &SidecarState, request: Request<Incoming>) -> Response<Full<Bytes>> {
    state.running.set(state.running.get() + 1);
    let _count = RunningCount(state);
    let id = header_text(request.headers(), state.dialect.headers().request_id);
    let id = id.unwrap_or_default().to_owned();
    let mut response = answer_request(state, request, &id).await;
    if state.is_leaving.get() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn answer_request(
    state: &SidecarState,
    request: Request<Incoming>,
    id: &str,
) -> Response<Full<Bytes>> {
    let start = state.now();
    let Some(active) = state.config.active() else {
        let trace = RequestTrace::unrouted(id, 0, start);
        return end_early(state, &trace, StatusCode::SERVICE_UNAVAILABLE, "no_config");
    };
    let version = active.config.version;
    let host = header_text(request.headers(), "host").unwrap_or_default();
    let Some(route) = find_route(&active, host, request.uri().path()) else {
        let trace = RequestTrace::unrouted(id, version, start);
        return end_early(state, &trace, StatusCode::NOT_FOUND, "no_route");
    };
    let dealt = state.routing.splitter.borrow_mut().deal(route).cloned();
    let service = dealt.unwrap_or_default();
    let trace = RequestTrace {
        id,
        route: &route.name,
        service: &service,
        version,
        start,
    };
    let headers = state.dialect.headers();
    let told = header_text(request.headers(), headers.time_left);
    let told = told.and_then(|text| text.trim().parse().ok());
    let patience = told.map_or(route.timeout(), Duration::from_millis);
    let deadline = start + patience.min(route.timeout());
    let limit = active.config.limits.body_bytes.min(BODY_LIMIT);
    let (parts, body) = request.into_parts();
    let body = Limited::new(body, usize::try_from(limit).unwrap_or(usize::MAX));
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<LengthLimitError>() => {
            return end_early(
                state,
                &trace,
                StatusCode::PAYLOAD_TOO_LARGE,
                "body_too_long",
            );
        }
        Err(_) => return end_early(state, &trace, StatusCode::BAD_REQUEST, "body_unreadable"),
    };
    let target = parts
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let call = ForwardedCall {
        service: service.clone(),
        method: parts.method.as_str().into(),
        path: target.into(),
        headers: forwarded_headers(state, &parts.headers),
        body: body.to_vec(),
        request_id: id.into(),
        rank: route.rank,
        kind: 0,
        left_ms: 0,
        wait_ms: 0,
        sent_at_ms: 0,
    };
    let attempts = CallAttempts::new(state, &active, route, service.clone(), deadline);
    let left = (deadline + ANSWER_MARGIN).saturating_sub(state.now());
    let end = match tokio::time::timeout(left, attempts.run(&call)).await {
        Ok(end) => end,
        Err(_) => AttemptsEnd {
            result: CallResult::Unknown(UnknownCause::TimedOut),
            asked: Vec::new(),
            reached: 0,
        },
    };
    end_request(state, &trace, end)
}

fn find_route<'c>(active: &'c ActiveConfig, host: &str, path: &str) -> Option<&'c MeshRoute> {
    let name = active.finder.find(host, path)?;
    active.config.routes.get(name)
}

/// Headers to pass on: all but those of the connection and those that the daemon sets itself.
fn forwarded_headers(state: &SidecarState, headers: &HeaderMap) -> HeaderList {
    let names = state.dialect.headers();
    let replaced = [names.time_left, names.expected_endpoint, names.caller];
    let listed = header_text(headers, "connection").unwrap_or_default();
    let mut list = HeaderList::new();
    for (name, value) in headers {
        let name = name.as_str();
        let is_listed = listed
            .split(',')
            .any(|word| word.trim().eq_ignore_ascii_case(name));
        if is_listed || is_connection_header(name) || replaced.contains(&name) || name == "expect" {
            continue;
        }
        list.push((name.into(), value.as_bytes().into()));
    }
    let service = state.settings().service.clone();
    list.push((names.caller.into(), service.as_bytes().into()));
    list
}

impl<'a> RequestTrace<'a> {
    fn unrouted(id: &'a str, version: u64, start: Duration) -> RequestTrace<'a> {
        RequestTrace {
            id,
            route: "",
            service: "",
            version,
            start,
        }
    }
}

fn end_early(
    state: &SidecarState,
    trace: &RequestTrace<'_>,
    status: StatusCode,
    cause: &'static str,
) -> Response<Full<Bytes>> {
    let retry_after = (status == StatusCode::SERVICE_UNAVAILABLE).then_some(UNREADY_RETRY_AFTER);
    log_end(state, trace, status.as_u16(), cause, &[], 0);
    own_answer(state, trace.id, status, cause, retry_after)
}

fn end_request(
    state: &SidecarState,
    trace: &RequestTrace<'_>,
    end: AttemptsEnd,
) -> Response<Full<Bytes>> {
    let (status, cause, retry_after) = match end.result {
        CallResult::Answer {
            status,
            headers,
            body,
            ..
        } => {
            log_end(state, trace, status, "answered", &end.asked, end.reached);
            return endpoint_answer(status, headers, body);
        }
        CallResult::NotRun(report) => {
            let pause = match report.cause {
                NotRunCause::Unreachable | NotRunCause::Closed => UNREADY_RETRY_AFTER,
                _ => Duration::from_millis(u64::from(report.retry_after_ms)),
            };
            let cause = not_run_name(report.cause);
            (StatusCode::SERVICE_UNAVAILABLE, cause, Some(spread(pause)))
        }
        CallResult::Unknown(UnknownCause::TimedOut) => {
            (StatusCode::GATEWAY_TIMEOUT, "timed_out", None)
        }
        CallResult::Unknown(cause) => (StatusCode::BAD_GATEWAY, unknown_name(cause), None),
    };
    log_end(
        state,
        trace,
        status.as_u16(),
        cause,
        &end.asked,
        end.reached,
    );
    own_answer(state, trace.id, status, cause, retry_after)
}

/// Spreads the return of refused clients over half to one and a half times the pause.
fn spread(pause: Duration) -> Duration {
    let factor = rand::rng().random_range(0.5..1.5);
    pause
        .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
        .mul_f64(factor)
}

fn endpoint_answer(status: u16, headers: HeaderList, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(&value);
        // Both were parsed as an answer's head before.
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

fn own_answer(
    state: &SidecarState,
    id: &str,
    status: StatusCode,
    cause: &'static str,
    retry_after: Option<Duration>,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(cause.as_bytes())));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    let name = HeaderName::from_static(state.dialect.headers().request_id);
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert(name, id);
    }
    let seconds = retry_after.map(|pause| format!("{:.3}", pause.as_secs_f64()));
    if let Some(seconds) = seconds.and_then(|text| HeaderValue::from_str(&text).ok()) {
        headers.insert(header::RETRY_AFTER, seconds);
    }
    response
}

fn log_end(
    state: &SidecarState,
    trace: &RequestTrace<'_>,
    status: u16,
    cause: &str,
    asked: &[crate::ids::MemberId],
    reached: u32,
) {
    let time = state.now() - trace.start;
    let outcome = match status {
        200..=399 => "served",
        503 => "refused",
        _ => "failed",
    };
    state
        .tally
        .count_request(trace.service, outcome, cause, time);
    let what = json!({"name": "request_ended", "request": trace.id, "route": trace.route,
        "service": trace.service, "config": trace.version, "status": status, "cause": cause,
        "asked": asked, "reached": reached, "ms": time.as_millis() as u64});
    info!(target: CALLS, "{what}");
}

fn not_run_name(cause: NotRunCause) -> &'static str {
    match cause {
        NotRunCause::Overloaded => "overloaded",
        NotRunCause::Closed => "endpoint_closed",
        NotRunCause::TooLate => "too_late",
        NotRunCause::Rejected => "endpoint_rejected",
        NotRunCause::Unreachable => "no_endpoint",
        NotRunCause::Poison => "crashes_endpoints",
    }
}

fn unknown_name(cause: UnknownCause) -> &'static str {
    match cause {
        UnknownCause::AnswerBroken => "answer_broken",
        UnknownCause::EndpointCrashed => "endpoint_crashed",
        UnknownCause::TimedOut => "timed_out",
        UnknownCause::LinkLost => "link_lost",
    }
}

fn header_text<'h>(headers: &'h HeaderMap, name: &str) -> Option<&'h str> {
    headers.get(name)?.to_str().ok()
}

/// A request in progress.
struct RunningCount<'a>(&'a SidecarState);

impl Drop for RunningCount<'_> {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}
