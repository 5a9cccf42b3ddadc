//! Configuration distribution for a service mesh.
//!
//! One daemon stands beside each upstream VM. Together the daemons route calls, guard the upstreams
//! and carry out moves of traffic from one upstream version to another.

pub mod announce;
pub mod evidence;
mod exchange;
pub mod fact;
pub mod facts_table;
pub mod floor;
pub mod gossip;
pub mod gossip_limits;
pub mod gossip_message;
pub mod ids;
pub mod member;
pub mod packed;
pub mod peer_lists;
pub mod platform;
pub mod rank;
pub mod record;
mod repair;
mod schedule;
pub mod snapshot;
mod spread_queue;
pub mod view;
