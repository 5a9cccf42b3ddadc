//! A call in progress to one endpoint, as the choice of later endpoints sees it.

use crate::endpoint_state::CallEnd;
use crate::ids::MemberId;
use crate::load_report::LoadReport;
use crate::sidecar::frame::CallResult;
use crate::sidecar::frame::EndpointLoad;
use crate::sidecar::frame::NotRunCause;
use crate::sidecar::sidecar_state::SidecarState;

/// Statuses from which an answer of an endpoint counts as a failure.
pub const FAILURE_STATUS: u16 = 500;

/// A call in progress; the chooser learns of its end also when it is dropped.
pub struct RunningCall<'a> {
    state: &'a SidecarState,
    member: MemberId,
    end: CallEnd,
}

impl<'a> RunningCall<'a> {
    /// Notes that a call is sent to the endpoint beside `member`.
    pub fn start(state: &'a SidecarState, member: &MemberId) -> RunningCall<'a> {
        let mut chooser = state.routing.chooser.borrow_mut();
        chooser.on_start(member, state.now());
        RunningCall {
            state,
            member: member.clone(),
            end: CallEnd::Neutral,
        }
    }

    /// Notes how the call ended, and the load that was told with its end.
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
        let mut told = self.state.routing.told_loads.borrow_mut();
        told.learn(self.member.clone(), load, self.state.now());
        drop(told);
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
