//! Large transfers over the links between daemons: their order, their pace and their memory.
//!
//! Calls, results and liveness checks are small and are written to a link at once. Answers and
//! configurations that take longer go in pieces, and all links of a daemon share one limit on the
//! bytes on the way, since they share the network connection of its VM.

pub mod call_age;
pub mod config_pieces;
pub mod dial_error;
pub mod dialed_limits;
pub mod frame_io;
pub mod frame_queue;
pub mod link_side;
pub mod uplink;
pub mod uplink_schedule;
