//! Mesh configuration, route lookup and traffic splitting.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Generation;
use crate::ids::RouteName;
use crate::ids::ServiceName;

/// A service that receives part of a route's traffic.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TrafficPart {
    /// The service.
    pub service: ServiceName,
    /// Share of the traffic relative to the other parts.
    pub weight: u32,
}

/// A route from a host and a path prefix to services.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MeshRoute {
    /// Name, unique within a configuration.
    pub name: RouteName,
    /// Value of the `Host` header.
    pub host: Box<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Box<str>,
    /// Services that share the route's traffic, at least one.
    pub parts: Vec<TrafficPart>,
    /// Whether requests are idempotent and may run more than once.
    pub is_repeatable: bool,
    /// Request timeout, in milliseconds.
    pub timeout_ms: u32,
    /// Target time for a response, in milliseconds.
    pub target_ms: u32,
    /// Maximum number of endpoints that may receive one request.
    pub attempts: u32,
    /// Priority; 0 is the most urgent.
    pub rank: u8,
}

/// Size and time limits on clients.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClientLimits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: u32,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Timeout for receiving a request head, in milliseconds.
    pub header_ms: u32,
    /// Timeout of an idle connection, in milliseconds.
    pub idle_ms: u32,
}

/// A complete configuration. The order of routes is not significant.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MeshConfig {
    /// Version; higher is newer.
    pub version: Generation,
    /// Routes by name.
    pub routes: BTreeMap<RouteName, MeshRoute>,
    /// Limits on clients.
    pub limits: ClientLimits,
}

/// Difference between a configuration and a newer one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigDelta {
    /// Version that the delta applies to; 0 when the delta holds the complete configuration.
    pub base: Generation,
    /// Version of the resulting configuration.
    pub version: Generation,
    /// New and changed routes.
    pub changed: Vec<MeshRoute>,
    /// Names of removed routes.
    pub removed: Vec<RouteName>,
    /// Limits on clients.
    pub limits: ClientLimits,
}

impl MeshConfig {
    /// Returns the delta from `base` to this configuration; the complete configuration without a
    /// `base`.
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

    /// Applies a delta. Returns `None` when the delta does not apply to the version of `base`.
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
    /// Returns the request timeout.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(u64::from(self.timeout_ms))
    }
}

/// Index of routes by host, ordered by descending prefix length.
#[derive(Debug, Default)]
pub struct RouteFinder {
    hosts: HashMap<Box<str>, Vec<(Box<str>, RouteName)>>,
}

impl RouteFinder {
    /// Builds the index of a configuration.
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

    /// Returns the name of the route of `host` with the longest prefix that matches `path`. A port in
    /// `host` is ignored if no route has it.
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

/// Splits the requests of a route between its services by smooth weighted round-robin.
#[derive(Debug, Default)]
pub struct TrafficSplitter {
    credits: HashMap<RouteName, Vec<i64>>,
}

impl TrafficSplitter {
    /// Returns the service for the next request of the route. A single service receives all requests
    /// regardless of its weight. Returns `None` when no service has a weight above zero.
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
