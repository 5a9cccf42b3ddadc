//! Generated steps against members that exchange messages, with a simple oracle.

mod common;
mod support;

use std::collections::BTreeSet;

use coltsfootweir::member::MemberState;
use common::fixed_config;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;
use support::address_of;
use support::machine::GossipMachine;
use support::machine::MEMBERS;
use support::machine::MemberPhase;
use support::region_of;

/// Rounds in which the members must agree once everything heals.
const HEAL_ROUNDS: usize = 60;

/// One generated step.
#[derive(Clone, Debug)]
enum MachineStep {
    Round,
    Deliver(usize),
    DeliverAll,
    Repeat(usize),
    Drop(usize),
    SetPhase(usize, MemberPhase),
    SetCut(bool),
    SetSides([bool; MEMBERS]),
    SetStore(bool),
    Publish(usize),
    Condemn(usize, u8),
}

/// What each member does.
#[derive(Clone, Debug)]
struct PhaseModel {
    phases: [MemberPhase; MEMBERS],
}

impl ReferenceStateMachine for PhaseModel {
    type State = PhaseModel;
    type Transition = MachineStep;

    fn init_state() -> BoxedStrategy<PhaseModel> {
        Just(PhaseModel {
            phases: [MemberPhase::Running; MEMBERS],
        })
        .boxed()
    }

    fn transitions(_: &PhaseModel) -> BoxedStrategy<MachineStep> {
        let phase = prop_oneof![
            3 => Just(MemberPhase::Running),
            2 => Just(MemberPhase::Frozen),
            2 => Just(MemberPhase::Stopped),
            1 => Just(MemberPhase::Left),
        ];
        prop_oneof![
            12 => Just(MachineStep::Round),
            8 => any::<usize>().prop_map(MachineStep::Deliver),
            8 => Just(MachineStep::DeliverAll),
            2 => any::<usize>().prop_map(MachineStep::Repeat),
            2 => any::<usize>().prop_map(MachineStep::Drop),
            4 => (0..MEMBERS, phase).prop_map(|(m, phase)| MachineStep::SetPhase(m, phase)),
            1 => any::<bool>().prop_map(MachineStep::SetCut),
            1 => any::<[bool; MEMBERS]>().prop_map(MachineStep::SetSides),
            1 => Just(MachineStep::SetSides([false; MEMBERS])),
            1 => any::<bool>().prop_map(MachineStep::SetStore),
            2 => (0..MEMBERS).prop_map(MachineStep::Publish),
            1 => (0..MEMBERS, 0..4u8).prop_map(|(m, version)| MachineStep::Condemn(m, version)),
        ]
        .boxed()
    }

    fn apply(mut state: PhaseModel, step: &MachineStep) -> PhaseModel {
        if let MachineStep::SetPhase(member, phase) = step {
            state.phases[*member] = *phase;
        }
        state
    }

    fn preconditions(state: &PhaseModel, step: &MachineStep) -> bool {
        match step {
            MachineStep::SetPhase(member, phase) => match state.phases[*member] {
                MemberPhase::Running => *phase != MemberPhase::Running,
                MemberPhase::Frozen | MemberPhase::Stopped => *phase == MemberPhase::Running,
                MemberPhase::Left => *phase == MemberPhase::Stopped,
            },
            MachineStep::Publish(member) | MachineStep::Condemn(member, _) => {
                state.phases[*member] == MemberPhase::Running
            }
            _ => true,
        }
    }
}

struct MachineTest;

impl StateMachineTest for MachineTest {
    type SystemUnderTest = GossipMachine;
    type Reference = PhaseModel;

    fn init_test(_: &PhaseModel) -> GossipMachine {
        GossipMachine::new()
    }

