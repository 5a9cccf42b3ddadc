//! A call goes end to end through separate processes, also after a daemon and an upstream died.

mod common;

use common::PATIENCE;
use common::apply;
use common::call;
use common::process_fleet::ProcessFleet;
use common::start_upstream;
use common::wait_for;

const RECORDS: &str = r#"[
  {"kind": "upstream-version", "schema": 1, "service": "stalls", "version": "v1", "share": 100},
  {"kind": "upstream-version", "schema": 2, "service": "stalls", "version": "v2",
   "shares": {"checks": 0, "bookings": 0}},
  {"kind": "route", "schema": 1, "name": "stalls", "service": "stalls", "prefix": "/stalls",
   "class": "check", "timeout_ms": 2000}
]"#;

#[test]
fn call_is_served_and_outlives_a_daemon_and_an_upstream() {
    let mut fleet = ProcessFleet::empty();
    for version in ["v1", "v1", "v1", "v2"] {
        let index = fleet.add_joined("north");
        let upstream = start_upstream(fleet.control(index), "stalls", version);
        fleet.upstreams.push(upstream);
    }
    apply(fleet.platform.address, RECORDS);
    fleet.wait_ready(1);
    for daemon in &fleet.daemons {
        let named = [("x-request-id", "own-1")];
        let answer = call(daemon.calls, "GET", "/stalls/free", &named).expect("an answer");
        let end = (answer.status, answer.outcome.as_str());
        assert_eq!(end, (200, "ran"), "{answer:?}");
        assert_eq!(answer.request_id, "own-1");
        let body: serde_json::Value = serde_json::from_str(&answer.body).expect("whole JSON");
        assert_eq!(body["version"], "v1");
        assert_eq!(body["path"], "/stalls/free");
    }
    fleet.daemons[0].process.kill();
    fleet.upstreams[1].process.kill();
    let survivor = fleet.daemons[2].calls;
    wait_for("calls served again without a failure", PATIENCE, || {
        (0..20).all(|_| {
            let answer = call(survivor, "GET", "/stalls/free", &[]);
            answer.is_some_and(|answer| answer.status == 200 && answer.outcome == "ran")
        })
    });
}
