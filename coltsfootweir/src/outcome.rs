//! Outcomes of calls, sent in the headers `x-coltsfootweir-outcome` and `x-coltsfootweir-reason`.

use std::fmt;

/// Outcome of one attempt of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The upstream answered.
    Ran,
    /// The attempt was not handed over to an upstream and never will be.
    NotRun(RefusalReason),
    /// The request may have run.
    InDoubt(DoubtReason),
}

/// Reason why an attempt was refused before an upstream received it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RefusalReason {
    /// No route matches the path.
    NoRoute,
    /// No endpoint of the service is reachable.
    NoEndpoint,
    /// The endpoint could not complete the request before its deadline, or its queue is full.
    Overloaded,
    /// The endpoint is leaving.
    Leaving,
    /// The daemon is not serving a configuration yet.
    NotServing,
    /// The deadline passed before the hand-over to the upstream.
    DeadlinePassed,
    /// The request is refused because it appears to crash upstreams.
    Poison,
    /// The booking key could not be claimed because the platform did not answer.
    StoreUnavailable,
    /// The target daemon is unknown to this daemon.
    UnknownTarget,
    /// The upstream was down before the hand-over of the request.
    UpstreamDown,
    /// The booking key is malformed, was never minted, or is missing.
    BadKey,
    /// The booking key was used before for a different request.
    KeyReused,
    /// The timestamp of the booking key is too far in the future, and the key has no claim.
    KeyFromFuture,
    /// The caller disconnected before the hand-over.
    Cancelled,
    /// The request could not be read completely.
    Unreadable,
    /// The version that runs at the endpoint receives no traffic.
    VersionOff,
}

/// Reason why it is unknown whether a request ran.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum DoubtReason {
    /// The upstream crashed while the request ran.
    UpstreamCrashed,
    /// The answer could not be received completely.
    AnswerBroken,
    /// No answer arrived before the deadline.
    Timeout,
    /// The daemon that owns the booking key is gone or unreachable.
    OwnerGone,
    /// The booking ran or may have run, and its answer is no longer stored.
    AnswerDropped,
    /// An earlier attempt with the same key has not ended.
    StillRunning,
    /// The booking key is so old that it is unknown whether an earlier attempt ran. This attempt was
    /// not run.
    KeyExpired,
}

/// All refusal reasons, for parsing and for reports.
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

/// All doubt reasons, for parsing and for reports.
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

    /// Returns the reason's header value, or `None` if the request ran.
    #[must_use]
    pub fn reason_str(&self) -> Option<&'static str> {
        match self {
            CallOutcome::Ran => None,
            CallOutcome::NotRun(reason) => Some(reason.as_str()),
            CallOutcome::InDoubt(reason) => Some(reason.as_str()),
        }
    }

    /// Parses the two header values. Returns `None` if they do not name an outcome.
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

    /// Parses a header value. Returns `None` if it does not name a refusal reason.
    #[must_use]
    pub fn parse(text: &str) -> Option<RefusalReason> {
        REFUSAL_REASONS
            .into_iter()
            .find(|reason| reason.as_str() == text)
    }

    /// Returns whether the attempt was refused only because of the caller's booking key.
    #[must_use]
    pub fn is_caller_error(self) -> bool {
        matches!(self, RefusalReason::BadKey | RefusalReason::KeyFromFuture)
    }

    /// Returns whether another endpoint may accept the refused attempt.
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

    /// Parses a header value. Returns `None` if it does not name a doubt reason.
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
