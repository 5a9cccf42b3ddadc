//! Records that operators write: routes, upstream versions and moves.

use std::time::Duration;
use std::time::SystemTime;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::MoveName;
use crate::ids::RouteName;
use crate::ids::ServiceName;
use crate::ids::VersionName;

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
