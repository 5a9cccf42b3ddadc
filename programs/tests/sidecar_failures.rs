//! Sidecars as processes while the store, endpoints, daemons and orders fail or change.

mod common;
mod sidecar;

use std::time::Duration;
use std::time::Instant;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use common::PATIENCE;
use common::caller::KeptCaller;
use common::hold_for;
use common::wait_for;
use serde_json::json;
use sidecar::rollout_traffic::drive_rollout;
use sidecar::row_store::StoreMood;
use sidecar::sidecar_fleet::HORSES;
use sidecar::sidecar_fleet::STALLS;
use sidecar::sidecar_fleet::SidecarFleet;
use sidecar::sidecar_fleet::request;

/// Time after SIGTERM at which a daemon still takes requests.
const LATE_IN_STOP: Duration = Duration::from_millis(1_500);

/// Time in which a change is to be in force.
const APPLY_TIME: Duration = Duration::from_millis(2_500);

#[test]
fn nothing_reaches_an_endpoint_that_leaves() {
    let fleet = SidecarFleet::start_ready(&[(HORSES, "v1"), (STALLS, "v1"), (STALLS, "v1")]);
    assert!(fleet.endpoints[1].leave(), "no acknowledgement");
    let left = Instant::now();
    for number in 0..40 {
        let answer = fleet.sidecars[number % 3].get("/free/ok", &format!("after-{number}"));
        assert_eq!(answer.status, 200);
    }
    let seen = fleet.endpoints[1].seen();
    assert!(
        seen.iter().all(|seen| seen.at < left),
        "run after the acknowledgement"
    );
    assert!(fleet.endpoints[1].depart());
}

#[test]
fn junk_announcements_change_nothing() {
    let fleet = SidecarFleet::start_ready(&[(STALLS, "v1")]);
    let endpoint = &fleet.endpoints[0];
    let status = endpoint.announce_body("i-0", "{\"address\":7}");
    assert_eq!(status, Some(400));
    let forged = json!({"address": "127.0.0.1:9", "born": 1_800_000_000_000_u64,
        "info": {"service": STALLS, "version": "v9", "zone": "a", "capacity": 9},
        "status": {"state": "healthy", "sequence": 1, "warmup_left_ms": 0}});
    endpoint.announce_body("i-9", &forged.to_string());
    assert_eq!(fleet.sidecars[0].get("/free/ok", "still").status, 200);
    wait_for("the log line", PATIENCE, || {
        !fleet.sidecars[0]
            .events("announcement_unreadable")
            .is_empty()
    });
}

/// Guards against one odd row among those of the daemons, or of the orders, that ends those that read it
/// or keeps them from the others.
#[test]
fn odd_rows_of_another_writer_are_passed_over() {
    let mut fleet = SidecarFleet::start_ready(&[(STALLS, "v1"), (HORSES, "v1")]);
    for (number, value) in [
        "no base 64".to_owned(),
        STANDARD.encode("no record"),
        // Lists in lists, in the format of the rows.
        STANDARD.encode(vec![0x91; 100_000]),
        STANDARD.encode([&[0x9c, 0xa4][..], b"vm-1", &[0xcf], &[0xff; 8], &[0x93; 60]].concat()),
        String::new(),
    ]
    .into_iter()
    .enumerate()
    {
        for table in ["members", "op"] {
            let key = format!("odd-{number}");
            fleet.store.put_encoded(table, &key, value.clone());
        }
    }
    // A daemon that starts reads all rows.
    fleet.add(STALLS, "v1");
    fleet.put_config(4, "");
    fleet.wait_config(4);
    fleet.wait_endpoints();
    for sidecar in &mut fleet.sidecars {
        assert!(!sidecar.has_ended(), "{}", sidecar.name);
        assert_eq!(sidecar.get("/v4/ok", "new").status, 200);
    }
    assert!(!fleet.sidecars[2].events("member_row_unreadable").is_empty());
}

#[test]
fn configurations_go_forward_and_unreadable_ones_change_nothing() {
    let fleet = SidecarFleet::start_ready(&[(STALLS, "v1"), (HORSES, "v1")]);
    fleet.put_config(5, "");
    let taken = wait_for("version 5", PATIENCE, || {
        fleet
            .sidecars
            .iter()
            .all(|sidecar| sidecar.config_version() == 5)
    });
    assert!(taken < APPLY_TIME, "{taken:?}");
    assert_eq!(fleet.sidecars[0].get("/v5/ok", "new").status, 200);
    assert_eq!(fleet.sidecars[0].get("/v1/ok", "old").status, 404);
    let hold_version = |what: &str| {
        hold_for(what, Duration::from_millis(600), || {
            let mut sidecars = fleet.sidecars.iter();
            sidecars.all(|sidecar| sidecar.config_version() == 5)
        });
    };
    fleet.put_config(3, "");
    hold_version("version 5 over an older one");
    fleet.store.put("op", "config", "{\"version\":\"00000009\"");
    hold_version("version 5 over an unreadable one");
    fleet.put_config(12, "");
    fleet.wait_config(12);
}

