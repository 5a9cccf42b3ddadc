//! Bad versions are taken back under failures of the store and of the acting member; good ones end
//! done beside them.

mod common;

use std::time::Duration;
use std::time::Instant;

use coltsfootweir::record::MovePhase;

use common::PATIENCE;
use common::json_http::post_json;
use common::move_traffic::MoveTraffic;
use common::move_traffic::SeenAnswer;
use common::process_fleet::ProcessFleet;
use common::wait_for;

/// Time after which a fault that shows must be answered on every daemon.
const REACTION: Duration = Duration::from_secs(19);

/// Time without an answer of a version that shows it gets no work.
const SILENCE: Duration = Duration::from_secs(3);

/// Share of the bookings that a bad version may get.
const SMALL_SHARE: f64 = 0.10;

/// Time asked for a good move; above `PaceLimits::least_time` of the pace that the fleet is started with.
const ASKED: Duration = Duration::from_secs(40);

const FAILING: &str = r#"{"fail_percent": 100}"#;

fn bookings_of<'a>(seen: &'a [SeenAnswer], version: &str) -> usize {
    let of_version = |answer: &&'a SeenAnswer| answer.version.as_deref() == Some(version);
    seen.iter()
        .filter(|answer| answer.is_booking)
        .filter(of_version)
        .count()
}

fn assert_small_share(traffic: &MoveTraffic) {
    let seen = traffic.seen();
    let (new, old) = (bookings_of(&seen, "v2"), bookings_of(&seen, "v1"));
    let share = new as f64 / (new + old) as f64;
    assert!(
        share <= SMALL_SHARE,
        "bad version got {new} of {} bookings",
        new + old
    );
}

/// Starts three endpoints of each version of `stalls` and others, and accepts their services.
fn start_fleet(others: &[&str], services: &[&str]) -> ProcessFleet {
    let mut endpoints = vec!["stalls/v1"; 3];
    endpoints.extend(["stalls/v2"; 3]);
    endpoints.extend(others);
    let fleet = ProcessFleet::start_versions(&endpoints);
    services.iter().for_each(|own| fleet.apply_service(own));
    fleet.wait_ready(services.len() as u64);
    fleet
}

fn is_silent(traffic: &MoveTraffic, version: &str) -> bool {
    let silence = traffic.since_last(version);
    silence.is_some_and(|silence| silence > SILENCE)
}

fn wait_phase(fleet: &ProcessFleet, service: &str, phase: MovePhase) {
    wait_for(&format!("{service} {phase:?}"), PATIENCE, || {
        let record = fleet.read_move(service);
        record.is_some_and(|record| record.phase == phase)
    });
}

#[test]
fn bad_version_is_taken_back_with_the_store_down_while_another_move_ends_done() {
    let horses = ["horses/v1", "horses/v1", "horses/v2", "horses/v2"];
    let fleet = start_fleet(&horses, &["stalls", "horses"]);
    let stalls = MoveTraffic::start("stalls", &fleet.calls());
    let horses = MoveTraffic::start("horses", &fleet.calls());
    fleet.apply_move("stalls", 40);
    fleet.wait_share("stalls", 5);
    fleet.set_outage(true);
    assert_eq!(fleet.spoil("stalls", "v2", FAILING), 3);
    wait_for(
        "no work for the bad version, store down",
        REACTION + SILENCE,
        || is_silent(&stalls, "v2"),
    );
    assert!(fleet.read_move("stalls").is_none(), "the store is down");
    assert_small_share(&stalls);
    fleet.set_outage(false);
    wait_phase(&fleet, "stalls", MovePhase::TakenBack);
    let record = fleet.read_move("stalls").expect("move is accepted");
    assert!(!record.reason.is_empty());
    fleet.apply_move("horses", ASKED.as_secs());
    let start = Instant::now();
    wait_phase(&fleet, "horses", MovePhase::Done);
    assert!(start.elapsed() <= ASKED, "done after {:?}", start.elapsed());
    assert!(is_silent(&stalls, "v2"));
    assert!(
        horses
            .since_last("v1")
            .is_some_and(|silence| silence < PATIENCE)
    );
}

#[test]
fn frozen_acting_member_neither_delays_nor_revives_a_bad_move() {
    let fleet = start_fleet(&["none/v1"], &["stalls"]);
    fleet.apply_move("stalls", 60);
    fleet.wait_share("stalls", 1);
    let holder = fleet
        .lease_holder("stalls")
        .expect("a member holds the lease");
    let frozen = fleet
        .daemons
        .iter()
        .find(|daemon| daemon.control == holder)
        .expect("known");
    let live: Vec<_> = fleet
        .daemons
        .iter()
        .filter(|daemon| daemon.control != holder)
        .map(|daemon| daemon.calls)
        .collect();
    let traffic = MoveTraffic::start("stalls", &live);
    fleet.wait_share("stalls", 5);
    frozen.process.signal("STOP");
    fleet.spoil("stalls", "v2", FAILING);
    wait_for("no work for the bad version", REACTION + SILENCE, || {
        is_silent(&traffic, "v2")
    });
    wait_phase(&fleet, "stalls", MovePhase::TakenBack);
    frozen.process.signal("CONT");
    let resumed = Instant::now();
    wait_for(
        "resumed member changed nothing for a while",
        PATIENCE,
        || {
            let record = fleet.read_move("stalls").expect("move is accepted");
            assert_eq!(record.phase, MovePhase::TakenBack);
            assert_eq!((record.share.checks, record.share.bookings), (0, 0));
            resumed.elapsed() > Duration::from_secs(6)
        },
    );
    assert!(is_silent(&traffic, "v2"));
    assert_small_share(&traffic);
}

#[test]
fn good_version_with_one_bad_endpoint_is_not_taken_back() {
    let fleet = start_fleet(&[], &["stalls"]);
    let bad = fleet.upstreams[4].address;
    post_json(
        bad,
        "/standin/faults",
        r#"{"fail_percent": 60, "misleading_health": true}"#,
    );
    let _traffic = MoveTraffic::start("stalls", &fleet.calls());
    fleet.apply_move("stalls", 45);
    wait_for("move ended", PATIENCE, || {
        fleet
            .read_move("stalls")
            .is_some_and(|record| record.phase.is_ended())
    });
    let record = fleet.read_move("stalls").expect("move is accepted");
    assert_eq!(record.phase, MovePhase::Done, "{}", record.reason);
}
