//! A condemned version must be kept while its move is in progress at any member, and dropped at every member
//! after the end of the move.

mod common;

use std::time::Duration;

use proptest::prelude::*;

use coltsfootweir::fact::CondemnedFact;
use coltsfootweir::facts_table::CONDEMNED_RETENTION;
use coltsfootweir::facts_table::FactsTable;

use common::fixed_config;

/// Number of members that exchange facts.
const MEMBERS: usize = 4;

/// Time for which crash facts are kept.
const CRASH_RETENTION: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
enum FactStep {
    Assert(usize),
    Send(usize, usize),
    /// A member adopts the configuration in which the move has ended.
    Adopt(usize),
    /// A member restarts and keeps only the configuration, which it receives from others.
    Restart(usize),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<FactStep>> {
    let step = prop_oneof![
        1 => (0..MEMBERS).prop_map(FactStep::Assert),
        8 => (0..MEMBERS, 0..MEMBERS).prop_map(|(from, to)| FactStep::Send(from, to)),
        2 => (0..MEMBERS).prop_map(FactStep::Adopt),
        1 => (0..MEMBERS).prop_map(FactStep::Restart),
        2 => (1..400_u64).prop_map(FactStep::Wait),
    ];
    prop::collection::vec(step, 1..60)
}

/// Table of a member, and whether it must hold the fact.
#[derive(Clone)]
struct FactMember {
    table: FactsTable,
    has_end: bool,
    was_condemned: bool,
}

impl FactMember {
    fn new() -> FactMember {
        FactMember {
            table: FactsTable::new(CRASH_RETENTION),
            has_end: false,
            was_condemned: false,
        }
    }

    fn condemn(&mut self, member: usize) {
        self.was_condemned = true;
        self.table.condemn(CondemnedFact {
            move_name: "raking".into(),
            service: "crews".into(),
            version: "v2".into(),
            reason: "failures".into(),
            asserted_by: format!("10.23.0.{member}:7000").into(),
        });
    }

    fn adopt(&mut self, now: Duration) {
        self.has_end = true;
        self.table.set_ended_moves(["raking".into()], now);
    }

    fn holds(&self) -> bool {
        self.table.condemned().count() == 1
    }
}

proptest! {
    #![proptest_config(fixed_config(0xe4d, 512))]

    #[test]
    fn facts_stay_while_the_move_runs_and_go_after_it(steps in steps()) {
        let mut members = vec![FactMember::new(); MEMBERS];
        let mut now = Duration::ZERO;
        for step in steps {
            match step {
                FactStep::Assert(member) => members[member].condemn(member),
                FactStep::Send(from, to) if members[from].holds() => members[to].condemn(from),
                FactStep::Send(..) => {}
                FactStep::Adopt(member) => members[member].adopt(now),
                FactStep::Restart(member) => {
                    let has_end = members[member].has_end;
                    members[member] = FactMember::new();
                    if has_end {
                        members[member].adopt(now);
                    }
                }
                FactStep::Wait(seconds) => now += Duration::from_secs(seconds),
            }
            for member in &mut members {
                member.table.expire(now);
                prop_assert!(member.has_end || member.holds() == member.was_condemned);
            }
        }
        // Facts of ended moves are left out of comparisons even while they are still held.
        members.iter_mut().for_each(|member| member.adopt(now));
        for member in &mut members {
            prop_assert_eq!(member.table.hashes().count(), 0);
        }
        for _ in 0..3 {
            now += CONDEMNED_RETENTION / 2;
            for to in 0..MEMBERS {
                if members.iter().any(FactMember::holds) {
                    members[to].condemn(to);
                }
                members[to].table.expire(now);
            }
        }
        prop_assert!(!members.iter().any(FactMember::holds));
    }
}
