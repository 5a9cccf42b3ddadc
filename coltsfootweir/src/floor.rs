//! The generation below which a restarted daemon must not serve (the floor).
//!
//! A daemon stores nothing locally across a restart. Before it takes a call, it must hold at least
//! the highest generation that an earlier run at its address served. The floor has two sources:
//!
//! - The store: a generation is accepted there before any daemon serves it, so a head read after the
//!   start is at least as high as every generation served before.
//! - The peers: each returns the highest generation it serves and the highest it has seen advertised
//!   by the restarted daemon's address. Answers count only once [`FLOOR_SETTLE`] has passed since the
//!   start, which is longer than a head takes to spread, and only from members that have reached
//!   their own floor. [`FLOOR_PEERS`] answers are required, or those of all peers in the daemon's
//!   own region that can answer. If none of them can, peers in the other region are used.
//!
//! Limitation: with the store unreachable, the peers do not report a generation that the earlier run
//! served but that no reachable member received within [`FLOOR_SETTLE`]. This requires that the
//! earlier run ended before any of its pushes arrived, or that every member that received one is also
//! lost or cut off. A daemon that reaches neither the store nor a peer with a floor does not serve.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::gossip_message::FloorAnswer;
use crate::gossip_message::GossipMessage;
use crate::ids::Generation;
use crate::ids::MemberId;
use crate::view::MemberView;

/// Number of peers that must answer, unless fewer are able to.
pub const FLOOR_PEERS: usize = 5;

/// Time after the start before peer answers count.
pub const FLOOR_SETTLE: Duration = Duration::from_secs(20);

/// Status of a peer with regard to the floor.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PeerStatus {
    /// Has not answered yet, or only before [`FLOOR_SETTLE`].
    Expected,
    /// Is itself determining its floor and cannot answer.
    Asking,
    /// Could not be reached.
    Failed,
    /// Answered after [`FLOOR_SETTLE`].
    Counted,
}

#[derive(Clone, Copy, Debug)]
struct FloorPeer {
    status: PeerStatus,
    /// Whether the peer is in the daemon's own region.
    near: bool,
}

/// Progress of a restarted daemon in determining its floor.
#[derive(Clone, Debug)]
pub struct FloorState {
    started: Duration,
    store_head: Option<Generation>,
    highest: Generation,
    peers: BTreeMap<MemberId, FloorPeer>,
}

impl FloorState {
    /// Creates the state of a daemon that started at `now`.
    pub fn new(now: Duration) -> FloorState {
        FloorState {
            started: now,
            store_head: None,
            highest: 0,
            peers: BTreeMap::new(),
        }
    }

    /// Records a read of the store's head after the start: its generation, 0 if nothing has been
    /// accepted yet, or `None` if the store could not be read.
    pub fn on_store_head(&mut self, generation: Option<Generation>) {
        self.store_head = self.store_head.max(generation);
    }

    /// Updates the set of peers from the live members of the daemon's view.
    pub fn on_view(&mut self, view: &MemberView) {
        let own = view.own();
        for entry in view.live() {
            if entry.id == own.id {
                continue;
            }
            let near = entry.region == own.region;
            let unknown = FloorPeer {
                status: PeerStatus::Expected,
                near,
            };
            self.peers.entry(entry.id.clone()).or_insert(unknown).near = near;
        }
        self.peers.retain(|id, peer| {
            peer.status == PeerStatus::Counted
                || view.get(id).is_some_and(|entry| entry.state.is_live())
        });
    }

    /// Records a gossip message received at `now` in answer to one of this daemon's.
    pub fn on_answer(&mut self, answer: &GossipMessage, now: Duration) {
        match answer.floor {
            Some(floor) => self.on_peer_answer(&answer.from, floor, now),
            None if answer.floor_wanted => self.on_peer_asking(&answer.from),
            None => {}
        }
    }

    /// Records a floor answer of a peer received at `now`.
    pub fn on_peer_answer(&mut self, peer: &MemberId, answer: FloorAnswer, now: Duration) {
        self.highest = self.highest.max(answer.held).max(answer.advertised);
        let settled = now.saturating_sub(self.started) >= FLOOR_SETTLE;
        let status = if settled {
            PeerStatus::Counted
        } else {
            PeerStatus::Expected
        };
        self.set_status(peer, status);
    }

    /// Records that a peer is determining its own floor and cannot answer.
    pub fn on_peer_asking(&mut self, peer: &MemberId) {
        self.set_status(peer, PeerStatus::Asking);
    }

    /// Records that a peer could not be reached; it is not waited for until it answers.
    pub fn on_peer_failure(&mut self, peer: &MemberId) {
        self.set_status(peer, PeerStatus::Failed);
    }

    /// Records that no peer can be reached; counted answers are kept.
    pub fn on_no_peers(&mut self) {
        self.peers
            .retain(|_, peer| peer.status == PeerStatus::Counted);
    }

    /// Returns the floor, or `None` while it is unknown.
    pub fn floor(&self, now: Duration) -> Option<Generation> {
        if let Some(head) = self.store_head {
            return Some(head.max(self.highest));
        }
        if now.saturating_sub(self.started) < FLOOR_SETTLE {
            return None;
        }
        if self.answerable_count(true) > 0 {
            return self.counted_floor(true);
        }
        self.counted_floor(false)
    }

    /// Sets the status of a peer; a counted answer is kept.
    fn set_status(&mut self, id: &MemberId, status: PeerStatus) {
        let unknown = FloorPeer { status, near: true };
        let peer = self.peers.entry(id.clone()).or_insert(unknown);
        if peer.status != PeerStatus::Counted {
            peer.status = status;
        }
    }

    /// Returns the number of peers that have answered or still may, in the own region if `near`,
    /// otherwise in the other.
    fn answerable_count(&self, near: bool) -> usize {
        self.count(PeerStatus::Expected, near) + self.count(PeerStatus::Counted, near)
    }

    fn counted_floor(&self, near: bool) -> Option<Generation> {
        let needed = FLOOR_PEERS.min(self.answerable_count(near)).max(1);
        (self.count(PeerStatus::Counted, near) >= needed).then_some(self.highest)
    }

    fn count(&self, status: PeerStatus, near: bool) -> usize {
        self.peers
            .values()
            .filter(|peer| peer.status == status && peer.near == near)
            .count()
    }
}
