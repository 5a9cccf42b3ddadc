//! Configuration distribution for a service mesh.
//!
//! One daemon stands beside each upstream VM. Together the daemons route calls, guard the upstreams
//! and carry out moves of traffic from one upstream version to another.

pub mod announce;
pub mod evidence;
pub mod fact;
pub mod http_platform;
pub mod ids;
pub mod member;
pub mod platform;
pub mod record;
pub mod snapshot;
