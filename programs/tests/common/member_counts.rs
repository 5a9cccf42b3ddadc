//! What the status of a daemon says of the members it knows.

use coltsfootweir::ids::Generation;
use coltsfootweir::member::EndpointPhase;
use coltsfootweir::member::MemberState;
use coltsfootweir::reports::DaemonStatus;

/// Whether the daemon serves `generation` or a higher one and knows `count` endpoints as ready.
pub fn is_ready(status: &DaemonStatus, generation: Generation, count: usize) -> bool {
    let live = status.members.iter().filter(|entry| entry.state.is_live());
    let endpoints = live.filter_map(|entry| entry.endpoint.as_ref());
    let ready = endpoints.filter(|endpoint| endpoint.phase == EndpointPhase::Ready);
    status.generation >= generation && ready.count() == count
}

/// Identities of the members that a daemon holds as live, in order.
pub fn live_ids(status: &DaemonStatus) -> Vec<String> {
    let mut ids = Vec::new();
    for entry in &status.members {
        if matches!(entry.state, MemberState::Alive | MemberState::Suspect) {
            ids.push(entry.id.to_string());
        }
    }
    ids.sort();
    ids
}
