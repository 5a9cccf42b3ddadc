//! Limits on what clients and strangers may take of the daemon's memory and descriptors.

pub mod accept_loop;
pub mod body_intake;
pub mod byte_account;
pub mod connection_limit;
pub mod host_guard;
