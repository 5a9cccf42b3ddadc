//! The daemons of the deployment, the links to them and the spread of news.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use log::info;
use serde_json::json;

use crate::ids::Generation;
use crate::ids::MemberId;
use crate::ids::RegionName;
use crate::ids::ServiceName;
use crate::logging::MEMBERS;
use crate::sidecar::frame::PeerFrame;
use crate::sidecar::member_table::MemberRecord;
use crate::sidecar::member_table::MemberTable;
use crate::sidecar::member_table::StoreReach;
use crate::sidecar::peer_link::LinkState;
use crate::sidecar::peer_link::PeerLink;

/// Daemons of a region that carry news between regions; the second one covers for the first.
const RELAYS: usize = 2;

/// Daemons that watch the store for the others; the second one covers for the first.
const WATCHERS: usize = 2;

/// Turns of which one compares tables with another region.
const FAR_TURNS: u64 = 4;

/// Most links of a daemon: its own service and those it calls, some 8 daemons each, seven deep.
const MAX_LINKS: usize = 96;

/// Time for which a daemon that cannot be reached is remembered.
const FORGET_TIME: Duration = Duration::from_secs(60);

/// Pause before another try to reach a daemon.
const DIAL_PAUSE: Duration = Duration::from_millis(400);

struct LinkSlot {
    link: Option<Rc<PeerLink>>,
    address: SocketAddr,
    is_dialing: bool,
    dial_at: Duration,
    lost_at: Option<Duration>,
}

/// Daemons with a newer configuration, and its version.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ConfigHolders {
    /// One of the own region.
    pub near: Option<(MemberId, Generation)>,
    /// One of another region.
    pub far: Option<(MemberId, Generation)>,
}

/// Daemons, links and news.
pub struct MemberDesk {
    table: RefCell<MemberTable>,
    own: RefCell<MemberRecord>,
    links: RefCell<BTreeMap<MemberId, LinkSlot>>,
    /// Silent links whose calls are still waited for.
    retired: RefCell<Vec<Rc<PeerLink>>>,
    changed: RefCell<HashSet<MemberId>>,
    /// Versions of the configuration that others told of.
    configs: RefCell<HashMap<MemberId, Generation>>,
}

impl MemberDesk {
    /// Makes the desk of a daemon that knows only itself.
    #[must_use]
    pub fn new(own: MemberRecord) -> MemberDesk {
        let mut table = MemberTable::default();
        table.merge(&own);
        MemberDesk {
            table: RefCell::new(table),
            own: RefCell::new(own),
            links: RefCell::default(),
            retired: RefCell::default(),
            changed: RefCell::default(),
            configs: RefCell::default(),
        }
    }

    /// Returns the own record.
    #[must_use]
    pub fn own(&self) -> MemberRecord {
        self.own.borrow().clone()
    }

    /// Changes the own record; it is news if anything changed.
    pub fn change_own(&self, change: impl FnOnce(&mut MemberRecord)) -> bool {
        let mut own = self.own.borrow_mut();
        let before = own.clone();
        change(&mut own);
        if *own == before {
            return false;
        }
        own.counter += 1;
        self.table.borrow_mut().merge(&own);
        self.changed.borrow_mut().insert(own.id.clone());
        true
    }

    /// Reads the table.
    pub fn read<T>(&self, read: impl FnOnce(&MemberTable) -> T) -> T {
        read(&self.table.borrow())
    }

    /// Takes records; those that are news are spread further.
    pub fn merge(&self, records: &[MemberRecord]) -> Vec<MemberRecord> {
        let own = self.own.borrow().id.clone();
        let mut news = Vec::new();
        for record in records {
            if record.id == own {
                continue;
            }
            if self.table.borrow_mut().merge(record) {
                self.changed.borrow_mut().insert(record.id.clone());
                self.note_address(record);
                news.push(record.clone());
            }
        }
        news
    }

    /// Notes which configuration is in force on another daemon.
    pub fn note_config(&self, id: MemberId, version: Generation) {
        self.configs.borrow_mut().insert(id, version);
    }

    /// Returns the daemon with the newest configuration above `held` in the own region, and that in
    /// the others, of those that can be reached.
    #[must_use]
    pub fn config_holders(&self, held: Generation) -> ConfigHolders {
        let mut holders = ConfigHolders::default();
        for (id, version) in self.configs.borrow().iter() {
            if *version <= held || !self.is_reachable(id) {
                continue;
            }
            let newest = match self.is_near(id) {
                true => &mut holders.near,
                false => &mut holders.far,
            };
            if newest.as_ref().is_none_or(|(_, known)| known < version) {
                *newest = Some((id.clone(), *version));
            }
        }
        holders
    }

    /// Sends a frame to the daemons that bring a new configuration further: those that carry news
    /// between regions and, from one of them, all others of its region.
    pub fn send_config_news(&self, frame: &PeerFrame) {
        let own = self.own.borrow();
        let table = self.table.borrow();
        let mut targets = self.relays(&own.region);
        for region in self.other_regions(&own, &table) {
            targets.extend(self.relays(&region));
        }
        if targets.contains(&own.id) {
            for record in table.iter().filter(|record| record.region == own.region) {
                targets.push(record.id.clone());
            }
        }
        targets.sort_unstable();
        targets.dedup();
        for link in targets.iter().filter_map(|id| self.link(id)) {
            link.send(frame.clone());
        }
    }

