//! How a configuration spreads: who has it, who is asked for it and who is told of it.

pub mod config_fetch;
pub mod config_spread;
