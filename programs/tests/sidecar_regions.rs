//! Allowed regions, evacuated zones and cold endpoints with real sidecars.

mod common;
mod sidecar;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use common::PATIENCE;
use common::caller_threads::pause;
use common::caller_threads::run_while;
use common::hold_for;
use common::wait_for;
use sidecar::row_store::StoreMood;
use sidecar::sidecar_fleet::ConfigTerms;
use sidecar::sidecar_fleet::STALLS;
use sidecar::sidecar_fleet::SidecarFleet;
use sidecar::sidecar_fleet::SidecarPlace;
use sidecar::sidecar_fleet::SidecarProcess;
use sidecar::sidecar_fleet::SidecarTerms;
use sidecar::sidecar_fleet::request;
use standins::relay::RelayMode;

/// Bound on requests to an evacuated zone in these tests.
const EVACUATE_TIME: Duration = Duration::from_millis(3_000);

/// Most requests to a cold endpoint in one second: 14 x 1.5 + 8.
const MOST_IN_SECOND: usize = 29;

const A: SidecarPlace = ("a", "north");
const B: SidecarPlace = ("b", "north");
const C: SidecarPlace = ("c", "south");

fn fleet(places: &[SidecarPlace]) -> SidecarFleet {
    let terms = SidecarTerms {
        bounds: format!(
            "warmup_overage = 1.5\nwarmup_slack = 8\nevacuate_ms = {}",
            EVACUATE_TIME.as_millis()
        ),
        zones: "a = \"north\"\nb = \"north\"\nc = \"south\"".to_owned(),
        ..SidecarTerms::default()
    };
    let members: Vec<_> = places.iter().map(|place| (STALLS, *place)).collect();
    let fleet = SidecarFleet::start_in_zones_with(&terms, &members);
    for sidecar in &fleet.sidecars {
        wait_for(&format!("peers of {}", sidecar.name), PATIENCE, || {
            sidecar.events("peer_reached").len() >= places.len() - 1
        });
    }
    fleet
}

fn limited_route(name: &str, regions: &[&str]) -> String {
    let route = serde_json::json!({"name": name, "authority": "test",
        "prefix": format!("/{name}/"), "kind": "idempotent", "timeout_ms": 2_500,
        "target_latency_ms": 2_000, "priority": 2, "service": STALLS, "attempts": 2,
        "allowed_regions": regions});
    format!(",{route}")
}

fn status(sidecar: &SidecarProcess, path: &str, id: &str) -> u16 {
    let answer = sidecar.call(&request("GET", path, id, 2_000));
    answer.map_or(0, |answer| answer.status)
}

/// Calls the sidecars of `indexes` from two threads each while `act` runs. Returns the statuses of the
/// answers; 0 for none.
fn flood(fleet: &SidecarFleet, indexes: &[usize], act: impl FnOnce()) -> Vec<u16> {
    let work = |number: usize, stop: &AtomicBool| {
        let sidecar = &fleet.sidecars[indexes[number % indexes.len()]];
        let mut statuses = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            let id = format!("flood-{number}-{}", statuses.len());
            statuses.push(status(sidecar, "/free/ok", &id));
            pause(Duration::from_millis(3));
        }
        statuses
    };
    run_while(indexes.len() * 2, work, act).concat()
}

fn wait_closed(sidecar: &SidecarProcess) {
    wait_for("a closed endpoint", PATIENCE, || {
        !sidecar.events("endpoint_closed_for_evacuation").is_empty()
    });
}

