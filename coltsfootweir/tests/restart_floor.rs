//! A restarted member determines a floor that is not below any generation its address served.

mod common;
mod support;

use std::time::Duration;

use coltsfootweir::floor::FLOOR_SETTLE;
use coltsfootweir::floor::FloorState;
use coltsfootweir::gossip_message::FloorAnswer;
use coltsfootweir::ids::MemberId;
use common::fixed_config;
use proptest::prelude::*;
use support::address_of;
use support::machine::GossipMachine;
use support::machine::MEMBERS;
use support::machine::MemberPhase;

fn peer(index: usize) -> MemberId {
    address_of(index).to_string().into_boxed_str()
}

fn answer(held: u64, advertised: u64) -> FloorAnswer {
    FloorAnswer { held, advertised }
}

/// Rounds within which a restarted member must learn its floor from peers.
const FLOOR_ROUNDS: usize = 45;

/// Rounds within which the members of a region that restarted as a whole must learn their floor once
/// they reach the other region.
const REGION_ROUNDS: usize = 30;

#[test]
fn without_store_and_peers_there_is_no_floor() {
    let mut floor = FloorState::new(Duration::ZERO);
    floor.on_store_head(None);
    floor.on_peer_failure(&peer(1));
    floor.on_peer_asking(&peer(2));
    assert_eq!(floor.floor(Duration::from_secs(10_000)), None);
    floor.on_store_head(Some(0));
    assert_eq!(floor.floor(Duration::ZERO), Some(0), "of an empty store");
}

#[test]
fn answers_count_only_after_the_settle_time() {
    let mut floor = FloorState::new(Duration::ZERO);
    for index in 0..8 {
        floor.on_peer_answer(&peer(index), answer(3, 4), Duration::from_secs(1));
    }
    assert_eq!(floor.floor(FLOOR_SETTLE), None);
    for index in 0..4 {
        floor.on_peer_answer(&peer(index), answer(3, 1), FLOOR_SETTLE);
    }
    assert_eq!(floor.floor(FLOOR_SETTLE), None, "four of eight answered");
    floor.on_peer_answer(&peer(4), answer(2, 2), FLOOR_SETTLE);
    assert_eq!(floor.floor(FLOOR_SETTLE), Some(4));
}

#[test]
fn a_region_that_restarts_as_a_whole_asks_the_other_region() {
    let mut machine = GossipMachine::new();
    machine.pass_rounds(10);
    machine.publish(0);
    machine.pass_rounds(10);
    machine.store_up = false;
    machine.cut = true;
    let region: Vec<usize> = (0..MEMBERS).step_by(2).collect();
    for member in &region {
        machine.set_phase(*member, MemberPhase::Stopped);
        machine.set_phase(*member, MemberPhase::Running);
    }
    machine.pass_rounds(FLOOR_ROUNDS);
    for member in &region {
        let floor = machine.members[*member].known_floor;
        assert_eq!(floor, None, "{member} reaches no one");
    }
    machine.cut = false;
    machine.pass_rounds(REGION_ROUNDS);
    for member in &region {
        let member = &machine.members[*member];
        let served = member.gossip.own().served;
        assert_eq!((member.known_floor, served), (Some(1), 1), "{region:?}");
    }
}

proptest! {
    #![proptest_config(fixed_config(0x5eed, 60))]

    #[test]
    fn one_delivered_push_is_enough_without_the_store(
        member in 0..MEMBERS,
        generations in 1..4u64,
        delivered in any::<usize>(),
        down_rounds in 0..30usize,
    ) {
        let mut machine = GossipMachine::new();
        machine.pass_rounds(10);
        for _ in 1..generations {
            machine.publish(member);
            machine.pass_rounds(10);
        }
        machine.publish(member);
        machine.deliver(delivered, false);
        machine.store_up = false;
        machine.set_phase(member, MemberPhase::Stopped);
        machine.pass_rounds(down_rounds);
        machine.set_phase(member, MemberPhase::Running);
        machine.pass_rounds(FLOOR_ROUNDS);
        prop_assert_eq!(machine.members[member].known_floor, Some(generations));
    }
}
