//! Admission to the own upstream: its slots and a short queue that knows deadlines.
//!
//! A request that could not finish before its deadline is refused on arrival, while another
//! endpoint may still take it. Every id gets exactly one final decision: run, refuse or expire.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::load_report::LoadReport;
use crate::member::EndpointPhase;
use crate::outcome::RefusalReason;

/// Weight of the newest run in the estimate of the run time, as a divisor.
const ESTIMATE_WEIGHT: u32 = 16;

/// Share of the estimated run time that a request started at once must have left, as a divisor.
const QUICK_RUN_DIVISOR: u32 = 4;

/// Time for which requests that wait already may start at an upstream that is leaving.
pub const LEAVE_GRACE: Duration = Duration::from_secs(2);

/// Mean deviations of the run time that a request must have left when it starts to wait.
const WAIT_DEVIATIONS: u32 = 2;

/// Decision on a request that arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmitDecision {
    /// Hand it to the upstream now.
    Run,
    /// It waits; a [`GuardEvent`] decides.
    Wait,
    /// It was not run.
    Refuse(RefusalReason),
}

/// Decision on a request that waited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GuardEvent {
    /// Hand it to the upstream now.
    Start(u64),
    /// It could no longer finish before its deadline; it was not run.
    Expire(u64),
    /// It was not run for another reason.
    Refuse(u64, RefusalReason),
}

#[derive(Clone, Copy, Debug)]
struct WaitingRequest {
    id: u64,
    rank: u8,
    deadline: Duration,
    /// Time it is expected to run; that of all requests when it is not known.
    run: Option<Duration>,
}

/// A request whose rank and expected time are known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RankedRequest {
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Time since the daemon's start by which it has to be done.
    pub finish_by: Duration,
    /// Time it is expected to run.
    pub run: Duration,
}

/// Slots and queue of one upstream.
#[derive(Debug)]
pub struct GuardState {
    slots: u16,
    queue_limit: usize,
    phase: EndpointPhase,
    phase_since: Duration,
    running: HashMap<u64, Duration>,
    waiting: VecDeque<WaitingRequest>,
    run_time: Option<Duration>,
    deviation: Duration,
}

impl GuardState {
    /// Makes the guard of a ready upstream that runs `slots` requests at once.
    #[must_use]
    pub fn new(slots: u16, queue_limit: usize) -> GuardState {
        GuardState {
            slots,
            queue_limit,
            phase: EndpointPhase::Ready,
            phase_since: Duration::ZERO,
            running: HashMap::new(),
            waiting: VecDeque::new(),
            run_time: None,
            deviation: Duration::ZERO,
        }
    }

    /// Decides on a request; `deadline` is the time since the daemon's start by which the upstream
    /// must have answered. Ids are never used twice.
    pub fn arrive(&mut self, id: u64, deadline: Duration, now: Duration) -> AdmitDecision {
        if let Some(reason) = self.refusal(deadline, now) {
            return AdmitDecision::Refuse(reason);
        }
        self.admit(id, 0, deadline, None, now)
    }

