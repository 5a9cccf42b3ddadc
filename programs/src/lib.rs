//! The operator's commands and the demo, as a library under the programs.

pub mod apply;
pub mod arguments;
pub mod command;
pub mod demo;
mod demo_fleet;
mod demo_traffic;
pub mod failure;
pub mod hand_out;
