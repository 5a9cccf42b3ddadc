//! A removal keeps the snapshot consistent or is rejected as a whole, and the oldest ended moves are
//! dropped.

use std::time::Duration;
use std::time::SystemTime;

use coltsfootweir::record::MovePhase;
use coltsfootweir::record::TrafficShare;
use coltsfootweir::schema::parse_records;
use coltsfootweir::snapshot::ConfigSnapshot;
use coltsfootweir::snapshot_change::ENDED_MOVES_KEPT;

const RECORDS: &str = r#"[
  {"kind": "upstream-version", "schema": 1, "service": "stalls", "version": "v1", "share": 100},
  {"kind": "upstream-version", "schema": 1, "service": "stalls", "version": "v2", "share": 0},
  {"kind": "route", "schema": 1, "name": "free", "service": "stalls", "prefix": "/stalls",
   "class": "check", "timeout_ms": 1000}
]"#;

fn with_text(base: &ConfigSnapshot, text: &str) -> ConfigSnapshot {
    let records = parse_records(text, SystemTime::UNIX_EPOCH).expect("records are valid");
    base.with_records(records).expect("records are accepted")
}

fn move_text(name: &str, from: &str, to: &str, seconds: usize) -> String {
    format!(
        r#"{{"kind": "move", "schema": 2, "name": "{name}", "service": "stalls", "from": "{from}",
            "to": "{to}", "done_in_seconds": {seconds}}}"#
    )
}

#[test]
fn removal_keeps_the_configuration_closed() {
    let base = with_text(&ConfigSnapshot::default(), RECORDS);
    let next = base.without_records(&["upstream-version/stalls/v2".into()]);
    let next = next.expect("v2 is not referenced");
    assert_eq!(next.generation, base.generation + 1);
    assert!(!next.versions.contains_key("stalls/v2"));
    let faults = base.without_records(&["upstream-version/stalls/v1".into()]);
    let faults = faults.expect_err("v1 is referenced");
    let is_named = faults.iter().any(|fault| fault.record.contains("stalls"));
    assert!(is_named, "{faults:?}");
    let labels = ["route/free".into(), "route/none".into(), "river/x".into()];
    let faults = base.without_records(&labels);
    let faults = faults.expect_err("two labels are unknown");
    let records: Vec<&str> = faults.iter().map(|fault| &*fault.record).collect();
    assert_eq!(records, ["route/none", "river/x"]);
}

#[test]
fn move_under_way_is_not_removed() {
    let base = with_text(&ConfigSnapshot::default(), RECORDS);
    let moving = with_text(&base, &move_text("to-v2", "v1", "v2", 60));
    assert!(moving.without_records(&["move/to-v2".into()]).is_err());
    let share = TrafficShare::default();
    let ended = moving.with_move_step("to-v2", MovePhase::TakenBack, share, "bad");
    let ended = ended.expect("the move ends");
    assert!(ended.without_records(&["move/to-v2".into()]).is_ok());
}

#[test]
fn oldest_ended_moves_are_dropped() {
    let mut snapshot = with_text(&ConfigSnapshot::default(), RECORDS);
    let share = TrafficShare::default();
    for number in 0..ENDED_MOVES_KEPT + 10 {
        let name = format!("move-{number}");
        snapshot = with_text(&snapshot, &move_text(&name, "v1", "v2", 60 + number));
        snapshot = snapshot
            .with_move_step(&name, MovePhase::TakenBack, share, "bad")
            .expect("step is accepted");
    }
    snapshot = with_text(&snapshot, &move_text("last", "v1", "v2", 1));
    assert_eq!(snapshot.moves.len(), ENDED_MOVES_KEPT + 1);
    assert!(snapshot.moves.contains_key("last"));
    assert!(!snapshot.moves.contains_key("move-0"));
    let oldest = snapshot.moves.values().map(|record| record.done_by).min();
    let last = SystemTime::UNIX_EPOCH + Duration::from_secs(1);
    assert_eq!(oldest, Some(last));
}
