//! Tests of allowed regions: which regions a request may run in, and the links kept for it.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootweir::ids::RegionName;
use coltsfootweir::member::EndpointPhase;
use coltsfootweir::sidecar::member_table::EndpointSummary;
use coltsfootweir::sidecar::member_table::HostSize;
use coltsfootweir::sidecar::member_table::MemberRecord;
use coltsfootweir::sidecar::member_table::StoreReach;
use coltsfootweir::sidecar::mesh_config::ClientLimits;
use coltsfootweir::sidecar::mesh_config::MeshConfig;
use coltsfootweir::sidecar::mesh_config::MeshRoute;
use coltsfootweir::sidecar::mesh_config::RouteTerms;
use coltsfootweir::sidecar::mesh_config::TrafficPart;
use coltsfootweir::sidecar::placement::region_filter::RegionFilter;
use coltsfootweir::sidecar::placement::region_links::RemoteServices;

/// Lists of a route and of a team, the regions allowed by both, and whether there can't be any.
type FilterCase = (
    &'static [&'static str],
    &'static [&'static str],
    &'static [&'static str],
    bool,
);

fn regions(names: &[&str]) -> Vec<RegionName> {
    names.iter().map(|name| (*name).into()).collect()
}

/// Guards against a list that is taken for the union, or an empty one that allows nothing.
#[test]
fn both_lists_apply_and_an_empty_one_allows_all() {
    let cases: [FilterCase; 6] = [
        (&[], &[], &["north", "south"], false),
        (&["north"], &[], &["north"], false),
        (&[], &["south"], &["south"], false),
        (&["north", "south"], &["south"], &["south"], false),
        (&["north"], &["south"], &[], true),
        (&["nowhere"], &[], &[], false),
    ];
    for (route, team, allowed, is_empty) in cases {
        let (route, team) = (regions(route), regions(team));
        let filter = RegionFilter::new(&route, &team);
        for region in ["north", "south"] {
            let expected = allowed.contains(&region);
            assert_eq!(filter.allows(region), expected, "{filter:?} {region}");
        }
        assert_eq!(filter.is_empty(), is_empty, "{filter:?}");
    }
}

fn record(id: &str, region: &str, service: &str) -> MemberRecord {
    MemberRecord {
        id: id.into(),
        incarnation: 1,
        counter: 0,
        address: "127.0.0.1:1".parse().expect("an address"),
        region: region.into(),
        zone: region.into(),
        size: HostSize::default(),
        is_leaving: false,
        store: StoreReach::Unknown,
        endpoint: Some(EndpointSummary {
            id: id.into(),
            service: service.into(),
            version: "v1".into(),
            slots: 2,
            phase: EndpointPhase::Ready,
        }),
        rollout_statuses: Vec::new(),
        crashes: Vec::new(),
    }
}

fn config(allowed: &[&str]) -> MeshConfig {
    let route = MeshRoute {
        name: "free".into(),
        host: "test".into(),
        prefix: "/".into(),
        parts: vec![TrafficPart {
            service: "stalls".into(),
            weight: 1,
        }],
        is_repeatable: true,
        timeout_ms: 1_000,
        target_ms: 1_000,
        attempts: 2,
        rank: 0,
        terms: RouteTerms {
            allowed_regions: regions(allowed),
            ..RouteTerms::default()
        },
    };
    MeshConfig {
        version: 1,
        routes: BTreeMap::from([(route.name.clone(), route)]),
        limits: ClientLimits {
            header_bytes: 1,
            body_bytes: 1,
            header_ms: 1,
            idle_ms: Duration::from_secs(1).as_millis() as u32,
        },
        services: BTreeMap::new(),
        teams: BTreeMap::new(),
    }
}

/// Guards against links to other regions that no request needs, and against a link for each daemon of
/// a large service.
#[test]
fn links_are_kept_where_the_own_region_is_not_allowed() {
    let mut records = vec![record("other", "south", "horses")];
    for number in 0..30 {
        records.push(record(&format!("s-{number}"), "south", "stalls"));
        records.push(record(&format!("n-{number}"), "north", "stalls"));
    }
    for allowed in [&[][..], &["north"], &["north", "south"]] {
        let services = RemoteServices::new(&config(allowed), &"north".into());
        assert!(services.is_empty(), "{allowed:?}");
    }
    let services = RemoteServices::new(&config(&["south"]), &"north".into());
    let picks = |own: &str| {
        let chosen = services.choose(&own.into(), records.iter());
        let ids: Vec<_> = chosen.iter().map(|record| record.id.clone()).collect();
        assert_eq!(ids.len(), 8, "{ids:?}");
        assert!(ids.iter().all(|id| id.starts_with("s-")), "{ids:?}");
        ids
    };
    assert_ne!(picks("n-1"), picks("n-2"));
}
