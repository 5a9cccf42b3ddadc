//! The guard as it was before teams shared the slots (commit 5ed2266): waiting requests are ordered by
//! rank and finish time only. Reference for tests of requests without a team.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use coltsfootweir::guard::AdmitDecision;
use coltsfootweir::guard::GuardEvent;
use coltsfootweir::guard::LEAVE_GRACE;
use coltsfootweir::guard::RankedRequest;
use coltsfootweir::load_report::LoadReport;
use coltsfootweir::member::EndpointPhase;
use coltsfootweir::outcome::RefusalReason;
use coltsfootweir::sidecar::warmup::warmup_pacer::WarmupPacer;

/// Weight of the newest run in the moving average of the run time, as a divisor.
const ESTIMATE_WEIGHT: u32 = 16;

/// A request may start at once only if the time left is at least the expected run time divided by
/// this number.
const QUICK_RUN_DIVISOR: u32 = 4;

/// Safety margin for a request that has to wait, in mean deviations of the run time.
const WAIT_DEVIATIONS: u32 = 2;

#[derive(Clone, Copy, Debug)]
struct WaitingRequest {
    id: u64,
    rank: u8,
    /// Position within the rank: the arrival, or the deadline if the rank is known.
    order: Duration,
    deadline: Duration,
    /// Expected run time; without it, the mean of all requests is used.
    run: Option<Duration>,
}

/// Slots and queue of one upstream.
#[derive(Debug)]
pub struct DeadlineGuard {
    slots: u16,
    queue_limit: usize,
    phase: EndpointPhase,
    phase_since: Duration,
    running: HashMap<u64, Duration>,
    waiting: VecDeque<WaitingRequest>,
    run_time: Option<Duration>,
    deviation: Duration,
    /// Limits the starts while the upstream is cold.
    pacer: WarmupPacer,
}

impl DeadlineGuard {
    /// Creates the guard of a ready upstream that runs `slots` requests at once.
    #[must_use]
    pub fn new(slots: u16, queue_limit: usize) -> DeadlineGuard {
        DeadlineGuard {
            slots,
            queue_limit,
            phase: EndpointPhase::Ready,
            phase_since: Duration::ZERO,
            running: HashMap::new(),
            waiting: VecDeque::new(),
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
            order: now,
            deadline,
            run: None,
        };
        self.admit(request, now)
    }

    /// Decides on a request with a rank. It waits only behind requests of more urgent ranks, and of the
    /// same rank if they must finish earlier: short calls that running requests wait for would
    /// otherwise be late behind long requests that have time. If the queue is full, it displaces the last request of a less urgent rank; the
    /// returned events contain that refusal.
    pub fn arrive_ranked(
        &mut self,
        id: u64,
        request: RankedRequest,
        now: Duration,
    ) -> (AdmitDecision, Vec<GuardEvent>) {
        let mut events = Vec::new();
        let refusal = self.ranked_refusal(&request, now);
        if let Some(reason) = refusal {
            return (AdmitDecision::Refuse(reason), events);
        }
        if !self.can_start(now) && self.waiting.len() >= self.queue_limit {
            let rank = request.rank;
            let Some(last) = self.waiting.pop_back_if(|last| last.rank > rank) else {
                let decision = AdmitDecision::Refuse(RefusalReason::Overloaded);
                return (decision, events);
            };
            events.push(GuardEvent::Refuse(last.id, RefusalReason::Overloaded));
        }
        let request = WaitingRequest {
            id,
            rank: request.rank,
            order: request.finish_by,
            deadline: request.finish_by,
            run: Some(request.run),
        };
        (self.admit(request, now), events)
    }

    fn ranked_refusal(&self, request: &RankedRequest, now: Duration) -> Option<RefusalReason> {
        if let Some(reason) = self.phase_refusal() {
            return Some(reason);
        }
        if now >= request.finish_by {
            return Some(RefusalReason::DeadlinePassed);
        }
        let is_too_late = if self.can_start(now) {
            // An idle upstream runs even a request that seems too long: without new runs, a wrong
            // estimate would never be corrected.
            let least_time = request.run / QUICK_RUN_DIVISOR;
            !self.running.is_empty() && now + least_time > request.finish_by
        } else {
            let wait = self.expected_wait(request).mul_f64(request.wait_factor);
            let wait = wait.max(self.token_wait(request.rank, request.finish_by, now));
            now + wait + request.run > request.finish_by
        };
        is_too_late.then_some(RefusalReason::Overloaded)
    }

