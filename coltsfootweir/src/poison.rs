//! Requests that crash upstreams.
//!
//! A fingerprint that was running in two distinct crashes is refused for [`POISON_TIMEOUT`]; after
//! one crash it is a suspect, which is never retried. "Crashes each upstream that runs it" also
//! tells innocents: a request that ran to its end within [`POISON_TIMEOUT`] is not marked by a
//! crash of the same upstream, so a common check is not refused for running next to a poison
//! request.
//!
//! Bound: a poison request brings down at most two upstreams, plus one for each copy that is
//! handed over by a daemon which does not hold two of its crash facts yet. With facts that reach
//! every daemon within `G` and copies handed over at most every `R`, that is `2 + G / R`, and the
//! same again each [`POISON_TIMEOUT`] after the last crash.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::fact::CrashFact;
use crate::ids::Fingerprint;

/// Time for which a poison request is refused and a suspect remembered.
pub const POISON_TIMEOUT: Duration = Duration::from_secs(60);

/// Distinct crashes after which a request is refused.
pub const POISON_CRASHES: usize = 2;

/// Fingerprints remembered for having crashed, and as many for having run to an end.
pub const MAX_FINGERPRINTS: usize = 4096;

/// Crashes remembered of one fingerprint.
const MAX_CRASHES: usize = 8;

#[derive(Debug)]
struct CrashMarks {
    facts: Vec<CrashFact>,
    last: Duration,
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
        let marks = self.marks.entry(fact.fingerprint).or_insert(CrashMarks {
            facts: Vec::new(),
            last: now,
        });
        if marks.facts.contains(fact) {
            return false;
        }
        if marks.facts.len() >= MAX_CRASHES {
            marks.facts.remove(0);
        }
        marks.facts.push(fact.clone());
        marks.last = now;
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

    /// Returns whether a request is to be refused.
    #[must_use]
    pub fn is_refused(&self, fingerprint: Fingerprint, now: Duration) -> bool {
        self.crashes(fingerprint, now) >= POISON_CRASHES
    }

    /// Returns whether a request was running in at least one crash and must not be retried.
    #[must_use]
    pub fn is_suspect(&self, fingerprint: Fingerprint, now: Duration) -> bool {
        self.crashes(fingerprint, now) > 0
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

    fn crashes(&self, fingerprint: Fingerprint, now: Duration) -> usize {
        match self.marks.get(&fingerprint) {
            Some(marks) if now < marks.last + POISON_TIMEOUT => marks.facts.len(),
            _ => 0,
        }
    }

    fn expire(&mut self, now: Duration) {
        self.marks
            .retain(|_, marks| now < marks.last + POISON_TIMEOUT);
    }

    fn drop_oldest(&mut self) {
        // Requests with a single mark go first, so that a flood of them cannot lift a refusal.
        let oldest = self
            .marks
            .iter()
            .min_by_key(|(_, marks)| (marks.facts.len() >= POISON_CRASHES, marks.last))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = oldest {
            self.marks.remove(&fingerprint);
        }
    }
}
