//! Responses to clients.

use std::time::Duration;

use hyper::Response;
use hyper::StatusCode;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use rand::RngExt;

use crate::sidecar::answer::client_body::ClientBody;
use crate::sidecar::frame::HeaderList;
use crate::sidecar::frame::NotRunCause;
use crate::sidecar::frame::UnknownCause;
use crate::sidecar::sidecar_state::SidecarState;

/// Minimum `Retry-After` of a refused request, before jitter.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Maximum `Retry-After` of a refused request, before jitter; queue waits are seldom longer.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1000);

/// Limits a `Retry-After` pause and multiplies it by a random factor from 0.5 to 1.5, so that refused
/// clients do not retry all at once.
pub(crate) fn jittered(pause: Duration) -> Duration {
    let factor = rand::rng().random_range(0.5..1.5);
    pause
        .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
        .mul_f64(factor)
}

/// Returns the response of an endpoint.
pub(crate) fn endpoint_response(
    status: u16,
    headers: HeaderList,
    body: ClientBody,
) -> Response<ClientBody> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(&value);
        // Both were already parsed as part of a response head.
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

/// Returns a response of the daemon itself.
pub(crate) fn daemon_response(
    state: &SidecarState,
    id: &str,
    status: StatusCode,
    cause: &'static str,
    retry_after: Option<Duration>,
) -> Response<ClientBody> {
    let mut response = Response::new(ClientBody::whole(cause.as_bytes()));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    let name = HeaderName::from_static(state.platform_adapter.headers().request_id);
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert(name, id);
    }
    let seconds = retry_after.map(|pause| format!("{:.3}", pause.as_secs_f64()));
    if let Some(seconds) = seconds.and_then(|text| HeaderValue::from_str(&text).ok()) {
        headers.insert(header::RETRY_AFTER, seconds);
    }
    response
}

/// Returns the name of a cause in logs and metrics.
pub(crate) fn not_run_name(cause: NotRunCause) -> &'static str {
    match cause {
        NotRunCause::Overloaded => "overloaded",
        NotRunCause::Closed => "endpoint_closed",
        NotRunCause::TooLate => "too_late",
        NotRunCause::Rejected => "endpoint_rejected",
        NotRunCause::Unreachable => "no_endpoint",
        NotRunCause::Poison => "crashes_endpoints",
        NotRunCause::LinkFull => "link_full",
    }
}

/// Returns the name of a cause in logs and metrics.
pub(crate) fn unknown_name(cause: UnknownCause) -> &'static str {
    match cause {
        UnknownCause::AnswerBroken => "answer_broken",
        UnknownCause::EndpointCrashed => "endpoint_crashed",
        UnknownCause::TimedOut => "timed_out",
        UnknownCause::LinkLost => "link_lost",
    }
}
