//! Requests that run, or may still run, at the local endpoint.
//!
//! A caller that leaves ends its connection, not the run: an endpoint may go on with a request until its
//! time limit, and crash. The ledger therefore keeps a run until the endpoint has answered it, has shown
//! that it outlived its time limit, or has ended.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::Fingerprint;
use crate::poison::POISON_TIMEOUT;

/// Time after the deadline of a request by which the endpoint has stopped work on it.
pub const STOP_MARGIN: Duration = Duration::from_millis(500);

/// Number of a request at the endpoint.
pub type RunId = u64;

/// Maximum number of runs that nobody waits for, of different requests.
pub const MAX_ABANDONED: usize = 512;

#[derive(Clone, Copy, Debug)]
struct OpenRun {
    fingerprint: Fingerprint,
    /// Time by which the endpoint is to stop work.
    until: Duration,
    lifetime: u64,
}

#[derive(Clone, Copy, Debug)]
struct AbandonedRun {
    fingerprint: Fingerprint,
    until: Duration,
}

/// Requests that may have run when a lifetime of the endpoint ended.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EndedRuns {
    /// Those that somebody waited for.
    pub open: Vec<Fingerprint>,
    /// The others, the latest first.
    pub abandoned: Vec<Fingerprint>,
}

/// Requests that run, or may still run, at the local endpoint. Times are since the daemon's start.
#[derive(Debug, Default)]
pub struct RunLedger {
    /// Number of lifetimes that have ended. Runs of these can't crash the present one.
    lifetime: u64,
    open: BTreeMap<RunId, OpenRun>,
    /// Runs that nobody waits for, the latest at the end.
    abandoned: VecDeque<AbandonedRun>,
}

impl RunLedger {
    /// Records that a request is sent to the endpoint, which is to stop work on it at `until`.
    pub fn start(&mut self, id: RunId, fingerprint: Fingerprint, until: Duration) {
        let run = OpenRun {
            fingerprint,
            until,
            lifetime: self.lifetime,
        };
        self.open.insert(id, run);
    }

    /// Records that a request has been answered, or rejected without a run.
    pub fn finish(&mut self, id: RunId) {
        self.open.remove(&id);
    }

    /// Records that nobody waits for a request any more. The endpoint may go on with it.
    pub fn abandon(&mut self, id: RunId, now: Duration) {
        if let Some(run) = self.open.remove(&id) {
            self.keep(run, run.until, now);
        }
    }

    /// Records that the endpoint has ended the connection of a request at `now`. It may have crashed just
    /// then.
    pub fn break_off(&mut self, id: RunId, now: Duration) {
        if let Some(run) = self.open.remove(&id) {
            self.keep(run, now, now);
        }
    }

    /// Records that the present lifetime was alive at a time. It has survived the runs that were over by then.
    pub fn on_alive(&mut self, at: Duration) {
        self.abandoned.retain(|run| run.until >= at);
    }

    /// Records that the present lifetime has ended, and returns the requests that may have run then.
    pub fn end_lifetime(&mut self, now: Duration) -> EndedRuns {
        self.expire(now);
        let mut ended = EndedRuns::default();
        for run in self.open.values() {
            if run.lifetime == self.lifetime {
                ended.open.push(run.fingerprint);
            }
        }
        for run in self.abandoned.drain(..).rev() {
            ended.abandoned.push(run.fingerprint);
        }
        self.lifetime += 1;
        ended
    }

    /// Returns the number of runs that nobody waits for.
    #[must_use]
    pub fn abandoned(&self) -> usize {
        self.abandoned.len()
    }

    fn keep(&mut self, run: OpenRun, until: Duration, now: Duration) {
        if run.lifetime != self.lifetime {
            return;
        }
        self.expire(now);
        let fingerprint = run.fingerprint;
        let held = self
            .abandoned
            .iter()
            .position(|held| held.fingerprint == fingerprint);
        let held = held.and_then(|index| self.abandoned.remove(index));
        let until = held.map_or(until, |held| held.until.max(until));
        if self.abandoned.len() >= MAX_ABANDONED {
            self.abandoned.pop_front();
        }
        self.abandoned
            .push_back(AbandonedRun { fingerprint, until });
    }

    /// Drops the runs that were over so long ago that a crash says nothing about them.
    fn expire(&mut self, now: Duration) {
        self.abandoned
            .retain(|run| now < run.until.saturating_add(POISON_TIMEOUT));
    }
}
