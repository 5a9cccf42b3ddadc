//! Planned stop of the daemon: which requests are still taken, and when the last one is answered.

pub mod stop_control;
pub mod stop_window;
