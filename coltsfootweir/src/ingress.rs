//! Handles a caller's call: finds the route, chooses a version and an endpoint, and retries within
//! limits.

use std::sync::Arc;

use hyper::Response;
use hyper::body::Bytes;
use hyper::header::HeaderMap;
use hyper::header::HeaderName;
use rand::RngExt;

use crate::balance::Candidate;
use crate::booking_key::BookingKey;
use crate::call::BOOKING_KEY;
use crate::call::CallReply;
use crate::call::CallRequest;
use crate::call::DEADLINE;
use crate::call::LOAD;
use crate::call::OUTCOME;
use crate::call::OWNER;
use crate::call::REASON;
use crate::call::in_doubt;
use crate::call::not_run;
use crate::context::DaemonContext;
use crate::context::lock;
use crate::deadline::CallDeadline;
use crate::deadline::LINK_RETURN_MARGIN;
use crate::deadline::RETURN_MARGIN;
use crate::endpoint_index::EndpointIndex;
use crate::endpoint_index::EndpointTarget;
use crate::endpoint_state::CallEnd;
use crate::guard_call::run_guarded;
use crate::http_pool::SendError;
use crate::ids::MemberId;
use crate::link::LinkCause;
use crate::link::head_bytes;
use crate::load_report::LoadReport;
use crate::outcome::CallOutcome;
use crate::outcome::DoubtReason;
use crate::outcome::RefusalReason;
use crate::record::RouteClass;
use crate::record::RouteRecord;
use crate::retry::RETRY_BURST;
use crate::retry::RetryBudget;
use crate::retry::RetryCase;
use crate::retry::RetryDecision;
use crate::retry::RetryRule;
use crate::route_table::RouteTable;

/// A call with its attempts so far.
struct CallAttempts<'a> {
    context: &'a Arc<DaemonContext>,
    call: &'a CallRequest,
    route: &'a RouteRecord,
    table: &'a RouteTable,
    deadline: CallDeadline,
    tried: Vec<MemberId>,
}

/// Handles a caller's call and counts its outcome.
pub(crate) async fn run_ingress(context: &Arc<DaemonContext>, call: &CallRequest) -> CallReply {
    let reply = route_call(context, call).await;
    context.tally.add(reply.outcome);
    reply
}

async fn route_call(context: &Arc<DaemonContext>, call: &CallRequest) -> CallReply {
    if !context.is_serving() {
        return not_run(RefusalReason::NotServing);
    }
    let table = context.table.load_full();
    let Some(route) = table.find(call.route_path()) else {
        return not_run(RefusalReason::NoRoute);
    };
    let now = context.now();
    if lock(&context.poison).is_refused(call.fingerprint, now) {
        return not_run(RefusalReason::Poison);
    }
    let deadline = CallDeadline::on_arrival(call.header(&DEADLINE), route.timeout, now);
    let tried = Vec::new();
    let mut attempts = CallAttempts {
        context,
        call,
        route,
        table: &table,
        deadline,
        tried,
    };
    let reply = attempts.run().await;
    let failed = match reply.outcome {
        CallOutcome::Ran => reply.response.status().is_server_error(),
        CallOutcome::NotRun(reason) => !reason.is_caller_error(),
        CallOutcome::InDoubt(_) => true,
    };
    lock(&context.slo).on_call(&route.service, &route.name, failed, context.now());
    reply
}

