//! Tracks a call in progress, so that load balancing accounts for its load and its result.

use crate::endpoint_state::CallEnd;
use crate::ids::MemberId;
use crate::load_report::LoadReport;
use crate::sidecar::frame::CallResult;
use crate::sidecar::frame::EndpointLoad;
use crate::sidecar::frame::NotRunCause;
use crate::sidecar::sidecar_state::SidecarState;

/// Lowest HTTP status of an endpoint's response that counts as a failure.
pub const FAILURE_STATUS: u16 = 500;

/// A call in progress. Dropping it records its end in the load balancer.
pub struct RunningCall<'a> {
    state: &'a SidecarState,
    member: MemberId,
    end: CallEnd,
}

impl<'a> RunningCall<'a> {
    /// Records that a call is sent to the endpoint of `member`.
    pub fn start(state: &'a SidecarState, member: &MemberId) -> RunningCall<'a> {
        let mut chooser = state.routing.chooser.borrow_mut();
        chooser.on_start(member, state.now());
        RunningCall {
            state,
            member: member.clone(),
            end: CallEnd::Neutral,
        }
    }

    /// Sets the result of the call and records the load reported with it.
    pub fn end(&mut self, load: Option<EndpointLoad>, result: &CallResult) {
        self.end = match result {
            CallResult::Answer { status, .. } if *status >= FAILURE_STATUS => CallEnd::Failure,
            CallResult::Answer { .. } => CallEnd::Success,
            CallResult::Unknown(_) => CallEnd::Failure,
            CallResult::NotRun(report) if report.cause == NotRunCause::Unreachable => {
                CallEnd::ConnectError
            }
            CallResult::NotRun(_) => CallEnd::Neutral,
        };
        let Some(load) = load else {
            return;
        };
        let report = LoadReport {
            running: load.running,
            slots: load.slots,
            waiting: load.total_waiting(),
        };
        let mut reported = self.state.routing.endpoint_loads.borrow_mut();
        reported.record(self.member.clone(), load, self.state.now());
        drop(reported);
        let mut chooser = self.state.routing.chooser.borrow_mut();
        chooser.on_answer(&self.member, report, self.state.now());
    }
}

impl Drop for RunningCall<'_> {
    fn drop(&mut self) {
        let now = self.state.now();
        let mut chooser = self.state.routing.chooser.borrow_mut();
        chooser.on_end(&self.member, self.end, now);
    }
}