/// A storm of changes of which the history is dropped twice.
#[test]
fn storm_of_changes_ends_in_the_last_one_everywhere() {
    let fleet = SidecarFleet::start_ready(&[(STALLS, "v1"), (HORSES, "v1"), (STALLS, "v1")]);
    for version in 2..30 {
        fleet.put_config(version, "");
        if version % 10 == 0 {
            fleet.store.forget_history();
        }
        common::caller_threads::pause(Duration::from_millis(40));
    }
    let start = Instant::now();
    fleet.wait_config(29);
    assert!(start.elapsed() < APPLY_TIME);
}

#[test]
fn sidecars_serve_on_and_take_changes_up_when_the_store_is_back() {
    let moods = [
        StoreMood::Silent,
        StoreMood::Refusing(503),
        StoreMood::LosesAnswers,
    ];
    let fleet = SidecarFleet::start_ready(&[(STALLS, "v1"), (HORSES, "v1")]);
    for (number, mood) in moods.into_iter().enumerate() {
        let version = 10 * (number as u64 + 1);
        fleet.store.set_mood(mood);
        fleet.put_config(version, "");
        for call in 0..10 {
            let answer = fleet.sidecars[call % 2].get("/free/ok", &format!("{mood:?}-{call}"));
            assert_eq!(answer.status, 200, "{mood:?}");
        }
        fleet.store.set_mood(StoreMood::Sound);
        let start = Instant::now();
        fleet.wait_config(version);
        let taken = start.elapsed();
        // A watch that went silent is noticed after its wait and the limit of a call.
        assert!(taken < Duration::from_secs(6), "{mood:?}: {taken:?}");
    }
}

/// The store turns silent to the daemons that watch it for the others, and answers all the rest.
#[test]
fn changes_go_on_when_the_store_is_silent_to_those_that_watch_it() {
    let endpoints = [STALLS, STALLS, STALLS, HORSES, HORSES].map(|service| (service, "v1"));
    let fleet = SidecarFleet::start_ready(&endpoints);
    // All reach the store equally well, so the first ones by name watch it.
    for store in &fleet.stores[..2] {
        store.silence_address();
    }
    let start = Instant::now();
    fleet.put_config(7, "");
    fleet.wait_config(7);
    let taken = start.elapsed();
    assert!(taken < APPLY_TIME, "{taken:?}");
}

/// A daemon that starts while the store is away has the configuration from its peers, and never
/// answers as if there were no route.
#[test]
fn restarted_daemon_learns_the_configuration_from_peers() {
    let mut fleet = SidecarFleet::start_ready(&[(STALLS, "v1"), (STALLS, "v1")]);
    fleet.store.set_mood(StoreMood::Silent);
    fleet.sidecars[0].restart();
    wait_for("the configuration", PATIENCE, || {
        let spec = request("GET", "/free/ok", "again", 1_000);
        let Some(answer) = fleet.sidecars[0].call(&spec) else {
            return false;
        };
        assert_ne!(answer.status, 404);
        answer.status == 200
    });
    hold_for("service", Duration::from_millis(500), || {
        fleet.sidecars[0].get("/free/ok", "on").status == 200
    });
}

#[test]
fn killed_daemon_takes_no_request_with_it() {
    let mut fleet = SidecarFleet::start_ready(&[(HORSES, "v1"), (STALLS, "v1"), (STALLS, "v1")]);
    fleet.sidecars[1].kill();
    let mut failed = 0;
    for number in 0..50 {
        let answer = fleet.sidecars[0].get("/free/ok", &format!("kill-{number}"));
        failed += u32::from(answer.status != 200);
    }
    assert_eq!(failed, 0);
}

