//! Hedged requests through sidecars as processes, with an operator's limit.

mod common;
mod sidecar;

use std::time::Duration;

use common::PATIENCE;
use common::wait_for;
use sidecar::sidecar_fleet::HORSES;
use sidecar::sidecar_fleet::STALLS;
use sidecar::sidecar_fleet::SidecarFleet;
use sidecar::sidecar_fleet::SidecarTerms;
use sidecar::sidecar_fleet::request;

/// Requests that let the ingress learn the run time of the route and hear of both endpoints.
const WARM_REQUESTS: usize = 12;

/// Starts an ingress and two endpoints of a service that it calls, with a limit on each sidecar.
fn warm_fleet(percent: u8) -> SidecarFleet {
    let terms = SidecarTerms {
        arguments: vec!["--hedge-percent".to_owned(), percent.to_string()],
        ..SidecarTerms::default()
    };
    let endpoints = [(HORSES, "v1"), (STALLS, "v1"), (STALLS, "v1")];
    let fleet = SidecarFleet::start_with(&terms, &endpoints);
    // A route of its own: the requests that wait for the endpoints are answered at once, and those after
    // them would be overdue.
    let route = r#",{"name":"even","authority":"test","prefix":"/even/","kind":"idempotent",
        "timeout_ms":2500,"target_latency_ms":500,"priority":2,"service":"stalls","attempts":2}"#;
    fleet.put_config(1, route);
    fleet.wait_config(1);
    fleet.wait_endpoints();
    for number in 0..WARM_REQUESTS {
        let answer = fleet.sidecars[0].get("/even/slow", &format!("warm-{number}"));
        assert_eq!(answer.status, 200);
    }
    fleet
}

/// Sends a request that the first endpoint never answers; returns the status.
fn lost_status(fleet: &SidecarFleet, id: &str) -> u16 {
    let spec = request("GET", "/even/lost-once", id, 1_500);
    let answer = fleet.sidecars[0].call(&spec);
    answer.expect("a whole answer").status
}

fn count(fleet: &SidecarFleet, name: &str) -> u64 {
    fleet.sidecars[0].gauge(name)
}

/// Guards against an overdue request that waits until its deadline although the limit allows to hedge
/// it, and against an abandoned attempt that goes on at its endpoint.
#[test]
fn overdue_request_is_hedged_within_the_limit() {
    let fleet = warm_fleet(20);
    assert_eq!(lost_status(&fleet, "overdue"), 200);
    assert_eq!(fleet.runs_of("overdue"), 2);
    let abandoned = || -> u64 {
        let endpoints = fleet.endpoints.iter();
        endpoints.map(|endpoint| endpoint.abandoned()).sum()
    };
    let taken = wait_for("the end of the slow run", PATIENCE, || abandoned() == 1);
    assert!(taken < Duration::from_millis(500), "{taken:?}");
    assert_eq!(count(&fleet, r#"hedges{result="sent"}"#), 1);
    assert_eq!(count(&fleet, r#"hedges{result="won"}"#), 1);
}

/// Guards against a limit of 0 that is taken for none.
#[test]
fn limit_of_zero_turns_hedging_off() {
    let fleet = warm_fleet(0);
    assert_eq!(lost_status(&fleet, "alone"), 504);
    assert_eq!(fleet.runs_of("alone"), 1);
    assert_eq!(count(&fleet, r#"hedges{result="sent"}"#), 0);
}

/// Guards against a hedged request beyond the limit: it allows one in a hundred requests, and fewer
/// have come.
#[test]
fn request_beyond_the_limit_is_not_hedged() {
    let fleet = warm_fleet(1);
    assert_eq!(lost_status(&fleet, "beyond"), 504);
    assert_eq!(fleet.runs_of("beyond"), 1);
    assert_eq!(count(&fleet, r#"hedges_refused{cause="limit"}"#), 1);
    assert_eq!(count(&fleet, r#"hedges{result="sent"}"#), 0);
}
