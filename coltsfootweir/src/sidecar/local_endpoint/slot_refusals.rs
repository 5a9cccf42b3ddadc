//! Calls that got no slot of the endpoint.

use std::time::Duration;

use log::info;
use serde_json::json;

use super::LocalEndpoint;
use crate::logging::UPSTREAM;
use crate::outcome::RefusalReason;
use crate::sidecar::fair_queue::share_refusal::ShareRefusal;
use crate::sidecar::fair_queue::team_hash;
use crate::sidecar::frame::CallResult;
use crate::sidecar::frame::ForwardedCall;
use crate::sidecar::frame::NotRunCause;
use crate::sidecar::frame::NotRunReport;
use crate::sidecar::slot_queue::SlotRefusal;

impl LocalEndpoint {
    /// Returns the number of teams whose past use of the endpoint is remembered.
    #[must_use]
    pub fn tagged_teams(&self) -> usize {
        self.slots.tagged_teams()
    }

    /// Counts and logs a call that is refused before its body is received, as it may wait for `wait` only
    /// and would wait for a slot for `queued`.
    pub fn refuse_early(&self, call: &ForwardedCall, wait: Duration, queued: Duration) {
        let team = call.team.as_deref().map(team_hash);
        if let Some(share) = self.slots.refuse_early(call.rank, team, wait) {
            log_share_refusal(call, share, queued.saturating_sub(wait));
        }
    }

    /// Returns the number of calls of teams that found no capacity, by reason.
    #[must_use]
    pub fn share_refusals(&self) -> Vec<(ShareRefusal, u64)> {
        self.slots.share_refusals()
    }
}

/// Returns the result of a call that got no slot, and logs it if the call has a team that found no
/// capacity.
pub(super) fn not_admitted(call: &ForwardedCall, refusal: SlotRefusal) -> CallResult {
    let cause = match refusal.reason {
        RefusalReason::Overloaded => NotRunCause::Overloaded,
        RefusalReason::DeadlinePassed => NotRunCause::TooLate,
        _ => NotRunCause::Closed,
    };
    let retry_after_ms = u32::try_from(refusal.wait.as_millis()).unwrap_or(u32::MAX);
    if let Some(share) = refusal.share {
        log_share_refusal(call, share, refusal.wait);
    }
    CallResult::NotRun(NotRunReport {
        cause,
        reached: false,
        retry_after_ms,
    })
}

fn log_share_refusal(call: &ForwardedCall, share: ShareRefusal, retry_after: Duration) {
    let what = json!({"name": "team_share_refused", "request": call.request_id,
        "team": call.team, "rank": call.rank, "reason": share.name(),
        "retry_after_ms": retry_after.as_millis() as u64});
    info!(target: UPSTREAM, "{what}");
}
