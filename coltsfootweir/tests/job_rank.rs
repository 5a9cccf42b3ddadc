//! Jobs fall evenly on the members, and churn moves few of them.

mod common;
mod support;

use std::collections::BTreeMap;

use coltsfootweir::ids::MemberId;
use coltsfootweir::member::MemberEntry;
use coltsfootweir::rank::holds_job;
use coltsfootweir::rank::rank_idle_first;
use coltsfootweir::rank::rank_members;
use common::fixed_config;
use proptest::prelude::*;
use support::entry_of;

fn members(count: usize) -> Vec<MemberEntry> {
    (0..count).map(|member| entry_of(member, 1)).collect()
}

fn order(job: &str, members: &[MemberEntry]) -> Vec<MemberId> {
    rank_members(job, members.iter())
        .iter()
        .map(|entry| entry.id.clone())
        .collect()
}

#[test]
fn jobs_fall_evenly_on_members() {
    let members = members(40);
    let mut held: BTreeMap<MemberId, usize> = BTreeMap::new();
    for job in 0..4_000 {
        for id in order(&format!("move/{job}"), &members).into_iter().take(2) {
            *held.entry(id).or_default() += 1;
        }
    }
    // 200 each on average; the bounds are five standard deviations away.
    assert_eq!(held.len(), 40);
    let is_even = held.values().all(|jobs| (130..=270).contains(jobs));
    assert!(is_even, "{held:?}");
}

proptest! {
    #![proptest_config(fixed_config(0x5eed, 1_000))]

    #[test]
    fn churn_leaves_the_order_of_the_others(
        count in 2..60usize,
        gone in any::<prop::sample::Index>(),
        job in "[a-z]{1,12}",
    ) {
        let all = members(count);
        let gone = gone.index(count);
        let mut rest = all.clone();
        let lost = rest.remove(gone);
        rest.reverse();
        let mut expected = order(&job, &all);
        expected.retain(|id| *id != lost.id);
        prop_assert_eq!(order(&job, &rest), expected);
    }

    #[test]
    fn holders_are_the_first_ranked(
        count in 1..60usize,
        holders in 1..4usize,
        job in "[a-z]{1,12}",
    ) {
        let all = members(count);
        let ranked = order(&job, &all);
        for (place, id) in ranked.iter().enumerate() {
            prop_assert_eq!(holds_job(&job, id, holders, all.iter()), place < holders);
        }
        let absent = entry_of(99, 1).id;
        prop_assert!(!holds_job(&job, &absent, holders, all.iter()));
    }
}

#[test]
fn busy_members_come_last_and_nobody_is_left_out() {
    for count in 1..9 {
        let members = members(count);
        let busy: Vec<_> = members.iter().step_by(2).map(|entry| &entry.id).collect();
        for job in 0..200 {
            let job = format!("move/{job}");
            let (last, free): (Vec<_>, Vec<_>) = order(&job, &members)
                .into_iter()
                .partition(|id| busy.contains(&id));
            let ranked = rank_idle_first(&job, members.iter(), |entry| busy.contains(&&entry.id));
            let ranked: Vec<_> = ranked.iter().map(|entry| entry.id.clone()).collect();
            assert_eq!(ranked, [free, last].concat());
        }
    }
}
