//! Sidecars as processes on a store that comes back from a copy and gives versions out again.

mod common;
mod sidecar;

use std::time::Duration;
use std::time::Instant;

use common::PATIENCE;
use common::caller_threads::pause;
use common::hold_for;
use common::wait_for;
use sidecar::rollout_traffic::drive_rollout;
use sidecar::rollout_traffic::order_rollout;
use sidecar::rollout_traffic::rollout_state;
use sidecar::row_store::StoreMood;
use sidecar::sidecar_fleet::HORSES;
use sidecar::sidecar_fleet::STALLS;
use sidecar::sidecar_fleet::SidecarFleet;

/// Time for which the store is away.
const AWAY: Duration = Duration::from_secs(1);

/// Time in which a change is to be in force.
const APPLY_TIME: Duration = Duration::from_millis(2_500);

/// Writes configurations up to `last`, so that the version of the store rises.
fn raise_version(fleet: &SidecarFleet, last: u64) {
    for version in 2..=last {
        fleet.put_config(version, "");
    }
    fleet.wait_config(last);
}

/// Keeps the store away for a moment and has it come back from the copy. The operator writes its rows
/// again after `lag`.
fn come_back_from_copy(fleet: &SidecarFleet, lag: Duration) {
    fleet.store.set_mood(StoreMood::Refusing(503));
    pause(AWAY);
    let lost = fleet.store.restore();
    fleet.store.set_mood(StoreMood::Sound);
    pause(lag);
    fleet.store.put_again(lost);
}

/// Returns whether each sidecar has logged an event.
fn all_logged(fleet: &SidecarFleet, name: &str) -> bool {
    let mut sidecars = fleet.sidecars.iter();
    sidecars.all(|sidecar| !sidecar.events(name).is_empty())
}

/// Sends requests and returns how many of them ran at an endpoint.
fn runs_at(fleet: &SidecarFleet, endpoint: usize, name: &str) -> usize {
    let mut runs = 0;
    for number in 0..60 {
        let id = format!("{name}-{number}");
        let answer = fleet.sidecars[number % 3].get("/free/ok", &id);
        assert_eq!(answer.status, 200);
        runs += fleet.endpoints[endpoint].runs_of(&id);
    }
    runs
}

/// Guards against an order that is ignored because the store has gone back to lower versions, so that a bad
/// version gets its full share of the requests (review/12).
#[test]
fn order_after_the_store_went_back_is_followed() {
    let mut fleet = SidecarFleet::start_ready(&[
        (STALLS, "v1"),
        (STALLS, "v2"),
        (HORSES, "v1"),
        (STALLS, "v1"),
    ]);
    fleet.store.take_copy();
    raise_version(&fleet, 40);
    drive_rollout(&fleet, "v2", "/free/v2fails", "reverted");
    come_back_from_copy(&fleet, Duration::ZERO);
    hold_for("v2 taken back", Duration::from_secs(3), || {
        runs_at(&fleet, 1, "again") == 0
    });
    fleet.add(STALLS, "v3");
    drive_rollout(&fleet, "v3", "/free/v3fails", "reverted");
    assert_eq!(runs_at(&fleet, 4, "back"), 0, "v3 is used on");
}

/// Guards against an order that the copy still has, and that is followed until the newer one is written
/// again: a bad version would be rolled out anew.
#[test]
fn older_order_of_the_copy_is_not_followed() {
    let fleet = SidecarFleet::start_ready(&[
        (STALLS, "v1"),
        (STALLS, "v2"),
        (STALLS, "v3"),
        (HORSES, "v1"),
    ]);
    drive_rollout(&fleet, "v2", "/free/v2fails", "reverted");
    fleet.store.take_copy();
    raise_version(&fleet, 20);
    drive_rollout(&fleet, "v3", "/free/v3fails", "reverted");
    come_back_from_copy(&fleet, Duration::from_millis(700));
    wait_for("the order of v3", PATIENCE, || {
        all_logged(&fleet, "rollout_renewed")
    });
    hold_for("v3 reverted", Duration::from_secs(3), || {
        runs_at(&fleet, 2, "held") == 0
    });
    for sidecar in &fleet.sidecars {
        let mut learned = sidecar.events("rollout_learned");
        learned.retain(|event| event["version"] == "v2");
        assert_eq!(learned.len(), 1, "{}: {learned:?}", sidecar.name);
    }
    wait_for("the report on v3", PATIENCE, || {
        rollout_state(&fleet, "v3") == "reverted"
    });
}

/// Guards against a configuration that is never read, as it was written at a version below one that was
/// read before, and the store has given out higher ones since.
#[test]
fn configuration_at_a_version_given_out_again_is_applied() {
    let fleet = SidecarFleet::start_ready(&[(STALLS, "v1"), (STALLS, "v1"), (HORSES, "v1")]);
    fleet.store.take_copy();
    raise_version(&fleet, 30);
    fleet.put_config(31, "");
    fleet.wait_config(31);
    let text = fleet.store.get("op", "config").expect("a configuration");
    let text = text
        .replace("0000001f", "00000020")
        .replace("/v31/", "/v32/");
    fleet.store.restore_and_overtake("op", "config", &text);
    let start = Instant::now();
    fleet.wait_config(32);
    assert!(start.elapsed() < APPLY_TIME, "{:?}", start.elapsed());
    order_rollout(&fleet, "v1");
    wait_for("the order", PATIENCE, || {
        all_logged(&fleet, "rollout_learned")
    });
}
