//! Churn of a fleet: changes of configuration, restarts of upstreams, replaced daemons.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::announcer::AnnouncedUpstream;
use crate::announcer::FleetAnnouncer;
use crate::failure::MeasureResult;
use crate::fleet::TestFleet;
use crate::records::route_change;
use crate::records::service_name;

/// Lowest timeout that a change sets, milliseconds.
const LEAST_TIMEOUT_MS: u64 = 1000;

/// What happens to the fleet while it is measured.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChurnKind {
    /// Nothing.
    Idle,
    /// One change of configuration an interval.
    Changes,
    /// One upstream leaves and its successor is announced, an interval.
    Restarts,
    /// One daemon is killed and replaced, an interval.
    Replacements,
}

/// Every kind, in the order of a run.
pub const CHURN_KINDS: [ChurnKind; 4] = [
    ChurnKind::Idle,
    ChurnKind::Changes,
    ChurnKind::Restarts,
    ChurnKind::Replacements,
];

impl ChurnKind {
    /// Name in tables and settings.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            ChurnKind::Idle => "idle",
            ChurnKind::Changes => "changes",
            ChurnKind::Restarts => "restarts",
            ChurnKind::Replacements => "replacements",
        }
    }
}

/// Causes churn at fixed intervals.
pub struct ChurnDriver<'a> {
    /// The fleet.
    pub fleet: &'a mut TestFleet,
    /// Announcer of its upstreams.
    pub announcer: &'a FleetAnnouncer,
    /// Services of the fleet.
    pub services: usize,
    /// Source of the choices.
    pub random: &'a mut ChaCha8Rng,
}

impl ChurnDriver<'_> {
    /// Causes churn of one kind for `window`; returns the number of events.
    ///
    /// # Errors
    /// [`MeasureError`](crate::failure::MeasureError).
    pub fn run(
        &mut self,
        kind: ChurnKind,
        interval: Duration,
        window: Duration,
    ) -> MeasureResult<usize> {
        let start = Instant::now();
        let mut count = 0;
        while kind != ChurnKind::Idle && interval * (count as u32 + 1) <= window {
            thread::sleep((interval * count as u32).saturating_sub(start.elapsed()));
            self.cause(kind)?;
            count += 1;
        }
        thread::sleep(window.saturating_sub(start.elapsed()));
        Ok(count)
    }

    fn cause(&mut self, kind: ChurnKind) -> MeasureResult<()> {
        let index = self.random.random_range(1..self.fleet.daemons.len());
        match kind {
            ChurnKind::Idle => Ok(()),
            ChurnKind::Changes => self.change_route(),
            ChurnKind::Restarts => {
                self.restart_upstream(index);
                Ok(())
            }
            ChurnKind::Replacements => self.replace_daemon(index),
        }
    }

    fn change_route(&mut self) -> MeasureResult<()> {
        let service = service_name(self.random.random_range(0..self.services));
        let timeout = LEAST_TIMEOUT_MS + self.random.random_range(0..LEAST_TIMEOUT_MS);
        self.fleet.apply(&route_change(&service, timeout)).map(drop)
    }

    fn restart_upstream(&mut self, index: usize) {
        self.announcer.change(index, |upstream| {
            let announcement = &mut upstream.announcement;
            announcement.leaving = !announcement.leaving;
        });
    }

    fn replace_daemon(&mut self, index: usize) -> MeasureResult<()> {
        self.fleet.replace_daemon(index)?;
        let daemon = self.fleet.daemons[index].control();
        self.announcer
            .change(index, |upstream: &mut AnnouncedUpstream| {
                upstream.daemon = daemon;
            });
        Ok(())
    }
}
