//! `mesh route` against sidecars as processes: where a request would go, without sending it.

mod common;
mod sidecar;

use common::PATIENCE;
use common::run_operator;
use common::wait_for;
use serde_json::Value;
use sidecar::send;
use sidecar::sidecar_fleet::ConfigTerms;
use sidecar::sidecar_fleet::HORSES;
use sidecar::sidecar_fleet::STALLS;
use sidecar::sidecar_fleet::SidecarFleet;
use sidecar::sidecar_fleet::SidecarProcess;

const KEY: &str = "a-key-of-ash";

/// A route whose requests go to two services in turn.
const SHARED_ROUTE: &str = r#",{"name":"shared","authority":"test","prefix":"/shared/",
    "kind":"idempotent","timeout_ms":2500,"target_latency_ms":500,"priority":2,"attempts":2,
    "traffic_split":[{"service":"stalls","weight":2},{"service":"horses","weight":1}]}"#;

/// Asks for the route of a path with the operator's program; returns its code and its JSON.
fn ask(sidecar: &SidecarProcess, path: &str, key: Option<&str>) -> (Option<i32>, Value) {
    let daemon = sidecar.admin.to_string();
    let file = std::env::temp_dir().join(format!("key-{}", sidecar.admin.port()));
    let file_name = file.to_str().expect("a path of text").to_owned();
    let mut arguments = vec![
        "--json", "mesh", "route", "--daemon", &daemon, "--host", "test", "--path", path,
    ];
    if let Some(key) = key {
        std::fs::write(&file, format!("{key}\n")).expect("a file");
        arguments.extend(["--key-file", &file_name]);
    }
    let output = run_operator(&arguments, "");
    let text = String::from_utf8(output.stdout).expect("text");
    assert!(!text.contains(KEY), "{text}");
    if key.is_some() {
        std::fs::remove_file(&file).expect("the file");
    }
    (
        output.status.code(),
        serde_json::from_str(&text).unwrap_or_default(),
    )
}

/// Guards against a question that takes a turn of the services, a random number or a token, after
/// which the next request goes elsewhere than explained.
#[test]
fn next_request_goes_where_it_was_explained() {
    let members = [
        (STALLS, "v1"),
        (STALLS, "v1"),
        (STALLS, "v1"),
        (HORSES, "v1"),
    ];
    let fleet = SidecarFleet::start_ready(&members);
    fleet.put_config(2, SHARED_ROUTE);
    fleet.wait_config(2);
    let ingress = &fleet.sidecars[3];
    for number in 0..12 {
        let (code, explained) = ask(ingress, "/shared/ok", None);
        assert_eq!(code, Some(0));
        assert_eq!(explained["route"], "shared");
        for _ in 0..3 {
            let (_, again) = ask(ingress, "/shared/ok", None);
            assert_eq!(again["service"], explained["service"]);
            assert_eq!(again["chosen"], explained["chosen"]);
        }
        let id = format!("sent-{number}");
        assert_eq!(ingress.get("/shared/ok", &id).status, 200);
        let ended = || {
            let events = ingress.events("request_ended");
            events.into_iter().find(|event| event["request"] == *id)
        };
        wait_for("the line of the request", PATIENCE, || ended().is_some());
        let ended = ended().expect("a line");
        assert_eq!(ended["service"], explained["service"], "{explained}");
        assert_eq!(ended["asked"][0], explained["chosen"], "{explained}");
    }
    assert_eq!(fleet.runs_of("sent-0"), 1);
}

/// Guards against a key that is printed or logged, and against an explanation for another team.
#[test]
fn team_and_refusals_are_explained_without_the_key() {
    let fleet = SidecarFleet::start_ready(&[(STALLS, "v1")]);
    let members = format!(
        r#","tenants":[{{"name":"ash","api_keys":["{KEY}"],"priority":1,"rate_per_s":0,"burst":0,
            "allowed_regions":["north"]}}]"#
    );
    let terms = ConfigTerms {
        members,
        ..ConfigTerms::default()
    };
    fleet.put_config_with(2, &terms);
    fleet.wait_config(2);
    let sidecar = &fleet.sidecars[0];
    let (code, explained) = ask(sidecar, "/free/ok", Some(KEY));
    assert_eq!(code, Some(0));
    assert_eq!(explained["team"], "ash");
    assert_eq!(explained["rank"], 1);
    assert_eq!(explained["allowed_regions"], serde_json::json!(["north"]));
    assert_eq!(explained["chosen"], "vm-0");
    assert_eq!(explained["candidates"][0]["link"], "own");
    for (path, key, cause) in [
        ("/free/ok", None, "unknown_key"),
        ("/free/ok", Some("another"), "unknown_key"),
        ("/none/ok", Some(KEY), "no_route"),
        ("/feed/ok", Some(KEY), "no_endpoint"),
    ] {
        let (code, explained) = ask(sidecar, path, key);
        assert_eq!(code, Some(0));
        assert_eq!(explained["refusal"]["cause"], cause, "{path}");
        assert_eq!(explained["chosen"], Value::Null);
    }
    assert!(!sidecar.has_logged(KEY));
}

/// Guards against an explanation that names an endpoint whose daemon is gone, and against questions
/// that are answered in part.
#[test]
fn unreachable_endpoints_are_explained() {
    let mut fleet = SidecarFleet::start_ready(&[(HORSES, "v1"), (STALLS, "v1")]);
    fleet.sidecars[1].kill();
    let ingress = &fleet.sidecars[0];
    wait_for("the lost link", PATIENCE, || {
        ask(ingress, "/free/ok", None).1["refusal"]["cause"] == "no_endpoint"
    });
    let (_, explained) = ask(ingress, "/free/ok", None);
    assert_eq!(explained["candidates"][0]["link"], "closed");
    assert_eq!(explained["candidates"][0]["excluded"], "unreachable");
    for query in ["", "?host=test", "?host=test&path=/free/&key=k"] {
        let answer = send("GET", ingress.admin, &format!("/explain{query}"), "");
        assert_eq!(answer.map(|(status, _)| status), Some(400), "{query}");
    }
    let (code, _) = ask(&fleet.sidecars[1], "/free/ok", None);
    assert_eq!(code, Some(4));
}
