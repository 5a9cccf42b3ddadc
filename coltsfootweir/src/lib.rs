//! Configuration distribution for a service mesh.
//!
//! One daemon stands beside each upstream VM. Together the daemons route calls, guard the upstreams
//! and carry out moves of traffic from one upstream version to another.

pub mod announce;
pub mod answer_cache;
pub mod balance;
pub mod booking;
pub mod booking_decision;
pub mod booking_key;
pub mod deadline;
pub mod endpoint_state;
pub mod evidence;
pub mod fact;
pub mod fingerprint;
pub mod guard;
pub mod ids;
pub mod load_report;
pub mod member;
pub mod outcome;
pub mod platform;
pub mod poison;
pub mod record;
pub mod retry;
pub mod snapshot;
