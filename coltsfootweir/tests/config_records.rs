//! Parsing of records: arbitrary input, both schema versions in one body, and the faults reported.

mod common;

use std::time::Duration;
use std::time::SystemTime;

use proptest::collection::btree_map;
use proptest::collection::vec;
use proptest::prelude::*;
use serde_json::Value;
use serde_json::json;

use coltsfootweir::record::ConfigRecord;
use coltsfootweir::record::TrafficShare;
use coltsfootweir::schema::MAX_BODY_BYTES;
use coltsfootweir::schema::parse_records;
use coltsfootweir::schema::render_record;

use common::fixed_config;
use common::records::move_record;

const NOW: SystemTime = SystemTime::UNIX_EPOCH;

fn parse_one(value: &Value) -> ConfigRecord {
    parse_records(&value.to_string(), NOW)
        .expect("the record is valid")
        .remove(0)
}

fn faults(body: &Value) -> Vec<String> {
    let faults = parse_records(&body.to_string(), NOW).expect_err("the body has faults");
    faults.iter().map(ToString::to_string).collect()
}

/// Returns a valid record of every kind and schema version.
fn samples() -> Vec<Value> {
    let done_by = "2031-05-01T05:30:00Z";
    vec![
        json!({"kind": "route", "schema": 1, "name": "a", "service": "s", "prefix": "/a",
            "class": "check", "timeout_ms": 500}),
        json!({"kind": "route", "schema": 2, "name": "b", "service": "s", "prefix": "/b/",
            "class": "booking", "timeout_ms": 900, "retry_percent": 3}),
        json!({"kind": "upstream-version", "schema": 1, "service": "s", "version": "v1",
            "share": 100}),
        json!({"kind": "upstream-version", "schema": 2, "service": "s", "version": "v2",
            "shares": {"checks": 0, "bookings": 0}}),
        json!({"kind": "move", "schema": 1, "name": "m", "service": "s", "from": "v1",
            "to": "v2", "done_by": done_by}),
        json!({"kind": "move", "schema": 2, "name": "n", "service": "s", "from": "v1",
            "to": "v2", "done_in_seconds": 60}),
    ]
}

/// Generates strings, among them valid and nearly valid times.
fn any_text() -> impl Strategy<Value = Value> {
    let time =
        "(1970|2031|9999)-[01][0-9]-[0-3][0-9]T[0-2][0-9]:00:00(Z|[+-][0-2][0-9]:[0-5][0-9])";
    prop_oneof!["\\PC{0,12}", time].prop_map(Value::from)
}

fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        any_text(),
    ];
    let keys = prop::sample::select(vec!["kind", "schema", "name", "shares", "x"]);
    leaf.prop_recursive(3, 24, 4, move |inner| {
        let fields = btree_map(keys.clone().prop_map(String::from), inner.clone(), 0..4);
        prop_oneof![
            vec(inner, 0..4).prop_map(Value::from),
            fields.prop_map(|fields| Value::Object(fields.into_iter().collect())),
        ]
    })
}

proptest! {
    #![proptest_config(fixed_config(0x7e0, 3000))]

    #[test]
    fn no_text_panics(text in "\\PC{0,60}", value in any_json()) {
        let _ = parse_records(&text, NOW);
        for fault in parse_records(&value.to_string(), NOW).err().into_iter().flatten() {
            prop_assert!(!fault.record.is_empty() && !fault.field.is_empty());
        }
    }

    #[test]
    fn a_changed_field_is_named_or_read_back(
        sample in 0usize..6,
        field in any::<prop::sample::Index>(),
        value in prop::option::of(prop_oneof![any_json(), any_text()]),
    ) {
        let mut record = samples().swap_remove(sample);
        let fields = record.as_object_mut().unwrap();
        let field = fields.keys().nth(field.index(fields.len())).unwrap().clone();
        match value {
            Some(value) => drop(fields.insert(field.clone(), value)),
            None => drop(fields.remove(&field)),
        }
        match parse_records(&record.to_string(), NOW) {
            Ok(records) => prop_assert_eq!(&parse_one(&render_record(&records[0])), &records[0]),
            Err(faults) => {
                let alias = if field == "done_in_seconds" { "done_by" } else { &field };
                for fault in faults {
                    let name = fault.field.split('.').next().unwrap();
                    prop_assert!(name == field || name == alias, "{} for {}", fault, field);
                }
            }
        }
    }
}

