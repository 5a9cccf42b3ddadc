//! Asks other daemons for proofs that the configuration in force is the newest one.

use std::rc::Rc;
use std::time::Duration;

use log::info;
use serde_json::json;

use crate::ids::Generation;
use crate::ids::MemberId;
use crate::logging::CONFIG;
use crate::sidecar::frame::FEATURE_FRESHNESS;
use crate::sidecar::frame::PeerFrame;
use crate::sidecar::link::link_side::LinkSide;
use crate::sidecar::sidecar_state::SidecarState;
use crate::sidecar::teams::config_freshness::QUESTION_PAUSE;

/// Age in a response of a daemon without a proof, in milliseconds.
const NO_PROOF_MS: u32 = u32::MAX;

/// Pause between two checks in a deployment that needs no proofs; a configuration with API keys may
/// come into force at any time.
const INACTIVE_PAUSE: Duration = Duration::from_secs(1);

/// Keeps the proof young while the deployment needs one.
pub async fn keep_freshness(state: Rc<SidecarState>) {
    let mut was_proven = true;
    loop {
        let Some(bound) = state.revocation_bound() else {
            tokio::time::sleep(INACTIVE_PAUSE).await;
            continue;
        };
        ask(&state);
        let now = state.clock.boot();
        let is_proven = state.freshness.borrow().is_proven(now, bound);
        if is_proven != std::mem::replace(&mut was_proven, is_proven) {
            log_change(&state, is_proven);
        }
        tokio::time::sleep(QUESTION_PAUSE).await;
    }
}

fn ask(state: &SidecarState) {
    let mut sources = state.members.freshness_sources();
    sources.retain(|id| {
        let link = state.members.link(id);
        link.is_some_and(|link| link.has_feature(FEATURE_FRESHNESS))
    });
    let now = state.clock.boot();
    let question = state.freshness.borrow_mut().next_question(&sources, now);
    let Some(question) = question else {
        return;
    };
    if let Some(link) = state.members.link(&question.peer) {
        link.send(PeerFrame::FreshnessWanted(question.number));
    }
}

fn log_change(state: &SidecarState, is_proven: bool) {
    let name = match is_proven {
        true => "config_proven",
        false => "config_unproven",
    };
    let age = state.freshness.borrow().age(state.clock.boot());
    let event = json!({"name": name, "version": state.config.version(),
        "age_ms": age.map(|age| age.as_millis() as u64)});
    info!(target: CONFIG, "{event}");
}

/// Answers a [`PeerFrame::FreshnessWanted`].
pub(crate) fn answer_freshness(state: &SidecarState, side: &LinkSide, number: u32) {
    let age = state.freshness.borrow().age(state.clock.boot());
    let age_ms = age.map_or(NO_PROOF_MS, |age| {
        // Rounded up, so that the proof seems older rather than younger.
        u32::try_from(age.as_millis() + 1).unwrap_or(NO_PROOF_MS)
    });
    let version = state.config.version();
    side.send(PeerFrame::Freshness(number, version, age_ms));
}

/// Handles a [`PeerFrame::Freshness`] of a peer.
pub(crate) fn take_freshness(
    state: &SidecarState,
    peer: &MemberId,
    number: u32,
    version: Generation,
    age_ms: u32,
) {
    let age = (age_ms != NO_PROOF_MS).then(|| Duration::from_millis(u64::from(age_ms)));
    let active = state.config.version();
    let mut freshness = state.freshness.borrow_mut();
    freshness.on_response(peer, number, (version, age), active);
}
