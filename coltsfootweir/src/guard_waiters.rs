//! Delivers the decisions of a guard to the requests that wait for them.

use std::collections::HashMap;
use std::time::Duration;

use flume::Sender;

use crate::guard::GuardEvent;
use crate::guard::GuardState;
use crate::ids::Fingerprint;
use crate::outcome::RefusalReason;

/// Decision on a request that waited: it may start, or the reason why it was refused.
pub(crate) type Admission = Result<(), RefusalReason>;

/// Requests at a guard, by their guard ids.
#[derive(Default)]
pub(crate) struct GuardWaiters {
    /// Channels of the requests that wait for a decision.
    pub(crate) waiters: HashMap<u64, Sender<Admission>>,
    /// Fingerprints of all requests that wait or run.
    pub(crate) calls: HashMap<u64, Fingerprint>,
}

impl GuardWaiters {
    /// Sends decisions to the waiting requests. If a request that may start is gone, its slot goes to
    /// the next one.
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
            let delivered = waiter.map(|waiter| waiter.send(admission));
            if admission.is_ok() && !matches!(delivered, Some(Ok(()))) {
                self.calls.remove(&id);
                pending.extend(guard.cancel(id, now));
            }
        }
    }
}
