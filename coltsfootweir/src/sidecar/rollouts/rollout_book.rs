//! The newest rollout order of each service.
//!
//! The store may come back from a copy: an order that was lost is then written again under another version,
//! and until that has happened the store has an older one. An order is therefore the same one if it says the
//! same at the beginning of a later era, and a different one is followed only once the store had the time to
//! become complete.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::ServiceName;
use crate::sidecar::member_table::RolloutStage;
use crate::sidecar::platform_adapter::RolloutOrder;
use crate::sidecar::rollout::RolloutState;
use crate::sidecar::store_era::restore_window::RestoreWindow;
use crate::sidecar::store_era::store_version::StoreEra;
use crate::sidecar::store_era::store_version::StoreVersion;

/// An order of the operator, as it stands in the store, and its stage.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredOrder {
    /// The order.
    pub order: RolloutOrder,
    /// Version of its row.
    pub row: StoreVersion,
    /// Stage that it has reached.
    pub stage: RolloutStage,
}

/// What a [`StoredOrder`] changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderChange {
    /// Nothing.
    None,
    /// It replaces the known order, or is the first one of its service.
    Added,
    /// It is the known order, written again. Its progress is kept.
    Renewed,
    /// It may be from the copy that the store came back from, and waits.
    Held,
}

/// The newest rollout order of each service.
#[derive(Debug, Default)]
pub struct RolloutBook {
    rollouts: BTreeMap<ServiceName, RolloutState>,
    /// Orders that may be older than the known ones of their services.
    held: BTreeMap<ServiceName, StoredOrder>,
    window: RestoreWindow,
}

impl RolloutBook {
    /// Returns the rollout of a service.
    #[must_use]
    pub fn get(&self, service: &ServiceName) -> Option<&RolloutState> {
        self.rollouts.get(service)
    }

    /// Returns the rollout of a service.
    pub fn get_mut(&mut self, service: &ServiceName) -> Option<&mut RolloutState> {
        self.rollouts.get_mut(service)
    }

    /// Returns all rollouts, ordered by service.
    pub fn iter(&self) -> impl Iterator<Item = &RolloutState> {
        self.rollouts.values()
    }

    /// Records that the store is in an era at `now`, a time since the daemon's start.
    pub fn observe_era(&mut self, era: StoreEra, now: Duration) {
        self.window.observe(era, now);
    }

    /// Takes in an order that the store or another daemon has told of at `now`. One that is not newer than
    /// the known one of its service is ignored.
    pub fn offer(&mut self, offered: StoredOrder, now: Duration) -> OrderChange {
        self.window.observe(offered.row.era(), now);
        let service = offered.order.service.clone();
        let Some(known) = self.rollouts.get_mut(&service) else {
            self.insert(offered, now);
            return OrderChange::Added;
        };
        if known.row >= offered.row {
            return OrderChange::None;
        }
        let is_later_era = known.row.era() < offered.row.era();
        let is_settling = self.window.is_open(now);
        if known.order.says_same(&offered.order) && (is_later_era || is_settling) {
            known.renew(offered.row);
            known.advance(offered.row, offered.stage);
            self.drop_held(&service, offered.row);
            return OrderChange::Renewed;
        }
        if is_later_era && is_settling {
            return self.hold(service, offered);
        }
        self.insert(offered, now);
        OrderChange::Added
    }

    /// Returns the held orders that are to be followed now, as the store had the time to become complete.
    pub fn settle(&mut self, now: Duration) -> Vec<StoredOrder> {
        if self.held.is_empty() || self.window.is_open(now) {
            return Vec::new();
        }
        let mut settled = Vec::new();
        for offered in std::mem::take(&mut self.held).into_values() {
            settled.push(offered.clone());
            self.insert(offered, now);
        }
        settled
    }

    fn hold(&mut self, service: ServiceName, offered: StoredOrder) -> OrderChange {
        let held = self.held.get_mut(&service);
        if let Some(held) = held
            && held.row >= offered.row
        {
            if held.row == offered.row {
                held.stage = held.stage.max(offered.stage);
            }
            return OrderChange::None;
        }
        self.held.insert(service, offered);
        OrderChange::Held
    }

    fn insert(&mut self, offered: StoredOrder, now: Duration) {
        let service = offered.order.service.clone();
        self.drop_held(&service, offered.row);
        let mut rollout = RolloutState::new(offered.order, offered.row, now);
        rollout.advance(offered.row, offered.stage);
        self.rollouts.insert(service, rollout);
    }

    /// Drops the held order of a service if it is not newer than `row`.
    fn drop_held(&mut self, service: &ServiceName, row: StoreVersion) {
        if self.held.get(service).is_some_and(|held| held.row <= row) {
            self.held.remove(service);
        }
    }
}
