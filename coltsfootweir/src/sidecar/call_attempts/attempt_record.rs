//! What is recorded of an attempt when it has ended.

use std::time::Duration;

use log::info;
use serde_json::json;

use crate::ids::VersionName;
use crate::logging::CALLS;
use crate::sidecar::call_attempts::CallAttempts;
use crate::sidecar::call_attempts::endpoint_choice::ChosenEndpoint;
use crate::sidecar::client_response::unknown_name;
use crate::sidecar::frame::CallResult;
use crate::sidecar::frame::NotRunReport;
use crate::sidecar::running_call::FAILURE_STATUS;

impl CallAttempts<'_> {
    /// Records the result of an attempt that took `time`.
    pub(super) fn record_attempt(
        &self,
        request_id: &str,
        chosen: &ChosenEndpoint,
        result: &CallResult,
        time: Duration,
    ) {
        if let CallResult::Unknown(cause) = result {
            let event = json!({"name": "attempt_failed", "request": request_id,
                "daemon": chosen.member, "cause": unknown_name(*cause),
                "ms": time.as_millis() as u64});
            info!(target: CALLS, "{event}");
        }
        if matches!(result, CallResult::NotRun(report) if !report.reached) {
            return;
        }
        self.reached.set(self.reached.get() + 1);
        self.count_version(&chosen.version, is_failure(result), time);
    }

    /// Counts an attempt at an endpoint of a version that may be rolled out.
    pub(super) fn count_version(&self, version: &VersionName, is_failed: bool, time: Duration) {
        let mut rollouts = self.state.rollouts.borrow_mut();
        if let Some(rollout) = rollouts.get_mut(&self.service) {
            rollout.count(version, &self.route.name, is_failed, time);
        }
    }
}

/// Returns whether a result is a failure that the endpoint may have caused.
pub(super) fn is_failure(result: &CallResult) -> bool {
    match result {
        CallResult::Answer { status, .. } => *status >= FAILURE_STATUS,
        CallResult::Unknown(_) => true,
        CallResult::NotRun(NotRunReport { .. }) => false,
    }
}
