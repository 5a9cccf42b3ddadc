//! State of the endpoint on the local VM, derived from its announcements.
//!
//! Announcements may arrive late, out of order or from an earlier lifetime of the endpoint. They
//! are ordered by the start time of the lifetime, then by the sequence number within it.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::ServiceName;
use crate::ids::VersionName;
use crate::ids::ZoneName;
use crate::member::EndpointPhase;

/// Identity of an endpoint; a later lifetime may reuse it.
pub type EndpointId = Box<str>;

/// Start time of an endpoint, in milliseconds since the Unix epoch.
pub type StartMillis = u64;

/// Maximum number of departed lifetimes to remember, so that a late announcement does not restore
/// one of them. An address has a few lifetimes a day.
const MAX_DEPARTED: usize = 64;

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
    last_announced: Duration,
    is_down: bool,
    departed: Vec<(EndpointId, StartMillis)>,
    /// Last announcement of a lifetime that seems older than the current one, received while that
    /// one was down.
    challenger: Option<(EndpointId, StartMillis, u64)>,
}

impl EndpointRegister {
    /// Applies an announcement received at `now`, a time since the start of the daemon.
    ///
    /// Ignores endpoints of a service other than `service` or at an address other than `address`.
    pub fn announce(
        &mut self,
        announcement: EndpointAnnouncement,
        service: &ServiceName,
        address: SocketAddr,
        now: Duration,
    ) -> RegisterChange {
        if announcement.address != address {
            return RegisterChange::PassedOver("address is not that of the endpoint on this VM");
        }
        if announcement.service != *service {
            return RegisterChange::PassedOver("service is not that of this VM");
        }
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
        self.last_announced = now;
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
        let Some(current) = &mut self.current else {
            self.add_departed(departure.id.clone(), departure.born.unwrap_or(wall));
            return RegisterChange::PassedOver("no endpoint is in place");
        };
        let is_same =
            current.id == departure.id && departure.born.is_none_or(|born| born == current.born);
        if !is_same {
            return RegisterChange::PassedOver("another lifetime is in place");
        }
        let was_leaving = std::mem::replace(&mut current.is_leaving, true);
        let lifetime = (current.id.clone(), current.born);
        self.add_departed(lifetime.0, lifetime.1);
        match was_leaving {
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
        self.last_announced
    }

    /// Returns whether the endpoint accepts new requests.
    #[must_use]
    pub fn phase(&self) -> EndpointPhase {
        match &self.current {
            Some(current) if current.is_leaving => EndpointPhase::Leaving,
            Some(_) if !self.is_down => EndpointPhase::Ready,
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
        self.last_announced = now;
        self.is_down = false;
        RegisterChange::Replaced
    }

    fn has_departed(&self, id: &EndpointId, born: StartMillis) -> bool {
        let mut departed = self.departed.iter();
        departed.any(|(departed_id, last_born)| departed_id == id && born <= *last_born)
    }

    fn add_departed(&mut self, id: EndpointId, born: StartMillis) {
        if self.departed.len() >= MAX_DEPARTED {
            self.departed.remove(0);
        }
        self.departed.push((id, born));
    }
}
