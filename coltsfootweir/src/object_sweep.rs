//! Removal of the objects of old generations, a bounded number a pass.
//!
//! Every snapshot has a delta whose name tells generation and digest, also that of a change which lost
//! a race, so the deltas alone are listed. A snapshot is removed before its delta: what a removal that
//! broke off left behind is found again. The cutoff lies below the head, and heads only rise, so a
//! sweep that is paused or repeated removes nothing that a head refers to.

use std::collections::VecDeque;
use std::time::Duration;

use crate::accept::DELTA_PREFIX;
use crate::accept::parse_delta_object;
use crate::accept::snapshot_object;
use crate::ids::Generation;
use crate::platform::KeyRange;

/// Names read by one operation.
pub const PAGE_NAMES: usize = 500;

/// Generations removed in one pass.
pub const PASS_GENERATIONS: usize = 20;

/// Time between two passes of a sweep.
pub const BUSY_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two sweeps.
pub const SWEEP_INTERVAL: Duration = Duration::from_secs(60 * 60);

/// What a sweep does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SweepAction {
    /// Read these names.
    List(KeyRange),
    /// Remove these objects, in this order.
    Remove(Vec<Box<str>>),
    /// Go on after this time.
    Wait(Duration),
    /// The sweep has ended.
    End,
}

/// One sweep over all deltas, in passes.
#[derive(Debug)]
pub struct ObjectSweep {
    cutoff: Generation,
    after: Box<str>,
    has_more: bool,
    /// Names of old deltas that were listed.
    pending: VecDeque<Box<str>>,
    pass_left: usize,
}

impl ObjectSweep {
    /// Begins a sweep that removes what lies below `cutoff`.
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

    /// Returns what to do next.
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

    /// Takes the names that were asked for.
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

    /// Notes that the objects of the last removal are gone.
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
