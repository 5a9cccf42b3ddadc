//! Routing of one client request: choice of an endpoint, retries, hedging and the final result.

mod attempt_record;
pub mod attempts_end;
pub mod choice_view;
mod endpoint_choice;
mod hedged_attempt;
pub mod refusal_tally;
mod repeat_rules;

use std::cell::Cell;
use std::cell::RefCell;
use std::time::Duration;

use rand::RngExt;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::MemberId;
use crate::ids::ServiceName;
use crate::retry::RetryBudget;
use crate::sidecar::answer::answer_hold::HeldBytes;
use crate::sidecar::answer::answer_rest::AnswerRest;
use crate::sidecar::answer::answer_rest::BodyPiece;
use crate::sidecar::call_attempts::attempt_record::is_failure;
use crate::sidecar::call_attempts::attempts_end::AttemptsEnd;
use crate::sidecar::call_attempts::endpoint_choice::ChosenEndpoint;
use crate::sidecar::call_attempts::endpoint_choice::EndpointNeed;
use crate::sidecar::call_attempts::refusal_tally::RefusalTally;
use crate::sidecar::config_holder::ActiveConfig;
use crate::sidecar::fair_queue::TeamHash;
use crate::sidecar::fair_queue::team_hash;
use crate::sidecar::frame::CallResult;
use crate::sidecar::frame::EndpointLoad;
use crate::sidecar::frame::FEATURE_LATE_BODIES;
use crate::sidecar::frame::FEATURE_OFFERS;
use crate::sidecar::frame::ForwardedCall;
use crate::sidecar::frame::NotRunCause;
use crate::sidecar::frame::NotRunReport;
use crate::sidecar::frame::UnknownCause;
use crate::sidecar::local_endpoint::not_run;
use crate::sidecar::local_endpoint::wall_ms;
use crate::sidecar::mesh_config::MeshRoute;
use crate::sidecar::peer_link::LinkOutcome;
use crate::sidecar::placement::region_filter::RegionFilter;
use crate::sidecar::refusal_memory::RefusalScope;
use crate::sidecar::running_call::FAILURE_STATUS;
use crate::sidecar::running_call::RunningCall;
use crate::sidecar::sidecar_state::SidecarState;
use crate::sidecar::teams::caller::RequestCaller;
use crate::sidecar::uploads::upload_times::NewRequest;
use crate::sidecar::uploads::upload_times::is_large;

/// Share of the retry budget that the daemons use. The rest allows for differences between the
/// counts of the daemons and for the calls that a repeated run makes, which are repeats too.
const BUDGET_SHARE: f64 = 0.6;

/// Minimum time before the deadline for another attempt.
const MIN_RETRY_TIME: Duration = Duration::from_millis(30);

/// Share of the route's target time within which the endpoint should finish a request. The rest is
/// for the transfer from and to the client.
const TARGET_SHARE: f64 = 0.9;

/// A request and the state of its attempts.
pub struct CallAttempts<'a> {
    state: &'a SidecarState,
    route: &'a MeshRoute,
    caller: RequestCaller<'a>,
    /// Regions in which the request may run.
    regions: RegionFilter<'a>,
    /// Zones of which at least this share of requests is moved away are not used.
    zone_point: Cell<f64>,
    service: ServiceName,
    deadline: Duration,
    /// Time by which the request should finish, at most `deadline`.
    finish_by: Duration,
    /// Time until which the request may wait for a slot, at most `deadline`; later than `finish_by` for
    /// some requests with large bodies.
    wait_until: Duration,
    /// Length of the request's body in bytes.
    body_length: u64,
    /// Hash of the route's name.
    route_hash: u32,
    team_hash: Option<TeamHash>,
    refusals: Cell<RefusalTally>,
    tried: RefCell<Vec<MemberId>>,
    /// Shortest expected wait for a slot among the endpoints skipped for lack of capacity.
    shortest_wait: Cell<Option<Duration>>,
    /// Whether endpoints of other regions may be needed.
    needs_other_regions: Cell<bool>,
    /// Cause of the last refusal for lack of capacity, or of the remembered one that ends first.
    refused_for: Cell<NotRunCause>,
    /// Number of endpoints that received the request.
    reached: Cell<u32>,
    /// Number of runs that the team's limit allows, each for one token.
    tokens: Cell<u32>,
}

/// Result of one attempt, and the rest of the answer if there is more than the result holds.
struct AttemptEnd {
    result: CallResult,
    rest: Option<AnswerRest>,
}

