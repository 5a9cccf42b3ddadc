//! Versions of a store that comes back from a copy, and the era in its answers.

use coltsfootweir::sidecar::member_table::RolloutStage;
use coltsfootweir::sidecar::member_table::RolloutStatus;
use coltsfootweir::sidecar::store_era::era_tracker::EraFault;
use coltsfootweir::sidecar::store_era::era_tracker::EraReading;
use coltsfootweir::sidecar::store_era::era_tracker::EraTracker;
use coltsfootweir::sidecar::store_era::store_version::StoreVersion;
use proptest::prelude::*;
use serde::Serialize;

fn version(era: u32, row: u64) -> StoreVersion {
    StoreVersion::new(era, row).expect("in range")
}

proptest! {
    /// Guards against a version of an earlier era that counts as newer because its row version is higher.
    #[test]
    fn later_era_is_newer_whatever_the_row_version(
        eras in (0_u32..1_000, 0_u32..1_000),
        rows in (0_u64..1 << 44, 0_u64..1 << 44),
    ) {
        let (one, other) = (version(eras.0, rows.0), version(eras.1, rows.1));
        prop_assert_eq!(one.cmp(&other), (eras.0, rows.0).cmp(&(eras.1, rows.1)));
        prop_assert_eq!((one.era(), one.row()), (eras.0, rows.0));
        prop_assert_eq!(one.follows(other), eras.0 == eras.1 && rows.0 > rows.1);
    }
}

/// Guards against numbers that overflow into the era of another version.
#[test]
fn versions_out_of_range_are_none() {
    assert!(StoreVersion::new(0, (1 << 44) - 1).is_some());
    assert_eq!(StoreVersion::new(0, 1 << 44), None);
    assert!(StoreVersion::new((1 << 20) - 1, 1).is_some());
    assert_eq!(StoreVersion::new(1 << 20, 1), None);
    assert_eq!(StoreVersion::new(u32::MAX, u64::MAX), None);
}

/// The status of a rollout as an earlier build reads it.
#[derive(Serialize)]
struct EarlierStatus {
    order: u64,
    service: &'static str,
    version: &'static str,
    duration_ms: u64,
    stage: RolloutStage,
}

/// Guards against daemons of this build and of an earlier one that can't read each other's messages.
#[test]
fn version_without_an_era_is_encoded_as_in_earlier_builds() {
    let earlier = EarlierStatus {
        order: 57,
        service: "stalls",
        version: "v2",
        duration_ms: 16_000,
        stage: RolloutStage::Trial,
    };
    let status = RolloutStatus {
        order: version(0, 57),
        service: "stalls".into(),
        version: "v2".into(),
        duration_ms: 16_000,
        stage: RolloutStage::Trial,
    };
    let bytes = rmp_serde::to_vec(&earlier).expect("a message");
    assert_eq!(rmp_serde::to_vec(&status).expect("a message"), bytes);
    let read: RolloutStatus = rmp_serde::from_slice(&bytes).expect("a status");
    assert_eq!(read, status);
    let later = rmp_serde::to_vec(&version(3, 57)).expect("a message");
    let number: u64 = rmp_serde::from_slice(&later).expect("one number");
    assert!(number > 1 << 40, "an earlier build sees a higher number");
}

fn read(tracker: &mut EraTracker, header: Option<&str>) -> Result<(u32, Option<u32>), EraFault> {
    let reading = tracker.read(header)?;
    let EraReading { era, ended } = reading;
    Ok((era, ended))
}

/// Guards against an answer of the time before the store came back that is taken for a present one.
#[test]
fn answers_of_earlier_eras_are_stale() {
    let mut tracker = EraTracker::default();
    assert_eq!(read(&mut tracker, Some("4")), Ok((4, None)));
    assert_eq!(read(&mut tracker, Some(" 4 ")), Ok((4, None)));
    assert_eq!(read(&mut tracker, Some("5")), Ok((5, Some(4))));
    let stale = |era| Err(EraFault::Stale { era, newest: 5 });
    assert_eq!(read(&mut tracker, Some("4")), stale(4));
    assert_eq!(read(&mut tracker, None), stale(0));
    assert_eq!(read(&mut tracker, Some("9")), Ok((9, Some(5))));
    assert_eq!(tracker.newest(), 9);
}

/// Guards against a header that is no number and is taken for one, or for a new era.
#[test]
fn headers_that_are_no_number_change_nothing() {
    let mut tracker = EraTracker::default();
    assert_eq!(read(&mut tracker, Some("4")), Ok((4, None)));
    for odd in [
        "",
        "+5",
        "-1",
        "5 6",
        "0x5",
        "5.0",
        "five",
        "1048576",
        "99999999999999999999",
    ] {
        let fault = EraFault::Unreadable(odd.into());
        assert_eq!(read(&mut tracker, Some(odd)), Err(fault), "{odd:?}");
        assert_eq!(tracker.newest(), 4);
    }
}

/// Guards against a store without the header whose answers are refused.
#[test]
fn store_without_the_header_has_one_era() {
    let mut tracker = EraTracker::default();
    for _ in 0..3 {
        assert_eq!(read(&mut tracker, None), Ok((0, None)));
    }
}
