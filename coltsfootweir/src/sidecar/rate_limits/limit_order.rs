//! The daemons to ask for tokens: those that may hold slots, and those that could until recently.

use std::time::Duration;

use crate::ids::MemberId;
use crate::sidecar::rate_limits::limit_lease::LEASE_TIME;
use crate::sidecar::rate_limits::limit_lease::TAKE_MARGIN;

/// Time for which a daemon is asked after it was last a candidate or answered as a holder. Later,
/// another daemon may have taken its slot.
pub const FORMER_TIME: Duration = LEASE_TIME.saturating_add(TAKE_MARGIN);

/// Largest number of former candidates that are kept: the candidates of a region may change completely
/// twice within [`FORMER_TIME`].
const MAX_FORMER: usize = 12;

/// Candidates of a region as one daemon has seen them.
#[derive(Debug, Default)]
pub struct LimitOrder {
    /// Daemons and the last time at which each was a candidate, the latest first.
    seen: Vec<(MemberId, Duration)>,
}

impl LimitOrder {
    /// Records the present candidates. Returns them and after them the former ones, the latest first.
    pub fn update(&mut self, present: Vec<MemberId>, now: Duration) -> Vec<MemberId> {
        self.seen
            .retain(|(id, at)| now < *at + FORMER_TIME && !present.contains(id));
        self.seen.truncate(MAX_FORMER);
        let mut order = present.clone();
        order.extend(self.seen.iter().map(|(id, _)| id.clone()));
        let seen = present.into_iter().map(|id| (id, now));
        self.seen.splice(0..0, seen);
        order
    }
}
