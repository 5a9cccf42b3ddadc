//! Sidecars as processes in several zones: a configuration is in force in time on all that run, whichever
//! daemons stand still when it is written.

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

/// Time in which a change is to be in force.
const APPLY_TIME: Duration = Duration::from_millis(2_500);

/// Time between the freeze of daemons and a change: too short for others to notice the freeze.
const FREEZE_LEAD: Duration = Duration::from_millis(200);

/// Number of times that daemons are frozen, and the pause between two of them: longer than daemons take
/// to find each other again.
const ROUNDS: u64 = 4;
const ROUND_PAUSE: Duration = Duration::from_millis(1_700);

const NEAR: SidecarPlace = ("a", "north");
const FAR: SidecarPlace = ("b", "south");

/// Two daemons in a zone of one region, then `far` daemons in a zone of the other one. All reach the
/// store equally well and are of the same size, so the first two of all watch it, and the first two of
/// each zone are its relays.
fn two_zones(far: usize) -> SidecarFleet {
    let mut members = vec![(STALLS, NEAR), (HORSES, NEAR)];
    members.resize(2 + far, (STALLS, FAR));
    SidecarFleet::start_in_zones(&members)
}

/// Freezes daemons, writes a configuration, and lets them run again once all others have it in force.
/// Does so several times, as the time until a freeze is noticed varies; returns the longest time.
fn apply_time_without(fleet: &SidecarFleet, frozen: &[usize]) -> Duration {
    let mut longest = Duration::ZERO;
    for version in 2..2 + ROUNDS {
        signal_all(fleet, frozen, "STOP");
        pause(FREEZE_LEAD);
        let start = Instant::now();
        fleet.put_config(version, "");
        for (number, sidecar) in fleet.sidecars.iter().enumerate() {
            if frozen.contains(&number) {
                continue;
            }
            let what = format!("version {version} on {}", sidecar.name);
            wait_for(&what, PATIENCE, || sidecar.config_version() >= version);
        }
        longest = longest.max(start.elapsed());
        signal_all(fleet, frozen, "CONT");
        fleet.wait_config(version);
        pause(ROUND_PAUSE);
    }
    longest
}

fn signal_all(fleet: &SidecarFleet, numbers: &[usize], signal: &str) {
    for number in numbers {
        fleet.sidecars[*number].signal(signal);
    }
}

/// Guards against a zone whose members wait for a configuration until its frozen relays are found
/// silent.
#[test]
fn configuration_reaches_a_zone_whose_relays_are_frozen() {
    let fleet = two_zones(4);
    let time = apply_time_without(&fleet, &[2, 3]);
    assert!(time < APPLY_TIME, "{time:?}");
}

/// Guards against members of a zone that hear of a configuration only by way of relays: those that would
/// take the place of the frozen ones are frozen, too.
#[test]
fn configuration_reaches_a_zone_in_which_most_daemons_are_frozen() {
    let fleet = two_zones(6);
    let time = apply_time_without(&fleet, &[2, 3, 4, 5]);
    assert!(time < APPLY_TIME, "{time:?}");
}

/// Guards against a configuration that nobody reads while both daemons that watch the store are frozen.
#[test]
fn configuration_is_read_while_both_store_watchers_are_frozen() {
    let fleet = two_zones(4);
    let time = apply_time_without(&fleet, &[0, 1]);
    assert!(time < APPLY_TIME, "{time:?}");
}

/// Guards against a configuration that stops at those that read it and those that relay it, all frozen.
#[test]
fn configuration_is_read_while_store_watchers_and_relays_are_frozen() {
    let fleet = two_zones(5);
    let time = apply_time_without(&fleet, &[0, 1, 2, 3]);
    assert!(time < APPLY_TIME, "{time:?}");
}
