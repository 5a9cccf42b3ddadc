//! Measurements of the programs, started as real processes on loopback.

pub mod announcer;
mod calls;
pub mod churn;
mod cost;
pub mod deployment;
pub mod experiment;
pub mod failure;
pub mod fit;
pub mod fleet;
pub mod load;
pub mod probe;
pub mod process;
pub mod records;
pub mod report;
pub mod sample;
pub mod tally;
pub mod upstreams;
pub mod usage;
