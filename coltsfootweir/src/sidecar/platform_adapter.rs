//! Interface to the platform a sidecar runs on: converts between the platform's names and formats
//! and the daemon's types.
//!
//! Implementations hold no state and make no decisions.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::ServiceName;
use crate::ids::VersionName;
use crate::ids::ZoneName;
use crate::sidecar::announcement::EndpointAnnouncement;
use crate::sidecar::announcement::EndpointDeparture;
use crate::sidecar::mesh_config::MeshConfig;
use crate::sidecar::settings::SidecarSettings;
use crate::sidecar::store_era::store_version::StoreEra;
use crate::sidecar::store_era::store_version::StoreVersion;

/// Error for a message of the platform that could not be parsed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformFormatError {
    /// Kind of message.
    pub subject: &'static str,
    /// Description of the fault.
    pub reason: Box<str>,
}

impl PlatformFormatError {
    /// Creates an error for a kind of message.
    #[must_use]
    pub fn new(subject: &'static str, reason: impl fmt::Display) -> PlatformFormatError {
        PlatformFormatError {
            subject,
            reason: reason.to_string().into(),
        }
    }
}

/// Subject of errors about a configuration.
pub const CONFIG_SUBJECT: &str = "configuration";

impl PlatformFormatError {
    /// Returns whether a configuration could not be parsed.
    #[must_use]
    pub fn is_config(&self) -> bool {
        self.subject == CONFIG_SUBJECT
    }
}

impl fmt::Display for PlatformFormatError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} cannot be read: {}", self.subject, self.reason)
    }
}

impl std::error::Error for PlatformFormatError {}

/// Names of the HTTP headers that the daemon reads or sets, in lower case.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Id of a client's request attempt.
    pub request_id: &'static str,
    /// Time until the caller's timeout, in milliseconds.
    pub time_left: &'static str,
    /// Signature that shows that a response comes from an endpoint.
    pub signature: &'static str,
    /// Id of the only endpoint that may run the request.
    pub expected_endpoint: &'static str,
    /// Set on a response when the endpoint did not run the request.
    pub not_run: &'static str,
    /// Service on the VM that the request comes from.
    pub caller: &'static str,
    /// Team of the client.
    pub team: &'static str,
    /// API key of the client.
    pub authorization: &'static str,
    /// Time for which an endpoint stays cold, in milliseconds, on its health responses.
    pub warmup_left: &'static str,
    /// Era of the store, on its responses.
    pub store_era: &'static str,
}

/// A call from the platform or the endpoint to the daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlCall {
    /// Asks whether the daemon is ready for clients.
    Readiness,
    /// Announces the state of an endpoint.
    Announce(EndpointAnnouncement),
    /// Announces that an endpoint is shutting down.
    Depart(EndpointDeparture),
    /// Requests the metrics in text format.
    Metrics,
    /// A call that the daemon does not support.
    Unknown,
    /// A supported call whose content could not be parsed.
    Malformed(PlatformFormatError),
}

/// Tables of the platform's store that the daemon uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreTable {
    /// Orders of the operator: configuration and roll-outs.
    Orders,
    /// Reports of the daemons to the operator.
    Reports,
    /// Member records of the daemons, used for discovery.
    Members,
    /// Departures of endpoints that daemons have acknowledged.
    Departures,
    /// Leases of the holders of rate limits.
    RateLimits,
}

/// A call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreCall {
    /// Reads all rows of a table, starting at a key.
    Read {
        /// The table.
        table: StoreTable,
        /// First key.
        from: Box<str>,
    },
    /// Reads one row of a table; later ones may follow it in the reply.
    ReadRow {
        /// The table.
        table: StoreTable,
        /// Key.
        key: Box<str>,
    },
    /// Waits for changes to a table.
    Watch {
        /// The table.
        table: StoreTable,
        /// Store version; only later changes are returned.
        after: StoreVersion,
        /// Longest time for which the store waits, in milliseconds.
        wait_ms: u64,
    },
    /// Writes rows of one table atomically.
    Write {
        /// The table.
        table: StoreTable,
        /// Versions that rows must have by key; [`StoreVersion::ABSENT`] for a row that must not exist.
        conditions: Vec<(Box<str>, StoreVersion)>,
        /// Keys and new values.
        puts: Vec<(Box<str>, Vec<u8>)>,
        /// Keys of rows to remove.
        removals: Vec<Box<str>>,
    },
}

/// A row of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreRow {
    /// Key.
    pub key: Box<str>,
    /// Value; `None` for a removed row.
    pub value: Option<Vec<u8>>,
    /// Version of the row.
    pub version: StoreVersion,
}

