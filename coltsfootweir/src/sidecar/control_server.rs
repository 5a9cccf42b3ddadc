//! HTTP server for the platform: readiness checks, endpoint announcements and metrics.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use log::info;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::logging::UPSTREAM;
use crate::sidecar::announcement::RegisterChange;
use crate::sidecar::client_limits::accept_loop::accept_each;
use crate::sidecar::client_limits::connection_limit::ConnectionSlot;
use crate::sidecar::departures::departure_task::announce_complete;
use crate::sidecar::departures::departure_task::keep_beyond_run;
use crate::sidecar::event_log::dropped_lines;
use crate::sidecar::platform_adapter::ControlCall;
use crate::sidecar::route_explanation::explain;
use crate::sidecar::route_explanation::is_from_own_vm;
use crate::sidecar::sidecar_state::SidecarState;

/// Path that explains where a request would go. It takes only questions from the VM, as the answer names
/// daemons and their load.
const EXPLAIN_PATH: &str = "/explain";

/// Maximum length of a request body, in bytes. Announcements take a few hundred bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Time after which an idle connection is closed. The platform sends a request every second or two.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Size of the buffer for a request head, in bytes: hyper's smallest. Heads of the platform take a few
/// hundred bytes.
const HEAD_BUFFER: usize = 8 * 1024;

/// Time for a request body. The platform sends it in one packet with its head.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Divisor of the drain time that gives the time in which queued requests may still start on a
/// departing endpoint. The rest of the drain time is left for requests in transit.
const QUEUE_GRACE_DIVISOR: u32 = 3;

/// What an address at which the daemon serves the platform tells about its callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ControlPort {
    /// It stands in the settings. Announcements from before the start of the daemon may arrive there.
    Configured,
    /// Only this run of the daemon has named it, in answers to announcements.
    Run,
}

/// Serves requests of the platform until the daemon exits.
pub async fn serve_control(state: Rc<SidecarState>, listener: TcpListener, port: ControlPort) {
    let limit = state.guard.control();
    accept_each(
        &listener,
        "control",
        &limit,
        &state.metrics,
        |stream, slot| {
            tokio::task::spawn_local(serve_connection(Rc::clone(&state), stream, slot, port));
        },
    )
    .await;
}

