//! Routing of one client request: choice of an endpoint, retries, hedging and the final result.

use std::cell::Cell;
use std::cell::RefCell;
use std::time::Duration;

use rand::RngExt;
use xxhash_rust::xxh3::xxh3_64;

use crate::balance::Candidate;
use crate::deadline::LINK_RETURN_MARGIN;
use crate::deadline::RETURN_MARGIN;
use crate::ids::MemberId;
use crate::ids::ServiceName;
use crate::ids::VersionName;
use crate::member::EndpointPhase;
use crate::retry::RetryBudget;
use crate::sidecar::config_holder::ActiveConfig;
use crate::sidecar::frame::CallResult;
use crate::sidecar::frame::EndpointLoad;
use crate::sidecar::frame::ForwardedCall;
use crate::sidecar::frame::NotRunCause;
use crate::sidecar::frame::NotRunReport;
use crate::sidecar::frame::UnknownCause;
use crate::sidecar::local_endpoint::not_run;
use crate::sidecar::local_endpoint::wall_ms;
use crate::sidecar::member_table::MemberRecord;
use crate::sidecar::mesh_config::MeshRoute;
use crate::sidecar::peer_link::LinkOutcome;
use crate::sidecar::rollout::VersionChoice;
use crate::sidecar::running_call::FAILURE_STATUS;
use crate::sidecar::running_call::RunningCall;
use crate::sidecar::sidecar_state::SidecarState;

/// Number of tried daemons from which on a refused request is not sent to another one; each costs a
/// round trip.
const MAX_TRIED: usize = 4;

/// Share of the retry budget that the daemons use. The rest allows for differences between the
/// counts of the daemons and for the calls that a repeated run makes, which are repeats too.
const BUDGET_SHARE: f64 = 0.6;

/// Delay before a hedged attempt, as a multiple of the expected run time (mean plus mean deviation).
/// About 4 of 100 requests take longer than this without a fault.
const HEDGE_RUN_FACTOR: f64 = 1.7;

/// Minimum time before the deadline for another attempt.
const MIN_RETRY_TIME: Duration = Duration::from_millis(30);

/// Share of the route's target time within which the endpoint should finish a request. The rest is
/// for the transfer from and to the client.
const TARGET_SHARE: f64 = 0.9;

/// Factor on the slots of endpoints in the local region, in tenths: a short wait there costs
/// callers less time than the round trip to another region.
const LOCAL_SLOT_TENTHS: u16 = 14;

/// A request and the state of its attempts.
pub struct CallAttempts<'a> {
    state: &'a SidecarState,
    route: &'a MeshRoute,
    service: ServiceName,
    deadline: Duration,
    /// Time by which the request should finish, at most `deadline`.
    finish_by: Duration,
    /// Hash of the route's name.
    route_hash: u32,
    tried: RefCell<Vec<MemberId>>,
    /// Shortest expected wait for a slot among the endpoints skipped for lack of capacity.
    shortest_wait: Cell<Option<Duration>>,
    /// Number of endpoints that received the request.
    reached: Cell<u32>,
}

/// Result of a request and the attempts that led to it.
pub struct AttemptsEnd {
    /// Result of the request.
    pub result: CallResult,
    /// Daemons that were tried, in order.
    pub tried: Vec<MemberId>,
    /// Number of endpoints that received the request.
    pub reached: u32,
}

#[derive(Clone)]
struct ChosenEndpoint {
    member: MemberId,
    version: VersionName,
}

