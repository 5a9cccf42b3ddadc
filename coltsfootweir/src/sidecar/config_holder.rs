//! The active configuration and a history of its recent changes.

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
use crate::sidecar::mesh_config::ClientLimits;
use crate::sidecar::mesh_config::ConfigDelta;
use crate::sidecar::mesh_config::DeltaTerms;
use crate::sidecar::mesh_config::MeshConfig;
use crate::sidecar::mesh_config::RouteFinder;
use crate::sidecar::teams::team::TeamName;
use crate::sidecar::teams::team_table::TeamTable;

/// Changes kept to build deltas for daemons with an older version. Covers a daemon that is cut off
/// for ten seconds while the configuration changes four times a second.
const MAX_KEPT_CHANGES: usize = 40;

/// A configuration with the indexes derived from it.
#[derive(Debug)]
pub struct ActiveConfig {
    /// The configuration.
    pub config: MeshConfig,
    /// Route lookup by host and path prefix.
    pub finder: RouteFinder,
    /// Highest rank number, which is the least urgent one, among the routes to each service.
    pub last_ranks: HashMap<ServiceName, u8>,
    /// Lookup of teams by API key.
    pub teams: TeamTable,
}

impl ActiveConfig {
    fn new(config: MeshConfig) -> ActiveConfig {
        let mut last_ranks: HashMap<ServiceName, u8> = HashMap::new();
        let last_team_rank = config.teams.values().filter_map(|team| team.rank).max();
        for route in config.routes.values() {
            for part in &route.parts {
                let last = last_ranks.entry(part.service.clone()).or_default();
                *last = route.rank.max(last_team_rank.unwrap_or(0)).max(*last);
            }
        }
        let finder = RouteFinder::new(&config);
        let teams = TeamTable::new(&config.teams);
        ActiveConfig {
            config,
            finder,
            last_ranks,
            teams,
        }
    }

    /// Returns whether requests of rank `rank` take precedence over others at the service.
    #[must_use]
    pub fn is_preferred(&self, service: &ServiceName, rank: u8) -> bool {
        self.last_ranks
            .get(service)
            .is_some_and(|last| rank < *last)
    }
}

/// What one configuration change added, modified or removed.
#[derive(Debug)]
struct ConfigChange {
    /// Version that was active before the change.
    base: Generation,
    names: Vec<RouteName>,
    teams: Vec<TeamName>,
    has_new_services: bool,
}

/// Holds the active configuration and its recent changes.
#[derive(Debug, Default)]
pub struct ConfigHolder {
    active: RefCell<Option<Rc<ActiveConfig>>>,
    changes: RefCell<VecDeque<ConfigChange>>,
}

impl ConfigHolder {
    /// Returns the active configuration, or `None` before the first one is adopted.
    #[must_use]
    pub fn active(&self) -> Option<Rc<ActiveConfig>> {
        self.active.borrow().clone()
    }

    /// Returns the version of the active configuration, or 0 if there is none.
    #[must_use]
    pub fn version(&self) -> Generation {
        let active = self.active.borrow();
        active.as_ref().map_or(0, |active| active.config.version)
    }

    /// Returns the limits on clients that are in force.
    #[must_use]
    pub fn client_limits(&self) -> ClientLimits {
        let active = self.active.borrow();
        active
            .as_ref()
            .map_or(ClientLimits::DEFAULT, |active| active.config.limits)
    }

    /// Activates a configuration if it is newer than the active one. Returns whether it was
    /// activated.
    ///
    /// `source` names the origin of the configuration in the log: the store, or the daemon that sent
    /// it.
    pub fn adopt(&self, config: MeshConfig, source: &str) -> bool {
        let before = self.version();
        if config.version <= before && before != 0 {
            return false;
        }
        let event = json!({"name": "config_in_force", "version": config.version,
            "before": before, "routes": config.routes.len(), "source": source});
        info!(target: CONFIG, "{event}");
        if let Some(active) = self.active() {
            self.record_change(&active.config, &config);
        }
        let active = Rc::new(ActiveConfig::new(config));
        self.active.replace(Some(active));
        true
    }

    /// Applies a delta to the active configuration. Returns whether the result was activated.
    ///
    /// A delta whose base is not the active version is ignored.
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

    /// Returns the delta from version `held` to the active configuration.
    ///
    /// The delta holds the whole configuration if the changes since `held` are no longer kept.
    /// Returns `None` if the active version is not newer than `held`.
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
        let mut changed_names = BTreeSet::new();
        let mut changed_teams = BTreeSet::new();
        let mut has_new_services = false;
        for change in changes.range(first..) {
            changed_names.extend(&change.names);
            changed_teams.extend(&change.teams);
            has_new_services |= change.has_new_services;
        }
        let mut delta = ConfigDelta {
            base: held,
            version: active.config.version,
            changed: Vec::new(),
            removed: Vec::new(),
            limits: active.config.limits,
            terms: DeltaTerms::default(),
        };
        delta.terms.services = has_new_services.then(|| active.config.services.clone());
        for name in changed_teams {
            match active.config.teams.get(name) {
                Some(team) => delta.terms.changed_teams.push(team.clone()),
                None => delta.terms.removed_teams.push(name.clone()),
            }
        }
        for name in changed_names {
            match active.config.routes.get(name) {
                Some(route) => delta.changed.push(route.clone()),
                None => delta.removed.push(name.clone()),
            }
        }
        Some(delta)
    }

    fn record_change(&self, before: &MeshConfig, after: &MeshConfig) {
        let delta = after.delta_from(Some(before));
        let mut names = delta.removed;
        for route in delta.changed {
            names.push(route.name);
        }
        let mut teams = delta.terms.removed_teams;
        for team in delta.terms.changed_teams {
            teams.push(team.name);
        }
        let mut changes = self.changes.borrow_mut();
        if changes.len() >= MAX_KEPT_CHANGES {
            changes.pop_front();
        }
        changes.push_back(ConfigChange {
            base: before.version,
            names,
            teams,
            has_new_services: delta.terms.services.is_some(),
        });
    }
}
