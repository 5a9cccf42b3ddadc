//! A restarted daemon serves nothing older than its address served, and nothing while it cannot know;
//! a region that was cut off catches up.

mod common;

use std::time::Duration;

use coltsfootweir::floor::FLOOR_SETTLE;
use coltsfootweir::http_platform::HttpPlatform;

use common::CONVERGENCE_TARGET;
use common::PATIENCE;
use common::apply;
use common::caller::CallSpec;
use common::caller::call_once;
use common::free_address;
use common::generation_watch::GenerationWatch;
use common::hold_for;
use common::local_fleet::LocalFleet;
use common::post_proxy::PostProxy;
use common::post_proxy::pass_on;
use common::process_fleet::ProcessFleet;
use common::process_fleet::region_of;
use common::records::accept_unoffered;
use common::records::one_route;
use common::test_net::CutKind;
use common::wait_for;

/// Time for which only a peer with an older generation can be reached.
const LAG: Duration = Duration::from_secs(8);

/// Time after which the news of a death is no longer passed on.
const NEWS_TIME: Duration = Duration::from_secs(8);

/// Time after the settling of a floor in which a daemon would begin to serve.
const SETTLE_MARGIN: Duration = Duration::from_secs(4);

/// Time after which a region without word counts as unreachable, with a margin.
const LONG_CUT: Duration = Duration::from_secs(28);

fn assert_refuses(fleet: &ProcessFleet, index: usize) {
    let address = fleet.daemons[index].calls;
    let end = call_once(address, &CallSpec::get("/stalls/free"));
    let answer = end.whole().expect("an answer");
    let told = (answer.outcome(), answer.reason());
    assert_eq!(told, ("not-run", "not-serving"), "{answer:?}");
}

fn start_at_generation_one(count: usize) -> ProcessFleet {
    let mut fleet = ProcessFleet::empty();
    for _ in 0..count {
        fleet.add_joined("north");
    }
    let all: Vec<usize> = (0..count).collect();
    fleet.wait_members(&all, PATIENCE);
    apply(fleet.platform.address, &one_route("stalls"));
    fleet.wait_generation(&all, 1, CONVERGENCE_TARGET);
    fleet
}

#[test]
fn restarted_daemon_waits_for_peers_that_know_better_while_the_store_is_down() {
    let mut fleet = start_at_generation_one(4);
    let addresses = fleet.controls();
    let watch = GenerationWatch::start([addresses[0]]);
    fleet.daemons[3].process.signal("STOP");
    // A frozen daemon finds no offer of it when it resumes.
    let store = HttpPlatform::new(fleet.platform.address, PATIENCE);
    accept_unoffered(&store, &one_route("fodder"));
    fleet.wait_generation(&[0, 1, 2], 2, CONVERGENCE_TARGET);
    let while_watched = Duration::from_secs(1);
    hold_for("the watch sees generation 2", while_watched, || {
        fleet.serves(0, 2)
    });
    fleet.set_outage(true);
    fleet.daemons[1].process.signal("STOP");
    fleet.daemons[2].process.signal("STOP");
    fleet.daemons[0].process.kill();
    fleet.daemons[3].process.signal("CONT");
    fleet.restart_with(0, &addresses[1..]);
    hold_for("older peer alone", LAG, || {
        assert_refuses(&fleet, 0);
        fleet.status(3).is_some_and(|status| status.generation == 1)
    });
    fleet.daemons[1].process.signal("CONT");
    fleet.daemons[2].process.signal("CONT");
    fleet.wait_generation(&[0, 3], 2, FLOOR_SETTLE + CONVERGENCE_TARGET);
    watch.finish();
}

/// The only peer in reach never heard of the later generation.
#[test]
fn restarted_daemon_does_not_trust_the_first_older_answer() {
    let mut fleet = LocalFleet::start_with(&["north"; 4], &[one_route("stalls")]);
    let addresses: Vec<_> = (0..4).map(|index| fleet.control(index)).collect();
    for other in [1, 2, 3] {
        fleet.net.part(addresses[0], addresses[other]);
    }
    fleet.net.set_store_lost(addresses[0], true);
    fleet.accept(&one_route("fodder"));
    fleet.wait_generation(&[1, 2, 3], 2, CONVERGENCE_TARGET);
    fleet.set_outage(true);
    fleet.net.part(addresses[3], addresses[1]);
    fleet.net.part(addresses[3], addresses[2]);
    // Its earlier run knows the later generation and must not meet the older peer.
    fleet.daemons.truncate(3);
    fleet.net.clear_detour(addresses[0], addresses[3]);
    fleet.net.clear_detour(addresses[3], addresses[0]);
    let restarted = fleet.start("north", addresses[3], &[addresses[0], addresses[1]]);
    hold_for("older peer alone", LAG, || {
        assert!(!restarted.status().is_serving, "serves too early");
        fleet.daemons[0].status().generation == 1
    });
    fleet.net.clear_detours();
    wait_for("it serves", FLOOR_SETTLE + CONVERGENCE_TARGET, || {
        restarted.status().is_serving
    });
    assert_eq!(restarted.status().generation, 2);
}

