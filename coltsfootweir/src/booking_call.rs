//! Runs bookings: checks the ledger, claims the key and stores the answer for repeats.

use std::sync::Arc;

use hyper::Response;
use hyper::body::Bytes;
use hyper::header::HeaderValue;

use crate::answer_cache::StoredAnswer;
use crate::booking_decision::BookingDecision;
use crate::booking_key::BookingKey;
use crate::call::BOOKING_KEY;
use crate::call::CallReply;
use crate::call::CallRequest;
use crate::call::OWNER;
use crate::call::in_doubt;
use crate::call::not_run;
use crate::claim::ClaimOperation;
use crate::claim::ClaimOutcome;
use crate::claim::ClaimRequest;
use crate::context::DaemonContext;
use crate::context::lock;
use crate::deadline::CallDeadline;
use crate::deadline::RETURN_MARGIN;
use crate::hand_over::hand_over;
use crate::ids::MemberId;
use crate::outcome::CallOutcome;
use crate::outcome::DoubtReason;
use crate::outcome::RefusalReason;
use crate::record::RouteRecord;
use crate::running_count::RunningCount;

/// Answers a repeat of a booking that ran or is in doubt according to the ledger.
///
/// The repeat gets this answer even if another check would refuse it now.
pub(crate) fn answer_from_ledger(context: &DaemonContext, call: &CallRequest) -> Option<CallReply> {
    let key = BookingKey::parse(call.header(&BOOKING_KEY)?).ok()?;
    let decision = lock(&context.ledger).look_up(&key, call.fingerprint, context.now())?;
    match decision {
        BookingDecision::Replay(answer) => Some(replay(&answer)),
        BookingDecision::InDoubt(reason) => Some(in_doubt(reason)),
        _ => None,
    }
}

/// Runs a booking in a task of its own, so that it completes even if the caller disconnects.
pub(crate) async fn run_booking(
    context: &Arc<DaemonContext>,
    call: &CallRequest,
    route: &RouteRecord,
    deadline: CallDeadline,
) -> CallReply {
    let Some(Ok(key)) = call.header(&BOOKING_KEY).map(BookingKey::parse) else {
        return not_run(RefusalReason::BadKey);
    };
    // Refuse before the claim if the upstream would refuse, so that another daemon can claim the key.
    if !lock(&context.ledger).has_entry(&key)
        && let Some(reason) = context.upstream.refusal(deadline.shrink(RETURN_MARGIN))
    {
        return not_run(reason);
    }
    let context = Arc::clone(context);
    let call = call.clone();
    let route = route.clone();
    let running = RunningCount::start(&context.bookings_running);
    let task = tokio::spawn(async move {
        let _running = running;
        let decision = lock(&context.ledger).begin(&key, call.fingerprint, context.clock_reading());
        let decision = match decision {
            BookingDecision::Claim(row) => {
                let operation = ClaimOperation::Write(row);
                resolve_claim(&context, &route, deadline, &key, operation).await
            }
            BookingDecision::ReadClaim => {
                resolve_claim(&context, &route, deadline, &key, ClaimOperation::Read).await
            }
            decision => decision,
        };
        apply_decision(&context, &call, &route, deadline, &key, decision).await
    });
    task.await
        .unwrap_or_else(|_| in_doubt(DoubtReason::AnswerBroken))
}

async fn apply_decision(
    context: &Arc<DaemonContext>,
    call: &CallRequest,
    route: &RouteRecord,
    deadline: CallDeadline,
    key: &BookingKey,
    decision: BookingDecision,
) -> CallReply {
    match decision {
        BookingDecision::Run => {
            let reply = hand_over(context, call, route, deadline, Some(key)).await;
            record_reply(context, key, &reply);
            reply
        }
        BookingDecision::Replay(answer) => replay(&answer),
        BookingDecision::InDoubt(reason) => in_doubt(reason),
        BookingDecision::NotRun(reason) => not_run(reason),
        BookingDecision::Elsewhere(owner, _) => redirect_to_owner(&owner),
        BookingDecision::Claim(_) | BookingDecision::ReadClaim => {
            not_run(RefusalReason::StoreUnavailable)
        }
    }
}

/// Writes or reads the claim row and reports the outcome to the ledger.
async fn resolve_claim(
    context: &Arc<DaemonContext>,
    route: &RouteRecord,
    deadline: CallDeadline,
    key: &BookingKey,
    operation: ClaimOperation,
) -> BookingDecision {
    let (answer, outcome) = flume::bounded(1);
    let service = route.service.clone();
    let request = ClaimRequest {
        service,
        key: key.to_string().into(),
        operation,
        answer,
    };
    // A full queue drops the request and its sender, so the outcome is `Unknown` at once.
    let _ = context.claims.try_send(request);
    let left = deadline.shrink(RETURN_MARGIN * 2).remaining(context.now());
    let outcome = match tokio::time::timeout(left, outcome.recv_async()).await {
        Ok(Ok(outcome)) => outcome,
        _ => ClaimOutcome::Unknown,
    };
    // Read the clock after the outcome, so that a claim written after its key expired is detected.
    let wall = context.clock.wall();
    let mut ledger = lock(&context.ledger);
    match outcome {
        ClaimOutcome::Claimed => ledger.on_claimed(key, wall),
        ClaimOutcome::Taken(row) => ledger.on_claim_taken(key, &row, wall),
        ClaimOutcome::Missing => ledger.on_claim_missing(key, wall),
        ClaimOutcome::Unknown => ledger.on_claim_unknown(key, wall),
    }
}

fn record_reply(context: &DaemonContext, key: &BookingKey, reply: &CallReply) {
    let mut ledger = lock(&context.ledger);
    match reply.outcome {
        CallOutcome::Ran => ledger.mark_done(key, store_answer(&reply.response), context.now()),
        CallOutcome::NotRun(_) => ledger.mark_not_run(key),
        CallOutcome::InDoubt(reason) => ledger.mark_in_doubt(key, reason),
    }
}

fn store_answer(response: &Response<Bytes>) -> StoredAnswer {
    let mut headers = Vec::new();
    for (name, value) in response.headers() {
        if let Ok(text) = value.to_str() {
            headers.push((name.as_str().into(), text.into()));
        }
    }
    let body = response.body().as_ref().into();
    StoredAnswer {
        status: response.status().as_u16(),
        headers,
        body,
    }
}

fn replay(answer: &StoredAnswer) -> CallReply {
    let mut builder = Response::builder().status(answer.status);
    for (name, value) in &answer.headers {
        builder = builder.header(&**name, &**value);
    }
    match builder.body(Bytes::copy_from_slice(&answer.body)) {
        Ok(response) => CallReply::ran(response),
        Err(_) => in_doubt(DoubtReason::AnswerDropped),
    }
}

/// Refuses the attempt and names the owner of the key in the [`OWNER`] header.
fn redirect_to_owner(owner: &MemberId) -> CallReply {
    let mut reply = not_run(RefusalReason::UnknownTarget);
    if let Ok(owner) = HeaderValue::from_str(owner) {
        reply.response.headers_mut().insert(OWNER, owner);
    }
    reply
}
