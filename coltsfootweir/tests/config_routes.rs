//! Route tables: exact traffic shares, none for condemned versions, unresolved references refused.

mod common;

use std::collections::BTreeMap;

use proptest::prelude::*;

use coltsfootweir::record::ConfigRecord;
use coltsfootweir::record::MovePhase;
use coltsfootweir::record::RouteClass;
use coltsfootweir::record::TrafficShare;
use coltsfootweir::route_table::RouteTable;
use coltsfootweir::snapshot::ConfigSnapshot;
use coltsfootweir::snapshot::SnapshotError;

use common::fixed_config;
use common::records::first_snapshot;
use common::records::move_record;
use common::records::route;
use common::records::version;

const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];

fn snapshot_with(records: Vec<ConfigRecord>) -> ConfigSnapshot {
    let next = first_snapshot().with_records(records);
    next.expect("all references resolve")
}

/// Counts how many of the 100 points go to each version.
fn count_picks(
    table: &RouteTable,
    class: RouteClass,
    condemned: [bool; 3],
) -> BTreeMap<String, u32> {
    let is_condemned = |name: &str| condemned[VERSIONS.iter().position(|v| *v == name).unwrap()];
    let mut counts = BTreeMap::new();
    for point in 0..100 {
        let picked = table.pick("stalls", class, |split| is_condemned(&split.version), point);
        *counts
            .entry(picked.map_or("none".into(), ToString::to_string))
            .or_default() += 1;
    }
    counts
}

fn expected(shares: [u32; 3]) -> BTreeMap<String, u32> {
    let named = VERSIONS.iter().map(ToString::to_string).zip(shares);
    named.filter(|(_, share)| *share > 0).collect()
}

proptest! {
    #![proptest_config(fixed_config(0x51c, 1500))]

    #[test]
    fn standing_shares_are_exact_and_condemned_versions_get_none(
        first in 0u8..=100, second in 0u8..=100, condemned in any::<[bool; 3]>(),
    ) {
        let (low, high) = (first.min(second), first.max(second));
        let shares = [low, high - low, 100 - high];
        let mut records = Vec::new();
        for (name, share) in VERSIONS.iter().zip(shares) {
            records.push(ConfigRecord::Version(version(name, share, share)));
        }
        let table = RouteTable::compile(&snapshot_with(records)).unwrap();
        let counts = count_picks(&table, RouteClass::Check, [false; 3]);
        prop_assert_eq!(counts, expected(shares.map(u32::from)));
        let counts = count_picks(&table, RouteClass::Booking, condemned);
        let mut left = 0;
        for (index, name) in VERSIONS.iter().enumerate() {
            if condemned[index] {
                prop_assert!(!counts.contains_key(*name));
            } else {
                left += u32::from(shares[index]);
            }
        }
        prop_assert_eq!(counts.get("none").copied().unwrap_or(0), if left == 0 { 100 } else { 0 });
    }

    #[test]
    fn a_move_overrides_standing_shares_until_it_is_condemned(
        checks in 0u8..=100, bookings in 0u8..=100, done in any::<bool>(),
    ) {
        let records = vec![
            ConfigRecord::Version(version("v3", 0, 0)),
            ConfigRecord::Move(move_record("m", "v1", "v2")),
        ];
        let share = TrafficShare { checks, bookings };
        let climbing =
            snapshot_with(records).with_move_step("m", MovePhase::Climbing, share, "").unwrap();
        let table = RouteTable::compile(&climbing).unwrap();
        for (class, percent) in [(RouteClass::Check, checks), (RouteClass::Booking, bookings)] {
            let percent = u32::from(percent);
            let counts = count_picks(&table, class, [false; 3]);
            prop_assert_eq!(counts, expected([100 - percent, percent, 0]));
            let counts = count_picks(&table, class, [false, true, false]);
            prop_assert_eq!(counts, expected([100, 0, 0]));
        }
        prop_assert_eq!(table.fallback("stalls", "v2").map(|name| &**name), Some("v1"));
        prop_assert_eq!(table.fallback("stalls", "v1"), None);
        let named = table.splits("stalls").iter().filter(|split| split.move_name.is_some());
        prop_assert!(named.eq(&table.splits("stalls")[..1]));
        let phase = if done { MovePhase::Done } else { MovePhase::TakenBack };
        let ended = climbing.with_move_step("m", phase, TrafficShare::NONE, "over").unwrap();
        let table = RouteTable::compile(&ended).unwrap();
        let counts = count_picks(&table, RouteClass::Booking, [false; 3]);
        prop_assert_eq!(counts, expected(if done { [0, 100, 0] } else { [100, 0, 0] }));
    }
}

