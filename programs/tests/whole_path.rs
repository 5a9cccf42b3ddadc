//! A call goes end to end through separate processes, also after a daemon and an upstream died.

mod common;

use common::DaemonProcess;
use common::DaemonSpec;
use common::PATIENCE;
use common::UpstreamProcess;
use common::apply;
use common::call;
use common::read_status;
use common::start_daemon;
use common::start_platform;
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
    let platform = start_platform();
    let mut spec = DaemonSpec::new(platform.address, "north", "zaandam");
    let mut daemons: Vec<DaemonProcess> = Vec::new();
    let mut upstreams: Vec<UpstreamProcess> = Vec::new();
    for number in 0..4 {
        spec.seeds = daemons.iter().map(|daemon| daemon.control).collect();
        let daemon = start_daemon(&spec);
        let version = if number == 3 { "v2" } else { "v1" };
        upstreams.push(start_upstream(daemon.control, "stalls", version));
        daemons.push(daemon);
    }
    apply(platform.address, RECORDS);
    for daemon in &daemons {
        wait_for("generation 1 in force", PATIENCE, || {
            read_status(daemon.control).is_some_and(|status| {
                let known = status
                    .members
                    .iter()
                    .filter(|entry| entry.endpoint.is_some());
                status.generation == 1 && known.count() == 4
            })
        });
    }
    for daemon in &daemons {
        let answer = call(
            daemon.calls,
            "GET",
            "/stalls/free",
            &[("x-request-id", "own-1")],
        );
        let answer = answer.expect("an answer");
        assert_eq!(
            (answer.status, answer.outcome.as_str()),
            (200, "ran"),
            "{}",
            answer.body
        );
        assert_eq!(answer.request_id, "own-1");
        let body: serde_json::Value = serde_json::from_str(&answer.body).expect("whole JSON");
        assert_eq!(body["version"], "v1");
        assert_eq!(body["path"], "/stalls/free");
    }
    daemons[0].process.kill();
    upstreams[1].process.kill();
    let survivor = daemons[2].calls;
    wait_for("calls served again without a failure", PATIENCE, || {
        (0..20).all(|_| {
            let answer = call(survivor, "GET", "/stalls/free", &[]);
            answer.is_some_and(|answer| answer.status == 200 && answer.outcome == "ran")
        })
    });
}
