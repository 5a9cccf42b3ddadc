//! Mesh configuration, route lookup and traffic splitting.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Generation;
use crate::ids::RegionName;
use crate::ids::RouteName;
use crate::ids::ServiceName;
use crate::sidecar::teams::team::Team;
use crate::sidecar::teams::team::TeamName;

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
    /// Terms that few deployments use.
    #[serde(default, skip_serializing_if = "RouteTerms::is_default")]
    pub terms: RouteTerms,
}

/// Terms of a route that few deployments use. They are not sent between daemons when unused, so that
/// earlier builds can read the routes of other deployments.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RouteTerms {
    /// Regions in which the route's requests may run and be stored; empty for all.
    pub allowed_regions: Vec<RegionName>,
    /// Whether requests without an API key are allowed in a configuration with teams.
    pub allows_anonymous: bool,
    /// Whether requests have large bodies.
    pub is_upload: bool,
}

impl RouteTerms {
    fn is_default(&self) -> bool {
        *self == RouteTerms::default()
    }
}

/// Terms of a service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ServiceTerms {
    /// Requests per second that a cold endpoint tolerates; 0 if its endpoints are never paced.
    pub warmup_per_s: f64,
    /// Time for which an endpoint is cold after its start, in milliseconds.
    pub warmup_ms: u32,
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

impl ClientLimits {
    /// Limits before the first configuration.
    pub const DEFAULT: ClientLimits = ClientLimits {
        header_bytes: 16 * 1024,
        body_bytes: 1024 * 1024,
        header_ms: 5_000,
        idle_ms: 15_000,
    };

    /// Returns the larger one of each limit, for input that began under one set and goes on under the other.
    #[must_use]
    pub fn or_larger(self, other: ClientLimits) -> ClientLimits {
        ClientLimits {
            header_bytes: self.header_bytes.max(other.header_bytes),
            body_bytes: self.body_bytes.max(other.body_bytes),
            header_ms: self.header_ms.max(other.header_ms),
            idle_ms: self.idle_ms.max(other.idle_ms),
        }
    }
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
    /// Terms of services by name, of those that have any.
    pub services: BTreeMap<ServiceName, ServiceTerms>,
    /// Teams by name; empty if requests need no API key.
    pub teams: BTreeMap<TeamName, Team>,
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
    /// Changes of services and teams.
    #[serde(default, skip_serializing_if = "DeltaTerms::is_default")]
    pub terms: DeltaTerms,
}

/// Changes of services and teams in a [`ConfigDelta`]. They are not sent when there are none, so that
/// earlier builds can read the deltas of other deployments.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct DeltaTerms {
    /// Terms of all services, if any of them changed.
    pub services: Option<BTreeMap<ServiceName, ServiceTerms>>,
    /// New and changed teams.
    pub changed_teams: Vec<Team>,
    /// Names of removed teams.
    pub removed_teams: Vec<TeamName>,
}

impl DeltaTerms {
    fn is_default(&self) -> bool {
        *self == DeltaTerms::default()
    }
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
            terms: DeltaTerms::default(),
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
        let no_services = BTreeMap::new();
        if base.map_or(&no_services, |base| &base.services) != &self.services {
            delta.terms.services = Some(self.services.clone());
        }
        for (name, team) in &self.teams {
            if base.and_then(|base| base.teams.get(name)) != Some(team) {
                delta.terms.changed_teams.push(team.clone());
            }
        }
        for name in base.iter().flat_map(|base| base.teams.keys()) {
            if !self.teams.contains_key(name) {
                delta.terms.removed_teams.push(name.clone());
            }
        }
        delta
    }

    /// Applies a delta. Returns `None` when the delta does not apply to the version of `base`.
    #[must_use]
    pub fn apply(base: Option<&MeshConfig>, delta: ConfigDelta) -> Option<MeshConfig> {
        let base = match base {
            _ if delta.base == 0 => None,
            Some(base) if base.version == delta.base => Some(base),
            _ => return None,
        };
        let mut routes = base.map_or_else(BTreeMap::new, |base| base.routes.clone());
        let mut teams = base.map_or_else(BTreeMap::new, |base| base.teams.clone());
        let services = match delta.terms.services {
            Some(services) => services,
            None => base.map_or_else(BTreeMap::new, |base| base.services.clone()),
        };
        for name in &delta.removed {
            routes.remove(name);
        }
        for route in delta.changed {
            routes.insert(route.name.clone(), route);
        }
        for name in &delta.terms.removed_teams {
            teams.remove(name);
        }
        for team in delta.terms.changed_teams {
            teams.insert(team.name.clone(), team);
        }
        Some(MeshConfig {
            version: delta.version,
            routes,
            limits: delta.limits,
            services,
            teams,
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
#[derive(Clone, Debug, Default)]
pub struct TrafficSplitter {
    credits: HashMap<RouteName, RouteCredits>,
}

/// Credits of the parts of a route, in their order.
#[derive(Clone, Debug, Default)]
struct RouteCredits {
    /// Parts for which the credits were given. Those for other weights are of another scale.
    parts: Vec<TrafficPart>,
    credits: Vec<i64>,
}

impl RouteCredits {
    /// Converts the credits to the scale of other weights, or drops them if the parts are others.
    fn follow(&mut self, parts: &[TrafficPart]) {
        let services = |parts: &[TrafficPart]| -> Vec<ServiceName> {
            parts.iter().map(|part| part.service.clone()).collect()
        };
        let (before, total) = (total_weight(&self.parts), total_weight(parts));
        if before == 0 || services(&self.parts) != services(parts) {
            self.credits = vec![0; parts.len()];
        }
        for credit in &mut self.credits {
            let scaled = i128::from(*credit) * i128::from(total) / i128::from(before.max(1));
            *credit = i64::try_from(scaled).unwrap_or(0);
        }
        self.parts = parts.to_vec();
    }
}

fn total_weight(parts: &[TrafficPart]) -> i64 {
    parts.iter().map(|part| i64::from(part.weight)).sum()
}

impl TrafficSplitter {
    /// Returns the service for the next request of the route. A single service receives all requests
    /// regardless of its weight. Returns `None` when no service has a weight above zero.
    pub fn next_service<'r>(&mut self, route: &'r MeshRoute) -> Option<&'r ServiceName> {
        if let [only] = route.parts.as_slice() {
            return Some(&only.service);
        }
        let total = total_weight(&route.parts);
        let held = self.credits.entry(route.name.clone()).or_default();
        if held.parts != route.parts {
            held.follow(&route.parts);
        }
        let credits = &mut held.credits;
        for (credit, part) in credits.iter_mut().zip(&route.parts) {
            *credit += i64::from(part.weight);
        }
        let weighted = (0..credits.len()).filter(|index| route.parts[*index].weight > 0);
        let chosen = weighted.max_by_key(|index| credits[*index])?;
        credits[chosen] -= total;
        Some(&route.parts[chosen].service)
    }
}
