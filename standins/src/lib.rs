//! Stand-ins for the platform and for upstreams, for tests, the demo and measurements.
