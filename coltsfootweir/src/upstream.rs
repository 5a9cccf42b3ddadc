//! The local upstream: its announcements, its slots and the requests it runs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use flume::Receiver;

use crate::announce::ANNOUNCE_TIMEOUT;
use crate::announce::RECOVERY_GAP;
use crate::announce::UpstreamAnnouncement;
use crate::clock::DaemonClock;
use crate::context::lock;
use crate::deadline::CallDeadline;
use crate::guard::AdmitDecision;
use crate::guard::GuardEvent;
use crate::guard::GuardState;
use crate::guard_waiters::Admission;
use crate::guard_waiters::GuardWaiters;
use crate::http_pool::ConnectionPool;
use crate::ids::Fingerprint;
use crate::load_report::LoadReport;
use crate::member::EndpointEntry;
use crate::member::EndpointPhase;
use crate::outcome::RefusalReason;
use crate::run_ledger::RunLedger;
use crate::run_ledger::STOP_MARGIN;

/// Current state of the local upstream.
struct UpstreamState {
    announced: Option<Arc<UpstreamAnnouncement>>,
    announced_at: Duration,
    /// First announcement after a silence, until one at least [`RECOVERY_GAP`] later.
    recovering_since: Option<Duration>,
    is_down: bool,
    guard: GuardState,
    requests: GuardWaiters,
    runs: RunLedger,
    next_id: u64,
    crash_count: u64,
}

/// The upstream beside this daemon.
pub(crate) struct LocalUpstream {
    state: Mutex<UpstreamState>,
    queue_limit: usize,
    clock: Arc<dyn DaemonClock>,
    pub(crate) pool: ConnectionPool,
}

/// A crash of the upstream, with the fingerprints of the requests that may have been running, also of those
/// whose callers had left.
pub(crate) struct ObservedCrash {
    pub(crate) number: u64,
    pub(crate) running: Vec<Fingerprint>,
}

impl LocalUpstream {
    pub(crate) fn new(queue_limit: usize, clock: Arc<dyn DaemonClock>) -> LocalUpstream {
        let state = UpstreamState {
            announced: None,
            announced_at: Duration::ZERO,
            recovering_since: None,
            is_down: true,
            guard: GuardState::new(0, queue_limit),
            requests: GuardWaiters::default(),
            runs: RunLedger::default(),
            next_id: 0,
            crash_count: 0,
        };
        let pool = ConnectionPool::default();
        LocalUpstream {
            state: Mutex::new(state),
            queue_limit,
            clock,
            pool,
        }
    }

    /// Handles an announcement; returns the endpoint entry to publish if it changed.
    pub(crate) fn announce(
        &self,
        announcement: UpstreamAnnouncement,
        now: Duration,
    ) -> Option<EndpointEntry> {
        let mut state = lock(&self.state);
        if !state.record_announcement(now) && !announcement.leaving {
            return match state.phase() {
                EndpointPhase::Leaving => None,
                _ => state.mark_down(now),
            };
        }
        let is_same = state.announced.as_deref() == Some(&announcement);
        if is_same && !state.is_down {
            return None;
        }
        let is_new = state.announced.as_ref().map(|old| old.address) != Some(announcement.address);
        if is_new && state.requests.calls.is_empty() {
            state.guard = GuardState::new(announcement.slots, self.queue_limit);
        }
        if is_new {
            // What ran at another address can't crash this upstream.
            state.runs.end_lifetime(now);
        }
        state.is_down = false;
        state.announced = Some(Arc::new(announcement));
        state.publish(now)
    }

    /// Marks the upstream down after [`ANNOUNCE_TIMEOUT`] without an announcement; returns the endpoint
    /// entry to publish if it changed.
    pub(crate) fn check_silence(&self, now: Duration) -> Option<EndpointEntry> {
        let mut state = lock(&self.state);
        if !state.is_silent(now) {
            return None;
        }
        state.mark_down(now)
    }

    /// Marks the upstream down after a crash; returns the crash and the endpoint entry to publish.
    /// Returns `None` if the upstream is down already, so only the first failed call reports a crash.
    pub(crate) fn note_crash(
        &self,
        now: Duration,
    ) -> Option<(ObservedCrash, Option<EndpointEntry>)> {
        let mut state = lock(&self.state);
        if state.is_down {
            return None;
        }
        state.is_down = true;
        state.crash_count += 1;
        let number = state.crash_count;
        let ended = state.runs.end_lifetime(now);
        let running = [ended.open, ended.abandoned].concat();
        let entry = state.publish(now);
        Some((ObservedCrash { number, running }, entry))
    }

    /// Refuses new requests from now on; returns the endpoint entry to publish.
    pub(crate) fn drain(&self, now: Duration) -> Option<EndpointEntry> {
        let mut state = lock(&self.state);
        let announcement = state.announced.as_mut()?;
        Arc::make_mut(announcement).leaving = true;
        state.publish(now)
    }

    /// Returns the address of the upstream unless it is down.
    pub(crate) fn address(&self) -> Option<SocketAddr> {
        let state = lock(&self.state);
        if state.is_down {
            return None;
        }
        Some(state.announced.as_ref()?.address)
    }

    /// Returns the last announcement, even while the upstream is down.
    pub(crate) fn last_announcement(&self) -> Option<Arc<UpstreamAnnouncement>> {
        lock(&self.state).announced.clone()
    }

    pub(crate) fn load(&self) -> LoadReport {
        lock(&self.state).guard.load()
    }

