//! Runs a call at the own upstream: admission, the booking ledger, the hand-over and its evidence.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Bytes;
use hyper::header::HeaderValue;
use log::info;
use log::warn;
use tokio::net::TcpStream;

use crate::announce::UpstreamAnnouncement;
use crate::answer_cache::StoredAnswer;
use crate::booking_decision::BookingDecision;
use crate::booking_decision::ClaimRow;
use crate::booking_key::BookingKey;
use crate::call::BOOKING_KEY;
use crate::call::CallReply;
use crate::call::CallRequest;
use crate::call::OWNER;
use crate::claim::ClaimOutcome;
use crate::claim::ClaimRequest;
use crate::context::DaemonContext;
use crate::context::lock;
use crate::deadline::CallDeadline;
use crate::deadline::RETURN_MARGIN;
use crate::fact::CrashFact;
use crate::http_pool::SendError;
use crate::ids::MemberId;
use crate::logging::UPSTREAM;
use crate::outcome::CallOutcome;
use crate::outcome::DoubtReason;
use crate::outcome::RefusalReason;
use crate::record::RouteClass;
use crate::record::RouteRecord;
use crate::record::TrafficShare;
use crate::route_table::RouteTable;
use crate::running_count::RunningCount;

/// Time a connection attempt to an upstream that broke a connection may take.
const CRASH_PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for which a new connection must stay open to show that the upstream lives.
const CRASH_WATCH_TIME: Duration = Duration::from_millis(50);

/// Runs a call at the own upstream.
pub(crate) async fn run_guarded(
    context: &Arc<DaemonContext>,
    call: &CallRequest,
    deadline: CallDeadline,
) -> CallReply {
    if let Some(reply) = ask_ledger(context, call) {
        return reply;
    }
    if !context.is_serving() {
        return refuse(RefusalReason::NotServing);
    }
    if lock(&context.poison).is_refused(call.fingerprint, context.now()) {
        return refuse(RefusalReason::Poison);
    }
    let table = context.table.load_full();
    // The daemon that sent the call has the route; this one is behind, and another may take the call.
    let Some(route) = table.find(call.route_path()) else {
        return refuse(RefusalReason::NotServing);
    };
    let Some(known) = context
        .upstream
        .identity()
        .filter(|own| own.service == route.service)
    else {
        return refuse(RefusalReason::UnknownTarget);
    };
    if is_version_off(context, &table, &known) {
        return refuse(RefusalReason::VersionOff);
    }
    if call.is_mint() {
        return mint_key(context, call, route);
    }
    match route.class {
        RouteClass::Check => hand_over(context, call, route, deadline, None).await,
        RouteClass::Booking => run_booking(context, call, route, deadline).await,
    }
}

/// Answers a repeat of a booking that the ledger knows to have run or to be in doubt, whatever else
/// would refuse it now.
fn ask_ledger(context: &DaemonContext, call: &CallRequest) -> Option<CallReply> {
    let key = BookingKey::parse(call.header(&BOOKING_KEY)?).ok()?;
    let decision = lock(&context.ledger).look_up(&key, call.fingerprint, context.now())?;
    match decision {
        BookingDecision::Replay(answer) => Some(replay(&answer)),
        BookingDecision::InDoubt(reason) => Some(doubt(reason)),
        _ => None,
    }
}

/// Returns whether the own version gets no traffic: it was found bad, or has no share and no move.
fn is_version_off(context: &DaemonContext, table: &RouteTable, own: &UpstreamAnnouncement) -> bool {
    let mut splits = table.splits(&own.service).iter();
    let Some(split) = splits.find(|split| split.version == own.version) else {
        return true;
    };
    match &split.move_name {
        Some(name) => context.index.load().is_condemned(name, &split.version),
        None => split.share == TrafficShare::NONE,
    }
}

/// Gives a caller a key with which only the own upstream may run a booking.
fn mint_key(context: &DaemonContext, call: &CallRequest, route: &RouteRecord) -> CallReply {
    if call.method != Method::POST || route.class != RouteClass::Booking {
        return refuse(RefusalReason::BadKey);
    }
    if context.is_leaving() {
        return refuse(RefusalReason::Leaving);
    }
    if context.upstream.address().is_none() {
        return refuse(RefusalReason::UpstreamDown);
    }
    let key = lock(&context.ledger).mint();
    CallReply::ran(Response::new(Bytes::from(format!("{key}\n"))))
}

fn refuse(reason: RefusalReason) -> CallReply {
    CallReply::told(CallOutcome::NotRun(reason))
}

fn doubt(reason: DoubtReason) -> CallReply {
    CallReply::told(CallOutcome::InDoubt(reason))
}

/// Runs a booking in a task of its own, so that a caller who hangs up does not end it half-way.
async fn run_booking(
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
        let decision = lock(&context.ledger).begin(&key, call.fingerprint, context.now());
        let decision = match decision {
            BookingDecision::Claim(row) => claim_key(&context, &route, deadline, &key, row).await,
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
        BookingDecision::Claim(_) => refuse(RefusalReason::StoreUnavailable),
    }
}

