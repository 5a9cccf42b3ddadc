//! Mesh configurations: only newer versions are activated, deltas lead to the same configuration as
//! full ones, and routes are found by host and longest prefix.

use std::collections::BTreeMap;

use coltsfootweir::sidecar::config_holder::ConfigHolder;
use coltsfootweir::sidecar::mesh_config::ClientLimits;
use coltsfootweir::sidecar::mesh_config::MeshConfig;
use coltsfootweir::sidecar::mesh_config::MeshRoute;
use coltsfootweir::sidecar::mesh_config::RouteFinder;
use coltsfootweir::sidecar::mesh_config::RouteTerms;
use coltsfootweir::sidecar::mesh_config::TrafficPart;
use coltsfootweir::sidecar::mesh_config::TrafficSplitter;
use proptest::prelude::*;

fn route(name: &str, prefix: &str, weights: &[(&str, u32)], rank: u8) -> MeshRoute {
    let mut parts = Vec::new();
    for (service, weight) in weights {
        parts.push(TrafficPart {
            service: (*service).into(),
            weight: *weight,
        });
    }
    MeshRoute {
        name: name.into(),
        host: "stalls.example".into(),
        prefix: prefix.into(),
        parts,
        is_repeatable: true,
        timeout_ms: 1_000,
        target_ms: 300,
        attempts: 2,
        rank,
        terms: RouteTerms::default(),
    }
}

fn config(version: u64, routes: &[MeshRoute]) -> MeshConfig {
    let mut named = BTreeMap::new();
    for route in routes {
        named.insert(route.name.clone(), route.clone());
    }
    MeshConfig {
        version,
        routes: named,
        limits: ClientLimits {
            header_bytes: 16_384,
            body_bytes: 65_536,
            header_ms: 3_000,
            idle_ms: 15_000,
        },
        services: BTreeMap::new(),
        teams: BTreeMap::new(),
    }
}

#[test]
fn older_configuration_is_ignored() {
    let holder = ConfigHolder::default();
    assert!(holder.adopt(config(7, &[]), "store"));
    assert!(!holder.adopt(config(6, &[]), "store"));
    assert!(!holder.adopt(config(7, &[]), "store"));
    assert_eq!(holder.version(), 7);
}

#[test]
fn delta_for_another_base_is_ignored() {
    let sender = ConfigHolder::default();
    sender.adopt(config(3, &[route("a", "/a/", &[("s", 1)], 0)]), "store");
    sender.adopt(config(5, &[route("b", "/b/", &[("s", 1)], 0)]), "store");
    let delta = sender.delta_from(3).expect("a newer configuration");
    assert_eq!(delta.base, 3);
    let receiver = ConfigHolder::default();
    receiver.adopt(config(2, &[]), "store");
    assert!(!receiver.adopt_delta(delta, "peer"));
    assert_eq!(receiver.version(), 2);
    // A version without kept changes gets the whole configuration.
    let whole = sender.delta_from(2).expect("a newer configuration");
    assert_eq!(whole.base, 0);
    assert!(receiver.adopt_delta(whole, "peer"));
    assert_eq!(receiver.version(), 5);
}

#[test]
fn longest_prefix_of_the_host_wins() {
    let routes = [
        route("short", "/a/", &[("s", 1)], 0),
        route("long", "/a/b/", &[("s", 1)], 0),
    ];
    let finder = RouteFinder::new(&config(1, &routes));
    let find = |host, path| finder.find(host, path).map(|name| &**name);
    assert_eq!(find("stalls.example", "/a/b/c"), Some("long"));
    assert_eq!(find("Stalls.Example:80", "/a/x"), Some("short"));
    assert_eq!(find("stalls.example", "/a"), None);
    assert_eq!(find("other.example", "/a/b/c"), None);
}

#[test]
fn traffic_is_split_by_weight_within_few_requests() {
    let route = route("split", "/", &[("s", 90), ("t", 10)], 0);
    let mut splitter = TrafficSplitter::default();
    for _ in 0..10 {
        let mut counts = BTreeMap::new();
        for _ in 0..20 {
            let service = splitter.next_service(&route).expect("a part").clone();
            *counts.entry(service).or_insert(0) += 1;
        }
        assert_eq!(counts.get("t"), Some(&2));
    }
}

/// Guards against credits of the weights of before: when a configuration scales the weights down, one part
/// would get all requests for some thousands.
#[test]
fn traffic_is_split_by_the_new_weights_from_the_next_request_on() {
    let mut splitter = TrafficSplitter::default();
    let large = route("split", "/", &[("s", 9_000_000), ("t", 1_000_000)], 0);
    for _ in 0..5 {
        splitter.next_service(&large);
    }
    for parts in [[("s", 900), ("t", 100)], [("s", 100), ("t", 900)]] {
        let small = route("split", "/", &parts, 0);
        let mut count = 0;
        for _ in 0..20 {
            let service = splitter.next_service(&small).expect("a part");
            count += u32::from(&**service == "t");
        }
        // One request of a part may be due from before.
        let due = parts[1].1 / 50;
        assert!(count.abs_diff(due) <= 1, "{count} of {due}");
    }
}

#[test]
fn part_without_weight_gets_nothing() {
    let route = route("split", "/", &[("s", 0), ("t", 5)], 0);
    let mut splitter = TrafficSplitter::default();
    for _ in 0..20 {
        assert_eq!(
            splitter.next_service(&route).map(|service| &**service),
            Some("t")
        );
    }
}

#[test]
fn all_but_the_last_rank_of_a_service_are_preferred() {
    let routes = [
        route("lookup", "/l/", &[("stalls", 1)], 2),
        route("booking", "/b/", &[("stalls", 1)], 1),
        route("health", "/h/", &[("horses", 1)], 1),
    ];
    let holder = ConfigHolder::default();
    holder.adopt(config(1, &routes), "store");
    let active = holder.active().expect("a configuration");
    assert!(active.is_preferred(&"stalls".into(), 1));
    assert!(!active.is_preferred(&"stalls".into(), 2));
    assert!(!active.is_preferred(&"horses".into(), 1));
}

proptest! {
    /// A delta applied to its base yields the configuration from which it was made.
    #[test]
    fn delta_yields_the_newer_configuration(
        before in prop::collection::btree_map(0_u8..12, 0_u8..3, 0..8),
        after in prop::collection::btree_map(0_u8..12, 0_u8..3, 0..8),
    ) {
        let make = |version, routes: &BTreeMap<u8, u8>| {
            let mut list = Vec::new();
            for (name, rank) in routes {
                list.push(route(&format!("r{name}"), &format!("/{name}/"), &[("s", 1)], *rank));
            }
            config(version, &list)
        };
        let (old, new) = (make(3, &before), make(4, &after));
        let delta = new.delta_from(Some(&old));
        prop_assert_eq!(MeshConfig::apply(Some(&old), delta), Some(new.clone()));
        prop_assert_eq!(MeshConfig::apply(None, new.delta_from(None)), Some(new));
    }
}