    pub(crate) fn is_idle(&self) -> bool {
        lock(&self.state).guard.is_idle()
    }

    /// Returns why a request with this deadline would be refused now, or `None`.
    pub(crate) fn refusal(&self, deadline: CallDeadline) -> Option<RefusalReason> {
        lock(&self.state)
            .guard
            .refusal(deadline.as_time(), self.clock.now())
    }

    /// Waits for a slot. Dropping the permit releases it.
    pub(crate) async fn admit(
        &self,
        fingerprint: Fingerprint,
        deadline: CallDeadline,
    ) -> Result<SlotPermit<'_>, RefusalReason> {
        let now = self.clock.now();
        let (id, waiter) = self.arrive(fingerprint, deadline, now)?;
        let permit = SlotPermit {
            upstream: self,
            id,
            is_done: false,
        };
        let Some(waiter) = waiter else {
            return Ok(permit);
        };
        match tokio::time::timeout(deadline.remaining(now), waiter.recv_async()).await {
            Ok(Ok(Ok(()))) => Ok(permit),
            Ok(Ok(Err(reason))) => Err(reason),
            Ok(Err(_)) => Err(RefusalReason::Cancelled),
            Err(_) => Err(RefusalReason::DeadlinePassed),
        }
    }

    fn arrive(
        &self,
        fingerprint: Fingerprint,
        deadline: CallDeadline,
        now: Duration,
    ) -> Result<(u64, Option<Receiver<Admission>>), RefusalReason> {
        let mut state = lock(&self.state);
        if state.is_silent(now) {
            return Err(RefusalReason::UpstreamDown);
        }
        let id = state.next_id;
        state.next_id += 1;
        match state.guard.arrive(id, deadline.as_time(), now) {
            AdmitDecision::Run => {
                state.requests.calls.insert(id, fingerprint);
                Ok((id, None))
            }
            AdmitDecision::Wait => {
                let (sender, receiver) = flume::bounded(1);
                state.requests.waiters.insert(id, sender);
                state.requests.calls.insert(id, fingerprint);
                Ok((id, Some(receiver)))
            }
            AdmitDecision::Refuse(reason) => Err(reason),
        }
    }
}

impl UpstreamState {
    fn is_silent(&self, now: Duration) -> bool {
        self.announced.is_some() && now.saturating_sub(self.announced_at) >= ANNOUNCE_TIMEOUT
    }

    /// Records the time of an announcement. Returns whether the announcement is certain to be recent:
    /// those right after a silence may have waited for a frozen daemon.
    fn record_announcement(&mut self, now: Duration) -> bool {
        if self.is_silent(now) {
            self.recovering_since = Some(now);
        }
        self.announced_at = now;
        let is_recent = self
            .recovering_since
            .is_none_or(|at| now >= at + RECOVERY_GAP);
        if is_recent {
            self.recovering_since = None;
        }
        is_recent
    }

    /// Marks the upstream down; returns the endpoint entry to publish if it was not down.
    fn mark_down(&mut self, now: Duration) -> Option<EndpointEntry> {
        if self.is_down {
            return None;
        }
        self.is_down = true;
        self.publish(now)
    }

    fn phase(&self) -> EndpointPhase {
        match &self.announced {
            _ if self.is_down => EndpointPhase::Down,
            Some(announcement) if announcement.leaving => EndpointPhase::Leaving,
            Some(_) => EndpointPhase::Ready,
            None => EndpointPhase::Down,
        }
    }

    /// Applies phase and slots to the guard and returns the endpoint entry to publish.
    fn publish(&mut self, now: Duration) -> Option<EndpointEntry> {
        let phase = self.phase();
        let slots = self.announced.as_ref()?.slots;
        let refused = self.guard.set_phase(phase, now);
        self.deliver(refused, now);
        let started = self.guard.set_slots(slots, now);
        self.deliver(started, now);
        let announcement = self.announced.as_ref()?;
        Some(EndpointEntry {
            service: announcement.service.clone(),
            version: announcement.version.clone(),
            slots,
            phase,
        })
    }

    fn deliver(&mut self, events: Vec<GuardEvent>, now: Duration) {
        self.requests.deliver(&mut self.guard, events, now);
    }
}

/// A slot of the upstream, held by one request.
pub(crate) struct SlotPermit<'a> {
    upstream: &'a LocalUpstream,
    id: u64,
    is_done: bool,
}

impl SlotPermit<'_> {
    /// Records that the request is sent to the upstream, which is to stop work on it at the deadline.
    pub(crate) fn start(&self, fingerprint: Fingerprint, deadline: CallDeadline) {
        let mut state = lock(&self.upstream.state);
        let until = deadline.as_time() + STOP_MARGIN;
        state.runs.start(self.id, fingerprint, until);
    }

    /// Marks the request as completed; otherwise it counts as cancelled.
    pub(crate) fn finish(&mut self) {
        self.is_done = true;
    }
}

impl Drop for SlotPermit<'_> {
    fn drop(&mut self) {
        let now = self.upstream.clock.now();
        let mut state = lock(&self.upstream.state);
        state.requests.calls.remove(&self.id);
        state.requests.waiters.remove(&self.id);
        let events = if self.is_done {
            state.runs.finish(self.id);
            state.runs.on_alive(now);
            state.guard.finish(self.id, now)
        } else {
            state.runs.abandon(self.id, now);
            state.guard.cancel(self.id, now)
        };
        state.deliver(events, now);
    }
}
