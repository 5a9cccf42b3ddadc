//! What must hold of a soak, from what callers and endpoints saw.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::common::caller::CallEnd;
use crate::common::caller::WholeAnswer;

use super::SoakCall;
use super::SoakKind;
use super::SoakRecord;
use super::place_checks::find_place_faults;
use super::team_checks::find_team_faults;

/// Statuses that promise that a request was not run and will not be.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Time after the acknowledgement of a departure in which requests may still arrive, as in the settings.
const DRAIN_TIME: Duration = Duration::from_millis(1_500);

/// Time after its start in which a daemon does not count as in touch, as in the settings.
const STABILITY_TIME: Duration = Duration::from_secs(4);

/// Endpoints that one request may reach, as in the routes.
const ATTEMPTS: usize = 2;

/// Repeats allowed, as a share of the requests and on top of it, as in the settings.
const REPEAT_SHARE: f64 = 0.2;
const REPEAT_SLACK: f64 = 60.0;

/// Returns what a soak broke, one line each.
pub fn find_faults(record: &SoakRecord) -> Vec<String> {
    let mut faults = Vec::new();
    let mut runs: HashMap<String, usize> = HashMap::new();
    for endpoint in &record.fleet.endpoints {
        for seen in endpoint.seen() {
            *runs.entry(seen.id().to_owned()).or_default() += 1;
        }
    }
    for call in &record.calls {
        let count = runs.get(&call.id).copied().unwrap_or(0);
        faults.extend(fault_of(call, count));
    }
    let repeats: usize = runs.values().map(|count| count.saturating_sub(1)).sum();
    let allowed = record.calls.len() as f64 * REPEAT_SHARE + REPEAT_SLACK;
    if repeats as f64 > allowed {
        faults.push(format!("{repeats} repeats, {allowed:.0} allowed"));
    }
    faults.extend(late_arrivals(record));
    if record.kind == SoakKind::Extended {
        faults.extend(find_team_faults(record));
        faults.extend(find_place_faults(record));
    }
    faults
}

fn fault_of(call: &SoakCall, runs: usize) -> Option<String> {
    let most = if call.method == "POST" { 1 } else { ATTEMPTS };
    if runs > most {
        return Some(format!("{} {} ran {runs} times", call.method, call.id));
    }
    let CallEnd::Whole(answer) = &call.end else {
        return None;
    };
    let wrong = |what: &str| {
        let (status, text) = (answer.status, answer.text());
        Some(format!(
            "{} {}: {what}: {status} {text}",
            call.id, call.path
        ))
    };
    match answer.status {
        200 if !is_own_answer(answer, call) => wrong("not the endpoint's whole answer to it"),
        200 if runs == 0 => wrong("a success that no endpoint gave"),
        status if !(200..600).contains(&status) => wrong("no status of an answer"),
        status if status != 200 && !answer.header("upstream-signature").is_empty() => {
            wrong("a status that no endpoint gave")
        }
        404 => wrong("a route that is there in all configurations"),
        status if PROMISES.contains(&status) && runs > 0 => wrong("it ran, said not to have"),
        _ => None,
    }
}

fn is_own_answer(answer: &WholeAnswer, call: &SoakCall) -> bool {
    let is_signed = !answer.header("upstream-signature").is_empty();
    is_signed && answer.header("request-id") == call.id && answer.body == b"a whole body"
}

/// Returns whether the daemon beside an endpoint may have been the last to know of a departure, and is not
/// in touch. The rule counts requests that were "sent on by machines in touch".
fn may_have_forgotten(record: &SoakRecord, daemon: usize, at: Instant) -> bool {
    let is_forgotten = matches!(record.kind, SoakKind::Outage | SoakKind::Outages);
    let mut starts = record.starts.iter();
    let is_new = starts
        .any(|(started, start)| *started == daemon && *start <= at && at < *start + STABILITY_TIME);
    is_forgotten && is_new
}

fn late_arrivals(record: &SoakRecord) -> Vec<String> {
    let mut faults = Vec::new();
    for leave in &record.leaves {
        for seen in record.fleet.endpoints[leave.endpoint].seen() {
            let is_allowed = may_have_forgotten(record, leave.endpoint, seen.at);
            if seen.at > leave.at + DRAIN_TIME && !is_allowed {
                let late = seen.at - leave.at;
                let (id, endpoint) = (seen.id(), leave.endpoint);
                faults.push(format!(
                    "{id} reached endpoint {endpoint} {late:?} after it left"
                ));
            }
        }
    }
    faults
}
