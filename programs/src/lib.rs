//! The operator's commands and the demo, as a library under the programs.
