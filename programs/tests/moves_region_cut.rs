//! Moves under way when the regions lose each other.

mod common;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use coltsfootweir::record::MovePhase;

use common::PATIENCE;
use common::apply_move;
use common::apply_service;
use common::local_fleet::LocalFleet;
use common::move_traffic::MoveTraffic;
use common::test_net::CutKind;
use common::test_net::NORTH;
use common::test_net::SOUTH;
use common::wait_for;

/// Failed requests at each upstream of v2 in a region from which its fault shows.
const SHOWN: usize = 3;

/// Time from a fault that shows to every daemon of the region holding the version condemned.
const REACTION: Duration = Duration::from_secs(19);

/// Time without a request of a version that shows it gets no work.
const SILENCE: Duration = Duration::from_secs(3);

/// Time for which a cut lasts: more than it takes to hold the region unreachable and to settle.
const CUT_TIME: Duration = Duration::from_secs(40);

/// A fleet with a move at its first steps, and callers in both regions.
struct CutWorld {
    traffic: Vec<MoveTraffic>,
    fleet: LocalFleet,
}

impl CutWorld {
    fn start(seconds: u64) -> CutWorld {
        let fleet = LocalFleet::start_versions();
        let platform: SocketAddr = fleet.platform_address(NORTH);
        apply_service(platform, "stalls");
        fleet.wait_ready(1);
        let traffic =
            [NORTH, SOUTH].map(|region| MoveTraffic::start("stalls", &fleet.calls_in(region)));
        apply_move(platform, "stalls", seconds);
        let world = CutWorld {
            traffic: traffic.into(),
            fleet,
        };
        wait_for("first steps everywhere", PATIENCE, || {
            let is_early = world.fleet.read_move().share.checks >= 5;
            let has_run = |region| world.fleet.version_runs(region) > 0;
            is_early && has_run(NORTH) && has_run(SOUTH) && world.fleet.serves_head()
        });
        world
    }

    /// Makes every request to v2 in a region fail; returns what each upstream of it had run before.
    fn spoil(&self, region: &str) -> Vec<usize> {
        let before = self.fleet.runs_by_upstream(region);
        self.fleet.spoil(region);
        before
    }

    /// Waits until the fault of a region spoiled after `before` shows, or is answered already.
    fn wait_shown(&self, region: &str, before: &[usize]) -> Instant {
        wait_for("the fault shows", PATIENCE, || {
            let runs = self.fleet.runs_by_upstream(region);
            let mut pairs = runs.iter().zip(before);
            pairs.all(|(runs, before)| *runs >= before + SHOWN) || self.is_condemned(region)
        });
        Instant::now()
    }

    /// Whether every daemon of a region holds v2 condemned.
    fn is_condemned(&self, region: &str) -> bool {
        let mut own = self.fleet.daemons_in(region);
        own.all(|own| !own.status().condemned.is_empty())
    }

    /// Waits until every daemon of a region holds v2 condemned, within [`REACTION`] of `shown`, and
    /// from then on v2 has run nothing there for a while.
    fn wait_no_work(&self, region: &str, shown: Instant) {
        let limit = REACTION.saturating_sub(shown.elapsed());
        wait_for("every daemon holds it condemned", limit, || {
            self.is_condemned(region)
        });
        println!("condemned in the {region} after {:?}", shown.elapsed());
        let mut last = (self.fleet.version_runs(region), Instant::now());
        let limit = SILENCE + REACTION.saturating_sub(shown.elapsed());
        wait_for("no work for the bad version", limit, || {
            let runs = self.fleet.version_runs(region);
            if runs != last.0 {
                last = (runs, Instant::now());
            }
            last.1.elapsed() > SILENCE
        });
    }

    fn wait_phase(&self, phase: MovePhase) {
        wait_for("end of the move", PATIENCE, || {
            self.fleet.read_move().phase == phase
        });
    }
}

#[test]
fn bad_version_gets_no_work_on_either_side_of_a_cut() {
    let world = CutWorld::start(90);
    world.fleet.set_cut(CutKind::Everything);
    let before = [NORTH, SOUTH].map(|region| world.fleet.version_runs(region));
    wait_for("work in both regions, cut", PATIENCE, || {
        world.fleet.version_runs(NORTH) > before[0] && world.fleet.version_runs(SOUTH) > before[1]
    });
    let spoiled = [NORTH, SOUTH].map(|region| (region, world.spoil(region)));
    let shown = spoiled.map(|(region, before)| (region, world.wait_shown(region, &before)));
    for (region, shown) in shown {
        world.wait_no_work(region, shown);
    }
    world.fleet.set_cut(CutKind::Nothing);
    world.wait_phase(MovePhase::TakenBack);
}

#[test]
fn fault_that_shows_only_beyond_a_cut_takes_the_move_back_after_it() {
    let world = CutWorld::start(90);
    world.fleet.set_cut(CutKind::Everything);
    let before = world.spoil(SOUTH);
    let shown = world.wait_shown(SOUTH, &before);
    world.wait_no_work(SOUTH, shown);
    let phase = world.fleet.read_move().phase;
    assert!(!phase.is_ended(), "the north has seen no fault: {phase:?}");
    world.fleet.set_cut(CutKind::Nothing);
    world.wait_phase(MovePhase::TakenBack);
}

#[test]
fn good_version_is_done_after_a_cut_and_not_before_its_end() {
    let world = CutWorld::start(40);
    world.fleet.set_cut(CutKind::Everything);
    let start = Instant::now();
    let mut highest = 0;
    wait_for("the cut lasts", CUT_TIME + PATIENCE, || {
        let record = world.fleet.read_move();
        assert!(
            !record.phase.is_ended(),
            "{:?} said {:?} into the cut: {}",
            record.phase,
            start.elapsed(),
            record.reason
        );
        highest = highest.max(record.share.bookings);
        start.elapsed() > CUT_TIME
    });
    println!("{highest}% of bookings at the end of the cut");
    world.fleet.set_cut(CutKind::Nothing);
    wait_for("end of the move", PATIENCE, || {
        world.fleet.read_move().phase.is_ended()
    });
    let record = world.fleet.read_move();
    assert_eq!(record.phase, MovePhase::Done, "{}", record.reason);
    let called = world.traffic.iter().all(|own| !own.seen().is_empty());
    assert!(called, "callers in both regions got answers");
}