impl<'a> CallAttempts<'a> {
    /// Prepares a request with a body of `body_length` bytes for a service. `deadline` is a time since
    /// the start of the daemon.
    #[must_use]
    pub fn new(
        state: &'a SidecarState,
        active: &'a ActiveConfig,
        route: &'a MeshRoute,
        caller: RequestCaller<'a>,
        service: ServiceName,
        body_length: u64,
        deadline: Duration,
    ) -> CallAttempts<'a> {
        let target = Duration::from_millis(u64::from(route.target_ms)).mul_f64(TARGET_SHARE);
        let request = NewRequest {
            target: state.now() + target,
            deadline,
            is_preferred: active.is_preferred(&service, caller.rank),
            body_length,
        };
        let team_regions = caller.team.map_or(&[][..], |team| &team.allowed_regions);
        let zone_point = match state.evacuations.borrow().is_empty() {
            true => 1.0,
            false => rand::rng().random_range(0.0..1.0),
        };
        CallAttempts {
            state,
            route,
            caller,
            regions: RegionFilter::new(&route.terms.allowed_regions, team_regions),
            zone_point: Cell::new(zone_point),
            service,
            deadline,
            finish_by: request.finish_by(),
            wait_until: request.wait_until(),
            body_length,
            route_hash: xxh3_64(route.name.as_bytes()) as u32,
            team_hash: caller.team.map(|team| team_hash(&team.name)),
            refusals: Cell::default(),
            shortest_wait: Cell::new(None),
            needs_other_regions: Cell::new(false),
            refused_for: Cell::new(NotRunCause::Overloaded),
            tried: RefCell::default(),
            reached: Cell::new(0),
            tokens: Cell::new(1),
        }
    }

    /// Sends the request to endpoints until one answers or no further attempt is allowed.
    pub async fn run(self, call: &ForwardedCall) -> AttemptsEnd {
        self.with_budget(RetryBudget::on_call);
        self.count_request();
        let mut last_failure = None;
        let end = loop {
            let Some(chosen) = self.choose(EndpointNeed::Any) else {
                break AttemptEnd::from(self.no_endpoint_result(&call.request_id));
            };
            let end = self.attempt_with_hedge(call, chosen).await;
            if !self.should_retry(&end.result) {
                break end;
            }
            let is_denied = !self.take_repeat_token().await;
            if is_denied {
                break end;
            }
            if is_failure(&end.result) {
                last_failure = Some(end);
            }
        };
        // `NotRun` states that the request did not run, so it must hold for all attempts.
        let end = match (end.result, last_failure) {
            (CallResult::NotRun(_), Some(failure)) => failure,
            (CallResult::NotRun(report), None) => AttemptEnd::from(self.final_refusal(report)),
            (result, _) => AttemptEnd { result, ..end },
        };
        AttemptsEnd {
            result: end.result,
            rest: end.rest,
            tried: self.tried.into_inner(),
            reached: self.reached.get(),
        }
    }

    /// Returns the result of a request of which all attempts were refused.
    fn final_refusal(&self, last: NotRunReport) -> CallResult {
        let wait = Duration::from_millis(u64::from(last.retry_after_ms));
        let retry_after_ms = match last.cause {
            NotRunCause::Overloaded | NotRunCause::LinkFull => {
                millis(self.refusals.get().retry_after(wait))
            }
            _ => last.retry_after_ms,
        };
        CallResult::NotRun(NotRunReport {
            retry_after_ms,
            ..last
        })
    }

    /// Returns the properties of the request on which refusals depend.
    fn refusal_scope(&self) -> RefusalScope {
        RefusalScope {
            route_hash: self.route_hash,
            team_hash: self.team_hash,
            body_length: self.body_length,
        }
    }

    fn expected_run(&self) -> Duration {
        let run_times = self.state.routing.run_times.borrow();
        run_times.expected(self.route_hash)
    }

    fn has_large_answer(&self) -> bool {
        let sizes = self.state.routing.answer_sizes.borrow();
        sizes.is_large(self.route_hash)
    }

    async fn attempt(&self, call: &ForwardedCall, chosen: ChosenEndpoint) -> AttemptEnd {
        let start = self.state.now();
        let is_first = self.tried.borrow().is_empty();
        self.tried.borrow_mut().push(chosen.member.clone());
        let finish_by = self.finish_by_at(&chosen.member, is_first, start);
        let call = ForwardedCall {
            left_ms: millis(self.deadline.saturating_sub(start)),
            wait_ms: millis(finish_by.saturating_sub(start)),
            kind: self.route_hash,
            sent_at_ms: wall_ms(self.state.clock.wall()),
            service: self.service.clone(),
            ..call.clone()
        };
        let call_id = call.request_id.clone();
        let mut running = RunningCall::start(self.state, &chosen.member);
        let own = self.state.settings().id.clone();
        let (load, begun) = match chosen.member == own {
            true => {
                let answer = self.state.run_locally(&call, Duration::ZERO).await;
                let end = AttemptEnd {
                    result: answer.result,
                    rest: answer.rest,
                };
                (Some(self.state.endpoint.load()), end)
            }
            false => self.run_remote(&chosen.member, call).await,
        };
        let AttemptEnd { result, rest } = self.hold_back(begun).await;
        if let CallResult::NotRun(report) = &result {
            self.record_refusal(&chosen.member, report);
        }
        running.end(load, &result);
        if let CallResult::Answer { run_ms, .. } = &result {
            let run = Duration::from_millis(u64::from(*run_ms));
            let mut run_times = self.state.routing.run_times.borrow_mut();
            run_times.record(self.route_hash, run);
            let mut hedging = self.state.routing.hedging.borrow_mut();
            hedging.on_answer(self.route_hash, self.state.now() - start);
        }
        self.record_attempt(&call_id, &chosen, &result, self.state.now() - start);
        AttemptEnd { result, rest }
    }

    /// Returns the time by which an attempt that starts at `start` should finish at the endpoint of a
    /// daemon. It is in the past for a large body that has missed the target time: its receiver lets it
    /// have what others leave.
    fn finish_by_at(&self, member: &MemberId, is_first: bool, start: Duration) -> Duration {
        let is_own = *member == self.state.settings.borrow().id;
        let link = self.state.members.link(member);
        let has_late_bodies =
            is_own || link.is_some_and(|link| link.has_feature(FEATURE_LATE_BODIES));
        if is_large(self.body_length) && has_late_bodies {
            return self.finish_by;
        }
        // A retry after the target time may still use a free slot until the deadline.
        match is_first || start < self.wait_until {
            true => self.wait_until,
            false => self.deadline,
        }
    }

    /// Returns the time by which a new attempt should finish: the deadline for a large body that has
    /// missed the target time.
    fn time_limit(&self) -> Duration {
        let is_late = is_large(self.body_length) && self.state.now() >= self.finish_by;
        match is_late {
            true => self.deadline,
            false => self.finish_by,
        }
    }

    fn record_refusal(&self, member: &MemberId, report: &NotRunReport) {
        if !matches!(
            report.cause,
            NotRunCause::Overloaded | NotRunCause::LinkFull
        ) {
            return;
        }
        let wait = Duration::from_millis(u64::from(report.retry_after_ms));
        let now = self.state.now();
        let region = self.state.members.read(|table| {
            let record = table.get(member);
            record.map(|record| record.region.clone())
        });
        let own_region = self.state.settings().region.clone();
        let scope = self.refusal_scope();
        let mut loads = self.state.routing.endpoint_loads.borrow_mut();
        match report.cause {
            NotRunCause::LinkFull => loads.record_link_refusal(member, scope, wait, now),
            _ => loads.record_refusal(member, scope, wait, now),
        }
        if let Some(region) = region.filter(|region| *region != own_region) {
            loads.record_region_refusal(&region, scope, now);
        }
        self.refused_for.set(report.cause);
        let mut refusals = self.refusals.get();
        refusals.record(report.cause, wait);
        self.refusals.set(refusals);
        let mut hedging = self.state.routing.hedging.borrow_mut();
        hedging.on_refusal(&self.service, now);
    }

    /// Waits for the rest of an answer, so that one that breaks off can be replaced. A rest that is
    /// too long to be held back, or not complete at the deadline, is returned.
    async fn hold_back(&self, begun: AttemptEnd) -> AttemptEnd {
        let (result, mut rest) = match begun {
            AttemptEnd {
                result,
                rest: Some(rest),
            } => (result, rest),
            whole => {
                self.record_size(&whole.result);
                return whole;
            }
        };
        let CallResult::Answer {
            status,
            headers,
            body,
            run_ms,
        } = result
        else {
            return AttemptEnd::from(result);
        };
        let mut held = HeldBytes::new(&self.state.routing.hold_budget, body);
        let mut is_whole = false;
        while held.has_room() {
            let left = self.deadline.saturating_sub(self.state.now());
            let Ok(piece) = tokio::time::timeout(left, rest.next()).await else {
                break;
            };
            match piece {
                BodyPiece::Data(bytes) => held.add(&bytes),
                BodyPiece::End => {
                    is_whole = true;
                    break;
                }
                BodyPiece::Broken => {
                    return AttemptEnd::from(CallResult::Unknown(UnknownCause::AnswerBroken));
                }
                BodyPiece::Stalled if self.may_repeat() => {
                    return AttemptEnd::from(CallResult::Unknown(UnknownCause::LinkLost));
                }
                BodyPiece::Stalled => {}
            }
        }
        let result = CallResult::Answer {
            status,
            headers,
            body: held.take(),
            run_ms,
        };
        if is_whole {
            self.record_size(&result);
            return AttemptEnd::from(result);
        }
        AttemptEnd {
            result,
            rest: Some(rest),
        }
    }

    fn record_size(&self, result: &CallResult) {
        if let CallResult::Answer { body, .. } = result {
            let mut sizes = self.state.routing.answer_sizes.borrow_mut();
            sizes.record(self.route_hash, body.len() as u64);
        }
    }

    async fn run_remote(
        &self,
        member: &MemberId,
        call: ForwardedCall,
    ) -> (Option<EndpointLoad>, AttemptEnd) {
        let unreachable = || (None, AttemptEnd::from(not_run(NotRunCause::Unreachable)));
        // The body must not leave for another region, whatever led to this choice.
        if !self.may_send_to(member) {
            return unreachable();
        }
        let Some(link) = self.state.members.link(member) else {
            return unreachable();
        };
        // A link without pieces holds a copy until it is sent.
        let copied = match link.has_feature(FEATURE_OFFERS) {
            true => 0,
            false => call.body.len() as u64,
        };
        // Other causes would count against the endpoint.
        let Ok(_copy) = self.state.guard.reserve_copy(copied) else {
            self.state.metrics.count_refusal("copy_no_memory");
            return (None, AttemptEnd::from(not_run(NotRunCause::Closed)));
        };
        let sent_ms = u64::try_from(self.state.now().as_millis()).unwrap_or(u64::MAX);
        match link.call(call, sent_ms, || self.may_repeat()).await {
            LinkOutcome::Replied(load, result, rest) => (Some(load), AttemptEnd { result, rest }),
            LinkOutcome::NotSent => unreachable(),
            LinkOutcome::Lost => {
                let lost = CallResult::Unknown(UnknownCause::LinkLost);
                (None, AttemptEnd::from(lost))
            }
        }
    }

    /// Returns whether to try another endpoint. Takes a repeat from the budget if an endpoint has
    /// already received the request.
    fn should_retry(&self, result: &CallResult) -> bool {
        let left = self.deadline.saturating_sub(self.state.now());
        let tried = self.tried.borrow().len();
        if left < MIN_RETRY_TIME || tried == 0 {
            return false;
        }
        let cause = match result {
            CallResult::NotRun(report) if !report.reached => {
                let is_final = matches!(report.cause, NotRunCause::Poison | NotRunCause::TooLate);
                return !is_final && self.refusals.get().may_ask_more(tried);
            }
            CallResult::NotRun(_) => "rejected",
            CallResult::Answer { status, .. } if *status < FAILURE_STATUS => return false,
            _ if !self.route.is_repeatable => return false,
            CallResult::Unknown(UnknownCause::EndpointCrashed) => return false,
            CallResult::Unknown(_) => "unknown",
            CallResult::Answer { .. } => "failed",
        };
        if !self.may_repeat_after(self.reached.get()) {
            return false;
        }
        let granted = self.with_budget(RetryBudget::take);
        if granted {
            self.state.metrics.count_repeat(cause);
        }
        granted
    }

    fn with_budget<T>(&self, work: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let bounds = self.state.settings.borrow().bounds;
        let daemons = self.state.members.known_count().max(1) as f64;
        let percent = (bounds.retry_share * BUDGET_SHARE * 100.0) as u8;
        let burst = (f64::from(bounds.retry_slack) * BUDGET_SHARE / daemons).max(1.0) as u32;
        let mut budgets = self.state.routing.budgets.borrow_mut();
        let budget = budgets
            .entry(self.service.clone())
            .or_insert_with(|| RetryBudget::new(percent, burst));
        // The settings and the number of daemons may have changed since the last request.
        budget.set_terms(percent, burst);
        work(budget)
    }
}

impl From<CallResult> for AttemptEnd {
    fn from(result: CallResult) -> AttemptEnd {
        AttemptEnd { result, rest: None }
    }
}

/// Converts a time to whole milliseconds, at most `u32::MAX`.
fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
