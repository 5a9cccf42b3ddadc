//! Decides which daemon to request a newer configuration from.
//!
//! A daemon that does not respond is passed over until the others have been asked, so that no daemon
//! depends on a single other one.

use std::cmp::Reverse;
use std::collections::HashSet;
use std::time::Duration;

use crate::ids::Generation;
use crate::ids::MemberId;
use crate::sidecar::zone_order::FetchScope;

/// Time within which a daemon has to begin to send a requested configuration, and to send its next
/// piece. Covers four copies of a change of 1,400 routes on a 10 Mbit/s link, and the scheduling pauses
/// of a daemon with a tenth of a core.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);

/// Position of a daemon with a newer configuration, in the order in which daemons are asked.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum SourceDistance {
    /// The parent in the tree that distributes configurations.
    Parent,
    /// Another daemon of the own zone.
    SameZone,
    /// A daemon of another zone.
    OtherZone,
}

/// A reachable daemon with a newer configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigSource {
    /// The daemon.
    pub id: MemberId,
    /// Generation of its configuration.
    pub version: Generation,
    /// Where it is.
    pub distance: SourceDistance,
}

/// A request to send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FetchRequest {
    /// The daemon to ask.
    pub peer: MemberId,
    /// Generation of its configuration.
    pub version: Generation,
    /// Time since a newer configuration was first known.
    pub overdue: Duration,
}

#[derive(Debug)]
struct PendingRequest {
    peer: MemberId,
    version: Generation,
    /// Time of the request or of the last piece of the response.
    at: Duration,
}

/// The requests for a newer configuration.
#[derive(Debug, Default)]
pub struct ConfigFetch {
    held: Generation,
    /// Time at which a newer configuration was first known; `None` if this daemon is up to date.
    behind_since: Option<Duration>,
    pending: Option<PendingRequest>,
    /// Daemons that did not respond since the configuration last changed.
    unresponsive: HashSet<MemberId>,
}

impl ConfigFetch {
    /// Returns the request to send at `now`, if one is due, and counts it as sent.
    ///
    /// `held` is the generation in force, `sources` are the daemons with a newer one, and `scope`
    /// returns which of them may be asked by the time that the configuration is overdue.
    pub fn next_request(
        &mut self,
        held: Generation,
        sources: &[ConfigSource],
        scope: impl FnOnce(Duration) -> FetchScope,
        now: Duration,
    ) -> Option<FetchRequest> {
        if held != self.held {
            self.held = held;
            self.unresponsive.clear();
        }
        self.expire(now);
        if sources.is_empty() {
            self.behind_since = None;
            return None;
        }
        let since = *self.behind_since.get_or_insert(now);
        let overdue = now.saturating_sub(since);
        let source = self.choose(sources, scope(overdue))?;
        let pending = self.pending.as_ref();
        if pending.is_some_and(|pending| pending.version >= source.version) {
            return None;
        }
        if self.unresponsive.contains(&source.id) {
            // All others did not respond either.
            self.unresponsive.clear();
        }
        self.pending = Some(PendingRequest {
            peer: source.id.clone(),
            version: source.version,
            at: now,
        });
        Some(FetchRequest {
            peer: source.id.clone(),
            version: source.version,
            overdue,
        })
    }

    /// Records that a piece of a response was received, so that a long response is waited for.
    pub fn on_piece(&mut self, now: Duration) {
        if let Some(pending) = &mut self.pending {
            pending.at = now;
        }
    }

    fn expire(&mut self, now: Duration) {
        let Some(pending) = &self.pending else {
            return;
        };
        if pending.version <= self.held {
            self.pending = None;
        } else if now >= pending.at + RESPONSE_TIMEOUT {
            self.unresponsive.insert(pending.peer.clone());
            self.pending = None;
        }
    }

    fn choose<'s>(
        &self,
        sources: &'s [ConfigSource],
        scope: FetchScope,
    ) -> Option<&'s ConfigSource> {
        let allowed = sources.iter().filter(|source| match source.distance {
            SourceDistance::Parent => true,
            SourceDistance::SameZone => scope.any_in_zone,
            SourceDistance::OtherZone => scope.other_zones,
        });
        allowed.min_by_key(|source| {
            let is_unresponsive = self.unresponsive.contains(&source.id);
            (is_unresponsive, source.distance, Reverse(source.version))
        })
    }
}