    /// Decides on a request of a rank, 0 being the most urgent: it waits behind those of its own and
    /// of more urgent ranks only. The events are the refusals of less urgent requests that lost
    /// their place in a full queue to it.
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
        if !self.can_start() && self.waiting.len() >= self.queue_limit {
            let rank = request.rank;
            let Some(last) = self.waiting.pop_back_if(|last| last.rank > rank) else {
                let decision = AdmitDecision::Refuse(RefusalReason::Overloaded);
                return (decision, events);
            };
            events.push(GuardEvent::Refuse(last.id, RefusalReason::Overloaded));
        }
        let run = Some(request.run);
        let decision = self.admit(id, request.rank, request.finish_by, run, now);
        (decision, events)
    }

    fn ranked_refusal(&self, request: &RankedRequest, now: Duration) -> Option<RefusalReason> {
        if let Some(reason) = self.phase_refusal() {
            return Some(reason);
        }
        if now >= request.finish_by {
            return Some(RefusalReason::DeadlinePassed);
        }
        let is_hopeless = if self.can_start() {
            // An idle upstream runs even what looks too long, or a wrong estimate would never mend.
            let quick_run = request.run / QUICK_RUN_DIVISOR;
            !self.running.is_empty() && now + quick_run > request.finish_by
        } else {
            let wait = self.wait_behind(self.count_ahead(request.rank));
            now + wait + request.run > request.finish_by
        };
        is_hopeless.then_some(RefusalReason::Overloaded)
    }

    /// Counts the waiting requests of each rank, the most urgent first.
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

    /// Returns how long a request of a rank would wait for a slot if it arrived now.
    #[must_use]
    pub fn wait_time(&self, rank: u8) -> Duration {
        match self.can_start() {
            true => Duration::ZERO,
            false => self.wait_behind(self.count_ahead(rank)),
        }
    }

    fn admit(
        &mut self,
        id: u64,
        rank: u8,
        deadline: Duration,
        run: Option<Duration>,
        now: Duration,
    ) -> AdmitDecision {
        if self.can_start() {
            self.running.insert(id, now);
            return AdmitDecision::Run;
        }
        let ahead = self.count_ahead(rank);
        let request = WaitingRequest {
            id,
            rank,
            deadline,
            run,
        };
        self.waiting.insert(ahead, request);
        AdmitDecision::Wait
    }

    /// Returns why a request would be refused if it arrived now; `None` when it would run or wait.
    #[must_use]
    pub fn refusal(&self, deadline: Duration, now: Duration) -> Option<RefusalReason> {
        if let Some(reason) = self.phase_refusal() {
            return Some(reason);
        }
        if now >= deadline {
            return Some(RefusalReason::DeadlinePassed);
        }
        let is_hopeless = if self.can_start() {
            self.is_too_long(deadline, now)
        } else {
            let reserve = self.deviation * WAIT_DEVIATIONS;
            self.waiting.len() >= self.queue_limit
                || now + self.wait_behind(self.waiting.len()) + self.expected_run() + reserve
                    > deadline
        };
        is_hopeless.then_some(RefusalReason::Overloaded)
    }

    /// Notes that a run ended, and decides on what waits. An unknown id frees no slot.
    pub fn finish(&mut self, id: u64, now: Duration) -> Vec<GuardEvent> {
        if let Some(started) = self.running.remove(&id) {
            self.learn(now.saturating_sub(started));
        }
        self.poll(now)
    }

    /// Notes that a caller gave up or its deadline passed: a waiting request leaves the queue, a run
    /// ends. Returns the decisions on what waits; there is none on `id`.
    pub fn cancel(&mut self, id: u64, now: Duration) -> Vec<GuardEvent> {
        self.waiting.retain(|request| request.id != id);
        if let Some(started) = self.running.remove(&id) {
            // A run cut short tells only that it would have taken longer.
            let run_time = now.saturating_sub(started);
            if run_time > self.expected_run() {
                self.learn(run_time);
            }
        }
        self.poll(now)
    }

    /// Decides on what waits: expires what came too late and fills free slots in order of rank, then of arrival.
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
            if !self.has_free_slot() {
                self.waiting.push_back(request);
                continue;
            }
            self.running.insert(request.id, now);
            events.push(GuardEvent::Start(request.id));
        }
        events
    }

    /// Returns when [`GuardState::poll`] would next expire a request, if one waits.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Duration> {
        let earliest = self.waiting.iter().map(|request| request.deadline).min()?;
        let expiry = earliest.saturating_sub(self.expected_run());
        match self.phase {
            EndpointPhase::Leaving => Some(expiry.min(self.phase_since + LEAVE_GRACE)),
            _ => Some(expiry),
        }
    }

    /// Changes the upstream's standing. Unless it is ready, all that arrives is refused. What waits
    /// already is refused at once when the upstream is down, and after [`LEAVE_GRACE`] when it is
    /// leaving.
    pub fn set_phase(&mut self, phase: EndpointPhase, now: Duration) -> Vec<GuardEvent> {
        if self.phase != phase {
            self.phase = phase;
            self.phase_since = now;
        }
        self.poll(now)
    }

    /// Takes no new work from now on; what runs or waits is finished.
    pub fn drain(&mut self, now: Duration) -> Vec<GuardEvent> {
        self.set_phase(EndpointPhase::Leaving, now)
    }

    /// Changes the number of requests run at once, as the upstream announces it.
    pub fn set_slots(&mut self, slots: u16, now: Duration) -> Vec<GuardEvent> {
        self.slots = slots;
        self.poll(now)
    }

    /// Returns whether nothing runs or waits.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Returns the load that answers report.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        LoadReport {
            running: u16::try_from(self.running.len()).unwrap_or(u16::MAX),
            slots: self.slots,
            waiting: u16::try_from(self.waiting.len()).unwrap_or(u16::MAX),
        }
    }

    fn can_start(&self) -> bool {
        self.has_free_slot() && self.waiting.is_empty()
    }

    /// An idle upstream runs even what looks too long, or a wrong estimate would never mend.
    fn is_too_long(&self, deadline: Duration, now: Duration) -> bool {
        let quick_run = self.expected_run() / QUICK_RUN_DIVISOR;
        !self.running.is_empty() && now + quick_run > deadline
    }

    fn phase_refusal(&self) -> Option<RefusalReason> {
        match self.phase {
            EndpointPhase::Ready => None,
            EndpointPhase::Leaving => Some(RefusalReason::Leaving),
            EndpointPhase::Down => Some(RefusalReason::UpstreamDown),
        }
    }

    fn queue_refusal(&self, now: Duration) -> Option<RefusalReason> {
        let is_grace = self.phase == EndpointPhase::Leaving && now < self.phase_since + LEAVE_GRACE;
        self.phase_refusal().filter(|_| !is_grace)
    }

    fn has_free_slot(&self) -> bool {
        self.running.len() < usize::from(self.slots)
    }

    /// Returns the mean time of runs, zero before the first.
    #[must_use]
    pub fn expected_run(&self) -> Duration {
        self.run_time.unwrap_or(Duration::ZERO)
    }

    /// Counts the waiting requests that start before one of a rank; the queue is in order of rank.
    fn count_ahead(&self, rank: u8) -> usize {
        self.waiting.partition_point(|request| request.rank <= rank)
    }

    fn wait_behind(&self, ahead: usize) -> Duration {
        let ahead = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        self.expected_run() * ahead / u32::from(self.slots.max(1))
    }

    fn learn(&mut self, run_time: Duration) {
        let Some(mean) = self.run_time else {
            self.run_time = Some(run_time);
            return;
        };
        self.deviation = smoothed(self.deviation, mean.abs_diff(run_time));
        self.run_time = Some(smoothed(mean, run_time));
    }
}

fn smoothed(mean: Duration, newest: Duration) -> Duration {
    (mean * (ESTIMATE_WEIGHT - 1) + newest) / ESTIMATE_WEIGHT
}
