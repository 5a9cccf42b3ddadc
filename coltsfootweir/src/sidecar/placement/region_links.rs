//! Chooses the endpoints of other regions to which links are kept because requests may not run in
//! the own region.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::hash::Hasher;

use xxhash_rust::xxh3::Xxh3;

use crate::ids::MemberId;
use crate::ids::RegionName;
use crate::ids::ServiceName;
use crate::sidecar::member_table::MemberRecord;
use crate::sidecar::mesh_config::MeshConfig;
use crate::sidecar::placement::region_filter::RegionFilter;

/// Number of endpoints of a service in another region to which links are kept. They carry the first
/// requests of a burst; while requests go on, all endpoints of other regions are linked.
const MAX_SERVICE_LINKS: usize = 8;

/// Number of links that are kept for all services, as many as within the own region.
const MAX_REMOTE_LINKS: usize = 96;

/// Services whose requests may have to run in another region.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RemoteServices {
    pairs: BTreeSet<(ServiceName, RegionName)>,
}

impl RemoteServices {
    /// Finds the services and the regions of requests that a configuration does not allow in `own`.
    #[must_use]
    pub fn new(config: &MeshConfig, own: &RegionName) -> RemoteServices {
        let mut lists: BTreeSet<&[RegionName]> = BTreeSet::new();
        lists.insert(&[]);
        for team in config.teams.values() {
            lists.insert(&team.allowed_regions);
        }
        let mut pairs = BTreeSet::new();
        for route in config.routes.values() {
            for team in &lists {
                let filter = RegionFilter::new(&route.terms.allowed_regions, team);
                if filter.allows(own) {
                    continue;
                }
                let named = route.terms.allowed_regions.iter().chain(team.iter());
                for region in named.filter(|region| filter.allows(region)) {
                    for part in &route.parts {
                        pairs.insert((part.service.clone(), region.clone()));
                    }
                }
            }
        }
        RemoteServices { pairs }
    }

    /// Returns whether no service is called in another region.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pairs.is_empty()
    }

    /// Returns the daemons among `records` to which `own` keeps links. Daemons pick different ones,
    /// so that the load is spread.
    #[must_use]
    pub fn choose<'r>(
        &self,
        own: &MemberId,
        records: impl Iterator<Item = &'r MemberRecord>,
    ) -> Vec<&'r MemberRecord> {
        if self.is_empty() {
            return Vec::new();
        }
        let mut ranked = Vec::new();
        for record in records {
            let Some(endpoint) = &record.endpoint else {
                continue;
            };
            let pair = (endpoint.service.clone(), record.region.clone());
            if record.is_leaving || !self.pairs.contains(&pair) {
                continue;
            }
            let mut hasher = Xxh3::new();
            hasher.write(own.as_bytes());
            hasher.write(record.id.as_bytes());
            ranked.push((hasher.finish(), pair, record));
        }
        ranked.sort_unstable_by_key(|(hash, _, _)| *hash);
        let mut counts: HashMap<(ServiceName, RegionName), usize> = HashMap::new();
        let mut chosen = Vec::new();
        for (_, pair, record) in ranked {
            let count = counts.entry(pair).or_default();
            if *count >= MAX_SERVICE_LINKS || chosen.len() >= MAX_REMOTE_LINKS {
                continue;
            }
            *count += 1;
            chosen.push(record);
        }
        chosen
    }
}
