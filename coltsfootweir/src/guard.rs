//! Admission control for the local upstream: its slots and a short queue with deadlines.
//!
//! A request that could not finish before its deadline is refused on arrival, while there is time
//! for another endpoint. Every id gets exactly one final decision: run, refuse or expire.

mod ranked_admission;

use std::collections::HashMap;
use std::time::Duration;

use crate::load_report::LoadReport;
use crate::member::EndpointPhase;
use crate::outcome::RefusalReason;
use crate::sidecar::fair_queue::TeamHash;
use crate::sidecar::fair_queue::team_tags::TeamCharge;
use crate::sidecar::fair_queue::wait_queue::WaitQueue;
use crate::sidecar::fair_queue::wait_queue::WaitingRequest;
use crate::sidecar::warmup::warmup_pacer::WarmupPacer;

/// Weight of the newest run in the moving average of the run time, as a divisor.
const ESTIMATE_WEIGHT: u32 = 16;

/// A request may start at once only if the time left is at least the expected run time divided by
/// this number.
const QUICK_RUN_DIVISOR: u32 = 4;

/// Time for which requests that already wait may still start at an upstream that is leaving.
pub const LEAVE_GRACE: Duration = Duration::from_secs(2);

/// Safety margin for a request that has to wait, in mean deviations of the run time.
const WAIT_DEVIATIONS: u32 = 2;

/// Decision on an arriving request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmitDecision {
    /// Send it to the upstream now.
    Run,
    /// It waits; a later [`GuardEvent`] decides.
    Wait,
    /// Refuse it.
    Refuse(RefusalReason),
}

/// Decision on a waiting request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GuardEvent {
    /// Send it to the upstream now.
    Start(u64),
    /// Drop it, because it can no longer finish before its deadline.
    Expire(u64),
    /// Refuse it for another reason.
    Refuse(u64, RefusalReason),
}

#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    started: Duration,
    charge: Option<TeamCharge>,
}

/// A request with a known rank and expected run time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RankedRequest {
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Team that shares the slots with the other teams of the rank; `None` for requests without one.
    pub team: Option<TeamHash>,
    /// Time since the daemon's start by which it must finish.
    pub finish_by: Duration,
    /// Expected run time.
    pub run: Duration,
    /// Factor from the wait that the queue suggests to the expected wait, 1 or more: requests that
    /// arrive later may go first.
    pub wait_factor: f64,
}

/// Slots and queue of one upstream.
#[derive(Debug)]
pub struct GuardState {
    slots: u16,
    queue_limit: usize,
    phase: EndpointPhase,
    phase_since: Duration,
    running: HashMap<u64, RunningRequest>,
    waiting: WaitQueue,
    run_time: Option<Duration>,
    deviation: Duration,
    /// Limits the starts while the upstream is cold.
    pacer: WarmupPacer,
}

impl GuardState {
    /// Creates the guard of a ready upstream that runs `slots` requests at once.
    #[must_use]
    pub fn new(slots: u16, queue_limit: usize) -> GuardState {
        GuardState {
            slots,
            queue_limit,
            phase: EndpointPhase::Ready,
            phase_since: Duration::ZERO,
            running: HashMap::new(),
            waiting: WaitQueue::default(),
            run_time: None,
            deviation: Duration::ZERO,
            pacer: WarmupPacer::default(),
        }
    }

    /// Decides on a request; `deadline` is the time since the daemon's start by which the upstream
    /// must have answered. Ids must not be reused.
    pub fn arrive(&mut self, id: u64, deadline: Duration, now: Duration) -> AdmitDecision {
        if let Some(reason) = self.refusal(deadline, now) {
            return AdmitDecision::Refuse(reason);
        }
        let request = WaitingRequest {
            id,
            rank: 0,
            team: None,
            order: now,
            deadline,
            run: None,
        };
        self.admit(request, now)
    }

    /// Returns the number of teams whose past use is remembered.
    #[must_use]
    pub fn tagged_teams(&self) -> usize {
        self.waiting.tags().len()
    }

    /// Returns the ranks and counts of the waiting requests, the most urgent rank first.
    #[must_use]
    pub fn waiting_by_rank(&self) -> Vec<(u8, u16)> {
        self.waiting.counts_by_rank()
    }