/// Guards against a request of a limited route that runs in the region of its client, one that is
/// refused although an allowed region has an endpoint, and one that runs though no region is allowed.
#[test]
fn limited_routes_run_in_their_regions_only() {
    let fleet = fleet(&[A, C]);
    let mut routes = limited_route("south", &["south"]);
    routes.push_str(&limited_route("void", &["nowhere"]));
    fleet.put_config(2, &routes);
    fleet.wait_config(2);
    for sidecar in &fleet.sidecars {
        wait_for(&format!("service at {}", sidecar.name), PATIENCE, || {
            status(sidecar, "/south/ok", "first") == 200
        });
        for number in 0..20 {
            let id = format!("south-{number}");
            assert_eq!(status(sidecar, "/south/ok", &id), 200, "{}", sidecar.name);
        }
        let start = Instant::now();
        assert_eq!(status(sidecar, "/void/ok", "void"), 503);
        assert!(start.elapsed() < Duration::from_secs(1));
        for name in ["request_refused_for_regions", "region_unknown"] {
            wait_for(name, PATIENCE, || !sidecar.events(name).is_empty());
        }
    }
    let north = fleet.endpoints[0].seen();
    let crossed = north.iter().filter(|seen| seen.path.starts_with("/south"));
    assert_eq!(crossed.count(), 0);
    assert_eq!(fleet.runs_of("void"), 0);
}

/// Guards against a retry or a hedged request in a region that is not allowed.
#[test]
fn retries_stay_in_the_allowed_regions() {
    let fleet = fleet(&[A, C]);
    fleet.put_config(2, &limited_route("north", &["north"]));
    fleet.wait_config(2);
    let sidecar = &fleet.sidecars[0];
    for mode in ["fail", "close", "shed", "lost-once", "slow"] {
        for number in 0..3 {
            let id = format!("{mode}-{number}");
            status(sidecar, &format!("/north/{mode}"), &id);
            if mode != "shed" {
                assert!(fleet.endpoints[0].runs_of(&id) > 0, "{id}");
            }
        }
    }
    let south = fleet.endpoints[1].seen();
    let crossed = south.iter().filter(|seen| seen.path.starts_with("/north"));
    assert_eq!(crossed.count(), 0);
}

/// Guards against more requests in a second than a cold endpoint tolerates, across a restart of its
/// daemon, and against one that is cold for good.
#[test]
fn cold_endpoint_stays_under_the_bound_across_a_restart() {
    let mut fleet = fleet(&[A, B]);
    fleet.endpoints[0].set_warmup_left(Duration::from_secs(60));
    let terms = ConfigTerms {
        services: r#"[{"name":"stalls","warmup_s":60,"warmup_per_s":14}]"#.to_owned(),
        ..ConfigTerms::default()
    };
    fleet.put_config_with(2, &terms);
    fleet.wait_config(2);
    wait_for("a cold endpoint", PATIENCE, || {
        fleet.sidecars[0].gauge("endpoint_cold") == 1
    });
    let begun = Instant::now();
    flood(&fleet, &[0, 1], || pause(Duration::from_secs(3)));
    fleet.sidecars[0].restart();
    let restarted = Instant::now();
    flood(&fleet, &[0, 1], || pause(Duration::from_secs(6)));
    let seen = fleet.endpoints[0].seen();
    let times: Vec<_> = seen.iter().map(|seen| seen.at).collect();
    let times: Vec<_> = times.into_iter().filter(|at| *at > begun).collect();
    for (index, first) in times.iter().enumerate() {
        let last = *first + Duration::from_secs(1);
        let count = times[index..].iter().take_while(|at| **at < last).count();
        assert!(count <= MOST_IN_SECOND, "{count} in a second");
    }
    let after = times.iter().filter(|at| **at > restarted).count();
    assert!(after > 10, "{after} requests after the restart");
    fleet.endpoints[0].set_warmup_left(Duration::ZERO);
    wait_for("a warm endpoint", PATIENCE, || {
        fleet.sidecars[0].gauge("endpoint_cold") == 0
    });
}

