//! Applies evacuations that the store or another daemon tells of, and passes them on.

use std::collections::BTreeSet;

use log::info;
use log::warn;
use serde_json::json;

use crate::ids::ZoneName;
use crate::logging::CONFIG;
use crate::logging::UPSTREAM;
use crate::sidecar::frame::FEATURE_EVACUATIONS;
use crate::sidecar::frame::PeerFrame;
use crate::sidecar::link::link_side::LinkSide;
use crate::sidecar::peer_link::PeerLink;
use crate::sidecar::placement::evacuation_set::EvacuationChange;
use crate::sidecar::sidecar_state::SidecarState;
use crate::sidecar::store_era::store_version::StoreVersion;

/// Takes in the zones that were evacuated at a store version, and tells the peers of a change.
/// `is_first_in_zone` tells that it did not come from a daemon of the own zone.
pub(crate) fn adopt_evacuations(
    state: &SidecarState,
    version: StoreVersion,
    zones: &BTreeSet<ZoneName>,
    source: &str,
    is_first_in_zone: bool,
) {
    let Some(bound) = state.settings.borrow().bounds.evacuation else {
        return;
    };
    let mut set = state.evacuations.borrow_mut();
    let change = set.merge(version, zones, state.now(), bound);
    drop(set);
    apply_change(state, &change, source, is_first_in_zone);
}

/// Takes in the zones that were read when the store had just come back from a copy, once it is complete.
pub(crate) fn settle_evacuations(state: &SidecarState) {
    let Some(bound) = state.settings.borrow().bounds.evacuation else {
        return;
    };
    let change = state.evacuations.borrow_mut().settle(state.now(), bound);
    apply_change(state, &change, "settled", true);
}

fn apply_change(
    state: &SidecarState,
    change: &EvacuationChange,
    source: &str,
    is_first_in_zone: bool,
) {
    if change.is_empty() {
        return;
    }
    let version = state.evacuations.borrow().version();
    let event = json!({"name": "evacuations_changed", "begun": change.begun,
        "ended": change.ended, "version": version.to_string(), "source": source});
    info!(target: CONFIG, "{event}");
    check_evacuation(state);
    if let Some(frame) = evacuations_frame(state) {
        for link in state.members.notice_links(is_first_in_zone) {
            if link.has_feature(FEATURE_EVACUATIONS) {
                link.send(frame.clone());
            }
        }
    }
}

/// Returns whether the deployment has a zone; one that it does not have is logged.
pub(crate) fn is_known_zone(state: &SidecarState, zone: &ZoneName) -> bool {
    let settings = state.settings.borrow();
    let is_known = settings.zones.is_empty() || settings.zones.contains_key(zone);
    if !is_known {
        let event = json!({"name": "evacuation_of_unknown_zone", "zone": zone});
        warn!(target: CONFIG, "{event}");
    }
    is_known
}

/// Handles a [`PeerFrame::Evacuations`]. A peer with an older set gets the newer one in return.
pub(crate) fn take_evacuations(
    state: &SidecarState,
    side: &LinkSide,
    version: StoreVersion,
    zones: Vec<ZoneName>,
) {
    let held = state.evacuations.borrow().version();
    if version >= held {
        state.evacuations.borrow_mut().mark_used();
        let zones = BTreeSet::from_iter(zones);
        let source = side.peer_name();
        let is_first_in_zone = !state.members.is_in_own_zone(&source);
        adopt_evacuations(state, version, &zones, &source, is_first_in_zone);
    } else if state.evacuations.borrow().zones() != zones {
        send_evacuations(state, side);
    }
}

/// Sends the evacuated zones to a peer that understands them, if there have been any.
pub(crate) fn send_evacuations(state: &SidecarState, side: &LinkSide) {
    if side.has_feature(FEATURE_EVACUATIONS)
        && let Some(frame) = evacuations_frame(state)
    {
        side.send(frame);
    }
}

/// Compares the evacuated zones with a peer.
pub(crate) fn compare_evacuations(state: &SidecarState, link: &PeerLink) {
    if link.has_feature(FEATURE_EVACUATIONS)
        && let Some(frame) = evacuations_frame(state)
    {
        link.send(frame);
    }
}

fn evacuations_frame(state: &SidecarState) -> Option<PeerFrame> {
    let set = state.evacuations.borrow();
    set.was_used()
        .then(|| PeerFrame::Evacuations(set.version(), set.zones()))
}

/// Closes the endpoint on this VM when the evacuation of its zone takes effect, and opens it when
/// that has ended. A restarted daemon does not open it before it knows of evacuations.
pub(crate) fn check_evacuation(state: &SidecarState) {
    let settings = state.settings();
    let Some(bound) = settings.bounds.evacuation else {
        return;
    };
    let now = state.now();
    if state.members.has_open_link() {
        state.evacuations.borrow_mut().on_link(now);
    }
    let set = state.evacuations.borrow();
    let is_known = settings.is_first_start || set.is_known(now);
    let is_closed = !is_known || set.is_closed(&settings.zone, now, bound);
    drop(set);
    state.endpoint.set_evacuated(is_closed);
    let name = match is_closed {
        true if is_known => "endpoint_closed_for_evacuation",
        true => "endpoint_awaits_evacuations",
        false => "endpoint_opened",
    };
    // An endpoint that awaits news may stay closed for an evacuation.
    if state.evacuations.borrow_mut().change_phase(name) {
        info!(target: UPSTREAM, "{}", json!({"name": name, "zone": settings.zone}));
    }
}
