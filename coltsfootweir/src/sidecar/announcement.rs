//! State of the endpoint on the local VM, derived from its announcements.
//!
//! Announcements may arrive late, out of order or from an earlier lifetime of the endpoint. They
//! are ordered by the start time of the lifetime, then by the sequence number within it.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ServiceName;
use crate::ids::VersionName;
use crate::ids::ZoneName;
use crate::member::EndpointPhase;
use crate::sidecar::departures::restart_trust::AnnouncementSeries;
use crate::sidecar::departures::restart_trust::DepartureNews;
use crate::sidecar::departures::restart_trust::LifetimeProof;
use crate::sidecar::departures::restart_trust::RestartTrust;

/// Identity of an endpoint; a later lifetime may reuse it.
pub type EndpointId = Box<str>;

/// Start time of an endpoint, in milliseconds since the Unix epoch.
pub type StartMillis = u64;

/// Maximum number of departed lifetimes to remember, so that a late announcement does not restore
/// one of them. An address has a few lifetimes a day.
const MAX_DEPARTED: usize = 64;

/// Maximum number of departures to keep beyond the run of the daemon.
pub const MAX_LEAVING: usize = 16;

/// Id of the entry that stands for a doubt instead of a departure. No endpoint has an empty id.
const DOUBT_ID: &str = "";

/// Number of departures noted in a run of the daemon.
pub type DepartureCount = u64;

/// An endpoint's description of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointAnnouncement {
    /// Identity.
    pub id: EndpointId,
    /// Start time of the lifetime; 0 when the endpoint did not send one.
    pub born: StartMillis,
    /// Sequence number of the announcement within the lifetime.
    pub sequence: u64,
    /// Address that accepts requests.
    pub address: SocketAddr,
    /// Service.
    pub service: ServiceName,
    /// Version of the endpoint's software.
    pub version: VersionName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Maximum number of concurrent requests.
    pub slots: u16,
    /// Whether the endpoint is shutting down.
    pub is_leaving: bool,
    /// Remaining time for which the endpoint is slow after its start.
    pub warmup_left: Duration,
}

/// An endpoint's message that it is shutting down.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointDeparture {
    /// Identity.
    pub id: EndpointId,
    /// Start time of the lifetime, if the endpoint sent one.
    pub born: Option<StartMillis>,
}

/// A lifetime of an endpoint that has announced its departure and receives no more requests. It
/// covers earlier lifetimes of the same identity.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DepartedLifetime {
    /// Identity.
    pub id: EndpointId,
    /// Start time of the lifetime.
    pub born: StartMillis,
    /// Time of day of the departure, in milliseconds since the Unix epoch.
    pub departed_at: u64,
}

impl DepartedLifetime {
    /// Returns whether the lifetime `born` of the endpoint `id` is this one or an earlier one.
    #[must_use]
    pub fn covers(&self, id: &EndpointId, born: StartMillis) -> bool {
        self.id == *id && born <= self.born
    }
}

/// Effect of an announcement or a departure on the register.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RegisterChange {
    /// The announced lifetime is now the current one.
    Replaced,
    /// The slots or the version of the current lifetime changed, or it is up again.
    Updated,
    /// The current lifetime accepts no new requests from now on.
    Closed,
    /// Nothing relevant changed.
    Same,
    /// The message was ignored, for the given reason.
    PassedOver(&'static str),
}

/// The current lifetime of the local endpoint and the lifetimes that have ended.
#[derive(Debug, Default)]
pub struct EndpointRegister {
    current: Option<EndpointAnnouncement>,
    series: AnnouncementSeries,
    is_down: bool,
    departed: Vec<(EndpointId, StartMillis)>,
    /// Lifetimes that announced their departure, also those that still serve. The acknowledgement
    /// is a promise that a later run of the daemon must keep.
    leaving: Vec<DepartedLifetime>,
    /// Number of lifetimes added to `leaving`.
    leaving_count: DepartureCount,
    /// Departures acknowledged by an earlier run of the daemon may be missing here.
    trust: RestartTrust,
    /// Whether it is certain that the current lifetime did not depart before this run.
    is_proven: bool,
    /// Last announcement of a lifetime that seems older than the current one, received while that
    /// one was down.
    challenger: Option<(EndpointId, StartMillis, u64)>,
}

impl EndpointRegister {
    /// Applies an announcement received at `now`, a time since the start of the daemon.
    ///
    /// Ignores endpoints of a service other than `service` or at an address other than `address`.
    /// `wall` is the time of day in milliseconds since the Unix epoch.
    pub fn announce(
        &mut self,
        mut announcement: EndpointAnnouncement,
        service: &ServiceName,
        address: SocketAddr,
        now: Duration,
        wall: StartMillis,
    ) -> RegisterChange {
        if announcement.address != address {
            return RegisterChange::PassedOver("address is not that of the endpoint on this VM");
        }
        if announcement.service != *service {
            return RegisterChange::PassedOver("service is not that of this VM");
        }
        if announcement.is_leaving {
            self.note_leaving(announcement.id.clone(), announcement.born, wall);
        }
        announcement.is_leaving = self.is_leaving(&announcement.id, announcement.born);
        let was_ready = self.phase() == EndpointPhase::Ready;
        let change = self.apply(announcement, now);
        let is_ready = self.check_proof() == EndpointPhase::Ready;
        match change {
            RegisterChange::Same if is_ready && !was_ready => RegisterChange::Updated,
            other => other,
        }
    }

