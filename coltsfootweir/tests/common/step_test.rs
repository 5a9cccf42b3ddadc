//! State machines that need no model beside the world: the oracle stands in the world.

use std::fmt::Debug;
use std::marker::PhantomData;

use proptest::prelude::BoxedStrategy;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;

/// A world that steps are applied to and that checks itself.
pub(crate) trait StepWorld: Sized + 'static {
    type Step: Clone + Debug + 'static;

    fn start() -> Self;

    /// Generator of steps.
    fn steps() -> BoxedStrategy<Self::Step>;

    fn apply_step(&mut self, step: Self::Step);

    /// Checks the world after each step.
    fn check_step(&self) {}

    /// Ends the world after the last step and checks what it came to.
    fn finish(self) {}
}

/// The test of a world.
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
