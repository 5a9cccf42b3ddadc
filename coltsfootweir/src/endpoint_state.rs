//! State of one endpoint at a daemon that calls it: load, failures, ejection and slow start.

use std::time::Duration;

use crate::load_report::LoadReport;

/// Failures in a row after which an endpoint is ejected.
pub const MAX_FAILURES: u32 = 5;

/// Connect errors in a row after which an endpoint is ejected.
pub const MAX_CONNECT_ERRORS: u32 = 2;

/// Duration of the first ejection; each further one in a row doubles it.
pub const EJECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest ejection.
pub const MAX_EJECT_TIMEOUT: Duration = Duration::from_secs(80);

/// Time for which a failure adds to the load of an endpoint. Without it, an endpoint that fails fast
/// would look idle and attract more calls.
pub const FAILURE_TIMEOUT: Duration = Duration::from_secs(5);

/// Requests added to the load for each recent failure in a row.
const FAILURE_COST: u32 = 3;

/// Time over which a new endpoint ramps up to its full share of calls.
pub const SLOW_START: Duration = Duration::from_secs(5);

/// Age after which a load report is ignored.
pub const LOAD_MAX_AGE: Duration = Duration::from_secs(1);

/// Weight at the beginning of a slow start.
const MIN_WEIGHT: f64 = 0.1;

/// How a call to an endpoint ended, for load balancing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// The endpoint answered without an error.
    Success,
    /// The endpoint failed, the connection broke or the call timed out.
    Failure,
    /// No connection could be made.
    ConnectError,
    /// The endpoint refused the call or the caller gave up. This counts neither as a success nor as
    /// a failure.
    Neutral,
}

/// Load and ejection of an endpoint at one moment; the default is that of one without calls.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndpointStatus {
    pub(crate) ejected_until: Duration,
    pub(crate) load: u32,
    pub(crate) penalty: u32,
    pub(crate) weight: f64,
}

impl Default for EndpointStatus {
    fn default() -> EndpointStatus {
        EndpointStatus {
            ejected_until: Duration::ZERO,
            load: 0,
            penalty: 0,
            weight: 1.0,
        }
    }
}

impl EndpointStatus {
    /// Returns whether the endpoint should take calls only if no other can: all slots are taken, or
    /// it would be ejected but for the cap on ejections.
    pub(crate) fn is_full(&self, slots: u16, now: Duration) -> bool {
        now < self.ejected_until || self.load >= u32::from(slots)
    }
}

/// Calls to one endpoint and their results.
#[derive(Clone, Debug)]
pub(crate) struct EndpointState {
    pub(crate) seen: Duration,
    pub(crate) weight_from: Option<Duration>,
    load: LoadReport,
    load_at: Option<Duration>,
    pub(crate) started: u32,
    started_at_load: u32,
    failures: u32,
    connect_errors: u32,
    failed_at: Duration,
    ejections: u32,
    pub(crate) ejected_until: Duration,
}

impl EndpointState {
    pub(crate) fn new() -> EndpointState {
        EndpointState {
            seen: Duration::ZERO,
            weight_from: None,
            load: LoadReport::default(),
            load_at: None,
            started: 0,
            started_at_load: 0,
            failures: 0,
            connect_errors: 0,
            failed_at: Duration::ZERO,
            ejections: 0,
            ejected_until: Duration::ZERO,
        }
    }

    /// Records the load reported with an answer.
    pub(crate) fn on_load(&mut self, load: LoadReport, now: Duration) {
        self.load = load;
        self.load_at = Some(now);
        self.started_at_load = self.started;
    }

    /// Counts the end of a call, and ejects an endpoint that fails repeatedly.
    pub(crate) fn on_end(&mut self, end: CallEnd, now: Duration) {
        self.started = self.started.saturating_sub(1);
        self.started_at_load = self.started_at_load.min(self.started);
        match end {
            CallEnd::Neutral => return,
            CallEnd::Success => {
                self.failures = 0;
                self.connect_errors = 0;
                if now >= self.ejected_until + MAX_EJECT_TIMEOUT {
                    self.ejections = 0;
                }
                return;
            }
            CallEnd::Failure => return self.on_failure(now),
            CallEnd::ConnectError => self.connect_errors += 1,
        }
        self.note_fault(now);
    }

    /// Counts a failure, and ejects an endpoint that fails repeatedly.
    pub(crate) fn on_failure(&mut self, now: Duration) {
        self.failures += 1;
        self.note_fault(now);
    }

    fn note_fault(&mut self, now: Duration) {
        self.failed_at = now;
        if self.failures >= MAX_FAILURES || self.connect_errors >= MAX_CONNECT_ERRORS {
            self.eject(now);
        }
    }

    /// Returns the status at `now`.
    pub(crate) fn status(&self, slots: u16, now: Duration) -> EndpointStatus {
        EndpointStatus {
            ejected_until: self.ejected_until,
            load: self.load(now),
            penalty: self.penalty(slots.max(1), now),
            weight: self.weight(now),
        }
    }

    /// Returns the reported load plus the calls sent since the report.
    pub(crate) fn load(&self, now: Duration) -> u32 {
        if self.load_at.is_none_or(|at| now >= at + LOAD_MAX_AGE) {
            return self.started;
        }
        let since = self.started.saturating_sub(self.started_at_load);
        (self.load.total() + since).max(self.started)
    }

    /// Returns the requests to add to the load for recent failures. An endpoint that would be
    /// ejected but for the cap on ejections counts as full.
    fn penalty(&self, slots: u16, now: Duration) -> u32 {
        if now < self.ejected_until {
            return u32::from(slots);
        }
        if now >= self.failed_at + FAILURE_TIMEOUT {
            return 0;
        }
        FAILURE_COST * (self.failures + self.connect_errors)
    }

    fn weight(&self, now: Duration) -> f64 {
        let Some(from) = self.weight_from else {
            return 1.0;
        };
        let age = now.saturating_sub(from).as_secs_f64();
        (age / SLOW_START.as_secs_f64()).clamp(MIN_WEIGHT, 1.0)
    }

    fn eject(&mut self, now: Duration) {
        if now < self.ejected_until {
            return;
        }
        let factor = 1_u32 << self.ejections.min(8);
        let timeout = EJECT_TIMEOUT.saturating_mul(factor).min(MAX_EJECT_TIMEOUT);
        self.ejected_until = now + timeout;
        self.weight_from = Some(self.ejected_until);
        self.ejections += 1;
        self.failures = 0;
        self.connect_errors = 0;
    }
}