#[test]
fn the_longest_prefix_of_whole_segments_wins() {
    let mut root = route("root", "stalls", 1);
    root.prefix = "/".into();
    let mut deep = route("deep", "stalls", 1);
    deep.prefix = "/shared/deep/".into();
    let snapshot = snapshot_with(vec![ConfigRecord::Route(root), ConfigRecord::Route(deep)]);
    let table = RouteTable::compile(&snapshot).unwrap();
    let cases = [
        ("/shared/deep/x?q=/a", "deep"),
        ("/shared/deep", "deep"),
        ("/shared/deeper", "shared"),
        ("/shared?deep", "shared"),
        ("/sharedx", "root"),
        ("/", "root"),
        ("/?shared", "root"),
    ];
    for (path, name) in cases {
        let found = table.find(path).map(|route| &*route.name);
        assert_eq!(found, Some(name), "{path}");
    }
}

/// Returns the faults of a change as `record field`; the list is empty if it is accepted.
fn faults_of(base: &ConfigSnapshot, record: ConfigRecord) -> Vec<String> {
    let faults = base.with_records([record]).err().unwrap_or_default();
    let named = faults
        .iter()
        .map(|fault| format!("{} {}", fault.record, fault.field));
    named.collect()
}

#[test]
fn open_references_and_changes_of_a_move_are_refused() {
    let base = first_snapshot();
    let started = snapshot_with(vec![ConfigRecord::Move(move_record("m", "v1", "v2"))]);
    let ended = started
        .with_move_step("m", MovePhase::TakenBack, TrafficShare::NONE, "bad")
        .unwrap();
    let mut same_prefix = route("other", "stalls", 1);
    same_prefix.prefix = "/shared/".into();
    let mut later = move_record("m", "v1", "v2");
    later.phase = MovePhase::Done;
    later.share = TrafficShare::ALL;
    let moved = |name, from, to| ConfigRecord::Move(move_record(name, from, to));
    let nowhere = ConfigRecord::Route(route("r", "nowhere", 1));
    let same_prefix = ConfigRecord::Route(same_prefix);
    let cases = [
        (&base, nowhere, "route/r service"),
        (&base, same_prefix, "route/shared prefix"),
        (&base, moved("m", "v1", "v9"), "move/m to"),
        (&base, moved("m", "v2", "v1"), "move/m from"),
        (&base, moved("m", "v1", "v1"), "move/m to"),
        (&started, moved("n", "v1", "v2"), "move/n service"),
        (&started, moved("m", "v2", "v1"), "move/m from, move/m to"),
        (&ended, moved("m", "v1", "v2"), "move/m name"),
    ];
    for (snapshot, record, expected) in cases {
        let found = faults_of(snapshot, record);
        let is_named = !found.is_empty() && expected.starts_with(&found[0]);
        assert!(is_named, "{found:?}, {expected}");
    }
    let total = faults_of(&base, ConfigRecord::Version(version("v2", 10, 0)));
    assert_eq!(total, ["upstream-version/stalls shares.checks"]);
    let kept = started.with_records([ConfigRecord::Move(later)]).unwrap();
    assert_eq!(
        kept.moves, started.moves,
        "phase and share of a started move changed"
    );
    let again = ended.with_move_step("m", MovePhase::Done, TrafficShare::ALL, "");
    assert_eq!(&*again.unwrap_err()[0].field, "phase");
    let mut open = base.clone();
    open.versions.clear();
    let compiled = RouteTable::compile(&open);
    assert!(matches!(compiled, Err(SnapshotError::Inconsistent(_))));
}
