//! Daemons find one another by the seed rows, notice deaths and returns, and merge after they started
//! apart.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::CONVERGENCE_TARGET;
use common::DaemonProcess;
use common::PATIENCE;
use common::UpstreamProcess;
use common::apply;
use common::call;
use common::free_address;
use common::hold_for;
use common::local_fleet::LocalFleet;
use common::member_counts::live_ids;
use common::process_fleet::ProcessFleet;
use common::process_fleet::region_of;
use common::records::one_route;
use common::start_upstream;
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
        (0..8).all(|index| {
            fleet
                .status(index)
                .is_some_and(|status| live_ids(&status).len() == 1)
        })
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
    let dead_end = free_address();
    for from in 0..6 {
        for to in (0..6).filter(|to| to % 2 != from % 2) {
            fleet
                .net
                .set_detour(addresses[from], addresses[to], dead_end);
        }
    }
    for (number, address) in addresses.iter().enumerate() {
        // The first of each group starts alone.
        let seeds = if number < 2 {
            &[][..]
        } else {
            &addresses[number % 2..][..1]
        };
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
    let merged = wait_for("one group", MERGE_TARGET, || {
        (0..4).all(|index| fleet.live_count(index) == 4)
    });
    println!("merged {merged:?}");
}

/// Sends calls through a daemon; every one must run.
fn assert_calls_run(daemon: &DaemonProcess, count: usize) {
    for _ in 0..count {
        let answer = call(daemon.calls, "GET", "/stalls/free", &[]).expect("an answer");
        assert_eq!(answer.outcome, "ran", "{answer:?}");
    }
}

fn endpoint_count(fleet: &ProcessFleet, index: usize) -> usize {
    let Some(status) = fleet.status(index) else {
        return 0;
    };
    let live = status.members.iter().filter(|entry| entry.state.is_live());
    live.filter(|entry| entry.endpoint.is_some()).count()
}

#[test]
fn killed_daemon_gets_no_calls_and_returns_to_service() {
    let mut fleet = ProcessFleet::start(4);
    let mut upstreams: Vec<UpstreamProcess> = Vec::new();
    for daemon in &fleet.daemons {
        upstreams.push(start_upstream(daemon.control, "stalls", "v1"));
    }
    apply(fleet.platform.address, &one_route("stalls"));
    fleet.wait_generation(&[0, 1, 2, 3], 1, CONVERGENCE_TARGET);
    for index in 0..4 {
        wait_for("every endpoint known", PATIENCE, || {
            endpoint_count(&fleet, index) == 4
        });
    }
    fleet.daemons[1].process.kill();
    let dead = fleet.wait_members(&[0, 2, 3], DEATH_TARGET);
    for index in [0, 2, 3] {
        assert_calls_run(&fleet.daemons[index], 20);
    }
    fleet.restart(1);
    // The upstream beside it announces itself again by its own rhythm.
    let back = fleet.wait_members(&[0, 1, 2, 3], JOIN_TARGET);
    for index in 0..4 {
        wait_for("its endpoint is back", JOIN_TARGET, || {
            endpoint_count(&fleet, index) == 4
        });
    }
    fleet.wait_generation(&[1], 1, CONVERGENCE_TARGET);
    assert_calls_run(&fleet.daemons[1], 20);
    println!("dead {dead:?} back {back:?}");
}
