//! Client of the platform's store.
//!
//! The store may come back from a copy and give its versions out again. Every version that leaves this
//! module has the era of the answer that it came with, and none is sent to the store in another era.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use log::warn;
use serde_json::json;

use crate::logging::DAEMON;
use crate::sidecar::http_exchange::ExchangeError;
use crate::sidecar::http_exchange::HttpConnection;
use crate::sidecar::http_exchange::WireRequest;
use crate::sidecar::platform_adapter::PlatformAdapter;
use crate::sidecar::platform_adapter::StoreCall;
use crate::sidecar::platform_adapter::StoreFault;
use crate::sidecar::platform_adapter::StoreReply;
use crate::sidecar::platform_adapter::StoreTable;
use crate::sidecar::store_era::era_tracker::EraFault;
use crate::sidecar::store_era::era_tracker::EraReading;
use crate::sidecar::store_era::era_tracker::EraTracker;
use crate::sidecar::store_era::store_version::StoreEra;
use crate::sidecar::store_era::store_version::StoreVersion;

/// Time limit of a call, in addition to the wait that it requests. A slow store responds after
/// about 300 ms, and a call on a dead connection must not delay the next one for long.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Time limit for connecting: several round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Time for which an idle connection is reused. One that has become silent meanwhile costs the time
/// limit of a call.
const IDLE_LIMIT: Duration = Duration::from_secs(2);

/// HTTP status of a call that was carried out.
const HTTP_OK: u16 = 200;

struct IdleConnection {
    connection: HttpConnection,
    address: SocketAddr,
    since: Instant,
}

/// Client of the store. A connection serves one call at a time, so a watch occupies one.
pub struct StoreClient {
    platform_adapter: Rc<dyn PlatformAdapter>,
    address: Cell<SocketAddr>,
    idle: RefCell<Vec<IdleConnection>>,
    eras: Cell<EraTracker>,
    connect_time: Cell<Option<Duration>>,
    calls: Cell<u64>,
    faults: Cell<u64>,
}

impl StoreClient {
    /// Creates a client of the store at `address`.
    #[must_use]
    pub fn new(platform_adapter: Rc<dyn PlatformAdapter>, address: SocketAddr) -> StoreClient {
        StoreClient {
            platform_adapter,
            address: Cell::new(address),
            idle: RefCell::default(),
            eras: Cell::default(),
            connect_time: Cell::new(None),
            calls: Cell::new(0),
            faults: Cell::new(0),
        }
    }

    /// Changes the address of the store. Calls that have begun end at the old one. Returns whether it differs.
    pub fn set_address(&self, address: SocketAddr) -> bool {
        if self.address.replace(address) == address {
            return false;
        }
        self.connect_time.set(None);
        true
    }

    /// Returns the shortest time in which a connection to the store was made; `None` before the
    /// first.
    #[must_use]
    pub fn connect_time(&self) -> Option<Duration> {
        self.connect_time.get()
    }

    /// Returns the number of calls and the number of failed calls.
    #[must_use]
    pub fn counts(&self) -> (u64, u64) {
        (self.calls.get(), self.faults.get())
    }

    /// Calls the store.
    ///
    /// # Errors
    /// [`StoreFault`] if the call failed. After [`StoreFault::NoAnswer`], a write may have taken
    /// effect or may still do so. No call is made if it would refer to a version of an earlier era:
    /// [`StoreFault::HistoryGone`] for a watch and [`StoreFault::Condition`] for a write.
    pub async fn call(&self, call: &StoreCall) -> Result<StoreReply, StoreFault> {
        let era = self.eras.get().newest();
        match call {
            StoreCall::Watch { after, .. } if after.era() != era => {
                return Err(StoreFault::HistoryGone);
            }
            StoreCall::Write { conditions, .. } if has_other_era(conditions, era) => {
                return Err(StoreFault::Condition);
            }
            _ => {}
        }
        self.calls.set(self.calls.get() + 1);
        let reply = self.exchange(call).await;
        let reply = reply.and_then(|reply| check_era(call, reply));
        if !matches!(reply, Ok(_) | Err(StoreFault::Condition)) {
            self.faults.set(self.faults.get() + 1);
        }
        reply
    }

    /// Reads all rows of a table, in several calls if needed.
    ///
    /// # Errors
    /// Those of [`StoreClient::call`].
    pub async fn read_all(&self, table: StoreTable) -> Result<StoreReply, StoreFault> {
        let mut whole: Option<StoreReply> = None;
        loop {
            let last = whole.as_ref().and_then(|reply| reply.rows.last());
            // The smallest key after the last one.
            let from = last.map_or_else(String::new, |row| format!("{}\u{0}", row.key));
            let from = from.into_boxed_str();
            let part = self.call(&StoreCall::Read { table, from }).await?;
            let is_last = !part.has_more || part.rows.is_empty();
            match &mut whole {
                // What was read so far is from the time before the store came back.
                Some(read) if read.version.era() != part.version.era() => {
                    whole = None;
                    continue;
                }
                Some(read) => read.rows.extend(part.rows),
                None => whole = Some(part),
            }
            if is_last && let Some(mut read) = whole.take() {
                read.has_more = false;
                return Ok(read);
            }
        }
    }

