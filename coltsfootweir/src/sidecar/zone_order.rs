//! Order of the members of an availability zone. The first ones are relays, which exchange updates
//! with other zones. Within the zone, configurations are distributed down a tree.
//!
//! All daemons compute the same order from their member tables, so no consensus is needed. While
//! the tables differ for a moment, timeouts and table comparisons make up for it.

use std::cmp::Reverse;
use std::time::Duration;

use crate::ids::MemberId;
use crate::ids::ZoneName;
use crate::sidecar::member_table::MemberRecord;
use crate::sidecar::member_table::MemberTable;

/// Number of daemons of a zone that relay updates between zones; the second one is a backup.
pub const ZONE_RELAYS: usize = 2;

/// Number of daemons to which one daemon sends a configuration. Three levels reach 84 daemons, and
/// four copies of a change of 1,400 routes take half a second on a link of 10 Mbit/s.
const TREE_CHILDREN: usize = 4;

/// Time after which the second relay of a zone requests a configuration from another zone because
/// the first one has not sent it: three round trips between regions.
const SECOND_RELAY_TIMEOUT: Duration = Duration::from_millis(200);

/// Time after which a daemon requests a configuration from any daemon of its zone because its
/// parent in the tree has not sent it: two levels of the tree.
const PARENT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which a daemon requests a configuration from another zone because its own zone has
/// not sent it.
const ZONE_TIMEOUT: Duration = Duration::from_millis(800);

/// Members of a zone, ordered by how much of the distribution work they do.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ZoneOrder {
    members: Vec<MemberId>,
}

/// Daemons from which a configuration may be requested, in addition to the parent in the tree.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FetchScope {
    /// Any daemon of the own zone.
    pub any_in_zone: bool,
    /// Daemons of other zones.
    pub other_zones: bool,
}

impl ZoneOrder {
    /// Orders the members of `zone` for which `is_live` is true, those on larger VMs first. Leaving
    /// members are left out.
    #[must_use]
    pub fn new(
        table: &MemberTable,
        zone: &ZoneName,
        is_live: impl Fn(&MemberRecord) -> bool,
    ) -> ZoneOrder {
        let mut ranked = Vec::new();
        for record in table.iter().filter(|record| record.zone == *zone) {
            if !record.is_leaving && is_live(record) {
                ranked.push((Reverse(record.size), &record.id));
            }
        }
        ranked.sort_unstable();
        let members = ranked.into_iter().map(|(_, id)| id.clone()).collect();
        ZoneOrder { members }
    }

    /// Returns all members in order.
    #[must_use]
    pub fn members(self) -> Vec<MemberId> {
        self.members
    }

    /// Returns the relays of the zone.
    #[must_use]
    pub fn relays(&self) -> &[MemberId] {
        &self.members[..self.members.len().min(ZONE_RELAYS)]
    }

    /// Returns whether `id` is a relay of the zone.
    #[must_use]
    pub fn is_relay(&self, id: &MemberId) -> bool {
        self.relays().contains(id)
    }

    /// Returns the daemon that sends configurations to `id`. `None` for the root of the tree and
    /// for daemons that are not in the order.
    #[must_use]
    pub fn parent(&self, id: &MemberId) -> Option<&MemberId> {
        let index = self.position(id)?.checked_sub(1)?;
        self.members.get(index / TREE_CHILDREN)
    }

    /// Returns the daemons to which `id` sends configurations.
    #[must_use]
    pub fn children(&self, id: &MemberId) -> &[MemberId] {
        let Some(index) = self.position(id) else {
            return &[];
        };
        let first = (index * TREE_CHILDREN + 1).min(self.members.len());
        let end = (first + TREE_CHILDREN).min(self.members.len());
        &self.members[first..end]
    }

    /// Returns from where `id` may request a configuration that is overdue by `waited`.
    #[must_use]
    pub fn fetch_scope(&self, id: &MemberId, waited: Duration) -> FetchScope {
        let zone_timeout = match self.position(id) {
            Some(0) => Duration::ZERO,
            Some(index) if index < ZONE_RELAYS => SECOND_RELAY_TIMEOUT,
            _ => ZONE_TIMEOUT,
        };
        FetchScope {
            any_in_zone: self.is_relay(id) || waited >= PARENT_TIMEOUT,
            other_zones: waited >= zone_timeout,
        }
    }

    fn position(&self, id: &MemberId) -> Option<usize> {
        self.members.iter().position(|member| member == id)
    }
}
