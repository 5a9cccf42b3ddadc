//! Peers that report a wrong digest for the head's generation do not delay the accepted configuration
//! beyond a bound, and no other configuration is ever applied.

mod common;
mod mesh;
mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;

use coltsfootweir::head_claims::HeadClaims;
use coltsfootweir::snapshot::HeadMark;

use common::fixed_config;
use mesh::MEMBERS;
use mesh::MeshWorld;

/// Rounds of one second in which an accepted configuration must be active on all members.
const CONVERGE_ROUNDS: usize = 19;

/// Rounds in which the members discover one another.
const START_ROUNDS: usize = 40;

/// What happens in one generation.
#[derive(Clone, Debug)]
struct Change {
    liars: Vec<usize>,
    /// If set, the store goes down right after the acceptance, and this member, or the next one that
    /// reports correct digests, already received the configuration.
    handed_to: Option<usize>,
    lost: u8,
    damaged: u8,
}

fn any_change() -> impl Strategy<Value = Change> {
    let liars = prop::collection::vec(0..MEMBERS, 0..3);
    (liars, prop::option::of(0..MEMBERS), 0..6u8, 0..4u8).prop_map(
        |(liars, handed_to, lost, damaged)| Change {
            liars,
            handed_to,
            lost,
            damaged,
        },
    )
}

fn run_change(world: &mut MeshWorld, change: &Change, accepted: &mut BTreeSet<(u64, Box<str>)>) {
    world.is_store_up = true;
    world.liars = [false; MEMBERS];
    for liar in &change.liars {
        world.liars[*liar] = true;
    }
    world.operate(0, &[], false);
    let head = world.head();
    accepted.insert((head.generation, head.digest.clone()));
    if let Some(member) = change.handed_to {
        let members = (member..member + MEMBERS).map(|member| member % MEMBERS);
        let honest = members.into_iter().find(|member| !world.liars[*member]);
        world.hand_out(honest.expect("few members lie"));
        world.is_store_up = false;
    }
    (world.lose, world.damage) = (change.lost, change.damaged);
    for _ in 0..CONVERGE_ROUNDS {
        world.pass_round();
        world.check_invariants();
        for mark in world.marks() {
            let known =
                mark.generation == 0 || accepted.contains(&(mark.generation, mark.digest.clone()));
            assert!(known, "{mark:?} was never accepted");
        }
    }
    for (member, mark) in world.marks().into_iter().enumerate() {
        assert_eq!(mark, head, "member {member}, {change:?}");
    }
}

#[test]
fn the_store_decides_on_the_digest() {
    let mark = |digest: &str| HeadMark {
        generation: 3,
        digest: digest.into(),
    };
    let mut claims = HeadClaims::default();
    for server in 0..4 {
        claims.add_peer_claim(&mark("wrong"), Some(server), Duration::ZERO);
    }
    claims.confirm(mark("right"), Duration::ZERO);
    assert_eq!(*claims.mark(), mark("right"));
    claims.add_peer_claim(&mark("wrong"), Some(5), Duration::ZERO);
    claims.record_failed_pull(&mark("right"));
    assert_eq!(*claims.mark(), mark("right"));
}

proptest! {
    #![proptest_config(fixed_config(0x11e, 48))]

    #[test]
    fn the_accepted_configuration_is_in_force_in_time_beside_liars(
        changes in prop::collection::vec(any_change(), 1..6),
    ) {
        let mut world = MeshWorld::new();
        let head = world.head();
        let mut accepted = BTreeSet::from([(head.generation, head.digest)]);
        for _ in 0..START_ROUNDS {
            world.pass_round();
        }
        for change in &changes {
            run_change(&mut world, change, &mut accepted);
        }
    }
}