/// Guards against requests in an evacuated zone after the bound, against refused requests while other
/// zones have capacity, and against a zone that is not used again.
#[test]
fn evacuated_zone_gets_nothing_and_is_used_again() {
    let fleet = fleet(&[A, B]);
    let mut written = Instant::now();
    let statuses = flood(&fleet, &[0, 1], || {
        pause(EVACUATE_TIME);
        fleet.store.put("op", "evacuate/zz", "{}");
        fleet.store.put("op", "evacuate/b", "{}");
        written = Instant::now();
        pause(EVACUATE_TIME * 2);
    });
    let refused = statuses.iter().filter(|status| **status != 200).count();
    assert_eq!(refused, 0, "of {}", statuses.len());
    let seen = fleet.endpoints[1].seen();
    let last = seen.iter().map(|seen| seen.at).max().expect("a request");
    assert!(last < written + EVACUATE_TIME, "{:?}", last - written);
    for sidecar in &fleet.sidecars {
        assert_eq!(sidecar.gauge("zones_evacuated"), 1, "{}", sidecar.name);
    }
    let unknown = |sidecar: &SidecarProcess| sidecar.events("evacuation_of_unknown_zone").len();
    assert!(fleet.sidecars.iter().map(unknown).sum::<usize>() > 0);
    fleet.store.remove("op", "evacuate/b");
    wait_for("requests in the zone", PATIENCE, || {
        status(&fleet.sidecars[1], "/free/ok", "again") == 200
            && fleet.endpoints[1].runs_of("again") > 0
    });
}

/// Guards against a zone that stays evacuated because the order was taken back while it was cut off.
#[test]
fn order_taken_back_while_the_zone_is_cut_off_is_learned() {
    let fleet = fleet(&[A, B]);
    fleet.store.put("op", "evacuate/b", "{}");
    wait_closed(&fleet.sidecars[1]);
    let cut = [
        &fleet.sidecars[0].relay,
        &fleet.sidecars[1].relay,
        &fleet.store_relays[1],
    ];
    for relay in cut {
        relay.set_mode(RelayMode::Cut);
    }
    wait_for("the cut", PATIENCE, || {
        let lost = fleet.sidecars[1].events("store_lost");
        let mut sidecars = fleet.sidecars.iter();
        !lost.is_empty() && sidecars.all(|sidecar| sidecar.gauge("members_live") == 1)
    });
    fleet.store.remove("op", "evacuate/b");
    wait_for("the end in zone a", PATIENCE, || {
        fleet.sidecars[0].gauge("zones_evacuated") == 0
    });
    hold_for("the set in zone b", Duration::from_secs(1), || {
        let changes = fleet.sidecars[1].events("evacuations_changed");
        assert_eq!(changes.len(), 1, "{changes:?}");
        true
    });
    // Only the peer tells of the end.
    for relay in &cut[..2] {
        relay.set_mode(RelayMode::Pass);
    }
    wait_for("requests in the zone", PATIENCE, || {
        status(&fleet.sidecars[1], "/free/ok", "again") == 200
            && fleet.endpoints[1].runs_of("again") > 0
    });
}

/// Guards against a restarted daemon that uses its endpoint before it has heard of the evacuation.
#[test]
fn restarted_daemon_in_an_evacuated_zone_keeps_its_endpoint_closed() {
    let mut fleet = fleet(&[A, B]);
    fleet.store.put("op", "evacuate/b", "{}");
    wait_closed(&fleet.sidecars[1]);
    let closed = Instant::now();
    for mood in [StoreMood::Sound, StoreMood::Silent] {
        fleet.store.set_mood(mood);
        fleet.sidecars[1].restart();
        let statuses = flood(&fleet, &[0, 1], || {
            wait_for("service", PATIENCE, || {
                status(&fleet.sidecars[1], "/free/ok", "restarted") == 200
            });
            pause(EVACUATE_TIME);
        });
        assert!(statuses.contains(&200), "{mood:?}");
        let seen = fleet.endpoints[1].seen();
        let late = seen.iter().filter(|seen| seen.at > closed).count();
        assert_eq!(late, 0, "{mood:?}");
    }
}
