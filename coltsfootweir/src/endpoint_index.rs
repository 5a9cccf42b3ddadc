//! Index of endpoints by service and version, for routing calls.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::balance::Candidate;
use crate::fact::CondemnedFact;
use crate::ids::MemberId;
use crate::ids::MoveName;
use crate::ids::RegionName;
use crate::ids::ServiceName;
use crate::ids::VersionName;
use crate::ids::ZoneName;
use crate::member::EndpointPhase;
use crate::member::MemberEntry;

/// An endpoint that calls can be sent to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointTarget {
    /// Member id of the daemon beside the upstream.
    pub id: MemberId,
    /// Address of that daemon's call port.
    pub call_address: SocketAddr,
    /// Region of the VM.
    pub region: RegionName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Requests the upstream runs at once.
    pub slots: u16,
    /// Whether the region is believed to be reachable.
    pub reachable: bool,
}

impl EndpointTarget {
    /// Returns the target as a candidate for load balancing.
    #[must_use]
    pub fn candidate(&self) -> Candidate<'_> {
        Candidate {
            id: &self.id,
            zone: &self.zone,
            region: &self.region,
            slots: self.slots,
            reachable: self.reachable,
            run_time_ratio: 1.0,
            is_late: false,
        }
    }
}

/// Endpoints and condemned versions at one moment; replaced as a whole when they change.
#[derive(Debug, Default)]
pub struct EndpointIndex {
    services: HashMap<ServiceName, HashMap<VersionName, Vec<EndpointTarget>>>,
    members: HashMap<MemberId, EndpointTarget>,
    condemned: HashMap<MoveName, Vec<VersionName>>,
}

impl EndpointIndex {
    /// Builds the index from the `live` members and the condemned versions.
    pub fn build<'a>(
        live: impl Iterator<Item = &'a MemberEntry>,
        condemned: impl Iterator<Item = &'a CondemnedFact>,
        is_reachable: impl Fn(&str) -> bool,
    ) -> EndpointIndex {
        let mut index = EndpointIndex::default();
        for entry in live {
            let Some(endpoint) = &entry.endpoint else {
                continue;
            };
            let target = EndpointTarget {
                id: entry.id.clone(),
                call_address: entry.call_address,
                region: entry.region.clone(),
                zone: entry.zone.clone(),
                slots: endpoint.slots,
                reachable: is_reachable(&entry.region),
            };
            index.members.insert(entry.id.clone(), target.clone());
            if endpoint.phase != EndpointPhase::Ready {
                continue;
            }
            let versions = index.services.entry(endpoint.service.clone()).or_default();
            versions
                .entry(endpoint.version.clone())
                .or_default()
                .push(target);
        }
        for fact in condemned {
            let versions = index.condemned.entry(fact.move_name.clone()).or_default();
            versions.push(fact.version.clone());
        }
        index
    }

    /// Returns the ready endpoints of a version.
    #[must_use]
    pub fn targets(&self, service: &str, version: &str) -> &[EndpointTarget] {
        let versions = self.services.get(service);
        versions
            .and_then(|versions| versions.get(version))
            .map_or(&[], Vec::as_slice)
    }

    /// Returns a live member with an upstream, in any phase of the upstream.
    #[must_use]
    pub fn member(&self, id: &str) -> Option<&EndpointTarget> {
        self.members.get(id)
    }

    /// Returns whether a version was condemned during a move.
    #[must_use]
    pub fn is_condemned(&self, move_name: &str, version: &str) -> bool {
        let Some(versions) = self.condemned.get(move_name) else {
            return false;
        };
        versions.iter().any(|condemned| **condemned == *version)
    }
}
