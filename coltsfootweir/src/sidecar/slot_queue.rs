//! Slots of the local endpoint and the queue of requests that wait for one.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::DaemonClock;
use crate::guard::AdmitDecision;
use crate::guard::GuardEvent;
use crate::guard::GuardState;
use crate::guard::RankedRequest;
use crate::guard_waiters::GuardWaiters;
use crate::ids::Fingerprint;
use crate::member::EndpointPhase;
use crate::outcome::RefusalReason;
use crate::run_ledger::EndedRuns;
use crate::run_ledger::RunLedger;
use crate::sidecar::fair_queue::TeamHash;
use crate::sidecar::fair_queue::share_refusal::ShareRefusal;
use crate::sidecar::frame::EndpointLoad;
use crate::sidecar::run_times::RunTimes;
use crate::sidecar::wait_factors::WaitFactors;
use crate::sidecar::warmup::warmup_pacer::WarmupPacer;

/// Maximum number of waiting requests per slot. It limits memory use when runs are short; when runs
/// are long, the deadlines of the requests limit the queue first.
const WAITING_PER_SLOT: usize = 16;

/// Rank of requests that have missed their target time, behind all others.
const LATE_RANK: u8 = u8::MAX;

struct QueueState {
    guard: GuardState,
    requests: GuardWaiters,
    /// Requests that the endpoint runs, or may still run.
    runs: RunLedger,
    run_times: RunTimes,
    wait_factors: WaitFactors,
    /// Factors of routes and teams: a team that waits for its share does not raise those of others.
    team_wait_factors: WaitFactors,
    next_id: u64,
    /// Whether a task starts the requests that wait because the endpoint is cold.
    is_timed: bool,
    /// Refused requests of teams, in the order of [`ShareRefusal::ALL`].
    share_refusals: [u64; ShareRefusal::ALL.len()],
}

/// A request for a slot.
#[derive(Clone, Copy, Debug)]
pub struct SlotRequest {
    /// Hash of the method, the path and the body.
    pub fingerprint: Fingerprint,
    /// Hash of the route's name.
    pub route_hash: u32,
    /// Rank of the route; 0 is the most urgent.
    pub rank: u8,
    /// Team of the client, if it has one.
    pub team: Option<TeamHash>,
    /// Time since the start of the daemon by which the request should finish.
    pub finish_by: Duration,
    /// Whether the request has missed its target time. It has the slots that all others leave.
    pub is_late: bool,
}

impl SlotRequest {
    fn queue_rank(&self) -> u8 {
        match self.is_late {
            true => LATE_RANK,
            false => self.rank,
        }
    }
}

/// Refusal of a request for a slot.
#[derive(Clone, Copy, Debug)]
pub struct SlotRefusal {
    /// Reason.
    pub reason: RefusalReason,
    /// More exact reason for a request of a team that found no capacity.
    pub share: Option<ShareRefusal>,
    /// Expected wait of a new request of the same rank and team.
    pub wait: Duration,
}

/// Slots and queue of one endpoint.
pub struct SlotQueue {
    state: RefCell<QueueState>,
    clock: Arc<dyn DaemonClock>,
}

impl SlotQueue {
    /// Creates the queue of an endpoint that has not been announced yet.
    #[must_use]
    pub fn new(clock: Arc<dyn DaemonClock>) -> Rc<SlotQueue> {
        let mut guard = GuardState::new(0, 0);
        guard.set_phase(EndpointPhase::Down, clock.now());
        let state = QueueState {
            guard,
            requests: GuardWaiters::default(),
            runs: RunLedger::default(),
            run_times: RunTimes::default(),
            wait_factors: WaitFactors::default(),
            team_wait_factors: WaitFactors::default(),
            share_refusals: [0; ShareRefusal::ALL.len()],
            next_id: 0,
            is_timed: false,
        };
        Rc::new(SlotQueue {
            state: RefCell::new(state),
            clock,
        })
    }

