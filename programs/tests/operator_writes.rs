//! `apply` under races, lost answers and outages of the platform.

mod common;

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::PATIENCE;
use common::PlatformProcess;
use common::apply;
use common::json_http::get_json;
use common::json_http::post_json;
use common::operator::OperatorRun;
use common::operator::operate;
use common::operator::operate_json;
use common::records::list_text;
use common::records::route_text;
use common::records::version_text;
use common::start_platform;
use common::wait_for;
use serde_json::Value;

fn route(name: &str, timeout_ms: u64) -> String {
    route_text(name, "stalls", &format!("/{name}"), timeout_ms)
}

fn start_with_base() -> PlatformProcess {
    let platform = start_platform();
    let base = [version_text("stalls", "v1", 100), route("stalls", 1)];
    apply(platform.address, &list_text(&base));
    platform
}

fn apply_json(platform: SocketAddr, input: &str) -> OperatorRun {
    operate(&format!("apply - --json --platform {platform}"), input)
}

fn accepted(platform: SocketAddr) -> Value {
    operate_json(&format!("get --platform {platform}"), "")
}

fn timeout_of(accepted: &Value, name: &str) -> Option<u64> {
    let records = accepted["records"].as_array().expect("records");
    let found = records.iter().find(|record| record["name"] == name)?;
    found["timeout_ms"].as_u64()
}

fn apply_both(platform: SocketAddr, inputs: [String; 2]) -> [OperatorRun; 2] {
    let threads = inputs.map(|input| thread::spawn(move || apply_json(platform, &input)));
    threads.map(|thread| thread.join().expect("ended"))
}

