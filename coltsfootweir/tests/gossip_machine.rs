//! Generated steps against members that exchange messages, with a simple oracle.

mod common;
mod support;

use std::collections::BTreeSet;

use coltsfootweir::member::MemberState;
use common::fixed_config;
use common::step_test::StepTest;
use common::step_test::StepWorld;
use proptest::prelude::*;
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

impl StepWorld for GossipMachine {
    type Step = MachineStep;

    fn start() -> GossipMachine {
        GossipMachine::new()
    }

    fn steps() -> BoxedStrategy<MachineStep> {
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

    /// Applies a step; one that is impossible for its member changes nothing.
    fn apply_step(&mut self, step: MachineStep) {
        match step {
            MachineStep::Round => self.pass_round(),
            MachineStep::Deliver(choice) => self.deliver(choice, false),
            MachineStep::DeliverAll => self.deliver_all(),
            MachineStep::Repeat(choice) => self.deliver(choice, true),
            MachineStep::Drop(choice) => self.drop_message(choice),
            MachineStep::SetPhase(member, phase) => {
                if may_follow(self.members[member].phase, phase) {
                    self.set_phase(member, phase);
                }
            }
            MachineStep::SetCut(cut) => self.cut = cut,
            MachineStep::SetSides(sides) => self.sides = sides,
            MachineStep::SetStore(up) => self.store_up = up,
            MachineStep::Publish(member) if self.is_running(member) => self.publish(member),
            MachineStep::Condemn(member, version) if self.is_running(member) => {
                self.condemn(member, version);
            }
            MachineStep::Publish(_) | MachineStep::Condemn(..) => {}
        }
        self.check_steps();
    }

    fn finish(self) {
        let mut machine = self;
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
        machine.pass_rounds(HEAL_ROUNDS);
        for member in machine.running() {
            check_agreement(&machine, member);
            let held = machine.facts_of(member);
            assert!(held.is_superset(&facts), "{member} lacks a fact");
        }
    }
}

fn may_follow(before: MemberPhase, after: MemberPhase) -> bool {
    match before {
        MemberPhase::Running => after != MemberPhase::Running,
        MemberPhase::Frozen | MemberPhase::Stopped => after == MemberPhase::Running,
        MemberPhase::Left => after == MemberPhase::Stopped,
    }
}

/// Checks that `member` agrees with the truth about every other member.
fn check_agreement(machine: &GossipMachine, member: usize) {
    let gossip = &machine.members[member].gossip;
    let running = machine.running();
    let served = running
        .iter()
        .map(|other| machine.members[*other].gossip.own().served);
    assert_eq!(
        Some(gossip.own().served),
        served.max(),
        "{member} is behind"
    );
    let floor = machine.members[member].known_floor;
    assert!(floor.is_some(), "{member} has no floor");
    for other in 0..MEMBERS {
        let state = &machine.members[other];
        let entry = gossip.view().get(&address_of(other).to_string());
        if state.phase == MemberPhase::Running {
            let own = Some(state.gossip.own());
            assert_eq!(entry, own, "{member} is wrong about {other}");
            assert!(gossip.region_reachable(region_of(other), machine.now()));
            continue;
        }
        if state.phase == MemberPhase::Left {
            let live = entry.is_some_and(|entry| entry.state.is_live());
            assert!(!live, "{member} does not know that {other} left");
            continue;
        }
        // A region without a member that runs has no one to declare its members dead.
        let mut judges = running.iter();
        let judged = judges.any(|judge| region_of(*judge) == region_of(other));
        let live = entry.is_some_and(|entry| entry.state <= MemberState::Suspect);
        assert!(!(judged && live), "{member} misses the end of {other}");
    }
}

proptest! {
    #![proptest_config(fixed_config(0x5eed, 40))]

    #[test]
    fn any_cut_heals(sides in any::<[bool; MEMBERS]>(), rounds in 1..40usize) {
        let mut machine = GossipMachine::new();
        machine.pass_rounds(10);
        machine.sides = sides;
        machine.pass_rounds(rounds);
        machine.publish(0);
        machine.condemn(1, 1);
        machine.pass_rounds(1);
        machine.sides = [false; MEMBERS];
        machine.pass_rounds(HEAL_ROUNDS);
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
    fn members_agree_after_any_steps(sequential 24..220 => StepTest<GossipMachine>);
}
