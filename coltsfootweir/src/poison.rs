//! Detection of poison requests, which crash the upstreams that run them.
//!
//! A fingerprint that was running in one crash, whether its caller still waited or not, is a suspect and
//! is never retried. After a second, distinct crash within [`POISON_TIMEOUT`] it is confirmed and refused
//! for that time. Once confirmed, a single further crash causes it to be refused again. A poison request
//! crashes every upstream that runs it, so a request that completed at an upstream within
//! [`POISON_TIMEOUT`] is not blamed for a crash of that upstream. A common check is therefore not refused
//! for running next to a poison request.
//!
//! The number of crashes is bounded. A poison request crashes two upstreams, and one more for each copy
//! that is handed over by a daemon that has not yet received two of its crash facts. If facts reach
//! every daemon within `G` and copies are handed over at most every `R`, that is at most `2 + G / R`
//! crashes within any [`POISON_TIMEOUT`].
//!
//! A fact may be delivered any number of times within [`FACT_TIMEOUT`] and counts once. Gossip must
//! drop the fact before that time ends.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::fact::CrashFact;
use crate::ids::Fingerprint;

/// Time for which a poison request is refused and a suspect is not retried.
pub const POISON_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum number of fingerprints with crashes, and of completions of requests.
pub const MAX_FINGERPRINTS: usize = 4096;

/// Time for which crash facts are stored after the last crash of their fingerprint.
pub const FACT_TIMEOUT: Duration = Duration::from_secs(600);

/// Maximum number of crashes stored for one fingerprint. At this number the fingerprint is refused until
/// its entry expires.
pub const MAX_CRASHES: usize = 16;

#[derive(Debug)]
struct CrashHistory {
    facts: Vec<CrashFact>,
    last: Duration,
    refused_until: Duration,
}

/// Requests that were running when upstreams crashed, and requests that completed here.
#[derive(Debug, Default)]
pub struct PoisonTable {
    crashes: HashMap<Fingerprint, CrashHistory>,
    completed: HashMap<Fingerprint, Duration>,
    order: VecDeque<(Duration, Fingerprint)>,
}

impl PoisonTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> PoisonTable {
        PoisonTable::default()
    }

    /// Adds a crash fact of the local upstream or from gossip. Returns whether the fact was new.
    pub fn on_crash(&mut self, fact: &CrashFact, now: Duration) -> bool {
        self.expire(now);
        if !self.crashes.contains_key(&fact.fingerprint) && self.crashes.len() >= MAX_FINGERPRINTS {
            self.drop_oldest();
        }
        let history = self
            .crashes
            .entry(fact.fingerprint)
            .or_insert_with(CrashHistory::new);
        if history.facts.contains(fact) || history.facts.len() >= MAX_CRASHES {
            return false;
        }
        history.add(fact, now);
        true
    }

    /// Records that the local upstream completed a request.
    pub fn on_completed(&mut self, fingerprint: Fingerprint, now: Duration) {
        self.completed.insert(fingerprint, now);
        self.order.push_back((now, fingerprint));
        while let Some((time, oldest)) = self.order.front().copied() {
            if self.order.len() <= MAX_FINGERPRINTS && now < time + POISON_TIMEOUT {
                break;
            }
            self.order.pop_front();
            if self.completed.get(&oldest) == Some(&time) {
                self.completed.remove(&oldest);
            }
        }
    }

    /// Returns the requests of `running` that may have crashed the local upstream. These are the
    /// requests that did not complete there within [`POISON_TIMEOUT`].
    #[must_use]
    pub fn crash_suspects(&self, running: &[Fingerprint], now: Duration) -> Vec<Fingerprint> {
        let mut suspects = Vec::new();
        for fingerprint in running {
            let time = self.completed.get(fingerprint);
            if time.is_some_and(|time| now < *time + POISON_TIMEOUT) {
                continue;
            }
            if !suspects.contains(fingerprint) {
                suspects.push(*fingerprint);
            }
        }
        suspects
    }

    /// Returns at most `limit` requests that were running when an upstream crashed and that the local
    /// upstream completed within [`POISON_TIMEOUT`], in ascending order.
    #[must_use]
    pub fn survived(&self, limit: usize, now: Duration) -> Vec<Fingerprint> {
        let mut survived = Vec::new();
        for fingerprint in self.crashes.keys() {
            let time = self.completed.get(fingerprint);
            if time.is_some_and(|time| now < *time + POISON_TIMEOUT) {
                survived.push(*fingerprint);
            }
        }
        survived.sort_unstable();
        survived.truncate(limit);
        survived
    }

    /// Returns whether a request must be refused.
    #[must_use]
    pub fn is_refused(&self, fingerprint: Fingerprint, now: Duration) -> bool {
        let history = self.crashes.get(&fingerprint);
        history.is_some_and(|history| now < history.refused_until)
    }

    /// Returns whether a request was running in a crash within [`POISON_TIMEOUT`] and must not be
    /// retried.
    #[must_use]
    pub fn is_suspect(&self, fingerprint: Fingerprint, now: Duration) -> bool {
        let history = self.crashes.get(&fingerprint);
        history
            .is_some_and(|history| now < history.refused_until.max(history.last + POISON_TIMEOUT))
    }

    /// Returns the number of fingerprints with crashes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.crashes.len()
    }

    /// Returns whether no fingerprint has a crash.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    fn expire(&mut self, now: Duration) {
        self.crashes
            .retain(|_, history| now < history.last + FACT_TIMEOUT);
    }

    fn drop_oldest(&mut self) {
        // Unconfirmed suspects are dropped first, so that a flood of them cannot lift a refusal.
        let oldest = self
            .crashes
            .iter()
            .min_by_key(|(_, history)| (history.is_confirmed(), history.last))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = oldest {
            self.crashes.remove(&fingerprint);
        }
    }
}

impl CrashHistory {
    fn new() -> CrashHistory {
        CrashHistory {
            facts: Vec::new(),
            last: Duration::ZERO,
            refused_until: Duration::ZERO,
        }
    }

    fn is_confirmed(&self) -> bool {
        self.refused_until > Duration::ZERO
    }

    /// Adds a crash. Two crashes that are at least the timeout apart do not confirm a request.
    fn add(&mut self, fact: &CrashFact, now: Duration) {
        let is_second = !self.facts.is_empty() && now < self.last + POISON_TIMEOUT;
        if is_second || self.is_confirmed() {
            self.refused_until = now + POISON_TIMEOUT;
        }
        self.facts.push(fact.clone());
        self.last = now;
        if self.facts.len() >= MAX_CRASHES {
            self.refused_until = now + FACT_TIMEOUT;
        }
    }
}