    fn apply(&mut self, announcement: EndpointAnnouncement, now: Duration) -> RegisterChange {
        if self.has_departed(&announcement.id, announcement.born) {
            return RegisterChange::PassedOver("lifetime has departed");
        }
        let Some(current) = &mut self.current else {
            return self.replace(announcement, now);
        };
        if current.id != announcement.id || current.born != announcement.born {
            if announcement.born < current.born {
                return self.challenge(announcement, now);
            }
            return self.replace(announcement, now);
        }
        if announcement.sequence <= current.sequence {
            return RegisterChange::PassedOver("an older announcement than the last one");
        }
        self.series.add(now, self.trust.interval());
        let was_down = std::mem::replace(&mut self.is_down, false);
        // A lifetime that is leaving stays in that state.
        let is_leaving = current.is_leaving || announcement.is_leaving;
        let has_changed =
            current.slots != announcement.slots || current.version != announcement.version;
        let change = match (current.is_leaving, is_leaving) {
            (false, true) => RegisterChange::Closed,
            _ if was_down || has_changed => RegisterChange::Updated,
            _ => RegisterChange::Same,
        };
        *current = EndpointAnnouncement {
            is_leaving,
            ..announcement
        };
        change
    }

    /// Applies a departure received at `wall`, the time of day in milliseconds since the Unix
    /// epoch.
    ///
    /// A daemon that has just started may receive the departure before any announcement of that
    /// lifetime. A departure without a start time then covers all lifetimes started until `wall`.
    pub fn depart(&mut self, departure: &EndpointDeparture, wall: StartMillis) -> RegisterChange {
        let current = self.current.as_ref();
        let own_born = current
            .filter(|current| current.id == departure.id)
            .map(|current| current.born);
        let born = departure.born.or(own_born).unwrap_or(wall);
        self.add_departed(departure.id.clone(), born);
        self.note_leaving(departure.id.clone(), born, wall);
        match own_born {
            Some(own_born) if own_born <= born => self.close_current(),
            Some(_) => RegisterChange::PassedOver("a later lifetime is in place"),
            None if self.current.is_some() => {
                RegisterChange::PassedOver("another endpoint is in place")
            }
            None => RegisterChange::PassedOver("no endpoint is in place"),
        }
    }

    /// Makes lifetimes that announce themselves wait until `trust` has proof of them, because they may
    /// have departed in an earlier run of the daemon.
    pub fn await_departures(&mut self, trust: RestartTrust) {
        self.trust = trust;
    }

    /// Adds what has become known of the departures in earlier runs of the daemon. Returns whether the
    /// endpoint accepts requests from now on and did not before.
    pub fn learn(&mut self, news: DepartureNews) -> bool {
        let was_ready = self.phase() == EndpointPhase::Ready;
        self.trust.learn(news);
        self.check_proof() == EndpointPhase::Ready && !was_ready
    }

    /// Returns whether all departures of earlier runs are known, as far as they matter to the lifetimes
    /// that may announce themselves. Other daemons may testify to later runs then.
    #[must_use]
    pub fn is_informed(&self) -> bool {
        self.trust.is_informed() || self.is_proven
    }

    fn check_proof(&mut self) -> EndpointPhase {
        self.is_proven = self.proof() == LifetimeProof::Certain;
        self.phase()
    }

    /// Returns how well it is known that the current lifetime did not depart in an earlier run of the
    /// daemon.
    #[must_use]
    pub fn proof(&self) -> LifetimeProof {
        match &self.current {
            Some(current) if !self.is_proven => self.trust.proof(current.born, &self.series),
            Some(_) => LifetimeProof::Certain,
            None => LifetimeProof::Missing,
        }
    }

    /// Records that a lifetime has heard from this run of the daemon: it announced itself at an address
    /// that only this run has named. Returns whether the endpoint accepts requests from now on and did
    /// not before.
    pub fn confirm(&mut self, id: &EndpointId, born: StartMillis) -> bool {
        let current = self.current.as_ref();
        if current.is_none_or(|current| current.id != *id || current.born != born) {
            return false;
        }
        let was_ready = self.phase() == EndpointPhase::Ready;
        self.series.confirm();
        self.check_proof() == EndpointPhase::Ready && !was_ready
    }

    /// Returns the time since the start of the daemon until which a lifetime may be used on trial.
    #[must_use]
    pub fn trial(&self) -> Duration {
        self.trust.trial()
    }

