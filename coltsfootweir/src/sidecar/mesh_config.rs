//! Configuration of the mesh as the operator wrote it, and the search for a request's route.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Generation;
use crate::ids::RouteName;
use crate::ids::ServiceName;

/// Part of a route's traffic that goes to one service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TrafficPart {
    /// The service.
    pub service: ServiceName,
    /// Share of the traffic, relative to the other parts.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MeshRoute {
    /// Name, unique within a configuration.
    pub name: RouteName,
    /// Value of the `Host` header.
    pub host: Box<str>,
    /// Beginning of the path; begins and ends with a slash.
    pub prefix: Box<str>,
    /// Services that share the route's traffic, at least one.
    pub parts: Vec<TrafficPart>,
    /// Whether a request may run more than once.
    pub is_repeatable: bool,
    /// Longest time a request may be kept waiting, in milliseconds.
    pub timeout_ms: u32,
    /// Time within which an answer is worth most, in milliseconds.
    pub target_ms: u32,
    /// Endpoints to which one request may be sent.
    pub attempts: u32,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
}

/// What clients may send and how long they may take.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClientLimits {
    /// Longest request head, in bytes.
    pub header_bytes: u32,
    /// Longest request body, in bytes.
    pub body_bytes: u64,
    /// Time a client may take for a request head, in milliseconds.
    pub header_ms: u32,
    /// Time a connection may stay idle, in milliseconds.
    pub idle_ms: u32,
}

/// A whole configuration; the order of routes does not matter.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MeshConfig {
    /// Version; a higher one is newer.
    pub version: Generation,
    /// Routes by name.
    pub routes: BTreeMap<RouteName, MeshRoute>,
    /// Limits on clients.
    pub limits: ClientLimits,
}

/// Change from one configuration to a newer one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigDelta {
    /// Version the change starts from; 0 when it holds the whole configuration.
    pub base: Generation,
    /// Version it leads to.
    pub version: Generation,
    /// Routes that are new or changed.
    pub changed: Vec<MeshRoute>,
    /// Routes that are gone.
    pub removed: Vec<RouteName>,
    /// Limits on clients.
    pub limits: ClientLimits,
}

impl MeshConfig {
    /// Returns the change from `base`, or from nothing.
    #[must_use]
    pub fn delta_from(&self, base: Option<&MeshConfig>) -> ConfigDelta {
        let mut delta = ConfigDelta {
            base: base.map_or(0, |base| base.version),
            version: self.version,
            changed: Vec::new(),
            removed: Vec::new(),
            limits: self.limits,
        };
        for (name, route) in &self.routes {
            if base.and_then(|base| base.routes.get(name)) != Some(route) {
                delta.changed.push(route.clone());
            }
        }
        for name in base.iter().flat_map(|base| base.routes.keys()) {
            if !self.routes.contains_key(name) {
                delta.removed.push(name.clone());
            }
        }
        delta
    }

    /// Returns the configuration after a change, `None` when the change starts from another one.
    #[must_use]
    pub fn apply(base: Option<&MeshConfig>, delta: ConfigDelta) -> Option<MeshConfig> {
        let mut routes = match base {
            _ if delta.base == 0 => BTreeMap::new(),
            Some(base) if base.version == delta.base => base.routes.clone(),
            _ => return None,
        };
        for name in &delta.removed {
            routes.remove(name);
        }
        for route in delta.changed {
            routes.insert(route.name.clone(), route);
        }
        Some(MeshConfig {
            version: delta.version,
            routes,
            limits: delta.limits,
        })
    }
}

impl MeshRoute {
    /// Longest time a request may be kept waiting.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(u64::from(self.timeout_ms))
    }
}

/// Routes by host, longest prefix first.
#[derive(Debug, Default)]
pub struct RouteFinder {
    hosts: HashMap<Box<str>, Vec<(Box<str>, RouteName)>>,
}

impl RouteFinder {
    /// Indexes the routes of a configuration.
    #[must_use]
    pub fn new(config: &MeshConfig) -> RouteFinder {
        let mut hosts: HashMap<Box<str>, Vec<(Box<str>, RouteName)>> = HashMap::new();
        for route in config.routes.values() {
            let host = route.host.to_ascii_lowercase().into_boxed_str();
            let prefixes = hosts.entry(host).or_default();
            prefixes.push((route.prefix.clone(), route.name.clone()));
        }
        for prefixes in hosts.values_mut() {
            prefixes.sort_by_key(|(prefix, _)| std::cmp::Reverse(prefix.len()));
        }
        RouteFinder { hosts }
    }

    /// Returns the name of the route with the longest prefix of `path`.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteName> {
        let host = host.to_ascii_lowercase();
        let prefixes = self.hosts.get(host.as_str()).or_else(|| {
            let (name, _port) = host.rsplit_once(':')?;
            self.hosts.get(name)
        })?;
        let found = prefixes
            .iter()
            .find(|(prefix, _)| path.starts_with(&**prefix))?;
        Some(&found.1)
    }
}

/// Deals the requests of a route to its parts by weight, evenly over short spans.
#[derive(Debug, Default)]
pub struct TrafficSplitter {
    credits: HashMap<RouteName, Vec<i64>>,
}

impl TrafficSplitter {
    /// Returns the service that gets the next request of the route.
    pub fn next_service<'r>(&mut self, route: &'r MeshRoute) -> Option<&'r ServiceName> {
        if let [only] = route.parts.as_slice() {
            return Some(&only.service);
        }
        let total: i64 = route.parts.iter().map(|part| i64::from(part.weight)).sum();
        let credits = self.credits.entry(route.name.clone()).or_default();
        credits.resize(route.parts.len(), 0);
        for (credit, part) in credits.iter_mut().zip(&route.parts) {
            *credit += i64::from(part.weight);
        }
        let weighted = (0..credits.len()).filter(|index| route.parts[*index].weight > 0);
        let chosen = weighted.max_by_key(|index| credits[*index])?;
        credits[chosen] -= total;
        Some(&route.parts[chosen].service)
    }
}
