//! Announcements and departures of the endpoint on the local VM.

use std::net::SocketAddr;
use std::time::Duration;

use log::info;
use serde_json::json;

use super::LocalEndpoint;
use super::wall_ms;
use crate::ids::ServiceName;
use crate::logging::UPSTREAM;
use crate::member::EndpointPhase;
use crate::sidecar::announcement::DepartedLifetime;
use crate::sidecar::announcement::DepartureCount;
use crate::sidecar::announcement::EndpointAnnouncement;
use crate::sidecar::announcement::EndpointDeparture;
use crate::sidecar::announcement::EndpointId;
use crate::sidecar::announcement::RegisterChange;
use crate::sidecar::announcement::StartMillis;
use crate::sidecar::departures::restart_trust::DepartureNews;
use crate::sidecar::departures::restart_trust::LifetimeProof;
use crate::sidecar::departures::restart_trust::RestartTrust;
use crate::sidecar::departures::restart_trust::trial_silence;
use crate::sidecar::warmup::warmup_pacer::WarmupTerms;

/// Number of announcement intervals without an announcement after which the endpoint is down.
const SILENT_INTERVALS: u32 = 4;

/// Age that an announcement may have when it arrives.
const MAX_LATENESS: Duration = Duration::from_secs(5);

impl LocalEndpoint {
    /// Applies an announcement. Ignores endpoints of another `service` or at another `address`.
    pub fn announce(
        &self,
        announcement: EndpointAnnouncement,
        service: &ServiceName,
        address: SocketAddr,
    ) -> RegisterChange {
        let (id, sequence, leaving) = (
            announcement.id.clone(),
            announcement.sequence,
            announcement.is_leaving,
        );
        let slots = announcement.slots;
        let warmup_left = announcement.warmup_left;
        let now = self.clock.now();
        let wall = wall_ms(self.clock.wall());
        let before = self.register.borrow().current().cloned();
        let change = self
            .register
            .borrow_mut()
            .announce(announcement, service, address, now, wall);
        if change == RegisterChange::Replaced {
            self.assume_cold();
            if let Some(ended) = before {
                self.blame_lifetime(&ended, "replaced");
            }
        }
        // An announcement that is passed over may be older than the last one.
        if !matches!(change, RegisterChange::PassedOver(_)) {
            self.slots
                .change_pacer(|pacer, now| pacer.on_announcement(warmup_left, now));
            self.cold_slots.set(self.slots.busy_slots().unwrap_or(1));
        }
        if matches!(change, RegisterChange::Same | RegisterChange::Updated) {
            self.slots.on_alive(now.saturating_sub(MAX_LATENESS));
        }
        match change {
            RegisterChange::Same => return change,
            RegisterChange::Replaced => {
                self.idle.borrow_mut().clear();
                self.slots.replace(slots);
            }
            RegisterChange::Updated => self.slots.set_slots(slots),
            RegisterChange::Closed | RegisterChange::PassedOver(_) => {}
        }
        self.sync_phase();
        let proof = self.register.borrow().proof();
        let what = json!({"name": "endpoint_announced", "endpoint": id, "sequence": sequence,
            "leaving": leaving, "outcome": format!("{change:?}"), "proof": format!("{proof:?}")});
        info!(target: UPSTREAM, "{what}");
        change
    }

    /// Applies a departure.
    pub fn depart(&self, departure: &EndpointDeparture) -> RegisterChange {
        let wall = wall_ms(self.clock.wall());
        let change = self.register.borrow_mut().depart(departure, wall);
        self.sync_phase();
        let what = json!({"name": "endpoint_departed", "endpoint": departure.id,
            "outcome": format!("{change:?}")});
        info!(target: UPSTREAM, "{what}");
        change
    }

    /// Has an endpoint that announces itself wait for proof that it did not depart in an earlier run of
    /// the daemon. Endpoints announce themselves at `interval`. For `stability` after its start the daemon
    /// does not count as in touch.
    pub fn await_departures(&self, interval: Duration, stability: Duration) {
        let trust = RestartTrust::new(wall_ms(self.clock.wall()), interval, stability);
        self.register.borrow_mut().await_departures(trust);
    }

    /// Adds what has become known of the departures in earlier runs of the daemon. Returns whether the
    /// endpoint accepts requests from now on and did not before.
    pub fn learn(&self, news: DepartureNews) -> bool {
        let changed = self.register.borrow_mut().learn(news);
        self.sync_phase();
        changed
    }

    /// Returns whether the current lifetime may have departed in an earlier run of the daemon.
    #[must_use]
    pub fn is_in_doubt(&self) -> bool {
        let register = self.register.borrow();
        register.current().is_some() && register.proof() != LifetimeProof::Certain
    }

