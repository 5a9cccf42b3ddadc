//! Requests that crash upstreams.
//!
//! A fingerprint that was running in two distinct crashes is refused for [`POISON_TIMEOUT`]; after
//! one crash it is a suspect, which is never retried. Once convicted, a single further crash has it
//! refused again. "Crashes each upstream that runs it" also tells innocents: a request that ran to
//! its end within [`POISON_TIMEOUT`] is not marked by a crash of the same upstream, so a common
//! check is not refused for running next to a poison request.
//!
//! Bound: a poison request brings down two upstreams, and one more for each copy that is handed over
//! by a daemon which does not hold two of its crash facts yet. With facts that reach every daemon
//! within `G` and copies handed over at most every `R`, that is at most `2 + G / R` within any
//! [`POISON_TIMEOUT`].
//!
//! A fact may be delivered any number of times within [`FACT_TIMEOUT`] and counts once; gossip must
//! drop it before.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::fact::CrashFact;
use crate::ids::Fingerprint;

/// Time for which a poison request is refused and a suspect remembered.
pub const POISON_TIMEOUT: Duration = Duration::from_secs(60);

/// Fingerprints remembered for having crashed, and as many for having run to an end.
pub const MAX_FINGERPRINTS: usize = 4096;

/// Time for which a crash fact is remembered after the last crash of its fingerprint.
pub const FACT_TIMEOUT: Duration = Duration::from_secs(600);

/// Crashes remembered of one fingerprint; with so many it is refused until it is forgotten.
pub const MAX_CRASHES: usize = 16;

#[derive(Debug)]
struct CrashMarks {
    facts: Vec<CrashFact>,
    last: Duration,
    refused_until: Duration,
}

/// What a daemon knows of requests that ran when upstreams crashed.
#[derive(Debug, Default)]
pub struct PoisonTable {
    marks: HashMap<Fingerprint, CrashMarks>,
    completed: HashMap<Fingerprint, Duration>,
    order: VecDeque<(Duration, Fingerprint)>,
}

impl PoisonTable {
    /// Makes an empty table.
    #[must_use]
    pub fn new() -> PoisonTable {
        PoisonTable::default()
    }

    /// Takes a crash fact, own or from gossip; returns whether it was news.
    pub fn on_crash(&mut self, fact: &CrashFact, now: Duration) -> bool {
        self.expire(now);
        if !self.marks.contains_key(&fact.fingerprint) && self.marks.len() >= MAX_FINGERPRINTS {
            self.drop_oldest();
        }
        let marks = self
            .marks
            .entry(fact.fingerprint)
            .or_insert_with(CrashMarks::new);
        if marks.facts.contains(fact) || marks.facts.len() >= MAX_CRASHES {
            return false;
        }
        marks.add(fact, now);
        true
    }

    /// Notes that the own upstream ran a request to its end.
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

    /// Returns the requests of `running` that may have crashed the own upstream: those that have
    /// not run to an end there within [`POISON_TIMEOUT`].
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

    /// Returns requests under which an upstream crashed and that the own upstream ran to an end within
    /// [`POISON_TIMEOUT`], in order and `limit` at most.
    #[must_use]
    pub fn survived(&self, limit: usize, now: Duration) -> Vec<Fingerprint> {
        let mut survived = Vec::new();
        for fingerprint in self.marks.keys() {
            let time = self.completed.get(fingerprint);
            if time.is_some_and(|time| now < *time + POISON_TIMEOUT) {
                survived.push(*fingerprint);
            }
        }
        survived.sort_unstable();
        survived.truncate(limit);
        survived
    }

    /// Returns whether a request is to be refused.
    #[must_use]
    pub fn is_refused(&self, fingerprint: Fingerprint, now: Duration) -> bool {
        let marks = self.marks.get(&fingerprint);
        marks.is_some_and(|marks| now < marks.refused_until)
    }

    /// Returns whether a request was running in a crash within [`POISON_TIMEOUT`] and must not be
    /// retried.
    #[must_use]
    pub fn is_suspect(&self, fingerprint: Fingerprint, now: Duration) -> bool {
        let marks = self.marks.get(&fingerprint);
        marks.is_some_and(|marks| now < marks.refused_until.max(marks.last + POISON_TIMEOUT))
    }

    /// Returns the fingerprints remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.marks.len()
    }

    /// Returns whether no fingerprint is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }

    fn expire(&mut self, now: Duration) {
        self.marks
            .retain(|_, marks| now < marks.last + FACT_TIMEOUT);
    }

    fn drop_oldest(&mut self) {
        // Requests with a single mark go first, so that a flood of them cannot lift a refusal.
        let oldest = self
            .marks
            .iter()
            .min_by_key(|(_, marks)| (marks.is_convicted(), marks.last))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = oldest {
            self.marks.remove(&fingerprint);
        }
    }
}

impl CrashMarks {
    fn new() -> CrashMarks {
        CrashMarks {
            facts: Vec::new(),
            last: Duration::ZERO,
            refused_until: Duration::ZERO,
        }
    }

    fn is_convicted(&self) -> bool {
        self.refused_until > Duration::ZERO
    }

    /// Two crashes further apart than the timeout are no evidence against a request.
    fn add(&mut self, fact: &CrashFact, now: Duration) {
        let is_second = !self.facts.is_empty() && now < self.last + POISON_TIMEOUT;
        if is_second || self.is_convicted() {
            self.refused_until = now + POISON_TIMEOUT;
        }
        self.facts.push(fact.clone());
        self.last = now;
        if self.facts.len() >= MAX_CRASHES {
            self.refused_until = now + FACT_TIMEOUT;
        }
    }
}
