//! HTTP server for requests of clients and of the endpoint on the local VM.

use std::rc::Rc;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Version;
use hyper::header;
use hyper::header::HeaderValue;
use log::info;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::logging::CALLS;
use crate::sidecar::answer::answer_rest::AnswerRest;
use crate::sidecar::answer::client_body::ClientBody;
use crate::sidecar::answer::client_body::PassedBody;
use crate::sidecar::answer::client_body::RunningCount;
use crate::sidecar::call_attempts::CallAttempts;
use crate::sidecar::call_attempts::attempts_end::AttemptsEnd;
use crate::sidecar::client_connection::connection::ClientConnection;
use crate::sidecar::client_connection::request_body::RequestBody;
use crate::sidecar::client_limits::accept_loop::accept_each;
use crate::sidecar::client_limits::body_intake::BodyRefusal;
use crate::sidecar::client_limits::body_intake::read_body;
use crate::sidecar::client_limits::connection_limit::ConnectionSlot;
use crate::sidecar::client_response::daemon_response;
use crate::sidecar::client_response::endpoint_response;
use crate::sidecar::client_response::jittered;
use crate::sidecar::client_response::not_run_name;
use crate::sidecar::client_response::unknown_name;
use crate::sidecar::config_holder::ActiveConfig;
use crate::sidecar::endpoint_request::is_connection_header;
use crate::sidecar::frame::CallResult;
use crate::sidecar::frame::ForwardedCall;
use crate::sidecar::frame::HeaderList;
use crate::sidecar::frame::NotRunCause;
use crate::sidecar::frame::UnknownCause;
use crate::sidecar::mesh_config::MeshRoute;
use crate::sidecar::rate_limits::LimitRefusal;
use crate::sidecar::rate_limits::take_token;
use crate::sidecar::sidecar_state::SidecarState;
use crate::sidecar::teams::caller::KeyRefusal;
use crate::sidecar::teams::caller::RequestCaller;
use crate::sidecar::teams::caller::identify;

/// Time after the deadline at which a request times out. It lets the endpoint's own response at the
/// deadline arrive.
pub const RESPONSE_MARGIN: Duration = Duration::from_millis(80);

/// Time after the deadline in which an answer that has begun may be completed: clients that wait
/// longer than the route allows still get it.
const BODY_MARGIN: Duration = Duration::from_millis(300);

/// `Retry-After` while there is no configuration or no endpoint, about the time in which a restarted
/// daemon gets them.
pub(crate) const UNREADY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Accepts and serves connections until `stopping` changes. Then closes the port and shuts the open
/// connections down gracefully.
pub async fn serve_requests(
    state: Rc<SidecarState>,
    listener: TcpListener,
    mut stopping: watch::Receiver<bool>,
) {
    let stop = stopping.clone();
    let limit = &state.guard.clients;
    let accepting = accept_each(
        &listener,
        "requests",
        limit,
        &state.metrics,
        |stream, slot| {
            let serving = serve_client(Rc::clone(&state), stream, slot, stop.clone());
            tokio::task::spawn_local(serving);
        },
    );
    tokio::select! {
        () = accepting => {}
        _ = stopping.changed() => {}
    }
}

async fn serve_client(
    state: Rc<SidecarState>,
    stream: TcpStream,
    slot: Rc<ConnectionSlot>,
    stopping: watch::Receiver<bool>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    ClientConnection::new(state, stream, slot)
        .run(stopping)
        .await;
}

/// Returns whether a request belongs to a route whose requests may run more than once.
pub(crate) fn is_repeatable<B>(state: &SidecarState, request: &Request<B>) -> bool {
    let Some(active) = state.config.active() else {
        return false;
    };
    let host = header_text(request.headers(), "host").unwrap_or_default();
    let route = find_route(&active, host, request.uri().path());
    route.is_some_and(|route| route.is_repeatable)
}

/// Details of a request for the log.
struct RequestTrace<'a> {
    id: &'a str,
    route: &'a str,
    service: &'a str,
    team: &'a str,
    rank: u8,
    version: u64,
    start: Duration,
}

