//! Decides whether a request is hedged, and when.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::ServiceName;
use crate::retry::RetryBudget;
use crate::sidecar::frame::EndpointLoad;
use crate::sidecar::hedging::answer_times::AnswerTimes;
use crate::sidecar::hedging::hedge_limit::HedgeLimit;

/// Delay before a hedged attempt without an operator's limit or with too few answers, as a multiple of
/// the expected run time (mean plus mean deviation). About 4 of 100 requests take longer than this
/// without a fault.
const HEDGE_RUN_FACTOR: f64 = 1.7;

/// Share of a route's answers that arrive before the delay. The rest, 5 of 100, is about what the fixed
/// factor hedges, for any shape of the distribution.
const ANSWERED_SHARE: f64 = 0.95;

/// Minimum delay. The round trip between two zones takes up to 2.8 ms, and an endpoint in another zone
/// than the usual ones is not overdue because of it.
const MIN_DELAY: Duration = Duration::from_millis(5);

/// Time after a refusal for lack of capacity in which requests of the service are not hedged. Callers
/// come back within about this time and need the free slots.
const SHORTAGE_TIME: Duration = Duration::from_secs(1);

/// A request whose answer may become overdue.
#[derive(Clone, Copy, Debug)]
pub struct HedgeCase {
    /// Hash of the route's name.
    pub route_hash: u32,
    /// Whether the request may run at another endpoint as well, by its route and earlier attempts.
    pub may_repeat: bool,
    /// Whether answers of the route are large. One may be late because it waits for the network
    /// connection of its VM, and a second one would only make others wait.
    pub has_large_answer: bool,
    /// Expected run time; zero before the first run.
    pub expected_run: Duration,
    /// Time left until the deadline.
    pub time_left: Duration,
}

/// Reason why an overdue request is not hedged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HedgeRefusal {
    /// The operator's limit is 0.
    TurnedOff,
    /// The request must not run twice, or every endpoint has had it.
    NotRepeatable,
    /// Answers of the route are large.
    LargeAnswer,
    /// No run time is known, or a second attempt would end after the deadline.
    NoTime,
    /// The service has refused requests for lack of capacity a short time ago.
    Shortage,
    /// No other endpoint has a free slot.
    NoFreeSlot,
    /// The operator's limit is used up.
    Limit,
    /// The retry budget is used up.
    Budget,
    /// The team of the request has no token left.
    TeamLimit,
}

struct ServiceHedges {
    limit: HedgeLimit,
    refused_at: Option<Duration>,
}

/// Decides whether a request is hedged, and when. Without an operator's limit only the retry budget
/// counts, and the delay is a multiple of the expected run time.
#[derive(Default)]
pub struct HedgePolicy {
    percent: Option<u8>,
    services: HashMap<ServiceName, ServiceHedges>,
    answer_times: AnswerTimes,
}

impl HedgeRefusal {
    /// Returns the name in metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            HedgeRefusal::TurnedOff => "turned_off",
            HedgeRefusal::NotRepeatable => "not_repeatable",
            HedgeRefusal::LargeAnswer => "large_answer",
            HedgeRefusal::NoTime => "no_time",
            HedgeRefusal::Shortage => "shortage",
            HedgeRefusal::TeamLimit => "team_limit",
            HedgeRefusal::NoFreeSlot => "no_free_slot",
            HedgeRefusal::Limit => "limit",
            HedgeRefusal::Budget => "budget",
        }
    }
}

impl HedgePolicy {
    /// Creates the policy of a daemon. `percent` is the operator's limit.
    #[must_use]
    pub fn new(percent: Option<u8>) -> HedgePolicy {
        HedgePolicy {
            percent,
            ..HedgePolicy::default()
        }
    }

