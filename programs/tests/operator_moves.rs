//! `apply --wait`, `moves` and `explain` against steps written as a daemon writes them.

mod common;

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use coltsfootweir::accept::accept_change;
use coltsfootweir::decision::DecisionLine;
use coltsfootweir::http_platform::HttpPlatform;
use coltsfootweir::lease::LeaseRow;
use coltsfootweir::mover::lease_key;
use coltsfootweir::platform::RowCondition;
use coltsfootweir::platform::RowWrite;
use coltsfootweir::record::MovePhase;
use coltsfootweir::record::TrafficShare;
use coltsfootweir::snapshot::ConfigSnapshot;

use common::PATIENCE;
use common::apply;
use common::json_http::post_json;
use common::operator::OperatorRun;
use common::operator::operate;
use common::operator::operate_json;
use common::start_platform;
use common::wait_for;

const BASE: &str = r#"[
  {"kind": "upstream-version", "schema": 1, "service": "stalls", "version": "v1", "share": 100},
  {"kind": "upstream-version", "schema": 1, "service": "stalls", "version": "v2", "share": 0},
  {"kind": "upstream-version", "schema": 1, "service": "crew", "version": "v1", "share": 100},
  {"kind": "upstream-version", "schema": 1, "service": "crew", "version": "v2", "share": 0}
]"#;

fn two_moves() -> String {
    let (first, second) = (move_record("m1", "stalls"), move_record("m2", "crew"));
    format!("[{first}, {second}]")
}

fn move_record(name: &str, service: &str) -> String {
    format!(
        r#"{{"kind": "move", "schema": 2, "name": "{name}", "service": "{service}", "from": "v1",
            "to": "v2", "done_in_seconds": 600}}"#
    )
}

/// Writes a step of a move and its decision line in one transaction, as a daemon does.
fn step(platform: SocketAddr, name: &str, phase: MovePhase, reason: &str) {
    let store = HttpPlatform::new(platform, Duration::from_secs(5));
    let line = DecisionLine {
        wall: SystemTime::now(),
        move_name: name.into(),
        seen: "new 12 of 40, old 0 of 60".into(),
        rule: "failures".into(),
        outcome: format!("{phase:?}").into(),
    };
    let row = LeaseRow {
        holder: Some("127.0.0.1:1".into()),
        lines: vec![line],
        ..LeaseRow::default()
    };
    let guard = RowWrite {
        key: lease_key(name),
        condition: RowCondition::Any,
        value: Some(serde_json::to_string(&row).unwrap().into()),
    };
    let share = TrafficShare {
        checks: 10,
        bookings: 5,
    };
    let change = |base: &ConfigSnapshot| base.with_move_step(name, phase, share, reason);
    let write_ids = || format!("{phase:?}-{name}").into();
    accept_change(&store, &write_ids, &change, &[guard]).expect("step is accepted");
}

/// Lets the program look at the platform a few times.
fn pass_time(length: Duration) {
    let start = Instant::now();
    wait_for("time to pass", PATIENCE, || start.elapsed() > length);
}

fn wait_in_background(platform: SocketAddr, input: String) -> thread::JoinHandle<OperatorRun> {
    let arguments = format!("apply - --wait --json --platform {platform}");
    let run = thread::spawn(move || operate(&arguments, &input));
    wait_for("the moves are accepted", PATIENCE, || {
        let moves = operate_json(&format!("moves --platform {platform}"), "");
        moves["generation"].as_u64() > Some(1)
    });
    run
}

#[test]
fn wait_ends_with_0_once_done_and_outlasts_an_outage() {
    let platform = start_platform();
    let address = platform.address;
    apply(address, BASE);
    let run = wait_in_background(address, move_record("m1", "stalls"));
    step(address, "m1", MovePhase::Climbing, "");
    pass_time(Duration::from_millis(1500));
    post_json(address, "/faults", r#"{"outage": true}"#);
    pass_time(Duration::from_millis(1500));
    assert!(!run.is_finished(), "an outage ends no waiting");
    post_json(address, "/faults", "{}");
    step(address, "m1", MovePhase::Done, "all traffic moved");
    let run = run.join().expect("ended");
    assert_eq!(run.code, 0, "{run:?}");
    let ended = run.json()["moves"][0].clone();
    assert_eq!(
        (&ended["phase"], &ended["share"]["checks"]),
        (&"done".into(), &100.into())
    );
    assert!(run.err.contains("accepted as generation 2"), "{run:?}");
    assert!(run.err.contains("climbing: checks 10%"), "{run:?}");
}

#[test]
fn wait_for_several_moves_ends_with_6_when_one_is_taken_back() {
    let platform = start_platform();
    let address = platform.address;
    apply(address, BASE);
    let input = two_moves();
    let run = wait_in_background(address, input);
    step(
        address,
        "m1",
        MovePhase::TakenBack,
        "failed calls, new 12 of 40",
    );
    pass_time(Duration::from_millis(1500));
    assert!(!run.is_finished(), "the other move is still under way");
    step(address, "m2", MovePhase::Done, "");
    let run = run.join().expect("ended");
    assert_eq!(run.code, 6, "{run:?}");
    let error = run.json()["error"].clone();
    assert_eq!(error["kind"], "taken-back");
    assert_eq!(error["moves"][0]["phase"], "taken-back");
    assert_eq!(error["moves"][1]["phase"], "done");
    assert!(
        run.err.contains("move/m1 taken back") && run.err.contains("12 of 40"),
        "{run:?}"
    );
}

#[test]
fn wait_ends_with_7_at_the_limit() {
    let platform = start_platform();
    apply(platform.address, BASE);
    let arguments = format!(
        "apply - --wait --wait-limit 1s --json --platform {}",
        platform.address
    );
    let run = operate(&arguments, &move_record("m1", "stalls"));
    assert_eq!(run.code, 7, "{run:?}");
    assert_eq!(run.json()["error"]["moves"][0]["phase"], "waiting");
}

#[test]
fn moves_and_explain_show_phase_share_time_and_decisions() {
    let platform = start_platform();
    let address = platform.address;
    apply(address, BASE);
    let input = two_moves();
    apply(address, &input);
    step(address, "m1", MovePhase::Climbing, "");
    step(address, "m2", MovePhase::TakenBack, "slow calls");
    let moves = operate_json(&format!("moves --platform {address}"), "")["moves"].clone();
    assert_eq!(moves[0]["phase"], "climbing");
    assert_eq!(moves[0]["share"]["bookings"], 5);
    let left = moves[0]["seconds_left"].as_i64().unwrap();
    assert!((540..=600).contains(&left), "{left}");
    assert_eq!(moves[1]["reason"], "slow calls");
    let text = operate(&format!("moves --platform {address}"), "").out;
    assert!(
        text.contains("climbing    10%") && text.contains("9m "),
        "{text}"
    );
    let explained = operate_json(&format!("explain m1 --platform {address}"), "");
    assert_eq!(explained["decisions"][0]["rule"], "failures");
    assert_eq!(
        explained["decisions"][0]["seen"],
        "new 12 of 40, old 0 of 60"
    );
    let text = operate(&format!("explain m2 --platform {address}"), "").out;
    assert!(
        text.contains("TakenBack") && text.contains("rule  failures"),
        "{text}"
    );
}
