//! Failures that a move goes through: a store outage, a frozen acting member, a region cut.

use std::net::SocketAddr;
use std::time::Duration;

use clap::ValueEnum;
use coltsfootweir::http_platform::HttpPlatform;
use coltsfootweir::mover::read_lease;
use coltsfootweir::record::MoveRecord;
use serde::Serialize;
use standins::platform_faults::PlatformFaults;
use standins::relay::RelayMode;

use crate::failure::MeasureResult;
use crate::fleet::FleetDaemon;
use crate::fleet::TestFleet;
use crate::probe::read_status;
use crate::probe::set_platform_faults;

/// Longest time for which a failure lasts; it ends sooner when the version is condemned everywhere.
const FAILURE_LIMIT: Duration = Duration::from_secs(60);

/// A failure from the first share of a move to the end of its taking back.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, ValueEnum)]
pub enum FailureKind {
    /// The platform refuses every operation.
    StoreOutage,
    /// The member with the lease of the move does not run.
    FrozenMember,
    /// The regions do not reach each other, and one not the store.
    RegionCut,
}

/// When a failure held during a move, seconds since its acceptance.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct FailureTimes {
    /// Begin of the failure.
    pub from: Option<f64>,
    /// When every daemon that runs held the version condemned, during the failure.
    pub condemned: Option<f64>,
    /// End of the failure.
    pub to: Option<f64>,
}

/// The failure of one move.
#[derive(Debug)]
pub struct MoveFailure {
    kind: Option<FailureKind>,
    times: FailureTimes,
    frozen: Option<SocketAddr>,
}

impl MoveFailure {
    /// Makes a failure that has not begun; none at all without a kind.
    #[must_use]
    pub fn new(kind: Option<FailureKind>) -> MoveFailure {
        MoveFailure {
            kind,
            times: FailureTimes::default(),
            frozen: None,
        }
    }

    /// When it held.
    #[must_use]
    pub fn times(&self) -> FailureTimes {
        self.times
    }

    /// Addresses that take calls: those of the daemons that run.
    #[must_use]
    pub fn callable(&self, fleet: &TestFleet) -> Vec<SocketAddr> {
        self.running(fleet).map(FleetDaemon::calls).collect()
    }

    fn running<'a>(&self, fleet: &'a TestFleet) -> impl Iterator<Item = &'a FleetDaemon> + use<'a> {
        let frozen = self.frozen;
        let all = fleet.daemons.iter();
        all.filter(move |daemon| Some(daemon.control()) != frozen)
    }

    /// Begins or ends the failure when it is time, `elapsed` after the acceptance of the move.
    ///
    /// # Errors
    /// [`MeasureError`](crate::failure::MeasureError).
    pub fn advance(
        &mut self,
        fleet: &TestFleet,
        store: &HttpPlatform,
        record: Option<&MoveRecord>,
        elapsed: Duration,
    ) -> MeasureResult<()> {
        let Some(kind) = self.kind else {
            return Ok(());
        };
        let Some(from) = self.times.from else {
            return self.begin(kind, fleet, store, record, elapsed);
        };
        if self.times.to.is_some() {
            return Ok(());
        }
        let seconds = elapsed.as_secs_f64();
        let is_condemned = self.running(fleet).all(|daemon| {
            read_status(daemon.control()).is_ok_and(|status| !status.condemned.is_empty())
        });
        if is_condemned {
            self.times.condemned.get_or_insert(seconds);
        }
        // Only a frozen member leaves others that can write the end of the move.
        let is_ended = record.is_some_and(|record| record.phase.is_ended());
        let is_over = is_condemned && (kind != FailureKind::FrozenMember || is_ended);
        if is_over || seconds - from > FAILURE_LIMIT.as_secs_f64() {
            self.end(fleet, elapsed)?;
        }
        Ok(())
    }

    /// Begins the failure once the new version has a share.
    fn begin(
        &mut self,
        kind: FailureKind,
        fleet: &TestFleet,
        store: &HttpPlatform,
        record: Option<&MoveRecord>,
        elapsed: Duration,
    ) -> MeasureResult<()> {
        let Some(record) = record.filter(|record| record.share.checks > 0) else {
            return Ok(());
        };
        self.frozen = find_frozen(kind, store, &record.name);
        if kind == FailureKind::FrozenMember && self.frozen.is_none() {
            return Ok(());
        }
        self.switch(fleet, kind, true)?;
        self.times.from = Some(elapsed.as_secs_f64());
        Ok(())
    }

    /// Ends the failure if it holds.
    ///
    /// # Errors
    /// [`MeasureError`](crate::failure::MeasureError).
    pub fn end(&mut self, fleet: &TestFleet, elapsed: Duration) -> MeasureResult<()> {
        if let Some(kind) = self.kind
            && self.times.from.is_some()
            && self.times.to.is_none()
        {
            self.switch(fleet, kind, false)?;
            self.times.to = Some(elapsed.as_secs_f64());
            self.frozen = None;
        }
        Ok(())
    }

    fn switch(&self, fleet: &TestFleet, kind: FailureKind, is_on: bool) -> MeasureResult<()> {
        match kind {
            FailureKind::StoreOutage => {
                let faults = PlatformFaults {
                    outage: is_on,
                    ..PlatformFaults::default()
                };
                set_platform_faults(fleet.platform_address(), &faults)
            }
            FailureKind::FrozenMember => {
                let mut all = fleet.daemons.iter();
                match all.find(|daemon| Some(daemon.control()) == self.frozen) {
                    Some(daemon) => daemon.process.signal(if is_on { "STOP" } else { "CONT" }),
                    None => Ok(()),
                }
            }
            FailureKind::RegionCut => {
                fleet.set_store_link(if is_on {
                    RelayMode::Cut
                } else {
                    RelayMode::Pass
                });
                for daemon in &fleet.daemons {
                    daemon.process.signal(if is_on { "USR1" } else { "USR2" })?;
                }
                Ok(())
            }
        }
    }
}

fn find_frozen(kind: FailureKind, store: &HttpPlatform, name: &str) -> Option<SocketAddr> {
    if kind != FailureKind::FrozenMember {
        return None;
    }
    let row = read_lease(store, name).ok()??;
    row.holder?.parse().ok()
}
