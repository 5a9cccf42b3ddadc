//! Endpoints by service and version, as the call path looks them up.

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

/// An endpoint that may be given calls.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointTarget {
    /// Daemon beside the upstream.
    pub id: MemberId,
    /// Address of that daemon for calls.
    pub call_address: SocketAddr,
    /// Region of the VM.
    pub region: RegionName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Requests the upstream runs at once.
    pub slots: u16,
    /// Whether the region is reachable, as far as is known.
    pub reachable: bool,
}

impl EndpointTarget {
    /// The target as the choice of an endpoint sees it.
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

/// Endpoints and condemned versions of one moment; replaced as a whole.
#[derive(Debug, Default)]
pub struct EndpointIndex {
    services: HashMap<ServiceName, HashMap<VersionName, Vec<EndpointTarget>>>,
    members: HashMap<MemberId, EndpointTarget>,
    condemned: HashMap<MoveName, Vec<VersionName>>,
}

impl EndpointIndex {
    /// Builds an index of the `live` members.
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

    /// Endpoints of a version that may be given calls.
    #[must_use]
    pub fn targets(&self, service: &str, version: &str) -> &[EndpointTarget] {
        let versions = self.services.get(service);
        versions
            .and_then(|versions| versions.get(version))
            .map_or(&[], Vec::as_slice)
    }

    /// A live member that guards an upstream, whatever the upstream's standing.
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
