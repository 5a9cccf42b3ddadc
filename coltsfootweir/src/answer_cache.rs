//! Cache of the first answers of bookings, bounded by count, bytes and age.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::booking_key::BookingKey;

/// Estimated bytes of an answer and its key in addition to headers and body.
const ANSWER_OVERHEAD: usize = 128;

/// Answer of an upstream, stored so that a repeat gets the same answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Header names and values, in the upstream's order.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// Complete body.
    pub body: Arc<[u8]>,
}

/// Limits of the cache.
#[derive(Clone, Copy, Debug)]
pub struct CacheLimits {
    /// Maximum number of answers.
    pub answers: usize,
    /// Maximum total size in bytes, overhead included.
    pub bytes: usize,
    /// Time for which an answer is stored.
    pub age: Duration,
}

impl Default for CacheLimits {
    fn default() -> CacheLimits {
        CacheLimits {
            answers: 20_000,
            bytes: 16 * 1024 * 1024,
            age: Duration::from_secs(15 * 60),
        }
    }
}

/// Answers by booking key. The oldest answer is evicted first.
#[derive(Debug)]
pub struct AnswerCache {
    limits: CacheLimits,
    answers: HashMap<BookingKey, (Duration, StoredAnswer)>,
    order: VecDeque<BookingKey>,
    bytes: usize,
}

impl StoredAnswer {
    /// Returns the size in bytes that the cache counts for the answer.
    #[must_use]
    pub fn cost(&self) -> usize {
        let headers = self.headers.iter();
        let header_bytes: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        ANSWER_OVERHEAD + header_bytes + self.body.len()
    }
}

impl AnswerCache {
    /// Creates an empty cache.
    #[must_use]
    pub fn new(limits: CacheLimits) -> AnswerCache {
        AnswerCache {
            limits,
            answers: HashMap::new(),
            order: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Stores the answer for a key. Has no effect if the key already has an answer.
    pub fn insert(&mut self, key: &BookingKey, answer: StoredAnswer, now: Duration) {
        if self.answers.contains_key(key) {
            return;
        }
        self.bytes += answer.cost();
        self.answers.insert(key.clone(), (now, answer));
        self.order.push_back(key.clone());
        self.evict(now);
    }

    /// Returns the stored answer for a key.
    pub fn get(&mut self, key: &BookingKey, now: Duration) -> Option<&StoredAnswer> {
        self.evict(now);
        self.answers.get(key).map(|(_, answer)| answer)
    }

    /// Returns the number of stored answers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.answers.len()
    }

    /// Returns whether no answer is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.answers.is_empty()
    }

    fn evict(&mut self, now: Duration) {
        while let Some(oldest) = self.order.front() {
            let Some((stored_at, _)) = self.answers.get(oldest) else {
                self.order.pop_front();
                continue;
            };
            let is_over =
                self.answers.len() > self.limits.answers || self.bytes > self.limits.bytes;
            if !is_over && now < *stored_at + self.limits.age {
                break;
            }
            if let Some((_, answer)) = self.answers.remove(oldest) {
                self.bytes -= answer.cost();
            }
            self.order.pop_front();
        }
    }
}
