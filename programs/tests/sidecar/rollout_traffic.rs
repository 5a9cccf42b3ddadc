//! Traffic while a version of a service is rolled out.

use serde_json::Value;
use serde_json::json;

use super::sidecar_fleet::STALLS;
use super::sidecar_fleet::SidecarFleet;
use crate::common::PATIENCE;
use crate::common::wait_for;

/// Key of the order for [`STALLS`], and of the report on it.
const ROLLOUT_KEY: &str = "rollout/stalls";

/// Time limit of an order, in seconds.
const DURATION_S: u64 = 5;

/// Returns the reported state of the rollout of a version; empty if there is none.
pub fn rollout_state(fleet: &SidecarFleet, version: &str) -> String {
    let report = fleet.store.get("status", ROLLOUT_KEY).unwrap_or_default();
    let report: Value = serde_json::from_str(&report).unwrap_or_default();
    if report["to"] != version {
        return String::new();
    }
    report["state"].as_str().unwrap_or_default().to_owned()
}

/// Orders the rollout of a version.
pub fn order_rollout(fleet: &SidecarFleet, version: &str) {
    let order = json!({"service": STALLS, "to": version, "duration_s": DURATION_S});
    fleet.store.put("op", ROLLOUT_KEY, &order.to_string());
}

/// Traffic goes on while a rollout is ordered; returns the answers that were no success.
pub fn drive_rollout(fleet: &SidecarFleet, version: &str, path: &str, until: &str) -> u32 {
    order_rollout(fleet, version);
    let mut failed = 0;
    let mut number = 0;
    wait_for(&format!("{version} {until}"), PATIENCE, || {
        for sidecar in &fleet.sidecars {
            for _ in 0..8 {
                number += 1;
                let answer = sidecar.get(path, &format!("{version}-move-{number}"));
                if answer.status != 200 {
                    failed += 1;
                    println!("move-{number}: {} {}", answer.status, answer.text());
                }
            }
        }
        let state = rollout_state(fleet, version);
        if ["completed", "reverted"].contains(&&*state) && state != until {
            let events = || {
                fleet
                    .sidecars
                    .iter()
                    .flat_map(|one| one.events("rollout_stage"))
            };
            let is_told = |reason: &str| reason.ends_with("another daemon");
            wait_for("the reason in the log", PATIENCE, || {
                events().any(|event| !is_told(event["reason"].as_str().unwrap_or_default()))
            });
            panic!("{state}: {:#?}", events().collect::<Vec<_>>());
        }
        state == until
    });
    failed
}