/// Serves one request. Dropping the future cancels it.
pub(crate) async fn serve_request(
    state: &Rc<SidecarState>,
    request: Request<RequestBody>,
    running: RunningCount,
) -> Response<ClientBody> {
    let id = header_text(
        request.headers(),
        state.platform_adapter.headers().request_id,
    );
    let id = id.unwrap_or_default().to_owned();
    let mut response = respond(state, request, &id, running).await;
    if state.stop.has_begun() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn respond(
    state: &Rc<SidecarState>,
    request: Request<RequestBody>,
    id: &str,
    running: RunningCount,
) -> Response<ClientBody> {
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
    let chosen = state
        .routing
        .splitter
        .borrow_mut()
        .next_service(route)
        .cloned();
    let service = chosen.unwrap_or_default();
    let mut trace = RequestTrace {
        id,
        route: &route.name,
        service: &service,
        team: "",
        rank: route.rank,
        version,
        start,
    };
    let caller = match identify(state, &active, route, request.headers()) {
        Ok(caller) => caller,
        Err(KeyRefusal::Unknown) => {
            return end_early(state, &trace, StatusCode::UNAUTHORIZED, "unknown_key");
        }
        Err(KeyRefusal::Unproven) => {
            return end_early(
                state,
                &trace,
                StatusCode::SERVICE_UNAVAILABLE,
                "config_unproven",
            );
        }
    };
    trace.team = caller.team.map_or("", |team| &team.name);
    trace.rank = caller.rank;
    if let Some(team) = caller.team
        && let Err(refusal) = take_token(state, team).await
    {
        return end_limited(state, &trace, refusal);
    }
    let headers = state.platform_adapter.headers();
    let time_left = header_text(request.headers(), headers.time_left);
    let time_left = time_left.and_then(|text| text.trim().parse().ok());
    let timeout = time_left.map_or(route.timeout(), Duration::from_millis);
    let deadline = start + timeout.min(route.timeout());
    let (parts, body) = request.into_parts();
    let time = deadline + RESPONSE_MARGIN - start;
    let limits = state.guard.body_limits(&active.config.limits, time);
    let body = read_body(body, limits);
    let answers_due = state.stop.answers_due(|| state.now());
    tokio::pin!(answers_due);
    let body = tokio::select! {
        body = body => body,
        () = answers_due.as_mut() => {
            return end_early(state, &trace, StatusCode::SERVICE_UNAVAILABLE, "stopping");
        }
    };
    let body = match body {
        Ok(body) => body,
        Err(refusal) => {
            state.metrics.count_refusal(refusal.name());
            let status = match refusal {
                BodyRefusal::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
                BodyRefusal::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
                BodyRefusal::TimedOut => StatusCode::REQUEST_TIMEOUT,
                BodyRefusal::Unreadable => StatusCode::BAD_REQUEST,
            };
            return end_early(state, &trace, status, refusal.name());
        }
    };
    let Some(deadline) = state.stop.admit(state.now(), deadline) else {
        return end_early(state, &trace, StatusCode::SERVICE_UNAVAILABLE, "stopping");
    };
    let target = parts
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let call = ForwardedCall {
        service: service.clone(),
        method: parts.method.as_str().into(),
        path: target.into(),
        headers: forwarded_headers(state, &active, caller, &parts.headers),
        body,
        request_id: id.into(),
        rank: caller.rank,
        kind: 0,
        left_ms: 0,
        wait_ms: 0,
        sent_at_ms: 0,
        team: caller.team.map(|team| team.name.clone()),
    };
    let length = call.body.len() as u64;
    let service = service.clone();
    let attempts = CallAttempts::new(state, &active, route, caller, service, length, deadline);
    let left = (deadline + RESPONSE_MARGIN).saturating_sub(state.now());
    let attempts = tokio::time::timeout(left, attempts.run(&call));
    let end = tokio::select! {
        end = attempts => end.ok(),
        () = answers_due => None,
    };
    let end = match end {
        // A client without chunks takes the end of the connection for the end of such an answer, also
        // when it broke off.
        Some(end) if parts.version < Version::HTTP_11 && end.has_unknown_length() => AttemptsEnd {
            result: CallResult::Unknown(UnknownCause::AnswerBroken),
            rest: None,
            ..end
        },
        Some(end) => end,
        None => AttemptsEnd {
            result: CallResult::Unknown(UnknownCause::TimedOut),
            rest: None,
            tried: Vec::new(),
            reached: 0,
        },
    };
    let left = (deadline + BODY_MARGIN).saturating_sub(state.now());
    end_request(state, &trace, end, |first, rest| {
        PassedBody::new(first, rest, left, id, running)
    })
}

fn find_route<'c>(active: &'c ActiveConfig, host: &str, path: &str) -> Option<&'c MeshRoute> {
    let name = active.finder.find(host, path)?;
    active.config.routes.get(name)
}

