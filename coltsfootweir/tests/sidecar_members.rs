//! Member records of sidecars: which one counts, who watches the store, addresses used again.

mod member_records;

use std::collections::HashSet;
use std::time::Duration;

use coltsfootweir::ids::MemberId;
use coltsfootweir::sidecar::member_directory::LinkScope;
use coltsfootweir::sidecar::member_directory::MemberDirectory;
use coltsfootweir::sidecar::member_table::MemberRecord;
use coltsfootweir::sidecar::member_table::MemberTable;
use coltsfootweir::sidecar::member_table::StoreReach;
use proptest::prelude::*;

use member_records::first_record;

fn record(id: &str, incarnation: u64, counter: u64, store: StoreReach) -> MemberRecord {
    MemberRecord {
        incarnation,
        counter,
        store,
        ..first_record(id)
    }
}

fn table(records: &[MemberRecord]) -> MemberTable {
    let mut table = MemberTable::default();
    for record in records {
        table.merge(record);
    }
    table
}

#[test]
fn later_run_replaces_a_higher_count() {
    let mut table = table(&[record("m", 5, 90, StoreReach::Unknown)]);
    assert!(!table.merge(&record("m", 5, 90, StoreReach::Lost)));
    assert!(table.merge(&record("m", 6, 0, StoreReach::Unknown)));
    assert!(!table.merge(&record("m", 5, 99, StoreReach::Unknown)));
}

#[test]
fn daemon_that_is_gone_does_not_come_back_by_hearsay() {
    let mut table = table(&[record("m", 5, 1, StoreReach::Unknown)]);
    table.remove(&"m".into());
    assert!(!table.merge(&record("m", 5, 7, StoreReach::Unknown)));
    assert!(table.merge(&record("m", 6, 0, StoreReach::Unknown)));
}

#[test]
fn nearest_daemons_that_reach_the_store_watch_it() {
    let near = StoreReach::Within(2);
    let far = StoreReach::Within(65);
    let table = table(&[
        record("a", 1, 0, far),
        record("b", 1, 0, near),
        record("c", 1, 0, StoreReach::Lost),
        record("d", 1, 0, near),
        record("e", 1, 0, near),
    ]);
    let watchers = |is_live: fn(&MemberRecord) -> bool| {
        let ids = ["a", "b", "c", "d", "e"];
        let watching = |id: &&str| {
            let own = (*id).into();
            table.watchers(&own, 2, is_live).contains(&own)
        };
        ids.into_iter().filter(watching).collect::<Vec<_>>()
    };
    assert_eq!(watchers(|_| true), ["b", "d"]);
    // Each of those that see nobody else holds itself for a watcher, unless it lost the store.
    assert_eq!(watchers(|_| false), ["a", "b", "d", "e"]);
}

/// A record of the daemon itself that comes back from others must not change it.
#[test]
fn own_record_is_the_daemons_own() {
    let desk = MemberDirectory::new(record("m", 5, 0, StoreReach::Unknown));
    desk.merge(&[record("m", 6, 3, StoreReach::Lost)]);
    assert_eq!(desk.own().incarnation, 5);
    assert_eq!(desk.own().store, StoreReach::Unknown);
}

#[test]
fn forgotten_daemon_is_neither_dialed_nor_counted() {
    let desk = MemberDirectory::new(record("m", 5, 0, StoreReach::Unknown));
    desk.merge(&[record("n", 5, 0, StoreReach::Within(1))]);
    assert_eq!(
        desk.take_dials(&HashSet::new(), LinkScope::Needed, Duration::ZERO)
            .len(),
        1
    );
    desk.forget(&"n".into());
    desk.merge(&[record("n", 5, 1, StoreReach::Within(1))]);
    assert!(
        desk.take_dials(&HashSet::new(), LinkScope::Needed, Duration::from_secs(9))
            .is_empty()
    );
    assert!(!desk.has_other_store_access());
}

proptest! {
    /// The order in which records arrive does not matter.
    #[test]
    fn tables_agree_whatever_the_order(
        ranks in prop::collection::vec((0_u8..4, 0_u64..3, 0_u64..5), 1..30),
    ) {
        let mut records = Vec::new();
        for (id, incarnation, counter) in ranks {
            records.push(record(&format!("m{id}"), incarnation, counter, StoreReach::Unknown));
        }
        let forward = table(&records);
        records.reverse();
        prop_assert_eq!(forward.digests(), table(&records).digests());
    }
}

/// Two regions of two zones with five daemons each, seen from a daemon of the first zone.
fn desk_in_two_regions() -> MemberDirectory {
    let mut records = Vec::new();
    for number in 0..20 {
        let mut record = record(&format!("vm-{number:02}"), 1, 1, StoreReach::Within(1));
        record.zone = format!("zone-{}", number / 5).into();
        if number >= 10 {
            record.region = "south".into();
            record.store = StoreReach::Within(60);
        }
        records.push(record);
    }
    let desk = MemberDirectory::new(records[0].clone());
    desk.merge(&records);
    desk
}

fn dialed(desk: &MemberDirectory, scope: LinkScope, now: Duration) -> Vec<MemberId> {
    let mut ids = Vec::new();
    for (id, _) in desk.take_dials(&HashSet::new(), scope, now) {
        ids.push(id);
    }
    ids
}

#[test]
fn other_regions_are_linked_by_the_heads_of_their_zones_only() {
    let desk = desk_in_two_regions();
    let ids = dialed(&desk, LinkScope::Needed, Duration::from_secs(1));
    let far: Vec<&str> = ids
        .iter()
        .map(|id| &**id)
        .filter(|id| *id >= "vm-10")
        .collect();
    assert_eq!(far, ["vm-10", "vm-11", "vm-15", "vm-16"]);
    assert_eq!(ids.len(), 9 + far.len());
}

#[test]
fn endpoints_of_other_regions_are_linked_while_the_own_region_is_full() {
    let desk = desk_in_two_regions();
    let start = Duration::from_secs(1);
    dialed(&desk, LinkScope::Needed, start);
    desk.link_other_regions(start);
    assert_eq!(dialed(&desk, LinkScope::Needed, start).len(), 6);
}

#[test]
fn a_judge_of_a_move_hears_from_everyone() {
    let desk = desk_in_two_regions();
    assert_eq!(
        dialed(&desk, LinkScope::All, Duration::from_secs(1)).len(),
        19
    );
}

/// What is allowed to all daemons together is shared by all, also by those without a link here.
#[test]
fn daemons_without_a_link_count_where_an_allowance_is_shared() {
    let desk = desk_in_two_regions();
    assert_eq!((desk.known_count(), desk.live_count()), (20, 1));
}