/// The address of a daemon that is gone is given to a new one.
#[test]
fn daemon_at_a_used_address_is_not_taken_for_the_one_before() {
    let mut fleet = SidecarFleet::start_ready(&[(HORSES, "v1"), (STALLS, "v1"), (STALLS, "v1")]);
    let peers = fleet.sidecars[1].peers;
    fleet.sidecars[1].kill();
    fleet.add_at(STALLS, "v1", peers);
    wait_for("the new daemon", PATIENCE, || {
        let replaced = fleet.sidecars[0].events("peer_replaced");
        replaced
            .iter()
            .any(|event| event["peer"] == "vm-1" && event["by"] == "vm-3")
    });
    wait_for("requests at the new daemon", PATIENCE, || {
        let answer = fleet.sidecars[0].get("/free/ok", "new");
        assert_eq!(answer.status, 200);
        fleet.endpoints[3].runs_of("new") > 0
    });
    assert_eq!(
        fleet.runs_of("new"),
        fleet.endpoints[2].runs_of("new") + fleet.endpoints[3].runs_of("new")
    );
}

/// A frozen daemon's links stay open without a sign of life.
#[test]
fn frozen_daemon_is_passed_over_within_a_second() {
    let fleet = SidecarFleet::start_ready(&[(HORSES, "v1"), (STALLS, "v1"), (STALLS, "v1")]);
    fleet.sidecars[1].signal("STOP");
    let frozen = Instant::now();
    wait_for("quick answers", PATIENCE, || {
        let start = Instant::now();
        let mut quick = 0;
        for number in 0..8 {
            let answer = fleet.sidecars[0].get("/free/ok", &format!("frozen-{number}"));
            quick += u32::from(answer.status == 200);
        }
        quick == 8 && start.elapsed() < Duration::from_millis(300)
    });
    assert!(frozen.elapsed() < Duration::from_secs(5));
    fleet.sidecars[1].signal("CONT");
    wait_for("its return", PATIENCE, || {
        fleet.sidecars[1].get("/free/ok", "back").status == 200
    });
}

/// The store takes writes one after the other, so many daemons that come back at once only read.
#[test]
fn daemons_that_all_lose_power_serve_again_without_writing_rows() {
    let endpoints = [HORSES, STALLS, STALLS, STALLS].map(|service| (service, "v1"));
    let mut fleet = SidecarFleet::start_ready(&endpoints);
    let written = fleet.store.written();
    assert_eq!(written, 4);
    for sidecar in &mut fleet.sidecars {
        sidecar.kill();
    }
    for sidecar in &mut fleet.sidecars {
        sidecar.restart();
    }
    fleet.wait_endpoints();
    assert_eq!(fleet.store.written(), written);
    assert_eq!(fleet.store.count("members"), 4);
}

/// A daemon that stands still for longer than a silent link is borne, beside the only endpoint.
#[test]
fn answer_is_waited_for_when_no_other_endpoint_can_take_the_request() {
    let fleet = SidecarFleet::start_ready(&[(HORSES, "v1"), (STALLS, "v1")]);
    let requests = fleet.sidecars[0].requests;
    let running = std::thread::spawn(move || {
        let spec = request("GET", "/free/slower", "waited", 2_400);
        common::caller::call_once(requests, &spec).whole()
    });
    wait_for("the run", PATIENCE, || fleet.runs_of("waited") == 1);
    fleet.sidecars[1].signal("STOP");
    wait_for("the silence", PATIENCE, || {
        !fleet.sidecars[0].events("peer_silent").is_empty()
    });
    fleet.sidecars[1].signal("CONT");
    let answer = running.join().expect("no panic").expect("a whole answer");
    assert_eq!(answer.status, 200);
    assert_eq!(fleet.runs_of("waited"), 1);
}

#[test]
fn stopping_daemon_finishes_what_runs_and_ends_in_time() {
    let mut fleet = SidecarFleet::start_ready(&[(STALLS, "v1"), (STALLS, "v1")]);
    let rows = fleet.store.count("members");
    let requests = fleet.sidecars[0].requests;
    let running = std::thread::spawn(move || {
        let spec = request("GET", "/free/slow", "running", 2_000);
        common::caller::call_once(requests, &spec).whole()
    });
    let mut kept = KeptCaller::new(requests);
    let first = kept.call(&request("GET", "/free/ok", "before", 1_000));
    assert_eq!(first.whole().expect("a whole answer").status, 200);
    // It may run at both endpoints, as it may be repeated.
    wait_for("the run", PATIENCE, || fleet.runs_of("running") > 0);
    fleet.sidecars[0].signal("TERM");
    let start = Instant::now();
    wait_for("not ready", PATIENCE, || !fleet.sidecars[0].is_ready());
    let answer = kept.call(&request("GET", "/free/ok", "after", 1_000));
    let answer = answer.whole().expect("kept connections are served on");
    assert_eq!((answer.status, answer.header("connection")), (200, "close"));
    let answer = running.join().expect("no panic").expect("a whole answer");
    assert_eq!(answer.status, 200);
    // A request of two seconds that comes late in the time in which clients still come.
    common::caller_threads::pause(LATE_IN_STOP.saturating_sub(start.elapsed()));
    let spec = request("GET", "/free/slower", "last", 2_500);
    let last = common::caller::call_once(requests, &spec).whole();
    assert_eq!(last.expect("a whole answer").status, 200);
    wait_for("the end", PATIENCE, || fleet.sidecars[0].has_ended());
    assert!(start.elapsed() < Duration::from_secs(5));
    assert_eq!(
        fleet.store.count("members"),
        rows - 1,
        "the own row is removed"
    );
    assert_eq!(fleet.sidecars[1].get("/free/ok", "other").status, 200);
}

