//! Decides whether an endpoint is cold, and when a cold one may receive the next request.
//!
//! A token bucket limits the requests to a cold endpoint. It is empty when the endpoint becomes cold,
//! as the requests that were sent before still arrive.

use std::time::Duration;

use crate::sidecar::settings::WarmupBounds;

/// Number of announcements after a start or an outage from which on one may state that the endpoint
/// is warm. The first one may have been sent before the outage.
const PROVING_ANNOUNCEMENTS: u8 = 2;

/// Share of the slack that is used as the burst of the bucket. The rest allows for requests that are
/// delayed between their admission and their arrival.
const BURST_SHARE: f64 = 0.5;

/// Lowest rate of a bucket, in requests per second, so that waits stay finite.
const MIN_RATE: f64 = 0.1;

/// Rounding error of the number of tokens.
const TOKEN_ROUNDING: f64 = 1e-6;

/// Rate and burst of requests to a cold endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupTerms {
    rate: f64,
    burst: f64,
}

impl WarmupTerms {
    /// Derives the terms from the rate that a cold endpoint tolerates and the bounds on it. `None` if
    /// endpoints are not limited.
    #[must_use]
    pub fn new(per_s: f64, bounds: WarmupBounds) -> Option<WarmupTerms> {
        if per_s <= 0.0 || bounds.overage <= 0.0 {
            return None;
        }
        let burst = (bounds.slack * BURST_SHARE).max(1.0);
        let most = per_s * bounds.overage + bounds.slack - burst;
        Some(WarmupTerms {
            rate: per_s.min(most).max(MIN_RATE),
            burst,
        })
    }

    /// Returns the number of requests of this run time that the rate keeps running at once.
    #[must_use]
    pub fn busy_slots(&self, run: Duration) -> u16 {
        (self.rate * run.as_secs_f64()).ceil().max(1.0) as u16
    }
}

/// State of one endpoint and the bucket that limits the requests to it.
#[derive(Clone, Debug)]
pub struct WarmupPacer {
    terms: Option<WarmupTerms>,
    tokens: f64,
    counted_at: Duration,
    /// Number of announcements that do not prove yet that the endpoint is warm.
    unproven: u8,
    cold_until: Duration,
}

impl Default for WarmupPacer {
    fn default() -> WarmupPacer {
        WarmupPacer {
            terms: None,
            tokens: 0.0,
            counted_at: Duration::ZERO,
            unproven: PROVING_ANNOUNCEMENTS,
            cold_until: Duration::ZERO,
        }
    }
}

impl WarmupPacer {
    /// Sets the limits of a cold endpoint; `None` for none.
    pub fn set_terms(&mut self, terms: Option<WarmupTerms>, now: Duration) {
        self.count(now);
        self.terms = terms;
    }

    /// Returns the limits of a cold endpoint, if it has any.
    #[must_use]
    pub fn terms(&self) -> Option<WarmupTerms> {
        self.terms
    }

    /// Has the endpoint count as cold until its announcements state otherwise.
    pub fn assume_cold(&mut self, now: Duration) {
        self.begin_cold(now);
        self.unproven = PROVING_ANNOUNCEMENTS;
    }

    /// Takes in the remaining cold time in an announcement that is newer than all before.
    pub fn on_announcement(&mut self, left: Duration, now: Duration) {
        if !left.is_zero() {
            self.begin_cold(now);
        }
        let is_proof = self.unproven <= 1;
        self.unproven = self.unproven.saturating_sub(1);
        let until = now.saturating_add(left);
        self.cold_until = match is_proof {
            true => until,
            false => self.cold_until.max(until),
        };
    }

    /// Returns whether the endpoint is cold.
    #[must_use]
    pub fn is_cold(&self, now: Duration) -> bool {
        self.unproven > 0 || now < self.cold_until
    }

    /// Returns whether requests to the endpoint are limited now.
    #[must_use]
    pub fn is_pacing(&self, now: Duration) -> bool {
        self.terms.is_some() && self.is_cold(now)
    }

    /// Returns whether a request may be sent now.
    #[must_use]
    pub fn has_token(&self, now: Duration) -> bool {
        self.token_wait(0, now).is_zero()
    }

    /// Takes the token for a request that is sent now.
    pub fn take(&mut self, now: Duration) {
        if self.is_pacing(now) {
            self.count(now);
            self.tokens -= 1.0;
        }
    }

    /// Returns the time until a request with `ahead` others before it may be sent.
    #[must_use]
    pub fn token_wait(&self, ahead: usize, now: Duration) -> Duration {
        let Some(terms) = self.terms.filter(|_| self.is_cold(now)) else {
            return Duration::ZERO;
        };
        let missing = (ahead + 1) as f64 - self.tokens_at(terms, now);
        if missing <= TOKEN_ROUNDING {
            return Duration::ZERO;
        }
        let wait = Duration::from_secs_f64(missing / terms.rate);
        match self.unproven {
            0 => wait.min(self.cold_until.saturating_sub(now)),
            _ => wait,
        }
    }

    /// Returns the time between two tokens; zero if there is no limit.
    #[must_use]
    pub fn token_interval(&self) -> Duration {
        let interval = |terms: WarmupTerms| Duration::from_secs_f64(1.0 / terms.rate);
        self.terms.map_or(Duration::ZERO, interval)
    }

    fn begin_cold(&mut self, now: Duration) {
        if !self.is_cold(now) {
            self.tokens = 0.0;
            self.counted_at = now;
        }
    }

    fn count(&mut self, now: Duration) {
        if let Some(terms) = self.terms {
            self.tokens = self.tokens_at(terms, now);
        }
        self.counted_at = now;
    }

    fn tokens_at(&self, terms: WarmupTerms, now: Duration) -> f64 {
        let time = now.saturating_sub(self.counted_at).as_secs_f64();
        (self.tokens + time * terms.rate).min(terms.burst)
    }
}
