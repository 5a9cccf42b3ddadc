//! Retry rule and retry budget.

use std::time::Duration;

use crate::outcome::CallOutcome;
use crate::outcome::DoubtReason;
use crate::record::RouteClass;

/// Retries that a route with a full budget may make at once.
pub const RETRY_BURST: u32 = 3;

/// Maximum number of attempts per call, including the first.
pub const MAX_ATTEMPTS: u32 = 3;

/// Least time until the deadline for another attempt.
pub const MIN_RETRY_TIME: Duration = Duration::from_millis(5);

/// Tokens per retry; each call adds as many tokens as the route's retry percentage.
const RETRY_COST: u32 = 100;

/// Token bucket that limits the retries of a route to a share of its calls, with a small burst.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u32,
    burst: u32,
    tokens: u32,
}

impl RetryBudget {
    /// Creates a full bucket that allows retries for `percent` of the calls and `burst` at once.
    #[must_use]
    pub fn new(percent: u8, burst: u32) -> RetryBudget {
        RetryBudget {
            percent: u32::from(percent),
            burst,
            tokens: burst.saturating_mul(RETRY_COST),
        }
    }

    /// Changes the share of calls that may be retried.
    pub fn set_percent(&mut self, percent: u8) {
        self.percent = u32::from(percent);
    }

    /// Changes the share of calls that may be retried and the retries that may be made at once. Tokens beyond
    /// those are dropped.
    pub fn set_terms(&mut self, percent: u8, burst: u32) {
        self.percent = u32::from(percent);
        self.burst = burst;
        self.tokens = self.tokens.min(burst.saturating_mul(RETRY_COST));
    }

    /// Adds the tokens for a call; its retries add none.
    pub fn on_call(&mut self) {
        let limit = self.burst.saturating_mul(RETRY_COST).max(RETRY_COST);
        self.tokens = self.tokens.saturating_add(self.percent).min(limit);
    }

    /// Returns whether there are enough tokens for a retry.
    #[must_use]
    pub fn has_retry(&self) -> bool {
        self.tokens >= RETRY_COST
    }

    /// Takes the tokens of one retry; returns `false` if there are too few.
    pub fn take(&mut self) -> bool {
        let Some(left) = self.tokens.checked_sub(RETRY_COST) else {
            return false;
        };
        self.tokens = left;
        true
    }
}

/// Input to the retry rule after an attempt.
#[derive(Clone, Copy, Debug)]
pub struct RetryCase {
    /// Outcome of the attempt.
    pub outcome: CallOutcome,
    /// Class of the route.
    pub class: RouteClass,
    /// Attempts made so far, at least 1.
    pub attempt: u32,
    /// Number of calls above this one in its call chain.
    pub hops: u32,
    /// Time left until the caller's deadline.
    pub remaining: Duration,
    /// Whether the request was running when an upstream crashed.
    pub is_suspect: bool,
}

/// Whether to make another attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Send the request to another endpoint.
    Retry,
    /// Return the outcome to the caller.
    Stop(StopReason),
}

/// Why a call is not retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopReason {
    /// The request ran.
    Ran,
    /// The call is not at the top of its call chain; only the top retries.
    Nested,
    /// Another endpoint would refuse for the same reason.
    NotCurable,
    /// The request may have run and is not idempotent.
    NotRepeatable,
    /// The request is suspected of crashing upstreams.
    Suspect,
    /// The call has had [`MAX_ATTEMPTS`] attempts.
    Attempts,
    /// Less than [`MIN_RETRY_TIME`] is left.
    Deadline,
    /// The route's retry budget is exhausted.
    Budget,
}

/// Decides whether a call is retried.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryRule;

impl RetryRule {
    /// Decides on another attempt, and takes its tokens from the budget.
    #[must_use]
    pub fn decide(self, case: &RetryCase, budget: &mut RetryBudget) -> RetryDecision {
        if let Some(reason) = stop_reason(case) {
            return RetryDecision::Stop(reason);
        }
        if !budget.take() {
            return RetryDecision::Stop(StopReason::Budget);
        }
        RetryDecision::Retry
    }
}

fn stop_reason(case: &RetryCase) -> Option<StopReason> {
    match case.outcome {
        CallOutcome::Ran => return Some(StopReason::Ran),
        CallOutcome::NotRun(reason) if !reason.can_try_other_endpoint() => {
            return Some(StopReason::NotCurable);
        }
        CallOutcome::NotRun(_) => {}
        CallOutcome::InDoubt(_) if case.class != RouteClass::Check => {
            return Some(StopReason::NotRepeatable);
        }
        CallOutcome::InDoubt(DoubtReason::UpstreamCrashed) => return Some(StopReason::Suspect),
        CallOutcome::InDoubt(_) => {}
    }
    if case.is_suspect {
        return Some(StopReason::Suspect);
    }
    if case.hops > 0 {
        return Some(StopReason::Nested);
    }
    if case.attempt >= MAX_ATTEMPTS {
        return Some(StopReason::Attempts);
    }
    if case.remaining < MIN_RETRY_TIME {
        return Some(StopReason::Deadline);
    }
    None
}
