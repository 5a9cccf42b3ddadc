//! Schedule of a member's exchanges: periodic work, urgent pushes, and reactions to failures.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::gossip::GossipState;
use crate::gossip::is_due;
use crate::gossip_limits::GOSSIP_INTERVAL;
use crate::gossip_message::GossipAction;
use crate::gossip_message::GossipMessage;
use crate::gossip_message::LinkCause;
use crate::member::MemberHash;
use crate::member::MemberState;
use crate::member::member_hash;

/// Number of missed tick intervals that show that this process was paused. The suspicion timeouts then
/// restart, as suspects had no chance to refute.
const PAUSE_TICKS: u32 = 3;

impl GossipState {
    /// Expires old state and returns the exchanges of this interval.
    pub fn tick(&mut self, now: Duration) -> Vec<GossipAction> {
        self.advance(now);
        let paused = self
            .last
            .tick
            .is_some_and(|last| now > last + GOSSIP_INTERVAL * PAUSE_TICKS);
        self.last.tick = Some(now);
        if paused {
            self.view.renew_suspicions(now);
        }
        self.expire();
        self.refresh_peers();
        let mut actions = self.exchange_local();
        actions.extend(self.exchange_remote());
        actions.extend(self.reconnect());
        actions.extend(self.take_urgent());
        actions
    }

    /// Records that an exchange with `peer` failed. A peer of the own region becomes a suspect, and a
    /// few other members are asked to probe it.
    pub fn on_failure(&mut self, peer: SocketAddr, now: Duration) -> Vec<GossipAction> {
        self.advance(now);
        let id = peer.to_string();
        let member = member_hash(&id);
        let local = self
            .view
            .get(&id)
            .is_some_and(|entry| entry.region == self.region);
        if !local || !self.view.suspect(member, now) {
            return Vec::new();
        }
        self.spread_entry(member);
        self.refresh_peers();
        let others: Vec<MemberHash> = self
            .peers
            .local
            .iter()
            .copied()
            .filter(|local| *local != member)
            .collect();
        let mut actions = Vec::new();
        for prober in choose(&mut self.rng, &others, self.limits.probers) {
            let Some(address) = self.address_of(prober) else {
                continue;
            };
            let mut message = self.message_to(Some(prober), LinkCause::Probe);
            message.probe = Some(id.clone().into_boxed_str());
            actions.push(exchange(address, message, LinkCause::Probe, false));
        }
        actions
    }

    /// Returns pushes to a few members; called right after a change that should spread immediately.
    pub fn push_urgent(&mut self, now: Duration) -> Vec<GossipAction> {
        self.advance(now);
        self.urgent_due = true;
        self.take_urgent()
    }

    /// Returns the pushes and probes triggered by received messages.
    pub fn take_urgent(&mut self) -> Vec<GossipAction> {
        self.refresh_peers();
        let mut actions = Vec::new();
        for suspect in std::mem::take(&mut self.probes) {
            actions.extend(self.exchange_with(suspect, LinkCause::Probe));
        }
        if !std::mem::take(&mut self.urgent_due) {
            return actions;
        }
        for peer in choose(&mut self.rng, &self.peers.local, self.limits.fan_out) {
            actions.extend(self.exchange_with(peer, LinkCause::Urgent));
        }
        if !self.peers.is_link_holder {
            return actions;
        }
        let remote_links: Vec<MemberHash> = self
            .peers
            .remote_links
            .values()
            .flatten()
            .copied()
            .collect();
        for peer in remote_links {
            actions.extend(self.exchange_with(peer, LinkCause::Urgent));
        }
        actions
    }

    fn expire(&mut self) {
        let dead = self.view.expire(
            &self.region,
            self.limits.suspect_timeout,
            self.limits.entry_retention,
            self.now,
        );
        for member in dead {
            self.spread_entry(member);
        }
        self.facts.expire(self.now);
    }

    fn exchange_local(&mut self) -> Vec<GossipAction> {
        let count = if self.floor_wanted {
            self.limits.floor_peers
        } else {
            1
        };
        let mut actions = Vec::new();
        for peer in choose(&mut self.rng, &self.peers.local, count) {
            actions.extend(self.exchange_with(peer, LinkCause::Periodic));
        }
        if actions.is_empty() {
            actions.extend(self.exchange_seed());
        }
        actions
    }

    fn exchange_remote(&mut self) -> Vec<GossipAction> {
        let mut actions = Vec::new();
        // After a restart of the whole region only the other regions can answer the floor request.
        let needs_floor = self.floor_wanted && !self.floor_answered;
        let due = needs_floor || is_due(self.last.link, self.limits.link_interval, self.now);
        if !self.peers.is_link_holder || !due {
            return actions;
        }
        self.last.link = Some(self.now);
        let mut chosen = Vec::new();
        for members in self.peers.remote.values() {
            chosen.extend(members.choose(&mut self.rng).copied());
        }
        for peer in chosen {
            actions.extend(self.exchange_with(peer, LinkCause::Periodic));
        }
        actions
    }

    /// Exchanges with a dead member and with a seed that is not a live member, so that partitions
    /// heal and groups of members without entries of each other merge.
    fn reconnect(&mut self) -> Vec<GossipAction> {
        let mut actions = Vec::new();
        if self.last.reconnect.is_none() {
            self.last.reconnect = Some(self.now);
        }
        if !is_due(
            self.last.reconnect,
            self.limits.reconnect_interval,
            self.now,
        ) {
            return actions;
        }
        self.last.reconnect = Some(self.now);
        actions.extend(self.exchange_seed());
        let mut dead = Vec::new();
        for (member, record) in self.view.records() {
            if record.entry.state == MemberState::Dead && record.entry.region == self.region {
                dead.push(member);
            }
        }
        if let Some(peer) = dead.choose(&mut self.rng).copied() {
            actions.extend(self.exchange_with(peer, LinkCause::Probe));
        }
        actions
    }

    fn exchange_seed(&mut self) -> Option<GossipAction> {
        let mut unknown = Vec::new();
        for seed in &self.seeds {
            let known = self.view.get(&seed.to_string());
            if !known.is_some_and(|entry| entry.state.is_live()) {
                unknown.push(*seed);
            }
        }
        let seed = *unknown.choose(&mut self.rng)?;
        let message = self.message_to(None, LinkCause::Periodic);
        Some(exchange(seed, message, LinkCause::Periodic, false))
    }

    pub(crate) fn exchange_with(
        &mut self,
        peer: MemberHash,
        cause: LinkCause,
    ) -> Option<GossipAction> {
        let record = self.view.record(peer)?;
        let crosses = record.entry.region != self.region;
        let address = record.address;
        let message = self.message_to(Some(peer), cause);
        Some(exchange(address, message, cause, crosses))
    }

    fn address_of(&self, member: MemberHash) -> Option<SocketAddr> {
        self.view.record(member).map(|record| record.address)
    }
}

fn choose(rng: &mut ChaCha8Rng, members: &[MemberHash], count: usize) -> Vec<MemberHash> {
    members.sample(rng, count).copied().collect()
}

fn exchange(
    to: SocketAddr,
    message: GossipMessage,
    cause: LinkCause,
    crosses: bool,
) -> GossipAction {
    GossipAction::Exchange {
        to,
        message,
        cause,
        crosses,
    }
}
