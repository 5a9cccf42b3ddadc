//! Configuration distribution for a service mesh.
//!
//! One daemon stands beside each upstream VM. Together the daemons route calls, guard the upstreams
//! and carry out moves of traffic from one upstream version to another.

pub mod accept;
pub mod announce;
pub mod config_state;
pub mod evidence;
pub mod fact;
pub mod head_mark;
pub mod head_row;
pub mod ids;
pub mod member;
pub mod platform;
pub mod record;
pub mod record_fault;
pub mod record_fields;
pub mod route_table;
pub mod schema;
pub mod schema_v1;
pub mod schema_v2;
pub mod snapshot;
pub mod snapshot_change;
pub mod snapshot_closure;
pub mod snapshot_delta;
