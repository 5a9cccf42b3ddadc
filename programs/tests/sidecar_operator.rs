//! The operator's program against the store of the users' platform, and a request's log lines.

mod common;
mod sidecar;

use std::io::Write;

use common::PATIENCE;
use common::run_operator;
use common::wait_for;
use serde_json::Value;
use sidecar::row_store::StoreMood;
use sidecar::sidecar_fleet::HORSES;
use sidecar::sidecar_fleet::STALLS;
use sidecar::sidecar_fleet::SidecarFleet;

fn run_json(arguments: &[&str], input: &str) -> (Option<i32>, Value) {
    let arguments: Vec<&str> = [&["--json"], arguments].concat();
    let output = run_operator(&arguments, input);
    let text = String::from_utf8(output.stdout).expect("text");
    (
        output.status.code(),
        serde_json::from_str(&text).unwrap_or_default(),
    )
}

#[test]
fn operator_reads_what_stands_in_the_store() {
    let fleet = SidecarFleet::start_ready(&[(STALLS, "v1"), (HORSES, "v1")]);
    let store = fleet.store.address.to_string();
    let (code, json) = run_json(&["mesh", "get", "--store", &store], "");
    assert_eq!(code, Some(0));
    assert_eq!(json["version"], 1);
    assert_eq!(json["routes"].as_array().map(Vec::len), Some(4));
    let (code, json) = run_json(&["mesh", "get", "--store", &store, "book"], "");
    assert_eq!(code, Some(0));
    assert_eq!(json["routes"][0]["is_repeatable"], false);
    let (code, _) = run_json(&["mesh", "get", "--store", &store, "none"], "");
    assert_eq!(code, Some(2));
    fleet.store.put("op", "evacuate/a", "{}");
    let (code, json) = run_json(&["mesh", "status", "--store", &store], "");
    assert_eq!(json["evacuated_zones"], serde_json::json!(["a"]));
    assert_eq!(code, Some(0));
    assert_eq!(json["configuration"], 1);
    assert_eq!(json["daemons"].as_array().map(Vec::len), Some(2));
    let order = r#"{"service":"stalls","to":"v2","duration_s":60}"#;
    fleet.store.put("op", "rollout/stalls", order);
    wait_for("the report", PATIENCE, || {
        let (_, json) = run_json(&["mesh", "moves", "--store", &store], "");
        json["moves"][0]["state"] == "Active"
    });
    fleet.store.set_mood(StoreMood::Refusing(503));
    let (code, _) = run_json(&["mesh", "status", "--store", &store], "");
    assert_eq!(code, Some(4));
}

#[test]
fn operator_follows_a_request_through_the_log() {
    let lines = concat!(
        "vm-1 {\"time\":\"2026-01-01T00:00:02Z\",\"event\":{\"name\":\"request_ended\",\"request\":\"a\"}}\n",
        "noise\n",
        "vm-2 {\"time\":\"2026-01-01T00:00:01Z\",\"event\":{\"name\":\"endpoint_crashed\",\"request\":\"a\"}}\n",
        "vm-2 {\"time\":\"2026-01-01T00:00:01Z\",\"event\":{\"name\":\"request_ended\",\"request\":\"b\"}}\n",
    );
    let (code, json) = run_json(&["mesh", "explain", "a"], lines);
    assert_eq!(code, Some(0));
    let names: Vec<&str> = (0..2)
        .filter_map(|index| json["lines"][index]["event"]["name"].as_str())
        .collect();
    assert_eq!(names, ["endpoint_crashed", "request_ended"]);
    let (code, _) = run_json(&["mesh", "explain", "c"], lines);
    assert_eq!(code, Some(2));
}

#[test]
fn operator_checks_a_configuration_file() {
    let file = std::env::temp_dir().join(format!("config-{}.json", std::process::id()));
    let path = file.to_str().expect("a path of text").to_owned();
    let mut open = std::fs::File::create(&file).expect("a file");
    open.write_all(b"{\"version\":\"0000000x\"}")
        .expect("a file");
    let (code, json) = run_json(&["mesh", "validate", &path], "");
    assert_eq!(code, Some(2));
    assert!(json.to_string().contains("configuration"), "{json}");
    std::fs::remove_file(file).expect("the file");
}
