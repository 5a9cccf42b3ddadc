//! Keys that carry their time, at real daemons: claimed while young, refused when old, their rows
//! removed from the platform.

mod common;

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use coltsfootweir::claim_row::ClaimLayout;
use coltsfootweir::claim_row::ClaimRowKeys;
use coltsfootweir::http_platform::HttpPlatform;
use coltsfootweir::platform::PlatformStore;
use coltsfootweir::platform::RowCondition;
use coltsfootweir::platform::RowWrite;
use coltsfootweir::platform::WriteBatch;

use common::PATIENCE;
use common::booking_callers::book;
use common::booking_callers::upstream_settings;
use common::call_checks::assert_at_most_once;
use common::caller::WholeAnswer;
use common::caller::call_once;
use common::process_fleet::ProcessFleet;
use common::wait_for;

const HOUR: Duration = Duration::from_secs(3600);

/// Returns a UUID of version 7.
fn timed_key(time: SystemTime, number: u64) -> String {
    let millis = time
        .duration_since(UNIX_EPOCH)
        .expect("after 1970")
        .as_millis();
    let (high, low) = (millis >> 16, millis & 0xffff);
    format!("{high:08x}-{low:04x}-7000-8000-{number:012x}")
}

fn send(fleet: &ProcessFleet, index: usize, key: &str) -> WholeAnswer {
    let answer = call_once(fleet.daemons[index].calls, &book(key));
    answer.whole().expect("an answer")
}

#[test]
fn young_keys_run_once_and_others_are_told_truly() {
    let fleet = ProcessFleet::start_logged(3, &upstream_settings());
    let now = SystemTime::now();
    let young = timed_key(now - HOUR, 1);
    let first = send(&fleet, 0, &young);
    assert!(first.is_good(), "{}", first.text());
    for index in [1, 2, 0] {
        let repeat = send(&fleet, index, &young);
        assert_eq!((repeat.is_good(), repeat.body), (true, first.body.clone()));
    }
    let expired = send(&fleet, 1, &timed_key(now - HOUR * 25, 2));
    assert_eq!(
        (expired.outcome(), expired.reason()),
        ("in-doubt", "key-expired")
    );
    let early = send(&fleet, 1, &timed_key(now + HOUR * 2, 3));
    assert_eq!(
        (early.outcome(), early.reason()),
        ("not-run", "key-from-future")
    );
    assert_at_most_once(&fleet.runs());
    assert_eq!(fleet.runs().len(), 1);
}

#[test]
fn old_claims_leave_the_platform_and_the_rest_stays() {
    let fleet = ProcessFleet::start_logged(3, &upstream_settings());
    let store = HttpPlatform::new(fleet.platform.address, Duration::from_secs(3));
    let now = SystemTime::now();
    let mut keys = vec!["order-7".to_string(), timed_key(now - HOUR * 30, 0)];
    for number in 0..120 {
        keys.push(timed_key(now - HOUR * 60, number));
    }
    let value = r#"{"owner":"gone:1","incarnation":1,"ticket":0,"is_paired":true}"#;
    for key in &keys {
        let rows = ClaimRowKeys::of("stalls", key, ClaimLayout::Both);
        let mut writes = Vec::new();
        for row in rows.iter() {
            writes.push(RowWrite {
                key: row.into(),
                condition: RowCondition::Absent,
                value: Some(value.into()),
            });
        }
        let write_id = key.as_str().into();
        store
            .commit(&WriteBatch { write_id, writes })
            .expect("the store");
    }
    wait_for("old claims are gone", PATIENCE, || {
        let timed = store.list_rows("timed-claim/").expect("the store");
        timed.len() == 1
    });
    let plain = store.list_rows("claim/").expect("the store");
    assert_eq!(plain.len(), 2);
    let told = send(&fleet, 0, &keys[5]);
    assert_eq!((told.outcome(), told.reason()), ("in-doubt", "key-expired"));
    let removed: u64 = (0..3)
        .filter_map(|index| fleet.status(index))
        .map(|status| status.retention.claims_removed)
        .sum();
    assert_eq!(removed, 120);
    assert!(fleet.runs().is_empty());
}
