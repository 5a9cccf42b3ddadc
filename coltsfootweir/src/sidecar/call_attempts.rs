//! Takes one client request through its attempts: choice of an endpoint, repeats, final answer.

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
use crate::sidecar::endpoint_desk::not_run;
use crate::sidecar::endpoint_desk::wall_ms;
use crate::sidecar::frame::CallResult;
use crate::sidecar::frame::ForwardedCall;
use crate::sidecar::frame::LoadNote;
use crate::sidecar::frame::NotRunCause;
use crate::sidecar::frame::NotRunReport;
use crate::sidecar::frame::UnknownCause;
use crate::sidecar::member_table::MemberRecord;
use crate::sidecar::mesh_config::MeshRoute;
use crate::sidecar::peer_link::LinkOutcome;
use crate::sidecar::rollout::VersionChoice;
use crate::sidecar::running_call::FAILURE_STATUS;
use crate::sidecar::running_call::RunningCall;
use crate::sidecar::sidecar_state::SidecarState;

/// Daemons that are asked for room before a request is refused; each costs a round trip.
const MAX_ASKED: usize = 4;

/// Part of the shared repeats that the daemons spend: their counts are not in step, and the calls
/// that a repeated run makes are repeats too.
const BUDGET_PART: f64 = 0.6;

/// Expected runs, each of the mean and its mean deviation, after which an answer is overdue: some 4
/// of 100 requests take longer by themselves.
const OVERDUE_RUNS: f64 = 1.7;

/// Time that must be left for another attempt.
const MIN_REPEAT_TIME: Duration = Duration::from_millis(30);

/// Part of the time in which an answer is worth most that a request may take to its end at the
/// endpoint; the rest is for its way from and to the client.
const AIM_PART: f64 = 0.9;

/// Slots by which an endpoint in the own region looks larger, in tenths: a short wait there costs
/// callers less than the way to another region.
const NEAR_SLOT_TENTHS: u16 = 14;

/// A request on its way through its attempts.
pub struct CallAttempts<'a> {
    state: &'a SidecarState,
    route: &'a MeshRoute,
    service: ServiceName,
    deadline: Duration,
    /// Time by which the request has to be done to be worth its slot.
    aim: Duration,
    kind: u32,
    asked: RefCell<Vec<MemberId>>,
    /// Shortest wait for a slot among the endpoints passed over for lack of room.
    shortest_wait: Cell<Option<Duration>>,
    /// Endpoints that had the request.
    reached: Cell<u32>,
}

/// The end of a request and the way to it.
pub struct AttemptsEnd {
    /// What became of it.
    pub result: CallResult,
    /// Daemons that were asked, in order.
    pub asked: Vec<MemberId>,
    /// Endpoints that had the request.
    pub reached: u32,
}

#[derive(Clone)]
struct ChosenEndpoint {
    member: MemberId,
    version: VersionName,
}

