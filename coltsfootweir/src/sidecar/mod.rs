//! Sidecar mode: a daemon on a platform that has its own endpoint announcements, row store and
//! readiness checks.
//!
//! [`platform_adapter::PlatformAdapter`] abstracts the platform's names and formats. A single thread runs all
//! tasks: client requests, calls from other daemons, membership, configuration and rollouts.
//! Modules such as [`rollout`], [`member_table`] and [`mesh_config`] hold only the decisions and
//! perform no I/O.

#[doc(hidden)]
pub mod announcement;
#[doc(hidden)]
pub mod answer;
pub mod call_attempts;
#[doc(hidden)]
pub mod client_connection;
#[doc(hidden)]
pub mod client_limits;
pub mod client_response;
pub mod config_holder;
pub mod config_task;
pub mod control_server;
pub mod daemon;
#[doc(hidden)]
pub mod departures;
pub mod endpoint_request;
pub mod event_log;
#[doc(hidden)]
pub mod fair_queue;
#[doc(hidden)]
pub mod frame;
#[doc(hidden)]
pub mod hedging;
#[doc(hidden)]
pub mod http_body;
#[doc(hidden)]
pub mod http_exchange;
#[doc(hidden)]
pub mod link;
pub mod link_table;
pub mod local_endpoint;
pub mod member_directory;
#[doc(hidden)]
pub mod member_table;
pub mod member_task;
#[doc(hidden)]
pub mod mesh_config;
#[doc(hidden)]
pub mod message_syntax;
pub mod metrics;
pub mod peer_link;
pub mod peer_server;
#[doc(hidden)]
pub mod placement;
#[doc(hidden)]
pub mod planned_stop;
pub mod platform_adapter;
#[doc(hidden)]
pub mod rate_limits;
#[doc(hidden)]
pub mod refusal_memory;
#[doc(hidden)]
pub mod reported_loads;
pub mod request_server;
#[doc(hidden)]
pub mod response_head;
#[doc(hidden)]
pub mod rollout;
pub mod rollout_task;
#[doc(hidden)]
pub mod rollouts;
#[doc(hidden)]
pub mod route_explanation;
#[doc(hidden)]
pub mod run_times;
pub mod running_call;
pub mod sent_answer;
pub mod settings;
pub mod sidecar_state;
pub mod slot_queue;
#[doc(hidden)]
pub mod spread;
pub mod store_client;
#[doc(hidden)]
pub mod store_era;
#[doc(hidden)]
pub mod teams;
#[doc(hidden)]
pub mod uploads;
#[doc(hidden)]
pub mod wait_factors;
#[doc(hidden)]
pub mod warmup;
#[doc(hidden)]
pub mod zone_order;
