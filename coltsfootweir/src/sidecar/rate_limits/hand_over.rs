//! Hands over holder slots of a daemon that has lost access to the store.

use log::info;
use serde_json::json;

use crate::ids::Incarnation;
use crate::ids::MemberId;
use crate::logging::CALLS;
use crate::sidecar::frame::FEATURE_SLOT_RELEASE;
use crate::sidecar::frame::PeerFrame;
use crate::sidecar::member_table::StoreReach;
use crate::sidecar::rate_limits::limit_lease::LeaseRow;
use crate::sidecar::rate_limits::limit_task::LEASE_CANDIDATES;
use crate::sidecar::sidecar_state::SidecarState;
use crate::sidecar::store_era::store_version::StoreVersion;

/// Returns whether this daemon reaches a candidate that understands a hand-over.
pub(super) fn can_hand_over(state: &SidecarState) -> bool {
    candidates(state).any(|id| has_feature(state, &id))
}

/// Tells the candidates that they may take a slot of this daemon.
pub(super) fn hand_over(state: &SidecarState, slot: usize, version: StoreVersion) {
    let mut told = Vec::new();
    for id in candidates(state) {
        if send(
            state,
            &id,
            PeerFrame::LimitSlotReleased(slot as u8, version),
        ) {
            told.push(id);
        }
    }
    let event = json!({"name": "limit_slot_handed_over", "slot": slot,
        "version": version.to_string(), "peers": told});
    info!(target: CALLS, "{event}");
}

/// Reports the version of a row to its holder if that one has lost access to the store or has started
/// again.
pub(super) fn report_row(state: &SidecarState, slot: usize, version: StoreVersion, row: &LeaseRow) {
    let may_hand_over = state.members.read(|table| {
        let record = table.get(&row.holder);
        record
            .is_some_and(|record| record.store == StoreReach::Lost || record.incarnation != row.run)
    });
    if !may_hand_over || row.is_released || !is_candidate(state, &state.rate_limits.own) {
        return;
    }
    let frame = PeerFrame::LimitSlotRead(slot as u8, row.run, version);
    if !send(state, &row.holder, frame) {
        log::debug!(target: CALLS, "no link to {}, which may hand over its slot", row.holder);
    }
}

/// Handles a [`PeerFrame::LimitSlotRead`].
pub(crate) fn take_slot_report(
    state: &SidecarState,
    peer: &MemberId,
    slot: u8,
    (run, version): (Incarnation, StoreVersion),
) {
    if !is_in_own_region(state, peer) {
        return log_unexpected("limit_slot_report_ignored", peer);
    }
    let now = state.clock.boot();
    let mut lease = state.rate_limits.lease.borrow_mut();
    lease.on_reported(usize::from(slot), run, version, now);
}

/// Handles a [`PeerFrame::LimitSlotReleased`].
pub(crate) fn take_slot_offer(
    state: &SidecarState,
    peer: &MemberId,
    slot: u8,
    version: StoreVersion,
) {
    if !is_in_own_region(state, peer) {
        return log_unexpected("limit_slot_offer_ignored", peer);
    }
    let mut lease = state.rate_limits.lease.borrow_mut();
    lease.on_offered(peer, usize::from(slot), version);
    let event = json!({"name": "limit_slot_offered", "peer": peer, "slot": slot,
        "version": version.to_string()});
    info!(target: CALLS, "{event}");
}

fn log_unexpected(name: &str, peer: &MemberId) {
    let event = json!({"name": name, "peer": peer, "reason": "not in this region"});
    log::warn!(target: CALLS, "{event}");
}

/// Returns the other daemons that may take slots.
fn candidates(state: &SidecarState) -> impl Iterator<Item = MemberId> {
    let own = state.rate_limits.own.clone();
    let order = state.members.limit_candidates().into_iter();
    order.take(LEASE_CANDIDATES).filter(move |id| *id != own)
}

fn is_candidate(state: &SidecarState, id: &MemberId) -> bool {
    let order = state.members.limit_candidates();
    order.iter().take(LEASE_CANDIDATES).any(|other| other == id)
}

fn is_in_own_region(state: &SidecarState, id: &MemberId) -> bool {
    let region = state.members.own().region;
    state.members.read(|table| {
        let record = table.get(id);
        record.is_some_and(|record| record.region == region)
    })
}

fn has_feature(state: &SidecarState, id: &MemberId) -> bool {
    let link = state.members.link(id);
    link.is_some_and(|link| link.has_feature(FEATURE_SLOT_RELEASE))
}

fn send(state: &SidecarState, id: &MemberId, frame: PeerFrame) -> bool {
    let link = state.members.link(id);
    link.is_some_and(|link| link.has_feature(FEATURE_SLOT_RELEASE) && link.send(frame))
}
