//! What the choice of an endpoint would be for a request that is not sent.

use std::time::Duration;

use serde::Serialize;

use crate::ids::MemberId;
use crate::ids::RegionName;
use crate::ids::VersionName;
use crate::ids::ZoneName;
use crate::member::EndpointPhase;
use crate::sidecar::call_attempts::CallAttempts;
use crate::sidecar::call_attempts::endpoint_choice::EndpointNeed;
use crate::sidecar::call_attempts::millis;
use crate::sidecar::client_response::not_run_name;
use crate::sidecar::frame::CallResult;
use crate::sidecar::member_table::MemberRecord;

/// Point of the requests that go to the old version while a new one gets a share of them.
const OLD_VERSION_POINT: f64 = 1.0;

/// An endpoint of the service, as the daemon of the client sees it.
#[derive(Clone, Debug, Serialize)]
pub struct CandidateView {
    /// Daemon beside the endpoint.
    pub daemon: MemberId,
    /// Its region.
    pub region: RegionName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Version of the service that the endpoint runs.
    pub version: VersionName,
    /// State of the link: `own` on the same VM, `open` or `closed`.
    pub link: &'static str,
    /// Maximum number of concurrent requests.
    pub slots: u16,
    /// Estimated number of requests there.
    pub load: u32,
    /// Reported mean run time, in milliseconds.
    pub run_ms: Option<u16>,
    /// Age of the last report, in milliseconds.
    pub report_age_ms: Option<u32>,
    /// Expected wait there, in milliseconds.
    pub wait_ms: u32,
    /// Whether it is avoided after repeated failures.
    pub is_ejected: bool,
    /// Reason why the request cannot go there.
    pub excluded: Option<&'static str>,
}

/// Reason why a request would be refused.
#[derive(Clone, Debug, Serialize)]
pub struct RefusalView {
    /// Cause, as in logs and metrics.
    pub cause: &'static str,
    /// Time after which the client may try again, in milliseconds.
    pub retry_after_ms: Option<u32>,
}

/// Choice of an endpoint for a request that is not sent.
#[derive(Clone, Debug, Serialize)]
pub struct ChoiceView {
    /// All endpoints of the service.
    pub candidates: Vec<CandidateView>,
    /// Daemon beside the endpoint that would be chosen.
    pub chosen: Option<MemberId>,
    /// Reason why there is none.
    pub refusal: Option<RefusalView>,
}

impl CallAttempts<'_> {
    /// Returns the choice for this request. It is made with a copy of the chooser and its random
    /// generator, so that the daemon's state stays as it is and the result is the one that a request
    /// would get now. During a rollout, it is the choice for requests to the old version.
    #[must_use]
    pub fn view(&self) -> ChoiceView {
        let mut chooser = self.state.routing.chooser.borrow().clone();
        let chosen = self.choose_with(&mut chooser, EndpointNeed::Any, || OLD_VERSION_POINT);
        let mut candidates = Vec::new();
        self.state.members.read(|table| {
            for record in table.iter() {
                candidates.extend(self.candidate_view(record));
            }
        });
        let refusal = match (&chosen, self.choice_refusal()) {
            (None, CallResult::NotRun(report)) => Some(RefusalView {
                cause: not_run_name(report.cause),
                retry_after_ms: (report.retry_after_ms > 0).then_some(report.retry_after_ms),
            }),
            _ => None,
        };
        ChoiceView {
            candidates,
            chosen: chosen.map(|chosen| chosen.member),
            refusal,
        }
    }

    fn candidate_view(&self, record: &MemberRecord) -> Option<CandidateView> {
        let endpoint = record.endpoint.as_ref()?;
        if endpoint.service != self.service {
            return None;
        }
        let settings = self.state.settings();
        let now = self.state.now();
        let chooser = self.state.routing.chooser.borrow();
        let reported = self.state.routing.endpoint_loads.borrow();
        let is_local = record.region == settings.region;
        let capacity = self.capacity(&chooser, record, endpoint.slots, is_local);
        let link = match self.state.members.is_reachable(&record.id) {
            _ if record.id == settings.id => "own",
            true => "open",
            false => "closed",
        };
        let excluded = match endpoint.phase {
            EndpointPhase::Leaving => Some("endpoint_leaving"),
            EndpointPhase::Down => Some("endpoint_down"),
            EndpointPhase::Ready if !self.regions.allows(&record.region) => {
                Some("region_not_allowed")
            }
            EndpointPhase::Ready if !self.uses_zone(&record.zone) => Some("zone_evacuated"),
            EndpointPhase::Ready if link == "own" => None,
            EndpointPhase::Ready if record.is_leaving => Some("daemon_leaving"),
            EndpointPhase::Ready if link == "closed" => Some("unreachable"),
            EndpointPhase::Ready => None,
        };
        let excluded = excluded.or((!capacity.is_enough).then_some("no_capacity"));
        let report_age = reported.report_age(&record.id, now);
        Some(CandidateView {
            daemon: record.id.clone(),
            region: record.region.clone(),
            zone: record.zone.clone(),
            version: endpoint.version.clone(),
            link,
            slots: endpoint.slots,
            load: chooser.load(&record.id, now),
            run_ms: reported.note(&record.id).map(|note| note.run_ms),
            report_age_ms: report_age.map(|age: Duration| millis(age)),
            wait_ms: millis(capacity.wait),
            is_ejected: chooser.is_ejected(&record.id, now),
            excluded,
        })
    }
}
