//! Hands requests over to the local upstream: waits for a slot, sends and records the result.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;

use crate::booking_key::BookingKey;
use crate::call::CallReply;
use crate::call::CallRequest;
use crate::call::in_doubt;
use crate::call::not_run;
use crate::context::DaemonContext;
use crate::context::lock;
use crate::crash_watch::report_if_crashed;
use crate::deadline::CallDeadline;
use crate::deadline::RETURN_MARGIN;
use crate::http_pool::SendError;
use crate::outcome::CallOutcome;
use crate::outcome::DoubtReason;
use crate::outcome::RefusalReason;
use crate::record::RouteRecord;

/// Waits for a slot and hands the request over to the upstream.
pub(crate) async fn hand_over(
    context: &Arc<DaemonContext>,
    call: &CallRequest,
    route: &RouteRecord,
    deadline: CallDeadline,
    key: Option<&BookingKey>,
) -> CallReply {
    let deadline = deadline.shrink(RETURN_MARGIN);
    let mut permit = match context.upstream.admit(call.fingerprint, deadline).await {
        Ok(permit) => permit,
        Err(reason) => return not_run(reason),
    };
    let now = context.now();
    let Some(millis) = deadline.header_ms(now) else {
        return not_run(RefusalReason::DeadlinePassed);
    };
    let Some(address) = context.upstream.address() else {
        return not_run(RefusalReason::UpstreamDown);
    };
    if let Some(key) = key
        && !lock(&context.ledger).mark_running(key)
    {
        return in_doubt(DoubtReason::StillRunning);
    }
    let request = call.to_forward(None, millis);
    permit.start(call.fingerprint, deadline);
    let reply = send_to_upstream(context, call, route, deadline, address, request).await;
    if reply.outcome == CallOutcome::Ran {
        permit.finish();
    }
    reply
}

async fn send_to_upstream(
    context: &Arc<DaemonContext>,
    call: &CallRequest,
    route: &RouteRecord,
    deadline: CallDeadline,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> CallReply {
    let start = context.now();
    let sending = context.upstream.pool.send(address, request);
    let answer = tokio::time::timeout(deadline.remaining(start), sending).await;
    let latency = context.now().saturating_sub(start);
    match answer {
        Ok(Ok(response)) => {
            let failed = response.status().is_server_error();
            record_call(context, route, failed, latency);
            lock(&context.poison).on_completed(call.fingerprint, context.now());
            CallReply::from_upstream(response)
        }
        Ok(Err(SendError::NotConnected)) => {
            report_if_crashed(context, address).await;
            not_run(RefusalReason::UpstreamDown)
        }
        Ok(Err(SendError::Broken | SendError::TooLong)) => {
            let suspects = lock(&context.poison).crash_suspects(&[call.fingerprint], start);
            if report_if_crashed(context, address).await {
                let is_suspect = !suspects.is_empty();
                return in_doubt(if is_suspect {
                    DoubtReason::UpstreamCrashed
                } else {
                    DoubtReason::AnswerBroken
                });
            }
            record_call(context, route, true, latency);
            in_doubt(DoubtReason::AnswerBroken)
        }
        Err(_) => {
            record_call(context, route, latency >= route.timeout / 2, latency);
            in_doubt(DoubtReason::Timeout)
        }
    }
}

fn record_call(context: &DaemonContext, route: &RouteRecord, failed: bool, latency: Duration) {
    lock(&context.recorder).on_call(&route.name, route.class, failed, latency);
}