    fn apply(mut machine: GossipMachine, _: &PhaseModel, step: MachineStep) -> GossipMachine {
        match step {
            MachineStep::Round => machine.pass_round(),
            MachineStep::Deliver(choice) => machine.deliver(choice, false),
            MachineStep::DeliverAll => machine.deliver_all(),
            MachineStep::Repeat(choice) => machine.deliver(choice, true),
            MachineStep::Drop(choice) => machine.drop_message(choice),
            MachineStep::SetPhase(member, phase) => machine.set_phase(member, phase),
            MachineStep::SetCut(cut) => machine.cut = cut,
            MachineStep::SetSides(sides) => machine.sides = sides,
            MachineStep::SetStore(up) => machine.store_up = up,
            MachineStep::Publish(member) => machine.publish(member),
            MachineStep::Condemn(member, version) => machine.condemn(member, version),
        }
        machine.check_steps();
        machine
    }

    fn teardown(mut machine: GossipMachine, _: PhaseModel) {
        machine.cut = false;
        machine.store_up = true;
        for member in 0..MEMBERS {
            if machine.members[member].phase == MemberPhase::Frozen {
                machine.set_phase(member, MemberPhase::Running);
            }
        }
        let mut facts: BTreeSet<Box<str>> = BTreeSet::new();
        for member in machine.running() {
            facts.extend(machine.facts_of(member));
        }
        machine.sides = [false; MEMBERS];
        pass_rounds(&mut machine, HEAL_ROUNDS);
        for member in machine.running() {
            check_agreement(&machine, member);
            assert!(
                machine.facts_of(member).is_superset(&facts),
                "{member} lacks a fact"
            );
        }
    }
}

/// Checks that `member` agrees with the truth about every other member.
fn check_agreement(machine: &GossipMachine, member: usize) {
    let gossip = &machine.members[member].gossip;
    let running = machine.running();
    let highest = running
        .iter()
        .map(|other| machine.members[*other].gossip.own().served)
        .max();
    assert_eq!(Some(gossip.own().served), highest, "{member} is behind");
    assert!(
        machine.members[member].known_floor.is_some(),
        "{member} has no floor"
    );
    for other in 0..MEMBERS {
        let state = &machine.members[other];
        let entry = gossip.view().get(&address_of(other).to_string());
        if state.phase == MemberPhase::Running {
            assert_eq!(
                entry,
                Some(state.gossip.own()),
                "{member} is wrong about {other}"
            );
            assert!(gossip.region_reachable(region_of(other), machine.now()));
            continue;
        }
        if state.phase == MemberPhase::Left {
            let live = entry.is_some_and(|entry| entry.state.is_live());
            assert!(!live, "{member} does not know that {other} left");
            continue;
        }
        // A region without a member that runs has no one to declare its members dead.
        let judged = running
            .iter()
            .any(|judge| region_of(*judge) == region_of(other));
        let live = entry.is_some_and(|entry| entry.state <= MemberState::Suspect);
        assert!(
            !(judged && live),
            "{member} does not know that {other} ended"
        );
    }
}

fn pass_rounds(machine: &mut GossipMachine, rounds: usize) {
    for _ in 0..rounds {
        machine.pass_round();
        machine.deliver_all();
        machine.check_steps();
    }
}

proptest! {
    #![proptest_config(fixed_config(0x5eed, 40))]

    #[test]
    fn any_cut_heals(sides in any::<[bool; MEMBERS]>(), rounds in 1..40usize) {
        let mut machine = GossipMachine::new();
        pass_rounds(&mut machine, 10);
        machine.sides = sides;
        pass_rounds(&mut machine, rounds);
        machine.publish(0);
        machine.condemn(1, 1);
        pass_rounds(&mut machine, 1);
        machine.sides = [false; MEMBERS];
        pass_rounds(&mut machine, HEAL_ROUNDS);
        for member in 0..MEMBERS {
            check_agreement(&machine, member);
            prop_assert_eq!(machine.facts_of(member).len(), 1);
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        max_shrink_iters: 2_000,
        ..fixed_config(0x5eed, 64)
    })]

    #[test]
    fn members_agree_after_any_steps(sequential 20..200 => MachineTest);
}
