//! Decides which peers are told how long the bodies on their way to this VM take.

use std::collections::HashMap;
use std::time::Duration;

use crate::sidecar::link::uplink_schedule::LinkId;
use crate::sidecar::uploads::receive_load::ReceiveLoad;

/// Time after its last offer for which a peer is told. One that refuses uploads because of a report offers
/// none; when its last report has expired, it offers one again.
const INTEREST_TIME: Duration = Duration::from_secs(2);

struct ToldPeer {
    offered_at: Duration,
    told: ReceiveLoad,
    told_at: Duration,
}

/// The peers that offer bodies to this VM, by their connections, and what each was told last.
#[derive(Default)]
pub struct LoadReports {
    peers: HashMap<LinkId, ToldPeer>,
}

impl LoadReports {
    /// Records that a body was offered on a connection, and whether it was refused: `load` shows then that
    /// what the peer was told is wrong. Returns whether to tell `load` on the connection now.
    pub fn on_offer(
        &mut self,
        link: LinkId,
        is_refused: bool,
        load: &ReceiveLoad,
        now: Duration,
    ) -> bool {
        let peer = self.peers.entry(link).or_insert_with(|| ToldPeer {
            offered_at: now,
            told: ReceiveLoad::default(),
            told_at: now,
        });
        peer.offered_at = now;
        peer.tell(is_refused, load, now)
    }

    /// Returns the connections on which to tell `load` now. Forgets those without recent offers.
    pub fn take_due(&mut self, load: &ReceiveLoad, now: Duration) -> Vec<LinkId> {
        self.peers
            .retain(|_, peer| now < peer.offered_at + INTEREST_TIME);
        let mut due = Vec::new();
        for (link, peer) in &mut self.peers {
            if peer.tell(false, load, now) {
                due.push(*link);
            }
        }
        due
    }

    /// Returns whether a connection is remembered.
    #[must_use]
    pub fn has(&self, link: LinkId) -> bool {
        self.peers.contains_key(&link)
    }
}

impl ToldPeer {
    fn tell(&mut self, is_wrong: bool, load: &ReceiveLoad, now: Duration) -> bool {
        let age = now.saturating_sub(self.told_at);
        if !is_wrong && !load.differs(&self.told, age) {
            return false;
        }
        self.told = load.clone();
        self.told_at = now;
        true
    }
}