    async fn exchange(&self, call: &StoreCall) -> Result<StoreReply, StoreFault> {
        let request = self.platform_adapter.store_request(call);
        let address = self.address.get();
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            request.method,
            request.path,
            address,
            request.body.len()
        );
        let wait = match call {
            StoreCall::Watch { wait_ms, .. } => Duration::from_millis(*wait_ms),
            _ => Duration::ZERO,
        };
        let mut connection = self.connection(address).await?;
        let wire = WireRequest {
            head: head.as_bytes(),
            body: &request.body,
            is_head: false,
            identity: None,
        };
        let answer = tokio::time::timeout(wait + CALL_TIMEOUT, connection.exchange(wire)).await;
        let answer = match answer {
            Ok(Ok(answer)) => answer,
            Ok(Err(ExchangeError::Malformed(fault))) => {
                let event = json!({"name": "store_answer_broken", "path": request.path,
                    "reason": fault.to_string()});
                warn!(target: DAEMON, "{event}");
                return Err(StoreFault::NoAnswer);
            }
            Ok(Err(_)) | Err(_) => return Err(StoreFault::NoAnswer),
        };
        if answer.is_reusable {
            let since = Instant::now();
            let idle = IdleConnection {
                connection,
                address,
                since,
            };
            self.idle.borrow_mut().push(idle);
        }
        let header = answer.header(self.platform_adapter.headers().store_era);
        let era = match header {
            // What stands before the store may refuse a call without knowing its era.
            None if answer.status != HTTP_OK => Ok(self.eras.get().newest()),
            header => self.read_era(header, &request.path),
        };
        match era {
            Ok(era) => self
                .platform_adapter
                .store_reply(answer.status, era, &answer.body),
            Err(_) => Err(StoreFault::NoAnswer),
        }
    }

    /// Reads the era of an answer to a call of `path`. An answer whose era is not known, or has ended, is
    /// logged.
    fn read_era(&self, header: Option<&str>, path: &str) -> Result<StoreEra, EraFault> {
        let mut eras = self.eras.get();
        let reading = eras.read(header);
        self.eras.set(eras);
        match &reading {
            Ok(EraReading {
                era,
                ended: Some(ended),
            }) => {
                let event = json!({"name": "store_era_begun", "era": era, "ended": ended,
                    "skipped": era - ended - 1, "path": path});
                warn!(target: DAEMON, "{event}");
            }
            Ok(_) => {}
            Err(fault) => {
                let event = json!({"name": "store_answer_misplaced", "path": path,
                    "reason": fault.to_string()});
                warn!(target: DAEMON, "{event}");
            }
        }
        reading.map(|reading| reading.era)
    }

    async fn connection(&self, address: SocketAddr) -> Result<HttpConnection, StoreFault> {
        while let Some(idle) = self.take_idle() {
            let is_usable = idle.address == address && idle.since.elapsed() < IDLE_LIMIT;
            if is_usable && idle.connection.is_clean() {
                return Ok(idle.connection);
            }
        }
        let start = Instant::now();
        let connection = HttpConnection::open(address, CONNECT_TIMEOUT)
            .await
            .map_err(|_| StoreFault::NoAnswer)?;
        let taken = start.elapsed();
        if self.address.get() != address {
            return Ok(connection);
        }
        let shortest = self
            .connect_time
            .get()
            .map_or(taken, |best| best.min(taken));
        self.connect_time.set(Some(shortest));
        Ok(connection)
    }

    fn take_idle(&self) -> Option<IdleConnection> {
        self.idle.borrow_mut().pop()
    }
}

/// Returns whether a condition names a version that the store gave out in another era.
fn has_other_era(conditions: &[(Box<str>, StoreVersion)], era: StoreEra) -> bool {
    let mut versions = conditions.iter().map(|(_, version)| version);
    versions.any(|version| !version.is_absent() && version.era() != era)
}

/// Checks that the era did not change between the reading of the versions in a call and its answer.
fn check_era(call: &StoreCall, reply: StoreReply) -> Result<StoreReply, StoreFault> {
    let era = reply.version.era();
    match call {
        StoreCall::Watch { after, .. } if after.era() != era => Err(StoreFault::HistoryGone),
        // The condition may have matched a version that was given out again.
        StoreCall::Write { conditions, .. } if has_other_era(conditions, era) => {
            Err(StoreFault::NoAnswer)
        }
        _ => Ok(reply),
    }
}
