//! Liveness checks of links, and comparisons with other daemons over them.

use std::rc::Rc;
use std::time::Duration;

use super::MemberDirectory;
use super::zones;
use crate::sidecar::peer_link::PeerLink;

/// Every nth comparison of member tables goes to another zone.
const OTHER_ZONE_TURNS: u64 = 4;

impl MemberDirectory {
    /// Checks the liveness of all links and forgets daemons that are gone.
    pub fn check_links(&self, now: Duration) {
        for id in self.links.check(now) {
            self.forget(&id);
        }
    }

    /// Returns the link over which to compare member tables in this turn. Turns rotate over the
    /// links of the own zone; on a relay, some turns go to the relays of other zones.
    #[must_use]
    pub fn comparison_link(&self, turn: u64) -> Option<Rc<PeerLink>> {
        let own = self.own.borrow();
        let table = self.table.borrow();
        let order = self.zone_order(&own.zone);
        let is_other_zone = order.is_relay(&own.id) && turn.is_multiple_of(OTHER_ZONE_TURNS);
        let (ids, turn) = match is_other_zone {
            true => {
                let others = table.iter().filter(|record| record.zone != own.zone);
                (self.relays_of(zones(others)), turn / OTHER_ZONE_TURNS)
            }
            false => (order.members(), turn),
        };
        let mut links: Vec<Rc<PeerLink>> = ids.iter().filter_map(|id| self.link(id)).collect();
        let index = usize::try_from(turn).ok()?.checked_rem(links.len())?;
        Some(links.swap_remove(index))
    }
}
