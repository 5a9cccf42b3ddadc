//! Live members by region, and the holders of the link job.

use std::collections::BTreeMap;

use crate::gossip::GossipState;
use crate::ids::RegionName;
use crate::member::MemberHash;
use crate::member::member_hash;
use crate::rank::rank_members;

/// Name of the job whose holders exchange with the other regions.
pub const LINK_JOB: &str = "link";

/// Live members by region, cached until the set of live members changes.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerLists {
    /// Revision of the view from which the lists were built.
    pub(crate) revision: u64,
    /// Live members of the own region, except the member itself.
    pub(crate) local: Vec<MemberHash>,
    /// Live members of each remote region.
    pub(crate) remote: BTreeMap<RegionName, Vec<MemberHash>>,
    /// Holders of the link job in each remote region.
    pub(crate) remote_links: BTreeMap<RegionName, Vec<MemberHash>>,
    /// Whether the member itself holds the link job.
    pub(crate) is_link_holder: bool,
}

impl GossipState {
    /// Rebuilds the peer lists if the set of live members changed.
    pub(crate) fn refresh_peers(&mut self) {
        if self.peers.revision == self.view.revision() {
            return;
        }
        let own = self.view.own_hash();
        let mut lists = PeerLists {
            revision: self.view.revision(),
            ..PeerLists::default()
        };
        for (member, record) in self.view.records() {
            if member == own || !record.entry.state.is_live() {
                continue;
            }
            if record.entry.region == self.region {
                lists.local.push(member);
                continue;
            }
            lists
                .remote
                .entry(record.entry.region.clone())
                .or_default()
                .push(member);
        }
        lists.is_link_holder = self.link_holders(&self.region).contains(&own);
        for region in lists.remote.keys() {
            lists
                .remote_links
                .insert(region.clone(), self.link_holders(region));
        }
        self.peers = lists;
    }

    fn link_holders(&self, region: &str) -> Vec<MemberHash> {
        let ranked = rank_members(LINK_JOB, self.view.live_in(region));
        ranked
            .iter()
            .take(self.limits.link_members)
            .map(|entry| member_hash(&entry.id))
            .collect()
    }
}
