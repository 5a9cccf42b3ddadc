//! Stand-ins for the platform and for upstreams, for tests, the demo and measurements.

pub mod memory_platform;
pub mod millis;
pub mod platform_faults;
pub mod platform_server;