    /// Notes, among the departures, that lifetimes older than this run may have departed without a trace,
    /// so that later runs know that, too. `wall` is the time of day in milliseconds since the Unix epoch.
    pub fn note_doubt(&mut self, wall: StartMillis) {
        let started_at = self.trust.started_at();
        self.trust.doubt(started_at, wall);
        self.note_leaving(DOUBT_ID.into(), started_at, wall);
    }

    /// Adds departures that an earlier run of the daemon acknowledged, and its doubts.
    pub fn restore(&mut self, departures: &[DepartedLifetime]) -> RegisterChange {
        let mut change = RegisterChange::Same;
        for lifetime in departures {
            if self.is_leaving(&lifetime.id, lifetime.born) {
                continue;
            }
            self.add_departed(lifetime.id.clone(), lifetime.born);
            self.note_leaving(lifetime.id.clone(), lifetime.born, lifetime.departed_at);
            if &*lifetime.id == DOUBT_ID {
                self.trust.doubt(lifetime.born, lifetime.departed_at);
                self.is_proven = false;
                continue;
            }
            let current = self.current.as_ref();
            if current.is_some_and(|current| lifetime.covers(&current.id, current.born)) {
                change = self.close_current();
            }
        }
        change
    }

    /// Returns the number of departures noted so far and the latest of them, in their order.
    #[must_use]
    pub fn leaving(&self) -> (DepartureCount, &[DepartedLifetime]) {
        (self.leaving_count, &self.leaving)
    }

    /// Returns whether a lifetime has announced its departure.
    #[must_use]
    pub fn is_leaving(&self, id: &EndpointId, born: StartMillis) -> bool {
        self.leaving
            .iter()
            .any(|lifetime| lifetime.covers(id, born))
    }

    fn close_current(&mut self) -> RegisterChange {
        let Some(current) = &mut self.current else {
            return RegisterChange::Same;
        };
        match std::mem::replace(&mut current.is_leaving, true) {
            true => RegisterChange::Same,
            false => RegisterChange::Closed,
        }
    }

    /// Marks the endpoint as down until its next announcement. Returns whether it was up before.
    pub fn mark_down(&mut self) -> bool {
        self.current.is_some() && !std::mem::replace(&mut self.is_down, true)
    }

    /// Returns the last announcement of the current lifetime.
    #[must_use]
    pub fn current(&self) -> Option<&EndpointAnnouncement> {
        self.current.as_ref()
    }

    /// Returns when the current lifetime was last announced, as a time since the start of the
    /// daemon; zero before the first announcement.
    #[must_use]
    pub fn last_announced(&self) -> Duration {
        self.series.last()
    }

    /// Returns whether the endpoint accepts new requests.
    #[must_use]
    pub fn phase(&self) -> EndpointPhase {
        match &self.current {
            Some(current) if current.is_leaving => EndpointPhase::Leaving,
            Some(_) if !self.is_down && self.proof() != LifetimeProof::Missing => {
                EndpointPhase::Ready
            }
            _ => EndpointPhase::Down,
        }
    }

    /// Handles the announcement of a lifetime that seems older than the current one. A single one may
    /// be late. If the current lifetime is down and the other one goes on announcing itself, the time
    /// of day was set back before it started.
    fn challenge(&mut self, announcement: EndpointAnnouncement, now: Duration) -> RegisterChange {
        let passed_over = RegisterChange::PassedOver("an older lifetime than the one in place");
        if !self.is_down {
            self.challenger = None;
            return passed_over;
        }
        let known = self.challenger.take();
        let goes_on = known.is_some_and(|(id, born, sequence)| {
            id == announcement.id && born == announcement.born && sequence < announcement.sequence
        });
        if !goes_on {
            let id = announcement.id.clone();
            self.challenger = Some((id, announcement.born, announcement.sequence));
            return passed_over;
        }
        // The lifetime in place is not noted as departed: should it go on, it is the younger one.
        self.current = None;
        self.replace(announcement, now)
    }

    fn replace(&mut self, announcement: EndpointAnnouncement, now: Duration) -> RegisterChange {
        if let Some(old) = self.current.take() {
            self.add_departed(old.id, old.born);
        }
        self.current = Some(announcement);
        self.series = AnnouncementSeries::new(now);
        self.is_proven = false;
        self.is_down = false;
        RegisterChange::Replaced
    }

    fn has_departed(&self, id: &EndpointId, born: StartMillis) -> bool {
        let mut departed = self.departed.iter();
        departed.any(|(departed_id, last_born)| departed_id == id && born <= *last_born)
    }

    fn note_leaving(&mut self, id: EndpointId, born: StartMillis, wall: StartMillis) {
        if self.is_leaving(&id, born) {
            return;
        }
        if self.leaving.len() >= MAX_LEAVING {
            self.leaving.remove(0);
        }
        self.leaving_count += 1;
        self.leaving.push(DepartedLifetime {
            id,
            born,
            departed_at: wall,
        });
    }

    fn add_departed(&mut self, id: EndpointId, born: StartMillis) {
        if self.departed.len() >= MAX_DEPARTED {
            self.departed.remove(0);
        }
        self.departed.push((id, born));
    }
}
