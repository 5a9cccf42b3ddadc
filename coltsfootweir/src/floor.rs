//! The generation below which a restarted daemon must not serve.
//!
//! A daemon keeps nothing over a restart. Before it takes a call it must stand at or above the
//! highest generation that an earlier run at its address served. Two sources tell it:
//!
//! - the store: a generation is accepted there before any daemon serves it, so a head read after the
//!   start is at least as high as all that was served before;
//! - the peers: each answers with the highest generation it serves and the highest that it ever saw
//!   advertised by the asking address. Answers count only once [`FLOOR_SETTLE`] has passed since the
//!   start, which is longer than a head takes to spread, and only from members that stand at their
//!   own floor. [`FLOOR_PEERS`] answers are needed, or those of all peers of the own region that can
//!   answer; only if none of these can, the other region's.
//!
//! What remains: with the store unreachable, a generation that the earlier run served, but that no
//! member now in reach received within [`FLOOR_SETTLE`], is not known to anyone who answers. That
//! needs the earlier run to end before any of its pushes arrived, or each member that received one
//! to be lost or cut off as well. A daemon that reaches neither the store nor a peer with a floor
//! does not serve.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::gossip_message::FloorAnswer;
use crate::gossip_message::GossipMessage;
use crate::ids::Generation;
use crate::ids::MemberId;
use crate::view::MemberView;

/// Number of peers that must answer, unless fewer can.
pub const FLOOR_PEERS: usize = 5;

/// Time after the start from which answers of peers count.
pub const FLOOR_SETTLE: Duration = Duration::from_secs(20);

/// What is known of a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PeerStanding {
    /// May answer.
    Expected,
    /// Looks for its own floor.
    Asking,
    /// Could not be reached.
    Failed,
    /// Answered after [`FLOOR_SETTLE`].
    Counted,
}

#[derive(Clone, Copy, Debug)]
struct FloorPeer {
    standing: PeerStanding,
    near: bool,
}

/// What a restarted daemon has learned about its floor.
#[derive(Clone, Debug)]
pub struct FloorState {
    started: Duration,
    store_head: Option<Generation>,
    highest: Generation,
    peers: BTreeMap<MemberId, FloorPeer>,
}

impl FloorState {
    /// State of a daemon that started at `now`.
    pub fn new(now: Duration) -> FloorState {
        FloorState {
            started: now,
            store_head: None,
            highest: 0,
            peers: BTreeMap::new(),
        }
    }

    /// Notes the result of reading the store's head after the start: its generation, 0 if nothing
    /// was accepted yet, or `None` if the store could not be read.
    pub fn on_store_head(&mut self, generation: Option<Generation>) {
        self.store_head = self.store_head.max(generation);
    }

    /// Notes which peers there are: those that are live in the daemon's view.
    pub fn on_view(&mut self, view: &MemberView) {
        let own = view.own();
        for entry in view.live() {
            if entry.id == own.id {
                continue;
            }
            let near = entry.region == own.region;
            let unknown = FloorPeer {
                standing: PeerStanding::Expected,
                near,
            };
            self.peers.entry(entry.id.clone()).or_insert(unknown).near = near;
        }
        self.peers.retain(|id, peer| {
            peer.standing == PeerStanding::Counted
                || view.get(id).is_some_and(|entry| entry.state.is_live())
        });
    }

    /// Notes a gossip message that answered this daemon's at `now`.
    pub fn on_answer(&mut self, answer: &GossipMessage, now: Duration) {
        match answer.floor {
            Some(floor) => self.on_peer_answer(&answer.from, floor, now),
            None if answer.floor_wanted => self.on_peer_asking(&answer.from),
            None => {}
        }
    }

    /// Notes an answer that the peer gave at `now`.
    pub fn on_peer_answer(&mut self, peer: &MemberId, answer: FloorAnswer, now: Duration) {
        self.highest = self.highest.max(answer.held).max(answer.advertised);
        let settled = now.saturating_sub(self.started) >= FLOOR_SETTLE;
        let standing = if settled {
            PeerStanding::Counted
        } else {
            PeerStanding::Expected
        };
        self.set_standing(peer, standing);
    }

    /// Notes a peer that looks for its own floor and so cannot answer.
    pub fn on_peer_asking(&mut self, peer: &MemberId) {
        self.set_standing(peer, PeerStanding::Asking);
    }

    /// Notes a peer that could not be reached; it is not waited for until it answers.
    pub fn on_peer_failure(&mut self, peer: &MemberId) {
        self.set_standing(peer, PeerStanding::Failed);
    }

    /// Notes that no peer can be reached; answers that count stay.
    pub fn on_no_peers(&mut self) {
        self.peers
            .retain(|_, peer| peer.standing == PeerStanding::Counted);
    }

    /// The floor, or `None` while it is unknown.
    pub fn floor(&self, now: Duration) -> Option<Generation> {
        if let Some(head) = self.store_head {
            return Some(head.max(self.highest));
        }
        if now.saturating_sub(self.started) < FLOOR_SETTLE {
            return None;
        }
        if self.able(true) > 0 {
            return self.counted_floor(true);
        }
        self.counted_floor(false)
    }

    /// Changes what is known of a peer; an answer that counts stays.
    fn set_standing(&mut self, id: &MemberId, standing: PeerStanding) {
        let unknown = FloorPeer {
            standing,
            near: true,
        };
        let peer = self.peers.entry(id.clone()).or_insert(unknown);
        if peer.standing != PeerStanding::Counted {
            peer.standing = standing;
        }
    }

    /// Number of peers that answered or may, of the own region or the other.
    fn able(&self, near: bool) -> usize {
        self.count(PeerStanding::Expected, near) + self.count(PeerStanding::Counted, near)
    }

    fn counted_floor(&self, near: bool) -> Option<Generation> {
        let needed = FLOOR_PEERS.min(self.able(near)).max(1);
        (self.count(PeerStanding::Counted, near) >= needed).then_some(self.highest)
    }

    fn count(&self, standing: PeerStanding, near: bool) -> usize {
        self.peers
            .values()
            .filter(|peer| peer.standing == standing && peer.near == near)
            .count()
    }
}