impl<'a> CallAttempts<'a> {
    /// Prepares a request for a service; `deadline` counts from the daemon's start.
    ///
    /// A request of the least urgent rank waits for a slot only as long as its answer is worth most:
    /// where more is asked than can run, later answers would take the slots of timely ones. Others
    /// go before it, and calls that a running request needs are among them: they may wait longer.
    #[must_use]
    pub fn new(
        state: &'a SidecarState,
        active: &'a ActiveConfig,
        route: &'a MeshRoute,
        service: ServiceName,
        deadline: Duration,
    ) -> CallAttempts<'a> {
        let target = Duration::from_millis(u64::from(route.target_ms)).mul_f64(AIM_PART);
        let aim = match active.is_preferred(&service, route.rank) {
            true => deadline,
            false => deadline.min(state.now() + target),
        };
        CallAttempts {
            state,
            route,
            service,
            deadline,
            aim,
            kind: xxh3_64(route.name.as_bytes()) as u32,
            shortest_wait: Cell::new(None),
            asked: RefCell::default(),
            reached: Cell::new(0),
        }
    }

    /// Sends the request until it is answered or nothing more can be done for it.
    pub async fn run(self, call: &ForwardedCall) -> AttemptsEnd {
        self.with_budget(RetryBudget::on_call);
        let mut last_failure = None;
        let result = loop {
            let Some(chosen) = self.choose() else {
                break self.no_choice();
            };
            let result = self.attempt_or_two(call, chosen).await;
            if !self.may_go_on(&result) {
                break result;
            }
            if is_failure(&result) {
                last_failure = Some(result);
            }
        };
        // A refusal says that the request has not run, which holds for all its attempts only.
        let result = match (result, last_failure) {
            (CallResult::NotRun(_), Some(failure)) => failure,
            (result, _) => result,
        };
        AttemptsEnd {
            result,
            asked: self.asked.into_inner(),
            reached: self.reached.get(),
        }
    }

    /// Sends the request to an endpoint, and to a second one when the answer is overdue: the answer
    /// may be lost, or the endpoint much slower than others.
    async fn attempt_or_two(&self, call: &ForwardedCall, chosen: ChosenEndpoint) -> CallResult {
        let Some(patience) = self.patience() else {
            return self.attempt(call, chosen).await;
        };
        let slow = chosen.clone();
        let start = self.state.now();
        let first = self.attempt(call, chosen);
        tokio::pin!(first);
        if let Ok(result) = tokio::time::timeout(patience, &mut first).await {
            return result;
        }
        let Some(chosen) = self.choose_second() else {
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
            // A refusal says that the request has not run, which holds for both attempts only.
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

    /// Counts an attempt that is given up because another one was answered first.
    fn count_straggler(&self, slow: &ChosenEndpoint, start: Duration) {
        let now = self.state.now();
        self.reached.set(self.reached.get() + 1);
        let overdue = CallResult::Unknown(UnknownCause::TimedOut);
        self.count_version(&slow.version, &overdue, now - start);
        let mut chooser = self.state.routing.chooser.borrow_mut();
        chooser.on_abandoned_attempt(&slow.member, now);
    }

    /// Time after which a second endpoint is asked; `None` when the request must not or cannot run
    /// twice.
    fn patience(&self) -> Option<Duration> {
        let run = self.state.routing.run_times.borrow().expected(self.kind);
        let patience = run.mul_f64(OVERDUE_RUNS);
        let left = self.deadline.saturating_sub(self.state.now());
        let has_time = !run.is_zero() && patience + run < left;
        (self.may_repeat() && has_time).then_some(patience)
    }

    fn choose_second(&self) -> Option<ChosenEndpoint> {
        if !self.may_repeat() {
            return None;
        }
        let chosen = self.choose()?;
        if !self.with_budget(RetryBudget::take) {
            return None;
        }
        self.state.tally.count_repeat("overdue");
        Some(chosen)
    }

    async fn attempt(&self, call: &ForwardedCall, chosen: ChosenEndpoint) -> CallResult {
        let start = self.state.now();
        let is_first = self.asked.borrow().is_empty();
        self.asked.borrow_mut().push(chosen.member.clone());
        // What was tried in vain is still worth a late answer, where a slot is free.
        let aim = match is_first || start < self.aim {
            true => self.aim,
            false => self.deadline,
        };
        let call = ForwardedCall {
            left_ms: millis(self.deadline.saturating_sub(start)),
            wait_ms: millis(aim.saturating_sub(start)),
            kind: self.kind,
            sent_at_ms: wall_ms(self.state.clock.wall()),
            service: self.service.clone(),
            ..call.clone()
        };
        let mut running = RunningCall::start(self.state, &chosen.member);
        let own = self.state.settings().id.clone();
        let (load, result) = match chosen.member == own {
            true => {
                let result = self.state.run_here(&call).await;
                (Some(self.state.endpoint.load()), result)
            }
            false => self.run_there(&chosen.member, call).await,
        };
        running.end(load, &result);
        if let CallResult::Answer { run_ms, .. } = &result {
            let run = Duration::from_millis(u64::from(*run_ms));
            let mut run_times = self.state.routing.run_times.borrow_mut();
            run_times.learn(self.kind, run);
        }
        if !matches!(result, CallResult::NotRun(report) if !report.reached) {
            self.reached.set(self.reached.get() + 1);
            self.count_version(&chosen.version, &result, self.state.now() - start);
        }
        result
    }

    /// The end of a request for which no endpoint is left.
    fn no_choice(&self) -> CallResult {
        let Some(wait) = self.shortest_wait.get() else {
            return not_run(NotRunCause::Unreachable);
        };
        CallResult::NotRun(NotRunReport {
            cause: NotRunCause::Overloaded,
            reached: false,
            retry_after_ms: millis(wait),
        })
    }

    /// Returns whether a request sent to an endpoint now is likely to be done by the time it is
    /// worth most.
    fn has_room(&self, record: &MemberRecord, slots: u16, is_near: bool) -> bool {
        let now = self.state.now();
        let load = self.state.routing.chooser.borrow().load(&record.id, now);
        let told = self.state.routing.told_loads.borrow();
        let told = told.note(&record.id);
        let behind = told.map_or(0, |told| told.waiting_behind(self.route.rank));
        let mean = told.map_or(0, |told| told.run_ms);
        let mean = Duration::from_millis(u64::from(mean));
        let ahead = (load + 1).saturating_sub(u32::from(slots) + u32::from(behind));
        if ahead > 0 && is_near {
            self.state.members.want_far(now);
        }
        let wait = mean * ahead / u32::from(slots.max(1));
        let way = match is_near {
            true => RETURN_MARGIN,
            false => LINK_RETURN_MARGIN * 2,
        };
        let run = self.state.routing.run_times.borrow().expected(self.kind);
        let has_room = ahead == 0 && is_near || now + way + wait + run <= self.aim;
        if !has_room {
            let shortest = self.shortest_wait.get().map_or(wait, |best| best.min(wait));
            self.shortest_wait.set(Some(shortest));
        }
        has_room
    }

    async fn run_there(
        &self,
        member: &MemberId,
        call: ForwardedCall,
    ) -> (Option<LoadNote>, CallResult) {
        let Some(link) = self.state.members.link(member) else {
            return (None, not_run(NotRunCause::Unreachable));
        };
        match link.call(call, || self.may_repeat()).await {
            LinkOutcome::Told(load, result) => (Some(load), result),
            LinkOutcome::NotSent => (None, not_run(NotRunCause::Unreachable)),
            LinkOutcome::Lost => (None, CallResult::Unknown(UnknownCause::LinkLost)),
        }
    }

    /// Returns whether another endpoint is to be tried, and takes a repeat from the budget if so.
    fn may_go_on(&self, result: &CallResult) -> bool {
        let left = self.deadline.saturating_sub(self.state.now());
        let asked = self.asked.borrow().len();
        if left < MIN_REPEAT_TIME || asked == 0 {
            return false;
        }
        let cause = match result {
            CallResult::NotRun(report) if !report.reached => {
                let is_final = matches!(report.cause, NotRunCause::Poison | NotRunCause::TooLate);
                return !is_final && asked < MAX_ASKED;
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
            self.state.tally.count_repeat(cause);
        }
        granted
    }

    /// Returns whether the attempt in progress may be given up for another one.
    fn may_repeat(&self) -> bool {
        self.route.is_repeatable
            && self.may_repeat_after(self.reached.get() + 1)
            && self.with_budget(|budget| budget.has_retry())
    }

    fn may_repeat_after(&self, reached: u32) -> bool {
        reached < self.route.attempts && self.has_untried()
    }

    fn has_untried(&self) -> bool {
        let asked = self.asked.borrow();
        self.state.members.read(|table| {
            let mut records = table.iter();
            records.any(|record| self.is_usable(record) && !asked.contains(&record.id))
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
        let asked = self.asked.borrow();
        let now = self.state.now();
        let run = self.state.routing.run_times.borrow().expected(self.kind);
        self.state.members.read(|table| {
            let mut candidates = Vec::new();
            let mut versions = Vec::new();
            let mut asked_records = asked.iter().filter_map(|id| table.get(id));
            // The way to another region and back is too long to ask for room there twice.
            let asked_far = asked_records.any(|record| record.region != region);
            let mut is_served_near = false;
            let usable: Vec<_> = table
                .iter()
                .filter(|record| self.is_usable(record))
                .collect();
            let told = self.state.routing.told_loads.borrow();
            let service = told.service_pace(usable.iter().map(|record| &record.id), now);
            for record in usable {
                let endpoint = record.endpoint.as_ref()?;
                if !fits(&endpoint.version) {
                    continue;
                }
                let is_near = record.region == region;
                is_served_near |= is_near;
                let is_far_again = !is_near && asked_far;
                if is_far_again || !self.has_room(record, endpoint.slots, is_near) {
                    continue;
                }
                let slots = match is_near {
                    true => endpoint.slots.saturating_mul(NEAR_SLOT_TENTHS) / 10,
                    false => endpoint.slots,
                };
                let pace = told.pace(&record.id, service);
                versions.push(&endpoint.version);
                candidates.push(Candidate {
                    id: &record.id,
                    zone: &record.zone,
                    region: &record.region,
                    slots,
                    reachable: true,
                    run_time_ratio: pace,
                    is_late: now + run.mul_f64(pace) > self.aim,
                });
            }
            if !is_served_near {
                self.state.members.want_far(now);
            }
            let mut chooser = self.state.routing.chooser.borrow_mut();
            let index = chooser.choose(&candidates, &asked, now)?;
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
        let percent = (bounds.retry_share * BUDGET_PART * 100.0) as u8;
        let burst = (f64::from(bounds.retry_slack) * BUDGET_PART / daemons).max(1.0) as u32;
        let mut budgets = self.state.routing.budgets.borrow_mut();
        let budget = budgets
            .entry(self.service.clone())
            .or_insert_with(|| RetryBudget::new(percent, burst));
        work(budget)
    }
}

/// Whole milliseconds of a time.
fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Returns whether a result is a failure that the endpoint may have had a part in.
fn is_failure(result: &CallResult) -> bool {
    match result {
        CallResult::Answer { status, .. } => *status >= FAILURE_STATUS,
        CallResult::Unknown(_) => true,
        CallResult::NotRun(NotRunReport { .. }) => false,
    }
}
