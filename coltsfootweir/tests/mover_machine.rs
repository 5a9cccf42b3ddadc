//! State machine test of movers: leases, steps and rollbacks under faults of the store and of versions.

mod common;
mod move_world;

use proptest::prelude::*;
use proptest_state_machine::prop_state_machine;

use coltsfootweir::mover::WriteResult;
use coltsfootweir::record::MovePhase;

use crate::move_world::MoveWorld;
use crate::move_world::StoreMode;
use common::fixed_config;
use common::step_test::StepTest;
use common::step_test::StepWorld;

const MOVERS: usize = 3;

/// Seconds until another member takes the lease of a leaving one: one tick and one read of the row.
const HANDOVER_SECONDS: u32 = 4;

/// Event of the simulation.
#[derive(Clone, Debug)]
enum WorldEvent {
    Seconds { count: u8, spreads: bool },
    Store(StoreMode),
    CommitDelayed,
    Freeze(usize, bool),
    Leave(usize, bool),
    Candidate(usize, bool),
    Fail(usize, bool),
}

impl StepWorld for MoveWorld {
    type Step = WorldEvent;

    fn start() -> MoveWorld {
        MoveWorld::new(MOVERS)
    }

    fn steps() -> BoxedStrategy<WorldEvent> {
        let modes = prop_oneof![
            3 => Just(StoreMode::Up),
            1 => Just(StoreMode::Down),
            1 => Just(StoreMode::LosesAnswers),
            1 => Just(StoreMode::Late),
        ];
        let seconds = (1..15_u8, proptest::bool::weighted(0.8));
        prop_oneof![
            8 => seconds.prop_map(|(count, spreads)| WorldEvent::Seconds { count, spreads }),
            2 => modes.prop_map(WorldEvent::Store),
            2 => Just(WorldEvent::CommitDelayed),
            2 => (0..MOVERS, any::<bool>()).prop_map(|(mover, is)| WorldEvent::Freeze(mover, is)),
            1 => (0..MOVERS, any::<bool>()).prop_map(|(mover, is)| WorldEvent::Leave(mover, is)),
            1 => (0..MOVERS, any::<bool>()).prop_map(|(mover, is)| WorldEvent::Candidate(mover, is)),
            1 => (0..2_usize, proptest::bool::weighted(0.3))
                .prop_map(|(service, fails)| WorldEvent::Fail(service, fails)),
        ]
        .boxed()
    }

    fn apply_step(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Seconds { count, spreads } => {
                for _ in 0..count {
                    self.second(spreads);
                }
            }
            WorldEvent::Store(mode) => self.mode = mode,
            WorldEvent::CommitDelayed => {
                self.commit_delayed();
            }
            WorldEvent::Freeze(mover, is_frozen) => self.movers[mover].is_frozen = is_frozen,
            WorldEvent::Leave(mover, is_leaving) => self.movers[mover].is_leaving = is_leaving,
            WorldEvent::Candidate(mover, may_act) => self.movers[mover].is_candidate = may_act,
            WorldEvent::Fail(service, fails) => self.set_fails(service, fails),
        }
    }

    fn finish(mut self) {
        self.settle();
    }
}

#[test]
fn late_write_of_a_frozen_holder_has_no_effect() {
    let mut world = MoveWorld::new(MOVERS);
    world.pass(10);
    let holder = world.holder().expect("no holder after ten seconds");
    world.mode = StoreMode::Late;
    world.pass(10);
    world.movers[holder].is_frozen = true;
    world.mode = StoreMode::Up;
    world.pass(25);
    assert_ne!(
        world.holder(),
        Some(holder),
        "no other member took the lease"
    );
    let mut delayed = 0;
    while let Some(result) = world.commit_delayed() {
        assert_eq!(result, WriteResult::Refused);
        delayed += 1;
    }
    assert!(delayed > 0, "no write was delayed");
    world.movers[holder].is_frozen = false;
    world.settle();
}

#[test]
fn move_is_done_only_when_every_daemon_serves_its_last_step() {
    let mut world = MoveWorld::new(MOVERS);
    world.pass(10);
    world.movers[2].is_frozen = true;
    world.pass(300);
    assert_eq!(
        world.phase(),
        MovePhase::Settling,
        "move must stay at its last step while a daemon is behind"
    );
    world.movers[2].is_frozen = false;
    world.settle();
}

#[test]
fn member_that_leaves_hands_its_lease_over_at_once() {
    let mut world = MoveWorld::new(MOVERS);
    world.pass(10);
    let holder = world.holder().expect("no holder after ten seconds");
    world.movers[holder].is_leaving = true;
    world.pass(HANDOVER_SECONDS);
    let next = world.holder().expect("no holder after the handover");
    assert_ne!(next, holder);
    world.pass(30);
    assert_eq!(world.holder(), Some(next), "lease changed its holder again");
    world.settle();
}

#[test]
fn member_that_leaves_right_after_taking_its_lease_hands_it_over() {
    let mut world = MoveWorld::new(MOVERS);
    while world.holder().is_none() {
        world.pass(1);
    }
    let holder = world.holder().expect("no holder");
    world.movers[holder].is_leaving = true;
    // The leaving member reads the row once before it releases the lease.
    world.pass(HANDOVER_SECONDS + 1);
    assert!(world.holder().is_some_and(|next| next != holder));
    world.settle();
}

#[test]
fn member_that_leaves_still_condemns() {
    let mut world = MoveWorld::new(MOVERS);
    world.pass(40);
    world.movers[1].is_candidate = false;
    world.movers[0].is_leaving = true;
    world.set_fails(0, true);
    world.pass(20);
    assert!(
        world.is_condemned(0),
        "leaving member did not condemn the version"
    );
    world.settle();
}

#[test]
fn bad_version_is_condemned_while_the_store_is_down() {
    let mut world = MoveWorld::new(MOVERS);
    world.pass(40);
    world.mode = StoreMode::Down;
    world.set_fails(0, true);
    world.pass(20);
    let is_known = world.is_condemned(0) && world.is_condemned(2);
    assert!(is_known, "fact did not reach every member");
    assert_ne!(world.phase(), MovePhase::TakenBack);
    world.mode = StoreMode::Up;
    world.pass(15);
    assert_eq!(world.phase(), MovePhase::TakenBack);
    world.settle();
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        max_shrink_iters: 200,
        ..fixed_config(20_261_204, 48)
    })]

    #[test]
    fn movers_keep_the_rules(sequential 1..40 => StepTest<MoveWorld>);
}
