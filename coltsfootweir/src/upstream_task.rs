//! Handles the announcements of the local upstream and detects when they stop.

use std::sync::Arc;
use std::time::Duration;

use log::info;

use crate::announce::UpstreamAnnouncement;
use crate::context::DaemonContext;
use crate::context::lock;
use crate::control_server::ControlAnswer;
use crate::control_server::ControlHandler;
use crate::control_server::HandlerPlugin;
use crate::kernel::DaemonTask;
use crate::kernel::StopSignal;
use crate::kernel::TaskPlugin;
use crate::logging::UPSTREAM;
use crate::member::EndpointEntry;

/// Interval at which the time since the last announcement is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

struct AnnounceHandler;

inventory::submit! { HandlerPlugin { handler: &AnnounceHandler } }

impl ControlHandler for AnnounceHandler {
    fn path(&self) -> &'static str {
        "/announce"
    }

    fn answer(&self, context: &Arc<DaemonContext>, body: &[u8]) -> ControlAnswer {
        let mut announcement: UpstreamAnnouncement = match serde_json::from_slice(body) {
            Ok(announcement) => announcement,
            Err(error) => return ControlAnswer::BadRequest(error.to_string().into()),
        };
        if announcement.slots == 0 {
            return ControlAnswer::BadRequest("slots: must be at least 1".into());
        }
        announcement.leaving |= context.is_leaving();
        let (service, version) = (announcement.service.clone(), announcement.version.clone());
        lock(&context.recorder).set_version(service, version);
        if let Some(entry) = context.upstream.announce(announcement, context.now()) {
            publish(context, entry);
        }
        ControlAnswer::json(&"heard")
    }
}

struct SilenceCheck;

inventory::submit! { TaskPlugin { task: &SilenceCheck } }

impl DaemonTask for SilenceCheck {
    fn name(&self) -> &'static str {
        "upstream"
    }

    fn run(&self, context: &Arc<DaemonContext>, stop: &StopSignal) {
        while !stop.wait(CHECK_INTERVAL) {
            if let Some(entry) = context.upstream.check_silence(context.now()) {
                publish(context, entry);
            }
        }
    }
}

/// Publishes the endpoint entry of the local upstream and gossips it at once.
pub(crate) fn publish(context: &Arc<DaemonContext>, entry: EndpointEntry) {
    info!(target: UPSTREAM, "{} {} is {:?}", entry.service, entry.version, entry.phase);
    lock(&context.gossip).set_endpoint(Some(entry));
    context.refresh_index();
    context.push_urgent();
}
