//! An attempt that is followed by a second one at another endpoint while its answer is overdue.

use std::time::Duration;

use crate::sidecar::call_attempts::AttemptEnd;
use crate::sidecar::call_attempts::CallAttempts;
use crate::sidecar::call_attempts::attempt_record::is_failure;
use crate::sidecar::call_attempts::endpoint_choice::ChosenEndpoint;
use crate::sidecar::call_attempts::endpoint_choice::EndpointNeed;
use crate::sidecar::frame::CallResult;
use crate::sidecar::frame::ForwardedCall;
use crate::sidecar::hedging::hedge_policy::HedgeCase;
use crate::sidecar::hedging::hedge_policy::HedgeRefusal;
use crate::sidecar::rate_limits::take_held_token;
use crate::sidecar::rollout::is_faulty_straggler;

impl CallAttempts<'_> {
    /// Sends the request to an endpoint, and to a second one when the response is overdue: it may be
    /// lost, or the endpoint may be much slower than others.
    pub(super) async fn attempt_with_hedge(
        &self,
        call: &ForwardedCall,
        chosen: ChosenEndpoint,
    ) -> AttemptEnd {
        let Some(hedge_delay) = self.hedge_delay() else {
            return self.attempt(call, chosen).await;
        };
        let slow = chosen.clone();
        let start = self.state.now();
        let first = self.attempt(call, chosen);
        tokio::pin!(first);
        if let Ok(end) = tokio::time::timeout(hedge_delay, &mut first).await {
            return end;
        }
        let chosen = match self.take_hedge() {
            Ok(chosen) => chosen,
            Err(refusal) => {
                self.state.metrics.count_hedge_refused(refusal.name());
                return first.await;
            }
        };
        self.state.metrics.count_repeat("overdue");
        self.state.metrics.count_hedge("sent");
        let second = self.attempt(call, chosen);
        tokio::pin!(second);
        let (end, is_second) = tokio::select! {
            end = &mut first => (end, false),
            end = &mut second => (end, true),
        };
        if !is_good(&end) {
            let other = match is_second {
                true => first.await,
                false => second.await,
            };
            if !is_second && is_good(&other) {
                self.state.metrics.count_hedge("won");
            }
            // `NotRun` states that the request did not run, so it must hold for both attempts.
            return match other.result {
                CallResult::NotRun(_) => end,
                _ => other,
            };
        }
        // Returning drops the other attempt, which cancels it.
        if is_second {
            self.state.metrics.count_hedge("won");
            self.count_straggler(&slow, start);
        }
        end
    }

    /// Counts the request for the operator's limit.
    pub(super) fn count_request(&self) {
        let mut hedging = self.state.routing.hedging.borrow_mut();
        hedging.on_request(&self.service);
    }

    /// Counts an attempt that is cancelled because the hedged one was answered first.
    fn count_straggler(&self, slow: &ChosenEndpoint, start: Duration) {
        let now = self.state.now();
        self.reached.set(self.reached.get() + 1);
        let time = now - start;
        let is_failed = is_faulty_straggler(time, self.expected_run());
        self.count_version(&slow.version, is_failed, time);
        let mut chooser = self.state.routing.chooser.borrow_mut();
        chooser.on_abandoned_attempt(&slow.member, now);
        let mut hedging = self.state.routing.hedging.borrow_mut();
        hedging.on_answer(self.route_hash, now - start);
    }

    /// Returns the delay before the request is sent to a second endpoint; `None` when it must not run
    /// twice or there is no time for it.
    fn hedge_delay(&self) -> Option<Duration> {
        let case = HedgeCase {
            route_hash: self.route_hash,
            may_repeat: self.may_repeat(),
            has_large_answer: self.has_large_answer(),
            expected_run: self.expected_run(),
            time_left: self.deadline.saturating_sub(self.state.now()),
        };
        self.state.routing.hedging.borrow().delay(&case).ok()
    }

    /// Chooses the endpoint of a hedged attempt, and takes it from the operator's limit and the retry
    /// budget.
    fn take_hedge(&self) -> Result<ChosenEndpoint, HedgeRefusal> {
        let now = self.state.now();
        if !self.may_repeat() {
            let has_budget = self.with_budget(|budget| budget.has_retry());
            return Err(match has_budget {
                true => HedgeRefusal::NotRepeatable,
                false => HedgeRefusal::Budget,
            });
        }
        let hedging = &self.state.routing.hedging;
        let need = match hedging.borrow().is_limited() {
            true => EndpointNeed::FreeSlot,
            false => EndpointNeed::Any,
        };
        self.with_budget(|budget| hedging.borrow().check(&self.service, budget, now))?;
        let chosen = self.choose(need).ok_or(HedgeRefusal::NoFreeSlot)?;
        if !take_held_token(self.state, self.caller.team) {
            return Err(HedgeRefusal::TeamLimit);
        }
        self.tokens.set(self.tokens.get() + 1);
        self.with_budget(|budget| hedging.borrow_mut().take(&self.service, budget, now))?;
        Ok(chosen)
    }
}

/// Returns whether an attempt ended with an answer that is not a failure.
fn is_good(end: &AttemptEnd) -> bool {
    matches!(end.result, CallResult::Answer { .. }) && !is_failure(&end.result)
}