async fn claim_key(
    context: &Arc<DaemonContext>,
    route: &RouteRecord,
    deadline: CallDeadline,
    key: &BookingKey,
    row: ClaimRow,
) -> BookingDecision {
    let (answer, outcome) = flume::bounded(1);
    let service = route.service.clone();
    let request = ClaimRequest {
        service,
        key: key.to_string().into(),
        row,
        answer,
    };
    // A full queue drops the request, and with it the sender: the claim is then unknown at once.
    let _ = context.claims.try_send(request);
    let left = deadline.shrink(RETURN_MARGIN * 2).remaining(context.now());
    let outcome = match tokio::time::timeout(left, outcome.recv_async()).await {
        Ok(Ok(outcome)) => outcome,
        _ => ClaimOutcome::Unknown,
    };
    let mut ledger = lock(&context.ledger);
    match outcome {
        ClaimOutcome::Claimed => ledger.claimed(key),
        ClaimOutcome::Taken(row) => ledger.claim_lost(key, &row),
        ClaimOutcome::Unknown => ledger.claim_unknown(key),
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

/// Waits for a slot and hands the request to the upstream.
async fn hand_over(
    context: &Arc<DaemonContext>,
    call: &CallRequest,
    route: &RouteRecord,
    deadline: CallDeadline,
    key: Option<&BookingKey>,
) -> CallReply {
    let deadline = deadline.shrink(RETURN_MARGIN);
    let mut permit = match context.upstream.admit(call.fingerprint, deadline).await {
        Ok(permit) => permit,
        Err(reason) => return refuse(reason),
    };
    let now = context.now();
    let Some(millis) = deadline.header_ms(now) else {
        return refuse(RefusalReason::DeadlinePassed);
    };
    let Some(address) = context.upstream.address() else {
        return refuse(RefusalReason::UpstreamDown);
    };
    if let Some(key) = key
        && !lock(&context.ledger).handed_over(key)
    {
        return doubt(DoubtReason::StillRunning);
    }
    let request = call.to_forward(None, millis);
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
            CallReply::ran(response)
        }
        Ok(Err(SendError::NotConnected)) => {
            note_if_crashed(context, address).await;
            refuse(RefusalReason::UpstreamDown)
        }
        Ok(Err(SendError::Broken | SendError::TooLong)) => {
            let suspects = lock(&context.poison).crash_suspects(&[call.fingerprint], start);
            if note_if_crashed(context, address).await {
                let is_suspect = !suspects.is_empty();
                return doubt(if is_suspect {
                    DoubtReason::UpstreamCrashed
                } else {
                    DoubtReason::AnswerBroken
                });
            }
            record_call(context, route, true, latency);
            doubt(DoubtReason::AnswerBroken)
        }
        Err(_) => {
            record_call(context, route, latency >= route.timeout / 2, latency);
            doubt(DoubtReason::Timeout)
        }
    }
}

fn record_call(context: &DaemonContext, route: &RouteRecord, failed: bool, latency: Duration) {
    lock(&context.recorder).on_call(&route.name, route.class, failed, latency);
}

/// Returns whether a new connection to the upstream is made and stays open for a while. The listener of
/// a process that ends can outlive its connections, and takes a connection that is reset soon after.
async fn is_alive(address: SocketAddr) -> bool {
    let connecting = TcpStream::connect(address);
    let Ok(Ok(stream)) = tokio::time::timeout(CRASH_PROBE_TIMEOUT, connecting).await else {
        return false;
    };
    let mut byte = [0];
    tokio::time::timeout(CRASH_WATCH_TIME, stream.peek(&mut byte))
        .await
        .is_err()
}

/// Finds out whether the upstream crashed, and spreads it when it did.
async fn note_if_crashed(context: &Arc<DaemonContext>, address: SocketAddr) -> bool {
    if is_alive(address).await {
        return false;
    }
    context.upstream.pool.forget(address);
    let now = context.now();
    let Some((crash, entry)) = context.upstream.note_crash(now) else {
        return true;
    };
    warn!(target: UPSTREAM, "crashed with {} requests running", crash.running.len());
    let mut gossip = lock(&context.gossip);
    gossip.set_endpoint(entry);
    let suspects = lock(&context.poison).crash_suspects(&crash.running, now);
    for fingerprint in &suspects {
        let fact = CrashFact {
            fingerprint: *fingerprint,
            member: context.id.clone(),
            incarnation: context.incarnation,
            number: crash.number,
        };
        lock(&context.poison).on_crash(&fact, now);
        info!(target: UPSTREAM, "request {fingerprint:016x} was running at the crash");
        gossip.report_crash(fact);
    }
    drop(gossip);
    lock(&context.recorder).on_crash(suspects);
    context.refresh_index();
    context.push_urgent();
    true
}
