//! Tests of where departures are kept, and for how long.

use coltsfootweir::sidecar::announcement::DepartedLifetime;
use coltsfootweir::sidecar::announcement::MAX_LEAVING;
use coltsfootweir::sidecar::departures::departure_book::DepartureBook;
use coltsfootweir::sidecar::departures::departure_book::DepartureSafety;
use coltsfootweir::sidecar::departures::departure_rows::decode_departures;
use coltsfootweir::sidecar::departures::departure_rows::encode_departures;
use coltsfootweir::sidecar::departures::departure_rows::expired_rows;
use coltsfootweir::sidecar::platform_adapter::StoreRow;
use coltsfootweir::sidecar::store_era::store_version::StoreVersion;

/// Milliseconds in an hour, for which a departure is kept.
const HOUR_MS: u64 = 3_600_000;

fn lifetime(id: &str, departed_at: u64) -> DepartedLifetime {
    DepartedLifetime {
        id: id.into(),
        born: 5,
        departed_at,
    }
}

/// Version of the rows.
fn row_version() -> StoreVersion {
    StoreVersion::new(0, 7).expect("in range")
}

fn row(key: &str, departures: &[DepartedLifetime]) -> StoreRow {
    StoreRow {
        key: key.into(),
        value: Some(encode_departures(departures).expect("a value")),
        version: row_version(),
    }
}

/// Returns the safety of the first departure when the daemons in `confirming` keep it.
fn safety(reachable: &[(&str, &str)], confirming: &[&str], is_stored: bool) -> DepartureSafety {
    let mut book = DepartureBook::default();
    let mut members = Vec::new();
    for (id, zone) in reachable {
        book.on_confirmed((*id).into(), u64::from(confirming.contains(id)));
        members.push(((*id).into(), (*zone).into()));
    }
    if is_stored {
        book.on_stored(1);
    }
    book.safety(1, &"a".into(), &members)
}

/// Guards against an acknowledgement on the word of daemons that may fail together with this one.
#[test]
fn daemons_of_the_own_zone_alone_do_not_keep_a_departure() {
    let fleet = [
        ("a-1", "a"),
        ("a-2", "a"),
        ("b-1", "b"),
        ("b-2", "b"),
        ("c-1", "c"),
        ("d-1", "d"),
    ];
    let kept = |confirming: &[&str]| safety(&fleet, confirming, false);
    assert_eq!(kept(&[]), DepartureSafety::Lost);
    assert_eq!(kept(&["a-1", "a-2"]), DepartureSafety::Lost);
    assert_eq!(kept(&["a-1", "b-1", "b-2"]), DepartureSafety::Lost);
    assert_eq!(kept(&["b-2", "d-1"]), DepartureSafety::KeptInPart);
    assert_eq!(safety(&fleet, &["b-2", "d-1"], true), DepartureSafety::Kept);
    assert_eq!(safety(&fleet, &["b-2"], true), DepartureSafety::KeptInPart);
}

#[test]
fn small_deployments_keep_departures_where_they_can() {
    let two_zones = [("a-1", "a"), ("b-1", "b")];
    assert_eq!(
        safety(&two_zones, &["b-1"], false),
        DepartureSafety::KeptInPart
    );
    let one_zone = [("a-1", "a"), ("a-2", "a"), ("a-3", "a")];
    assert_eq!(safety(&one_zone, &["a-1"], false), DepartureSafety::Lost);
    assert_eq!(
        safety(&one_zone, &["a-1", "a-3"], false),
        DepartureSafety::KeptInPart
    );
    assert_eq!(safety(&[], &[], false), DepartureSafety::Lost);
    assert_eq!(safety(&[], &[], true), DepartureSafety::Kept);
}

/// Guards against daemons that cannot keep departures, as they run an older build, and delay each one.
#[test]
fn daemons_that_cannot_keep_departures_are_not_waited_for() {
    let mut book = DepartureBook::default();
    let members = [("b-1".into(), "b".into())];
    assert_eq!(book.safety(1, &"a".into(), &members), DepartureSafety::Lost);
    book.on_stored(1);
    assert_eq!(book.safety(1, &"a".into(), &members), DepartureSafety::Kept);
}

#[test]
fn departures_of_others_are_merged_bounded_and_dropped_with_them() {
    let mut book = DepartureBook::default();
    for number in 0..2 * MAX_LEAVING as u64 {
        let departed = lifetime(&format!("i-{number}"), 100 - number);
        book.hold(&"vm-1".into(), vec![departed.clone(), departed], |_| true);
    }
    let held = book.held(&"vm-1".into());
    assert_eq!(held.len(), MAX_LEAVING);
    assert_eq!(
        held.last().map(|lifetime| lifetime.departed_at),
        Some(100),
        "the newest ones"
    );
    book.hold(&"vm-2".into(), vec![lifetime("i-1", 3)], |id| {
        **id != *"vm-1"
    });
    assert!(book.held(&"vm-1".into()).is_empty());
    assert_eq!(book.held(&"vm-2".into()).len(), 1);
}

/// Guards against rows that are removed while a late announcement may come, or never.
#[test]
fn rows_are_removed_an_hour_after_the_last_departure() {
    let wall = 10 * HOUR_MS;
    let old = lifetime("i-1", wall - HOUR_MS - 1);
    let rows = [
        row("vm-1", std::slice::from_ref(&old)),
        row("vm-2", &[old, lifetime("i-2", wall - HOUR_MS + 1)]),
        row("vm-3", &[lifetime("i-3", wall + 5_000)]),
        StoreRow {
            key: "vm-4".into(),
            value: Some(b"no departures".to_vec()),
            version: row_version(),
        },
    ];
    assert_eq!(expired_rows(&rows, wall), [("vm-1".into(), row_version())]);
    assert!(decode_departures(&rows[3]).is_err());
    let read = decode_departures(&rows[2]).expect("departures");
    assert_eq!(read, [lifetime("i-3", wall + 5_000)]);
}

/// Guards against a daemon that vouches for departures of another one, but has forgotten them.
#[test]
fn forgotten_departures_are_not_vouched_for() {
    let (owner, other) = ("a-1".into(), "a-2".into());
    let mut book = DepartureBook::default();
    assert!(!book.is_complete(&owner));
    book.hold(&owner, vec![lifetime("i-1", 1)], |_| true);
    assert!(!book.is_complete(&owner), "the owner may not know all");
    book.on_complete(owner.clone(), |_| true);
    assert!(book.is_complete(&owner));
    book.hold(&other, vec![lifetime("i-2", 2)], |_| false);
    assert!(book.held(&owner).is_empty());
    assert!(!book.is_complete(&owner));
}