impl<'a> CallAttempts<'a> {
    /// Prepares a request for a service. `deadline` is a time since the start of the daemon.
    ///
    /// A request of the least urgent rank waits for a slot only until its target time: under
    /// overload, requests that finish late would take the slots of requests that finish in time.
    /// Requests of more urgent ranks may wait until their deadline. They start first, and calls that
    /// a running request depends on are among them.
    #[must_use]
    pub fn new(
        state: &'a SidecarState,
        active: &'a ActiveConfig,
        route: &'a MeshRoute,
        service: ServiceName,
        deadline: Duration,
    ) -> CallAttempts<'a> {
        let target = Duration::from_millis(u64::from(route.target_ms)).mul_f64(TARGET_SHARE);
        let finish_by = match active.is_preferred(&service, route.rank) {
            true => deadline,
            false => deadline.min(state.now() + target),
        };
        CallAttempts {
            state,
            route,
            service,
            deadline,
            finish_by,
            route_hash: xxh3_64(route.name.as_bytes()) as u32,
            shortest_wait: Cell::new(None),
            tried: RefCell::default(),
            reached: Cell::new(0),
        }
    }

    /// Sends the request to endpoints until one answers or no further attempt is allowed.
    pub async fn run(self, call: &ForwardedCall) -> AttemptsEnd {
        self.with_budget(RetryBudget::on_call);
        let mut last_failure = None;
        let result = loop {
            let Some(chosen) = self.choose() else {
                break self.no_endpoint_result();
            };
            let result = self.attempt_with_hedge(call, chosen).await;
            if !self.should_retry(&result) {
                break result;
            }
            if is_failure(&result) {
                last_failure = Some(result);
            }
        };
        // `NotRun` states that the request did not run, so it must hold for all attempts.
        let result = match (result, last_failure) {
            (CallResult::NotRun(_), Some(failure)) => failure,
            (result, _) => result,
        };
        AttemptsEnd {
            result,
            tried: self.tried.into_inner(),
            reached: self.reached.get(),
        }
    }

    /// Sends the request to an endpoint, and to a second one when the response is overdue: it may be
    /// lost, or the endpoint may be much slower than others.
    async fn attempt_with_hedge(&self, call: &ForwardedCall, chosen: ChosenEndpoint) -> CallResult {
        let Some(hedge_delay) = self.hedge_delay() else {
            return self.attempt(call, chosen).await;
        };
        let slow = chosen.clone();
        let start = self.state.now();
        let first = self.attempt(call, chosen);
        tokio::pin!(first);
        if let Ok(result) = tokio::time::timeout(hedge_delay, &mut first).await {
            return result;
        }
        let Some(chosen) = self.choose_hedge() else {
            return first.await;
        };
        let second = self.attempt(call, chosen);
        tokio::pin!(second);
        let (result, is_second) = tokio::select! {
            result = &mut first => (result, false),
            result = &mut second => (result, true),
        };
        let is_good = matches!(result, CallResult::Answer { .. }) && !is_failure(&result);
        if !is_good {
            let other = match is_second {
                true => first.await,
                false => second.await,
            };
            // `NotRun` states that the request did not run, so it must hold for both attempts.
            return match other {
                CallResult::NotRun(_) => result,
                other => other,
            };
        }
        if is_second {
            self.count_straggler(&slow, start);
        }
        result
    }

    /// Counts an attempt that is cancelled because the hedged one was answered first.
    fn count_straggler(&self, slow: &ChosenEndpoint, start: Duration) {
        let now = self.state.now();
        self.reached.set(self.reached.get() + 1);
        let overdue = CallResult::Unknown(UnknownCause::TimedOut);
        self.count_version(&slow.version, &overdue, now - start);
        let mut chooser = self.state.routing.chooser.borrow_mut();
        chooser.on_abandoned_attempt(&slow.member, now);
    }

    /// Returns the delay before the request is sent to a second endpoint; `None` when it must not run
    /// twice or there is no time for it.
    fn hedge_delay(&self) -> Option<Duration> {
        let run = self.expected_run();
        let hedge_delay = run.mul_f64(HEDGE_RUN_FACTOR);
        let left = self.deadline.saturating_sub(self.state.now());
        let has_time = !run.is_zero() && hedge_delay + run < left;
        (self.may_repeat() && has_time).then_some(hedge_delay)
    }

    fn expected_run(&self) -> Duration {
        let run_times = self.state.routing.run_times.borrow();
        run_times.expected(self.route_hash)
    }

    fn choose_hedge(&self) -> Option<ChosenEndpoint> {
        if !self.may_repeat() {
            return None;
        }
        let chosen = self.choose()?;
        if !self.with_budget(RetryBudget::take) {
            return None;
        }
        self.state.metrics.count_repeat("overdue");
        Some(chosen)
    }

    async fn attempt(&self, call: &ForwardedCall, chosen: ChosenEndpoint) -> CallResult {
        let start = self.state.now();
        let is_first = self.tried.borrow().is_empty();
        self.tried.borrow_mut().push(chosen.member.clone());
        // A retry after the target time may still use a free slot until the deadline.
        let finish_by = match is_first || start < self.finish_by {
            true => self.finish_by,
            false => self.deadline,
        };
        let call = ForwardedCall {
            left_ms: millis(self.deadline.saturating_sub(start)),
            wait_ms: millis(finish_by.saturating_sub(start)),
            kind: self.route_hash,
            sent_at_ms: wall_ms(self.state.clock.wall()),
            service: self.service.clone(),
            ..call.clone()
        };
        let mut running = RunningCall::start(self.state, &chosen.member);
        let own = self.state.settings().id.clone();
        let (load, result) = match chosen.member == own {
            true => {
                let result = self.state.run_locally(&call).await;
                (Some(self.state.endpoint.load()), result)
            }
            false => self.run_remote(&chosen.member, call).await,
        };
        running.end(load, &result);
        if let CallResult::Answer { run_ms, .. } = &result {
            let run = Duration::from_millis(u64::from(*run_ms));
            let mut run_times = self.state.routing.run_times.borrow_mut();
            run_times.record(self.route_hash, run);
        }
        if !matches!(result, CallResult::NotRun(report) if !report.reached) {
            self.reached.set(self.reached.get() + 1);
            self.count_version(&chosen.version, &result, self.state.now() - start);
        }
        result
    }

    /// Returns the result of a request for which no further endpoint can be chosen.
    fn no_endpoint_result(&self) -> CallResult {
        let Some(wait) = self.shortest_wait.get() else {
            return not_run(NotRunCause::Unreachable);
        };
        CallResult::NotRun(NotRunReport {
            cause: NotRunCause::Overloaded,
            reached: false,
            retry_after_ms: millis(wait),
        })
    }

    /// Returns whether an endpoint has a free slot in the local region, or is expected to finish a
    /// request sent now by its target time. Records the expected wait otherwise.
    fn has_capacity(&self, record: &MemberRecord, slots: u16, is_local: bool) -> bool {
        let now = self.state.now();
        let load = self.state.routing.chooser.borrow().load(&record.id, now);
        let reported = self.state.routing.endpoint_loads.borrow();
        let note = reported.note(&record.id);
        let behind = note.map_or(0, |note| note.waiting_behind(self.route.rank));
        let mean = note.map_or(0, |note| note.run_ms);
        let mean = Duration::from_millis(u64::from(mean));
        let ahead = (load + 1).saturating_sub(u32::from(slots) + u32::from(behind));
        if ahead > 0 && is_local {
            self.state.members.link_other_regions(now);
        }
        let wait = mean * ahead / u32::from(slots.max(1));
        let round_trip = match is_local {
            true => RETURN_MARGIN,
            false => LINK_RETURN_MARGIN * 2,
        };
        let run = self.expected_run();
        let has_capacity =
            ahead == 0 && is_local || now + round_trip + wait + run <= self.finish_by;
        if !has_capacity {
            let shortest = self.shortest_wait.get().map_or(wait, |best| best.min(wait));
            self.shortest_wait.set(Some(shortest));
        }
        has_capacity
    }

    async fn run_remote(
        &self,
        member: &MemberId,
        call: ForwardedCall,
    ) -> (Option<EndpointLoad>, CallResult) {
        let Some(link) = self.state.members.link(member) else {
            return (None, not_run(NotRunCause::Unreachable));
        };
        match link.call(call, || self.may_repeat()).await {
            LinkOutcome::Replied(load, result) => (Some(load), result),
            LinkOutcome::NotSent => (None, not_run(NotRunCause::Unreachable)),
            LinkOutcome::Lost => (None, CallResult::Unknown(UnknownCause::LinkLost)),
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
                return !is_final && tried < MAX_TRIED;
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

    /// Returns whether another attempt may start while one is in progress.
    fn may_repeat(&self) -> bool {
        self.route.is_repeatable
            && self.may_repeat_after(self.reached.get() + 1)
            && self.with_budget(|budget| budget.has_retry())
    }

    fn may_repeat_after(&self, reached: u32) -> bool {
        reached < self.route.attempts && self.has_untried()
    }

    fn has_untried(&self) -> bool {
        let tried = self.tried.borrow();
        self.state.members.read(|table| {
            let mut records = table.iter();
            records.any(|record| self.is_usable(record) && !tried.contains(&record.id))
        })
    }

    fn is_usable(&self, record: &MemberRecord) -> bool {
        let Some(endpoint) = &record.endpoint else {
            return false;
        };
        let is_own = record.id == self.state.settings.borrow().id;
        endpoint.service == self.service
            && endpoint.phase == EndpointPhase::Ready
            && (is_own || (!record.is_leaving && self.state.members.is_reachable(&record.id)))
    }

    fn choose(&self) -> Option<ChosenEndpoint> {
        let share = self.state.settings.borrow().bounds.canary_share;
        let rollouts = self.state.rollouts.borrow();
        let rollout = rollouts.get(&self.service);
        let choice = rollout.map(|rollout| {
            let point = rand::rng().random_range(0.0..1.0);
            (rollout.choose(share, point), rollout.order.version.clone())
        });
        drop(rollouts);
        let Some((choice, version)) = choice else {
            return self.choose_version(|_| true);
        };
        match choice {
            VersionChoice::OnlyNew => self.choose_version(|other| *other == version),
            VersionChoice::Old => self.choose_version(|other| *other != version),
            VersionChoice::New => self
                .choose_version(|other| *other == version)
                .or_else(|| self.choose_version(|other| *other != version)),
        }
    }

    fn choose_version(&self, fits: impl Fn(&VersionName) -> bool) -> Option<ChosenEndpoint> {
        let region = self.state.settings.borrow().region.clone();
        let tried = self.tried.borrow();
        let now = self.state.now();
        let run = self.expected_run();
        self.state.members.read(|table| {
            let mut candidates = Vec::new();
            let mut versions = Vec::new();
            let mut tried_records = tried.iter().filter_map(|id| table.get(id));
            // The round trip to another region is too long to be refused there twice.
            let tried_remote = tried_records.any(|record| record.region != region);
            let mut is_served_locally = false;
            let usable: Vec<_> = table
                .iter()
                .filter(|record| self.is_usable(record))
                .collect();
            let reported = self.state.routing.endpoint_loads.borrow();
            let ids = usable.iter().map(|record| &record.id);
            let service_mean = reported.service_mean(ids, now);
            for record in usable {
                let endpoint = record.endpoint.as_ref()?;
                if !fits(&endpoint.version) {
                    continue;
                }
                let is_local = record.region == region;
                is_served_locally |= is_local;
                let is_remote_again = !is_local && tried_remote;
                if is_remote_again || !self.has_capacity(record, endpoint.slots, is_local) {
                    continue;
                }
                let slots = match is_local {
                    true => endpoint.slots.saturating_mul(LOCAL_SLOT_TENTHS) / 10,
                    false => endpoint.slots,
                };
                let pace = reported.relative_run_time(&record.id, service_mean);
                versions.push(&endpoint.version);
                candidates.push(Candidate {
                    id: &record.id,
                    zone: &record.zone,
                    region: &record.region,
                    slots,
                    reachable: true,
                    run_time_ratio: pace,
                    is_late: now + run.mul_f64(pace) > self.finish_by,
                });
            }
            if !is_served_locally {
                self.state.members.link_other_regions(now);
            }
            let mut chooser = self.state.routing.chooser.borrow_mut();
            let index = chooser.choose(&candidates, &tried, now)?;
            Some(ChosenEndpoint {
                member: candidates[index].id.clone(),
                version: versions[index].clone(),
            })
        })
    }

    fn count_version(&self, version: &VersionName, result: &CallResult, time: Duration) {
        let mut rollouts = self.state.rollouts.borrow_mut();
        if let Some(rollout) = rollouts.get_mut(&self.service) {
            rollout.count(version, &self.route.name, is_failure(result), time);
        }
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
        work(budget)
    }
}

/// Converts a time to whole milliseconds, at most `u32::MAX`.
fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Returns whether a result is a failure that the endpoint may have caused.
fn is_failure(result: &CallResult) -> bool {
    match result {
        CallResult::Answer { status, .. } => *status >= FAILURE_STATUS,
        CallResult::Unknown(_) => true,
        CallResult::NotRun(NotRunReport { .. }) => false,
    }
}
