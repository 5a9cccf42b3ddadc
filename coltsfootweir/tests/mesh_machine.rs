//! State machine test of members, configuration and store under combined failures: kills, restarts
//! without state, freezes, network cuts, lost and duplicate messages, damaged transfers, store outages,
//! lost answers and concurrent operators.

mod common;
mod mesh;
mod support;

use common::fake_store::StoreFault;
use common::fixed_config;
use common::step_test::StepTest;
use common::step_test::StepWorld;
use mesh::MEMBERS;
use mesh::MemberMode;
use mesh::MeshWorld;
use proptest::prelude::*;
use proptest_state_machine::prop_state_machine;

/// Rounds of one second in which the mesh recovers after all failures have ended.
const HEAL_ROUNDS: usize = 60;

/// Rounds of one second in which an accepted configuration must be active on all members.
const CONVERGE_ROUNDS: usize = 19;

#[derive(Clone, Debug)]
enum MeshStep {
    Round,
    SetMode(usize, MemberMode),
    Restart(usize),
    SetCut(bool),
    SetStore(bool),
    LoseMessages(u8),
    DamagePulls(u8),
    CrossPull(usize, usize),
    Operate {
        name: u8,
        script: Vec<StoreFault>,
        rivals: bool,
    },
}

fn store_fault() -> impl Strategy<Value = StoreFault> {
    prop_oneof![
        6 => Just(StoreFault::None),
        1 => Just(StoreFault::Outage),
        1 => Just(StoreFault::LostBefore),
        1 => Just(StoreFault::LostAfter),
        1 => (0..4u8).prop_map(StoreFault::Late),
        1 => (1..3u8).prop_map(StoreFault::ConcurrentWriters),
    ]
}

/// Checked against the generations that each address served and the store accepted.
impl StepWorld for MeshWorld {
    type Step = MeshStep;

    fn start() -> MeshWorld {
        MeshWorld::new()
    }

    fn steps() -> BoxedStrategy<MeshStep> {
        let mode = prop_oneof![
            3 => Just(MemberMode::Running),
            2 => Just(MemberMode::Frozen),
            2 => Just(MemberMode::Killed),
        ];
        let script = prop::collection::vec(store_fault(), 0..8);
        prop_oneof![
            16 => Just(MeshStep::Round),
            3 => (0..MEMBERS, mode).prop_map(|(member, mode)| MeshStep::SetMode(member, mode)),
            3 => (0..MEMBERS).prop_map(MeshStep::Restart),
            1 => any::<bool>().prop_map(MeshStep::SetCut),
            1 => any::<bool>().prop_map(MeshStep::SetStore),
            2 => (1..6u8).prop_map(MeshStep::LoseMessages),
            4 => (1..20u8).prop_map(MeshStep::DamagePulls),
            4 => (0..MEMBERS, 0..MEMBERS).prop_map(|(member, from)| MeshStep::CrossPull(member, from)),
            4 => (0..6u8, script, any::<bool>())
                .prop_map(|(name, script, rivals)| MeshStep::Operate { name, script, rivals }),
        ]
        .boxed()
    }

    fn apply_step(&mut self, step: MeshStep) {
        match step {
            MeshStep::Round => self.pass_round(),
            MeshStep::SetMode(member, mode) => self.set_mode(member, mode),
            MeshStep::Restart(member) => self.restart(member),
            MeshStep::SetCut(cut) => self.is_cut = cut,
            MeshStep::SetStore(is_up) => self.is_store_up = is_up,
            MeshStep::LoseMessages(count) => self.lose = count,
            MeshStep::DamagePulls(count) => self.damage = count,
            MeshStep::CrossPull(member, holder) => self.cross_pull(member, holder),
            MeshStep::Operate {
                name,
                script,
                rivals,
            } => self.operate(name, &script, rivals),
        }
    }

    fn check_step(&self) {
        self.check_invariants();
    }

    fn finish(mut self) {
        self.heal();
        for _ in 0..HEAL_ROUNDS {
            self.pass_round();
            self.check_invariants();
        }
        self.operate(0, &[], false);
        for _ in 0..CONVERGE_ROUNDS {
            self.pass_round();
            self.check_invariants();
        }
        self.check_converged();
        self.check_accepted_once();
    }
}

prop_state_machine! {
    #![proptest_config(fixed_config(0x6d65_7368, 48))]

    #[test]
    fn mesh_holds_under_mixed_failures(sequential 60..160 => StepTest<MeshWorld>);
}
