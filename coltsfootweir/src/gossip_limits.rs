//! Timeouts, intervals and size limits of the gossip.

use std::time::Duration;

/// Interval between two calls of [`GossipState::tick`](crate::gossip::GossipState::tick).
pub const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);

/// Timeouts, intervals and size limits of one member's gossip.
#[derive(Clone, Debug)]
pub struct GossipLimits {
    /// Time after which a suspect that has not refuted the suspicion is declared dead.
    pub suspect_timeout: Duration,
    /// Time for which the entry of a dead or left member is kept.
    pub entry_retention: Duration,
    /// Time for which a crash fact is kept.
    pub crash_retention: Duration,
    /// Minimum time between two table repairs that one member starts.
    pub repair_interval: Duration,
    /// Minimum time between two table repairs during the first [`GossipLimits::join_time`].
    pub join_interval: Duration,
    /// Time after the start during which a member counts as joining.
    pub join_time: Duration,
    /// Minimum time between two repairs of the served generations that one member starts.
    pub served_interval: Duration,
    /// Minimum time between two repairs of the facts that one member starts.
    pub facts_interval: Duration,
    /// Interval between attempts to reach a dead member and a seed that is not a live member.
    pub reconnect_interval: Duration,
    /// Interval between the periodic exchanges over the link that one member starts.
    pub link_interval: Duration,
    /// Time without contact after which a region counts as unreachable.
    pub region_timeout: Duration,
    /// Time after which a member that doesn't hold the link job may fetch a head over the link.
    pub link_fallback: Duration,
    /// Number of members of a region that hold the link job.
    pub link_members: usize,
    /// Number of members of the own region to which an urgent change is pushed.
    pub fan_out: usize,
    /// Number of members that are asked to probe a suspect.
    pub probers: usize,
    /// Number of exchanges per tick while the floor is requested.
    pub floor_peers: usize,
    /// Maximum number of changed entries in a message.
    pub message_entries: usize,
    /// Maximum number of served generations in a message.
    pub message_served: usize,
    /// Maximum number of changed entries in a message over the link.
    pub remote_entries: usize,
    /// Maximum number of served generations in a message over the link.
    pub remote_served: usize,
    /// Number of times a holder of the link job sends a change over the link.
    pub remote_sends: u32,
    /// Maximum number of facts in a message.
    pub message_facts: usize,
    /// Maximum number of table buckets that one repair covers.
    pub repair_buckets: usize,
    /// Number of times an entry or fact is sent, per doubling of the number of members.
    pub entry_sends: u32,
    /// Number of times a served generation is sent, per doubling of the number of members.
    pub served_sends: u32,
}

impl Default for GossipLimits {
    fn default() -> GossipLimits {
        GossipLimits {
            suspect_timeout: Duration::from_secs(8),
            entry_retention: Duration::from_secs(3600),
            crash_retention: Duration::from_secs(600),
            repair_interval: Duration::from_secs(10),
            join_interval: Duration::from_secs(1),
            join_time: Duration::from_secs(30),
            served_interval: Duration::from_secs(5),
            facts_interval: Duration::from_secs(3),
            reconnect_interval: Duration::from_secs(10),
            link_interval: Duration::from_secs(4),
            region_timeout: Duration::from_secs(25),
            link_fallback: Duration::from_secs(5),
            link_members: 2,
            fan_out: 3,
            probers: 2,
            floor_peers: 3,
            message_entries: 10,
            message_served: 160,
            remote_entries: 40,
            remote_served: 320,
            remote_sends: 1,
            message_facts: 16,
            repair_buckets: 16,
            entry_sends: 3,
            served_sends: 1,
        }
    }
}
