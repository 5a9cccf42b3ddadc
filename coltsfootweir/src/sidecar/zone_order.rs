//! Who passes news and configurations on: heads speak for their availability zone, and inside a zone
//! configurations go down a tree.
//!
//! Daemons order the members of a zone alike, so that no agreement is needed; where their views
//! differ for a moment, timeouts and the comparison of tables cover for it.

use std::cmp::Reverse;
use std::time::Duration;

use crate::ids::MemberId;
use crate::ids::ZoneName;
use crate::sidecar::member_table::MemberRecord;
use crate::sidecar::member_table::MemberTable;

/// Daemons of a zone that carry news between zones; the second one covers for the first.
pub const ZONE_RELAYS: usize = 2;

/// Daemons to which one daemon hands a configuration. Three levels reach 84 daemons, and four copies
/// of a change of 1,400 routes take half a second on a link of 10 Mbit/s.
const TREE_CHILDREN: usize = 4;

/// Time after which the second head of a zone asks another zone for a configuration that the first
/// one has not brought: three round trips between regions.
const SECOND_HEAD_TIME: Duration = Duration::from_millis(200);

/// Time after which a daemon asks any daemon of its zone for a configuration that its parent in the
/// tree has not brought: two levels of the tree.
const PARENT_TIME: Duration = Duration::from_millis(400);

/// Time after which a daemon asks another zone for a configuration that its own has not brought.
const ZONE_TIME: Duration = Duration::from_millis(800);

/// The members of one zone in the order in which they carry things for the others.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ZoneOrder {
    members: Vec<MemberId>,
}

/// Which daemons may be asked for a configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FetchScope {
    /// Those of the own zone that are not the parent.
    pub any_in_zone: bool,
    /// Those of other zones.
    pub other_zones: bool,
}

impl ZoneOrder {
    /// Orders the members of `zone` that `is_live` holds reachable: those on larger VMs first.
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

    /// Returns all members.
    #[must_use]
    pub fn members(self) -> Vec<MemberId> {
        self.members
    }

    /// Returns the daemons that speak for the zone.
    #[must_use]
    pub fn relays(&self) -> &[MemberId] {
        &self.members[..self.members.len().min(ZONE_RELAYS)]
    }

    /// Returns whether `id` speaks for the zone.
    #[must_use]
    pub fn is_relay(&self, id: &MemberId) -> bool {
        self.relays().contains(id)
    }

    /// Returns the daemon that hands configurations to `id`; `None` for the first one.
    #[must_use]
    pub fn parent(&self, id: &MemberId) -> Option<&MemberId> {
        let index = self.position(id)?.checked_sub(1)?;
        self.members.get(index / TREE_CHILDREN)
    }

    /// Returns the daemons to which `id` hands configurations.
    #[must_use]
    pub fn children(&self, id: &MemberId) -> &[MemberId] {
        let Some(index) = self.position(id) else {
            return &[];
        };
        let first = (index * TREE_CHILDREN + 1).min(self.members.len());
        let end = (first + TREE_CHILDREN).min(self.members.len());
        &self.members[first..end]
    }

    /// Returns whom `id` may ask for a configuration that it has been missing for `waited`.
    #[must_use]
    pub fn fetch_scope(&self, id: &MemberId, waited: Duration) -> FetchScope {
        let far_time = match self.position(id) {
            Some(0) => Duration::ZERO,
            Some(index) if index < ZONE_RELAYS => SECOND_HEAD_TIME,
            _ => ZONE_TIME,
        };
        FetchScope {
            any_in_zone: self.is_relay(id) || waited >= PARENT_TIME,
            other_zones: waited >= far_time,
        }
    }

    fn position(&self, id: &MemberId) -> Option<usize> {
        self.members.iter().position(|member| member == id)
    }
}
