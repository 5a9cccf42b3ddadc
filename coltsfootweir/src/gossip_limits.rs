//! Times and sizes of the gossip.

use std::time::Duration;

/// Time between two calls of the gossip's tick.
pub const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);

/// Times and sizes of the gossip of one member.
#[derive(Clone, Debug)]
pub struct GossipLimits {
    /// Time after which a suspect that did not refute is dead.
    pub suspect_timeout: Duration,
    /// Time for which the entry of a member that is dead or left is kept.
    pub entry_retention: Duration,
    /// Time for which a crash fact is kept.
    pub crash_retention: Duration,
    /// Time between two repairs of the table that one member starts.
    pub repair_interval: Duration,
    /// Time between two repairs of the table that a member starts in its first
    /// [`GossipLimits::join_time`].
    pub join_interval: Duration,
    /// Time after the start in which a member counts as joining.
    pub join_time: Duration,
    /// Time between two repairs of the served generations that one member starts.
    pub served_interval: Duration,
    /// Time between two repairs of the facts that one member starts.
    pub facts_interval: Duration,
    /// Time between two attempts to reach a member held dead, or a seed that is no member.
    pub reconnect_interval: Duration,
    /// Time between two periodic exchanges over the link that one member starts.
    pub link_interval: Duration,
    /// Time without word from a region after which it counts as unreachable.
    pub region_timeout: Duration,
    /// Time after which a member without the link job fetches a head over the link.
    pub link_fallback: Duration,
    /// Members of a region that exchange with the other region.
    pub link_members: usize,
    /// Members to which urgent news is pushed.
    pub fan_out: usize,
    /// Members that are asked to probe a suspect.
    pub probers: usize,
    /// Exchanges a tick while the floor is wanted.
    pub floor_peers: usize,
    /// Changed entries in one message.
    pub message_entries: usize,
    /// Served rows in one message.
    pub message_served: usize,
    /// Changed entries in one message over the link.
    pub far_entries: usize,
    /// Served rows in one message over the link.
    pub far_served: usize,
    /// Times a holder of the link job sends a change over the link.
    pub far_sends: u32,
    /// Facts in one message.
    pub message_facts: usize,
    /// Buckets of the table that one repair covers.
    pub repair_buckets: usize,
    /// Times an entry or fact is sent, per doubling of the number of members.
    pub entry_sends: u32,
    /// Times a served row is sent, per doubling of the number of members.
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
            far_entries: 40,
            far_served: 320,
            far_sends: 1,
            message_facts: 16,
            repair_buckets: 16,
            entry_sends: 3,
            served_sends: 1,
        }
    }
}
