//! A daemon on a platform with endpoints, a store of rows and readiness checks of its own.
//!
//! The platform's names and formats are behind [`dialect::PlatformDialect`]. One thread runs
//! everything: requests of clients, calls of other daemons, membership, configuration and moves of
//! traffic. Modules without `task` in their docs are pure decisions.

#[doc(hidden)]
pub mod announcement;
pub mod call_attempts;
pub mod config_holder;
pub mod config_task;
pub mod control_server;
pub mod daemon;
pub mod dialect;
pub mod endpoint_desk;
pub mod event_log;
#[doc(hidden)]
pub mod frame;
#[doc(hidden)]
pub mod http_exchange;
pub mod link_table;
pub mod member_directory;
#[doc(hidden)]
pub mod member_table;
pub mod member_task;
#[doc(hidden)]
pub mod mesh_config;
pub mod peer_link;
pub mod peer_server;
pub mod request_server;
#[doc(hidden)]
pub mod rollout;
pub mod rollout_task;
#[doc(hidden)]
pub mod run_times;
pub mod running_call;
pub mod settings;
pub mod sidecar_state;
pub mod slot_queue;
pub mod store_client;
pub mod tally;
#[doc(hidden)]
pub mod told_loads;
#[doc(hidden)]
pub mod zone_order;
