//! Time after the beginning of an era in which the store may still lack rows.

use std::time::Duration;

use crate::sidecar::store_era::store_version::StoreEra;

/// Time from the first news of an era in which a row may still be as it was in the copy. Rows whose writer
/// lives are back within about two seconds.
pub const RESTORE_TIME: Duration = Duration::from_secs(2);

/// Newest era that was heard of, and whether its rows may still be those of the copy.
#[derive(Clone, Copy, Debug, Default)]
pub struct RestoreWindow {
    era: Option<StoreEra>,
    begun: Option<Duration>,
}

impl RestoreWindow {
    /// Records that an era was heard of at `now`, a time since the daemon's start. The first one that a
    /// daemon hears of is not known to have begun just then.
    pub fn observe(&mut self, era: StoreEra, now: Duration) {
        match self.era {
            None => self.era = Some(era),
            Some(known) if known < era => {
                self.era = Some(era);
                self.begun = Some(now);
            }
            Some(_) => {}
        }
    }

    /// Returns whether the rows of the newest era may still be those of the copy.
    #[must_use]
    pub fn is_open(&self, now: Duration) -> bool {
        self.begun.is_some_and(|begun| now < begun + RESTORE_TIME)
    }
}
