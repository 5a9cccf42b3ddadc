//! The daemons of the deployment, the links to them and the spread of news.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::ids::Generation;
use crate::ids::MemberId;
use crate::ids::ServiceName;
use crate::ids::ZoneName;
use crate::sidecar::frame::PeerFrame;
use crate::sidecar::link_table::LinkTable;
use crate::sidecar::member_table::MemberRecord;
use crate::sidecar::member_table::MemberTable;
use crate::sidecar::member_table::StoreReach;
use crate::sidecar::peer_link::PeerLink;
use crate::sidecar::zone_order::FetchScope;
use crate::sidecar::zone_order::ZoneOrder;

/// Daemons that watch the store for the others; the second one covers for the first.
const WATCHERS: usize = 2;

/// Turns of which one compares tables with another zone.
const FAR_TURNS: u64 = 4;

/// Most links of a daemon in its region: its own service and those it calls, some 8 daemons each,
/// seven deep.
const MAX_NEAR_LINKS: usize = 96;

/// Time for which links to the endpoints of other regions are kept after the own region was full.
const FAR_TIME: Duration = Duration::from_secs(10);

/// Pause between two comparisons of tables with daemons just reached.
const COMPARE_PAUSE: Duration = Duration::from_millis(200);

/// Which daemons are to be linked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkScope {
    /// Those that requests and news go to.
    Needed,
    /// All, so that each can be heard.
    All,
}

/// Daemons with a newer configuration, and its version.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ConfigHolders {
    /// The one that hands configurations to this daemon.
    pub parent: Option<(MemberId, Generation)>,
    /// One of the own zone.
    pub same_zone: Option<(MemberId, Generation)>,
    /// One of another zone.
    pub other_zone: Option<(MemberId, Generation)>,
}

/// Daemons, links and news.
pub struct MemberDirectory {
    table: RefCell<MemberTable>,
    own: RefCell<MemberRecord>,
    links: LinkTable,
    changed: RefCell<HashSet<MemberId>>,
    /// Versions of the configuration that others told of.
    configs: RefCell<HashMap<MemberId, Generation>>,
    /// When tables were last compared with a daemon just reached.
    compared: Cell<Duration>,
    /// Until when endpoints of other regions are needed.
    far_until: Cell<Duration>,
}

