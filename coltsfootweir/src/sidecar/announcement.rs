//! The endpoint on the own VM, as its announcements tell it.
//!
//! Announcements may arrive late, out of order or from an earlier lifetime; the start time and the
//! count of an announcement order them.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::ServiceName;
use crate::ids::VersionName;
use crate::ids::ZoneName;
use crate::member::EndpointPhase;

/// Identity of one endpoint; may be used again by a later lifetime.
pub type EndpointId = Box<str>;

/// Milliseconds since the Unix epoch at which an endpoint started.
pub type StartMillis = u64;

/// Departed lifetimes remembered, so that a late announcement brings none of them back; an address
/// sees a few lifetimes a day.
const MAX_DEPARTED: usize = 64;

/// What an endpoint tells of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointAnnouncement {
    /// Identity.
    pub id: EndpointId,
    /// Start of the lifetime; 0 when it was not told.
    pub born: StartMillis,
    /// Count of announcements in the lifetime.
    pub sequence: u64,
    /// Address that takes requests.
    pub address: SocketAddr,
    /// Service.
    pub service: ServiceName,
    /// Version of its software.
    pub version: VersionName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Requests it runs at once.
    pub slots: u16,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Time for which it is still slow after its start.
    pub warmup_left: Duration,
}

/// An endpoint's word that it ends.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointDeparture {
    /// Identity.
    pub id: EndpointId,
    /// Start of the lifetime, when it was told.
    pub born: Option<StartMillis>,
}

/// What an announcement or a departure changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RegisterChange {
    /// Another lifetime is in place now.
    Replaced,
    /// The lifetime told something new about itself.
    Updated,
    /// The lifetime takes no new requests from now on.
    Closed,
    /// Nothing that matters changed.
    Same,
    /// It came late, from an earlier lifetime, or is about something else; it was passed over.
    PassedOver(&'static str),
}

/// The endpoint in place and the lifetimes that are over.
#[derive(Debug, Default)]
pub struct EndpointRegister {
    current: Option<EndpointAnnouncement>,
    heard: Duration,
    is_down: bool,
    departed: Vec<(EndpointId, StartMillis)>,
}

impl EndpointRegister {
    /// Takes an announcement heard at `now`. Only endpoints of `service` at `address` are taken.
    pub fn announce(
        &mut self,
        told: EndpointAnnouncement,
        service: &ServiceName,
        address: SocketAddr,
        now: Duration,
    ) -> RegisterChange {
        if told.address != address {
            return RegisterChange::PassedOver("address is not that of the endpoint on this VM");
        }
        if told.service != *service {
            return RegisterChange::PassedOver("service is not that of this VM");
        }
        if self.has_departed(&told.id, told.born) {
            return RegisterChange::PassedOver("lifetime has departed");
        }
        let Some(current) = &mut self.current else {
            return self.replace(told, now);
        };
        if current.id != told.id || current.born != told.born {
            if told.born < current.born {
                return RegisterChange::PassedOver("an older lifetime than the one in place");
            }
            return self.replace(told, now);
        }
        if told.sequence <= current.sequence {
            return RegisterChange::PassedOver("an older announcement than the last one");
        }
        self.heard = now;
        let was_down = std::mem::replace(&mut self.is_down, false);
        // A lifetime that said it is leaving does not come back.
        let is_leaving = current.is_leaving || told.is_leaving;
        let change = match (current.is_leaving, is_leaving) {
            (false, true) => RegisterChange::Closed,
            _ if was_down || current.slots != told.slots || current.version != told.version => {
                RegisterChange::Updated
            }
            _ => RegisterChange::Same,
        };
        *current = EndpointAnnouncement { is_leaving, ..told };
        change
    }

    /// Takes a departure at `wall`, the time of day in milliseconds since the Unix epoch.
    ///
    /// A daemon that has just started may hear it before any announcement of that lifetime. One that
    /// does not tell its start began before it departed.
    pub fn depart(&mut self, told: &EndpointDeparture, wall: StartMillis) -> RegisterChange {
        let Some(current) = &mut self.current else {
            self.note_departed(told.id.clone(), told.born.unwrap_or(wall));
            return RegisterChange::PassedOver("no endpoint is in place");
        };
        let is_same = current.id == told.id && told.born.is_none_or(|born| born == current.born);
        if !is_same {
            return RegisterChange::PassedOver("another lifetime is in place");
        }
        let was_leaving = std::mem::replace(&mut current.is_leaving, true);
        let lifetime = (current.id.clone(), current.born);
        self.note_departed(lifetime.0, lifetime.1);
        match was_leaving {
            true => RegisterChange::Same,
            false => RegisterChange::Closed,
        }
    }

    /// Notes that nobody listens at the endpoint's address; the next announcement ends that.
    pub fn note_down(&mut self) -> bool {
        self.current.is_some() && !std::mem::replace(&mut self.is_down, true)
    }

    /// Returns the endpoint in place.
    #[must_use]
    pub fn current(&self) -> Option<&EndpointAnnouncement> {
        self.current.as_ref()
    }

    /// Returns when the endpoint was last heard.
    #[must_use]
    pub fn heard(&self) -> Duration {
        self.heard
    }

    /// Returns whether the endpoint takes new requests.
    #[must_use]
    pub fn phase(&self) -> EndpointPhase {
        match &self.current {
            Some(current) if current.is_leaving => EndpointPhase::Leaving,
            Some(_) if !self.is_down => EndpointPhase::Ready,
            _ => EndpointPhase::Down,
        }
    }

    fn replace(&mut self, told: EndpointAnnouncement, now: Duration) -> RegisterChange {
        if let Some(old) = self.current.take() {
            self.note_departed(old.id, old.born);
        }
        self.current = Some(told);
        self.heard = now;
        self.is_down = false;
        RegisterChange::Replaced
    }

    fn has_departed(&self, id: &EndpointId, born: StartMillis) -> bool {
        let mut departed = self.departed.iter();
        departed.any(|(gone, until)| gone == id && born <= *until)
    }

    fn note_departed(&mut self, id: EndpointId, born: StartMillis) {
        if self.departed.len() >= MAX_DEPARTED {
            self.departed.remove(0);
        }
        self.departed.push((id, born));
    }
}
