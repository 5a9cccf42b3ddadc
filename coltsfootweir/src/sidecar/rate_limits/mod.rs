//! Limits on the requests of a team at all daemons together.

pub mod hand_over;
pub mod limit_bucket;
pub mod limit_lease;
pub mod limit_order;
pub mod limit_share;
pub mod limit_task;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Notify;

use crate::ids::Incarnation;
use crate::ids::MemberId;
use crate::sidecar::rate_limits::limit_bucket::LimitBuckets;
use crate::sidecar::rate_limits::limit_bucket::REGION_SLOTS;
use crate::sidecar::rate_limits::limit_lease::LimitLease;
use crate::sidecar::rate_limits::limit_share::ANSWER_TIMEOUT;
use crate::sidecar::rate_limits::limit_share::LimitShare;
use crate::sidecar::rate_limits::limit_share::ShareOutcome;
use crate::sidecar::sidecar_state::SidecarState;
use crate::sidecar::teams::team::Team;
use crate::sidecar::teams::team::TeamName;

/// Minimum `Retry-After` of a refusal; several clients of a team would come back at each token.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Reason why a request is refused because of its team's limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitRefusal {
    /// The team has used up its limit; the time until it may run another request.
    Exceeded(Duration),
    /// No holder of the limit answered; the time after which to try again.
    NoHolder(Duration),
}

/// Tokens that this daemon has borrowed and lends.
pub struct RateLimits {
    own: MemberId,
    /// Daemons that are asked for tokens, and the time at which they were computed.
    order: RefCell<(Duration, Rc<[MemberId]>)>,
    share: RefCell<LimitShare>,
    lease: RefCell<LimitLease>,
    buckets: RefCell<[LimitBuckets; REGION_SLOTS]>,
    /// Notified when requests that wait for tokens of a team can go on.
    answered: RefCell<HashMap<TeamName, Rc<Notify>>>,
    /// Notified when a request needs tokens.
    asked: Notify,
}

impl RateLimits {
    /// Creates the state of a run that has no tokens and holds no slot.
    #[must_use]
    pub fn new(own: &MemberId, run: Incarnation, now: Duration) -> RateLimits {
        RateLimits {
            own: own.clone(),
            order: RefCell::new((Duration::ZERO, Rc::default())),
            share: RefCell::new(LimitShare::new(own)),
            lease: RefCell::new(LimitLease::new(own.clone(), run, now)),
            buckets: RefCell::new([LimitBuckets::new(now), LimitBuckets::new(now)]),
            answered: RefCell::default(),
            asked: Notify::new(),
        }
    }

    /// Returns the daemons that answered last for the slots, for the log; also those that have lost
    /// access to the store since.
    #[must_use]
    pub fn holders(&self) -> Value {
        let share = self.share.borrow();
        json!([share.holder(0), share.holder(1)])
    }

    fn answered(&self, team: &TeamName) -> Rc<Notify> {
        let mut answered = self.answered.borrow_mut();
        Rc::clone(answered.entry(team.clone()).or_default())
    }

    fn wake(&self, teams: &[TeamName]) {
        let answered = self.answered.borrow();
        for team in teams {
            if let Some(notify) = answered.get(team) {
                notify.notify_waiters();
            }
        }
    }
}

/// Takes a token for a request of a team.
///
/// # Errors
/// [`LimitRefusal`] if the request must not run now.
pub async fn take_token(state: &SidecarState, team: &Team) -> Result<(), LimitRefusal> {
    if !is_limited(state, team) {
        return Ok(());
    }
    let limits = &state.rate_limits;
    let mut tried = [false; REGION_SLOTS];
    let mut waiting: Option<(usize, Duration)> = None;
    let now = state.clock.boot();
    limits.share.borrow_mut().count_request(&team.name, now);
    loop {
        let now = state.clock.boot();
        let outcome = limits.share.borrow_mut().take(&team.name, tried, now);
        let slot = match outcome {
            ShareOutcome::Taken => return Ok(()),
            ShareOutcome::Exceeded(wait) => return Err(LimitRefusal::Exceeded(retry_after(wait))),
            ShareOutcome::NoHolder(wait) => return Err(LimitRefusal::NoHolder(retry_after(wait))),
            ShareOutcome::Ask(slot) => slot,
        };
        let until = match waiting {
            Some((of, until)) if of == slot => until,
            _ => now + ANSWER_TIMEOUT,
        };
        waiting = Some((slot, until));
        let answered = limits.answered(&team.name);
        let notified = answered.notified();
        limits.asked.notify_one();
        let left = until.saturating_sub(now);
        if left.is_zero() || tokio::time::timeout(left, notified).await.is_err() {
            tried[slot] = true;
        }
    }
}

/// Takes a token that this daemon has already, for a further run of a request of a team. Returns
/// whether the run may start.
pub fn take_held_token(state: &SidecarState, team: Option<&Team>) -> bool {
    let Some(team) = team.filter(|team| is_limited(state, team)) else {
        return true;
    };
    let now = state.clock.boot();
    let mut share = state.rate_limits.share.borrow_mut();
    share.take_held(&team.name, now)
}

fn is_limited(state: &SidecarState, team: &Team) -> bool {
    team.rate_per_s > 0.0 && state.settings.borrow().bounds.quota.is_some()
}

/// Returns the pause before a refused request may come back: at least the time until the next token,
/// and different for each client.
fn retry_after(wait: Duration) -> Duration {
    let factor = rand::rng().random_range(1.0..1.5);
    wait.max(MIN_RETRY_AFTER).mul_f64(factor)
}
