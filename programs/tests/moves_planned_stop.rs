//! A planned stop of the acting member hands its move over without waiting for the lease to lapse.

mod common;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use coltsfootweir::ids::MemberId;
use coltsfootweir::lease::LEASE_TIMEOUT;
use coltsfootweir::mover::read_lease;
use coltsfootweir::pace::PACE_STEPS;
use coltsfootweir::record::MovePhase;

use common::PATIENCE;
use common::apply_move;
use common::apply_service;
use common::local_fleet::LocalFleet;
use common::test_net::NORTH;
use common::wait_for;

/// Time until another member holds the lease; well below the lease's own timeout.
const HANDOVER: Duration = Duration::from_secs(7);

#[test]
fn lease_of_a_member_that_stops_is_taken_over_at_once() {
    assert!(HANDOVER < LEASE_TIMEOUT);
    let mut fleet = LocalFleet::start_versions();
    let platform = fleet.platform_address(NORTH);
    apply_service(platform, "stalls");
    fleet.wait_ready(1);
    apply_move(platform, "stalls", 30);
    let mut holder: Option<MemberId> = None;
    wait_for("a holder that took steps", PATIENCE, || {
        holder = fleet.lease_holder();
        holder.is_some() && fleet.read_move().share.checks >= 5
    });
    let position = fleet
        .daemons
        .iter()
        .position(|own| Some(own.id()) == holder.as_ref())
        .expect("a member of the fleet");
    let leaving = fleet.daemons.remove(position);
    let start = Instant::now();
    let stop = thread::spawn(move || leaving.stop());
    wait_for("another holder", PATIENCE, || {
        let next = fleet.lease_holder();
        next.is_some() && next != holder
    });
    let handover = start.elapsed();
    println!("another member holds the lease after {handover:?}");
    assert!(handover <= HANDOVER, "handover took {handover:?}");
    stop.join().expect("the daemon stopped");
    wait_for("move done", PATIENCE, || {
        fleet.read_move().phase == MovePhase::Done
    });
    let row = read_lease(&fleet.platform, "stalls-v2").expect("the row is read");
    let lines = row.expect("a row").lines;
    let told = lines
        .iter()
        .filter(|line| line.outcome.contains("of checks"));
    assert_eq!(told.count(), PACE_STEPS.len(), "{lines:?}");
}
