//! State machine over movers: leases, steps and takebacks under faults of the store and of versions.

mod move_world;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

use coltsfootweir::mover::WriteResult;
use coltsfootweir::record::MovePhase;

use crate::move_world::MoveWorld;
use crate::move_world::StoreMode;

const MOVERS: usize = 3;

/// Seconds in which another member takes the lease of one that leaves: a tick, and a read of the row.
const HANDOVER: u32 = 4;

/// What happens next in the world.
#[derive(Clone, Debug)]
enum WorldEvent {
    Seconds { count: u8, spreads: bool },
    Store(StoreMode),
    LandLate,
    Freeze { mover: usize, is_frozen: bool },
    Leave { mover: usize, is_leaving: bool },
    Candidate { mover: usize, is_candidate: bool },
    Fail { service: usize, fails: bool },
}

/// Generator of events; the oracle stands beside the table.
struct EventSource;

impl ReferenceStateMachine for EventSource {
    type State = ();
    type Transition = WorldEvent;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<WorldEvent> {
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
            2 => Just(WorldEvent::LandLate),
            2 => (0..MOVERS, any::<bool>())
                .prop_map(|(mover, is_frozen)| WorldEvent::Freeze { mover, is_frozen }),
            1 => (0..MOVERS, any::<bool>())
                .prop_map(|(mover, is_leaving)| WorldEvent::Leave { mover, is_leaving }),
            1 => (0..MOVERS, any::<bool>())
                .prop_map(|(mover, is_candidate)| WorldEvent::Candidate { mover, is_candidate }),
            1 => (0..2_usize, proptest::bool::weighted(0.3))
                .prop_map(|(service, fails)| WorldEvent::Fail { service, fails }),
        ]
        .boxed()
    }

    fn apply((): (), _: &WorldEvent) {}
}

struct WorldTest;

impl StateMachineTest for WorldTest {
    type SystemUnderTest = MoveWorld;
    type Reference = EventSource;

    fn init_test((): &()) -> MoveWorld {
        MoveWorld::new(MOVERS)
    }

    fn apply(mut world: MoveWorld, (): &(), event: WorldEvent) -> MoveWorld {
        match event {
            WorldEvent::Seconds { count, spreads } => {
                for _ in 0..count {
                    world.second(spreads);
                }
            }
            WorldEvent::Store(mode) => world.mode = mode,
            WorldEvent::LandLate => {
                world.land_late();
            }
            WorldEvent::Freeze { mover, is_frozen } => world.set_frozen(mover, is_frozen),
            WorldEvent::Leave { mover, is_leaving } => world.set_leaving(mover, is_leaving),
            WorldEvent::Candidate {
                mover,
                is_candidate,
            } => {
                world.set_candidate(mover, is_candidate);
            }
            WorldEvent::Fail { service, fails } => world.set_fails(service, fails),
        }
        world
    }

    fn teardown(mut world: MoveWorld, (): ()) {
        world.settle();
    }
}

fn pass(world: &mut MoveWorld, seconds: u32) {
    for _ in 0..seconds {
        world.second(true);
    }
}

#[test]
fn late_write_of_a_frozen_holder_has_no_effect() {
    let mut world = MoveWorld::new(MOVERS);
    pass(&mut world, 10);
    let holder = world.holder().expect("a holder after ten seconds");
    world.mode = StoreMode::Late;
    pass(&mut world, 10);
    world.set_frozen(holder, true);
    world.mode = StoreMode::Up;
    pass(&mut world, 25);
    assert_ne!(world.holder(), Some(holder), "another member took over");
    let mut landed = 0;
    while let Some(result) = world.land_late() {
        assert_eq!(result, WriteResult::Refused);
        landed += 1;
    }
    assert!(landed > 0, "a write was under way");
    world.set_frozen(holder, false);
    world.settle();
}

#[test]
fn member_that_leaves_hands_its_lease_over_at_once() {
    let mut world = MoveWorld::new(MOVERS);
    pass(&mut world, 10);
    let holder = world.holder().expect("a holder after ten seconds");
    world.set_leaving(holder, true);
    pass(&mut world, HANDOVER);
    let next = world.holder().expect("a holder after the handover");
    assert_ne!(next, holder);
    pass(&mut world, 30);
    assert_eq!(
        world.holder(),
        Some(next),
        "the leaving member takes no lease"
    );
    world.settle();
}

#[test]
fn member_that_leaves_right_after_taking_its_lease_hands_it_over() {
    let mut world = MoveWorld::new(MOVERS);
    while world.holder().is_none() {
        pass(&mut world, 1);
    }
    let holder = world.holder().expect("a holder");
    world.set_leaving(holder, true);
    // The row is read once before it is released.
    pass(&mut world, HANDOVER + 1);
    assert!(world.holder().is_some_and(|next| next != holder));
    world.settle();
}

#[test]
fn member_that_leaves_still_condemns() {
    let mut world = MoveWorld::new(MOVERS);
    pass(&mut world, 40);
    world.set_candidate(1, false);
    world.set_leaving(0, true);
    world.set_fails(0, true);
    pass(&mut world, 20);
    assert!(world.is_condemned(0), "the fault is seen while it leaves");
    world.settle();
}

#[test]
fn bad_version_is_condemned_while_the_store_is_down() {
    let mut world = MoveWorld::new(MOVERS);
    pass(&mut world, 40);
    world.mode = StoreMode::Down;
    world.set_fails(0, true);
    pass(&mut world, 20);
    assert!(
        world.is_condemned(0) && world.is_condemned(2),
        "the fact reached every member"
    );
    assert_ne!(world.phase(), MovePhase::TakenBack);
    world.mode = StoreMode::Up;
    pass(&mut world, 15);
    assert_eq!(world.phase(), MovePhase::TakenBack);
    world.settle();
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 48,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_204),
        max_shrink_iters: 200,
        .. Config::default()
    })]

    #[test]
    fn movers_keep_the_rules(sequential 1..40 => WorldTest);
}
