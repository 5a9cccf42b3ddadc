//! Configuration distribution for a service mesh.
//!
//! One daemon stands beside each upstream VM. Together the daemons route calls, guard the upstreams
//! and carry out moves of traffic from one upstream version to another. [`MeshDaemon`] is a whole
//! daemon; the modules below it hold its decisions, which are pure. Hidden ones are public for tests only.
//!
//! # Example
//!
//! ```
//! use std::time::SystemTime;
//!
//! use coltsfootweir::ConfigSnapshot;
//! use coltsfootweir::RouteTable;
//! use coltsfootweir::parse_records;
//!
//! let text = r#"[
//!   {"kind": "upstream-version", "schema": 1, "service": "stalls", "version": "v1", "share": 100},
//!   {"kind": "route", "schema": 1, "name": "free", "service": "stalls", "prefix": "/stalls",
//!    "class": "check", "timeout_ms": 2000}
//! ]"#;
//! let records = parse_records(text, SystemTime::now()).expect("records are well formed");
//! let snapshot = ConfigSnapshot::default().with_records(records).expect("references resolve");
//! let table = RouteTable::compile(&snapshot).expect("the snapshot is closed");
//! assert_eq!(&*table.find("/stalls/free").expect("a route").name, "free");
//! ```

pub mod accept;
pub mod announce;
#[doc(hidden)]
pub mod answer_cache;
#[doc(hidden)]
pub mod balance;
#[doc(hidden)]
pub mod booking;
mod booking_call;
#[doc(hidden)]
pub mod booking_decision;
mod booking_entry;
#[doc(hidden)]
pub mod booking_key;
#[doc(hidden)]
pub mod call;
mod call_server;
mod claim;
#[doc(hidden)]
pub mod claim_removal;
#[doc(hidden)]
pub mod claim_row;
#[doc(hidden)]
pub mod clock;
mod config_pull;
#[doc(hidden)]
pub mod config_state;
mod config_task;
mod context;
mod control_client;
mod control_server;
mod crash_watch;
pub mod daemon;
mod daemon_build;
mod daemon_parts;
#[doc(hidden)]
pub mod deadline;
pub mod decision;
pub mod dialer;
mod endpoint_index;
#[doc(hidden)]
pub mod endpoint_state;
#[doc(hidden)]
pub mod evidence;
#[doc(hidden)]
pub mod evidence_alert;
#[doc(hidden)]
pub mod evidence_pool;
mod evidence_slice;
mod evidence_task;
mod exchange;
mod excluded_slices;
#[doc(hidden)]
pub mod fact;
#[doc(hidden)]
pub mod facts_table;
#[doc(hidden)]
pub mod fingerprint;
#[doc(hidden)]
pub mod floor;
#[doc(hidden)]
pub mod gossip;
#[doc(hidden)]
pub mod gossip_limits;
#[doc(hidden)]
pub mod gossip_message;
mod gossip_task;
#[doc(hidden)]
pub mod guard;
mod guard_call;
mod guard_waiters;
mod hand_over;
#[doc(hidden)]
pub mod head_claims;
mod head_guard;
#[doc(hidden)]
pub mod head_history;
mod head_mark;
#[doc(hidden)]
pub mod head_row;
pub mod http_platform;
pub mod http_pool;
pub mod ids;
mod ingress;
mod kernel;
#[doc(hidden)]
pub mod key_age;
pub mod lease;
mod lenient;
pub mod link;
mod listener_close;
#[doc(hidden)]
pub mod load_report;
pub mod logging;
pub mod member;
#[doc(hidden)]
pub mod message_format;
mod metrics;
mod metrics_task;
mod move_work;
pub mod mover;
mod mover_task;
#[doc(hidden)]
pub mod object_sweep;
mod object_task;
pub mod offer;
#[doc(hidden)]
pub mod outcome;
#[doc(hidden)]
pub mod pace;
#[doc(hidden)]
pub mod packed;
mod peer_lists;
pub mod platform;
#[doc(hidden)]
pub mod poison;
#[doc(hidden)]
pub mod poll_pace;
#[doc(hidden)]
pub mod pull_message;
#[doc(hidden)]
pub mod rank;
pub mod record;
pub mod record_fault;
mod record_fields;
mod repair;
pub mod reports;
#[doc(hidden)]
pub mod retention_tally;
mod retention_task;
pub mod retry;
#[doc(hidden)]
pub mod route_table;
#[doc(hidden)]
pub mod run_ledger;
mod running_count;
mod schedule;
pub mod schema;
pub mod schema_v1;
mod schema_v2;
pub mod seed_row;
mod seed_task;
mod sequential;
pub mod settings;
pub mod sidecar;
pub mod slo;
pub mod snapshot;
#[doc(hidden)]
pub mod snapshot_change;
mod snapshot_delta;
mod snapshot_validation;
mod spread_queue;
mod stratum;
mod token_bucket;
mod tombstones;
mod upstream;
mod upstream_task;
#[doc(hidden)]
pub mod verdict;
mod verdict_rules;
#[doc(hidden)]
pub mod view;
mod view_digests;

pub use crate::accept::accept_change;
pub use crate::daemon::MeshDaemon;
pub use crate::http_platform::HttpPlatform;
pub use crate::platform::PlatformStore;
pub use crate::route_table::RouteTable;
pub use crate::schema::parse_records;
pub use crate::settings::DaemonArgs;
pub use crate::settings::DaemonSettings;
pub use crate::snapshot::ConfigSnapshot;
