//! Removal of the objects of old generations, a bounded number per pass.
//!
//! Every snapshot, including that of a change that lost a race, has a delta whose name contains its
//! generation and digest, so only deltas are listed. A snapshot is removed before its delta, so that
//! the next sweep finds what an interrupted removal left. The cutoff is below the head and the head
//! generation only increases, so a paused or repeated sweep never removes objects of the head.

use std::collections::VecDeque;
use std::time::Duration;

use crate::accept::DELTA_PREFIX;
use crate::accept::parse_delta_object;
use crate::accept::snapshot_object;
use crate::ids::Generation;
use crate::platform::KeyRange;

/// Maximum number of names per listing.
pub const PAGE_NAMES: usize = 500;

/// Maximum number of generations removed in one pass.
pub const PASS_GENERATIONS: usize = 20;

/// Time between two passes of a sweep.
pub const BUSY_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two sweeps.
pub const SWEEP_INTERVAL: Duration = Duration::from_secs(60 * 60);

/// Next action of a sweep.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SweepAction {
    /// List the object names in this range.
    List(KeyRange),
    /// Remove these objects, in this order.
    Remove(Vec<Box<str>>),
    /// Wait this long before the next action.
    Wait(Duration),
    /// The sweep is complete.
    End,
}

/// One sweep over all deltas, in passes.
#[derive(Debug)]
pub struct ObjectSweep {
    cutoff: Generation,
    after: Box<str>,
    has_more: bool,
    /// Names of the listed deltas that are to be removed.
    pending: VecDeque<Box<str>>,
    pass_left: usize,
}

impl ObjectSweep {
    /// Starts a sweep that removes the objects of generations below `cutoff`.
    #[must_use]
    pub fn start(cutoff: Generation) -> ObjectSweep {
        ObjectSweep {
            cutoff,
            after: DELTA_PREFIX.into(),
            has_more: cutoff > 0,
            pending: VecDeque::new(),
            pass_left: PASS_GENERATIONS,
        }
    }

    /// Returns the next action.
    pub fn next_action(&mut self) -> SweepAction {
        if let Some(delta) = self.pending.front() {
            if self.pass_left == 0 {
                self.pass_left = PASS_GENERATIONS;
                return SweepAction::Wait(BUSY_INTERVAL);
            }
            return SweepAction::Remove(objects_of(delta));
        }
        if !self.has_more {
            return SweepAction::End;
        }
        SweepAction::List(KeyRange {
            prefix: DELTA_PREFIX.into(),
            after: self.after.clone(),
            limit: PAGE_NAMES,
        })
    }

    /// Processes the names returned for [`SweepAction::List`].
    pub fn on_page(&mut self, names: Vec<Box<str>>) {
        self.has_more = names.len() >= PAGE_NAMES;
        if let Some(last) = names.last() {
            self.after = last.clone();
        }
        for name in names {
            let Some(mark) = parse_delta_object(&name) else {
                continue;
            };
            if mark.generation < self.cutoff {
                self.pending.push_back(name);
            }
        }
    }

    /// Records that the objects of the last [`SweepAction::Remove`] were removed.
    pub fn on_removed(&mut self) {
        self.pending.pop_front();
        self.pass_left = self.pass_left.saturating_sub(1);
    }
}

fn objects_of(delta: &str) -> Vec<Box<str>> {
    let mut names = Vec::new();
    if let Some(mark) = parse_delta_object(delta) {
        names.push(snapshot_object(&mark).into());
    }
    names.push(delta.into());
    names
}