    /// Returns the ranks and counts of the waiting requests, the most urgent rank first.
    #[must_use]
    pub fn waiting_by_rank(&self) -> Vec<(u8, u16)> {
        let mut counts: Vec<(u8, u16)> = Vec::new();
        for request in &self.waiting {
            match counts.last_mut() {
                Some((rank, count)) if *rank == request.rank => *count = count.saturating_add(1),
                _ => counts.push((request.rank, 1)),
            }
        }
        counts
    }

    /// Returns the wait for a slot that the present queue suggests for a request that arrives now.
    #[must_use]
    pub fn expected_wait(&self, request: &RankedRequest) -> Duration {
        if self.has_free_slot() {
            return Duration::ZERO;
        }
        let ahead = self.count_ahead(request.rank, request.finish_by);
        let mean = self.expected_run();
        // A slot becomes free after a part of the mean run time.
        let mut runs = mean;
        for waiting in self.waiting.iter().take(ahead) {
            runs += waiting.run.unwrap_or(mean);
        }
        runs / u32::from(self.slots.max(1))
    }

    /// Returns the expected wait for a slot of a request that arrives now with this rank.
    #[must_use]
    pub fn wait_time(&self, rank: u8) -> Duration {
        match self.has_free_slot() {
            true => Duration::ZERO,
            false => self.wait_behind(self.count_ahead(rank, Duration::MAX)),
        }
    }

    /// Returns the time until a request that arrives now with this rank and deadline may start at a
    /// cold upstream, apart from the wait for a slot.
    #[must_use]
    pub fn token_wait(&self, rank: u8, deadline: Duration, now: Duration) -> Duration {
        self.pacer.token_wait(self.count_ahead(rank, deadline), now)
    }

    /// Returns the pause after which [`DeadlineGuard::poll`] may start a request that waits because the
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
            self.pacer.take(now);
            self.running.insert(request.id, now);
            return AdmitDecision::Run;
        }
        let position = self.count_ahead(request.rank, request.order);
        self.waiting.insert(position, request);
        AdmitDecision::Wait
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
        if let Some(started) = self.running.remove(&id) {
            self.record_run_time(now.saturating_sub(started));
        }
        self.poll(now)
    }

    /// Removes a request whose caller gave up or whose deadline passed, whether it waits or runs.
    /// Returns the decisions on the waiting requests, with none for `id`.
    pub fn cancel(&mut self, id: u64, now: Duration) -> Vec<GuardEvent> {
        self.waiting.retain(|request| request.id != id);
        if let Some(started) = self.running.remove(&id) {
            // A cancelled run gives only a lower bound of its run time, so it counts only if it
            // took longer than expected.
            let run_time = now.saturating_sub(started);
            if run_time > self.expected_run() {
                self.record_run_time(run_time);
            }
        }
        self.poll(now)
    }

    /// Decides on the waiting requests: expires those that would finish too late and fills free slots
    /// in order of rank, then of arrival.
    pub fn poll(&mut self, now: Duration) -> Vec<GuardEvent> {
        if let Some(reason) = self.queue_refusal(now) {
            let refused = self.waiting.drain(..);
            return refused
                .map(|request| GuardEvent::Refuse(request.id, reason))
                .collect();
        }
        let mut events = Vec::new();
        let run_time = self.expected_run();
        for _ in 0..self.waiting.len() {
            let Some(request) = self.waiting.pop_front() else {
                break;
            };
            let run_time = request.run.unwrap_or(run_time);
            if now >= request.deadline || now + run_time > request.deadline {
                events.push(GuardEvent::Expire(request.id));
                continue;
            }
            if !self.has_free_slot() || !self.pacer.has_token(now) {
                self.waiting.push_back(request);
                continue;
            }
            self.pacer.take(now);
            self.running.insert(request.id, now);
            events.push(GuardEvent::Start(request.id));
        }
        events
    }

    /// Returns the time at which [`DeadlineGuard::poll`] next has a request to expire or refuse, if one
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

    /// Returns the number of waiting requests ahead of a new one with this rank and order. The queue is
    /// ordered by both.
    fn count_ahead(&self, rank: u8, order: Duration) -> usize {
        self.waiting
            .partition_point(|request| (request.rank, request.order) <= (rank, order))
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
