//! Configuration records written by operators: routes, upstream versions and moves.

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

/// Class of a route, which decides whether its requests may be repeated.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RouteClass {
    /// Idempotent reads. A request may run more than once.
    Check,
    /// Bookings. Requests with the same idempotency key run at most once.
    Booking,
}

/// Share of a service's traffic for each class of route, in percent.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TrafficShare {
    /// Percent of the check requests.
    pub checks: u8,
    /// Percent of the booking requests.
    pub bookings: u8,
}

/// A path prefix and the service that handles its requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteRecord {
    /// Name of the route.
    pub name: RouteName,
    /// Service that handles the requests.
    pub service: ServiceName,
    /// Prefix of the request path. The longest matching prefix is used.
    pub prefix: Box<str>,
    /// Class of the requests, which decides whether they may be repeated.
    pub class: RouteClass,
    /// Time limit of a caller's request that carries no deadline.
    pub timeout: Duration,
    /// Maximum number of retries, in percent of the route's calls.
    pub retry_percent: u8,
}

/// A version of a service and its standing share of the traffic, which applies outside of moves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionRecord {
    /// Service the version belongs to.
    pub service: ServiceName,
    /// Name of the version.
    pub version: VersionName,
    /// Share while the service has no active move.
    pub share: TrafficShare,
}

/// Phase of a move.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MovePhase {
    /// Accepted, but no traffic has moved yet.
    Waiting,
    /// Traffic is being moved to the new version.
    Climbing,
    /// All traffic has moved. The new version is still checked for late failures.
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
    /// Version that serves the traffic before the move.
    pub from: VersionName,
    /// Version that serves the traffic after the move.
    pub to: VersionName,
    /// Time by which all traffic must be on the new version.
    pub done_by: SystemTime,
    /// Phase, written by the system.
    pub phase: MovePhase,
    /// Share of the new version, written by the system.
    pub share: TrafficShare,
    /// Why the move was taken back or how it ended. Empty until the move ends.
    pub reason: Box<str>,
}

/// A record of any kind.
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
    /// Returns the kind and name that identify the record in faults and conflicts, such as
    /// `route/stalls`.
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

    /// Returns the prefix without trailing slashes. The root prefix becomes empty.
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

    /// Returns the percent for a class of route.
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