    /// Returns whether the operator has set a limit above 0.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.percent.is_some_and(|percent| percent > 0)
    }

    /// Counts a request for a service, which adds to what may be hedged.
    pub fn on_request(&mut self, service: &ServiceName) {
        if let Some(hedges) = self.hedges_mut(service) {
            hedges.limit.on_request();
        }
    }

    /// Records that a request for a service was refused for lack of capacity.
    pub fn on_refusal(&mut self, service: &ServiceName, now: Duration) {
        if let Some(hedges) = self.hedges_mut(service) {
            hedges.refused_at = Some(now);
        }
    }

    /// Records the time after which an attempt was answered, or was abandoned without an answer because
    /// the hedged one was answered first.
    pub fn on_answer(&mut self, route_hash: u32, time: Duration) {
        if self.is_limited() {
            self.answer_times.record(route_hash, time);
        }
    }

    /// Returns the time after which the answer to a request is overdue.
    ///
    /// # Errors
    /// [`HedgeRefusal`] if the request is not hedged, however late its answer is.
    pub fn delay(&self, case: &HedgeCase) -> Result<Duration, HedgeRefusal> {
        if self.percent == Some(0) {
            return Err(HedgeRefusal::TurnedOff);
        }
        if case.has_large_answer {
            return Err(HedgeRefusal::LargeAnswer);
        }
        if !case.may_repeat {
            return Err(HedgeRefusal::NotRepeatable);
        }
        let by_run = case.expected_run.mul_f64(HEDGE_RUN_FACTOR);
        let measured = self.answer_times.quantile(case.route_hash, ANSWERED_SHARE);
        let delay = measured.map_or(by_run, |delay| delay.max(MIN_DELAY));
        if case.expected_run.is_zero() || delay + case.expected_run >= case.time_left {
            return Err(HedgeRefusal::NoTime);
        }
        Ok(delay)
    }

    /// Returns whether an overdue request of a service may be hedged now, apart from a free slot.
    ///
    /// # Errors
    /// [`HedgeRefusal`] if it may not.
    pub fn check(
        &self,
        service: &ServiceName,
        budget: &RetryBudget,
        now: Duration,
    ) -> Result<(), HedgeRefusal> {
        if self.percent == Some(0) {
            return Err(HedgeRefusal::TurnedOff);
        }
        if self.is_limited() {
            let hedges = self.services.get(service);
            let refused_at = hedges.and_then(|hedges| hedges.refused_at);
            if refused_at.is_some_and(|at| now < at + SHORTAGE_TIME) {
                return Err(HedgeRefusal::Shortage);
            }
            if !hedges.is_some_and(|hedges| hedges.limit.has_hedge()) {
                return Err(HedgeRefusal::Limit);
            }
        }
        match budget.has_retry() {
            true => Ok(()),
            false => Err(HedgeRefusal::Budget),
        }
    }

    /// Takes a hedged attempt of a service from the operator's limit and from the retry budget.
    ///
    /// # Errors
    /// [`HedgeRefusal`] if it may not be made; nothing is taken then.
    pub fn take(
        &mut self,
        service: &ServiceName,
        budget: &mut RetryBudget,
        now: Duration,
    ) -> Result<(), HedgeRefusal> {
        self.check(service, budget, now)?;
        if let Some(hedges) = self.hedges_mut(service)
            && !hedges.limit.take()
        {
            return Err(HedgeRefusal::Limit);
        }
        match budget.take() {
            true => Ok(()),
            false => Err(HedgeRefusal::Budget),
        }
    }

    fn hedges_mut(&mut self, service: &ServiceName) -> Option<&mut ServiceHedges> {
        let percent = self.percent.filter(|percent| *percent > 0)?;
        if !self.services.contains_key(service) {
            let hedges = ServiceHedges {
                limit: HedgeLimit::new(percent),
                refused_at: None,
            };
            self.services.insert(service.clone(), hedges);
        }
        self.services.get_mut(service)
    }
}

/// Returns whether an endpoint has a free slot by its last report. `load` is the estimated number of
/// requests there, with those sent since the report. An endpoint that was never heard of has none.
#[must_use]
pub fn has_free_slot(report: Option<&EndpointLoad>, load: u32) -> bool {
    report.is_some_and(|report| {
        let is_free = report.running < report.slots && report.waiting.is_empty();
        is_free && load < u32::from(report.slots)
    })
}
