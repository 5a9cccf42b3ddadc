//! Whether a request may be sent to a further endpoint.

use super::CallAttempts;
use crate::sidecar::rate_limits::take_token;

impl CallAttempts<'_> {
    /// Takes a token for a further attempt if each one that was taken is used up: an attempt that
    /// reached an endpoint counts as a run.
    pub(super) async fn take_repeat_token(&self) -> bool {
        let Some(team) = self.caller.team else {
            return true;
        };
        if self.reached.get() < self.tokens.get() {
            return true;
        }
        let is_granted = take_token(self.state, team).await.is_ok();
        if is_granted {
            self.tokens.set(self.tokens.get() + 1);
        }
        is_granted
    }

    /// Returns whether another attempt may start while one is in progress.
    pub(super) fn may_repeat(&self) -> bool {
        self.route.is_repeatable
            && self.may_repeat_after(self.reached.get() + 1)
            && self.with_budget(|budget| budget.has_retry())
    }

    pub(super) fn may_repeat_after(&self, reached: u32) -> bool {
        reached < self.route.attempts && self.has_untried()
    }

    fn has_untried(&self) -> bool {
        let tried = self.tried.borrow();
        self.state.members.read(|table| {
            let mut records = table.iter();
            records.any(|record| self.is_usable(record) && !tried.contains(&record.id))
        })
    }
}