impl MemberDirectory {
    /// Makes the desk of a daemon that knows only itself.
    #[must_use]
    pub fn new(own: MemberRecord) -> MemberDirectory {
        let mut table = MemberTable::default();
        table.merge(&own);
        MemberDirectory {
            table: RefCell::new(table),
            own: RefCell::new(own),
            links: LinkTable::default(),
            changed: RefCell::default(),
            configs: RefCell::default(),
            compared: Cell::default(),
            far_until: Cell::default(),
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
                self.links.note_address(&record.id, record.address);
                news.push(record.clone());
            }
        }
        news
    }

    /// Notes which configuration is in force on another daemon.
    pub fn record_config_version(&self, id: MemberId, version: Generation) {
        self.configs.borrow_mut().insert(id, version);
    }

    /// Returns the daemons with the newest configuration above `held`, of those that can be reached.
    #[must_use]
    pub fn config_holders(&self, held: Generation) -> ConfigHolders {
        let mut holders = ConfigHolders::default();
        let own = self.own.borrow();
        let order = self.zone_order(&own.zone);
        let parent = order.parent(&own.id);
        for (id, version) in self.configs.borrow().iter() {
            if *version <= held || !self.is_reachable(id) {
                continue;
            }
            if Some(id) == parent {
                holders.parent = Some((id.clone(), *version));
            }
            let newest = match self.is_in_own_zone(id) {
                true => &mut holders.same_zone,
                false => &mut holders.other_zone,
            };
            if newest.as_ref().is_none_or(|(_, known)| known < version) {
                *newest = Some((id.clone(), *version));
            }
        }
        holders
    }

    /// Returns whom this daemon may ask for a configuration that it has been missing for `waited`.
    #[must_use]
    pub fn fetch_scope(&self, waited: Duration) -> FetchScope {
        let own = self.own.borrow();
        self.zone_order(&own.zone).fetch_scope(&own.id, waited)
    }

    /// Sends a frame to the daemons that bring a new configuration further: the heads of all zones
    /// when this daemon is a head or watches the store, the own zone when it is its head, and those
    /// to which it hands configurations.
    pub fn send_config_notice(&self, frame: &PeerFrame) {
        let own = self.own.borrow();
        let table = self.table.borrow();
        let order = self.zone_order(&own.zone);
        let mut targets = order.children(&own.id).to_vec();
        let is_relay = order.is_relay(&own.id);
        if is_relay || self.is_watcher() {
            targets.extend(self.relays_of(zones(table.iter())));
        }
        if is_relay {
            for record in table.iter().filter(|record| record.zone == own.zone) {
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
        self.links.open(id)
    }

    /// Returns whether a daemon can be reached now.
    #[must_use]
    pub fn is_reachable(&self, id: &MemberId) -> bool {
        self.links.is_open(id)
    }

    /// Returns whether a daemon stands in the own zone.
    #[must_use]
    pub fn is_in_own_zone(&self, id: &MemberId) -> bool {
        let table = self.table.borrow();
        let zone = table.get(id).map(|record| &record.zone);
        zone == Some(&self.own.borrow().zone)
    }

    /// Returns whether any daemon can be reached now.
    #[must_use]
    pub fn has_open_link(&self) -> bool {
        self.links.count_open() > 0
    }

    /// Counts the daemons that can be reached, the own one included.
    #[must_use]
    pub fn live_count(&self) -> usize {
        1 + self.links.count_open()
    }

    /// Returns whether any other daemon is known.
    #[must_use]
    pub fn has_known_members(&self) -> bool {
        let own = self.own.borrow();
        self.table.borrow().iter().any(|record| record.id != own.id)
    }

    /// Counts the daemons that share what is allowed to all, the own one included.
    #[must_use]
    pub fn known_count(&self) -> usize {
        let table = self.table.borrow();
        table.iter().filter(|record| !record.is_leaving).count()
    }

    /// Notes that the endpoints of the own region are full or out of reach.
    pub fn link_other_regions(&self, now: Duration) {
        self.far_until.set(now + FAR_TIME);
    }

    /// Returns whether a daemon is not known to be out of reach, also when there is no link to it.
    #[must_use]
    pub fn is_presumed_live(&self, id: &MemberId) -> bool {
        self.links.is_presumed_live(id)
    }

    /// Returns whether this daemon is among those that watch the store for the others.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        self.is_among_nearest(WATCHERS)
    }

    /// Returns whether this daemon acts on the moves of traffic.
    #[must_use]
    pub fn is_rollout_leader(&self) -> bool {
        self.is_among_nearest(1)
    }

    fn is_among_nearest(&self, count: usize) -> bool {
        let own = self.own.borrow();
        !own.is_leaving && self.nearest(count).contains(&own.id)
    }

    /// Returns the daemons that judge moves of traffic: those that watch the store.
    #[must_use]
    pub fn rollout_evaluators(&self) -> Vec<MemberId> {
        self.nearest(WATCHERS)
    }

    fn nearest(&self, count: usize) -> Vec<MemberId> {
        let own = self.own.borrow();
        let table = self.table.borrow();
        table.watchers(&own.id, count, |record| self.is_presumed_live(&record.id))
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

    /// Returns the members of a zone in the order in which they carry things for the others.
    fn zone_order(&self, zone: &ZoneName) -> ZoneOrder {
        let own = self.own.borrow();
        let table = self.table.borrow();
        ZoneOrder::new(&table, zone, |record| {
            record.id == own.id || self.is_presumed_live(&record.id)
        })
    }

    /// Returns the daemons that speak for these zones.
    fn relays_of(&self, zones: BTreeSet<ZoneName>) -> Vec<MemberId> {
        let mut heads = Vec::new();
        for zone in zones {
            heads.extend_from_slice(self.zone_order(&zone).relays());
        }
        heads
    }

    /// Returns whether tables may be compared with a daemon just reached; many links are made at
    /// once, and one comparison tells what most of them would.
    #[must_use]
    pub fn start_comparison(&self, now: Duration) -> bool {
        let is_due = now >= self.compared.get() + COMPARE_PAUSE;
        if is_due {
            self.compared.set(now);
        }
        is_due
    }

    /// Returns the daemons that are to be linked and are not; each is marked as being dialed.
    ///
    /// In the own region these are the daemons beside endpoints of the services in `called` and then
    /// the nearer ones. In other regions they are those that carry news or watch the store, and all
    /// while endpoints there are needed or the scope is everyone.
    pub fn take_dials(
        &self,
        called: &HashSet<ServiceName>,
        scope: LinkScope,
        now: Duration,
    ) -> Vec<(MemberId, SocketAddr)> {
        let everyone = scope == LinkScope::All;
        let table = self.table.borrow();
        let own = self.own.borrow();
        let others = table.iter().filter(|record| record.id != own.id);
        let (mut wanted, far): (Vec<_>, Vec<_>) =
            others.partition(|record| record.region == own.region);
        wanted.sort_by_key(|record| {
            let endpoint = record.endpoint.as_ref();
            let is_called = endpoint.is_some_and(|endpoint| called.contains(&endpoint.service));
            (!is_called, record.zone != own.zone)
        });
        if !everyone {
            wanted.truncate(MAX_NEAR_LINKS);
        }
        let mut carriers = self.nearest(WATCHERS);
        carriers.extend(self.relays_of(zones(far.iter().copied())));
        for record in far {
            if everyone || now < self.far_until.get() || carriers.contains(&record.id) {
                wanted.push(record);
            }
        }
        self.links.take_dials(&wanted, now)
    }

    /// Takes a new link, or the failure to make one.
    pub fn on_dialed(&self, id: &MemberId, link: Option<Rc<PeerLink>>, now: Duration) {
        self.links.on_dialed(id, link, now);
    }

    /// Notes that a link ended.
    pub fn on_link_end(&self, id: &MemberId, now: Duration) {
        self.links.on_end(id, now);
    }

    /// Asks silent links for a sign of life, and forgets daemons that are gone for long.
    pub fn check_links(&self, now: Duration) {
        for id in self.links.check(now) {
            self.forget(&id);
        }
    }

    /// Forgets a daemon that is gone.
    pub fn forget(&self, id: &MemberId) {
        self.links.remove(id);
        self.table.borrow_mut().remove(id);
        self.configs.borrow_mut().remove(id);
    }

    /// Sends what changed since the last time: within the zone to all, to other zones through their
    /// heads, and what came from another zone only within the own one.
    pub fn send_changed_records(&self) {
        let changed = std::mem::take(&mut *self.changed.borrow_mut());
        if changed.is_empty() {
            return;
        }
        let own = self.own.borrow();
        let table = self.table.borrow();
        let order = self.zone_order(&own.zone);
        let is_relay = order.is_relay(&own.id);
        let mut news = Vec::new();
        for record in changed.iter().filter_map(|id| table.get(id)) {
            let is_own = record.id == own.id;
            // Members of the record's zone have it from its owner.
            if is_own || (is_relay && record.zone != own.zone) {
                news.push(record.clone());
            }
        }
        if news.is_empty() {
            return;
        }
        for record in table.iter().filter(|record| record.zone == own.zone) {
            self.send_members(&record.id, &news);
        }
        if !changed.contains(&own.id) {
            return;
        }
        let others = table.iter().filter(|record| record.zone != own.zone);
        for id in self.relays_of(zones(others)) {
            self.send_members(&id, std::slice::from_ref(&own));
        }
    }

    /// Sends records to a daemon; one without a link, as this one is to itself, is passed over.
    fn send_members(&self, id: &MemberId, records: &[MemberRecord]) {
        if let Some(link) = self.link(id) {
            link.send(PeerFrame::Members(records.to_vec()));
        }
    }

    /// Returns a link, another one each turn: in the own zone, and now and then, from a head, to a
    /// head of another zone.
    #[must_use]
    pub fn comparison_link(&self, turn: u64) -> Option<Rc<PeerLink>> {
        let own = self.own.borrow();
        let table = self.table.borrow();
        let order = self.zone_order(&own.zone);
        let goes_far = order.is_relay(&own.id) && turn.is_multiple_of(FAR_TURNS);
        let (ids, turn) = match goes_far {
            true => {
                let far = table.iter().filter(|record| record.zone != own.zone);
                (self.relays_of(zones(far)), turn / FAR_TURNS)
            }
            false => (order.members(), turn),
        };
        let mut links: Vec<Rc<PeerLink>> = ids.iter().filter_map(|id| self.link(id)).collect();
        let index = usize::try_from(turn).ok()?.checked_rem(links.len())?;
        Some(links.swap_remove(index))
    }
}

fn zones<'r>(records: impl Iterator<Item = &'r MemberRecord>) -> BTreeSet<ZoneName> {
    records.map(|record| record.zone.clone()).collect()
}
