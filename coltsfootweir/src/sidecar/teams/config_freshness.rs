//! Proof that the configuration in force was the newest one a short time ago.
//!
//! A store watcher gains a proof with each read of the store. The others ask daemons that have one. A
//! proof is dated at the time at which the read began or the question was sent, so that no delay on
//! the way makes it seem younger than it is. All times are since the boot of the VM.

use std::time::Duration;

use crate::ids::Generation;
use crate::ids::MemberId;

/// Pause between two questions. Together with the interval of the watchers' reads it bounds the age
/// of a proof: two pauses from a watcher through a relay to the other daemons of a zone.
pub const QUESTION_PAUSE: Duration = Duration::from_millis(400);

/// Age up to which an own proof needs no question. The reads of a watcher renew it earlier.
const YOUNG_AGE: Duration = Duration::from_millis(600);

/// A question that was sent to another daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FreshnessQuestion {
    /// The daemon that is asked.
    pub peer: MemberId,
    /// Number that its response repeats.
    pub number: u32,
    /// Time at which the question was sent.
    sent_at: Duration,
}

/// The youngest proof and the question for a younger one.
#[derive(Debug, Default)]
pub struct ConfigFreshness {
    proven_at: Option<Duration>,
    question: Option<FreshnessQuestion>,
    next_number: u32,
    /// Questions without a useful response, so that each further one goes to another daemon.
    misses: usize,
}

impl ConfigFreshness {
    /// Records that no configuration newer than `generation` existed at `at`. Nothing follows from
    /// it as long as the active configuration is an older one.
    pub fn record(&mut self, generation: Generation, at: Duration, active: Generation) {
        if generation == 0 || generation > active {
            return;
        }
        self.proven_at = Some(self.proven_at.map_or(at, |proven_at| proven_at.max(at)));
    }

    /// Returns the age of the proof.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.proven_at
            .map(|proven_at| now.saturating_sub(proven_at))
    }

    /// Returns whether there is a proof that is not older than `limit`.
    #[must_use]
    pub fn is_proven(&self, now: Duration, limit: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= limit)
    }

    /// Returns the question to send at `now`, if one is due. A question that was not answered by then
    /// counts as lost.
    pub fn next_question(
        &mut self,
        sources: &[MemberId],
        now: Duration,
    ) -> Option<FreshnessQuestion> {
        if let Some(question) = self.question.take() {
            if now < question.sent_at + QUESTION_PAUSE {
                self.question = Some(question);
                return None;
            }
            self.misses += 1;
        }
        if self.is_proven(now, YOUNG_AGE) {
            return None;
        }
        let index = self.misses.checked_rem(sources.len())?;
        let question = FreshnessQuestion {
            peer: sources[index].clone(),
            number: self.next_number,
            sent_at: now,
        };
        self.next_number = self.next_number.wrapping_add(1);
        self.question = Some(question.clone());
        Some(question)
    }

    /// Handles a response: no configuration newer than `generation` existed `age` before it was
    /// sent. `age` is `None` if the peer has no proof.
    pub fn on_response(
        &mut self,
        peer: &MemberId,
        number: u32,
        (generation, age): (Generation, Option<Duration>),
        active: Generation,
    ) {
        let is_expected =
            |question: &FreshnessQuestion| question.peer == *peer && question.number == number;
        if !self.question.as_ref().is_some_and(is_expected) {
            return;
        }
        let Some(question) = self.question.take() else {
            return;
        };
        let before = self.proven_at;
        // The response was written after the question was sent.
        if let Some(at) = age.and_then(|age| question.sent_at.checked_sub(age)) {
            self.record(generation, at, active);
        }
        if self.proven_at == before {
            self.misses += 1;
        }
    }
}