#[test]
fn changed_settings_are_taken_in_without_losing_a_connection() {
    let fleet = SidecarFleet::start_ready(&[(STALLS, "v1")]);
    let sidecar = &fleet.sidecars[0];
    let mut kept = KeptCaller::new(sidecar.requests);
    let text = std::fs::read_to_string(&sidecar.settings).expect("settings");
    std::fs::write(&sidecar.settings, "nonsense").expect("a file");
    sidecar.signal("HUP");
    wait_for("the refusal", PATIENCE, || {
        !sidecar.events("settings_refused").is_empty()
    });
    std::fs::write(&sidecar.settings, text.replace("= 400", "= 600")).expect("a file");
    sidecar.signal("HUP");
    wait_for("the change", PATIENCE, || {
        let reloads = sidecar.events("settings_reloaded");
        reloads.iter().any(|event| event["changed"] == true)
    });
    let answer = kept.call(&request("GET", "/free/ok", "kept", 1_000));
    assert_eq!(answer.whole().expect("a whole answer").status, 200);
}

/// Guards against an address of the store that is read at the start only: no configuration would arrive any
/// more (review/14).
#[test]
fn store_is_called_at_the_address_that_the_settings_name_now() {
    let fleet = SidecarFleet::start_ready(&[(STALLS, "v1"), (HORSES, "v1")]);
    for (sidecar, relay) in fleet.sidecars.iter().zip(&fleet.store_relays) {
        let text = std::fs::read_to_string(&sidecar.settings).expect("settings");
        let (old, new) = (relay.address(), fleet.store.open_address().address);
        let text = text.replace(&old.to_string(), &new.to_string());
        std::fs::write(&sidecar.settings, text).expect("a file");
    }
    for sidecar in &fleet.sidecars {
        wait_for("the change", PATIENCE, || {
            !sidecar.events("settings_reloaded").is_empty()
        });
    }
    for store in &fleet.stores {
        store.silence_address();
    }
    fleet.put_config(7, "");
    fleet.wait_config(7);
    assert_eq!(fleet.sidecars[0].get("/v7/ok", "new").status, 200);
    fleet.put_config(8, "");
    fleet.wait_config(8);
}

#[test]
fn good_version_gets_all_traffic_before_the_move_is_reported_done() {
    let fleet = SidecarFleet::start_ready(&[(STALLS, "v1"), (STALLS, "v2"), (HORSES, "v1")]);
    let failed = drive_rollout(&fleet, "v2", "/free/ok", "completed");
    assert_eq!(failed, 0);
    let done = Instant::now();
    for number in 0..30 {
        fleet.sidecars[number % 3].get("/free/ok", &format!("done-{number}"));
    }
    let seen = fleet.endpoints[0].seen();
    assert!(
        seen.iter().all(|seen| seen.at < done),
        "the old version got a request"
    );
}

/// The new version fails its requests, the old one does not: `/free/v2fails` tells them apart.
#[test]
fn bad_version_is_taken_back_and_gets_nothing_more() {
    let fleet = SidecarFleet::start_ready(&[(STALLS, "v1"), (STALLS, "v2"), (HORSES, "v1")]);
    drive_rollout(&fleet, "v2", "/free/v2fails", "reverted");
    let back = Instant::now();
    for number in 0..30 {
        let answer = fleet.sidecars[number % 3].get("/free/ok", &format!("back-{number}"));
        assert_eq!(answer.status, 200);
    }
    let seen = fleet.endpoints[1].seen();
    assert!(
        seen.iter().all(|seen| seen.at < back),
        "the bad version got a request"
    );
}
