//! Links to other daemons, and when to dial, redial and drop them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use log::info;
use serde_json::json;

use crate::ids::MemberId;
use crate::logging::MEMBERS;
use crate::sidecar::member_table::MemberRecord;
use crate::sidecar::peer_link::LinkState;
use crate::sidecar::peer_link::PeerLink;

/// Time for which an idle link is kept after it was last wanted, as requests come in bursts.
const IDLE_LINK_TIME: Duration = Duration::from_secs(20);

/// Time after which an unreachable daemon may be gone. Only its row in the store tells.
const GONE_TIME: Duration = Duration::from_secs(60);

/// Pause between two attempts to dial a daemon.
const DIAL_PAUSE: Duration = Duration::from_millis(400);

/// Time for which an unreachable daemon is dialed at the short pause. Covers network partitions and
/// restarts of a few seconds.
const SHORT_PAUSE_TIME: Duration = Duration::from_secs(15);

/// Shortest pause between two attempts to dial a daemon that has been unreachable for longer. A
/// daemon that recovers dials the others itself.
const LONG_DIAL_PAUSE: Duration = Duration::from_secs(2);

/// Longest pause between two attempts to dial an unreachable daemon.
const MAX_DIAL_PAUSE: Duration = Duration::from_secs(60);

/// Part of the time for which a daemon has been unreachable that is the pause between two attempts to
/// dial it: 5 s after 10 minutes.
const DIAL_PAUSE_DIVISOR: u32 = 120;

struct LinkSlot {
    link: Option<Rc<PeerLink>>,
    address: SocketAddr,
    is_dialing: bool,
    dial_at: Duration,
    lost_at: Option<Duration>,
    wanted_at: Duration,
}

/// Links to other daemons.
#[derive(Default)]
pub struct LinkTable {
    slots: RefCell<BTreeMap<MemberId, LinkSlot>>,
    /// Replaced links with calls in progress.
    retired: RefCell<Vec<Rc<PeerLink>>>,
}

impl LinkTable {
    /// Returns the open link to a daemon.
    #[must_use]
    pub fn open(&self, id: &MemberId) -> Option<Rc<PeerLink>> {
        let slots = self.slots.borrow();
        let link = slots.get(id)?.link.as_ref()?;
        (link.state() == LinkState::Open).then(|| Rc::clone(link))
    }

    /// Returns whether the link to a daemon is open.
    #[must_use]
    pub fn is_open(&self, id: &MemberId) -> bool {
        self.slots.borrow().get(id).is_some_and(LinkSlot::is_open)
    }

    /// Returns whether a daemon is not known to be unreachable: its link is open, or has not failed
    /// yet.
    #[must_use]
    pub fn is_presumed_live(&self, id: &MemberId) -> bool {
        let slots = self.slots.borrow();
        slots
            .get(id)
            .is_none_or(|slot| slot.is_open() || (slot.link.is_none() && slot.lost_at.is_none()))
    }

    /// Returns the number of open links.
    #[must_use]
    pub fn count_open(&self) -> usize {
        let slots = self.slots.borrow();
        slots.values().filter(|slot| slot.is_open()).count()
    }

    /// Returns the members of `wanted` to dial now, and marks them as being dialed. Closes idle
    /// links that have not been wanted recently.
    pub fn take_dials(
        &self,
        wanted: &[&MemberRecord],
        now: Duration,
    ) -> Vec<(MemberId, SocketAddr)> {
        let mut slots = self.slots.borrow_mut();
        let mut dials = Vec::new();
        for record in wanted {
            let slot = slots
                .entry(record.id.clone())
                .or_insert_with(|| LinkSlot::new(record.address));
            slot.wanted_at = now;
            if slot.is_open() || slot.is_dialing || now < slot.dial_at {
                continue;
            }
            slot.is_dialing = true;
            slot.address = record.address;
            dials.push((record.id.clone(), record.address));
        }
        slots.retain(|_, slot| !slot.is_unwanted(now));
        dials
    }

