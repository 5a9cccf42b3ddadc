//! Refusals of one request, and whether another endpoint is asked after them.

use std::time::Duration;

use crate::sidecar::frame::NotRunCause;

/// Number of tried daemons from which on a refused request is not sent to another one; each costs a
/// round trip.
const MAX_TRIED: usize = 4;

/// Number of refusals for lack of capacity after which a request is not sent to another endpoint if
/// one of them was because of a full link. Such a refusal takes about 80 ms, as it waits behind the
/// data on that link, and the links of the others are probably full too.
const MAX_LINK_REFUSALS: u32 = 2;

/// Refusals of one request for lack of capacity.
#[derive(Clone, Copy, Debug, Default)]
pub struct RefusalTally {
    count: u32,
    /// Shortest time after which the request would have fitted on a link.
    link_wait: Option<Duration>,
}

impl RefusalTally {
    /// Records a refusal. `wait` is the time after which a retry may find capacity.
    pub fn record(&mut self, cause: NotRunCause, wait: Duration) {
        match cause {
            NotRunCause::Overloaded => {}
            NotRunCause::LinkFull => {
                let shortest = self.link_wait.map_or(wait, |best| best.min(wait));
                self.link_wait = Some(shortest);
            }
            _ => return,
        }
        self.count += 1;
    }

    /// Returns whether a request that `tried` daemons did not run may be sent to another one.
    #[must_use]
    pub fn may_ask_more(&self, tried: usize) -> bool {
        let is_link_full = self.link_wait.is_some() && self.count >= MAX_LINK_REFUSALS;
        tried < MAX_TRIED && !is_link_full
    }

    /// Returns the time after which a retry may find capacity, if the last refusal stated `last`. All
    /// endpoints that refused the request because of their links may take the retry.
    #[must_use]
    pub fn retry_after(&self, last: Duration) -> Duration {
        self.link_wait.map_or(last, |wait| wait.min(last))
    }
}