    /// Returns the pause after which [`GuardState::poll`] may start a request that waits because the
    /// upstream is cold; `None` if none does.
    #[must_use]
    pub fn pace_pause(&self, now: Duration) -> Option<Duration> {
        if self.waiting.is_empty() || !self.pacer.is_pacing(now) {
            return None;
        }
        // If there is a token, the requests wait for a slot, whose release starts the next one.
        let wait = self.pacer.token_wait(0, now);
        Some(match wait.is_zero() {
            true => self.pacer.token_interval(),
            false => wait,
        })
    }

    /// Returns what limits the starts while the upstream is cold.
    #[must_use]
    pub fn pacer(&self) -> &WarmupPacer {
        &self.pacer
    }

    /// Changes what limits the starts while the upstream is cold.
    pub fn change_pacer(
        &mut self,
        change: impl FnOnce(&mut WarmupPacer),
        now: Duration,
    ) -> Vec<GuardEvent> {
        change(&mut self.pacer);
        self.poll(now)
    }

    fn admit(&mut self, request: WaitingRequest, now: Duration) -> AdmitDecision {
        if self.can_start(now) {
            let charge = self.waiting.start_at_once(&request);
            self.start(request.id, charge, now);
            return AdmitDecision::Run;
        }
        self.waiting.push(request);
        AdmitDecision::Wait
    }

    fn start(&mut self, id: u64, charge: Option<TeamCharge>, now: Duration) {
        self.pacer.take(now);
        let running = RunningRequest {
            started: now,
            charge,
        };
        self.running.insert(id, running);
    }

    /// Returns why a request would be refused if it arrived now, or `None` if it would run or wait.
    #[must_use]
    pub fn refusal(&self, deadline: Duration, now: Duration) -> Option<RefusalReason> {
        if let Some(reason) = self.phase_refusal() {
            return Some(reason);
        }
        if now >= deadline {
            return Some(RefusalReason::DeadlinePassed);
        }
        let is_too_late = if self.can_start(now) {
            self.is_too_long(deadline, now)
        } else {
            let reserve = self.deviation * WAIT_DEVIATIONS;
            self.waiting.len() >= self.queue_limit
                || now + self.wait_behind(self.waiting.len()) + self.expected_run() + reserve
                    > deadline
        };
        is_too_late.then_some(RefusalReason::Overloaded)
    }

    /// Records the end of a run and decides on the waiting requests. An unknown id frees no slot.
    pub fn finish(&mut self, id: u64, now: Duration) -> Vec<GuardEvent> {
        if let Some(running) = self.running.remove(&id) {
            let run_time = now.saturating_sub(running.started);
            self.record_run_time(run_time);
            self.waiting.end_run(running.charge, run_time);
        }
        self.poll(now)
    }

    /// Removes a request whose caller gave up or whose deadline passed, whether it waits or runs.
    /// Returns the decisions on the waiting requests, with none for `id`.
    pub fn cancel(&mut self, id: u64, now: Duration) -> Vec<GuardEvent> {
        self.waiting.remove_unless(|request| request.id != id);
        if let Some(running) = self.running.remove(&id) {
            // A cancelled run gives only a lower bound of its run time, so it counts only if it
            // took longer than expected.
            let run_time = now.saturating_sub(running.started);
            if run_time > self.expected_run() {
                self.record_run_time(run_time);
            }
            self.waiting.end_run(running.charge, run_time);
        }
        self.poll(now)
    }

    /// Decides on the waiting requests: expires those that would finish too late and fills free slots
    /// in the order of the queue.
    pub fn poll(&mut self, now: Duration) -> Vec<GuardEvent> {
        if let Some(reason) = self.queue_refusal(now) {
            let refused = self.waiting.remove_unless(|_| false).into_iter();
            return refused
                .map(|request| GuardEvent::Refuse(request.id, reason))
                .collect();
        }
        let mut events = Vec::new();
        let run_time = self.expected_run();
        let is_late = |request: &WaitingRequest| {
            let run_time = request.run.unwrap_or(run_time);
            now >= request.deadline || now + run_time > request.deadline
        };
        while self.has_free_slot() && self.pacer.has_token(now) {
            let Some(first) = self.waiting.first() else {
                return events;
            };
            if is_late(&first) {
                self.waiting.remove_first();
                events.push(GuardEvent::Expire(first.id));
                continue;
            }
            let charge = self.waiting.start_first(now);
            self.start(first.id, charge, now);
            events.push(GuardEvent::Start(first.id));
        }
        let late = self
            .waiting
            .remove_unless(|request| !is_late(request))
            .into_iter();
        events.extend(late.map(|request| GuardEvent::Expire(request.id)));
        events
    }

