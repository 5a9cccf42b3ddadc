//! The other daemons of the deployment: their records, the links to them and how changes are sent.

mod link_checks;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::ids::MemberId;
use crate::ids::ServiceName;
use crate::ids::ZoneName;
use crate::sidecar::frame::PeerFrame;
use crate::sidecar::link_table::LinkTable;
use crate::sidecar::member_table::MemberRecord;
use crate::sidecar::member_table::MemberTable;
use crate::sidecar::member_table::StoreReach;
use crate::sidecar::peer_link::PeerLink;
use crate::sidecar::placement::region_links::RemoteServices;
use crate::sidecar::rate_limits::limit_order::LimitOrder;
use crate::sidecar::zone_order::FetchScope;
use crate::sidecar::zone_order::ZoneOrder;

/// Number of daemons that watch the store for all; the second one is a backup.
const STORE_WATCHERS: usize = 2;

/// Maximum number of links within the region: enough for about 8 daemons of each service in call
/// chains seven services deep, the own service and those it calls.
const MAX_REGION_LINKS: usize = 96;

/// Time for which endpoints of other regions are linked after those of the own region had no
/// capacity or were unreachable.
const OTHER_REGIONS_TIME: Duration = Duration::from_secs(10);

/// Pause between two comparisons of member tables over new links.
const COMPARE_PAUSE: Duration = Duration::from_millis(200);

/// Which daemons to link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkScope {
    /// Daemons that receive requests or updates.
    Needed,
    /// All daemons, so that each can send its updates.
    All,
}

/// Member records, links and the changes that are not sent yet.
pub struct MemberDirectory {
    table: RefCell<MemberTable>,
    own: RefCell<MemberRecord>,
    links: LinkTable,
    changed: RefCell<HashSet<MemberId>>,
    /// Time of the last comparison of member tables over a new link.
    compared_at: Cell<Duration>,
    /// Time until which endpoints of other regions are linked.
    other_regions_until: Cell<Duration>,
    /// Services whose requests may have to run in another region.
    remote_services: RefCell<RemoteServices>,
    /// Whether the daemons that may lend tokens are linked.
    links_limit_holders: Cell<bool>,
    /// Daemons that may lend tokens or could until recently.
    limit_order: RefCell<LimitOrder>,
}

impl MemberDirectory {
    /// Creates a directory that contains only the daemon's own record.
    #[must_use]
    pub fn new(own: MemberRecord) -> MemberDirectory {
        let mut table = MemberTable::default();
        table.merge(&own);
        MemberDirectory {
            table: RefCell::new(table),
            own: RefCell::new(own),
            links: LinkTable::default(),
            changed: RefCell::default(),
            compared_at: Cell::default(),
            other_regions_until: Cell::default(),
            remote_services: RefCell::default(),
            links_limit_holders: Cell::default(),
            limit_order: RefCell::default(),
        }
    }

    /// Returns the daemon's own record.
    #[must_use]
    pub fn own(&self) -> MemberRecord {
        self.own.borrow().clone()
    }

    /// Changes the daemon's own record; returns whether anything changed.
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

    /// Calls `read` with the member table.
    pub fn read<T>(&self, read: impl FnOnce(&MemberTable) -> T) -> T {
        read(&self.table.borrow())
    }

    /// Merges records into the table and returns those that were new. They are forwarded at the
    /// next [`MemberDirectory::send_changed_records`].
    pub fn merge(&self, records: &[MemberRecord]) -> Vec<MemberRecord> {
        let own = self.own.borrow().id.clone();
        let mut updates = Vec::new();
        for record in records {
            if record.id == own {
                self.outdate(record);
                continue;
            }
            if self.table.borrow_mut().merge(record) {
                self.changed.borrow_mut().insert(record.id.clone());
                self.links.update_address(&record.id, record.address);
                updates.push(record.clone());
            }
        }
        updates
    }