#[test]
fn restarted_daemon_serves_the_generation_of_the_store() {
    let mut fleet = start_at_generation_one(2);
    apply(fleet.platform.address, &one_route("fodder"));
    fleet.wait_generation(&[0, 1], 2, CONVERGENCE_TARGET);
    let watch = GenerationWatch::start([fleet.control(0)]);
    wait_for("the watch sees generation 2", PATIENCE, || {
        fleet.serves(0, 2)
    });
    // The peer left is frozen at generation 2 while generation 3 is accepted.
    fleet.daemons[1].process.signal("STOP");
    apply(fleet.platform.address, &one_route("farriers"));
    fleet.wait_generation(&[0], 3, CONVERGENCE_TARGET);
    fleet.daemons[0].process.kill();
    fleet.daemons[1].process.signal("CONT");
    // Slow enough that the time between reading the head and its snapshot shows.
    fleet.set_faults(r#"{"delay": 1500}"#);
    fleet.restart(0);
    fleet.wait_generation(&[0, 1], 3, CONVERGENCE_TARGET);
    hold_for("the watch goes on", Duration::from_secs(2), || {
        fleet.serves(0, 3)
    });
    watch.finish();
}

#[test]
fn daemon_that_reaches_neither_store_nor_peer_serves_nothing() {
    let mut fleet = start_at_generation_one(1);
    fleet.set_outage(true);
    fleet.daemons[0].process.kill();
    fleet.restart(0);
    let settled = FLOOR_SETTLE + Duration::from_secs(3);
    hold_for("alone without the store", settled, || {
        assert_refuses(&fleet, 0);
        fleet.status(0).is_some_and(|status| !status.is_serving)
    });
    fleet.set_outage(false);
    fleet.wait_generation(&[0], 1, CONVERGENCE_TARGET);
}

#[test]
fn region_that_was_cut_off_catches_up_and_is_not_forgotten() {
    let regions: Vec<&str> = (0..8).map(region_of).collect();
    let fleet = LocalFleet::start_with(&regions, &[one_route("stalls")]);
    let all: Vec<usize> = (0..8).collect();
    fleet.set_cut(CutKind::Everything);
    fleet.accept(&one_route("fodder"));
    let north = [0, 2, 4, 6];
    fleet.wait_generation(&north, 2, CONVERGENCE_TARGET);
    fleet.accept(&one_route("farriers"));
    fleet.wait_generation(&north, 3, CONVERGENCE_TARGET);
    hold_for("the cut", LONG_CUT, || {
        all.iter()
            .all(|i| fleet.live_count(*i) == 8 && fleet.serves(*i, 1))
    });
    for index in [1, 3, 5, 7] {
        assert_eq!(fleet.daemons[index].status().generation, 1);
    }
    fleet.set_cut(CutKind::Nothing);
    let healed = fleet.wait_generation(&all, 3, CONVERGENCE_TARGET);
    println!("in force {healed:?} after the cut");
    assert!(all.iter().all(|i| fleet.live_count(*i) == 8));
}

/// A daemon that knows its floor but does not stand at it must not count as a peer that answers.
#[test]
fn peer_below_its_own_floor_does_not_settle_the_floor_of_another() {
    let mut fleet = LocalFleet::start_with(&["north"; 4], &[one_route("stalls")]);
    let addresses: Vec<_> = (0..4).map(|index| fleet.control(index)).collect();
    fleet.set_outage(true);
    // Two hold the generation and stay; two are to return.
    fleet.daemons.truncate(2);
    fleet.wait_live(&[0, 1], PATIENCE);
    hold_for("the news of their death is old", NEWS_TIME, || true);

    // The first to return learns its floor from the holders, but cannot pull from them.
    let mut proxies = Vec::new();
    for holder in addresses[..2].iter().copied() {
        let proxy = PostProxy::start(move |path, body| match path {
            "/gossip" => pass_on(holder, path, body),
            _ => None,
        });
        fleet.net.set_detour(addresses[2], holder, proxy.address);
        proxies.push(proxy);
        // The second reaches the first alone.
        fleet.net.set_detour(addresses[3], holder, free_address());
    }
    let first = fleet.start("north", addresses[2], &addresses[..2]);
    wait_for("the first has joined", PATIENCE, || {
        first.status().members.len() > 2
    });
    let second = fleet.start("north", addresses[3], &[addresses[2]]);
    hold_for("neither can serve", FLOOR_SETTLE + SETTLE_MARGIN, || {
        for daemon in [&first, &second] {
            let status = daemon.status();
            assert!(!status.is_serving, "serves {}", status.generation);
        }
        true
    });
    assert_eq!(first.status().floor, 1);
    fleet.set_outage(false);
    wait_for("both serve again", CONVERGENCE_TARGET, || {
        let mut standing = [first.status(), second.status()].into_iter();
        standing.all(|status| status.is_serving && status.generation == 1)
    });
}
