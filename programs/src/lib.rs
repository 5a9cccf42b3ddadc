//! The operator's commands, the demo and the run of a daemon, as a library under the programs.

pub mod accepted;
pub mod apply;
pub mod arguments;
pub mod command;
pub mod daemon_client;
pub mod daemon_run;
pub mod demo;
mod demo_fleet;
mod demo_traffic;
pub mod explain;
pub mod failure;
pub mod fleet;
pub mod get;
pub mod hand_out;
pub mod input;
pub mod mesh;
pub mod moves;
pub mod output;
pub mod patient_store;
pub mod remove;
pub mod report;
mod report_link;
mod report_slo;
pub mod status;
pub mod text_table;
pub mod validate;
pub mod wait;