    /// Returns the open link to a daemon.
    #[must_use]
    pub fn link(&self, id: &MemberId) -> Option<Rc<PeerLink>> {
        let links = self.links.borrow();
        let link = links.get(id)?.link.as_ref()?;
        (link.state() == LinkState::Open).then(|| Rc::clone(link))
    }

    /// Returns whether a daemon can be reached now.
    #[must_use]
    pub fn is_reachable(&self, id: &MemberId) -> bool {
        let links = self.links.borrow();
        let link = links.get(id).and_then(|slot| slot.link.as_ref());
        link.is_some_and(|link| link.state() == LinkState::Open)
    }

    /// Returns whether a daemon stands in the own region.
    #[must_use]
    pub fn is_near(&self, id: &MemberId) -> bool {
        let table = self.table.borrow();
        let region = table.get(id).map(|record| &record.region);
        region == Some(&self.own.borrow().region)
    }

    /// Returns whether any daemon can be reached now.
    #[must_use]
    pub fn reaches_any(&self) -> bool {
        let links = self.links.borrow();
        links.keys().any(|id| self.is_reachable(id))
    }

    /// Counts the daemons that can be reached, the own one included.
    #[must_use]
    pub fn live_count(&self) -> usize {
        let links = self.links.borrow();
        1 + links.keys().filter(|id| self.is_reachable(id)).count()
    }

