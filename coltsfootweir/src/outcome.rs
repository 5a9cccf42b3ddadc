//! What a call came to, as answers say it in `x-coltsfootweir-outcome` and `x-coltsfootweir-reason`.

use std::fmt;

/// What became of one attempt of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The upstream answered.
    Ran,
    /// The upstream was never handed this attempt and never will be.
    NotRun(RefusalReason),
    /// The request may have run.
    InDoubt(DoubtReason),
}

/// Why an attempt was refused before an upstream had it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RefusalReason {
    /// No route matches the path.
    NoRoute,
    /// No endpoint of the service can be reached.
    NoEndpoint,
    /// The endpoint could not finish the request before its deadline, or its queue is full.
    Overloaded,
    /// The endpoint is leaving.
    Leaving,
    /// The daemon does not serve a configuration yet.
    NotServing,
    /// The deadline passed before the hand-over.
    DeadlinePassed,
    /// The request is held to crash upstreams.
    Poison,
    /// The booking key could not be claimed because the platform did not answer.
    StoreUnavailable,
    /// The target daemon is not known here.
    UnknownTarget,
    /// The upstream was down before the hand-over.
    UpstreamDown,
    /// The booking key is malformed, was never minted, or is missing.
    BadKey,
    /// The booking key belongs to a different request.
    KeyReused,
    /// The time in the booking key lies too far ahead, and nobody has claimed the key.
    KeyFromFuture,
    /// The caller gave up before the hand-over.
    Cancelled,
    /// The request could not be read whole.
    Unreadable,
    /// The version at the endpoint gets no traffic.
    VersionOff,
}

/// Why it is not known whether a request ran.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum DoubtReason {
    /// The upstream crashed while the request ran.
    UpstreamCrashed,
    /// The answer broke off.
    AnswerBroken,
    /// No answer came before the deadline.
    Timeout,
    /// The daemon that owns the booking key is gone or cannot be reached.
    OwnerGone,
    /// The booking ran or may have run, and its answer is no longer kept.
    AnswerDropped,
    /// An earlier attempt with the same key has not ended.
    StillRunning,
    /// The time in the booking key lies so far back that it is no longer known whether an earlier
    /// attempt ran. This attempt was not run.
    KeyExpired,
}

/// Every refusal reason, for parsing and for reports.
pub const REFUSAL_REASONS: [RefusalReason; 16] = [
    RefusalReason::NoRoute,
    RefusalReason::NoEndpoint,
    RefusalReason::Overloaded,
    RefusalReason::Leaving,
    RefusalReason::NotServing,
    RefusalReason::DeadlinePassed,
    RefusalReason::Poison,
    RefusalReason::StoreUnavailable,
    RefusalReason::UnknownTarget,
    RefusalReason::UpstreamDown,
    RefusalReason::BadKey,
    RefusalReason::KeyReused,
    RefusalReason::KeyFromFuture,
    RefusalReason::Cancelled,
    RefusalReason::Unreadable,
    RefusalReason::VersionOff,
];

/// Every doubt reason, for parsing and for reports.
pub const DOUBT_REASONS: [DoubtReason; 7] = [
    DoubtReason::UpstreamCrashed,
    DoubtReason::AnswerBroken,
    DoubtReason::Timeout,
    DoubtReason::OwnerGone,
    DoubtReason::AnswerDropped,
    DoubtReason::StillRunning,
    DoubtReason::KeyExpired,
];

impl CallOutcome {
    /// Returns the outcome's header value: `ran`, `not-run` or `in-doubt`.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            CallOutcome::Ran => "ran",
            CallOutcome::NotRun(_) => "not-run",
            CallOutcome::InDoubt(_) => "in-doubt",
        }
    }

    /// Returns the reason's header value; `None` when the request ran.
    #[must_use]
    pub fn reason_str(&self) -> Option<&'static str> {
        match self {
            CallOutcome::Ran => None,
            CallOutcome::NotRun(reason) => Some(reason.as_str()),
            CallOutcome::InDoubt(reason) => Some(reason.as_str()),
        }
    }

    /// Reads the two header values; `None` when they do not name an outcome.
    #[must_use]
    pub fn parse(outcome: &str, reason: Option<&str>) -> Option<CallOutcome> {
        match outcome {
            "ran" => Some(CallOutcome::Ran),
            "not-run" => RefusalReason::parse(reason?).map(CallOutcome::NotRun),
            "in-doubt" => DoubtReason::parse(reason?).map(CallOutcome::InDoubt),
            _ => None,
        }
    }
}

impl RefusalReason {
    /// Returns the reason's header value.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalReason::NoRoute => "no-route",
            RefusalReason::NoEndpoint => "no-endpoint",
            RefusalReason::Overloaded => "overloaded",
            RefusalReason::Leaving => "leaving",
            RefusalReason::NotServing => "not-serving",
            RefusalReason::DeadlinePassed => "deadline-passed",
            RefusalReason::Poison => "poison",
            RefusalReason::StoreUnavailable => "store-unavailable",
            RefusalReason::UnknownTarget => "unknown-target",
            RefusalReason::UpstreamDown => "upstream-down",
            RefusalReason::BadKey => "bad-key",
            RefusalReason::KeyReused => "key-reused",
            RefusalReason::KeyFromFuture => "key-from-future",
            RefusalReason::Cancelled => "cancelled",
            RefusalReason::Unreadable => "unreadable",
            RefusalReason::VersionOff => "version-off",
        }
    }

    /// Reads a header value; `None` when it names no refusal reason.
    #[must_use]
    pub fn parse(text: &str) -> Option<RefusalReason> {
        REFUSAL_REASONS
            .into_iter()
            .find(|reason| reason.as_str() == text)
    }

    /// Returns whether the caller's key alone is why the attempt was refused.
    #[must_use]
    pub fn is_caller_error(self) -> bool {
        matches!(self, RefusalReason::BadKey | RefusalReason::KeyFromFuture)
    }

    /// Returns whether another endpoint may take what this one refused.
    #[must_use]
    pub fn can_try_other_endpoint(self) -> bool {
        matches!(
            self,
            RefusalReason::Overloaded
                | RefusalReason::Leaving
                | RefusalReason::NotServing
                | RefusalReason::UnknownTarget
                | RefusalReason::UpstreamDown
                | RefusalReason::VersionOff
        )
    }
}

impl DoubtReason {
    /// Returns the reason's header value.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            DoubtReason::UpstreamCrashed => "upstream-crashed",
            DoubtReason::AnswerBroken => "answer-broken",
            DoubtReason::Timeout => "timeout",
            DoubtReason::OwnerGone => "owner-gone",
            DoubtReason::AnswerDropped => "answer-dropped",
            DoubtReason::StillRunning => "still-running",
            DoubtReason::KeyExpired => "key-expired",
        }
    }

    /// Reads a header value; `None` when it names no doubt reason.
    #[must_use]
    pub fn parse(text: &str) -> Option<DoubtReason> {
        DOUBT_REASONS
            .into_iter()
            .find(|reason| reason.as_str() == text)
    }
}

impl fmt::Display for CallOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.reason_str() {
            None => f.write_str(self.as_str()),
            Some(reason) => write!(f, "{} ({reason})", self.as_str()),
        }
    }
}
