//! Merging entries gives the same result in any order.

mod common;
mod support;

use std::time::Duration;

use coltsfootweir::member::EndpointPhase;
use coltsfootweir::member::EntryRank;
use coltsfootweir::member::MemberEntry;
use coltsfootweir::member::MemberState;
use coltsfootweir::member::member_hash;
use coltsfootweir::member::run_hash;
use coltsfootweir::view::MemberView;
use common::fixed_config;
use proptest::prelude::*;
use support::entry_of;

fn state() -> impl Strategy<Value = MemberState> {
    use MemberState::*;
    prop::sample::select(vec![Alive, Suspect, Dead, Left])
}

prop_compose! {
    fn entry()(
        member in 0..3usize,
        incarnation in 1..4u64,
        counter in 0..3u64,
        state in state(),
        served in 0..4u64,
        phase in prop_oneof![Just(EndpointPhase::Ready), Just(EndpointPhase::Leaving)],
        zone in prop_oneof![Just("Gouda"), Just("Delft")],
    ) -> MemberEntry {
        let mut entry = entry_of(member, incarnation);
        entry.counter = counter;
        entry.state = state;
        entry.served = served;
        entry.zone = zone.into();
        if let Some(endpoint) = &mut entry.endpoint {
            endpoint.phase = phase;
        }
        entry
    }
}

fn merged(first: &MemberEntry, second: &MemberEntry) -> MemberEntry {
    let mut entry = first.clone();
    entry.merge(second);
    entry
}

/// Ranks of the live entries after all of `entries`.
fn live_ranks<'a>(entries: impl Iterator<Item = &'a MemberEntry>) -> Vec<(Box<str>, EntryRank)> {
    let mut view = MemberView::new(entry_of(7, 1));
    for entry in entries {
        view.merge(entry, Duration::ZERO);
    }
    view.live()
        .map(|entry| (entry.id.clone(), entry.rank()))
        .collect()
}

#[test]
fn a_row_of_an_earlier_run_is_ignored() {
    let mut view = support_view();
    let earlier = entry_of(0, 1);
    let current = entry_of(0, 2);
    view.merge(&earlier, Duration::ZERO);
    assert!(view.record_served(run_hash(&earlier.id, 1), 4));
    view.merge(&current, Duration::ZERO);
    assert!(!view.record_served(run_hash(&earlier.id, 1), 5));
    assert_eq!(view.get(&current.id), Some(&current));
    assert_eq!(view.advertised(&current.id), 4);
}

#[test]
fn the_end_of_a_later_run_takes_nothing_from_the_earlier_one() {
    let mut view = support_view();
    let mut earlier = entry_of(0, 1);
    earlier.served = 4;
    view.merge(&earlier, Duration::ZERO);
    let mut end = entry_of(0, 2).rank();
    end.state = MemberState::Dead;
    assert!(view.merge_ended(member_hash(&earlier.id), end, Duration::ZERO));
    let mut refuted = entry_of(0, 2);
    refuted.counter = 1;
    refuted.served = 3;
    view.merge(&refuted, Duration::ZERO);
    assert_eq!(view.get(&refuted.id), Some(&refuted));
    assert_eq!(view.advertised(&refuted.id), 4);
}

proptest! {
    #![proptest_config(fixed_config(0x5eed, 2_000))]

    #[test]
    fn entries_merge_in_any_order(mut a in entry(), mut b in entry(), mut c in entry()) {
        for entry in [&mut a, &mut b, &mut c] {
            entry.id = entry_of(0, 1).id;
        }
        prop_assert_eq!(merged(&a, &b), merged(&b, &a));
        prop_assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
        prop_assert_eq!(merged(&a, &a), a.clone());
        let mut again = merged(&a, &b);
        prop_assert!(!again.merge(&b), "a repeat changes nothing");
    }

    #[test]
    fn views_agree_on_live_members_in_any_order(
        (entries, shuffled) in prop::collection::vec(entry(), 0..12)
            .prop_flat_map(|entries| (Just(entries.clone()), Just(entries).prop_shuffle())),
    ) {
        prop_assert_eq!(live_ranks(entries.iter()), live_ranks(shuffled.iter()));
    }

    #[test]
    fn a_member_refutes_any_word_of_its_end(word in entry(), own_run in 1..3u64) {
        let mut view = MemberView::new(entry_of(word_index(&word), own_run));
        view.merge(&word, Duration::ZERO);
        prop_assert_eq!(view.own().state, MemberState::Alive);
        prop_assert!(view.own().rank() >= word.rank());
        prop_assert_eq!(view.own().served, 0);
    }

    #[test]
    fn a_dropped_entry_does_not_return(entry in entry(), stale in entry()) {
        let mut view = support_view();
        view.merge(&entry, Duration::ZERO);
        let mut ended = entry.clone();
        ended.state = MemberState::Left;
        view.merge(&ended, Duration::ZERO);
        let mut old = stale;
        old.id = entry.id.clone();
        view.merge(&old, Duration::from_secs(1));
        if old.rank() <= ended.rank() {
            prop_assert!(view.live().all(|live| live.id != entry.id));
        }
        prop_assert!(view.advertised(&entry.id) >= entry.served.max(old.served));
    }
}

fn word_index(entry: &MemberEntry) -> usize {
    (0..3)
        .find(|index| entry_of(*index, 1).id == entry.id)
        .expect("one of three members")
}

fn support_view() -> MemberView {
    MemberView::new(entry_of(7, 1))
}
