//! Liveness checks of links, and comparisons with other daemons over them.

use std::cmp::Reverse;
use std::hash::Hasher;
use std::rc::Rc;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64;

use super::MemberDirectory;
use super::STORE_WATCHERS;
use super::zones;
use crate::ids::MemberId;
use crate::sidecar::member_table::MemberRecord;
use crate::sidecar::member_table::StoreReach;
use crate::sidecar::peer_link::PeerLink;

/// Number of daemons that are next to watch the store and notice soon when the watchers fail. That
/// these all stand still at a time is left to the other ways.
const STANDBY_WATCHERS: usize = 4;

/// Time without received frames after which a standby watcher pings a store watcher. With the time
/// limit of the response and a read of the store, a change is in force within 2.5 s.
const STANDBY_PING_TIME: Duration = Duration::from_millis(300);

/// Time without received frames after which an idle link to a relay is pinged. A relay of 90 daemons
/// answers as many pings a second.
const RELAY_PING_TIME: Duration = Duration::from_secs(1);

/// Time without received frames after which any other idle link is pinged.
const IDLE_PING_TIME: Duration = Duration::from_secs(3);

/// Number of candidates that are asked for tokens: those that may take a slot, and some that hold one
/// although other daemons have joined or returned before them in the order.
const MAX_LIMIT_CANDIDATES: usize = 6;

/// Every nth comparison of configuration generations stays in the own zone.
const OWN_ZONE_TURNS: u64 = 3;

/// Every nth comparison of member tables goes to another zone.
const OTHER_ZONE_TURNS: u64 = 4;

impl MemberDirectory {
    /// Checks the liveness of all links.
    pub fn check_links(&self, now: Duration) {
        let watched = self.watched_closely();
        let relays = self.watched_relays();
        let idle_ping_time = |id: &MemberId| match () {
            () if watched.contains(id) => STANDBY_PING_TIME,
            () if relays.contains(id) => RELAY_PING_TIME,
            () => IDLE_PING_TIME,
        };
        self.links.check(now, idle_ping_time);
    }

    /// Returns whether any daemon has been unreachable for so long that it may be gone.
    #[must_use]
    pub fn has_maybe_gone(&self, now: Duration) -> bool {
        !self.links.maybe_gone(now).is_empty()
    }

    /// Forgets the daemons that have been unreachable for long and have no row in the store. A row
    /// stands until its daemon ends as planned, so those with one are dialed on: they may have been
    /// cut off.
    pub fn forget_gone(&self, rows: &[MemberRecord], now: Duration) {
        for id in self.links.maybe_gone(now) {
            if !rows.iter().any(|row| row.id == id) {
                self.forget(&id);
            }
        }
    }

    /// Returns the store watchers if this daemon is one of those that replace them. The others learn
    /// of their failure in time from what these do.
    fn watched_closely(&self) -> Vec<MemberId> {
        match self.is_among_nearest(STORE_WATCHERS + STANDBY_WATCHERS) {
            true => self.nearest(STORE_WATCHERS),
            false => Vec::new(),
        }
    }

    /// Returns the relays on which this daemon depends: those of its zone and, if it is one, those of
    /// other zones.
    fn watched_relays(&self) -> Vec<MemberId> {
        let own = self.own.borrow();
        let order = self.zone_order(&own.zone);
        match order.is_relay(&own.id) {
            true => self.relays_of(zones(self.table.borrow().iter())),
            false => order.relays().to_vec(),
        }
    }

    /// Returns whether this daemon is a relay of its zone.
    #[must_use]
    pub fn is_relay(&self) -> bool {
        let own = self.own.borrow();
        self.zone_order(&own.zone).is_relay(&own.id)
    }

    /// Returns the daemons to ask when the configuration was known to be the newest one, in order: on
    /// a relay the store watchers and then the relays of all zones, otherwise the relays of the own
    /// zone and then the store watchers. Half of a zone begins with its second relay.
    #[must_use]
    pub fn freshness_sources(&self) -> Vec<MemberId> {
        let own = self.own.borrow();
        let order = self.zone_order(&own.zone);
        let watchers = self.nearest(STORE_WATCHERS);
        let mut sources = match order.is_relay(&own.id) || watchers.contains(&own.id) {
            true => {
                let mut sources = watchers;
                sources.extend(self.relays_of(zones(self.table.borrow().iter())));
                sources
            }
            false => {
                let mut sources = order.relays().to_vec();
                if xxh3_64(own.id.as_bytes()).is_multiple_of(2) {
                    sources.reverse();
                }
                sources.extend(watchers);
                sources
            }
        };
        sources.retain(|id| *id != own.id);
        sources
    }

    /// Sets whether the daemons that may lend tokens are linked.
    pub fn link_limit_holders(&self, is_wanted: bool) {
        self.links_limit_holders.set(is_wanted);
    }

    /// Returns the first daemons of the region, those on larger VMs first, that may lend tokens. All
    /// daemons of the region compute the same order from their member tables.
    #[must_use]
    pub fn limit_candidates(&self) -> Vec<MemberId> {
        let own = self.own.borrow();
        let table = self.table.borrow();
        let mut ranked = Vec::new();
        for record in table.iter().filter(|record| record.region == own.region) {
            let is_live = record.id == own.id || self.is_presumed_live(&record.id);
            if is_live && !record.is_leaving && record.store != StoreReach::Lost {
                ranked.push((Reverse(record.size), &record.id));
            }
        }
        ranked.sort_unstable();
        ranked.truncate(MAX_LIMIT_CANDIDATES);
        ranked.into_iter().map(|(_, id)| id.clone()).collect()
    }

    /// Returns the daemons to ask for tokens: the candidates, and after them those that were candidates
    /// until recently, as they may still lend. `now` is the time since the start of this daemon.
    pub fn limit_holders(&self, now: Duration) -> Vec<MemberId> {
        let present = self.limit_candidates();
        self.limit_order.borrow_mut().update(present, now)
    }

    /// Returns the open links to the relays of other zones.
    #[must_use]
    pub fn other_zone_links(&self) -> Vec<Rc<PeerLink>> {
        let own = self.own.borrow();
        let table = self.table.borrow();
        let others = table.iter().filter(|record| record.zone != own.zone);
        let relays = self.relays_of(zones(others));
        relays.iter().filter_map(|id| self.link(id)).collect()
    }

    /// Returns the link over which to compare the generation of the configuration in this turn, so
    /// that no daemon depends on notices. Each turn picks another daemon, most of them in other zones:
    /// what keeps a configuration from one daemon of a zone may keep it from all.
    #[must_use]
    pub fn version_check_link(&self, turn: u64) -> Option<Rc<PeerLink>> {
        let own = self.own.borrow();
        let is_own_zone = turn.is_multiple_of(OWN_ZONE_TURNS);
        let mut links = Vec::new();
        for record in self.table.borrow().iter() {
            if (record.zone == own.zone) == is_own_zone {
                links.extend(self.link(&record.id));
            }
        }
        let mut hasher = Xxh3::new();
        hasher.write(own.id.as_bytes());
        hasher.write_u64(turn);
        let index = hasher.finish().checked_rem(links.len() as u64)?;
        Some(links.swap_remove(usize::try_from(index).ok()?))
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
