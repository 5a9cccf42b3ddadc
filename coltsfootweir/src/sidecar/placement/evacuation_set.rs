//! Decides how requests leave the zones that are evacuated.
//!
//! The set of evacuated zones has the store version of the read that found it; the higher version
//! wins. A set that was read when the store had just come back from a copy may lack an evacuation that is
//! written again, so it waits. Ingresses move requests away from a zone step by step, so that the other zones do not get
//! all of them at once. After that, the daemons of the zone close their endpoints.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::ids::ZoneName;
use crate::sidecar::store_era::restore_window::RestoreWindow;
use crate::sidecar::store_era::store_version::StoreVersion;

/// Share of the bound in which ingresses stop choosing a zone.
const FADE_SHARE: f64 = 0.3;

/// Share of the bound after which endpoints of a zone are closed. The rest is for the time in which
/// the order reaches the daemons; a watcher of the store that fails takes half of the bound.
const CLOSE_SHARE: f64 = 0.4;

/// Time after the first link of a restarted daemon after which no peer knows of an evacuation. Peers
/// send the evacuated zones at once on a new link.
const PEER_REPORT_TIME: Duration = Duration::from_secs(1);

/// Evacuated zones, and when this daemon was told.
#[derive(Clone, Debug, Default)]
pub struct EvacuationSet {
    version: StoreVersion,
    /// Set that was read while the store might have been incomplete.
    held: Option<(StoreVersion, BTreeSet<ZoneName>)>,
    window: RestoreWindow,
    /// Time at which each evacuation was learned; `None` for those that began before this daemon.
    zones: BTreeMap<ZoneName, Option<Duration>>,
    /// Whether any zone has been evacuated, as far as known.
    was_used: bool,
    linked_at: Option<Duration>,
    /// Name of the last logged event about the own endpoint; empty while it has been open from the
    /// start.
    phase: &'static str,
}

/// Zones whose evacuation began or ended.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EvacuationChange {
    /// Zones that are evacuated from now on.
    pub begun: Vec<ZoneName>,
    /// Zones that are used again.
    pub ended: Vec<ZoneName>,
}

impl EvacuationChange {
    /// Returns whether nothing changed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.begun.is_empty() && self.ended.is_empty()
    }
}

impl EvacuationSet {
    /// Takes in the zones that were evacuated at a store version; ignored if a later one is known.
    /// `now` is the time since the start of this daemon. What a daemon learns within `bound` of its
    /// start may have been in force long before, so it takes full effect at once.
    pub fn merge(
        &mut self,
        version: StoreVersion,
        zones: &BTreeSet<ZoneName>,
        now: Duration,
        bound: Duration,
    ) -> EvacuationChange {
        self.window.observe(version.era(), now);
        let is_later_era =
            self.version != StoreVersion::default() && self.version.era() < version.era();
        if is_later_era && self.window.is_open(now) {
            let held = self.held.as_ref();
            if held.is_none_or(|(held, _)| *held < version) {
                self.held = Some((version, zones.clone()));
            }
            return EvacuationChange::default();
        }
        self.replace(version, zones, now, bound)
    }

    /// Takes in the zones that were read when the store had just come back from a copy, once it had the
    /// time to become complete.
    pub fn settle(&mut self, now: Duration, bound: Duration) -> EvacuationChange {
        if self.window.is_open(now) {
            return EvacuationChange::default();
        }
        match self.held.take() {
            Some((version, zones)) => self.replace(version, &zones, now, bound),
            None => EvacuationChange::default(),
        }
    }

    fn replace(
        &mut self,
        version: StoreVersion,
        zones: &BTreeSet<ZoneName>,
        now: Duration,
        bound: Duration,
    ) -> EvacuationChange {
        let mut change = EvacuationChange::default();
        if version <= self.version {
            return change;
        }
        self.version = version;
        self.was_used |= !zones.is_empty();
        let ended = self.zones.keys().filter(|zone| !zones.contains(*zone));
        change.ended = ended.cloned().collect();
        self.zones.retain(|zone, _| zones.contains(zone));
        for zone in zones {
            if self.zones.contains_key(zone) {
                continue;
            }
            self.zones
                .insert(zone.clone(), (now >= bound).then_some(now));
            change.begun.push(zone.clone());
        }
        change
    }

    /// Records that the set is in use among the daemons, though no zone may be evacuated now.
    pub fn mark_used(&mut self) {
        self.was_used = true;
    }

    /// Returns whether any zone has been evacuated, as far as known.
    #[must_use]
    pub fn was_used(&self) -> bool {
        self.was_used
    }

    /// Returns the store version of the set; the default one before the first.
    #[must_use]
    pub fn version(&self) -> StoreVersion {
        self.version
    }

    /// Returns the evacuated zones.
    #[must_use]
    pub fn zones(&self) -> Vec<ZoneName> {
        self.zones.keys().cloned().collect()
    }

    /// Returns whether no zone is evacuated.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Returns the share of requests that avoid a zone.
    #[must_use]
    pub fn avoided_share(&self, zone: &str, now: Duration, bound: Duration) -> f64 {
        match self.zones.get(zone) {
            None => 0.0,
            Some(None) => 1.0,
            Some(Some(begun)) => {
                let fade = bound.mul_f64(FADE_SHARE).as_secs_f64();
                let time = now.saturating_sub(*begun).as_secs_f64();
                (time / fade).min(1.0)
            }
        }
    }

    /// Returns whether requests are still being moved away from a zone.
    #[must_use]
    pub fn is_fading(&self, now: Duration, bound: Duration) -> bool {
        let mut begun = self.zones.values().flatten();
        begun.any(|begun| now < *begun + bound.mul_f64(FADE_SHARE))
    }

    /// Returns whether the endpoints of a zone are closed.
    #[must_use]
    pub fn is_closed(&self, zone: &str, now: Duration, bound: Duration) -> bool {
        let begun = self.zones.get(zone);
        begun.is_some_and(|begun| {
            begun.is_none_or(|begun| now >= begun + bound.mul_f64(CLOSE_SHARE))
        })
    }

    /// Records the name of the event that describes the own endpoint. Returns whether it is to be
    /// logged; an endpoint that is open from the start needs no line.
    pub fn change_phase(&mut self, name: &'static str) -> bool {
        let is_first = self.phase.is_empty() && name == "endpoint_opened";
        let is_changed = self.phase != name;
        self.phase = name;
        is_changed && !is_first
    }

    /// Records that this daemon has a link to another one.
    pub fn on_link(&mut self, now: Duration) {
        self.linked_at.get_or_insert(now);
    }

    /// Returns whether a restarted daemon knows if its zone is evacuated.
    #[must_use]
    pub fn is_known(&self, now: Duration) -> bool {
        let is_linked = |at| now >= at + PEER_REPORT_TIME;
        self.version != StoreVersion::default() || self.linked_at.is_some_and(is_linked)
    }
}
