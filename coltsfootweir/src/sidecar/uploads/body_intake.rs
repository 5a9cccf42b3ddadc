//! Receives the bodies that other daemons offer, as far as the schedule grants them.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::rc::Rc;
use std::rc::Weak;
use std::sync::Arc;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use hyper::body::Bytes;
use log::warn;
use serde_json::json;

use crate::clock::DaemonClock;
use crate::logging::MEMBERS;
use crate::sidecar::frame::CallNumber;
use crate::sidecar::frame::FEATURE_RECEIVE_LOAD;
use crate::sidecar::frame::PeerFrame;
use crate::sidecar::frame::PieceBytes;
use crate::sidecar::link::link_side::LinkSide;
use crate::sidecar::link::uplink_schedule::LinkId;
use crate::sidecar::uploads::body_memory::BodyMemory;
use crate::sidecar::uploads::body_memory::HeldMemory;
use crate::sidecar::uploads::grant_schedule::BodyId;
use crate::sidecar::uploads::grant_schedule::BodySpec;
use crate::sidecar::uploads::grant_schedule::GrantSchedule;
use crate::sidecar::uploads::grant_schedule::PieceEffect;
use crate::sidecar::uploads::load_reports::LoadReports;

/// Time after which a body that found no memory may be offered again: a few run times, after which
/// bodies of others are released.
const MEMORY_RETRY: Duration = Duration::from_millis(50);

/// Maximum length of a body in bytes, four times the limit of the platform's examples. Keeps sums of
/// lengths that peers state in range.
const LENGTH_LIMIT: u64 = 256 * 1024 * 1024;

struct IncomingBody {
    side: Rc<LinkSide>,
    number: CallNumber,
    bytes: Vec<u8>,
    whole: Sender<Bytes>,
}

struct IntakeState {
    schedule: GrantSchedule,
    incoming: HashMap<BodyId, IncomingBody>,
    ids: HashMap<(LinkId, CallNumber), BodyId>,
    reports: LoadReports,
    /// Connections on which bodies were offered lately.
    sides: HashMap<LinkId, Weak<LinkSide>>,
}

/// The bodies that are sent to this VM.
pub struct BodyIntake {
    state: RefCell<IntakeState>,
    clock: Arc<dyn DaemonClock>,
    memory: Box<dyn BodyMemory>,
    /// Number of bodies whose calls have not begun to run.
    open: Cell<usize>,
}

/// Bytes of bodies, for the metrics.
#[derive(Clone, Copy, Debug)]
pub struct IntakeFigures {
    /// Granted and not received.
    pub granted: u64,
    /// Waiting for a grant.
    pub waiting: u64,
}

impl BodyIntake {
    /// Creates an intake for a VM with a link of `link_mbits`; 0 if that is not known.
    #[must_use]
    pub fn new(
        link_mbits: u32,
        memory: Box<dyn BodyMemory>,
        clock: Arc<dyn DaemonClock>,
    ) -> Rc<BodyIntake> {
        let state = IntakeState {
            schedule: GrantSchedule::new(link_mbits),
            incoming: HashMap::new(),
            ids: HashMap::new(),
            reports: LoadReports::default(),
            sides: HashMap::new(),
        };
        Rc::new(BodyIntake {
            state: RefCell::new(state),
            clock,
            memory,
            open: Cell::new(0),
        })
    }