    /// Records that a lifetime has heard from this run of the daemon. Returns whether the endpoint accepts
    /// requests from now on and did not before.
    pub fn confirm(&self, id: &EndpointId, born: StartMillis) -> bool {
        let was_in_doubt = self.is_in_doubt();
        let changed = self.register.borrow_mut().confirm(id, born);
        if was_in_doubt && !self.is_in_doubt() {
            let what = json!({"name": "endpoint_confirmed", "endpoint": id,
                "ms": self.clock.now().as_millis() as u64});
            info!(target: UPSTREAM, "{what}");
        }
        self.sync_phase();
        changed
    }

    /// Notes that departures of earlier runs may be missing everywhere, so that later runs know it, too.
    pub fn note_doubt(&self) {
        let wall = wall_ms(self.clock.wall());
        self.register.borrow_mut().note_doubt(wall);
        self.sync_phase();
    }

    /// Returns whether the departures of earlier runs are known.
    #[must_use]
    pub fn is_informed(&self) -> bool {
        self.register.borrow().is_informed()
    }

    /// Adds departures that an earlier run of the daemon acknowledged.
    pub fn restore(&self, departures: &[DepartedLifetime]) -> RegisterChange {
        let change = self.register.borrow_mut().restore(departures);
        self.sync_phase();
        change
    }

    /// Returns whether a lifetime has announced its departure here.
    #[must_use]
    pub fn is_leaving(&self, id: &EndpointId, born: StartMillis) -> bool {
        self.register.borrow().is_leaving(id, born)
    }

    /// Returns the number of departures noted so far and the latest of them.
    #[must_use]
    pub fn leaving(&self) -> (DepartureCount, Vec<DepartedLifetime>) {
        let register = self.register.borrow();
        let (count, departures) = register.leaving();
        (count, departures.to_vec())
    }

    /// Refuses the requests that still wait for a leaving endpoint. Called at the end of the grace
    /// period in which they may start.
    pub fn close_queue(&self) {
        if self.register.borrow().phase() == EndpointPhase::Leaving {
            self.slots.set_phase(EndpointPhase::Down);
        }
    }

    /// Marks the endpoint as down when it has sent no announcement for several announcement intervals, or
    /// when it was used on trial and the time for that is over. Returns whether its state changed.
    pub fn check_silence(&self, interval: Duration) -> bool {
        let register = self.register.borrow();
        let now = self.clock.now();
        let silent_for = now.saturating_sub(register.last_announced());
        let (limit, is_trial_over) = match register.proof() {
            LifetimeProof::Likely => (trial_silence(interval), now > register.trial()),
            LifetimeProof::Certain | LifetimeProof::Missing => (interval * SILENT_INTERVALS, false),
        };
        drop(register);
        if silent_for < limit && !is_trial_over {
            return false;
        }
        let changed = self.register.borrow_mut().mark_down();
        if changed {
            let what = json!({"name": "endpoint_silent", "silent_ms": silent_for.as_millis() as u64,
                    "trial_over": is_trial_over});
            info!(target: UPSTREAM, "{what}");
            self.on_down();
        }
        changed
    }

    /// Sets the limits on requests to the endpoint while it is cold.
    pub fn set_warmup_terms(&self, terms: Option<WarmupTerms>) {
        self.slots
            .change_pacer(|pacer, now| pacer.set_terms(terms, now));
    }

    /// Returns whether the requests to the endpoint are limited because it is cold.
    #[must_use]
    pub fn is_pacing(&self) -> bool {
        self.slots.is_pacing()
    }

    /// Logs a change between cold and warm since the last call.
    pub fn log_warmth(&self) {
        let is_pacing = self.slots.is_pacing();
        if is_pacing == self.was_pacing.replace(is_pacing) {
            return;
        }
        let register = self.register.borrow();
        let Some(current) = register.current() else {
            return;
        };
        let name = match is_pacing {
            true => "endpoint_cold",
            false => "endpoint_warm",
        };
        let what = json!({"name": name, "endpoint": current.id,
            "announced_left_ms": current.warmup_left.as_millis() as u64});
        info!(target: UPSTREAM, "{what}");
    }

    /// Sets whether the endpoint is closed because its zone is evacuated. Waiting requests are refused
    /// then, and the endpoint counts as cold when it is used again. Returns whether that changed.
    pub fn set_evacuated(&self, is_evacuated: bool) -> bool {
        if is_evacuated == self.is_evacuated.replace(is_evacuated) {
            return false;
        }
        self.on_down();
        true
    }

    /// Has the endpoint count as cold until its announcements state otherwise.
    pub(super) fn assume_cold(&self) {
        self.slots.change_pacer(|pacer, now| pacer.assume_cold(now));
    }

    /// Applies that the endpoint is down. It may have started anew when it is up again.
    pub(super) fn on_down(&self) {
        self.assume_cold();
        self.sync_phase();
    }
}