    /// Returns the time at which [`GuardState::poll`] next has a request to expire or refuse, if one
    /// waits.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Duration> {
        let earliest = self.waiting.iter().map(|request| request.deadline).min()?;
        let expiry = earliest.saturating_sub(self.expected_run());
        match self.phase {
            EndpointPhase::Leaving => Some(expiry.min(self.phase_since + LEAVE_GRACE)),
            _ => Some(expiry),
        }
    }

    /// Changes the phase of the upstream. Unless it is ready, arriving requests are refused. Waiting
    /// requests are refused at once if it is down, and after [`LEAVE_GRACE`] if it is leaving.
    pub fn set_phase(&mut self, phase: EndpointPhase, now: Duration) -> Vec<GuardEvent> {
        if self.phase != phase {
            self.phase = phase;
            self.phase_since = now;
        }
        self.poll(now)
    }

    /// Refuses new requests from now on. Running requests finish, and waiting ones may start within
    /// [`LEAVE_GRACE`].
    pub fn drain(&mut self, now: Duration) -> Vec<GuardEvent> {
        self.set_phase(EndpointPhase::Leaving, now)
    }

    /// Changes the number of requests the upstream runs at once.
    pub fn set_slots(&mut self, slots: u16, now: Duration) -> Vec<GuardEvent> {
        self.slots = slots;
        self.poll(now)
    }

    /// Returns whether no request runs or waits.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Returns the load to report with answers.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        LoadReport {
            running: u16::try_from(self.running.len()).unwrap_or(u16::MAX),
            slots: self.slots,
            waiting: u16::try_from(self.waiting.len()).unwrap_or(u16::MAX),
        }
    }

    fn can_start(&self, now: Duration) -> bool {
        self.has_free_slot() && self.waiting.is_empty() && self.pacer.has_token(now)
    }

    /// Returns whether a request that could start now would take too long. An idle upstream runs it
    /// anyway: without new runs, a wrong estimate would never be corrected.
    fn is_too_long(&self, deadline: Duration, now: Duration) -> bool {
        let least_time = self.expected_run() / QUICK_RUN_DIVISOR;
        !self.running.is_empty() && now + least_time > deadline
    }

    fn phase_refusal(&self) -> Option<RefusalReason> {
        match self.phase {
            EndpointPhase::Ready => None,
            EndpointPhase::Leaving => Some(RefusalReason::Leaving),
            EndpointPhase::Down => Some(RefusalReason::UpstreamDown),
        }
    }

    fn queue_refusal(&self, now: Duration) -> Option<RefusalReason> {
        let is_in_grace =
            self.phase == EndpointPhase::Leaving && now < self.phase_since + LEAVE_GRACE;
        self.phase_refusal().filter(|_| !is_in_grace)
    }

    fn has_free_slot(&self) -> bool {
        self.running.len() < usize::from(self.slots)
    }

    /// Returns the mean run time, or zero before the first run.
    #[must_use]
    pub fn expected_run(&self) -> Duration {
        self.run_time.unwrap_or(Duration::ZERO)
    }

    /// Returns the expected wait with `ahead` requests ahead in the queue.
    fn wait_behind(&self, ahead: usize) -> Duration {
        let runs = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        self.expected_run() * runs / u32::from(self.slots.max(1))
    }

    fn record_run_time(&mut self, run_time: Duration) {
        let Some(mean) = self.run_time else {
            self.run_time = Some(run_time);
            return;
        };
        self.deviation = smoothed(self.deviation, mean.abs_diff(run_time));
        self.run_time = Some(smoothed(mean, run_time));
    }
}

/// Returns the exponentially weighted moving average.
fn smoothed(mean: Duration, newest: Duration) -> Duration {
    (mean * (ESTIMATE_WEIGHT - 1) + newest) / ESTIMATE_WEIGHT
}