    /// Accepts the body of a call. Dropping the result ends the transfer.
    ///
    /// # Errors
    /// The time after which it may be offered again, if there is no time or no memory for it.
    pub fn offer(
        self: &Rc<Self>,
        side: &Rc<LinkSide>,
        number: CallNumber,
        spec: BodySpec,
    ) -> Result<OfferedBody, Duration> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        if spec.length > LENGTH_LIMIT {
            let event = json!({"name": "body_too_long", "peer": side.peer_name(),
                "bytes": spec.length});
            warn!(target: MEMBERS, "{event}");
            return Err(Duration::MAX);
        }
        let Some(memory) = self.memory.reserve(spec.length) else {
            return Err(state.schedule.backlog_time(now).max(MEMORY_RETRY));
        };
        let offered = state.schedule.offer(spec, now);
        state.report_offer(side, offered.is_err(), now);
        let id = offered?;
        let (whole, received) = flume::bounded(1);
        let body = IncomingBody {
            side: Rc::clone(side),
            number,
            bytes: Vec::new(),
            whole,
        };
        state.incoming.insert(id, body);
        state.ids.insert((side.id(), number), id);
        state.send_grants(None, now);
        drop(state);
        self.open.set(self.open.get() + 1);
        Ok(OfferedBody {
            intake: Rc::clone(self),
            id,
            received,
            memory: Some(memory),
        })
    }

    /// Adds a received piece. Pieces of a body that was given up are ignored.
    pub fn receive(&self, side: &LinkSide, number: CallNumber, piece: &PieceBytes) {
        let mut state = self.state.borrow_mut();
        let Some(id) = state.ids.get(&(side.id(), number)).copied() else {
            return;
        };
        let count = piece.0.len() as u64;
        let now = self.clock.now();
        let effect = state.schedule.receive(id, count, now);
        let Some(body) = state.incoming.get_mut(&id) else {
            return;
        };
        match effect {
            PieceEffect::Stray => {
                let event = json!({"name": "body_not_granted", "peer": side.peer_name(),
                    "bytes": count});
                warn!(target: MEMBERS, "{event}");
                state.remove(id);
            }
            PieceEffect::Partial => body.bytes.extend_from_slice(&piece.0),
            PieceEffect::Whole => {
                body.bytes.extend_from_slice(&piece.0);
                let length = body.bytes.len() as u64;
                side.send(PeerFrame::BodyGrant(number, length, length));
                let bytes = Bytes::from(std::mem::take(&mut body.bytes));
                // Fails if the call was cancelled.
                let _ = body.whole.try_send(bytes);
                state.remove(id);
            }
        }
        state.send_grants(Some(id), now);
    }

    /// Sends the grants that are possible now; to be called several times a second, as senders may
    /// stop to use theirs.
    pub fn send_grants(&self) {
        let now = self.clock.now();
        self.state.borrow_mut().send_grants(None, now);
    }

    /// Tells peers that offer bodies how long those on their way take, if that has changed; to be called
    /// several times a second.
    pub fn report_load(&self) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        if state.sides.is_empty() {
            return;
        }
        let load = state.schedule.load(now);
        for link in state.reports.take_due(&load, now) {
            let side = state.sides.get(&link).and_then(Weak::upgrade);
            // A connection that has ended needs no report.
            if let Some(side) = side {
                side.send(PeerFrame::ReceiveLoad(load.clone()));
            }
        }
        state.sides.retain(|link, _| state.reports.has(*link));
    }

    /// Returns the time that the expected bodies take.
    #[must_use]
    pub fn backlog_time(&self) -> Duration {
        let now = self.clock.now();
        self.state.borrow().schedule.backlog_time(now)
    }

    /// Returns whether no body is expected, and none is complete whose call has not begun to run.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.open.get() == 0
    }

    /// Returns the bytes for the metrics.
    #[must_use]
    pub fn figures(&self) -> IntakeFigures {
        let now = self.clock.now();
        let state = self.state.borrow();
        IntakeFigures {
            granted: state.schedule.on_the_way(now),
            waiting: state.schedule.waiting(now),
        }
    }
}

impl IntakeState {
    /// Sends the grants that are possible now. `received` is a body of which a piece was received,
    /// which the same frame acknowledges.
    fn send_grants(&mut self, received: Option<BodyId>, now: Duration) {
        let mut changed = BTreeSet::new();
        changed.extend(received);
        while let Some(id) = self.schedule.next(now) {
            changed.insert(id);
        }
        for id in changed {
            let Some(body) = self.incoming.get(&id) else {
                continue;
            };
            let up_to = self.schedule.granted(id);
            let received = body.bytes.len() as u64;
            let frame = PeerFrame::BodyGrant(body.number, up_to, received);
            body.side.send(frame);
        }
    }

    /// Tells the peer that has offered a body how long those on their way take, if that has changed.
    fn report_offer(&mut self, side: &Rc<LinkSide>, is_refused: bool, now: Duration) {
        if !side.has_feature(FEATURE_RECEIVE_LOAD) {
            return;
        }
        let load = self.schedule.load(now);
        self.sides.insert(side.id(), Rc::downgrade(side));
        if self.reports.on_offer(side.id(), is_refused, &load, now) {
            side.send(PeerFrame::ReceiveLoad(load));
        }
    }

    fn remove(&mut self, id: BodyId) {
        self.schedule.remove(id);
        if let Some(body) = self.incoming.remove(&id) {
            self.ids.remove(&(body.side.id(), body.number));
        }
    }
}

/// A body that is being received. Dropping it ends the transfer and frees its grants.
pub struct OfferedBody {
    intake: Rc<BodyIntake>,
    id: BodyId,
    received: Receiver<Bytes>,
    memory: Option<Box<dyn HeldMemory>>,
}

impl OfferedBody {
    /// Waits for the whole body; `None` if the sender broke the protocol.
    pub async fn whole(&self) -> Option<Bytes> {
        self.received.recv_async().await.ok()
    }

    /// Ends the transfer and returns the memory of the body, to be held until the call has ended.
    #[must_use]
    pub fn into_memory(mut self) -> Option<Box<dyn HeldMemory>> {
        self.memory.take()
    }
}

impl Drop for OfferedBody {
    fn drop(&mut self) {
        self.intake.open.set(self.intake.open.get() - 1);
        self.intake.state.borrow_mut().remove(self.id);
        self.intake.send_grants();
    }
}