    /// Makes the own record newer than one of an earlier run of this daemon, or of another writer. The
    /// earlier run may seem to be the later one, as the time of day tells them apart and may have been
    /// set back.
    fn outdate(&self, earlier: &MemberRecord) {
        let mut own = self.own.borrow_mut();
        if !earlier.is_plausible() || !own.is_before(earlier) {
            return;
        }
        own.incarnation = earlier.incarnation + 1;
        self.table.borrow_mut().merge(&own);
        self.changed.borrow_mut().insert(own.id.clone());
    }

    /// Returns the records of later runs than those of `records`. A daemon that sends an old record
    /// gets them in return, so that it learns of its successor, or that its own run is taken for an
    /// earlier one.
    #[must_use]
    pub fn later_runs(&self, records: &[MemberRecord]) -> Vec<MemberRecord> {
        let table = self.table.borrow();
        let mut later = Vec::new();
        for record in records {
            let held = table.get(&record.id);
            later.extend(
                held.filter(|held| held.incarnation > record.incarnation)
                    .cloned(),
            );
        }
        later
    }

    /// Returns the daemon that sends configurations to this one in the tree of the zone.
    #[must_use]
    pub fn parent(&self) -> Option<MemberId> {
        let own = self.own.borrow();
        self.zone_order(&own.zone).parent(&own.id).cloned()
    }

    /// Returns from where this daemon may request a configuration that is overdue by `waited`.
    #[must_use]
    pub fn fetch_scope(&self, waited: Duration) -> FetchScope {
        let own = self.own.borrow();
        self.zone_order(&own.zone).fetch_scope(&own.id, waited)
    }

    /// Returns the open links to the daemons that distribute a new configuration or evacuation: always
    /// this daemon's children in the tree, from a relay or a store watcher also the relays of all
    /// zones, and from a relay also all daemons of its zone. `is_first_in_zone` tells that the change
    /// did not come from the own zone: then its daemons are told by this one, as the relays may not
    /// have it.
    #[must_use]
    pub fn notice_links(&self, is_first_in_zone: bool) -> Vec<Rc<PeerLink>> {
        let own = self.own.borrow();
        let table = self.table.borrow();
        let order = self.zone_order(&own.zone);
        let mut targets = order.children(&own.id).to_vec();
        let is_relay = order.is_relay(&own.id);
        if is_relay || self.is_watcher() {
            targets.extend(self.relays_of(zones(table.iter())));
        }
        if is_relay || is_first_in_zone {
            for record in table.iter().filter(|record| record.zone == own.zone) {
                targets.push(record.id.clone());
            }
        }
        targets.sort_unstable();
        targets.dedup();
        targets.iter().filter_map(|id| self.link(id)).collect()
    }

    /// Sends a frame to the daemons that distribute a new configuration.
    pub fn send_config_notice(&self, frame: &PeerFrame, is_first_in_zone: bool) {
        for link in self.notice_links(is_first_in_zone) {
            link.send(frame.clone());
        }
    }

    /// Returns the link to a daemon if it is open.
    #[must_use]
    pub fn link(&self, id: &MemberId) -> Option<Rc<PeerLink>> {
        self.links.open(id)
    }

    /// Returns whether the link to a daemon is open.
    #[must_use]
    pub fn is_reachable(&self, id: &MemberId) -> bool {
        self.links.is_open(id)
    }

    /// Returns the other daemons whose links are open, and their zones.
    #[must_use]
    pub fn reachable(&self) -> Vec<(MemberId, ZoneName)> {
        let mut reachable = Vec::new();
        for record in self.table.borrow().iter() {
            if self.links.is_open(&record.id) {
                reachable.push((record.id.clone(), record.zone.clone()));
            }
        }
        reachable
    }

    /// Returns whether a daemon is in this daemon's zone.
    #[must_use]
    pub fn is_in_own_zone(&self, id: &MemberId) -> bool {
        let table = self.table.borrow();
        let zone = table.get(id).map(|record| &record.zone);
        zone == Some(&self.own.borrow().zone)
    }

