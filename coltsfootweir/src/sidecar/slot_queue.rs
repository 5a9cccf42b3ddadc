//! Slots of the endpoint beside the daemon, and the requests that wait for one.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use flume::Sender;

use crate::clock::DaemonClock;
use crate::guard::AdmitDecision;
use crate::guard::GuardEvent;
use crate::guard::GuardState;
use crate::ids::Fingerprint;
use crate::member::EndpointPhase;
use crate::outcome::RefusalReason;
use crate::sidecar::frame::LoadNote;

/// Requests that may wait for each slot. The time that requests have left bounds the queue sooner
/// where runs are long; this bounds memory where they are short.
const WAITING_PER_SLOT: usize = 16;

type Admission = Result<(), RefusalReason>;

struct QueueState {
    guard: GuardState,
    waiters: HashMap<u64, Sender<Admission>>,
    calls: HashMap<u64, Fingerprint>,
    next_id: u64,
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
            waiters: HashMap::new(),
            calls: HashMap::new(),
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
    pub fn load(&self) -> LoadNote {
        let load = self.state.borrow().guard.load();
        LoadNote {
            running: load.running,
            slots: load.slots,
            waiting: load.waiting,
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
        let state = self.state.borrow();
        let mut running = Vec::new();
        for (id, fingerprint) in &state.calls {
            if !state.waiters.contains_key(id) {
                running.push(*fingerprint);
            }
        }
        running
    }

    /// Waits for a slot; dropping the permit gives it back.
    ///
    /// # Errors
    /// The reason for which the request is not run.
    pub async fn admit(
        &self,
        fingerprint: Fingerprint,
        rank: u8,
        deadline: Duration,
    ) -> Result<SlotPermit<'_>, RefusalReason> {
        let (id, waiter) = {
            let mut state = self.state.borrow_mut();
            let now = self.clock.now();
            let id = state.next_id;
            state.next_id += 1;
            let (decision, events) = state.guard.arrive_ranked(id, rank, deadline, now);
            state.deliver(events, now);
            let waiter = match decision {
                AdmitDecision::Refuse(reason) => return Err(reason),
                AdmitDecision::Run => None,
                AdmitDecision::Wait => {
                    let (sender, receiver) = flume::bounded(1);
                    state.waiters.insert(id, sender);
                    Some(receiver)
                }
            };
            state.calls.insert(id, fingerprint);
            (id, waiter)
        };
        let permit = SlotPermit {
            queue: self,
            id,
            is_done: false,
        };
        let Some(waiter) = waiter else {
            return Ok(permit);
        };
        let left = deadline.saturating_sub(self.clock.now());
        match tokio::time::timeout(left, waiter.recv_async()).await {
            Ok(Ok(Ok(()))) => Ok(permit),
            Ok(Ok(Err(reason))) => Err(reason),
            Ok(Err(_)) => Err(RefusalReason::Cancelled),
            Err(_) => Err(RefusalReason::DeadlinePassed),
        }
    }
}

impl QueueState {
    /// Tells waiting requests what was decided; one that is gone gives its slot to the next.
    fn deliver(&mut self, events: Vec<GuardEvent>, now: Duration) {
        let mut pending = events;
        while let Some(event) = pending.pop() {
            let (id, admission) = match event {
                GuardEvent::Start(id) => (id, Ok(())),
                GuardEvent::Expire(id) => (id, Err(RefusalReason::DeadlinePassed)),
                GuardEvent::Refuse(id, reason) => (id, Err(reason)),
            };
            let waiter = self.waiters.remove(&id);
            let told = waiter.map(|waiter| waiter.send(admission));
            if admission.is_ok() && !matches!(told, Some(Ok(()))) {
                self.calls.remove(&id);
                pending.extend(self.guard.cancel(id, now));
            }
        }
    }
}

/// A slot, held for one request.
pub struct SlotPermit<'a> {
    queue: &'a SlotQueue,
    id: u64,
    is_done: bool,
}

impl SlotPermit<'_> {
    /// Notes that the request ran to an end.
    pub fn finish(&mut self) {
        self.is_done = true;
    }
}

impl Drop for SlotPermit<'_> {
    fn drop(&mut self) {
        let now = self.queue.clock.now();
        let mut state = self.queue.state.borrow_mut();
        state.calls.remove(&self.id);
        state.waiters.remove(&self.id);
        let events = if self.is_done {
            state.guard.finish(self.id, now)
        } else {
            state.guard.cancel(self.id, now)
        };
        state.deliver(events, now);
    }
}
