//! The operator's commands and the demo, as a library under the programs.

pub mod apply;
pub mod arguments;
pub mod command;
pub mod failure;
