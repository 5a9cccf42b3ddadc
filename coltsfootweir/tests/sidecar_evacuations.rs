//! Tests of the state of evacuated zones, without a network.

use std::collections::BTreeSet;
use std::time::Duration;

use coltsfootweir::ids::ZoneName;
use coltsfootweir::sidecar::placement::evacuation_set::EvacuationSet;
use coltsfootweir::sidecar::store_era::restore_window::RESTORE_TIME;
use coltsfootweir::sidecar::store_era::store_version::StoreVersion;

const BOUND: Duration = Duration::from_secs(5);

/// A time at which a daemon has run for long.
const LATER: Duration = Duration::from_secs(100);

/// Version of a store without eras.
fn version(row: u64) -> StoreVersion {
    StoreVersion::new(0, row).expect("in range")
}

fn zones(names: &[&str]) -> BTreeSet<ZoneName> {
    names.iter().map(|name| (*name).into()).collect()
}

/// Guards against an evacuation that is still moving when the bound is half over, against all
/// requests that move at once, and against a zone closed before the others have stopped using it.
#[test]
fn requests_leave_a_zone_step_by_step_within_half_of_the_bound() {
    let mut set = EvacuationSet::default();
    let change = set.merge(version(7), &zones(&["a"]), LATER, BOUND);
    assert_eq!(change.begun, ["a".into()]);
    assert!(set.is_fading(LATER, BOUND));
    let mut before = 0.0;
    for step in 0..50 {
        let now = LATER + BOUND / 100 * step;
        let share = set.avoided_share("a", now, BOUND);
        assert!(share - before < 0.05, "{share} after {before}");
        assert!(share >= 1.0 || !set.is_closed("a", now, BOUND), "{step}");
        before = share;
    }
    let half = LATER + BOUND / 2;
    assert!(set.is_closed("a", half, BOUND) && !set.is_fading(half, BOUND));
    assert!(set.avoided_share("b", half, BOUND) <= 0.0);
    assert!(!set.is_closed("b", half, BOUND));
}

/// Guards against an older read that brings back an evacuation, or ends a newer one.
#[test]
fn the_higher_version_wins_in_any_order() {
    let reads = [
        (version(3), zones(&["a"])),
        (version(5), zones(&[])),
        (version(9), zones(&["a", "b"])),
        (version(12), zones(&["b"])),
    ];
    for first in 0..4 {
        for second in 0..4 {
            for third in 0..4 {
                let mut set = EvacuationSet::default();
                let order = [first, second, third];
                for index in order {
                    let (read_at, zones) = &reads[index];
                    set.merge(*read_at, zones, LATER, BOUND);
                }
                let newest = &reads[order.into_iter().max().expect("an index")];
                assert_eq!(set.version(), newest.0, "{order:?}");
                let held = BTreeSet::from_iter(set.zones());
                assert_eq!(held, newest.1, "{order:?}");
            }
        }
    }
}

/// Guards against a zone whose evacuation starts over with each read of the store.
#[test]
fn a_later_read_of_the_same_zones_changes_nothing() {
    let mut set = EvacuationSet::default();
    set.merge(version(3), &zones(&["a"]), LATER, BOUND);
    let change = set.merge(version(4), &zones(&["a"]), LATER + BOUND, BOUND);
    assert!(change.is_empty());
    assert!(set.is_closed("a", LATER + BOUND, BOUND));
    let change = set.merge(version(5), &zones(&[]), LATER + BOUND, BOUND);
    assert_eq!(change.ended, ["a".into()]);
    assert!(!set.is_closed("a", LATER + BOUND, BOUND));
    assert!(set.was_used());
}

/// Guards against a restarted daemon that uses its endpoint in a zone that was evacuated before.
#[test]
fn restarted_daemon_closes_its_endpoint_at_once_and_waits_for_its_peers() {
    let start = Duration::from_millis(200);
    let mut set = EvacuationSet::default();
    assert!(!set.is_known(BOUND));
    set.on_link(start);
    assert!(!set.is_known(start));
    assert!(set.is_known(start + Duration::from_secs(2)));
    set.merge(version(3), &zones(&["a"]), start, BOUND);
    assert!(set.is_known(start));
    assert!(set.is_closed("a", start, BOUND));
    assert!(set.avoided_share("a", start, BOUND) >= 1.0);
}

fn version_in(era: u32, row: u64) -> StoreVersion {
    StoreVersion::new(era, row).expect("in range")
}

/// Guards against evacuations that are ignored since the store has come back from a copy and counts from a
/// lower version.
#[test]
fn evacuation_after_the_store_went_back_is_followed() {
    let mut set = EvacuationSet::default();
    set.merge(version_in(1, 90), &zones(&[]), LATER, BOUND);
    set.merge(version_in(2, 40), &zones(&[]), LATER, BOUND);
    let later = LATER + RESTORE_TIME;
    set.settle(later, BOUND);
    let change = set.merge(version_in(2, 57), &zones(&["a"]), later, BOUND);
    assert_eq!(change.begun, ["a".into()]);
    // News of a daemon that has not heard of the new era.
    let change = set.merge(version_in(1, 95), &zones(&[]), later, BOUND);
    assert!(change.is_empty());
}

/// Guards against an evacuated zone that is used again while its order is missing in the copy, and against
/// an end of the evacuation that is never followed.
#[test]
fn evacuation_that_the_copy_lacks_goes_on_until_it_is_written_again() {
    for is_written_again in [true, false] {
        let mut set = EvacuationSet::default();
        set.merge(version_in(1, 90), &zones(&["a"]), LATER, BOUND);
        let change = set.merge(version_in(2, 40), &zones(&[]), LATER, BOUND);
        assert!(change.is_empty());
        if is_written_again {
            set.merge(version_in(2, 41), &zones(&["a"]), LATER, BOUND);
        }
        assert!(set.settle(LATER + RESTORE_TIME / 2, BOUND).is_empty());
        assert!(set.is_closed("a", LATER + BOUND, BOUND));
        let change = set.settle(LATER + RESTORE_TIME, BOUND);
        assert_eq!(change.ended.is_empty(), is_written_again);
        assert_eq!(set.zones().is_empty(), !is_written_again);
    }
}