    /// Resets the queue for another lifetime of the endpoint. Waiting requests are refused; requests
    /// that run at the old lifetime occupy no slot of the new one.
    pub fn replace(&self, slots: u16) {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        let refused = state.guard.set_phase(EndpointPhase::Down, now);
        state.deliver(refused, now);
        let queue_limit = WAITING_PER_SLOT * usize::from(slots);
        let pacer = state.guard.pacer().clone();
        state.guard = GuardState::new(slots, queue_limit);
        state.guard.change_pacer(|kept| *kept = pacer, now);
    }

    /// Changes what limits the requests to a cold endpoint.
    pub fn change_pacer(&self, change: impl FnOnce(&mut WarmupPacer, Duration)) {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        let events = state.guard.change_pacer(|pacer| change(pacer, now), now);
        state.deliver(events, now);
    }

    /// Returns whether the requests to the endpoint are limited because it is cold.
    #[must_use]
    pub fn is_pacing(&self) -> bool {
        let state = self.state.borrow();
        state.guard.pacer().is_pacing(self.clock.now())
    }

    /// Returns the number of slots that the requests to a cold endpoint keep busy; `None` if they are
    /// not limited.
    #[must_use]
    pub fn busy_slots(&self) -> Option<u16> {
        let state = self.state.borrow();
        let pacer = state.guard.pacer();
        let terms = pacer.terms().filter(|_| pacer.is_cold(self.clock.now()))?;
        Some(terms.busy_slots(state.guard.expected_run()))
    }

    /// Has a task start the requests that wait because the endpoint is cold, unless one does.
    fn time_paced(self: &Rc<Self>, now: Duration) {
        let mut state = self.state.borrow_mut();
        if state.is_timed || state.guard.pace_pause(now).is_none() {
            return;
        }
        state.is_timed = true;
        tokio::task::spawn_local(Rc::clone(self).start_paced());
    }

    /// Starts waiting requests when a cold endpoint may receive them, until none waits for that.
    async fn start_paced(self: Rc<Self>) {
        loop {
            let pause = {
                let mut state = self.state.borrow_mut();
                let now = self.clock.now();
                let events = state.guard.poll(now);
                state.deliver(events, now);
                let pause = state.guard.pace_pause(now);
                state.is_timed = pause.is_some();
                pause
            };
            let Some(pause) = pause else {
                return;
            };
            tokio::time::sleep(pause).await;
        }
    }

    /// Sets whether the endpoint accepts requests.
    pub fn set_phase(&self, phase: EndpointPhase) {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        let events = state.guard.set_phase(phase, now);
        state.deliver(events, now);
    }

    /// Sets the maximum number of concurrent requests.
    pub fn set_slots(&self, slots: u16) {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        let events = state.guard.set_slots(slots, now);
        state.deliver(events, now);
    }

    /// Returns the current load.
    #[must_use]
    pub fn load(&self) -> EndpointLoad {
        let state = self.state.borrow();
        let load = state.guard.load();
        let run = state.guard.expected_run();
        EndpointLoad {
            running: load.running,
            slots: load.slots,
            waiting: state.guard.waiting_by_rank(),
            run_ms: u16::try_from(run.as_millis()).unwrap_or(u16::MAX),
        }
    }

    /// Returns the time after which a request of this rank and team that arrives now should have run.
    #[must_use]
    pub fn expected_time(&self, rank: u8, team: Option<TeamHash>, route_hash: u32) -> Duration {
        let state = self.state.borrow();
        let wait = state.wait_time(rank, team, self.clock.now());
        wait + state.run_times.expected(route_hash)
    }

    /// Returns the number of teams whose past use is remembered.
    #[must_use]
    pub fn tagged_teams(&self) -> usize {
        self.state.borrow().guard.tagged_teams()
    }

    /// Counts a request that is refused before it asks for a slot, because it may wait for `wait` only.
    /// Returns the reason if it has a team.
    pub fn refuse_early(
        &self,
        rank: u8,
        team: Option<TeamHash>,
        wait: Duration,
    ) -> Option<ShareRefusal> {
        team?;
        let mut state = self.state.borrow_mut();
        let share = match state.guard.unused_wait(rank) <= wait {
            true => ShareRefusal::OverShare,
            false => ShareRefusal::NoCapacity,
        };
        state.share_refusals[share as usize] += 1;
        Some(share)
    }

