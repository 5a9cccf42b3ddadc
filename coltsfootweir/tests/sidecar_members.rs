//! Member records of sidecars: which one is kept, which daemons watch the store and which are
//! linked.

mod member_records;

use std::collections::HashSet;
use std::time::Duration;

use coltsfootweir::ids::MemberId;
use coltsfootweir::sidecar::member_directory::LinkScope;
use coltsfootweir::sidecar::member_directory::MemberDirectory;
use coltsfootweir::sidecar::member_table::HostSize;
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
fn removed_daemon_is_not_restored_by_records_of_the_same_run() {
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
        let is_watching = |id: &&str| {
            let own = (*id).into();
            table.watchers(&own, 2, is_live).contains(&own)
        };
        ids.into_iter().filter(is_watching).collect::<Vec<_>>()
    };
    assert_eq!(watchers(|_| true), ["b", "d"]);
    // A daemon that reaches no other one watches the store itself, unless it has lost the store.
    assert_eq!(watchers(|_| false), ["a", "b", "d", "e"]);
}

/// A record about the daemon itself that arrives from another daemon must not replace its own, which
/// is newer than the other one after that.
#[test]
fn own_record_is_the_daemons_own() {
    let directory = MemberDirectory::new(record("m", 5, 0, StoreReach::Unknown));
    directory.merge(&[record("m", 4, 3, StoreReach::Lost)]);
    assert_eq!(directory.own(), record("m", 5, 0, StoreReach::Unknown));
    assert!(
        directory
            .merge(&[record("m", 6, 3, StoreReach::Lost)])
            .is_empty()
    );
    assert_eq!(directory.own(), record("m", 7, 0, StoreReach::Unknown));
    let held = directory.read(|table| table.get(&"m".into()).cloned());
    assert_eq!(held, Some(directory.own()));
}

/// Guards against a row of another writer with a number that leaves no room for a successor: the daemon
/// of that name ended, or no other one believed its record again.
#[test]
fn record_with_a_number_too_large_displaces_no_daemon() {
    let directory = MemberDirectory::new(record("m", 5, 0, StoreReach::Unknown));
    let other = MemberDirectory::new(record("n", 5, 0, StoreReach::Unknown));
    for forged in [(u64::MAX, 0), (u64::MAX - 1, u64::MAX), (5, u64::MAX)] {
        let forged = record("m", forged.0, forged.1, StoreReach::Lost);
        other.merge(std::slice::from_ref(&forged));
        // What the other daemon holds is sent to this one when tables are compared.
        let held = other.read(|table| table.get(&"m".into()).cloned());
        directory.merge(&[held.unwrap_or(forged)]);
        let own = directory.own();
        assert_eq!(own.store, StoreReach::Unknown);
        other.merge(std::slice::from_ref(&own));
        let held = other.read(|table| table.get(&"m".into()).cloned());
        assert_eq!(held, Some(own));
    }
}

/// Dials the daemon `n` without success once a second until `until_s`; returns the times of the attempts.
fn failed_dials(directory: &MemberDirectory, from_s: u64, until_s: u64) -> Vec<u64> {
    let mut times = Vec::new();
    for second in from_s..until_s {
        let now = Duration::from_secs(second);
        directory.check_links(now);
        for (id, _) in directory.take_dials(&HashSet::new(), LinkScope::Needed, now) {
            directory.on_dialed(&id, None, now);
            times.push(second);
        }
    }
    times
}

/// Guards against regions that lose each other for more than a minute and never use each other's
/// endpoints again.
#[test]
fn daemon_out_of_reach_is_dialed_as_long_as_its_row_stands() {
    let directory = MemberDirectory::new(record("m", 5, 0, StoreReach::Unknown));
    let row = record("n", 5, 0, StoreReach::Within(1));
    directory.merge(std::slice::from_ref(&row));
    for (from_s, until_s) in [(0, 72), (72, 600), (600, 7_200)] {
        let times = failed_dials(&directory, from_s, until_s);
        directory.forget_gone(std::slice::from_ref(&row), Duration::from_secs(until_s));
        // The pause until the next attempt after an end of the cut at any time.
        let longest = times.windows(2).map(|pair| pair[1] - pair[0]).max();
        let allowed = (until_s / 100).max(3);
        assert!(
            longest.is_some_and(|pause| pause <= allowed),
            "{longest:?} until {until_s} s"
        );
        assert_eq!(directory.known_count(), 2);
    }
    // Another change of it is believed after that.
    let changed = record("n", 5, 1, StoreReach::Within(1));
    assert_eq!(directory.merge(std::slice::from_ref(&changed)).len(), 1);
    directory.forget_gone(&[], Duration::from_secs(7_200));
    assert_eq!(directory.known_count(), 1);
    assert!(directory.merge(&[changed]).is_empty(), "it has ended");
}

/// A daemon whose row is not seen is kept while it is in reach, or out of reach for a short time.
#[test]
fn daemon_without_a_row_is_kept_while_it_may_be_in_reach() {
    let directory = MemberDirectory::new(record("m", 5, 0, StoreReach::Unknown));
    directory.merge(&[record("n", 5, 0, StoreReach::Within(1))]);
    directory.forget_gone(&[], Duration::from_secs(100));
    failed_dials(&directory, 100, 150);
    directory.forget_gone(&[], Duration::from_secs(150));
    assert_eq!(directory.known_count(), 2);
}

