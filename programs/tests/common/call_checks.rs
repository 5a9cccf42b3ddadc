//! Run logs of upstreams, and checks of answers against them.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;

use standins::run_log::RunEntry;

use super::caller::CallSpec;
use super::caller::WholeAnswer;
use super::caller::call_once;

/// Reads a whole run log; one that cannot be read fails the test.
pub fn read_runs(upstream: SocketAddr) -> Vec<RunEntry> {
    let answer = call_once(upstream, &CallSpec::get("/standin/runs"));
    let answer = answer.whole().expect("run log is read whole");
    serde_json::from_slice(&answer.body).expect("run log is JSON")
}

/// Identities of the requests that ran.
pub fn run_ids(runs: &[RunEntry]) -> HashSet<String> {
    let ids = runs
        .iter()
        .filter_map(|run| run.request.request_id.as_deref());
    ids.map(str::to_string).collect()
}

/// Times each booking key ran.
pub fn run_counts(runs: &[RunEntry]) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    for run in runs {
        if let Some(key) = &run.request.idempotency_key {
            *counts.entry(key.to_string()).or_default() += 1;
        }
    }
    counts
}

/// Fails the test when a key ran more than once.
pub fn assert_at_most_once(runs: &[RunEntry]) {
    for (key, count) in run_counts(runs) {
        assert_eq!(count, 1, "booking key {key} ran {count} times");
    }
}

/// Fails the test unless a good answer is the whole answer to this very request.
pub fn assert_own(answer: &WholeAnswer, id: &str, size: usize) {
    if !answer.is_good() {
        assert_ne!(
            answer.status,
            200,
            "{id}: 200 that did not run: {}",
            answer.text()
        );
        return;
    }
    assert_eq!(answer.header("x-request-id"), id);
    let body: serde_json::Value = serde_json::from_slice(&answer.body)
        .unwrap_or_else(|error| panic!("{id}: answer is not whole: {error}"));
    assert_eq!(body["request_id"], id, "answer to a different request");
    assert!(
        answer.body.len() >= size,
        "{id}: {} of {size} bytes",
        answer.body.len()
    );
}

/// Asks for a booking key for `/bookings` through a daemon.
pub fn mint_key(calls: SocketAddr) -> Option<String> {
    let spec = CallSpec::post("/-/booking-key?path=/bookings/stall", "");
    let answer = call_once(calls, &spec).whole()?;
    answer.is_good().then(|| answer.text())
}
