//! Configuration distribution for a service mesh.
//!
//! One daemon stands beside each upstream VM. Together the daemons route calls, guard the upstreams
//! and carry out moves of traffic from one upstream version to another.

pub mod accept;
pub mod announce;
pub mod answer_cache;
pub mod balance;
pub mod booking;
pub mod booking_key;
pub mod deadline;
pub mod evidence;
mod exchange;
pub mod fact;
pub mod fingerprint;
pub mod guard;
pub mod http_platform;
pub mod config_state;
pub mod evidence;
pub mod fact;
pub mod head_row;
pub mod facts_table;
pub mod floor;
pub mod gossip;
pub mod gossip_limits;
pub mod gossip_message;
pub mod ids;
pub mod load_report;
pub mod member;
pub mod outcome;
pub mod platform;
pub mod poison;
pub mod record;
pub mod retry;
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
