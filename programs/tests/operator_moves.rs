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
use common::PlatformProcess;
use common::apply;
use common::json_http::post_json;
use common::operator::OperatorRun;
use common::operator::operate;
use common::operator::operate_json;
use common::records::list_text;
use common::records::move_text;
use common::records::two_versions;
use common::start_platform;
use common::wait_for;

fn start_with_base() -> PlatformProcess {
    let platform = start_platform();
    apply(platform.address, &two_versions("stalls"));
    apply(platform.address, &two_versions("crew"));
    platform
}

fn two_moves() -> String {
    let crew = move_text("m2", "crew", 600);
    list_text(&[move_text("m1", "stalls", 600), crew])
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
        moves["generation"].as_u64() > Some(2)
    });
    run
}

#[test]
fn wait_ends_with_0_once_done_and_outlasts_an_outage() {
    let platform = start_with_base();
    let address = platform.address;
    let run = wait_in_background(address, move_text("m1", "stalls", 600));
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
    assert_eq!(ended["phase"], "done");
    assert_eq!(ended["share"]["checks"], 100);
    assert!(run.err.contains("accepted as generation 3"), "{run:?}");
    assert!(run.err.contains("climbing: checks 10%"), "{run:?}");
}

#[test]
fn wait_for_several_moves_ends_with_6_when_one_is_taken_back() {
    let platform = start_with_base();
    let address = platform.address;
    let run = wait_in_background(address, two_moves());
    let reason = "failed calls, new 12 of 40";
    step(address, "m1", MovePhase::TakenBack, reason);
    pass_time(Duration::from_millis(1500));
    assert!(!run.is_finished(), "the other move is still under way");
    step(address, "m2", MovePhase::Done, "");
    let run = run.join().expect("ended");
    assert_eq!(run.code, 6, "{run:?}");
    let error = run.json()["error"].clone();
    assert_eq!(error["kind"], "taken-back");
    assert_eq!(error["moves"][0]["phase"], "taken-back");
    assert_eq!(error["moves"][1]["phase"], "done");
    let is_told = run.err.contains("move/m1 taken back") && run.err.contains("12 of 40");
    assert!(is_told, "{run:?}");
}

#[test]
fn wait_ends_with_7_at_the_limit() {
    let platform = start_with_base();
    let arguments = "apply - --wait --wait-limit 1s --json";
    let run = platform.operate(arguments, &move_text("m1", "stalls", 600));
    assert_eq!(run.code, 7, "{run:?}");
    assert_eq!(run.json()["error"]["moves"][0]["phase"], "waiting");
}

#[test]
fn moves_and_explain_show_phase_share_time_and_decisions() {
    let platform = start_with_base();
    let address = platform.address;
    apply(address, &two_moves());
    step(address, "m1", MovePhase::Climbing, "");
    step(address, "m2", MovePhase::TakenBack, "slow calls");
    let moves = platform.operate_json("moves", "")["moves"].clone();
    assert_eq!(moves[0]["phase"], "climbing");
    assert_eq!(moves[0]["share"]["bookings"], 5);
    let left = moves[0]["seconds_left"].as_i64().unwrap();
    assert!((540..=600).contains(&left), "{left}");
    assert_eq!(moves[1]["reason"], "slow calls");
    let text = platform.operate("moves", "").out;
    let is_shown = text.contains("climbing    10%") && text.contains("9m ");
    assert!(is_shown, "{text}");
    let explained = platform.operate_json("explain m1", "");
    let decision = &explained["decisions"][0];
    assert_eq!(decision["rule"], "failures");
    assert_eq!(decision["seen"], "new 12 of 40, old 0 of 60");
    let text = platform.operate("explain m2", "").out;
    let is_shown = text.contains("TakenBack") && text.contains("rule  failures");
    assert!(is_shown, "{text}");
}
