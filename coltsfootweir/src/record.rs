//! Records that operators write: routes, upstream versions and moves.

use std::time::Duration;
use std::time::SystemTime;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::MoveName;
use crate::ids::RouteName;
use crate::ids::ServiceName;
use crate::ids::VersionName;

/// Value of `kind` in a route record.
pub const ROUTE_KIND: &str = "route";

/// Value of `kind` in an upstream version record.
pub const VERSION_KIND: &str = "upstream-version";

/// Value of `kind` in a move record.
pub const MOVE_KIND: &str = "move";

/// Whether a route's requests may be repeated.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RouteClass {
    /// Idempotent reads; a request may run more than once.
    Check,
    /// Bookings; a request with one key runs at most once.
    Booking,
}

/// Share of a service's traffic, in percent, for each class of route.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TrafficShare {
    /// Percent of the checks.
    pub checks: u8,
    /// Percent of the bookings.
    pub bookings: u8,
}

/// A path prefix and the service that answers it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteRecord {
    /// Name of the route.
    pub name: RouteName,
    /// Service that answers.
    pub service: ServiceName,
    /// Prefix of the request path; the longest matching prefix wins.
    pub prefix: Box<str>,
    /// Whether requests may be repeated.
    pub class: RouteClass,
    /// Time a caller's request may take when it brings no deadline of its own.
    pub timeout: Duration,
    /// Retries allowed, in percent of the route's calls.
    pub retry_percent: u8,
}

/// A version of a service and its standing share of the traffic.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionRecord {
    /// Service the version belongs to.
    pub service: ServiceName,
    /// Name of the version.
    pub version: VersionName,
    /// Share while no move of the service is under way.
    pub share: TrafficShare,
}

/// State of a move.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MovePhase {
    /// Accepted; no traffic moved yet.
    Waiting,
    /// Traffic is moving.
    Climbing,
    /// All traffic moved; late faults are watched for.
    Settling,
    /// Ended: the new version serves all traffic.
    Done,
    /// Ended: the old version serves all traffic again.
    TakenBack,
}

impl MovePhase {
    /// Returns whether the move has ended.
    #[must_use]
    pub fn is_ended(self) -> bool {
        matches!(self, MovePhase::Done | MovePhase::TakenBack)
    }
}

/// A move of a service's traffic from one version to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MoveRecord {
    /// Name of the move.
    pub name: MoveName,
    /// Service that moves.
    pub service: ServiceName,
    /// Version that serves before the move.
    pub from: VersionName,
    /// Version that serves after the move.
    pub to: VersionName,
    /// Time by which all traffic is to be on the new version.
    pub done_by: SystemTime,
    /// State, written by the system.
    pub phase: MovePhase,
    /// Share of the new version, written by the system.
    pub share: TrafficShare,
    /// Why the move was taken back, or how it ended; empty until then.
    pub reason: Box<str>,
}

/// One record of any kind.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigRecord {
    /// A route.
    Route(RouteRecord),
    /// An upstream version.
    Version(VersionRecord),
    /// A move.
    Move(MoveRecord),
}

impl ConfigRecord {
    /// Returns kind and name as faults and conflicts give them, such as `route/stalls`.
    #[must_use]
    pub fn label(&self) -> Box<str> {
        match self {
            ConfigRecord::Route(route) => route.label(),
            ConfigRecord::Version(version) => version.label(),
            ConfigRecord::Move(record) => record.label(),
        }
    }
}

impl RouteRecord {
    /// Returns `route/<name>`.
    #[must_use]
    pub fn label(&self) -> Box<str> {
        format!("{ROUTE_KIND}/{}", self.name).into()
    }

    /// Returns the prefix without its trailing slash; the root prefix is empty.
    #[must_use]
    pub fn trimmed_prefix(&self) -> &str {
        self.prefix.trim_end_matches('/')
    }
}

impl VersionRecord {
    /// Returns the key of the version in a snapshot, `<service>/<version>`.
    #[must_use]
    pub fn key(&self) -> Box<str> {
        version_key(&self.service, &self.version)
    }

    /// Returns `upstream-version/<service>/<version>`.
    #[must_use]
    pub fn label(&self) -> Box<str> {
        format!("{VERSION_KIND}/{}/{}", self.service, self.version).into()
    }
}

impl MoveRecord {
    /// Returns `move/<name>`.
    #[must_use]
    pub fn label(&self) -> Box<str> {
        format!("{MOVE_KIND}/{}", self.name).into()
    }
}

impl TrafficShare {
    /// All of the traffic.
    pub const ALL: TrafficShare = TrafficShare {
        checks: 100,
        bookings: 100,
    };

    /// None of the traffic.
    pub const NONE: TrafficShare = TrafficShare {
        checks: 0,
        bookings: 0,
    };

    /// Returns the percent of one class of route.
    #[must_use]
    pub fn of(self, class: RouteClass) -> u8 {
        match class {
            RouteClass::Check => self.checks,
            RouteClass::Booking => self.bookings,
        }
    }
}

/// Returns the key of a version in a snapshot, `<service>/<version>`.
#[must_use]
pub fn version_key(service: &str, version: &str) -> Box<str> {
    format!("{service}/{version}").into()
}
