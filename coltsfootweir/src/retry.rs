//! Which attempts may be repeated, and how many.

use std::time::Duration;

use crate::outcome::CallOutcome;
use crate::outcome::DoubtReason;
use crate::record::RouteClass;

/// Retries a route may make at once after a quiet time.
pub const RETRY_BURST: u32 = 3;

/// Attempts of one call, the first included.
pub const MAX_ATTEMPTS: u32 = 3;

/// Time that must be left for another attempt.
pub const MIN_RETRY_TIME: Duration = Duration::from_millis(5);

/// Tokens that one retry costs; a call earns the route's percentage of it.
const RETRY_COST: u32 = 100;

/// Token bucket of a route's retries: a share of its calls, with a small burst.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u32,
    burst: u32,
    tokens: u32,
}

impl RetryBudget {
    /// Makes a full bucket that allows retries for `percent` of the calls and `burst` at once.
    #[must_use]
    pub fn new(percent: u8, burst: u32) -> RetryBudget {
        RetryBudget {
            percent: u32::from(percent),
            burst,
            tokens: burst.saturating_mul(RETRY_COST),
        }
    }

    /// Changes the share of calls, as a new configuration says.
    pub fn set_percent(&mut self, percent: u8) {
        self.percent = u32::from(percent);
    }

    /// Counts a call; retries of it are not counted.
    pub fn on_call(&mut self) {
        let limit = self.burst.saturating_mul(RETRY_COST).max(RETRY_COST);
        self.tokens = self.tokens.saturating_add(self.percent).min(limit);
    }

    /// Returns whether one retry is left.
    #[must_use]
    pub fn has_one(&self) -> bool {
        self.tokens >= RETRY_COST
    }

    /// Takes one retry; returns whether there was one.
    pub fn take(&mut self) -> bool {
        let Some(left) = self.tokens.checked_sub(RETRY_COST) else {
            return false;
        };
        self.tokens = left;
        true
    }
}

/// A failed attempt as the retry rule sees it.
#[derive(Clone, Copy, Debug)]
pub struct RetryCase {
    /// What the attempt came to.
    pub outcome: CallOutcome,
    /// Class of the route.
    pub class: RouteClass,
    /// Attempts made so far, at least 1.
    pub attempt: u32,
    /// Calls above this one in its chain.
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
    /// Give the caller the outcome.
    Stop(StopReason),
}

/// Why a call is not tried again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopReason {
    /// The request ran.
    Ran,
    /// The call is not the top of its chain.
    Nested,
    /// Another endpoint would refuse for the same reason.
    NotCurable,
    /// The request may have run and is not idempotent.
    NotRepeatable,
    /// The request may crash upstreams.
    Suspect,
    /// All attempts are made.
    Attempts,
    /// Too little time is left.
    Deadline,
    /// The route's budget is spent.
    Budget,
}

/// The retry rule.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryRule;

impl RetryRule {
    /// Decides on another attempt and takes it from the budget when there is to be one.
    #[must_use]
    pub fn decide(self, case: &RetryCase, budget: &mut RetryBudget) -> RetryDecision {
        if let Some(reason) = obstacle(case) {
            return RetryDecision::Stop(reason);
        }
        if !budget.take() {
            return RetryDecision::Stop(StopReason::Budget);
        }
        RetryDecision::Retry
    }
}

fn obstacle(case: &RetryCase) -> Option<StopReason> {
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
