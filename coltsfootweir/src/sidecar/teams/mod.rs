//! Teams: owners of API keys, their priorities and limits.

pub mod caller;
pub mod config_freshness;
pub mod freshness_task;
pub mod key_digest;
pub mod team;
pub mod team_table;
