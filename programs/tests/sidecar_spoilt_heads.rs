//! Endpoints in trouble whose answers have a spoilt head: what their callers get.

mod common;
mod sidecar;

use serde_json::Value;

use common::PATIENCE;
use common::wait_for;
use sidecar::sidecar_fleet::STALLS;
use sidecar::sidecar_fleet::SidecarFleet;
use sidecar::sidecar_fleet::request;
use sidecar::spoilt_answer::spoilt_names;

/// Guards against an answer with a status that is none, a length or a coding that is not understood, or a
/// line that is no field, which arrives as the endpoint's or with a body that is not the endpoint's: a
/// request that may have run once is in doubt.
#[test]
fn answer_with_a_spoilt_head_is_no_answer() {
    let fleet = SidecarFleet::start_ready(&[(STALLS, "v1")]);
    let mut faults = Vec::new();
    for name in spoilt_names() {
        let id = format!("id-{name}");
        let spec = request("POST", &format!("/book/spoilt-{name}"), &id, 1_500);
        let answer = fleet.sidecars[0].call(&spec);
        let seen = answer.map(|answer| {
            let signature = answer.header("upstream-signature").to_owned();
            (answer.status, signature, answer.text())
        });
        if seen != Some((502, String::new(), "answer_broken".to_owned())) {
            faults.push(format!("{name}: {seen:?}"));
        }
        assert_eq!(fleet.runs_of(&id), 1, "{name}");
        let next = fleet.sidecars[0].get("/free/ok", &format!("after-{name}"));
        assert_eq!((next.status, next.text()), (200, "a whole body".into()));
    }
    assert!(faults.is_empty(), "{faults:#?}");
    for (name, reason) in [
        ("status-zero", "invalid status code"),
        ("status-high", "invalid status code"),
        ("length-sign", "invalid content length"),
        ("name-blank", "line that is not a field"),
    ] {
        let id = format!("id-{name}");
        let is_logged = |event: &Value| event["request"] == *id && event["reason"] == reason;
        wait_for("the reason in the log", PATIENCE, || {
            fleet.sidecars[0]
                .events("endpoint_answer_broken")
                .iter()
                .any(is_logged)
        });
    }
}

/// Guards against a request that may be repeated and is not, because its answer was malformed instead of
/// lost.
#[test]
fn repeatable_request_with_a_spoilt_answer_is_repeated_at_another_endpoint() {
    let fleet = SidecarFleet::start_ready(&[(STALLS, "v1"), (STALLS, "v1")]);
    for name in ["status-zero", "status-high", "length-sign", "name-blank"] {
        let answer = fleet.sidecars[0].get(&format!("/free/spoilt-{name}"), name);
        assert_eq!(answer.status, 502, "{name}");
        assert_eq!(fleet.runs_of(name), 2, "{name}");
    }
}