impl CallAttempts<'_> {
    async fn run(&mut self) -> CallReply {
        self.with_budget(|budget| budget.on_call());
        if self.route.class == RouteClass::Check || self.call.is_mint() {
            return self.try_endpoints().await;
        }
        match self.call.header(&BOOKING_KEY).map(BookingKey::parse) {
            Some(Ok(BookingKey::Minted { member, .. })) => self.try_owner(&member).await,
            Some(Ok(BookingKey::Caller(_))) => self.try_claimed().await,
            _ => not_run(RefusalReason::BadKey),
        }
    }

    /// Runs a booking with a key made by the caller, at the member that claimed the key first.
    async fn try_claimed(&mut self) -> CallReply {
        let reply = self.try_endpoints().await;
        let owner = reply
            .response
            .headers()
            .get(OWNER)
            .and_then(|owner| owner.to_str().ok());
        let Some(owner) = owner.map(MemberId::from) else {
            return reply;
        };
        self.try_owner(&owner).await
    }

    /// Sends a booking to the owner of its key, the only member that may run it.
    async fn try_owner(&mut self, owner: &MemberId) -> CallReply {
        let index = self.context.index.load_full();
        let Some(target) = index.member(owner) else {
            return in_doubt(DoubtReason::OwnerGone);
        };
        let reply = self.send(target).await;
        match reply.outcome {
            // The owner's ledger was not consulted, and only it records earlier attempts.
            CallOutcome::NotRun(RefusalReason::UnknownTarget | RefusalReason::UpstreamDown)
                if !reply.response.headers().contains_key(LOAD) =>
            {
                in_doubt(DoubtReason::OwnerGone)
            }
            _ => reply,
        }
    }

    async fn try_endpoints(&mut self) -> CallReply {
        let mut may_have_run = None;
        loop {
            let reply = self.try_one().await;
            if let CallOutcome::InDoubt(reason) = reply.outcome {
                may_have_run = Some(reason);
            }
            if reply.response.headers().contains_key(OWNER) || !self.take_retry(reply.outcome) {
                return match (reply.outcome, may_have_run) {
                    (CallOutcome::NotRun(_), Some(reason)) => in_doubt(reason),
                    _ => reply,
                };
            }
        }
    }

    async fn try_one(&mut self) -> CallReply {
        let index = self.context.index.load_full();
        match self.choose(&index) {
            Some(target) => self.send(target).await,
            None => not_run(RefusalReason::NoEndpoint),
        }
    }

    /// Chooses a version according to the traffic shares, and an endpoint of it.
    fn choose<'i>(&self, index: &'i EndpointIndex) -> Option<&'i EndpointTarget> {
        let service = &self.route.service;
        let point = rand::rng().random_range(0..100);
        let condemned = |split: &crate::route_table::VersionSplit| {
            let name = split.move_name.as_ref();
            name.is_some_and(|name| index.is_condemned(name, &split.version))
        };
        let version = self
            .table
            .pick(service, self.route.class, condemned, point)?;
        if let Some(target) = self.choose_endpoint(index.targets(service, version)) {
            return Some(target);
        }
        let fallback = self.table.fallback(service, version)?;
        self.choose_endpoint(index.targets(service, fallback))
    }

    fn choose_endpoint<'i>(&self, targets: &'i [EndpointTarget]) -> Option<&'i EndpointTarget> {
        let candidates: Vec<Candidate<'_>> =
            targets.iter().map(EndpointTarget::candidate).collect();
        let now = self.context.now();
        let chosen = lock(&self.context.chooser).choose(&candidates, &self.tried, now)?;
        targets.get(chosen)
    }

    async fn send(&mut self, target: &EndpointTarget) -> CallReply {
        self.tried.push(target.id.clone());
        let running = RunningCall::start(self.context, target);
        if target.id == self.context.id {
            let reply = run_guarded(self.context, self.call, self.deadline).await;
            running.end(&reply, Some(self.context.upstream.load()));
            return reply;
        }
        let reply = self.forward(target).await;
        let load = header_text(reply.response.headers(), &LOAD).and_then(LoadReport::parse);
        running.end(&reply, load);
        reply
    }

    async fn forward(&self, target: &EndpointTarget) -> CallReply {
        let is_other_region = target.region != self.context.settings.region;
        let margin = if is_other_region {
            LINK_RETURN_MARGIN
        } else {
            RETURN_MARGIN
        };
        let deadline = self.deadline.shrink(margin);
        let Some(millis) = deadline.header_ms(self.context.now()) else {
            return not_run(RefusalReason::DeadlinePassed);
        };
        let Some(address) = self.context.dialer.dial(target.call_address) else {
            return not_run(RefusalReason::UpstreamDown);
        };
        let request = self.call.to_forward(Some(&target.id), millis);
        let sent = self.call.body.len() + head_bytes(request.headers());
        let left = self.deadline.remaining(self.context.now());
        let sending = self.context.peers.send(address, request);
        let reply = match tokio::time::timeout(left, sending).await {
            Ok(Ok(response)) => read_peer_reply(response),
            Ok(Err(SendError::NotConnected)) => not_run(RefusalReason::UpstreamDown),
            Ok(Err(SendError::Broken | SendError::TooLong)) => in_doubt(DoubtReason::AnswerBroken),
            Err(_) => in_doubt(DoubtReason::Timeout),
        };
        let received = reply.response.body().len() + head_bytes(reply.response.headers());
        let meter = &self.context.meter;
        meter.add(LinkCause::Calls, is_other_region, sent + received);
        reply
    }

    fn take_retry(&self, outcome: CallOutcome) -> bool {
        let now = self.context.now();
        let case = RetryCase {
            outcome,
            class: self.route.class,
            attempt: self.tried.len() as u32,
            hops: self.call.hops(),
            remaining: self.deadline.remaining(now),
            is_suspect: lock(&self.context.poison).is_suspect(self.call.fingerprint, now),
        };
        self.with_budget(|budget| RetryRule.decide(&case, budget)) == RetryDecision::Retry
    }

    fn with_budget<T>(&self, work: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let percent = self.route.retry_percent;
        let mut budgets = lock(&self.context.budgets);
        if let Some(budget) = budgets.get_mut(&self.route.name) {
            budget.set_percent(percent);
            return work(budget);
        }
        let budget = budgets.entry(self.route.name.clone());
        work(budget.or_insert_with(|| RetryBudget::new(percent, RETRY_BURST)))
    }
}

