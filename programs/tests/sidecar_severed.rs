//! Sidecars whose open connections to each other and to the store become silent for good, while new ones
//! work: `deploy/days/severed.toml` in small.

mod common;
mod sidecar;

use std::time::Duration;
use std::time::Instant;

use common::PATIENCE;
use common::caller_threads::pause;
use common::wait_for;
use sidecar::sidecar_fleet::HORSES;
use sidecar::sidecar_fleet::STALLS;
use sidecar::sidecar_fleet::SidecarFleet;
use sidecar::sidecar_fleet::SidecarPlace;
use sidecar::sidecar_fleet::request;
use standins::relay::RelayMode;

/// Time in which a change is to be in force, and from a fault on after which this is asked.
const APPLY_TIME: Duration = Duration::from_millis(2_500);
const STABILITY_TIME: Duration = Duration::from_secs(4);

/// Time in which a departure is to be acknowledged.
const ACK_TIME: Duration = Duration::from_secs(4);

/// Zones of two regions.
const PLACES: [SidecarPlace; 4] = [
    ("a", "north"),
    ("b", "north"),
    ("c", "south"),
    ("d", "south"),
];

fn start_fleet() -> SidecarFleet {
    let mut members = Vec::new();
    for place in PLACES {
        members.extend([(STALLS, place), (STALLS, place), (HORSES, place)]);
    }
    SidecarFleet::start_in_zones(&members)
}

fn sever(fleet: &SidecarFleet) {
    for sidecar in &fleet.sidecars {
        sidecar.relay.set_mode(RelayMode::Sever);
    }
    for relay in &fleet.store_relays {
        relay.set_mode(RelayMode::Sever);
    }
}

/// Guards against departures that are not acknowledged in time, or not kept, as the connections that
/// would tell of them are silent.
#[test]
fn departures_are_acknowledged_when_open_connections_have_become_silent() {
    for settled in [Duration::ZERO, STABILITY_TIME] {
        let mut fleet = start_fleet();
        // Idle connections to the store are there.
        fleet.put_config(2, "");
        fleet.wait_config(2);
        sever(&fleet);
        pause(settled);
        let late = fleet.endpoints[1].late_announcement();
        let start = Instant::now();
        // The endpoint calls again until it is told.
        wait_for("the acknowledgement", PATIENCE, || {
            fleet.endpoints[1].depart()
        });
        let taken = start.elapsed();
        assert!(taken < ACK_TIME, "{taken:?} after {settled:?}");
        fleet.sidecars[1].restart();
        wait_for("service", PATIENCE, || {
            let answer = fleet.sidecars[1].call(&request("GET", "/free/ok", "again", 1_000));
            answer.is_some_and(|answer| answer.status == 200)
        });
        let back = Instant::now();
        late.arrive();
        for number in 0..40 {
            let sidecar = &fleet.sidecars[number % 3];
            sidecar.call(&request(
                "GET",
                "/free/ok",
                &format!("late-{number}"),
                1_000,
            ));
        }
        let seen = fleet.endpoints[1].seen();
        assert!(seen.iter().all(|seen| seen.at < back), "used again");
    }
}

/// Guards against a configuration that is late because those that watch the store, or that pass it on,
/// wait on silent connections.
#[test]
fn configurations_are_in_force_in_time_after_open_connections_became_silent() {
    let fleet = start_fleet();
    for (version, settled) in [(2, STABILITY_TIME), (3, Duration::from_millis(4_500))] {
        sever(&fleet);
        pause(settled);
        let start = Instant::now();
        fleet.put_config(version, "");
        fleet.wait_config(version);
        let taken = start.elapsed();
        assert!(taken < APPLY_TIME, "{taken:?} after {settled:?}");
        for sidecar in &fleet.sidecars {
            let path = format!("/v{version}/ok");
            assert_eq!(sidecar.get(&path, "new").status, 200, "{}", sidecar.name);
        }
    }
}