/// Returns the headers to forward: all except connection headers and those that the daemon sets.
fn forwarded_headers(
    state: &SidecarState,
    active: &ActiveConfig,
    caller: RequestCaller<'_>,
    headers: &HeaderMap,
) -> HeaderList {
    let names = state.platform_adapter.headers();
    let replaced = [names.time_left, names.expected_endpoint, names.caller];
    // Without teams, both are headers like any other.
    let has_teams = !active.config.teams.is_empty();
    let team_headers = [names.authorization, names.team];
    let named = header_text(headers, "connection").unwrap_or_default();
    let mut list = HeaderList::new();
    for (name, value) in headers {
        let name = name.as_str();
        let is_named = named
            .split(',')
            .any(|word| word.trim().eq_ignore_ascii_case(name));
        if has_teams && team_headers.contains(&name) {
            continue;
        }
        if is_named || is_connection_header(name) || replaced.contains(&name) || name == "expect" {
            continue;
        }
        list.push((name.into(), value.as_bytes().into()));
    }
    let service = state.settings().service.clone();
    list.push((names.caller.into(), service.as_bytes().into()));
    if let Some(team) = caller.team {
        list.push((names.team.into(), team.name.as_bytes().into()));
    }
    list
}

impl<'a> RequestTrace<'a> {
    fn unrouted(id: &'a str, version: u64, start: Duration) -> RequestTrace<'a> {
        RequestTrace {
            id,
            route: "",
            service: "",
            team: "",
            rank: 0,
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
) -> Response<ClientBody> {
    let retry_after = (status == StatusCode::SERVICE_UNAVAILABLE).then_some(UNREADY_RETRY_AFTER);
    log_end(state, trace, status.as_u16(), cause, &[], 0);
    daemon_response(state, trace.id, status, cause, retry_after)
}

/// Refuses a request because of its team's limit.
fn end_limited(
    state: &SidecarState,
    trace: &RequestTrace<'_>,
    refusal: LimitRefusal,
) -> Response<ClientBody> {
    let (status, cause, pause) = match refusal {
        LimitRefusal::Exceeded(pause) => (StatusCode::TOO_MANY_REQUESTS, "over_limit", pause),
        LimitRefusal::NoHolder(pause) => {
            (StatusCode::SERVICE_UNAVAILABLE, "no_limit_holder", pause)
        }
    };
    let event = json!({"name": "limit_refused", "request": trace.id, "team": trace.team,
        "cause": cause, "retry_after_ms": pause.as_millis() as u64,
        "holders": state.rate_limits.holders()});
    info!(target: CALLS, "{event}");
    log_end(state, trace, status.as_u16(), cause, &[], 0);
    daemon_response(state, trace.id, status, cause, Some(pause))
}

fn end_request(
    state: &SidecarState,
    trace: &RequestTrace<'_>,
    end: AttemptsEnd,
    pass_rest: impl FnOnce(Vec<u8>, AnswerRest) -> PassedBody,
) -> Response<ClientBody> {
    let (status, cause, retry_after) = match end.result {
        CallResult::Answer {
            status,
            headers,
            body,
            ..
        } => {
            log_end(state, trace, status, "answered", &end.tried, end.reached);
            let body = match end.rest {
                None => ClientBody::whole(body),
                Some(rest) => ClientBody::Pieces(Box::new(pass_rest(body, rest))),
            };
            return endpoint_response(status, headers, body);
        }
        CallResult::NotRun(report) => {
            let pause = match report.cause {
                NotRunCause::Unreachable | NotRunCause::Closed => UNREADY_RETRY_AFTER,
                _ => Duration::from_millis(u64::from(report.retry_after_ms)),
            };
            let cause = not_run_name(report.cause);
            (
                StatusCode::SERVICE_UNAVAILABLE,
                cause,
                Some(jittered(pause)),
            )
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
        &end.tried,
        end.reached,
    );
    daemon_response(state, trace.id, status, cause, retry_after)
}

fn log_end(
    state: &SidecarState,
    trace: &RequestTrace<'_>,
    status: u16,
    cause: &str,
    tried: &[crate::ids::MemberId],
    reached: u32,
) {
    let time = state.now() - trace.start;
    let outcome = match status {
        200..=399 => "served",
        429 | 503 => "refused",
        _ => "failed",
    };
    state
        .metrics
        .count_request(trace.service, outcome, cause, time);
    let what = json!({"name": "request_ended", "request": trace.id, "route": trace.route,
        "service": trace.service, "team": trace.team, "rank": trace.rank, "config": trace.version, "status": status, "cause": cause,
        "asked": tried, "reached": reached, "ms": time.as_millis() as u64});
    info!(target: CALLS, "{what}");
}

fn header_text<'h>(headers: &'h HeaderMap, name: &str) -> Option<&'h str> {
    headers.get(name)?.to_str().ok()
}