    /// Returns the number of refused requests of teams by reason.
    #[must_use]
    pub fn share_refusals(&self) -> Vec<(ShareRefusal, u64)> {
        let counts = self.state.borrow().share_refusals;
        ShareRefusal::ALL.into_iter().zip(counts).collect()
    }

    /// Returns the expected run time of requests of a route.
    #[must_use]
    pub fn expected_run(&self, route_hash: u32) -> Duration {
        self.state.borrow().run_times.expected(route_hash)
    }

    /// Records that the endpoint was alive at a time.
    pub fn on_alive(&self, at: Duration) {
        self.state.borrow_mut().runs.on_alive(at);
    }

    /// Records that the present lifetime of the endpoint has ended. Returns the requests that may have run
    /// then, whether somebody waits for them or not.
    pub fn end_lifetime(&self) -> EndedRuns {
        self.state.borrow_mut().runs.end_lifetime(self.clock.now())
    }

    /// Returns the number of requests that the endpoint may still run and that nobody waits for.
    #[must_use]
    pub fn abandoned(&self) -> usize {
        self.state.borrow().runs.abandoned()
    }

    /// Waits for a slot. Dropping the permit releases it.
    ///
    /// # Errors
    /// The reason why the request is not run.
    pub async fn admit(self: &Rc<Self>, request: SlotRequest) -> Result<SlotPermit, SlotRefusal> {
        let arrived = self.clock.now();
        let (id, waiter, expected_wait) = {
            let mut state = self.state.borrow_mut();
            let now = arrived;
            let id = state.next_id;
            state.next_id += 1;
            let ranked = RankedRequest {
                rank: request.queue_rank(),
                team: request.team,
                finish_by: request.finish_by,
                run: state.run_times.expected(request.route_hash),
                wait_factor: state.wait_factor(&request),
            };
            let (rank, team) = (request.queue_rank(), request.team);
            let token_wait = state.guard.token_wait(rank, team, ranked.finish_by, now);
            let expected_wait = state.guard.expected_wait(&ranked).max(token_wait);
            let (decision, events) = state.guard.arrive_ranked(id, ranked, now);
            state.deliver(events, now);
            let waiter = match decision {
                AdmitDecision::Refuse(reason) => {
                    let share = match reason {
                        RefusalReason::Overloaded => state.guard.share_refusal(&ranked, now),
                        _ => None,
                    };
                    return Err(state.refuse(&request, reason, share, now));
                }
                AdmitDecision::Run => None,
                AdmitDecision::Wait => {
                    let (sender, receiver) = flume::bounded(1);
                    state.requests.waiters.insert(id, sender);
                    Some(receiver)
                }
            };
            state.requests.calls.insert(id, request.fingerprint);
            (id, waiter, expected_wait)
        };
        let permit = SlotPermit {
            queue: Rc::clone(self),
            id,
            fingerprint: request.fingerprint,
            route_hash: request.route_hash,
            started: None,
        };
        let Some(waiter) = waiter else {
            return Ok(permit);
        };
        self.time_paced(arrived);
        let left = request.finish_by.saturating_sub(self.clock.now());
        let admission = tokio::time::timeout(left, waiter.recv_async()).await;
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        // Late requests wait longer than those of their route that are in time.
        if !request.is_late {
            state.record_wait(&request, expected_wait, now.saturating_sub(arrived));
        }
        let reason = match admission {
            Ok(Ok(Ok(()))) => {
                drop(state);
                return Ok(permit);
            }
            Ok(Ok(Err(reason))) => reason,
            Ok(Err(_)) => RefusalReason::Cancelled,
            Err(_) => RefusalReason::DeadlinePassed,
        };
        let share = match reason {
            RefusalReason::Overloaded => request.team.map(|_| ShareRefusal::Displaced),
            RefusalReason::DeadlinePassed => request.team.map(|_| ShareRefusal::Expired),
            _ => None,
        };
        // Dropping the permit removes the request, so that the stated wait does not include it.
        drop(state);
        drop(permit);
        let mut state = self.state.borrow_mut();
        Err(state.refuse(&request, reason, share, now))
    }
}

