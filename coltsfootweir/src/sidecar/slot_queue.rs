//! Slots of the endpoint beside the daemon, and the requests that wait for one.

use std::cell::RefCell;
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
use crate::sidecar::frame::EndpointLoad;
use crate::sidecar::run_times::RunTimes;

/// Requests that may wait for each slot. The time that requests have left bounds the queue sooner
/// where runs are long; this bounds memory where they are short.
const WAITING_PER_SLOT: usize = 16;

struct QueueState {
    guard: GuardState,
    requests: GuardWaiters,
    run_times: RunTimes,
    next_id: u64,
}

/// A request that wants a slot.
#[derive(Clone, Copy, Debug)]
pub struct SlotRequest {
    /// Hash of what is sent.
    pub fingerprint: Fingerprint,
    /// Hash of the route's name.
    pub kind: u32,
    /// Rank of the route; 0 is the most urgent.
    pub rank: u8,
    /// Time since the daemon's start by which it has to be done.
    pub finish_by: Duration,
}

/// Slots and queue of one endpoint.
pub struct SlotQueue {
    state: RefCell<QueueState>,
    clock: Arc<dyn DaemonClock>,
}

impl SlotQueue {
    /// Makes the queue of an endpoint that is not there yet.
    #[must_use]
    pub fn new(clock: Arc<dyn DaemonClock>) -> SlotQueue {
        let mut guard = GuardState::new(0, 0);
        guard.set_phase(EndpointPhase::Down, clock.now());
        let state = QueueState {
            guard,
            requests: GuardWaiters::default(),
            run_times: RunTimes::default(),
            next_id: 0,
        };
        SlotQueue {
            state: RefCell::new(state),
            clock,
        }
    }

    /// Starts anew for another lifetime of the endpoint. What waited is refused; what runs at the
    /// old lifetime holds no slot of the new one.
    pub fn replace(&self, slots: u16) {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        let refused = state.guard.set_phase(EndpointPhase::Down, now);
        state.deliver(refused, now);
        let queue_limit = WAITING_PER_SLOT * usize::from(slots);
        state.guard = GuardState::new(slots, queue_limit);
    }

    /// Changes whether the endpoint takes requests.
    pub fn set_phase(&self, phase: EndpointPhase) {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        let events = state.guard.set_phase(phase, now);
        state.deliver(events, now);
    }

    /// Changes the number of requests run at once.
    pub fn set_slots(&self, slots: u16) {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        let events = state.guard.set_slots(slots, now);
        state.deliver(events, now);
    }

    /// Returns the load.
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

    /// Returns how long a request of a rank would wait for a slot.
    #[must_use]
    pub fn wait_time(&self, rank: u8) -> Duration {
        self.state.borrow().guard.wait_time(rank)
    }

    /// Returns the requests that run.
    #[must_use]
    pub fn running(&self) -> Vec<Fingerprint> {
        self.state.borrow().requests.running()
    }

    /// Waits for a slot; dropping the permit gives it back.
    ///
    /// # Errors
    /// The reason for which the request is not run.
    pub async fn admit(&self, request: SlotRequest) -> Result<SlotPermit<'_>, RefusalReason> {
        let (id, waiter) = {
            let mut state = self.state.borrow_mut();
            let now = self.clock.now();
            let id = state.next_id;
            state.next_id += 1;
            let ranked = RankedRequest {
                rank: request.rank,
                finish_by: request.finish_by,
                run: state.run_times.expected(request.kind),
            };
            let (decision, events) = state.guard.arrive_ranked(id, ranked, now);
            state.deliver(events, now);
            let waiter = match decision {
                AdmitDecision::Refuse(reason) => return Err(reason),
                AdmitDecision::Run => None,
                AdmitDecision::Wait => {
                    let (sender, receiver) = flume::bounded(1);
                    state.requests.waiters.insert(id, sender);
                    Some(receiver)
                }
            };
            state.requests.calls.insert(id, request.fingerprint);
            (id, waiter)
        };
        let permit = SlotPermit {
            queue: self,
            id,
            kind: request.kind,
            started: None,
        };
        let Some(waiter) = waiter else {
            return Ok(permit);
        };
        let left = request.finish_by.saturating_sub(self.clock.now());
        match tokio::time::timeout(left, waiter.recv_async()).await {
            Ok(Ok(Ok(()))) => Ok(permit),
            Ok(Ok(Err(reason))) => Err(reason),
            Ok(Err(_)) => Err(RefusalReason::Cancelled),
            Err(_) => Err(RefusalReason::DeadlinePassed),
        }
    }
}

impl QueueState {
    fn deliver(&mut self, events: Vec<GuardEvent>, now: Duration) {
        self.requests.deliver(&mut self.guard, events, now);
    }
}

/// A slot, held for one request.
pub struct SlotPermit<'a> {
    queue: &'a SlotQueue,
    id: u64,
    kind: u32,
    started: Option<Duration>,
}

impl SlotPermit<'_> {
    /// Notes that the request is handed over.
    pub fn start(&mut self) {
        self.started = Some(self.queue.clock.now());
    }

    /// Notes that the request ran to an end, and gives the slot back; returns how long it ran.
    pub fn finish(mut self) -> Duration {
        let now = self.queue.clock.now();
        let run = now.saturating_sub(self.started.take().unwrap_or(now));
        let mut state = self.queue.state.borrow_mut();
        state.run_times.learn(self.kind, run);
        state.requests.calls.remove(&self.id);
        let events = state.guard.finish(self.id, now);
        state.deliver(events, now);
        run
    }
}

impl Drop for SlotPermit<'_> {
    fn drop(&mut self) {
        let now = self.queue.clock.now();
        let mut state = self.queue.state.borrow_mut();
        state.requests.calls.remove(&self.id);
        state.requests.waiters.remove(&self.id);
        // After an end there is no such request, and nothing changes.
        let events = state.guard.cancel(self.id, now);
        state.deliver(events, now);
    }
}
