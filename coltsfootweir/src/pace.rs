//! Selects the next traffic share of a move from the evidence and the time left.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::evidence_pool::PoolView;
use crate::ids::RouteName;
use crate::record::MovePhase;
use crate::record::RouteClass;
use crate::record::TrafficShare;
use crate::verdict::Verdict;

/// Traffic shares of a move in order, in percent. The share of bookings trails that of checks, so that
/// few bookings run on the new version before there is evidence.
pub const PACE_STEPS: [TrafficShare; 8] = [
    share(1, 0),
    share(5, 1),
    share(10, 5),
    share(25, 10),
    share(50, 25),
    share(75, 50),
    share(100, 75),
    share(100, 100),
];

const fn share(checks: u8, bookings: u8) -> TrafficShare {
    TrafficShare { checks, bookings }
}

/// Limits of the pace of a move.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PaceLimits {
    /// Minimum time at a step, in which the change reaches every daemon and a fault can appear.
    pub min_dwell: Duration,
    /// Time at the last step in which late faults can still be detected.
    pub settle: Duration,
    /// Maximum time at a step that has enough evidence.
    pub max_clear_dwell: Duration,
    /// Maximum time at a step while the version is suspect, unless the planned time is longer; at the
    /// last step it is added to the settle time.
    pub max_hold: Duration,
    /// Calls of the new version that count as enough evidence at a step.
    pub step_calls: u64,
    /// Calls of the new version on each route that count as enough evidence at a step.
    pub route_calls: u64,
}

impl Default for PaceLimits {
    fn default() -> PaceLimits {
        PaceLimits {
            min_dwell: Duration::from_secs(6),
            settle: Duration::from_secs(30),
            max_clear_dwell: Duration::from_secs(60),
            max_hold: Duration::from_secs(60),
            step_calls: 50,
            route_calls: 10,
        }
    }
}

impl PaceLimits {
    /// Returns the minimum time allowed for a move in which a good version always reaches the end, if
    /// the store and the daemons respond. It covers every step, the settle time and one change of
    /// the lease holder.
    #[must_use]
    pub fn least_time(&self) -> Duration {
        self.min_dwell * (PACE_STEPS.len() as u32 + 1) + self.settle + Duration::from_secs(20)
    }
}

/// Calls of the new version at one step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StepCalls {
    /// Calls on all routes.
    pub total: u64,
    /// Calls on the route with the fewest calls, among the routes with a share at the step.
    pub min_per_route: u64,
}

impl StepCalls {
    /// Counts the calls since the start of the step; `before` holds the calls of each route at that
    /// time. Routes without a share at the step are left out.
    #[must_use]
    pub fn since(view: &PoolView, before: &BTreeMap<RouteName, u64>, share: TrafficShare) -> Self {
        let mut calls = StepCalls {
            total: 0,
            min_per_route: u64::MAX,
        };
        for route in view.routes() {
            let counts = view.new.routes.get(route).or(view.old.routes.get(route));
            let class = counts.map(|counts| counts.class);
            let percent = match class {
                Some(RouteClass::Booking) => share.bookings,
                _ => share.checks,
            };
            if percent == 0 {
                continue;
            }
            let now = view.new.routes.get(route).map_or(0, |counts| counts.calls);
            let step_calls = now.saturating_sub(before.get(route).copied().unwrap_or(0));
            calls.total += step_calls;
            calls.min_per_route = calls.min_per_route.min(step_calls);
        }
        calls
    }
}

/// State of a move at the time of a pace decision.
#[derive(Clone, Debug)]
pub struct PaceInput<'a> {
    /// Phase in force.
    pub phase: MovePhase,
    /// Share in force.
    pub share: TrafficShare,
    /// Time since this share came into force.
    pub time_at_step: Duration,
    /// Time left until the deadline of the move; zero after the deadline.
    pub time_left: Duration,
    /// Calls of the new version at this step.
    pub calls: StepCalls,
    /// Whether endpoints of the new version send evidence.
    pub has_endpoints: bool,
    /// Verdict on the evidence so far.
    pub verdict: &'a Verdict,
}

/// Next transition of a move.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PaceAdvice {
    /// Stay at the current phase and share.
    Hold,
    /// Change to this phase and share.
    Step(MovePhase, TrafficShare),
}

/// Decides when a move changes to its next share.
#[derive(Clone, Copy, Debug, Default)]
pub struct MovePace {
    limits: PaceLimits,
}

impl MovePace {
    /// Creates a pace with these limits.
    #[must_use]
    pub fn new(limits: PaceLimits) -> MovePace {
        MovePace { limits }
    }

    /// Returns the next transition of the move.
    #[must_use]
    pub fn next(&self, input: &PaceInput<'_>) -> PaceAdvice {
        if input.phase.is_ended() || matches!(input.verdict, Verdict::Condemn(_)) {
            return PaceAdvice::Hold;
        }
        if !input.has_endpoints {
            return PaceAdvice::Hold;
        }
        if input.phase == MovePhase::Waiting {
            return PaceAdvice::Step(MovePhase::Climbing, PACE_STEPS[0]);
        }
        if input.time_at_step < self.step_time(input) {
            return PaceAdvice::Hold;
        }
        let Some(next) = next_share(input.share) else {
            return PaceAdvice::Step(MovePhase::Done, input.share);
        };
        let is_last = next_share(next).is_none();
        let phase = if is_last {
            MovePhase::Settling
        } else {
            MovePhase::Climbing
        };
        PaceAdvice::Step(phase, next)
    }

    /// Returns the time that the move stays at its share.
    fn step_time(&self, input: &PaceInput<'_>) -> Duration {
        let is_suspect = matches!(input.verdict, Verdict::Suspect(_));
        let hold = if is_suspect {
            self.limits.max_hold
        } else {
            Duration::ZERO
        };
        if next_share(input.share).is_none() {
            return self.limits.settle + hold;
        }
        let planned = self.planned_time(input);
        if is_suspect {
            return planned.max(hold);
        }
        let calls = input.calls;
        if calls.total < self.limits.step_calls || calls.min_per_route < self.limits.route_calls {
            return planned;
        }
        let clear = (planned / 4).min(self.limits.max_clear_dwell);
        clear.max(self.limits.min_dwell)
    }

    /// Returns an equal part, per remaining step, of the time left before the settle time.
    fn planned_time(&self, input: &PaceInput<'_>) -> Duration {
        let steps = PACE_STEPS
            .iter()
            .filter(|step| exceeds(**step, input.share))
            .count() as u32;
        // The time already spent at this step is part of the time that is divided.
        let left = (input.time_left + input.time_at_step).saturating_sub(self.limits.settle);
        let planned = left.saturating_sub(self.limits.min_dwell) / (steps + 1);
        planned.max(self.limits.min_dwell)
    }
}

/// Returns the first step above a share; `None` at the last step.
fn next_share(share: TrafficShare) -> Option<TrafficShare> {
    PACE_STEPS.into_iter().find(|step| exceeds(*step, share))
}

fn exceeds(step: TrafficShare, share: TrafficShare) -> bool {
    step.checks >= share.checks && step.bookings >= share.bookings && step != share
}
