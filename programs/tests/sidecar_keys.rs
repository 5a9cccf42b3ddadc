//! API keys with real sidecars: who a request is from, and keys that are withdrawn.

mod common;
mod sidecar;

use std::time::Duration;

use crate::common::PATIENCE;
use crate::common::caller::CallSpec;
use crate::common::wait_for;
use crate::sidecar::row_store::StoreMood;
use crate::sidecar::sidecar_fleet::ConfigTerms;
use crate::sidecar::sidecar_fleet::STALLS;
use crate::sidecar::sidecar_fleet::SidecarFleet;
use crate::sidecar::sidecar_fleet::SidecarProcess;
use crate::sidecar::sidecar_fleet::SidecarTerms;
use crate::sidecar::sidecar_fleet::request;

/// Bound on the use of a withdrawn key in these tests.
const REVOKE_MS: u64 = 2_000;

fn fleet(places: &[(&str, (&'static str, &'static str))]) -> SidecarFleet {
    let terms = SidecarTerms {
        bounds: format!("strict_revoke = true\nrevoke_ms = {REVOKE_MS}"),
        ..SidecarTerms::default()
    };
    let fleet = SidecarFleet::start_in_zones_with(&terms, places);
    put_keys(&fleet, 2, &["ash-1", "ash-2"]);
    fleet.wait_config(2);
    for sidecar in &fleet.sidecars {
        wait_status(sidecar, "ash-1", 200);
    }
    fleet
}

fn put_keys(fleet: &SidecarFleet, version: u64, keys: &[&str]) {
    let keys = serde_json::json!(keys);
    let open = r#",{"name":"open","authority":"test","prefix":"/open/","kind":"idempotent",
        "timeout_ms":2500,"priority":2,"service":"stalls","attempts":2,"allow_anonymous":true}"#;
    let members = format!(
        r#","tenants":[{{"name":"ash","api_keys":{keys},"priority":1,"rate_per_s":0,"burst":0}},
            {{"name":"","api_keys":["nameless"]}}]"#
    );
    let terms = ConfigTerms {
        routes: open.to_owned(),
        members,
        ..ConfigTerms::default()
    };
    fleet.put_config_with(version, &terms);
}

fn keyed(path: &str, id: &str, key: &str) -> CallSpec {
    request("GET", path, id, 2_000).with("authorization", format!("Token {key}"))
}

fn status(sidecar: &SidecarProcess, spec: &CallSpec) -> u16 {
    sidecar.call(spec).map_or(0, |answer| answer.status)
}

fn wait_status(sidecar: &SidecarProcess, key: &str, expected: u16) {
    let what = format!("{expected} for {key} at {}", sidecar.name);
    wait_for(&what, PATIENCE, || {
        status(sidecar, &keyed("/free/ok", "wait", key)) == expected
    });
}

/// Guards against a key that an endpoint sees, a team that a client names itself, and a request without
/// a valid key that runs.
#[test]
fn endpoints_see_the_team_and_not_the_key() {
    let fleet = fleet(&[(STALLS, ("a", "north"))]);
    let sidecar = &fleet.sidecars[0];
    let forged = keyed("/free/ok", "r-1", "ash-1").with("tenant", "birch");
    assert_eq!(status(sidecar, &forged), 200);
    let anonymous = request("GET", "/open/ok", "r-2", 2_000).with("tenant", "birch");
    assert_eq!(status(sidecar, &anonymous), 200);
    for (id, spec) in [
        ("r-3", request("GET", "/free/ok", "r-3", 2_000)),
        ("r-4", keyed("/free/ok", "r-4", "birch-1")),
        ("r-5", keyed("/open/ok", "r-5", "birch-1")),
        ("r-6", keyed("/free/ok", "r-6", "nameless")),
        (
            "r-7",
            request("GET", "/free/ok", "r-7", 2_000).with("authorization", "Bearer ash-1"),
        ),
    ] {
        assert_eq!(status(sidecar, &spec), 401, "{id}");
        assert_eq!(fleet.runs_of(id), 0, "{id}");
    }
    let seen = fleet.endpoints[0].seen();
    let find = |id: &str| seen.iter().find(|seen| seen.id() == id).expect("a run");
    assert_eq!(find("r-1").header("tenant"), "ash");
    assert_eq!(find("r-1").header("authorization"), "");
    assert_eq!(find("r-2").header("tenant"), "");
    for line in sidecar.events("request_ended") {
        assert!(!line.to_string().contains("ash-1"), "{line}");
    }
}

/// Guards against a withdrawn key that is used on beside one that stays.
#[test]
fn withdrawn_key_is_refused_and_the_other_goes_on() {
    let fleet = fleet(&[(STALLS, ("a", "north")), (STALLS, ("b", "north"))]);
    put_keys(&fleet, 3, &["ash-2"]);
    fleet.wait_config(3);
    for sidecar in &fleet.sidecars {
        wait_status(sidecar, "ash-1", 401);
        wait_status(sidecar, "ash-2", 200);
    }
}

/// Guards against a sidecar out of touch that accepts a key for longer than the bound after it was
/// withdrawn, and against one that refuses requests without a key, or goes on refusing after the store
/// is back.
#[test]
fn without_a_way_to_the_store_keys_are_refused_and_open_routes_served() {
    let fleet = fleet(&[(STALLS, ("a", "north"))]);
    let sidecar = &fleet.sidecars[0];
    fleet.store.set_mood(StoreMood::Silent);
    put_keys(&fleet, 3, &["ash-2"]);
    wait_status(sidecar, "ash-1", 503);
    // The proof began before the change, so after the bound no request with the key is served.
    assert_eq!(status(sidecar, &keyed("/free/ok", "late", "ash-1")), 503);
    assert_eq!(fleet.runs_of("late"), 0);
    assert_eq!(
        status(sidecar, &request("GET", "/open/ok", "open", 2_000)),
        200
    );
    fleet.store.set_mood(StoreMood::Sound);
    wait_status(sidecar, "ash-2", 200);
    wait_status(sidecar, "ash-1", 401);
}

/// Guards against the requests of a frozen VM that wait in its sockets and are served after their key
/// was withdrawn meanwhile.
#[test]
fn requests_that_waited_in_a_frozen_sidecar_are_refused() {
    let fleet = fleet(&[(STALLS, ("a", "north")), (STALLS, ("b", "north"))]);
    let frozen = &fleet.sidecars[1];
    frozen.signal("STOP");
    put_keys(&fleet, 3, &["ash-2"]);
    wait_status(&fleet.sidecars[0], "ash-1", 401);
    let wait = Duration::from_millis(2 * REVOKE_MS);
    let caller = std::thread::spawn({
        let address = frozen.requests;
        move || {
            let spec = keyed("/free/ok", "thawed", "ash-1").with("timeout-ms", 9_000);
            crate::common::caller::call_once(address, &spec).whole()
        }
    });
    let begun = std::time::Instant::now();
    wait_for("the bound has passed", PATIENCE, || begun.elapsed() > wait);
    frozen.signal("CONT");
    let answer = caller.join().expect("a caller");
    let status = answer.map_or(0, |answer| answer.status);
    assert!([401, 503].contains(&status), "{status}");
    assert_eq!(fleet.runs_of("thawed"), 0);
    wait_status(frozen, "ash-2", 200);
}
