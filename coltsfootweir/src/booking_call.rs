//! Runs a booking: what the ledger knows of its key, the claim, and the answer kept for repeats.

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
use crate::call::doubt;
use crate::call::refuse;
use crate::claim::ClaimOutcome;
use crate::claim::ClaimRequest;
use crate::claim::ClaimWork;
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

/// Answers a repeat of a booking that the ledger knows to have run or to be in doubt, whatever else
/// would refuse it now.
pub(crate) fn answer_from_ledger(context: &DaemonContext, call: &CallRequest) -> Option<CallReply> {
    let key = BookingKey::parse(call.header(&BOOKING_KEY)?).ok()?;
    let decision = lock(&context.ledger).look_up(&key, call.fingerprint, context.now())?;
    match decision {
        BookingDecision::Replay(answer) => Some(replay(&answer)),
        BookingDecision::InDoubt(reason) => Some(doubt(reason)),
        _ => None,
    }
}

/// Runs a booking in a task of its own, so that a caller who hangs up does not end it half-way.
pub(crate) async fn run_booking(
    context: &Arc<DaemonContext>,
    call: &CallRequest,
    route: &RouteRecord,
    deadline: CallDeadline,
) -> CallReply {
    let Some(Ok(key)) = call.header(&BOOKING_KEY).map(BookingKey::parse) else {
        return refuse(RefusalReason::BadKey);
    };
    // A key is not bound to an upstream that would refuse it, so that another one can claim it.
    if !lock(&context.ledger).knows(&key)
        && let Some(reason) = context.upstream.refusal(deadline.shrink(RETURN_MARGIN))
    {
        return refuse(reason);
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
                let work = ClaimWork::Write(row);
                settle_claim(&context, &route, deadline, &key, work).await
            }
            BookingDecision::ReadClaim => {
                settle_claim(&context, &route, deadline, &key, ClaimWork::Read).await
            }
            decision => decision,
        };
        follow_decision(&context, &call, &route, deadline, &key, decision).await
    });
    task.await
        .unwrap_or_else(|_| doubt(DoubtReason::AnswerBroken))
}

async fn follow_decision(
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
            settle_booking(context, key, &reply);
            reply
        }
        BookingDecision::Replay(answer) => replay(&answer),
        BookingDecision::InDoubt(reason) => doubt(reason),
        BookingDecision::NotRun(reason) => refuse(reason),
        BookingDecision::Elsewhere(owner, _) => point_to(&owner),
        BookingDecision::Claim(_) | BookingDecision::ReadClaim => {
            refuse(RefusalReason::StoreUnavailable)
        }
    }
}

/// Has the claim row written or read, and reports to the ledger what came of it.
async fn settle_claim(
    context: &Arc<DaemonContext>,
    route: &RouteRecord,
    deadline: CallDeadline,
    key: &BookingKey,
    work: ClaimWork,
) -> BookingDecision {
    let (answer, outcome) = flume::bounded(1);
    let service = route.service.clone();
    let request = ClaimRequest {
        service,
        key: key.to_string().into(),
        work,
        answer,
    };
    // A full queue drops the request, and with it the sender: the claim is then unknown at once.
    let _ = context.claims.try_send(request);
    let left = deadline.shrink(RETURN_MARGIN * 2).remaining(context.now());
    let outcome = match tokio::time::timeout(left, outcome.recv_async()).await {
        Ok(Ok(outcome)) => outcome,
        _ => ClaimOutcome::Unknown,
    };
    // Read after the outcome, so that a claim written too late is seen as such.
    let wall = context.clock.wall();
    let mut ledger = lock(&context.ledger);
    match outcome {
        ClaimOutcome::Claimed => ledger.claimed(key, wall),
        ClaimOutcome::Taken(row) => ledger.claim_lost(key, &row, wall),
        ClaimOutcome::Missing => ledger.claim_missing(key, wall),
        ClaimOutcome::Unknown => ledger.claim_unknown(key, wall),
    }
}

fn settle_booking(context: &DaemonContext, key: &BookingKey, reply: &CallReply) {
    let mut ledger = lock(&context.ledger);
    match reply.outcome {
        CallOutcome::Ran => ledger.finish(key, store_answer(&reply.response), context.now()),
        CallOutcome::NotRun(_) => ledger.not_run(key),
        CallOutcome::InDoubt(reason) => ledger.doubt(key, reason),
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
        Err(_) => doubt(DoubtReason::AnswerDropped),
    }
}

/// Tells the daemon that sent the booking who owns its key.
fn point_to(owner: &MemberId) -> CallReply {
    let mut reply = refuse(RefusalReason::UnknownTarget);
    if let Ok(owner) = HeaderValue::from_str(owner) {
        reply.response.headers_mut().insert(OWNER, owner);
    }
    reply
}