#[test]
fn forgotten_daemon_is_neither_dialed_nor_counted() {
    let directory = MemberDirectory::new(record("m", 5, 0, StoreReach::Unknown));
    directory.merge(&[record("n", 5, 0, StoreReach::Within(1))]);
    assert_eq!(
        directory
            .take_dials(&HashSet::new(), LinkScope::Needed, Duration::ZERO)
            .len(),
        1
    );
    directory.forget(&"n".into());
    directory.merge(&[record("n", 5, 1, StoreReach::Within(1))]);
    assert!(
        directory
            .take_dials(&HashSet::new(), LinkScope::Needed, Duration::from_secs(9))
            .is_empty()
    );
    assert!(!directory.has_other_store_access());
}

proptest! {
    /// The merged table must not depend on the order in which records arrive.
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

/// Returns the directory of a daemon in the first of four zones. Each of the two regions has two
/// zones with five daemons each.
fn directory_in_two_regions() -> MemberDirectory {
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
    let directory = MemberDirectory::new(records[0].clone());
    directory.merge(&records);
    directory
}

fn dialed(directory: &MemberDirectory, scope: LinkScope, now: Duration) -> Vec<MemberId> {
    let mut ids = Vec::new();
    for (id, _) in directory.take_dials(&HashSet::new(), scope, now) {
        ids.push(id);
    }
    ids
}

#[test]
fn other_regions_are_linked_by_the_relays_of_their_zones_only() {
    let directory = directory_in_two_regions();
    let ids = dialed(&directory, LinkScope::Needed, Duration::from_secs(1));
    let other_region: Vec<&str> = ids
        .iter()
        .map(|id| &**id)
        .filter(|id| *id >= "vm-10")
        .collect();
    assert_eq!(other_region, ["vm-10", "vm-11", "vm-15", "vm-16"]);
    assert_eq!(ids.len(), 9 + other_region.len());
}

#[test]
fn endpoints_of_other_regions_are_linked_while_the_own_region_is_full() {
    let directory = directory_in_two_regions();
    let start = Duration::from_secs(1);
    dialed(&directory, LinkScope::Needed, start);
    directory.link_other_regions(start);
    assert_eq!(dialed(&directory, LinkScope::Needed, start).len(), 6);
}

#[test]
fn link_scope_all_links_every_daemon() {
    let directory = directory_in_two_regions();
    assert_eq!(
        dialed(&directory, LinkScope::All, Duration::from_secs(1)).len(),
        19
    );
}

/// Allowances of the deployment are divided by the number of known daemons, linked or not.
#[test]
fn daemons_without_a_link_count_where_an_allowance_is_shared() {
    let directory = directory_in_two_regions();
    assert_eq!((directory.known_count(), directory.live_count()), (20, 1));
}

/// Time of day set back between two runs: the second one starts with a lower number than the first
/// had, which the other daemons still hold.
#[test]
fn daemon_started_with_its_clock_set_back_is_known_again() {
    let other = MemberDirectory::new(first_record("b"));
    let earlier = record("a", 9_000, 4, StoreReach::Unknown);
    assert_eq!(other.merge(&[earlier]).len(), 1);
    let restarted = MemberDirectory::new(record("a", 7_000, 0, StoreReach::Unknown));
    let own = restarted.own();
    assert!(other.merge(std::slice::from_ref(&own)).is_empty());
    // The other daemon answers with what it holds, and gets a record that is newer.
    let held = other.later_runs(std::slice::from_ref(&own));
    assert_eq!(held.len(), 1);
    assert!(restarted.merge(&held).is_empty());
    let own = restarted.own();
    assert_eq!(other.merge(std::slice::from_ref(&own)), vec![own.clone()]);
    assert!(other.later_runs(&[own]).is_empty());
}

/// Guards against a limit holder that may still lend and that a daemon with many peers can't ask, as it
/// does not dial it again after the link was lost.
#[test]
fn former_limit_candidate_is_linked_while_it_may_lend() {
    let own = record("vm-000", 1, 1, StoreReach::Within(1));
    let directory = MemberDirectory::new(own);
    let mut records = Vec::new();
    for number in 1..120 {
        records.push(record(
            &format!("vm-{number:03}"),
            1,
            1,
            StoreReach::Within(1),
        ));
    }
    let holder = MemberRecord {
        zone: "far".into(),
        size: HostSize {
            core_percent: 90,
            link_mbits: 100,
        },
        ..record("vm-big", 1, 1, StoreReach::Within(1))
    };
    records.push(holder);
    directory.merge(&records);
    directory.link_limit_holders(true);
    let is_dialed = |millis: u64| {
        let now = Duration::from_millis(millis);
        let holder = "vm-big".into();
        let is_dialed = dialed(&directory, LinkScope::Needed, now).contains(&holder);
        directory.on_dialed(&holder, None, now);
        is_dialed
    };
    assert!(is_dialed(1_000), "as a candidate");
    assert!(is_dialed(2_000), "without a link it is no candidate");
    assert!(is_dialed(7_400));
    assert!(!is_dialed(9_000), "its lease has ended");
}
