//! Live members by region and the holders of the link job.

use std::collections::BTreeMap;

use crate::gossip::GossipState;
use crate::ids::RegionName;
use crate::member::MemberHash;
use crate::member::member_hash;
use crate::rank::rank_members;

/// Job of the members that exchange with the other region.
pub const LINK_JOB: &str = "link";

/// Live members by region, kept until the set of live members changes.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerLists {
    pub(crate) revision: u64,
    /// Live members of the own region, without the member itself.
    pub(crate) near: Vec<MemberHash>,
    /// Live members of each other region.
    pub(crate) far: BTreeMap<RegionName, Vec<MemberHash>>,
    /// Holders of the link job in each other region.
    pub(crate) far_links: BTreeMap<RegionName, Vec<MemberHash>>,
    /// Whether the member itself holds the link job.
    pub(crate) links: bool,
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
                lists.near.push(member);
                continue;
            }
            lists
                .far
                .entry(record.entry.region.clone())
                .or_default()
                .push(member);
        }
        lists.links = self.first_ranked(&self.region).contains(&own);
        for region in lists.far.keys() {
            lists
                .far_links
                .insert(region.clone(), self.first_ranked(region));
        }
        self.peers = lists;
    }

    fn first_ranked(&self, region: &str) -> Vec<MemberHash> {
        let ranked = rank_members(LINK_JOB, self.view.live_in(region));
        ranked
            .iter()
            .take(self.limits.link_members)
            .map(|entry| member_hash(&entry.id))
            .collect()
    }
}
