//! Running a request at an upstream stand-in.

use std::future;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::http::HeaderMap;
use hyper::http::uri::PathAndQuery;
use serde::Serialize;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::answer_body::AnswerBody;
use crate::run_log::RunNumber;
use crate::run_log::RunOutcome;
use crate::run_log::RunRequest;
use crate::upstream_state::RunPlan;
use crate::upstream_state::UpstreamState;
use crate::upstream_stats::UpstreamAnswer;

/// Header with the identity of a request.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header with the key of a booking.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Header with the time left, milliseconds.
const DEADLINE_HEADER: &str = "x-coltsfootweir-deadline-ms";

/// Header with the size of the body that the caller asks for, bytes.
const SIZE_HEADER: &str = "x-standin-size";

/// Header of an answer to a request that was shed.
const SHED_HEADER: &str = "x-standin-shed";

/// Longest body taken, bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Longest answer made, bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Time within which a body must have come.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Answer of an upstream.
pub type UpstreamResponse = Response<AnswerBody>;

/// Runs a request, or sheds it, or has it wait.
pub async fn run_call(state: Arc<UpstreamState>, request: Request<Incoming>) -> UpstreamResponse {
    if !state.settings.queues_all {
        return run_now(state, request).await;
    }
    let running = tokio::spawn(async move {
        let _slot = state.queue.acquire().await;
        run_now(Arc::clone(&state), request).await
    });
    let failed = |_| empty_response(StatusCode::INTERNAL_SERVER_ERROR);
    running.await.unwrap_or_else(failed)
}

async fn run_now(state: Arc<UpstreamState>, request: Request<Incoming>) -> UpstreamResponse {
    let run_request = read_identity(&request);
    let deadline = read_number(request.headers(), DEADLINE_HEADER);
    let size = read_number(request.headers(), SIZE_HEADER);
    let headers = request.headers().clone();
    let body = match read_body(request.into_body()).await {
        Ok(body) => body,
        Err(status) => return empty_response(status),
    };
    let Some(mut plan) = state.begin_run(run_request.clone(), &body) else {
        return shed_response();
    };
    let mut guard = RunGuard {
        state: Arc::clone(&state),
        run: plan.run,
        outcome: None,
    };
    if plan.crashes {
        // It goes on when its caller leaves.
        tokio::spawn(async move {
            let _running = guard;
            sleep(plan.crash_delay).await;
            state.end_life();
            future::pending::<()>().await;
        });
        return future::pending().await;
    }
    let outcome = do_work(plan, deadline.map(Duration::from_millis)).await;
    if let Some(next) = &state.settings.next
        && !next.call(&state.pool, &headers).await
    {
        plan.truncates = true;
    }
    guard.outcome = Some(outcome);
    let answer = UpstreamAnswer {
        request_id: run_request.request_id,
        service: state.settings.service.clone(),
        version: state.settings.version.clone(),
        run: plan.run,
        path: run_request.path,
        pad: "".into(),
    };
    run_response(plan, outcome, answer, size)
}

/// Records the end of a run, also when the caller hangs up and the run is dropped.
struct RunGuard {
    state: Arc<UpstreamState>,
    run: RunNumber,
    outcome: Option<RunOutcome>,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.state.end_run(self.run, self.outcome);
    }
}

async fn do_work(plan: RunPlan, deadline: Option<Duration>) -> RunOutcome {
    if let Some(deadline) = deadline
        && deadline < plan.work
    {
        sleep(deadline).await;
        return RunOutcome::Expired;
    }
    // A sleep of no time would last to the next tick of the timer.
    if !plan.work.is_zero() {
        sleep(plan.work).await;
    }
    if plan.fails {
        RunOutcome::Failed
    } else {
        RunOutcome::Finished
    }
}

fn run_response(
    plan: RunPlan,
    outcome: RunOutcome,
    mut answer: UpstreamAnswer,
    size: Option<u64>,
) -> UpstreamResponse {
    let status = match outcome {
        RunOutcome::Finished => StatusCode::OK,
        RunOutcome::Expired => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::INTERNAL_SERVER_ERROR,
    };
    let mut body = json_bytes(&answer);
    let size = usize::try_from(size.unwrap_or(0)).map_or(0, |size| size.min(MAX_ANSWER_BYTES));
    if size > body.len() {
        answer.pad = "x".repeat(size - body.len()).into();
        body = json_bytes(&answer);
    }
    let body = if plan.truncates {
        AnswerBody::cut(body)
    } else {
        AnswerBody::whole(body)
    };
    response(status, body)
}

fn shed_response() -> UpstreamResponse {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    let value = hyper::http::HeaderValue::from_static("true");
    response.headers_mut().insert(SHED_HEADER, value);
    response
}

/// Makes an answer without a body.
pub fn empty_response(status: StatusCode) -> UpstreamResponse {
    response(status, AnswerBody::whole(Bytes::new()))
}

/// Makes a JSON answer.
pub fn json_response(status: StatusCode, value: &impl Serialize) -> UpstreamResponse {
    response(status, AnswerBody::whole(json_bytes(value)))
}

fn response(status: StatusCode, body: AnswerBody) -> UpstreamResponse {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

fn json_bytes(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

/// Reads a whole body.
///
/// # Errors
/// 413 for a body that is too long, 408 for one that comes too slowly, 400 for one that breaks off.
pub async fn read_body(body: Incoming) -> Result<Bytes, StatusCode> {
    let whole_body = Limited::new(body, MAX_BODY_BYTES).collect();
    match timeout(BODY_TIMEOUT, whole_body).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(StatusCode::PAYLOAD_TOO_LARGE)
        }
        Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

fn read_identity(request: &Request<Incoming>) -> RunRequest {
    RunRequest {
        request_id: read_text(request.headers(), REQUEST_ID_HEADER),
        idempotency_key: read_text(request.headers(), IDEMPOTENCY_HEADER),
        path: request
            .uri()
            .path_and_query()
            .map_or("/", PathAndQuery::as_str)
            .into(),
    }
}

fn read_text(headers: &HeaderMap, name: &str) -> Option<Box<str>> {
    headers.get(name)?.to_str().ok().map(Into::into)
}

fn read_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