    /// Returns whether this daemon is among those that watch the store for the others.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        self.is_among_nearest(WATCHERS)
    }

    /// Returns whether this daemon acts on the moves of traffic.
    #[must_use]
    pub fn is_acting(&self) -> bool {
        self.is_among_nearest(1)
    }

    fn is_among_nearest(&self, count: usize) -> bool {
        let own = self.own.borrow();
        !own.is_leaving && self.nearest(count).contains(&own.id)
    }

    /// Returns the daemons that judge moves of traffic: those that watch the store.
    #[must_use]
    pub fn judges(&self) -> Vec<MemberId> {
        self.nearest(WATCHERS)
    }

    fn nearest(&self, count: usize) -> Vec<MemberId> {
        let own = self.own.borrow();
        let table = self.table.borrow();
        table.watchers(&own.id, count, |record| self.is_reachable(&record.id))
    }

    /// Returns whether another daemon that can be reached watches the store.
    #[must_use]
    pub fn has_other_store_access(&self) -> bool {
        let table = self.table.borrow();
        let own = self.own.borrow();
        let mut others = table.iter().filter(|record| record.id != own.id);
        others.any(|record| {
            matches!(record.store, StoreReach::Within(_)) && self.is_reachable(&record.id)
        })
    }

    /// Returns whether this daemon carries news between its region and others.
    #[must_use]
    pub fn is_relay(&self) -> bool {
        let own = self.own.borrow();
        let relays = self.relays(&own.region);
        relays.iter().any(|id| *id == own.id)
    }

    /// Returns the daemons that are to be linked and are not; each is marked as being dialed.
    ///
    /// Daemons beside endpoints of the services in `called` come first, then the nearer ones.
    pub fn take_dials(
        &self,
        called: &HashSet<ServiceName>,
        now: Duration,
    ) -> Vec<(MemberId, SocketAddr)> {
        let table = self.table.borrow();
        let own = self.own.borrow();
        let mut links = self.links.borrow_mut();
        let mut wanted: Vec<&MemberRecord> = table.iter().filter(|r| r.id != own.id).collect();
        wanted.sort_by_key(|record| {
            let endpoint = record.endpoint.as_ref();
            let is_called = endpoint.is_some_and(|endpoint| called.contains(&endpoint.service));
            (
                !is_called,
                record.region != own.region,
                record.zone != own.zone,
            )
        });
        wanted.truncate(MAX_LINKS);
        let mut dials = Vec::new();
        for record in wanted {
            let slot = links
                .entry(record.id.clone())
                .or_insert_with(|| LinkSlot::new(record.address));
            let is_open = slot.link.as_ref().map(|link| link.state()) == Some(LinkState::Open);
            if is_open || slot.is_dialing || now < slot.dial_at {
                continue;
            }
            slot.is_dialing = true;
            slot.address = record.address;
            dials.push((record.id.clone(), record.address));
        }
        dials
    }

    /// Takes a new link, or the failure to make one.
    pub fn on_dialed(&self, id: &MemberId, link: Option<Rc<PeerLink>>, now: Duration) {
        let mut links = self.links.borrow_mut();
        let Some(slot) = links.get_mut(id) else {
            return;
        };
        slot.is_dialing = false;
        slot.dial_at = now + DIAL_PAUSE;
        let Some(link) = link else {
            slot.lost_at.get_or_insert(now);
            return;
        };
        slot.lost_at = None;
        if let Some(old) = slot.link.replace(link)
            && old.is_busy()
        {
            self.retired.borrow_mut().push(old);
        }
        let what = json!({"name": "peer_reached", "peer": id});
        info!(target: MEMBERS, "{what}");
    }

    /// Notes that a link ended.
    pub fn on_link_end(&self, id: &MemberId, now: Duration) {
        let mut links = self.links.borrow_mut();
        let Some(slot) = links.get_mut(id) else {
            return;
        };
        let state = slot.link.as_ref().map(|link| link.state());
        if state == Some(LinkState::Open) {
            return;
        }
        slot.lost_at.get_or_insert(now);
        let what = json!({"name": "peer_lost", "peer": id});
        info!(target: MEMBERS, "{what}");
    }

    /// Asks silent links for a sign of life, and forgets daemons that are gone for long.
    pub fn check_links(&self, now: Duration) {
        let mut gone = Vec::new();
        for (id, slot) in self.links.borrow().iter() {
            if slot.link.as_ref().is_some_and(|link| link.check(now)) {
                let what = json!({"name": "peer_silent", "peer": id});
                info!(target: MEMBERS, "{what}");
            }
            if slot.lost_at.is_some_and(|at| now >= at + FORGET_TIME) {
                gone.push(id.clone());
            }
        }
        for id in gone {
            self.forget(&id);
        }
        let is_needed = |link: &Rc<PeerLink>| link.is_busy() && link.state() != LinkState::Closed;
        self.retired.borrow_mut().retain(is_needed);
    }

    /// Forgets a daemon that is gone.
    pub fn forget(&self, id: &MemberId) {
        self.links.borrow_mut().remove(id);
        self.table.borrow_mut().remove(id);
        self.configs.borrow_mut().remove(id);
    }

    /// Sends what changed since the last time: within the region to all, to other regions through
    /// their relays, and what came from another region only within the own one.
    pub fn send_news(&self) {
        let changed = std::mem::take(&mut *self.changed.borrow_mut());
        if changed.is_empty() {
            return;
        }
        let own = self.own.borrow();
        let table = self.table.borrow();
        let mut messages: HashMap<MemberId, Vec<MemberRecord>> = HashMap::new();
        for record in changed.iter().filter_map(|id| table.get(id)) {
            for target in self.news_targets(record, &own, &table) {
                messages.entry(target).or_default().push(record.clone());
            }
        }
        for (id, records) in messages {
            let Some(link) = self.link(&id) else {
                continue;
            };
            link.send(PeerFrame::Members(records));
        }
    }

    /// Returns the daemons to which `record` is to be sent on.
    fn news_targets(
        &self,
        record: &MemberRecord,
        own: &MemberRecord,
        table: &MemberTable,
    ) -> Vec<MemberId> {
        let mut targets = Vec::new();
        let is_own = record.id == own.id;
        // Members of the record's region have it from its owner.
        if is_own || record.region != own.region {
            for other in table.iter().filter(|other| other.region == own.region) {
                targets.push(other.id.clone());
            }
        }
        if is_own {
            for region in self.other_regions(own, table) {
                targets.extend(self.relays(&region));
            }
        }
        targets.retain(|id| *id != own.id && *id != record.id && self.is_reachable(id));
        targets
    }

    fn other_regions(&self, own: &MemberRecord, table: &MemberTable) -> Vec<RegionName> {
        let mut regions: Vec<RegionName> = Vec::new();
        for record in table.iter() {
            if record.region != own.region && !regions.contains(&record.region) {
                regions.push(record.region.clone());
            }
        }
        regions
    }

    /// Returns the first daemons of a region that can be reached.
    fn relays(&self, region: &RegionName) -> Vec<MemberId> {
        let own = self.own.borrow();
        let table = self.table.borrow();
        let mut relays = Vec::new();
        for record in table.iter().filter(|record| record.region == *region) {
            if record.id == own.id || self.is_reachable(&record.id) {
                relays.push(record.id.clone());
            }
        }
        relays.truncate(RELAYS);
        relays
    }

    /// Returns all records, for a daemon whose table differs.
    #[must_use]
    pub fn all_records(&self) -> Vec<MemberRecord> {
        self.table.borrow().iter().cloned().collect()
    }

    /// Returns a link, another one each turn: in the own region, and now and then, from a relay,
    /// to another region.
    #[must_use]
    pub fn link_in_turn(&self, turn: u64) -> Option<Rc<PeerLink>> {
        let goes_far = self.is_relay() && turn.is_multiple_of(FAR_TURNS);
        let own = self.own.borrow();
        let table = self.table.borrow();
        let mut links = Vec::new();
        for record in table.iter() {
            if (record.region == own.region) != goes_far {
                links.extend(self.link(&record.id));
            }
        }
        let index = usize::try_from(turn).ok()?.checked_rem(links.len())?;
        Some(links.swap_remove(index))
    }

    fn note_address(&self, record: &MemberRecord) {
        let mut links = self.links.borrow_mut();
        let Some(slot) = links.get_mut(&record.id) else {
            return;
        };
        if slot.address != record.address {
            *slot = LinkSlot::new(record.address);
        }
        slot.dial_at = Duration::ZERO;
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
        }
    }
}
