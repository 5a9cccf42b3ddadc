//! Daemons find one another by the seed rows, notice deaths and returns, and merge after they started
//! apart.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::CONVERGENCE_TARGET;
use common::DaemonProcess;
use common::PATIENCE;
use common::apply;
use common::call;
use common::free_address;
use common::hold_for;
use common::local_fleet::LocalFleet;
use common::member_counts::live_ids;
use common::process_fleet::ProcessFleet;
use common::process_fleet::region_of;
use common::records::one_route;
use common::wait_for;

/// Time within which daemons find one another once the platform can be reached.
const JOIN_TARGET: Duration = Duration::from_secs(20);

/// Time within which a killed daemon is held dead by every other.
const DEATH_TARGET: Duration = Duration::from_secs(30);

/// Time within which groups that started apart are one.
const MERGE_TARGET: Duration = Duration::from_secs(30);

#[test]
fn daemons_that_started_in_an_outage_join_and_a_replaced_region_takes_over() {
    let mut fleet = ProcessFleet::empty();
    fleet.set_outage(true);
    for number in 0..8 {
        fleet.add(region_of(number), &[]);
    }
    hold_for("outage", Duration::from_secs(3), || {
        let mut all = (0..8).map(|index| fleet.status(index));
        all.all(|status| status.is_some_and(|status| live_ids(&status).len() == 1))
    });
    fleet.set_outage(false);
    let joined = fleet.wait_members(&[0, 1, 2, 3, 4, 5, 6, 7], JOIN_TARGET);
    apply(fleet.platform.address, &one_route("stalls"));
    fleet.wait_generation(&[0, 1, 2, 3, 4, 5, 6, 7], 1, CONVERGENCE_TARGET);

    for index in [1, 3, 5, 7] {
        fleet.daemons[index].process.kill();
    }
    let mut present = vec![0, 2, 4, 6];
    for _ in 0..4 {
        present.push(fleet.add("south", &[]));
    }
    fleet.wait_generation(&present, 1, CONVERGENCE_TARGET);
    let replaced = fleet.wait_members(&present, DEATH_TARGET);
    println!("joined {joined:?} replaced {replaced:?}");
}

#[test]
fn groups_that_started_apart_become_one() {
    let mut fleet = LocalFleet::new();
    let addresses: Vec<SocketAddr> = (0..6).map(|_| free_address()).collect();
    for even in [0, 2, 4] {
        for odd in [1, 3, 5] {
            fleet.net.part(addresses[even], addresses[odd]);
        }
    }
    for (number, address) in addresses.iter().enumerate() {
        // The first of each group starts alone.
        let seeds = &addresses[number % 2..][..usize::from(number >= 2)];
        let daemon = fleet.start("north", *address, seeds);
        fleet.daemons.push(daemon);
    }
    wait_for("two groups", PATIENCE, || {
        (0..6).all(|index| fleet.live_count(index) == 3)
    });
    // Each group has lost a member, which it goes on looking for.
    fleet.daemons.truncate(4);
    wait_for("the lost ones are held dead", PATIENCE, || {
        (0..4).all(|index| fleet.live_count(index) == 2)
    });
    fleet.net.clear_detours();
    let merged = fleet.wait_live(&[0, 1, 2, 3], MERGE_TARGET);
    println!("merged {merged:?}");
}

/// Sends calls through a daemon; every one must run.
fn assert_calls_run(daemon: &DaemonProcess, count: usize) {
    for _ in 0..count {
        let answer = call(daemon.calls, "GET", "/stalls/free", &[]).expect("an answer");
        assert_eq!(answer.outcome, "ran", "{answer:?}");
    }
}

#[test]
fn killed_daemon_gets_no_calls_and_returns_to_service() {
    let mut fleet = ProcessFleet::start(4);
    fleet.add_upstreams();
    apply(fleet.platform.address, &one_route("stalls"));
    fleet.wait_generation(&[0, 1, 2, 3], 1, CONVERGENCE_TARGET);
    fleet.wait_ready(1);
    fleet.daemons[1].process.kill();
    let dead = fleet.wait_members(&[0, 2, 3], DEATH_TARGET);
    for index in [0, 2, 3] {
        assert_calls_run(&fleet.daemons[index], 20);
    }
    fleet.restart(1);
    // The upstream beside it announces itself again by its own rhythm.
    let back = fleet.wait_members(&[0, 1, 2, 3], JOIN_TARGET);
    fleet.wait_generation(&[1], 1, CONVERGENCE_TARGET);
    fleet.wait_ready_within(1, JOIN_TARGET);
    assert_calls_run(&fleet.daemons[1], 20);
    println!("dead {dead:?} back {back:?}");
}
