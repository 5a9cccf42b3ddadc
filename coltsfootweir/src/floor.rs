//! The generation below which a restarted daemon must not serve.
//!
//! A daemon keeps nothing over a restart. Before it takes a call it must stand at or above the
//! highest generation that an earlier run at its address served. Two sources tell it:
//!
//! - the store: a generation is accepted there before any daemon serves it, so a head read after the
//!   start is at least as high as all that was served before;
//! - the peers: each answers with the highest generation it serves and the highest that it ever saw
//!   advertised by the asking address. Answers count only once [`FLOOR_SETTLE`] has passed since the
//!   start, which is longer than a head takes to spread, and only from members that know their own
//!   floor.
//!
//! What remains: with the store unreachable, a generation that the earlier run served, but that no
//! member now in reach received within [`FLOOR_SETTLE`], is not known to anyone who answers. That
//! needs the earlier run to end before any of its pushes arrived, or each member that received one
//! to be lost or cut off as well. A daemon that reaches neither the store nor a peer with a floor
//! does not serve.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::gossip_message::FloorAnswer;
use crate::ids::Generation;
use crate::ids::MemberId;

/// Number of peers that must answer, unless fewer are known.
pub const FLOOR_PEERS: usize = 5;

/// Time after the start from which answers of peers count.
pub const FLOOR_SETTLE: Duration = Duration::from_secs(20);

/// What a restarted daemon has learned about its floor.
#[derive(Clone, Debug)]
pub struct FloorState {
    started: Duration,
    store_head: Option<Generation>,
    highest: Generation,
    settled: BTreeMap<MemberId, bool>,
}

impl FloorState {
    /// State of a daemon that started at `now`.
    pub fn new(now: Duration) -> FloorState {
        FloorState {
            started: now,
            store_head: None,
            highest: 0,
            settled: BTreeMap::new(),
        }
    }

    /// Notes the result of reading the store's head: its generation, 0 if nothing was accepted yet,
    /// or `None` if the store could not be read.
    pub fn on_store_head(&mut self, generation: Option<Generation>) {
        self.store_head = self.store_head.max(generation);
    }

    /// Notes an answer that the peer gave at `now`.
    pub fn on_peer(&mut self, peer: &MemberId, answer: FloorAnswer, now: Duration) {
        self.highest = self.highest.max(answer.held).max(answer.advertised);
        let settled = now.saturating_sub(self.started) >= FLOOR_SETTLE;
        let counted = self.settled.entry(peer.clone()).or_default();
        *counted |= settled;
    }

    /// Notes a peer that is known but has not answered.
    pub fn on_peer_known(&mut self, peer: &MemberId) {
        self.settled.entry(peer.clone()).or_default();
    }

    /// Notes a peer that could not be reached; it is no longer waited for.
    pub fn on_peer_failure(&mut self, peer: &MemberId) {
        if self.settled.get(peer) == Some(&false) {
            self.settled.remove(peer);
        }
    }

    /// Notes that no peer is known any more; answers that count stay.
    pub fn on_no_peers(&mut self) {
        self.settled.retain(|_, counted| *counted);
    }

    /// The floor, or `None` while it is unknown.
    pub fn floor(&self, now: Duration) -> Option<Generation> {
        if let Some(head) = self.store_head {
            return Some(head.max(self.highest));
        }
        if now.saturating_sub(self.started) < FLOOR_SETTLE {
            return None;
        }
        let counted = self.settled.values().filter(|counted| **counted).count();
        let needed = FLOOR_PEERS.min(self.settled.len()).max(1);
        (counted >= needed).then_some(self.highest)
    }
}