/// Reads the outcome from the headers of another daemon's reply.
fn read_peer_reply(response: Response<Bytes>) -> CallReply {
    let headers = response.headers();
    let outcome = header_text(headers, &OUTCOME)
        .and_then(|outcome| CallOutcome::parse(outcome, header_text(headers, &REASON)));
    match outcome {
        Some(CallOutcome::Ran) => CallReply::ran(response),
        Some(outcome) => CallReply { outcome, response },
        None => in_doubt(DoubtReason::AnswerBroken),
    }
}

fn header_text<'h>(headers: &'h HeaderMap, name: &HeaderName) -> Option<&'h str> {
    headers.get(name)?.to_str().ok()
}

/// A call sent to an endpoint. Dropping it counts its end, so that cancelled calls count as well.
struct RunningCall<'a> {
    context: &'a DaemonContext,
    id: &'a MemberId,
    end: CallEnd,
}

impl<'a> RunningCall<'a> {
    fn start(context: &'a DaemonContext, target: &'a EndpointTarget) -> RunningCall<'a> {
        lock(&context.chooser).on_start(&target.id, context.now());
        RunningCall {
            context,
            id: &target.id,
            end: CallEnd::Neutral,
        }
    }

    fn end(mut self, reply: &CallReply, load: Option<LoadReport>) {
        self.end = match reply.outcome {
            CallOutcome::Ran if reply.response.status().is_server_error() => CallEnd::Failure,
            CallOutcome::Ran => CallEnd::Success,
            CallOutcome::NotRun(RefusalReason::UpstreamDown) => CallEnd::ConnectError,
            CallOutcome::NotRun(_) => CallEnd::Neutral,
            CallOutcome::InDoubt(_) => CallEnd::Failure,
        };
        if let Some(load) = load {
            lock(&self.context.chooser).on_answer(self.id, load, self.context.now());
        }
    }
}

impl Drop for RunningCall<'_> {
    fn drop(&mut self) {
        lock(&self.context.chooser).on_end(self.id, self.end, self.context.now());
    }
}