impl QueueState {
    fn wait_time(&self, rank: u8, team: Option<TeamHash>, now: Duration) -> Duration {
        let token_wait = self.guard.token_wait(rank, team, Duration::MAX, now);
        self.guard.wait_time(rank, team).max(token_wait)
    }

    fn wait_factor(&self, request: &SlotRequest) -> f64 {
        match request.team {
            Some(team) => self
                .team_wait_factors
                .factor(factor_key(request.route_hash, team)),
            None => self.wait_factors.factor(request.route_hash),
        }
    }

    fn record_wait(&mut self, request: &SlotRequest, expected: Duration, waited: Duration) {
        match request.team {
            Some(team) => {
                let key = factor_key(request.route_hash, team);
                self.team_wait_factors.record(key, expected, waited);
            }
            None => self
                .wait_factors
                .record(request.route_hash, expected, waited),
        }
    }

    fn refuse(
        &mut self,
        request: &SlotRequest,
        reason: RefusalReason,
        share: Option<ShareRefusal>,
        now: Duration,
    ) -> SlotRefusal {
        if let Some(share) = share {
            self.share_refusals[share as usize] += 1;
        }
        SlotRefusal {
            reason,
            share,
            wait: self.wait_time(request.rank, request.team, now),
        }
    }

    fn deliver(&mut self, events: Vec<GuardEvent>, now: Duration) {
        self.requests.deliver(&mut self.guard, events, now);
    }
}

/// Returns the key of the wait factor of a team's requests of a route.
fn factor_key(route_hash: u32, team: TeamHash) -> u32 {
    route_hash ^ (team ^ (team >> 32)) as u32
}

/// A slot reserved for one request.
pub struct SlotPermit {
    queue: Rc<SlotQueue>,
    id: u64,
    fingerprint: Fingerprint,
    route_hash: u32,
    started: Option<Duration>,
}

impl SlotPermit {
    /// Records that the request is sent to the endpoint, which is to stop work on it at `until`.
    pub fn start(&mut self, until: Duration) {
        self.started = Some(self.queue.clock.now());
        let mut state = self.queue.state.borrow_mut();
        state.runs.start(self.id, self.fingerprint, until);
    }

    /// Records that the endpoint does not run the request. The slot stays reserved.
    pub fn reject(&mut self) {
        let mut state = self.queue.state.borrow_mut();
        state.runs.finish(self.id);
    }

    /// Records that the endpoint has ended the connection of the request, and releases the slot.
    pub fn break_off(self) {
        let now = self.queue.clock.now();
        let mut state = self.queue.state.borrow_mut();
        state.runs.break_off(self.id, now);
    }

    /// Returns the time since the request was sent to the endpoint.
    #[must_use]
    pub fn run_time(&self) -> Duration {
        let now = self.queue.clock.now();
        now.saturating_sub(self.started.unwrap_or(now))
    }

    /// Records that the request completed and releases the slot. Returns the run time.
    pub fn finish(mut self) -> Duration {
        let now = self.queue.clock.now();
        let run = now.saturating_sub(self.started.take().unwrap_or(now));
        let mut state = self.queue.state.borrow_mut();
        state.run_times.record(self.route_hash, run);
        state.runs.finish(self.id);
        state.requests.calls.remove(&self.id);
        let events = state.guard.finish(self.id, now);
        state.deliver(events, now);
        run
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        let now = self.queue.clock.now();
        let mut state = self.queue.state.borrow_mut();
        // After `finish` and `break_off` the ledger no longer has the request as one that runs.
        state.runs.abandon(self.id, now);
        state.requests.calls.remove(&self.id);
        state.requests.waiters.remove(&self.id);
        // After `finish` the guard no longer has the request, and this has no effect.
        let events = state.guard.cancel(self.id, now);
        state.deliver(events, now);
    }
}