    /// Records the result of dialing a daemon; `None` for `link` means that it failed.
    pub fn on_dialed(&self, id: &MemberId, link: Option<Rc<PeerLink>>, now: Duration) {
        let mut slots = self.slots.borrow_mut();
        let Some(slot) = slots.get_mut(id) else {
            return;
        };
        slot.is_dialing = false;
        slot.dial_at = now + DIAL_PAUSE;
        let Some(link) = link else {
            let lost_at = *slot.lost_at.get_or_insert(now);
            if now >= lost_at + SHORT_PAUSE_TIME {
                let pause = (now - lost_at) / DIAL_PAUSE_DIVISOR;
                slot.dial_at = now + pause.clamp(LONG_DIAL_PAUSE, MAX_DIAL_PAUSE);
            }
            return;
        };
        slot.lost_at = None;
        if let Some(old) = slot.link.replace(link)
            && old.is_busy()
        {
            self.retired.borrow_mut().push(old);
        }
        let event = json!({"name": "peer_reached", "peer": id});
        info!(target: MEMBERS, "{event}");
    }

    /// Records that the link to a daemon ended.
    pub fn on_end(&self, id: &MemberId, now: Duration) {
        let mut slots = self.slots.borrow_mut();
        let Some(slot) = slots.get_mut(id) else {
            return;
        };
        if slot.is_open() {
            return;
        }
        slot.lost_at.get_or_insert(now);
        let event = json!({"name": "peer_lost", "peer": id});
        info!(target: MEMBERS, "{event}");
    }

    /// Checks the liveness of all links. `idle_ping_time` returns how long an idle link to a daemon may
    /// be without received frames before it is pinged.
    pub fn check(&self, now: Duration, idle_ping_time: impl Fn(&MemberId) -> Duration) {
        for (id, slot) in self.slots.borrow().iter() {
            if slot
                .link
                .as_ref()
                .is_some_and(|link| link.check(now, idle_ping_time(id)))
            {
                let event = json!({"name": "peer_silent", "peer": id});
                info!(target: MEMBERS, "{event}");
            }
        }
        let is_needed = |link: &Rc<PeerLink>| link.is_busy() && link.state() != LinkState::Closed;
        self.retired.borrow_mut().retain(is_needed);
    }

    /// Returns the daemons that have been unreachable for so long that they may be gone.
    #[must_use]
    pub fn maybe_gone(&self, now: Duration) -> Vec<MemberId> {
        let slots = self.slots.borrow();
        let lost = slots.iter().filter(|(_, slot)| slot.may_be_gone(now));
        lost.map(|(id, _)| id.clone()).collect()
    }

    /// Updates the address of a daemon after a new record of it, and allows dialing it at once. A
    /// changed address means that the daemon was restarted, so its old link is dropped.
    pub fn update_address(&self, id: &MemberId, address: SocketAddr) {
        let mut slots = self.slots.borrow_mut();
        let Some(slot) = slots.get_mut(id) else {
            return;
        };
        if slot.address != address {
            *slot = LinkSlot::new(address);
        }
        slot.dial_at = Duration::ZERO;
    }

    /// Drops the link to a daemon.
    pub fn remove(&self, id: &MemberId) {
        self.slots.borrow_mut().remove(id);
    }
}

impl LinkSlot {
    fn new(address: SocketAddr) -> LinkSlot {
        LinkSlot {
            link: None,
            address,
            is_dialing: false,
            dial_at: Duration::ZERO,
            lost_at: None,
            wanted_at: Duration::ZERO,
        }
    }

    fn may_be_gone(&self, now: Duration) -> bool {
        self.lost_at.is_some_and(|at| now >= at + GONE_TIME)
    }

    fn is_unwanted(&self, now: Duration) -> bool {
        let is_busy = self.link.as_ref().is_some_and(|link| link.is_busy());
        now >= self.wanted_at + IDLE_LINK_TIME && !is_busy && !self.is_dialing
    }

    fn is_open(&self) -> bool {
        let link = self.link.as_ref();
        link.is_some_and(|link| link.state() == LinkState::Open)
    }
}
