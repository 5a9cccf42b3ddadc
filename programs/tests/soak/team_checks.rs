//! What must hold of the teams of a soak, from what endpoints saw.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::common::caller::CallEnd;
use crate::sidecar::mesh_endpoint::SeenRequest;

use super::SoakCall;
use super::SoakRecord;
use super::teams::CAP_BURST;
use super::teams::CAP_RATE;
use super::teams::CAPPED_KEY;
use super::teams::KEY_MARK;
use super::teams::KeyAbsence;
use super::teams::team_of;

/// Bound on the use of a removed key, in milliseconds.
const REVOKE_MS: u64 = 2_000;

/// Window of a cap, and what may run above it: `quota_window_s`, `quota_overage`, `quota_slack`.
const WINDOW_S: u64 = 5;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;

/// Faults reported of one kind: a broken rule shows in many requests.
const LISTED: usize = 5;

/// Lines of the table `terms.bounds` with the bounds that are checked here.
pub fn bounds() -> String {
    format!(
        "strict_revoke = true\nrevoke_ms = {REVOKE_MS}\nquota_window_s = {WINDOW_S}\n\
        quota_overage = {OVERAGE}\nquota_slack = {SLACK:.0}\n"
    )
}

/// A run of a request whose caller is known.
struct KnownRun<'a> {
    call: &'a SoakCall,
    seen: SeenRequest,
}

/// Returns what a soak with teams broke, one line each.
pub fn find_team_faults(record: &SoakRecord) -> Vec<String> {
    let calls: HashMap<&str, &SoakCall> = record
        .calls
        .iter()
        .map(|call| (call.id.as_str(), call))
        .collect();
    let mut runs = Vec::new();
    let mut faults = Vec::new();
    for endpoint in &record.fleet.endpoints {
        for seen in endpoint.seen() {
            if has_key(&seen) {
                faults.push(format!("{} came with a key: {seen:?}", seen.id()));
            }
            if let Some(call) = calls.get(seen.id()) {
                runs.push(KnownRun { call, seen });
            }
        }
    }
    faults.truncate(LISTED);
    let late = runs
        .iter()
        .filter_map(|run| late_use(run, &record.absences));
    faults.extend(runs.iter().filter_map(wrong_team).take(LISTED));
    faults.extend(late.take(LISTED));
    faults.extend(above_cap(&runs));
    faults.extend(logged_keys(record));
    faults
}

fn has_key(seen: &SeenRequest) -> bool {
    let mut values = seen.headers.values();
    seen.headers.contains_key("authorization") || values.any(|value| value.contains(KEY_MARK))
}

fn wrong_team(run: &KnownRun) -> Option<String> {
    let (id, key) = (&run.call.id, run.call.key);
    let (team, expected) = (run.seen.header("tenant"), team_of(key));
    if let CallEnd::Whole(answer) = &run.call.end
        && answer.status == 401
    {
        return Some(format!("{id} with {key:?} ran, refused with 401"));
    }
    if key.is_none() && !run.call.path.starts_with("/open/") {
        return Some(format!("{id} ran without a key on {}", run.call.path));
    }
    (team != expected).then(|| format!("{id} with {key:?} ran for team {team:?}"))
}

/// A request ran though no configuration had its key from `revoke_ms` before it was sent until it
/// reached the endpoint.
fn late_use(run: &KnownRun, absences: &[KeyAbsence]) -> Option<String> {
    let KnownRun { call, seen } = run;
    let bound = Duration::from_millis(REVOKE_MS);
    let of_key = |absence: &&KeyAbsence| Some(absence.key) == call.key;
    for absence in absences.iter().filter(of_key) {
        let is_late = absence.acked.is_none_or(|acked| call.sent > acked + bound);
        let is_before_return = absence.added.is_none_or(|added| seen.at < added);
        if is_late && is_before_return {
            let after = absence.acked.map(|acked| call.sent - acked);
            return Some(format!(
                "{} with {:?} ran, sent {after:?} after the removal",
                call.id, absence.key
            ));
        }
    }
    let is_unknown = team_of(call.key) == "nobody";
    is_unknown.then(|| format!("{} with an unknown key ran", call.id))
}

/// Most runs of the capped team that were sent and arrived in one window.
fn above_cap(runs: &[KnownRun]) -> Option<String> {
    let window = Duration::from_secs(WINDOW_S);
    let capped = runs.iter().filter(|run| run.call.key == Some(CAPPED_KEY));
    let mut times: Vec<(Instant, Instant)> =
        capped.map(|run| (run.call.sent, run.seen.at)).collect();
    times.sort();
    let count_from = |index: usize| {
        let end = times[index].0 + window;
        times[index..].iter().filter(|(_, at)| *at < end).count()
    };
    let most = (0..times.len()).map(count_from).max().unwrap_or(0);
    let allowed = (CAP_RATE * WINDOW_S as f64 + CAP_BURST) * (1.0 + OVERAGE) + SLACK;
    let total = times.len();
    println!("capped team: {most} runs in a window, {total} in all");
    (most as f64 > allowed)
        .then(|| format!("{most} runs of the capped team in {WINDOW_S} s, {allowed:.0} allowed"))
}

fn logged_keys(record: &SoakRecord) -> Vec<String> {
    let sidecars = record.fleet.sidecars.iter();
    let logging = sidecars.filter(|sidecar| sidecar.all_lines().contains(KEY_MARK));
    logging
        .map(|sidecar| format!("{} logged a key", sidecar.name))
        .collect()
}
