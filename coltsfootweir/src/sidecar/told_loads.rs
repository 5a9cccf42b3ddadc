//! Loads and run times of endpoints, as the daemons beside them told last.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::MemberId;
use crate::sidecar::frame::EndpointLoad;

/// Time after which a told run time no longer counts, so that an endpoint that was slow is tried again.
const RUN_TIME_AGE: Duration = Duration::from_secs(3);

/// Range of the paces: means over few runs differ by chance, and one that hangs is passed over
/// anyway.
const PACES: (f64, f64) = (0.4, 20.0);

struct ToldLoad {
    note: EndpointLoad,
    at: Duration,
}

/// Loads told by other daemons.
#[derive(Default)]
pub struct ToldLoads {
    told: HashMap<MemberId, ToldLoad>,
}

/// Mean run times of the endpoints of one service, against which each is compared.
#[derive(Clone, Copy, Debug)]
pub struct ServicePace {
    mean_ms: f64,
    now: Duration,
}

impl ToldLoads {
    /// Takes the load that came with an answer.
    pub fn learn(&mut self, id: MemberId, note: EndpointLoad, now: Duration) {
        self.told.insert(id, ToldLoad { note, at: now });
    }

    /// Returns the last load told of an endpoint.
    #[must_use]
    pub fn note(&self, id: &MemberId) -> Option<&EndpointLoad> {
        self.told.get(id).map(|told| &told.note)
    }

    /// Returns the mean run time at the endpoints beside these daemons.
    #[must_use]
    pub fn service_pace<'i>(
        &self,
        ids: impl Iterator<Item = &'i MemberId>,
        now: Duration,
    ) -> ServicePace {
        let (mut sum, mut count) = (0.0, 0.0);
        for run_ms in ids.filter_map(|id| self.recent_run(id, now)) {
            sum += run_ms;
            count += 1.0;
        }
        let mean_ms = if count > 0.0 { sum / count } else { 0.0 };
        ServicePace { mean_ms, now }
    }

    /// Returns the run time at an endpoint relative to the mean; 1 when it was not told lately.
    #[must_use]
    pub fn pace(&self, id: &MemberId, service: ServicePace) -> f64 {
        match self.recent_run(id, service.now) {
            Some(run_ms) if service.mean_ms > 0.0 => {
                (run_ms / service.mean_ms).clamp(PACES.0, PACES.1)
            }
            _ => 1.0,
        }
    }

    fn recent_run(&self, id: &MemberId, now: Duration) -> Option<f64> {
        let told = self.told.get(id)?;
        let is_recent = now < told.at + RUN_TIME_AGE && told.note.run_ms > 0;
        is_recent.then(|| f64::from(told.note.run_ms))
    }
}
