//! Tells the requests that wait at a guard what it decided.

use std::collections::HashMap;
use std::time::Duration;

use flume::Sender;

use crate::guard::GuardEvent;
use crate::guard::GuardState;
use crate::ids::Fingerprint;
use crate::outcome::RefusalReason;

/// What a request that waited is told.
pub(crate) type Admission = Result<(), RefusalReason>;

/// Requests at a guard, by their ids there.
#[derive(Default)]
pub(crate) struct GuardWaiters {
    /// Those that wait for a decision.
    pub(crate) waiters: HashMap<u64, Sender<Admission>>,
    /// All that wait or run.
    pub(crate) calls: HashMap<u64, Fingerprint>,
}

impl GuardWaiters {
    /// Tells waiting requests what was decided; one that is gone gives its slot to the next.
    pub(crate) fn deliver(
        &mut self,
        guard: &mut GuardState,
        events: Vec<GuardEvent>,
        now: Duration,
    ) {
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
                pending.extend(guard.cancel(id, now));
            }
        }
    }

    /// Returns the requests that run.
    pub(crate) fn running(&self) -> Vec<Fingerprint> {
        let is_running = |id: &u64| !self.waiters.contains_key(id);
        let running = self.calls.iter().filter(|(id, _)| is_running(id));
        running.map(|(_, fingerprint)| *fingerprint).collect()
    }
}
