//! The configuration in force and the changes that led to it.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::rc::Rc;

use log::info;
use serde_json::json;

use crate::ids::Generation;
use crate::ids::RouteName;
use crate::ids::ServiceName;
use crate::logging::CONFIG;
use crate::sidecar::mesh_config::ConfigDelta;
use crate::sidecar::mesh_config::MeshConfig;
use crate::sidecar::mesh_config::RouteFinder;

/// Changes kept, by which daemons with an earlier version are brought up to date: a storm of four
/// a second, and daemons cut off for ten seconds.
const KEPT_CHANGES: usize = 40;

/// A configuration and the index of its routes.
#[derive(Debug)]
pub struct ActiveConfig {
    /// The configuration.
    pub config: MeshConfig,
    /// Index of its routes.
    pub finder: RouteFinder,
    /// Least urgent rank of the routes to each service.
    pub last_ranks: HashMap<ServiceName, u8>,
}

impl ActiveConfig {
    fn new(config: MeshConfig) -> ActiveConfig {
        let mut last_ranks: HashMap<ServiceName, u8> = HashMap::new();
        for route in config.routes.values() {
            for part in &route.parts {
                let last = last_ranks.entry(part.service.clone()).or_default();
                *last = route.rank.max(*last);
            }
        }
        let finder = RouteFinder::new(&config);
        ActiveConfig {
            config,
            finder,
            last_ranks,
        }
    }

    /// Returns whether requests of a rank go before others at the service.
    #[must_use]
    pub fn is_preferred(&self, service: &ServiceName, rank: u8) -> bool {
        self.last_ranks
            .get(service)
            .is_some_and(|last| rank < *last)
    }
}

/// Routes that a change of the configuration touched.
#[derive(Debug)]
struct TouchedRoutes {
    /// Version that was in force before the change.
    base: Generation,
    names: Vec<RouteName>,
}

/// The configuration in force.
#[derive(Debug, Default)]
pub struct ConfigHolder {
    active: RefCell<Option<Rc<ActiveConfig>>>,
    changes: RefCell<VecDeque<TouchedRoutes>>,
}

impl ConfigHolder {
    /// Returns the configuration in force.
    #[must_use]
    pub fn active(&self) -> Option<Rc<ActiveConfig>> {
        self.active.borrow().clone()
    }

    /// Returns the version in force; 0 when there is none.
    #[must_use]
    pub fn version(&self) -> Generation {
        let active = self.active.borrow();
        active.as_ref().map_or(0, |active| active.config.version)
    }

    /// Puts a configuration in force unless a newer one is; returns whether it is in force now.
    pub fn adopt(&self, config: MeshConfig, source: &str) -> bool {
        let before = self.version();
        if config.version <= before && before != 0 {
            return false;
        }
        let what = json!({"name": "config_in_force", "version": config.version,
            "before": before, "routes": config.routes.len(), "source": source});
        info!(target: CONFIG, "{what}");
        if let Some(active) = self.active() {
            self.note_change(&active.config, &config);
        }
        let active = Rc::new(ActiveConfig::new(config));
        self.active.replace(Some(active));
        true
    }

    /// Takes a change from another daemon; returns whether it was put in force. One that starts
    /// from another version is passed over.
    pub fn adopt_delta(&self, delta: ConfigDelta, source: &str) -> bool {
        if delta.version <= self.version() {
            return false;
        }
        let active = self.active();
        let base = active.as_ref().map(|active| &active.config);
        match MeshConfig::apply(base, delta) {
            Some(config) => self.adopt(config, source),
            None => false,
        }
    }

    /// Returns the change that brings a daemon with version `held` up to date, or the whole
    /// configuration when the changes since that version are not kept; `None` when there is nothing
    /// newer.
    #[must_use]
    pub fn delta_from(&self, held: Generation) -> Option<ConfigDelta> {
        let active = self.active()?;
        if active.config.version <= held {
            return None;
        }
        let changes = self.changes.borrow();
        let Some(first) = changes.iter().position(|change| change.base == held) else {
            return Some(active.config.delta_from(None));
        };
        let mut touched = BTreeSet::new();
        for change in changes.range(first..) {
            touched.extend(&change.names);
        }
        let mut delta = ConfigDelta {
            base: held,
            version: active.config.version,
            changed: Vec::new(),
            removed: Vec::new(),
            limits: active.config.limits,
        };
        for name in touched {
            match active.config.routes.get(name) {
                Some(route) => delta.changed.push(route.clone()),
                None => delta.removed.push(name.clone()),
            }
        }
        Some(delta)
    }

    fn note_change(&self, before: &MeshConfig, after: &MeshConfig) {
        let delta = after.delta_from(Some(before));
        let mut names = delta.removed;
        for route in delta.changed {
            names.push(route.name);
        }
        let mut changes = self.changes.borrow_mut();
        if changes.len() >= KEPT_CHANGES {
            changes.pop_front();
        }
        changes.push_back(TouchedRoutes {
            base: before.version,
            names,
        });
    }
}
