//! Remembers where requests were just refused for lack of capacity.

use std::collections::HashMap;
use std::time::Duration;

use crate::sidecar::fair_queue::TeamHash;
use crate::sidecar::link::uplink_schedule::PIECE_BYTES;

/// Bounds of the time for which an endpoint is not asked again after a refusal. A queue changes within
/// a few runs, and to be refused in the own region takes less than two milliseconds.
const QUEUE_BOUNDS: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(60));

/// Bounds of the time for which an endpoint is not asked again after a refusal because of a full link.
/// Such a refusal waits about 80 ms behind the data on the link, so to be refused again is expensive.
/// The backlog of a link changes within the upper bound: answers finish or are cancelled.
const LINK_BOUNDS: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(500));

/// Maximum number of places and kinds of request with a refusal. A daemon that refuses a hundred
/// requests a second at four endpoints each for 500 ms needs about 200.
const MAX_REFUSALS: usize = 1024;

/// Properties of a request on which a refusal depends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RefusalScope {
    /// Hash of the route's name.
    pub route_hash: u32,
    /// Team; `None` for requests without a team. Teams may have
    /// other priorities, and a guard may refuse a team because of its own load.
    pub team_hash: Option<TeamHash>,
    /// Length of the request's body in bytes.
    pub body_length: u64,
}

/// Where and for which requests a refusal counts.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct RefusalKey {
    /// Daemon or region.
    place: Box<str>,
    route_hash: u32,
    team_hash: Option<TeamHash>,
}

/// Refusal because of a full link.
#[derive(Clone, Copy, Debug, Default)]
struct LinkRefusal {
    /// Time until which the endpoint is not asked.
    until: Duration,
    /// Time at which the refused request would have fitted.
    fits_at: Duration,
    /// Length of the refused body. A shorter body may fit earlier.
    body_length: u64,
}

impl LinkRefusal {
    fn covers(&self, body_length: u64, now: Duration) -> bool {
        now < self.until && self.body_length <= body_length
    }
}

/// Refusals of one kind of request at one place.
#[derive(Clone, Copy, Debug, Default)]
struct PlaceRefusals {
    /// Time until which the place is not asked because its slots are taken.
    queue_until: Duration,
    link: LinkRefusal,
}

impl PlaceRefusals {
    fn end(&self) -> Duration {
        self.queue_until.max(self.link.until)
    }
}

/// Recent refusals by endpoint or region, and by kind of request.
#[derive(Default)]
pub struct RefusalMemory {
    refusals: HashMap<RefusalKey, PlaceRefusals>,
}

impl RefusalMemory {
    /// Records that the slots of an endpoint are taken for `wait`.
    pub fn record_queue(
        &mut self,
        place: &str,
        scope: RefusalScope,
        wait: Duration,
        now: Duration,
    ) {
        let (low, high) = QUEUE_BOUNDS;
        let until = now + wait.clamp(low, high);
        self.entry(place, scope, now).queue_until = until;
    }

    /// Records that a region is not asked for `time`.
    pub fn record_region(
        &mut self,
        place: &str,
        scope: RefusalScope,
        time: Duration,
        now: Duration,
    ) {
        self.entry(place, scope, now).queue_until = now + time;
    }

    /// Records that the link of an endpoint's VM is too full for the request, which would fit after
    /// `wait`. A longer body than that of a refusal in force gives no new information.
    pub fn record_link(&mut self, place: &str, scope: RefusalScope, wait: Duration, now: Duration) {
        let (low, high) = LINK_BOUNDS;
        let body_length = piecewise_length(scope.body_length);
        let entry = self.entry(place, scope, now);
        if now < entry.link.until && entry.link.body_length < body_length {
            return;
        }
        entry.link = LinkRefusal {
            until: now + wait.clamp(low, high),
            fits_at: now + wait.max(low),
            body_length,
        };
    }

    /// Returns the time after which a request may be accepted at a place that is not asked now; zero if
    /// the place may be asked.
    #[must_use]
    pub fn refused_for(&self, place: &str, scope: RefusalScope, now: Duration) -> Duration {
        let Some(entry) = self.refusals.get(&key(place, scope)) else {
            return Duration::ZERO;
        };
        let queue = entry.queue_until.saturating_sub(now);
        match entry.link.covers(piecewise_length(scope.body_length), now) {
            true => queue.max(entry.link.fits_at.saturating_sub(now)),
            false => queue,
        }
    }

    /// Returns whether a place is not asked now because of a full link.
    #[must_use]
    pub fn is_link_full(&self, place: &str, scope: RefusalScope, now: Duration) -> bool {
        let entry = self.refusals.get(&key(place, scope));
        entry.is_some_and(|entry| entry.link.covers(piecewise_length(scope.body_length), now))
    }

    /// Returns the number of places and kinds of request with a refusal.
    #[must_use]
    pub fn len(&self) -> usize {
        self.refusals.len()
    }

    /// Returns whether no refusal is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.refusals.is_empty()
    }

    fn entry(&mut self, place: &str, scope: RefusalScope, now: Duration) -> &mut PlaceRefusals {
        let key = key(place, scope);
        if self.refusals.len() >= MAX_REFUSALS && !self.refusals.contains_key(&key) {
            self.make_room(now);
        }
        self.refusals.entry(key).or_default()
    }

    /// Removes the refusals that are over, or else the one that ends first.
    fn make_room(&mut self, now: Duration) {
        self.refusals.retain(|_, entry| now < entry.end());
        if self.refusals.len() < MAX_REFUSALS {
            return;
        }
        let first = self.refusals.iter().min_by_key(|(_, entry)| entry.end());
        if let Some(key) = first.map(|(key, _)| key.clone()) {
            self.refusals.remove(&key);
        }
    }
}

fn key(place: &str, scope: RefusalScope) -> RefusalKey {
    RefusalKey {
        place: place.into(),
        route_hash: scope.route_hash,
        team_hash: scope.team_hash,
    }
}

/// Returns the length of a body that is sent in pieces, and 0 for a shorter one: it is sent with the
/// request, so its length has no influence on a refusal.
fn piecewise_length(length: u64) -> u64 {
    match length > PIECE_BYTES {
        true => length,
        false => 0,
    }
}
