//! Measurements of the programs, started as real processes on loopback.

pub mod announcer;
pub mod churn;
mod cost;
pub mod deployment;
pub mod experiment;
pub mod failure;
pub mod fit;
pub mod fleet;
pub mod probe;
pub mod process;
pub mod records;
pub mod report;
pub mod sample;
pub mod usage;
