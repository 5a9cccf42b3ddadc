//! Explains where a request would go now, without sending it and without a change of state.

use std::net::IpAddr;

use hyper::HeaderMap;
use serde_json::Value;
use serde_json::json;

use crate::ids::RegionName;
use crate::sidecar::call_attempts::CallAttempts;
use crate::sidecar::sidecar_state::SidecarState;
use crate::sidecar::teams::caller::KeyRefusal;
use crate::sidecar::teams::caller::identify;

/// Returns whether a connection from `peer` to `local` comes from this VM: over the loopback interface,
/// or from the address that it reached, which no other host has.
#[must_use]
pub fn is_from_own_vm(peer: IpAddr, local: IpAddr) -> bool {
    let peer = peer.to_canonical();
    peer.is_loopback() || peer == local.to_canonical()
}

/// Explains the route of a request with a host, a path and an API key in its headers. Keys are not part
/// of the result. Limits on a team's rate and requests that crash endpoints are not considered.
#[must_use]
pub fn explain(state: &SidecarState, host: &str, path: &str, headers: &HeaderMap) -> Value {
    let Some(active) = state.config.active() else {
        return refused(json!({}), "no_config");
    };
    let config = active.config.version;
    let route = active.finder.find(host, path);
    let Some(route) = route.and_then(|name| active.config.routes.get(name)) else {
        return refused(json!({"config": config}), "no_route");
    };
    // With a copy, the next request goes to the same service as without the question.
    let mut splitter = state.routing.splitter.borrow().clone();
    let service = splitter.next_service(route).cloned().unwrap_or_default();
    let mut explained = json!({"config": config, "route": route.name, "service": service,
        "is_repeatable": route.is_repeatable});
    let caller = match identify(state, &active, route, headers) {
        Ok(caller) => caller,
        Err(KeyRefusal::Unknown) => return refused(explained, "unknown_key"),
        Err(KeyRefusal::Unproven) => return refused(explained, "config_unproven"),
    };
    let team_regions = caller.team.map(|team| team.allowed_regions.as_slice());
    explained["team"] = json!(caller.team.map(|team| &team.name));
    explained["rank"] = json!(caller.rank);
    explained["allowed_regions"] = json!(allowed_regions(
        &route.terms.allowed_regions,
        team_regions.unwrap_or_default()
    ));
    let rollouts = state.rollouts.borrow();
    if let Some(rollout) = rollouts.get(&service) {
        let stage = format!("{:?}", rollout.stage);
        explained["rollout"] = json!({"version": rollout.order.version, "stage": stage});
    }
    drop(rollouts);
    if state.stop.has_begun() {
        return refused(explained, "stopping");
    }
    let deadline = state.now() + route.timeout();
    let attempts = CallAttempts::new(state, &active, route, caller, service, 0, deadline);
    let view = attempts.view();
    explained["candidates"] = json!(view.candidates);
    explained["chosen"] = json!(view.chosen);
    explained["refusal"] = json!(view.refusal);
    explained
}

/// Returns the regions that both lists allow; `None` if neither limits them.
fn allowed_regions<'r>(
    route: &'r [RegionName],
    team: &'r [RegionName],
) -> Option<Vec<&'r RegionName>> {
    match (route.is_empty(), team.is_empty()) {
        (true, true) => None,
        (true, false) => Some(team.iter().collect()),
        (false, true) => Some(route.iter().collect()),
        (false, false) => {
            let both = route.iter().filter(|region| team.contains(region));
            Some(both.collect())
        }
    }
}

fn refused(mut explained: Value, cause: &str) -> Value {
    explained["candidates"] = json!([]);
    explained["chosen"] = Value::Null;
    explained["refusal"] = json!({"cause": cause, "retry_after_ms": null});
    explained
}
