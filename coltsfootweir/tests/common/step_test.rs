//! State machine tests without a separate reference model. The tested world checks itself.

use std::fmt::Debug;
use std::marker::PhantomData;

use proptest::prelude::BoxedStrategy;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;

/// System under test that applies steps and checks its own state.
pub(crate) trait StepWorld: Sized + 'static {
    type Step: Clone + Debug + 'static;

    fn start() -> Self;

    /// Returns the generator of steps.
    fn steps() -> BoxedStrategy<Self::Step>;

    fn apply_step(&mut self, step: Self::Step);

    /// Checks the state after each step.
    fn check_step(&self) {}

    /// Checks the final state after the last step.
    fn finish(self) {}
}

/// Adapter that runs a [`StepWorld`] as a state machine test.
pub(crate) struct StepTest<W>(PhantomData<W>);

impl<W: StepWorld> ReferenceStateMachine for StepTest<W> {
    type State = ();
    type Transition = W::Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<W::Step> {
        W::steps()
    }

    fn apply((): (), _: &W::Step) {}
}

impl<W: StepWorld> StateMachineTest for StepTest<W> {
    type SystemUnderTest = W;
    type Reference = StepTest<W>;

    fn init_test((): &()) -> W {
        W::start()
    }

    fn apply(mut world: W, (): &(), step: W::Step) -> W {
        world.apply_step(step);
        world
    }

    fn check_invariants(world: &W, (): &()) {
        world.check_step();
    }

    fn teardown(world: W, (): ()) {
        world.finish();
    }
}