    /// Returns whether a link to any daemon is open.
    #[must_use]
    pub fn has_open_link(&self) -> bool {
        self.links.count_open() > 0
    }

    /// Returns the number of reachable daemons, including this one.
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

    /// Returns the number of known daemons that are not leaving, including this one. Allowances of
    /// the deployment are divided by it. Daemons out of reach count, as they may be in use elsewhere.
    #[must_use]
    pub fn known_count(&self) -> usize {
        let table = self.table.borrow();
        table.iter().filter(|record| !record.is_leaving).count()
    }

    /// Has endpoints of other regions linked for a while, because those of the own region have no
    /// capacity or are unreachable.
    pub fn link_other_regions(&self, now: Duration) {
        self.other_regions_until.set(now + OTHER_REGIONS_TIME);
    }

    /// Sets the services whose requests may have to run in another region.
    pub fn set_remote_services(&self, services: RemoteServices) {
        self.remote_services.replace(services);
    }

    /// Returns whether a daemon is not known to be unreachable. True if it was not dialed yet.
    #[must_use]
    pub fn is_presumed_live(&self, id: &MemberId) -> bool {
        self.links.is_presumed_live(id)
    }

    /// Returns whether this daemon watches the store for all.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        self.is_among_nearest(STORE_WATCHERS)
    }

    /// Returns whether this daemon decides about rollouts.
    #[must_use]
    pub fn is_rollout_leader(&self) -> bool {
        self.is_among_nearest(1)
    }

    fn is_among_nearest(&self, count: usize) -> bool {
        let own = self.own.borrow();
        !own.is_leaving && self.nearest(count).contains(&own.id)
    }

    /// Returns the daemons that collect the status of rollouts: those that watch the store.
    #[must_use]
    pub fn rollout_evaluators(&self) -> Vec<MemberId> {
        self.nearest(STORE_WATCHERS)
    }

    fn nearest(&self, count: usize) -> Vec<MemberId> {
        let own = self.own.borrow();
        let table = self.table.borrow();
        table.watchers(&own.id, count, |record| self.is_presumed_live(&record.id))
    }

    /// Returns whether another reachable daemon has access to the store.
    #[must_use]
    pub fn has_other_store_access(&self) -> bool {
        let table = self.table.borrow();
        let own = self.own.borrow();
        let mut others = table.iter().filter(|record| record.id != own.id);
        others.any(|record| {
            matches!(record.store, StoreReach::Within(_)) && self.is_reachable(&record.id)
        })
    }

    fn zone_order(&self, zone: &ZoneName) -> ZoneOrder {
        let own = self.own.borrow();
        let table = self.table.borrow();
        ZoneOrder::new(&table, zone, |record| {
            record.id == own.id || self.is_presumed_live(&record.id)
        })
    }

    fn relays_of(&self, zones: BTreeSet<ZoneName>) -> Vec<MemberId> {
        let mut relays = Vec::new();
        for zone in zones {
            relays.extend_from_slice(self.zone_order(&zone).relays());
        }
        relays
    }

    /// Returns whether to compare member tables over a new link, and records the time if so. Many
    /// links are opened at once, and one comparison finds most of what the others would.
    #[must_use]
    pub fn start_comparison(&self, now: Duration) -> bool {
        let is_due = now >= self.compared_at.get() + COMPARE_PAUSE;
        if is_due {
            self.compared_at.set(now);
        }
        is_due
    }

    /// Returns the daemons to dial now, and marks each as being dialed.
    ///
    /// In the own region, daemons of the services in `called` come first, then those of the own
    /// zone, up to a limit. In other regions only the relays and the store watchers are linked, and
    /// endpoints of services whose requests may not run in the own region. All daemons of other regions
    /// are linked while their endpoints are needed, and [`LinkScope::All`]
    /// links all daemons.
    pub fn take_dials(
        &self,
        called: &HashSet<ServiceName>,
        scope: LinkScope,
        now: Duration,
    ) -> Vec<(MemberId, SocketAddr)> {
        let is_all = scope == LinkScope::All;
        let table = self.table.borrow();
        let own = self.own.borrow();
        let others = table.iter().filter(|record| record.id != own.id);
        let (mut wanted, other_regions): (Vec<_>, Vec<_>) =
            others.partition(|record| record.region == own.region);
        wanted.sort_by_key(|record| {
            let endpoint = record.endpoint.as_ref();
            let is_called = endpoint.is_some_and(|endpoint| called.contains(&endpoint.service));
            (!is_called, record.zone != own.zone)
        });
        if !is_all {
            wanted.truncate(MAX_REGION_LINKS);
        }
        if self.links_limit_holders.get() {
            let holders = self.limit_holders(now);
            for record in holders.iter().filter_map(|id| table.get(id)) {
                if record.id != own.id && !wanted.iter().any(|held| held.id == record.id) {
                    wanted.push(record);
                }
            }
        }
        let mut required = self.nearest(STORE_WATCHERS);
        required.extend(self.relays_of(zones(other_regions.iter().copied())));
        let remote = self.remote_services.borrow();
        let chosen = remote.choose(&own.id, other_regions.iter().copied());
        required.extend(chosen.iter().map(|record| record.id.clone()));
        for record in other_regions {
            if is_all || now < self.other_regions_until.get() || required.contains(&record.id) {
                wanted.push(record);
            }
        }
        self.links.take_dials(&wanted, now)
    }

    /// Records the result of dialing a daemon; `None` for `link` means that it failed.
    pub fn on_dialed(&self, id: &MemberId, link: Option<Rc<PeerLink>>, now: Duration) {
        self.links.on_dialed(id, link, now);
    }

    /// Records that the link to a daemon ended.
    pub fn on_link_end(&self, id: &MemberId, now: Duration) {
        self.links.on_end(id, now);
    }

    /// Removes a daemon's link and record.
    pub fn forget(&self, id: &MemberId) {
        self.links.remove(id);
        self.table.borrow_mut().remove(id);
    }

    /// Sends the records that changed since the last call. The own record goes to the own zone and
    /// to the relays of other zones. Records from other zones are forwarded within the own zone, by
    /// its relays.
    pub fn send_changed_records(&self) {
        let changed = std::mem::take(&mut *self.changed.borrow_mut());
        if changed.is_empty() {
            return;
        }
        let own = self.own.borrow();
        let table = self.table.borrow();
        let order = self.zone_order(&own.zone);
        let is_relay = order.is_relay(&own.id);
        let mut updates = Vec::new();
        for record in changed.iter().filter_map(|id| table.get(id)) {
            let is_own = record.id == own.id;
            // Members of the record's own zone receive it from its owner.
            if is_own || (is_relay && record.zone != own.zone) {
                updates.push(record.clone());
            }
        }
        if updates.is_empty() {
            return;
        }
        for record in table.iter().filter(|record| record.zone == own.zone) {
            self.send_members(&record.id, &updates);
        }
        if !changed.contains(&own.id) {
            return;
        }
        let others = table.iter().filter(|record| record.zone != own.zone);
        for id in self.relays_of(zones(others)) {
            self.send_members(&id, std::slice::from_ref(&own));
        }
    }

    /// Sends records to a daemon if its link is open. This daemon has no link to itself.
    fn send_members(&self, id: &MemberId, records: &[MemberRecord]) {
        if let Some(link) = self.link(id) {
            link.send(PeerFrame::Members(records.to_vec()));
        }
    }
}

fn zones<'r>(records: impl Iterator<Item = &'r MemberRecord>) -> BTreeSet<ZoneName> {
    records.map(|record| record.zone.clone()).collect()
}
