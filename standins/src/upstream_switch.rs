//! Switches, oracle and probes of an upstream stand-in, by HTTP on its own port.

use std::future;
use std::sync::Arc;

use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use tokio::time::sleep_until;

use crate::run_log::RunNumber;
use crate::upstream_call::UpstreamResponse;
use crate::upstream_call::empty_response;
use crate::upstream_call::json_response;
use crate::upstream_call::read_body;
use crate::upstream_call::run_call;
use crate::upstream_state::UpstreamState;
use crate::upstream_stats::HealthAnswer;
use crate::upstream_stats::LoadAnswer;

/// Answers a request: a switch, a probe, or a call to run.
pub async fn answer_request(
    state: Arc<UpstreamState>,
    request: Request<Incoming>,
) -> UpstreamResponse {
    let path: Box<str> = request.uri().path().into();
    match (request.method(), &*path) {
        (&Method::GET, "/health") => answer_health(&state).await,
        (&Method::GET, "/load") => answer_load(&state).await,
        _ => match path.strip_prefix("/standin/") {
            Some(switch) => answer_switch(&state, switch, request).await,
            None => run_call(state, request).await,
        },
    }
}

async fn answer_health(state: &UpstreamState) -> UpstreamResponse {
    take_probe_cost(state).await;
    let healthy = state.told_healthy();
    let status = if healthy {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    json_response(status, &HealthAnswer { healthy })
}

async fn answer_load(state: &UpstreamState) -> UpstreamResponse {
    take_probe_cost(state).await;
    let answer = LoadAnswer {
        running: state.told_running(),
        slots: state.settings.slots,
    };
    json_response(StatusCode::OK, &answer)
}

async fn take_probe_cost(state: &UpstreamState) {
    let done = state.charge_core(state.settings.probe_cost);
    sleep_until(done.into()).await;
}

async fn answer_switch(
    state: &UpstreamState,
    switch: &str,
    request: Request<Incoming>,
) -> UpstreamResponse {
    match (request.method(), switch) {
        (&Method::GET, "faults") => json_response(StatusCode::OK, &state.faults()),
        (&Method::POST, "faults") => set_faults(state, request).await,
        (&Method::POST, "leave") => {
            state.leave();
            empty_response(StatusCode::OK)
        }
        (&Method::POST, "crash") => {
            state.end_life();
            future::pending().await
        }
        (&Method::GET, "runs") => {
            let after = read_after(request.uri().query());
            json_response(StatusCode::OK, &state.runs_after(after))
        }
        (&Method::GET, "stats") => json_response(StatusCode::OK, &state.stats()),
        _ => empty_response(StatusCode::NOT_FOUND),
    }
}

async fn set_faults(state: &UpstreamState, request: Request<Incoming>) -> UpstreamResponse {
    let body = match read_body(request.into_body()).await {
        Ok(body) => body,
        Err(status) => return empty_response(status),
    };
    match serde_json::from_slice(&body) {
        Ok(faults) => {
            state.set_faults(faults);
            json_response(StatusCode::OK, &state.faults())
        }
        Err(error) => json_response(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

fn read_after(query: Option<&str>) -> RunNumber {
    let after = query.and_then(|query| query.strip_prefix("after="));
    after.and_then(|after| after.parse().ok()).unwrap_or(0)
}
