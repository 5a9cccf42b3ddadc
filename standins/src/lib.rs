//! Stand-ins for the platform and for upstreams, for tests, the demo and measurements.

mod announcer;
mod answer_body;
mod load_history;
pub mod memory_platform;
pub mod millis;
pub mod platform_faults;
pub mod platform_server;
pub mod port_holder;
pub mod relay;
mod relay_pump;
pub mod run_log;
pub mod upstream;
mod upstream_call;
pub mod upstream_faults;
mod upstream_life;
pub mod upstream_next;
pub mod upstream_settings;
mod upstream_state;
pub mod upstream_stats;
mod upstream_switch;
pub mod wait;
