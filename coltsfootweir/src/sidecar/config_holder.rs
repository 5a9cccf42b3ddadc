//! The configuration in force and the few before it.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::rc::Rc;

use log::info;
use serde_json::json;

use crate::ids::Generation;
use crate::ids::ServiceName;
use crate::logging::CONFIG;
use crate::sidecar::mesh_config::ConfigDelta;
use crate::sidecar::mesh_config::MeshConfig;
use crate::sidecar::mesh_config::RouteFinder;

/// Earlier configurations kept, from which others can be brought up to date by a change: a storm
/// of four changes a second, and daemons cut off for some seconds.
const KEPT_CONFIGS: usize = 16;

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

/// The configuration in force.
#[derive(Debug, Default)]
pub struct ConfigHolder {
    active: RefCell<Option<Rc<ActiveConfig>>>,
    earlier: RefCell<VecDeque<Rc<ActiveConfig>>>,
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
        let active = Rc::new(ActiveConfig::new(config));
        if let Some(old) = self.active.borrow_mut().replace(active) {
            let mut earlier = self.earlier.borrow_mut();
            earlier.push_back(old);
            if earlier.len() > KEPT_CONFIGS {
                earlier.pop_front();
            }
        }
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
    /// configuration when that version is not kept; `None` when there is nothing newer.
    #[must_use]
    pub fn delta_from(&self, held: Generation) -> Option<ConfigDelta> {
        let active = self.active()?;
        if active.config.version <= held {
            return None;
        }
        let earlier = self.earlier.borrow();
        let base = earlier.iter().find(|old| old.config.version == held);
        Some(active.config.delta_from(base.map(|base| &base.config)))
    }
}
