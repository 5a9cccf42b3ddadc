//! The latest loads and run times of endpoints, as reported by their daemons.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::MemberId;
use crate::sidecar::frame::EndpointLoad;
use crate::sidecar::refusal_memory::RefusalMemory;
use crate::sidecar::refusal_memory::RefusalScope;
use crate::sidecar::uploads::receive_load::BodyPlan;
use crate::sidecar::uploads::receive_load::ReceiveLoad;

/// Time after which a reported run time expires, so that an endpoint that was slow is tried again.
const RUN_TIME_LIMIT: Duration = Duration::from_secs(3);

/// Bounds of relative run times. Means over few runs differ by chance, and an endpoint that hangs is
/// skipped anyway.
const RELATIVE_RUN_BOUNDS: (f64, f64) = (0.4, 20.0);

/// Time for which another region is not asked again after a refusal, several of the round trips that
/// each further one would cost the client.
const REGION_REFUSAL_TIME: Duration = Duration::from_millis(250);

struct ReportedLoad {
    note: EndpointLoad,
    at: Duration,
}

/// The latest load reported for each endpoint, by the daemon on its VM.
#[derive(Default)]
pub struct ReportedLoads {
    reports: HashMap<MemberId, ReportedLoad>,
    /// Times that the answers on their way from a VM take, and when they were reported.
    uplinks: HashMap<MemberId, (Duration, Duration)>,
    /// How long the bodies on their way to a VM take, and when that was reported.
    receive_loads: HashMap<MemberId, (ReceiveLoad, Duration)>,
    /// Recent refusals of endpoints and regions.
    refusals: RefusalMemory,
}

/// Mean run time over the endpoints of one service, the reference for relative run times.
#[derive(Clone, Copy, Debug)]
pub struct ServiceMean {
    mean_ms: f64,
    now: Duration,
}

impl ReportedLoads {
    /// Records the load that was reported with a result.
    pub fn record(&mut self, id: MemberId, note: EndpointLoad, now: Duration) {
        self.reports.insert(id, ReportedLoad { note, at: now });
    }

    /// Records the time that the answers on their way from a daemon's VM take.
    pub fn record_uplink(&mut self, id: MemberId, backlog: Duration, now: Duration) {
        self.uplinks.insert(id, (backlog, now));
    }

    /// Returns the time after which the answers on their way from a daemon's VM at its last report
    /// have been sent.
    #[must_use]
    pub fn uplink_wait(&self, id: &MemberId, now: Duration) -> Duration {
        let report = self.uplinks.get(id);
        report.map_or(Duration::ZERO, |(backlog, at)| {
            (*at + *backlog).saturating_sub(now)
        })
    }

    /// Records how long the bodies on their way to a daemon's VM take.
    pub fn record_receive_load(&mut self, id: MemberId, load: ReceiveLoad, now: Duration) {
        self.receive_loads.insert(id, (load, now));
    }

    /// Returns the wait of a large body of a rank for the link of a daemon's VM, by its last report.
    #[must_use]
    pub fn receive_wait(&self, id: &MemberId, rank: u8, now: Duration) -> Duration {
        let report = self.receive_loads.get(id);
        report.map_or(Duration::ZERO, |(load, at)| {
            load.wait(rank, now.saturating_sub(*at))
        })
    }

    /// Returns by how much a large body would be late at a daemon's VM, by its last report.
    #[must_use]
    pub fn receive_excess(&self, id: &MemberId, plan: &BodyPlan, now: Duration) -> Duration {
        let report = self.receive_loads.get(id);
        report.map_or(Duration::ZERO, |(load, at)| {
            load.excess(plan, now.saturating_sub(*at))
        })
    }

    /// Records that an endpoint refused a request because its slots are taken. Others of the same kind
    /// are not sent there for `wait`, within bounds.
    pub fn record_refusal(&mut self, id: &str, scope: RefusalScope, wait: Duration, now: Duration) {
        self.refusals.record_queue(id, scope, wait, now);
    }

    /// Records that a request was refused because the link of an endpoint's VM is full. It would fit
    /// after `wait`; others of the same kind are not sent there until then, within bounds.
    pub fn record_link_refusal(
        &mut self,
        id: &str,
        scope: RefusalScope,
        wait: Duration,
        now: Duration,
    ) {
        self.refusals.record_link(id, scope, wait, now);
    }

    /// Records that an endpoint of another region refused a request for lack of capacity. The others
    /// of its region are probably full too.
    pub fn record_region_refusal(&mut self, region: &str, scope: RefusalScope, now: Duration) {
        let time = REGION_REFUSAL_TIME;
        self.refusals.record_region(region, scope, time, now);
    }

    /// Returns the number of refusals that are remembered.
    #[must_use]
    pub fn refusal_count(&self) -> usize {
        self.refusals.len()
    }

    /// Returns the time after which a request may be accepted at an endpoint or in another region that
    /// is not asked now because of a recent refusal; zero if it may be asked.
    #[must_use]
    pub fn refused_for(&self, id: &str, scope: RefusalScope, now: Duration) -> Duration {
        self.refusals.refused_for(id, scope, now)
    }

    /// Returns whether an endpoint is not asked now because the link of its VM was full.
    #[must_use]
    pub fn is_link_full(&self, id: &MemberId, scope: RefusalScope, now: Duration) -> bool {
        self.refusals.is_link_full(id, scope, now)
    }

    /// Returns the latest load reported by a daemon.
    #[must_use]
    pub fn note(&self, id: &MemberId) -> Option<&EndpointLoad> {
        self.reports.get(id).map(|report| &report.note)
    }

    /// Returns the time since the latest load report of a daemon.
    #[must_use]
    pub fn report_age(&self, id: &MemberId, now: Duration) -> Option<Duration> {
        let report = self.reports.get(id)?;
        Some(now.saturating_sub(report.at))
    }

    /// Returns the mean run time over the endpoints of these daemons.
    #[must_use]
    pub fn service_mean<'i>(
        &self,
        ids: impl Iterator<Item = &'i MemberId>,
        now: Duration,
    ) -> ServiceMean {
        let (mut sum, mut count) = (0.0, 0.0);
        for run_ms in ids.filter_map(|id| self.recent_run(id, now)) {
            sum += run_ms;
            count += 1.0;
        }
        let mean_ms = if count > 0.0 { sum / count } else { 0.0 };
        ServiceMean { mean_ms, now }
    }

    /// Returns the run time of an endpoint relative to the mean; 1 when no recent report has one.
    #[must_use]
    pub fn relative_run_time(&self, id: &MemberId, service: ServiceMean) -> f64 {
        match self.recent_run(id, service.now) {
            Some(run_ms) if service.mean_ms > 0.0 => {
                let (low, high) = RELATIVE_RUN_BOUNDS;
                (run_ms / service.mean_ms).clamp(low, high)
            }
            _ => 1.0,
        }
    }

    fn recent_run(&self, id: &MemberId, now: Duration) -> Option<f64> {
        let report = self.reports.get(id)?;
        let is_recent = now < report.at + RUN_TIME_LIMIT && report.note.run_ms > 0;
        is_recent.then(|| f64::from(report.note.run_ms))
    }
}
