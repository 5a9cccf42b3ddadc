//! Bytes and convergence of the gossip of 560 members in two regions.

mod support;

use support::GossipFleet;

/// Members of today's larger fleet.
const MEMBERS: usize = 560;

/// Rounds of one second in which a head must reach all members.
const CONVERGENCE_ROUNDS: u64 = 19;

/// Bytes a second a member may send and receive.
const BYTES_PER_SECOND: u64 = 5_000;

#[test]
fn traffic_stays_in_the_budget() {
    let mut fleet = GossipFleet::new(MEMBERS);
    for _ in 0..5 {
        fleet.drive_round();
    }
    fleet.counting = true;
    let rounds = 104;
    for round in 0..rounds {
        if round == 2 {
            fleet.publish(17, 1);
        }
        if round == 20 {
            fleet.stopped[40] = true;
        }
        if round == 50 {
            fleet.restart(40);
        }
        fleet.drive_round();
    }
    let per_member = fleet.counts.bytes / rounds / MEMBERS as u64;
    println!(
        "{per_member} B/s sent a member, {} B/s over the link, {} messages",
        fleet.counts.link / rounds,
        fleet.counts.messages
    );
    assert_eq!(fleet.behind(1), 0);
    assert!(
        per_member * 2 < BYTES_PER_SECOND,
        "{per_member} B/s sent and as many received"
    );
}

#[test]
fn a_head_reaches_all_members() {
    let mut fleet = GossipFleet::new(MEMBERS);
    fleet.drive_round();
    fleet.publish(3, 1);
    let rounds = rounds_until_served(&mut fleet, 1);
    assert!(rounds <= CONVERGENCE_ROUNDS, "took {rounds} rounds");
}

#[test]
fn a_head_reaches_all_members_while_a_tenth_is_killed() {
    let mut fleet = GossipFleet::new(MEMBERS);
    fleet.drive_round();
    for member in (0..MEMBERS).step_by(10) {
        fleet.stopped[member] = true;
    }
    fleet.publish(3, 1);
    let rounds = rounds_until_served(&mut fleet, 1);
    assert!(rounds <= CONVERGENCE_ROUNDS, "took {rounds} rounds");
}

#[test]
fn a_head_reaches_all_members_after_a_cut_heals() {
    let mut fleet = GossipFleet::new(MEMBERS);
    fleet.drive_round();
    fleet.cut = true;
    fleet.publish(3, 1);
    for _ in 0..40 {
        fleet.drive_round();
    }
    assert_eq!(fleet.behind(1), MEMBERS / 2, "only the other region waits");
    let now = fleet.now();
    let other = support::REGIONS[0];
    assert!(!fleet.states[3].region_reachable(other, now));
    fleet.cut = false;
    let rounds = rounds_until_served(&mut fleet, 1);
    assert!(rounds <= CONVERGENCE_ROUNDS, "took {rounds} rounds");
    for _ in 0..CONVERGENCE_ROUNDS {
        fleet.drive_round();
    }
    let now = fleet.now();
    for (member, state) in fleet.states.iter().enumerate() {
        assert!(
            state.region_reachable(other, now),
            "member {member} holds {other} cut off"
        );
    }
}

fn rounds_until_served(fleet: &mut GossipFleet, generation: u64) -> u64 {
    let start = fleet.round;
    while fleet.behind(generation) > 0 && fleet.round < start + 3 * CONVERGENCE_ROUNDS {
        fleet.drive_round();
    }
    println!("{} rounds", fleet.round - start);
    fleet.round - start
}