/// Response of the store to a successful call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreReply {
    /// Rows read or changed.
    pub rows: Vec<StoreRow>,
    /// Whether more rows follow the last one.
    pub has_more: bool,
    /// Current version of the store.
    pub version: StoreVersion,
}

/// Reason why a store call failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreFault {
    /// A condition of a write was not met; nothing was written.
    Condition,
    /// The store no longer keeps the requested history, or it has come back from a copy since.
    HistoryGone,
    /// The store rejected the call with this HTTP status and did nothing.
    Refused(u16),
    /// No complete response arrived; a write may have taken effect or may still do so.
    NoAnswer,
    /// The response could not be parsed.
    Unreadable,
}

impl fmt::Display for StoreFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreFault::Condition => f.write_str("condition does not hold"),
            StoreFault::HistoryGone => f.write_str("history is no longer kept"),
            StoreFault::Refused(status) => write!(f, "refused with status {status}"),
            StoreFault::NoAnswer => f.write_str("no answer"),
            StoreFault::Unreadable => f.write_str("unreadable answer"),
        }
    }
}

impl std::error::Error for StoreFault {}

/// A store call as an HTTP request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreRequest {
    /// Method.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// JSON body; may be empty.
    pub body: Vec<u8>,
}

/// An order to shift a service's traffic to a version.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceName,
    /// The version that receives all traffic in the end.
    pub version: VersionName,
    /// Time until the version should receive all traffic.
    pub duration: Duration,
}

impl RolloutOrder {
    /// Returns whether two orders say the same, as far as daemons tell each other of them: in whole
    /// milliseconds.
    #[must_use]
    pub fn says_same(&self, other: &RolloutOrder) -> bool {
        self.service == other.service
            && self.version == other.version
            && self.duration.as_millis() == other.duration.as_millis()
    }
}

/// State of a roll-out as reported to the operator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RolloutPhase {
    /// In progress.
    Active,
    /// The version receives all traffic.
    Done,
    /// The roll-out was reverted; the version receives no traffic.
    TakenBack,
}

/// Content of a row of [`StoreTable::Orders`].
#[derive(Clone, Debug, PartialEq)]
pub enum OrderRow {
    /// The complete configuration.
    Config(MeshConfig),
    /// An order for a roll-out.
    Rollout(RolloutOrder),
    /// An order to evacuate a zone, or its end.
    Evacuation {
        /// The zone.
        zone: ZoneName,
        /// Whether the order is in force; false if its row was removed.
        is_active: bool,
    },
    /// A row that the daemon ignores.
    Other,
}

/// Converts between the platform's names and formats and the daemon's types.
pub trait PlatformAdapter {
    /// Parses the settings of a sidecar.
    ///
    /// # Errors
    /// [`PlatformFormatError`] with the first field that is missing or invalid.
    fn settings(&self, text: &str) -> Result<SidecarSettings, PlatformFormatError>;

    /// Returns the API key in the value of the authorization header; `None` if it has another form.
    fn api_key<'v>(&self, value: &'v [u8]) -> Option<&'v [u8]>;

    /// Returns the header names.
    fn headers(&self) -> &HeaderNames;

    /// Parses a call to the daemon.
    fn control_call(&self, method: &str, path: &str, body: &[u8]) -> ControlCall;

    /// Returns the response body for an accepted announcement. `next` is the address for the endpoint's
    /// next announcements, if they are to go elsewhere.
    fn announce_reply(&self, next: Option<SocketAddr>) -> String;

    /// Parses a row of [`StoreTable::Orders`].
    ///
    /// # Errors
    /// [`PlatformFormatError`] when a configuration or an order cannot be parsed.
    fn order_row(&self, row: &StoreRow) -> Result<OrderRow, PlatformFormatError>;

    /// Builds the report on a roll-out. Returns its key and value in [`StoreTable::Reports`].
    fn rollout_report(&self, order: &RolloutOrder, phase: RolloutPhase) -> (Box<str>, Vec<u8>);

    /// Parses a report on a roll-out. Returns its version and phase, or `None` when it is invalid.
    fn read_report(&self, value: &[u8]) -> Option<(VersionName, RolloutPhase)>;

    /// Builds the HTTP request for a store call.
    fn store_request(&self, call: &StoreCall) -> StoreRequest;

    /// Parses the store's response, whose versions are of the era `era`.
    ///
    /// # Errors
    /// [`StoreFault`] when the status or the body reports a failure, or the body cannot be parsed.
    fn store_reply(
        &self,
        status: u16,
        era: StoreEra,
        body: &[u8],
    ) -> Result<StoreReply, StoreFault>;
}
