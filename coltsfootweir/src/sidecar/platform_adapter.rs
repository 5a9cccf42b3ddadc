//! Border to the platform a sidecar runs on: its names and formats, turned into the daemon's types.
//!
//! An implementation translates and holds no state; every decision is made by its callers.

use std::fmt;
use std::time::Duration;

use crate::ids::RowVersion;
use crate::ids::ServiceName;
use crate::ids::VersionName;
use crate::sidecar::announcement::EndpointAnnouncement;
use crate::sidecar::announcement::EndpointDeparture;
use crate::sidecar::mesh_config::MeshConfig;
use crate::sidecar::settings::SidecarSettings;

/// Why a message of the platform could not be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformFormatError {
    /// What was read.
    pub subject: &'static str,
    /// What is wrong with it.
    pub reason: Box<str>,
}

impl PlatformFormatError {
    /// Makes an error about `subject`.
    #[must_use]
    pub fn new(subject: &'static str, reason: impl fmt::Display) -> PlatformFormatError {
        PlatformFormatError {
            subject,
            reason: reason.to_string().into(),
        }
    }
}

impl fmt::Display for PlatformFormatError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} cannot be read: {}", self.subject, self.reason)
    }
}

impl std::error::Error for PlatformFormatError {}

/// Names of the headers that the daemon reads or sets, in lower case.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Identity of a client attempt.
    pub request_id: &'static str,
    /// Time the caller still waits, in milliseconds.
    pub time_left: &'static str,
    /// Proof that an answer comes from an endpoint.
    pub signature: &'static str,
    /// Endpoint lifetime that alone may run the request.
    pub expected_endpoint: &'static str,
    /// Present when an endpoint did not run the request.
    pub not_run: &'static str,
    /// Service on the VM where the request began.
    pub caller: &'static str,
}

/// A call of the platform to the daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlCall {
    /// Asks whether clients may be sent here.
    Readiness,
    /// An endpoint tells how it is.
    Announce(EndpointAnnouncement),
    /// An endpoint is about to end.
    Depart(EndpointDeparture),
    /// Asks for the metrics as text.
    Metrics,
    /// Not a call the daemon serves.
    Unknown,
    /// A known call whose content names no endpoint.
    Malformed(PlatformFormatError),
}

/// Tables of the platform's store that the daemon uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreTable {
    /// What the operator ordered: configuration and roll-outs.
    Orders,
    /// What the daemon reports back to the operator.
    Reports,
    /// Daemons, by which they find each other.
    Members,
}

/// A call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreCall {
    /// Reads all rows of a table from a key on.
    Read {
        /// The table.
        table: StoreTable,
        /// First key.
        from: Box<str>,
    },
    /// Waits for changes of a table.
    Watch {
        /// The table.
        table: StoreTable,
        /// Version after which changes count.
        after: RowVersion,
        /// Longest wait of the store, in milliseconds.
        wait_ms: u64,
    },
    /// Writes rows of one table at once.
    Write {
        /// The table.
        table: StoreTable,
        /// Versions that rows must have; 0 for a row that must not exist.
        conditions: Vec<(Box<str>, RowVersion)>,
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
    pub version: RowVersion,
}

/// The store's answer to a call it carried out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreReply {
    /// Rows read or changed.
    pub rows: Vec<StoreRow>,
    /// Whether rows follow after the last one.
    pub has_more: bool,
    /// Newest version of the store.
    pub version: RowVersion,
}

/// Why the store did not carry a call out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreFault {
    /// A condition of a write does not hold; nothing was written.
    Condition,
    /// The history asked for is no longer kept.
    HistoryGone,
    /// The store refused the call; nothing was done.
    Refused(u16),
    /// No whole answer came; a write may have taken effect or may still do so.
    NoAnswer,
    /// The answer could not be read.
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

/// A store call as HTTP.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreRequest {
    /// Method.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// JSON body, possibly empty.
    pub body: Vec<u8>,
}

/// An order to move a service's traffic to a version.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceName,
    /// The version that is to get all traffic.
    pub version: VersionName,
    /// Time in which the move is to be done.
    pub duration: Duration,
}

/// How a move of traffic stands, as told to the operator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RolloutPhase {
    /// Under way.
    Active,
    /// The version has all traffic.
    Done,
    /// The version gets no traffic any more.
    TakenBack,
}

/// What a row of [`StoreTable::Orders`] holds.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderRow {
    /// The whole configuration.
    Config(MeshConfig),
    /// A move of traffic.
    Rollout(RolloutOrder),
    /// Nothing the daemon acts on.
    Other,
}

/// The platform's names and formats.
pub trait PlatformAdapter {
    /// Reads the settings of a process.
    ///
    /// # Errors
    /// [`PlatformFormatError`] with the first field that is missing or odd.
    fn settings(&self, text: &str) -> Result<SidecarSettings, PlatformFormatError>;

    /// Returns the header names.
    fn headers(&self) -> &HeaderNames;

    /// Reads a call to the daemon.
    fn control_call(&self, method: &str, path: &str, body: &[u8]) -> ControlCall;

    /// Returns the body of the answer to an announcement that was taken.
    fn announce_reply(&self) -> &'static str;

    /// Reads a row of [`StoreTable::Orders`].
    ///
    /// # Errors
    /// [`PlatformFormatError`] when a configuration or an order cannot be read.
    fn order_row(&self, row: &StoreRow) -> Result<OrderRow, PlatformFormatError>;

    /// Writes the report on a move of traffic: key and value in [`StoreTable::Reports`].
    fn rollout_report(&self, order: &RolloutOrder, phase: RolloutPhase) -> (Box<str>, Vec<u8>);

    /// Reads a report on a move of traffic: the version it is about and how it stands.
    fn read_report(&self, value: &[u8]) -> Option<(VersionName, RolloutPhase)>;

    /// Writes a store call.
    fn store_request(&self, call: &StoreCall) -> StoreRequest;

    /// Reads the store's answer.
    ///
    /// # Errors
    /// [`StoreFault`] as the status and the body tell it.
    fn store_reply(&self, status: u16, body: &[u8]) -> Result<StoreReply, StoreFault>;
}