async fn serve_connection(
    state: Rc<SidecarState>,
    stream: TcpStream,
    slot: Rc<ConnectionSlot>,
    port: ControlPort,
) {
    let is_from_own_vm = match (stream.peer_addr(), stream.local_addr()) {
        (Ok(peer), Ok(local)) => is_from_own_vm(peer.ip(), local.ip()),
        _ => false,
    };
    let served = Rc::clone(&slot);
    let service = service_fn(move |request: Request<Incoming>| {
        let state = Rc::clone(&state);
        let busy = served.begin_request();
        async move {
            let is_question =
                request.method() == Method::GET && request.uri().path() == EXPLAIN_PATH;
            let response = match is_question {
                true if is_from_own_vm => explain_reply(&state, &request),
                true => reply(StatusCode::FORBIDDEN, Bytes::new()),
                false => respond(&state, request, port).await,
            };
            drop(busy);
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(HEAD_BUFFER)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    let served = tokio::select! {
        served = connection => served,
        () = slot.evicted() => return,
    };
    if let Err(error) = served {
        log::debug!(target: UPSTREAM, "connection from the platform closed: {error}");
    }
}

/// Explains where a request with the host and the path of the query, and the API key of the headers,
/// would go.
fn explain_reply(state: &SidecarState, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let query = request.uri().query().unwrap_or_default();
    let (mut host, mut path) = (None, None);
    for (name, value) in form_urlencoded::parse(query.as_bytes()) {
        match &*name {
            "host" => host = Some(value),
            "path" => path = Some(value),
            _ => return reply(StatusCode::BAD_REQUEST, Bytes::new()),
        }
    }
    let (Some(host), Some(path)) = (host, path) else {
        return reply(StatusCode::BAD_REQUEST, Bytes::new());
    };
    let explained = explain(state, &host, &path, request.headers());
    reply(StatusCode::OK, Bytes::from(explained.to_string()))
}

async fn respond(
    state: &Rc<SidecarState>,
    request: Request<Incoming>,
    port: ControlPort,
) -> Response<Full<Bytes>> {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect();
    let Ok(Ok(body)) = tokio::time::timeout(BODY_TIMEOUT, body).await else {
        state.metrics.count_refusal("control_body");
        return reply(StatusCode::BAD_REQUEST, Bytes::new());
    };
    let body = body.to_bytes();
    match state
        .platform_adapter
        .control_call(method.as_str(), &path, &body)
    {
        ControlCall::Readiness => match state.is_ready() {
            true => reply(StatusCode::OK, Bytes::new()),
            false => reply(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        },
        ControlCall::Announce(announcement) => {
            let settings = state.settings();
            let is_leaving = announcement.is_leaving;
            let lifetime = (announcement.id.clone(), announcement.born);
            let change =
                state
                    .endpoint
                    .announce(announcement, &settings.service, settings.endpoint);
            publish_change(state, change);
            let (id, born) = lifetime;
            if port == ControlPort::Run && state.endpoint.confirm(&id, born) {
                state.publish();
            }
            announce_complete(state);
            match (is_leaving, state.endpoint.is_leaving(&id, born)) {
                (true, true) => departure_reply(state, port).await,
                // The endpoint of another VM leaves: only the daemon there can close it.
                (true, false) => reply(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
                (false, _) => accepted(state, port),
            }
        }
        ControlCall::Depart(departure) => {
            let change = state.endpoint.depart(&departure);
            publish_change(state, change);
            departure_reply(state, port).await
        }
        ControlCall::Metrics => reply(StatusCode::OK, metrics_text(state)),
        ControlCall::Unknown => reply(StatusCode::NOT_FOUND, Bytes::new()),
        ControlCall::Malformed(error) => {
            let event = json!({"name": "announcement_unreadable", "reason": error.to_string()});
            info!(target: UPSTREAM, "{event}");
            reply(StatusCode::BAD_REQUEST, Bytes::new())
        }
    }
}

/// Acknowledges a departure once it outlives this daemon: after a restart, a late announcement would
/// have the endpoint used again.
async fn departure_reply(state: &Rc<SidecarState>, port: ControlPort) -> Response<Full<Bytes>> {
    match keep_beyond_run(state).await {
        true => accepted(state, port),
        false => reply(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
    }
}

/// Publishes a change of the endpoint to the peers. This precedes the response to the endpoint, so
/// that peers stop sending requests once the endpoint has its response.
pub(crate) fn publish_change(state: &Rc<SidecarState>, change: RegisterChange) {
    match change {
        RegisterChange::Same | RegisterChange::PassedOver(_) => return,
        RegisterChange::Closed => close_queue_later(state),
        RegisterChange::Replaced | RegisterChange::Updated => {}
    }
    state.publish();
}

fn close_queue_later(state: &Rc<SidecarState>) {
    let grace = state.settings().bounds.drain / QUEUE_GRACE_DIVISOR;
    let state = Rc::clone(state);
    tokio::task::spawn_local(async move {
        tokio::time::sleep(grace).await;
        state.endpoint.close_queue();
    });
}

/// Accepts an announcement. An endpoint that may have departed in an earlier run is asked to announce itself
/// at the address of this run, and back at the configured one once it has done so.
fn accepted(state: &SidecarState, port: ControlPort) -> Response<Full<Bytes>> {
    let configured = state.settings().listen.announcements;
    let next = match (state.endpoint.is_in_doubt(), port) {
        (true, _) => state.departures.run_address.get(),
        (false, ControlPort::Run) => Some(configured),
        (false, ControlPort::Configured) => None,
    };
    let body = state.platform_adapter.announce_reply(next);
    reply(StatusCode::OK, Bytes::from(body))
}

fn metrics_text(state: &SidecarState) -> Bytes {
    let metrics = &state.metrics;
    let load = state.endpoint.load();
    let (calls, faults) = state.store.counts();
    metrics.set("config_version", state.config.version());
    metrics.set("members_live", state.members.live_count() as u64);
    metrics.set("store_calls", calls);
    metrics.set("store_faults", faults);
    metrics.set("endpoint_running", u64::from(load.running));
    metrics.set("endpoint_waiting", u64::from(load.total_waiting()));
    metrics.set("endpoint_connections", state.endpoint.connections_opened());
    metrics.set("endpoint_cold", u64::from(state.endpoint.is_pacing()));
    metrics.set("teams_tagged", state.endpoint.tagged_teams() as u64);
    for (reason, total) in state.endpoint.share_refusals() {
        metrics.raise_share_refused(reason.name(), total);
    }
    let evacuated = state.evacuations.borrow().zones().len();
    metrics.set("zones_evacuated", evacuated as u64);
    metrics.set("log_lines_dropped", dropped_lines());
    let (backlog, rate, window) = state.uplink.figures();
    metrics.set("uplink_backlog_bytes", backlog);
    metrics.set("uplink_bytes_per_second", rate);
    metrics.set("uplink_window_bytes", window);
    metrics.set(
        "answers_held_bytes",
        state.routing.hold_budget.held() as u64,
    );
    let figures = state.uploads.figures();
    metrics.set("bodies_granted_bytes", figures.granted);
    metrics.set("bodies_waiting_bytes", figures.waiting);
    metrics.set("bodies_held_bytes", state.guard.held());
    metrics.set("client_connections", u64::from(state.guard.clients.open()));
    Bytes::from(metrics.text())
}

fn reply(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