#[test]
fn both_versions_of_a_schema_are_read_side_by_side() {
    let records = parse_records(&Value::from(samples()).to_string(), NOW).unwrap();
    let [
        ConfigRecord::Route(first),
        ConfigRecord::Route(second),
        ConfigRecord::Version(third),
        ConfigRecord::Version(fourth),
        ConfigRecord::Move(fifth),
        ConfigRecord::Move(sixth),
    ] = records.as_slice()
    else {
        panic!("{records:?}");
    };
    assert_eq!((first.retry_percent, second.retry_percent), (10, 3));
    let shares = (third.share, fourth.share);
    assert_eq!(shares, (TrafficShare::ALL, TrafficShare::NONE));
    let time = SystemTime::UNIX_EPOCH + Duration::from_secs(1_935_379_800);
    assert_eq!(fifth.done_by, time);
    assert_eq!(sixth.done_by, NOW + Duration::from_secs(60));
    for record in &records {
        assert_eq!(parse_one(&render_record(record)), *record);
    }
    let mut booking = samples().swap_remove(0);
    booking["class"] = "booking".into();
    let ConfigRecord::Route(booking) = parse_one(&booking) else {
        panic!("a route")
    };
    assert_eq!(booking.retry_percent, 0);
    let mut local = samples().swap_remove(4);
    local["done_by"] = "2031-05-01T14:30:00+09:00".into();
    let expected = move_record("m", "v1", "v2");
    let expected = ConfigRecord::Move(coltsfootweir::record::MoveRecord {
        service: "s".into(),
        done_by: time,
        ..expected
    });
    assert_eq!(parse_one(&local), expected);
}

#[test]
fn every_fault_is_named_at_once() {
    let mut records = samples();
    records[0]["prefix"] = "a".into();
    records[0]["timeout_ms"] = 0.into();
    records[0]["retry_percent"] = 5.into();
    records[1]["schema"] = 7.into();
    records[2]["share"] = 101.into();
    records[3]["shares"] = json!({"checks": "all", "rest": 1});
    records[4]["name"] = "x/y".into();
    records[5]["done_by"] = "2031-05-01T05:30:00Z".into();
    records.push(json!({"kind": "gateway", "schema": 1, "name": "g"}));
    records.push(json!({"schema": 1, "name": ""}));
    records.push(
        json!({"kind": "move", "schema": 2, "name": 4, "service": "s", "from": "v1",
        "to": "", "done_in_seconds": 0}),
    );
    let expected = [
        "record route/a: field prefix: must start with '/'",
        "record route/a: field timeout_ms: must be a whole number from 1 to 3600000",
        "record route/a: field retry_percent: unknown field; known are kind, schema, class, name, \
         service, prefix, timeout_ms",
        "record route/b: field schema: unknown schema version 7; known versions of route are 1, 2",
        "record upstream-version/s/v1: field share: must be a whole number from 0 to 100",
        "record upstream-version/s/v2: field shares.checks: must be a whole number from 0 to 100",
        "record upstream-version/s/v2: field shares.bookings: missing",
        "record upstream-version/s/v2: field shares.rest: unknown field; known are checks, bookings",
        "record move/x/y: field name: '/' is not allowed in a name",
        "record move/n: field done_by: given together with done_in_seconds",
        "record gateway/g: field kind: unknown kind \"gateway\"; known kinds are move, route, \
         upstream-version",
        "record ?/ at position 8: field kind: must be a string; known kinds are move, route, \
         upstream-version",
        "record move/? at position 9: field done_in_seconds: must be a whole number from 1 to \
         31622400",
        "record move/? at position 9: field name: must be a string",
        "record move/? at position 9: field to: must not be empty",
    ];
    assert_eq!(faults(&records.into()), expected);
}

#[test]
fn times_that_cannot_be_kept_or_written_are_refused() {
    let times = [
        "1970-01-01T00:30:00+01:00",
        "9999-12-31T23:30:00-01:00",
        "2031-02-30T00:00:00Z",
    ];
    for time in times {
        let mut record = samples().swap_remove(4);
        record["done_by"] = time.into();
        let reason = format!("{time:?} is not an RFC 3339 time such as 2031-05-01T05:30:00Z");
        let expected = format!("record move/m: field done_by: {reason}");
        assert_eq!(faults(&record), [expected]);
    }
}

#[test]
fn a_body_is_refused_as_a_whole_for_length_json_and_doubles() {
    let long = format!("\"{}\"", "x".repeat(MAX_BODY_BYTES));
    let fault = parse_records(&long, NOW).unwrap_err().remove(0);
    assert_eq!((&*fault.record, &*fault.field), ("body", "length"));
    let fault = parse_records("{\"kind\":", NOW).unwrap_err().remove(0);
    assert_eq!((&*fault.record, &*fault.field), ("body", "json"));
    let twice = json!([samples()[0], samples()[0]]);
    let expected = "record route/a: field name: given twice, again at position 2";
    assert_eq!(faults(&twice), [expected]);
}
