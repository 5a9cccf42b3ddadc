//! Configuration distribution for a service mesh.
//!
//! One daemon stands beside each upstream VM. Together the daemons route calls, guard the upstreams
//! and carry out moves of traffic from one upstream version to another.

pub mod announce;
pub mod decision;
pub mod evidence;
pub mod evidence_pool;
pub mod fact;
pub mod ids;
pub mod lease;
pub mod member;
mod move_work;
pub mod mover;
pub mod pace;
pub mod platform;
pub mod record;
pub mod sequential;
pub mod slo;
pub mod snapshot;
pub mod verdict;
pub mod verdict_rules;
