//! A condemned version is known while its move is under way anywhere, and forgotten everywhere after.

mod common;

use std::time::Duration;

use proptest::prelude::*;

use coltsfootweir::fact::CondemnedFact;
use coltsfootweir::facts_table::CONDEMNED_RETENTION;
use coltsfootweir::facts_table::FactsTable;

use common::fixed_config;

/// Members that pass facts on.
const MEMBERS: usize = 4;

/// Time for which crashes are kept.
const CRASH_RETENTION: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
enum FactStep {
    Assert(usize),
    Pass(usize, usize),
    /// The end of the move comes into force at a member.
    Adopt(usize),
    /// A member starts anew, with nothing kept but the configuration it gets from others.
    Restart(usize),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<FactStep>> {
    let step = prop_oneof![
        1 => (0..MEMBERS).prop_map(FactStep::Assert),
        8 => (0..MEMBERS, 0..MEMBERS).prop_map(|(from, to)| FactStep::Pass(from, to)),
        2 => (0..MEMBERS).prop_map(FactStep::Adopt),
        1 => (0..MEMBERS).prop_map(FactStep::Restart),
        2 => (1..400_u64).prop_map(FactStep::Wait),
    ];
    prop::collection::vec(step, 1..60)
}

/// A member's table, and what it must know.
#[derive(Clone)]
struct FactMember {
    table: FactsTable,
    has_end: bool,
    was_told: bool,
}

impl FactMember {
    fn new() -> FactMember {
        FactMember {
            table: FactsTable::new(CRASH_RETENTION),
            has_end: false,
            was_told: false,
        }
    }

    fn tell(&mut self, member: usize) {
        self.was_told = true;
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
                FactStep::Assert(member) => members[member].tell(member),
                FactStep::Pass(from, to) if members[from].holds() => members[to].tell(from),
                FactStep::Pass(..) => {}
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
                prop_assert!(member.has_end || member.holds() == member.was_told);
            }
        }
        // Facts of ended moves take no part in comparisons, also while they are still held.
        members.iter_mut().for_each(|member| member.adopt(now));
        for member in &mut members {
            prop_assert_eq!(member.table.hashes().count(), 0);
        }
        for _ in 0..3 {
            now += CONDEMNED_RETENTION / 2;
            for to in 0..MEMBERS {
                if members.iter().any(FactMember::holds) {
                    members[to].tell(to);
                }
                members[to].table.expire(now);
            }
        }
        prop_assert!(!members.iter().any(FactMember::holds));
    }
}
