//! What must hold of evacuated zones and cold endpoints, from what endpoints saw.

use std::time::Duration;
use std::time::Instant;

use super::SoakRecord;
use super::place_of;

/// Bound on requests to an evacuated zone: the value of the settings in production.
const EVACUATE_MS: u64 = 5_000;

/// Requests a second that a cold endpoint tolerates, and what may reach it above that:
/// `warmup_overage`, `warmup_slack`.
pub const WARMUP_PER_S: f64 = 14.0;
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 8.0;

/// Window of the rate of a cold endpoint.
const SECOND: Duration = Duration::from_secs(1);

/// Faults reported of one evacuation: a zone that stays open shows in many requests.
const LISTED: usize = 3;

/// Time in which a zone was evacuated.
#[derive(Clone, Copy, Debug)]
pub struct ZoneEvacuation {
    pub zone: &'static str,
    pub acked: Instant,
    /// Start of the write that took the evacuation back; `None` while it is in force.
    pub taken_back: Option<Instant>,
}

/// Lines of the table `terms.bounds` with the bounds that are checked here.
pub fn bounds() -> String {
    format!(
        "evacuate_ms = {EVACUATE_MS}\nwarmup_overage = {OVERAGE:.1}\nwarmup_slack = {SLACK:.0}\n"
    )
}

/// Returns what a soak with evacuations and cold endpoints broke, one line each.
pub fn find_place_faults(record: &SoakRecord) -> Vec<String> {
    let mut faults = Vec::new();
    for evacuation in &record.evacuations {
        faults.extend(arrivals_in(record, evacuation).into_iter().take(LISTED));
    }
    for number in 0..record.fleet.endpoints.len() {
        faults.extend(above_warmup(record, number));
    }
    faults
}

fn arrivals_in(record: &SoakRecord, evacuation: &ZoneEvacuation) -> Vec<String> {
    let bound = evacuation.acked + Duration::from_millis(EVACUATE_MS);
    let mut faults = Vec::new();
    for (number, endpoint) in record.fleet.endpoints.iter().enumerate() {
        if place_of(number).0 != evacuation.zone {
            continue;
        }
        for (id, at) in endpoint.arrivals() {
            let is_before_end = evacuation.taken_back.is_none_or(|end| at < end);
            if at > bound && is_before_end {
                let (zone, after) = (evacuation.zone, at - evacuation.acked);
                faults.push(format!(
                    "{id} reached endpoint {number} in zone {zone} {after:?} after its evacuation"
                ));
            }
        }
    }
    faults
}

/// Most requests in a second that reached an endpoint while it was known to be cold.
fn above_warmup(record: &SoakRecord, number: usize) -> Vec<String> {
    let endpoint = &record.fleet.endpoints[number];
    let allowed = WARMUP_PER_S * OVERAGE + SLACK;
    let mut faults = Vec::new();
    for (from, to) in endpoint.cold_spans() {
        let mut times: Vec<Instant> = endpoint.arrivals().into_iter().map(|(_, at)| at).collect();
        times.retain(|at| from <= *at && *at <= to);
        times.sort();
        let count_from = |index: usize| {
            let end = times[index] + SECOND;
            times[index..].iter().take_while(|at| **at < end).count()
        };
        let most = (0..times.len()).map(count_from).max().unwrap_or(0);
        println!(
            "endpoint {number}: cold for {:?}, {most} in a second",
            to - from
        );
        if most as f64 > allowed {
            faults.push(format!(
                "{most} requests in a second at cold endpoint {number}, {allowed:.0} allowed"
            ));
        }
    }
    faults
}
