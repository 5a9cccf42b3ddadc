//! A daemon that does not have a route yet refuses in a way that lets another daemon take the call.

mod common;

use common::DaemonSpec;
use common::PATIENCE;
use common::apply;
use common::call;
use common::read_status;
use common::records::one_route;
use common::start_daemon;
use common::start_platform;
use common::start_upstream;
use common::wait_for;

#[test]
fn call_passed_on_to_a_daemon_without_its_route_may_be_tried_elsewhere() {
    let platform = start_platform();
    let daemon = start_daemon(&DaemonSpec::new(platform.address, "north", "zaandam"));
    let _upstream = start_upstream(daemon.control, "stalls", "v1");
    apply(platform.address, &one_route("stalls"));
    wait_for("daemon serves", PATIENCE, || {
        read_status(daemon.control).is_some_and(|status| status.generation == 1)
    });
    let target = daemon.control.to_string();
    let passed_on = [("x-coltsfootweir-target", target.as_str())];
    let answer = call(daemon.calls, "GET", "/crews/next", &passed_on).expect("an answer");
    assert_eq!(answer.outcome, "not-run");
    assert!(answer.body.contains("not-serving"), "{}", answer.body);
    let answer = call(daemon.calls, "GET", "/crews/next", &[]).expect("an answer");
    assert!(answer.body.contains("no-route"), "{}", answer.body);
}
