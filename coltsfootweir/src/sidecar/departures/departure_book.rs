//! Where the departures of the local endpoint are kept, and the departures kept for other daemons.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ids::MemberId;
use crate::ids::ZoneName;
use crate::sidecar::announcement::DepartedLifetime;
use crate::sidecar::announcement::DepartureCount;
use crate::sidecar::announcement::MAX_LEAVING;
use crate::sidecar::store_era::store_version::StoreVersion;

/// Number of other zones that have to keep a departure, if there are as many: a zone may fail
/// together with the daemon.
const KEEPER_ZONES: usize = 2;

/// Where departures are kept.
#[derive(Debug, Default)]
pub struct DepartureBook {
    /// Departures on this VM that the store keeps.
    stored: DepartureCount,
    /// Departures on this VM that were acknowledged to the endpoint.
    acknowledged: DepartureCount,
    /// Version of this daemon's row in the store; `None` if it is not known.
    row: Option<StoreVersion>,
    /// Departures on this VM that other daemons keep, for each that is known to keep them.
    confirmed: BTreeMap<MemberId, DepartureCount>,
    /// Departures kept for other daemons.
    held: BTreeMap<MemberId, Vec<DepartedLifetime>>,
    /// Daemons for which all departures of their earlier runs are kept here.
    complete: BTreeSet<MemberId>,
}

/// Whether a departure may be acknowledged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DepartureSafety {
    /// It is kept in all places that can be reached.
    Kept,
    /// It is kept in the store, or by daemons of enough zones, but not in both.
    KeptInPart,
    /// It would be lost with this daemon, or with its zone.
    Lost,
}

impl DepartureBook {
    /// Returns the version of the own row; `None` if it has to be read first.
    #[must_use]
    pub fn row(&self) -> Option<StoreVersion> {
        self.row
    }

    /// Records the version of the own row; [`StoreVersion::ABSENT`] if there is none.
    pub fn set_row(&mut self, row: Option<StoreVersion>) {
        self.row = row;
    }

    /// Returns whether the store lacks departures of the `count` that there are.
    #[must_use]
    pub fn is_unstored(&self, count: DepartureCount) -> bool {
        self.stored < count
    }

    /// Records that the store keeps the first `count` departures.
    pub fn on_stored(&mut self, count: DepartureCount) {
        self.stored = self.stored.max(count);
    }

    /// Records that a daemon keeps the first `count` departures; 0 if it can keep departures.
    pub fn on_confirmed(&mut self, keeper: MemberId, count: DepartureCount) {
        let confirmed = self.confirmed.entry(keeper).or_default();
        *confirmed = count.max(*confirmed);
    }

    /// Returns how many departures a daemon keeps; `None` if it is not known to keep any.
    #[must_use]
    pub fn confirmed(&self, keeper: &MemberId) -> Option<DepartureCount> {
        self.confirmed.get(keeper).copied()
    }

    /// Records that the first `count` departures were acknowledged.
    pub fn on_acknowledged(&mut self, count: DepartureCount) {
        self.acknowledged = self.acknowledged.max(count);
    }

    /// Returns whether the first `count` departures were acknowledged.
    #[must_use]
    pub fn is_acknowledged(&self, count: DepartureCount) -> bool {
        self.acknowledged >= count
    }

    /// Returns how well the first `count` departures are kept. `reachable` has the other daemons in
    /// reach and their zones, `zone` is the own one.
    #[must_use]
    pub fn safety(
        &self,
        count: DepartureCount,
        zone: &ZoneName,
        reachable: &[(MemberId, ZoneName)],
    ) -> DepartureSafety {
        let keepers = reachable
            .iter()
            .filter(|(id, _)| self.confirmed.contains_key(id));
        let keepers: Vec<_> = keepers.collect();
        let has_other_zones = keepers.iter().any(|(_, other)| other != zone);
        let (mut places, mut confirmed) = (BTreeSet::new(), BTreeSet::new());
        for (id, other) in keepers {
            // In a deployment of one zone, each daemon is a place of its own.
            let place = match has_other_zones {
                true if other == zone => continue,
                true => other,
                false => id,
            };
            places.insert(place);
            if self.confirmed(id).is_some_and(|known| known >= count) {
                confirmed.insert(place);
            }
        }
        let is_replicated = confirmed.len() >= places.len().min(KEEPER_ZONES);
        match (!self.is_unstored(count), is_replicated) {
            (true, true) => DepartureSafety::Kept,
            (true, false) => DepartureSafety::KeptInPart,
            (false, true) if !places.is_empty() => DepartureSafety::KeptInPart,
            (false, _) => DepartureSafety::Lost,
        }
    }

    /// Adds departures to those kept for `owner`, and forgets daemons for which `is_known` is false.
    pub fn hold(
        &mut self,
        owner: &MemberId,
        departures: Vec<DepartedLifetime>,
        is_known: impl Fn(&MemberId) -> bool,
    ) {
        self.forget_unknown(owner, is_known);
        let held = self.held.entry(owner.clone()).or_default();
        for lifetime in departures {
            if !held.contains(&lifetime) {
                held.push(lifetime);
            }
        }
        held.sort_by_key(|lifetime| lifetime.departed_at);
        let excess = held.len().saturating_sub(MAX_LEAVING);
        held.drain(..excess);
    }

    /// Records that all departures of `owner` that it knows are kept here, and forgets daemons for which
    /// `is_known` is false.
    pub fn on_complete(&mut self, owner: MemberId, is_known: impl Fn(&MemberId) -> bool) {
        self.forget_unknown(&owner, is_known);
        self.complete.insert(owner);
    }

    fn forget_unknown(&mut self, owner: &MemberId, is_known: impl Fn(&MemberId) -> bool) {
        let is_kept = |id: &MemberId| id == owner || is_known(id);
        self.held.retain(|id, _| is_kept(id));
        self.complete.retain(is_kept);
    }

    /// Returns whether the departures kept for `owner` are all of its earlier runs.
    #[must_use]
    pub fn is_complete(&self, owner: &MemberId) -> bool {
        self.complete.contains(owner)
    }

    /// Returns the departures kept for `owner`.
    #[must_use]
    pub fn held(&self, owner: &MemberId) -> Vec<DepartedLifetime> {
        self.held.get(owner).cloned().unwrap_or_default()
    }
}
