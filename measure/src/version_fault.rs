//! Versions that a move is tried with, good and bad.

use standins::upstream_faults::UpstreamFaults;

/// Text in the path of a request that crashes an upstream with that fault.
pub const CRASH_TEXT: &str = "crash-me";

/// Seconds of a move after which a version with a late fault fails.
const LATE_SECONDS: u64 = 45;

/// Factor on the work of a slow version.
const SLOW_FACTOR: f64 = 10.0;

/// A version that a move is tried with.
#[derive(Clone, Copy, Debug)]
pub struct VersionCase {
    /// Name in tables and settings.
    pub name: &'static str,
    /// Whether the move should be done; otherwise it should be taken back.
    pub is_good: bool,
    /// Which upstreams crash on requests with [`CRASH_TEXT`].
    pub crash: CrashKind,
    fault: FaultKind,
}

/// Which upstreams crash on which requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashKind {
    /// None.
    Never,
    /// Those of the new version, on requests that differ from each other.
    NewVersion,
    /// Those of both versions, on one request that its caller repeats.
    BothVersions,
}

#[derive(Clone, Copy, Debug)]
enum FaultKind {
    None,
    AtOnce,
    Later,
    Slow,
    UnderLoad,
    OneRoute,
}

/// Every case, in the order of the tables.
pub const VERSION_CASES: [VersionCase; 8] = [
    case("good", true, CrashKind::Never, FaultKind::None),
    case(
        "crash-request",
        true,
        CrashKind::BothVersions,
        FaultKind::None,
    ),
    case("fail-at-once", false, CrashKind::Never, FaultKind::AtOnce),
    case("fail-later", false, CrashKind::Never, FaultKind::Later),
    case("slow", false, CrashKind::Never, FaultKind::Slow),
    case("under-load", false, CrashKind::Never, FaultKind::UnderLoad),
    case("one-route", false, CrashKind::Never, FaultKind::OneRoute),
    case(
        "crash-version",
        false,
        CrashKind::NewVersion,
        FaultKind::None,
    ),
];

const fn case(
    name: &'static str,
    is_good: bool,
    crash: CrashKind,
    fault: FaultKind,
) -> VersionCase {
    VersionCase {
        name,
        is_good,
        crash,
        fault,
    }
}

impl VersionCase {
    /// Faults of the old version's upstreams.
    #[must_use]
    pub fn old_faults(&self) -> UpstreamFaults {
        let mut faults = UpstreamFaults::default();
        if self.crash == CrashKind::BothVersions {
            faults.crash_on_body = Some(CRASH_TEXT.into());
        }
        faults
    }

    /// Faults of the new version's upstreams, which fail on `route_prefix` when on one route only.
    #[must_use]
    pub fn new_faults(&self, route_prefix: &str) -> UpstreamFaults {
        let mut faults = UpstreamFaults {
            misleading_health: true,
            ..UpstreamFaults::default()
        };
        match self.fault {
            FaultKind::None => {}
            FaultKind::AtOnce => faults.fail_percent = 30,
            FaultKind::Later => {
                faults.fail_percent = 30;
                faults.fail_after_seconds = LATE_SECONDS;
            }
            FaultKind::Slow => faults.slow_factor = SLOW_FACTOR,
            FaultKind::UnderLoad => {
                faults.fail_percent = 60;
                faults.only_above_running = 1;
            }
            FaultKind::OneRoute => {
                faults.fail_percent = 50;
                faults.only_prefix = Some(route_prefix.into());
            }
        }
        if self.crash != CrashKind::Never {
            faults.crash_on_body = Some(CRASH_TEXT.into());
        }
        faults
    }
}
