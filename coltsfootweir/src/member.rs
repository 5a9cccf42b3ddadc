//! Entries of the membership: daemons and the endpoints they guard.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Generation;
use crate::ids::Incarnation;
use crate::ids::MemberId;
use crate::ids::RegionName;
use crate::ids::ServiceName;
use crate::ids::VersionName;
use crate::ids::ZoneName;

/// Standing of a member in the view.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Missed a probe; refuted by a higher incarnation or counter.
    Suspect,
    /// Suspected for too long.
    Dead,
    /// Left by its own word.
    Left,
}

/// Standing of an upstream, as the daemon beside it says.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EndpointPhase {
    /// Takes calls.
    Ready,
    /// Takes no new calls; finishes those that run.
    Leaving,
    /// Crashed or silent.
    Down,
}

/// An upstream as other daemons see it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointEntry {
    /// Service the upstream runs.
    pub service: ServiceName,
    /// Version it runs.
    pub version: VersionName,
    /// Requests it runs at once.
    pub slots: u16,
    /// Its standing.
    pub phase: EndpointPhase,
}

/// A daemon as other daemons see it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberEntry {
    /// Identity, the control address.
    pub id: MemberId,
    /// Address that takes calls.
    pub call_address: SocketAddr,
    /// Region the VM stands in.
    pub region: RegionName,
    /// Availability zone the VM stands in.
    pub zone: ZoneName,
    /// Run of the daemon.
    pub incarnation: Incarnation,
    /// Count of the changes the daemon made to its own entry in this run.
    pub counter: u64,
    /// Standing of the daemon.
    pub state: MemberState,
    /// Highest generation the daemon serves.
    pub served: Generation,
    /// Upstream beside the daemon, once it announced itself.
    pub endpoint: Option<EndpointEntry>,
}
