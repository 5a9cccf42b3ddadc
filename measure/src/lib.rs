//! Measurements of the programs, started as real processes on loopback.

pub mod announcer;
mod call_fleet;
mod calls;
pub mod churn;
mod convergence;
mod cost;
pub mod deployment;
pub mod experiment;
pub mod failure;
pub mod fit;
pub mod fleet;
pub mod load;
mod move_case;
mod move_traffic;
mod moves;
mod overload;
pub mod poller;
pub mod probe;
pub mod process;
pub mod records;
pub mod report;
pub mod sample;
pub mod tally;
pub mod upstreams;
pub mod usage;
pub mod version_fault;
pub mod watch;
