//! Admission of calls to the slots of the local endpoint.

use super::LocalEndpoint;
use crate::outcome::RefusalReason;
use crate::sidecar::slot_queue::SlotPermit;
use crate::sidecar::slot_queue::SlotRefusal;
use crate::sidecar::slot_queue::SlotRequest;
use crate::sidecar::uploads::upload_times::CallTimes;

impl LocalEndpoint {
    /// Waits for a slot; after the time by which the call should finish, as a late request if it may be
    /// late.
    pub(super) async fn admit(
        &self,
        request: SlotRequest,
        times: CallTimes,
    ) -> Result<SlotPermit, SlotRefusal> {
        if !times.is_late(self.clock.now()) {
            let admitted = self.slots.admit(request).await;
            match admitted {
                Err(refusal)
                    if refusal.reason == RefusalReason::DeadlinePassed && times.may_be_late => {}
                decided => return decided,
            }
        }
        let late = SlotRequest {
            finish_by: times.deadline,
            is_late: true,
            ..request
        };
        self.slots.admit(late).await
    }
}