#[test]
fn of_two_applies_at_once_on_one_record_the_loser_names_it() {
    let platform = start_with_base();
    post_json(platform.address, "/faults", r#"{"delay": 60}"#);
    let mut conflicts = 0;
    let mut round = 0;
    let deadline = Instant::now() + PATIENCE;
    // On a busy machine the applies may miss each other, so they go on until some raced.
    while round < 5 || (conflicts == 0 && Instant::now() < deadline) {
        round += 1;
        let times = [round * 100, round * 100 + 1];
        let before = accepted(platform.address)["generation"].as_u64().unwrap();
        let runs = apply_both(platform.address, times.map(|time| route("stalls", time)));
        let after = accepted(platform.address);
        let winners: Vec<usize> = (0..2).filter(|place| runs[*place].code == 0).collect();
        assert!(!winners.is_empty(), "{runs:?}");
        assert_eq!(after["generation"], before + winners.len() as u64);
        if winners.len() == 2 {
            continue;
        }
        conflicts += 1;
        assert_eq!(timeout_of(&after, "stalls"), Some(times[winners[0]]));
        let loser = &runs[1 - winners[0]];
        assert_eq!(loser.code, 3, "{loser:?}");
        assert_eq!(loser.json()["error"]["record"], "route/stalls");
        assert!(loser.err.contains("conflict: route/stalls"), "{loser:?}");
    }
    assert!(conflicts > 0, "no round had a race");
}

#[test]
fn two_applies_at_once_on_two_records_are_both_accepted() {
    let platform = start_with_base();
    post_json(platform.address, "/faults", r#"{"delay": 60}"#);
    let runs = apply_both(platform.address, [route("north", 7), route("south", 8)]);
    assert!(runs.iter().all(|run| run.code == 0), "{runs:?}");
    let after = accepted(platform.address);
    assert_eq!(after["generation"], 3);
    assert_eq!(timeout_of(&after, "north"), Some(7));
    assert_eq!(timeout_of(&after, "south"), Some(8));
}

/// Starts an apply and returns once its commit is on the way; each operation takes `delay_ms`.
fn reach_commit(platform: SocketAddr, delay_ms: u64) -> thread::JoinHandle<OperatorRun> {
    let written = || get_json(platform, "/stats")["objects_written"].as_u64();
    let before = written().unwrap();
    post_json(platform, "/faults", &format!(r#"{{"delay": {delay_ms}}}"#));
    let run = thread::spawn(move || apply_json(platform, &route("stalls", 9)));
    wait_for("both objects written", PATIENCE, || {
        written() == Some(before + 2)
    });
    run
}

#[test]
fn lost_answer_of_a_commit_is_settled_by_its_write_id() {
    for lost in ["lose_answers", "lose_requests"] {
        let platform = start_with_base();
        let run = reach_commit(platform.address, 600);
        let faults = format!(r#"{{"delay": 50, "{lost}": 1}}"#);
        post_json(platform.address, "/faults", &faults);
        let run = run.join().expect("ended");
        let left = &get_json(platform.address, "/faults")[lost];
        assert_eq!(*left, 0, "{lost} not used");
        assert_eq!(run.code, 0, "{lost}: {run:?}");
        assert_eq!(run.json()["generation"], 2);
        let after = accepted(platform.address);
        assert_eq!(after["generation"], 2, "accepted once");
        assert_eq!(timeout_of(&after, "stalls"), Some(9));
    }
}

/// Loses the answer of a commit and then has the platform refuse everything.
fn lose_answer_before_outage(platform: SocketAddr) -> thread::JoinHandle<OperatorRun> {
    let run = reach_commit(platform, 600);
    post_json(platform, "/faults", r#"{"delay": 600, "lose_answers": 1}"#);
    wait_for("the answer is lost", PATIENCE, || {
        get_json(platform, "/faults")["lose_answers"] == 0
    });
    post_json(platform, "/faults", r#"{"outage": true}"#);
    run
}

#[test]
fn lost_answer_before_an_outage_is_settled_after_it() {
    let platform = start_with_base();
    let run = lose_answer_before_outage(platform.address);
    let start = Instant::now();
    // Long enough for every sending of the commit to be refused.
    wait_for("part of the outage", PATIENCE, || {
        start.elapsed() > Duration::from_secs(3)
    });
    post_json(platform.address, "/faults", "{}");
    let run = run.join().expect("ended");
    assert_eq!(run.code, 0, "{run:?}");
    assert_eq!(run.json()["generation"], 2);
}

#[test]
fn write_that_cannot_be_settled_is_in_doubt_and_the_same_apply_settles_it() {
    let platform = start_with_base();
    let run = lose_answer_before_outage(platform.address);
    let run = run.join().expect("ended");
    assert_eq!(run.code, 5, "{run:?}");
    let error = run.json()["error"].clone();
    let write_id = error["write_id"].as_str().unwrap();
    assert!(run.err.contains(write_id), "{run:?}");
    post_json(platform.address, "/faults", "{}");
    let again = apply_json(platform.address, &route("stalls", 9));
    assert_eq!(again.json()["generation"], 2, "the write had taken effect");
    assert_eq!(again.json()["changed"], false);
}

#[test]
fn outage_is_exit_code_4_within_the_timeout_and_nothing_is_lost() {
    let platform = start_with_base();
    let before = accepted(platform.address);
    let address = platform.address;
    for fault in [
        r#""outage": true"#,
        r#""delay": 8000"#,
        r#""refuse_writes": true"#,
    ] {
        let faults = &format!("{{{fault}}}");
        post_json(address, "/faults", faults);
        let start = Instant::now();
        let arguments = format!("apply - --json --timeout 1s --platform {address}");
        let run = operate(&arguments, &route("stalls", 9));
        assert_eq!(run.code, 4, "{faults}: {run:?}");
        assert_eq!(run.json()["error"]["kind"], "unavailable");
        let elapsed = start.elapsed();
        assert!(elapsed < Duration::from_secs(4), "{faults}: {elapsed:?}");
        post_json(address, "/faults", "{}");
        assert_eq!(accepted(address), before, "{faults}");
    }
    let reads = ["get", "moves", "explain m1"];
    post_json(address, "/faults", r#"{"outage": true}"#);
    for command in reads {
        let run = platform.operate(command, "");
        assert_eq!((run.code, run.out.as_str()), (4, ""), "{command}: {run:?}");
        assert!(run.err.starts_with("unavailable: "), "{command}: {run:?}");
    }
}
