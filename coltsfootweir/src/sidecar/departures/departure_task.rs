//! Keeps departures in the platform's store and at other daemons, and learns those that an earlier
//! run of this daemon acknowledged.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use log::info;
use log::warn;
use serde_json::json;
use tokio::sync::Notify;

use crate::ids::MemberId;
use crate::logging::UPSTREAM;
use crate::sidecar::announcement::DepartedLifetime;
use crate::sidecar::announcement::DepartureCount;
use crate::sidecar::control_server::publish_change;
use crate::sidecar::departures::departure_book::DepartureBook;
use crate::sidecar::departures::departure_book::DepartureSafety;
use crate::sidecar::departures::departure_rows::decode_departures;
use crate::sidecar::departures::departure_rows::encode_departures;
use crate::sidecar::departures::departure_rows::expired_rows;
use crate::sidecar::departures::restart_trust::DepartureNews;
use crate::sidecar::frame::FEATURE_COMPLETE_DEPARTURES;
use crate::sidecar::frame::PeerFrame;
use crate::sidecar::link::link_side::LinkSide;
use crate::sidecar::local_endpoint::wall_ms;
use crate::sidecar::platform_adapter::StoreCall;
use crate::sidecar::platform_adapter::StoreFault;
use crate::sidecar::platform_adapter::StoreTable;
use crate::sidecar::sidecar_state::SidecarState;
use crate::sidecar::store_era::store_version::StoreVersion;

/// Longest wait of an endpoint for the acknowledgement of its departure. It calls again when it has
/// none after a second.
const KEEP_TIMEOUT: Duration = Duration::from_millis(600);

/// Time from the first complete report of another daemon in which the others report what they keep for
/// this one.
const REPORT_TIME: Duration = Duration::from_secs(2);

/// Number of failed reads at the start from which on the store counts as out of reach. A single answer
/// may get lost.
const MIN_FAILED_READS: u32 = 2;

/// HTTP status with which the store refuses calls beyond its rate.
const RATE_EXCEEDED: u16 = 429;

/// Pause before the first retry of a call to the store; doubled with each further one.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Longest pause between two tries to reach the store.
const MAX_STORE_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Interval between removals of old rows by the first of the daemons that watch the store.
const SWEEP_INTERVAL: Duration = Duration::from_secs(600);

/// Most rows that one call removes.
const MAX_SWEPT_ROWS: usize = 50;

/// Departures of the endpoint on this VM and of those on other VMs, and where they are kept.
#[derive(Default)]
pub struct DepartureKeeper {
    book: RefCell<DepartureBook>,
    /// Notified when the store lacks a departure.
    unstored: Notify,
    /// Notified when the store or another daemon has confirmed a departure.
    confirmed: Notify,
    /// Notified when a daemon has reported all departures that an earlier run knew.
    reported: Notify,
    /// Whether a daemon has done so.
    is_reported: Cell<bool>,
    /// Whether the other daemons were told that all departures of earlier runs are known here.
    is_announced: Cell<bool>,
    /// Address for announcements that only this run of the daemon names; `None` at the first start.
    pub run_address: Cell<Option<SocketAddr>>,
}

impl DepartureKeeper {
    /// Keeps departures for the daemon `owner`.
    pub fn hold(
        &self,
        owner: &MemberId,
        departures: Vec<DepartedLifetime>,
        is_known: impl Fn(&MemberId) -> bool,
    ) {
        self.book.borrow_mut().hold(owner, departures, is_known);
    }

    /// Records that all departures of the daemon `owner` are kept here.
    pub fn on_complete(&self, owner: MemberId, is_known: impl Fn(&MemberId) -> bool) {
        self.book.borrow_mut().on_complete(owner, is_known);
    }

    /// Returns whether the departures kept for the daemon `owner` are all of its earlier runs.
    #[must_use]
    pub fn is_complete(&self, owner: &MemberId) -> bool {
        self.book.borrow().is_complete(owner)
    }

    /// Records that a daemon has reported all departures that an earlier run of this one knew.
    pub fn on_reported(&self) {
        self.is_reported.set(true);
        self.reported.notify_one();
    }

    /// Returns a frame with the departures kept for the daemon `owner`.
    #[must_use]
    pub fn report(&self, owner: &MemberId) -> PeerFrame {
        PeerFrame::DeparturesHeld(0, self.book.borrow().held(owner))
    }
}

/// Maintains this daemon's row of departures until the daemon ends. Lets the endpoint accept requests
/// as the departures of earlier runs become known.
pub async fn keep_departures(state: Rc<SidecarState>) {
    if state.settings().is_first_start {
        state
            .departures
            .book
            .borrow_mut()
            .set_row(Some(StoreVersion::ABSENT));
        learn(&state, DepartureNews::Complete);
        return maintain_row(&state).await;
    }
    tokio::join!(await_reports(&state), async {
        let news = read_with_retries(&state).await;
        learn(&state, news);
        maintain_row(&state).await;
    });
}

async fn maintain_row(state: &Rc<SidecarState>) {
    let mut pause = STORE_RETRY_PAUSE;
    loop {
        match sync_row(state).await {
            Ok(()) => {
                pause = STORE_RETRY_PAUSE;
                state.departures.unstored.notified().await;
            }
            Err(fault) => {
                log_fault(fault);
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(MAX_STORE_RETRY_PAUSE);
            }
        }
    }
}

/// Reads the own row. It is all that is known of the earlier runs only if the store was in reach at the
/// start: a departure that was acknowledged without it is not in the row.
async fn read_with_retries(state: &Rc<SidecarState>) -> DepartureNews {
    let mut pause = STORE_RETRY_PAUSE;
    let mut failed = 0;
    while let Err(fault) = read_row(state).await {
        failed += u32::from(fault != StoreFault::Refused(RATE_EXCEEDED));
        log_fault(fault);
        if failed == MIN_FAILED_READS && !state.departures.is_reported.get() {
            note_doubt(state);
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(MAX_STORE_RETRY_PAUSE);
    }
    match failed < MIN_FAILED_READS {
        true => DepartureNews::Stored,
        false => DepartureNews::Awaited,
    }
}

/// Notes that a departure may have been forgotten by all. The note is kept as a departure is, so that
/// another restart does not take the row for all that is known.
fn note_doubt(state: &SidecarState) {
    state.endpoint.note_doubt();
    let event = json!({"name": "departures_in_doubt", "ms": state.now().as_millis() as u64});
    warn!(target: UPSTREAM, "{event}");
    send_departures(state);
    state.departures.unstored.notify_one();
}

/// Waits until the other daemons have reported what they keep for this one. Only a daemon that an
/// earlier run kept informed can tell that nothing is missing: the others may have started again, too.
async fn await_reports(state: &Rc<SidecarState>) {
    state.departures.reported.notified().await;
    tokio::time::sleep(REPORT_TIME).await;
    learn(state, DepartureNews::Complete);
}

fn learn(state: &Rc<SidecarState>, news: DepartureNews) {
    let event = json!({"name": "departures_known", "news": format!("{news:?}"),
        "ms": state.now().as_millis() as u64});
    info!(target: UPSTREAM, "{event}");
    if state.endpoint.learn(news) {
        state.publish();
    }
    announce_complete(state);
}

/// Tells the other daemons, once, that the departures of earlier runs are known here and were sent to
/// them. They can testify to a later run then.
pub fn announce_complete(state: &SidecarState) {
    if !state.endpoint.is_informed() || state.departures.is_announced.replace(true) {
        return;
    }
    for (id, _) in state.members.reachable() {
        let link = state.members.link(&id);
        if let Some(link) = link.filter(|link| link.has_feature(FEATURE_COMPLETE_DEPARTURES)) {
            link.send(PeerFrame::DeparturesComplete);
        }
    }
}

/// Tells a daemon that was dialed what [`announce_complete`] tells the others.
pub fn greet_keeper(state: &SidecarState, side: &LinkSide) {
    if state.endpoint.is_informed() && side.has_feature(FEATURE_COMPLETE_DEPARTURES) {
        side.send(PeerFrame::DeparturesComplete);
    }
}

/// Brings the own row up to date.
async fn sync_row(state: &Rc<SidecarState>) -> Result<(), StoreFault> {
    if state.departures.book.borrow().row().is_none() {
        read_row(state).await?;
    }
    let (count, departures) = state.endpoint.leaving();
    if !state.departures.book.borrow().is_unstored(count) {
        return Ok(());
    }
    write_row(state, &departures).await?;
    state.departures.book.borrow_mut().on_stored(count);
    state.departures.confirmed.notify_waiters();
    // More may have departed meanwhile.
    state.departures.unstored.notify_one();
    Ok(())
}

async fn write_row(
    state: &SidecarState,
    departures: &[DepartedLifetime],
) -> Result<(), StoreFault> {
    let key = state.settings().id.clone();
    let value = encode_departures(departures).map_err(|_| StoreFault::Unreadable)?;
    let row = state.departures.book.borrow().row().unwrap_or_default();
    let call = StoreCall::Write {
        table: StoreTable::Departures,
        // An earlier write without an answer may still be carried out, so the row must be as it was
        // read.
        conditions: vec![(key.clone(), row)],
        puts: vec![(key, value)],
        removals: Vec::new(),
    };
    let reply = state.store.call(&call).await;
    let row = match &reply {
        Ok(reply) => Some(reply.version),
        Err(StoreFault::Refused(_)) => Some(row),
        Err(_) => None,
    };
    state.departures.book.borrow_mut().set_row(row);
    reply.map(|_| ())
}

/// Reads the own row and applies its departures.
async fn read_row(state: &Rc<SidecarState>) -> Result<(), StoreFault> {
    let key = state.settings().id.clone();
    let call = StoreCall::ReadRow {
        table: StoreTable::Departures,
        key: key.clone(),
    };
    let reply = state.store.call(&call).await?;
    let row = reply.rows.iter().find(|row| row.key == key);
    let stored = match row.map(decode_departures) {
        None => Vec::new(),
        Some(Ok(departures)) => departures,
        Some(Err(error)) => {
            let event = json!({"name": "departures_row_unreadable", "key": key,
                "reason": error.to_string()});
            warn!(target: UPSTREAM, "{event}");
            Vec::new()
        }
    };
    apply(state, &stored, "store");
    let (count, departures) = state.endpoint.leaving();
    let mut book = state.departures.book.borrow_mut();
    book.set_row(Some(row.map_or(StoreVersion::ABSENT, |row| row.version)));
    if departures.iter().all(|lifetime| stored.contains(lifetime)) {
        book.on_stored(count);
    }
    Ok(())
}

/// Applies departures that an earlier run of this daemon acknowledged.
fn apply(state: &Rc<SidecarState>, departures: &[DepartedLifetime], source: &str) {
    let (before, _) = state.endpoint.leaving();
    let change = state.endpoint.restore(departures);
    let (count, _) = state.endpoint.leaving();
    if count == before {
        return;
    }
    let event = json!({"name": "departures_restored", "source": source, "count": count - before,
        "change": format!("{change:?}")});
    info!(target: UPSTREAM, "{event}");
    publish_change(state, change);
    send_departures(state);
    state.departures.unstored.notify_one();
}

/// Sends the departures to the daemons that do not keep all of them yet.
fn send_departures(state: &SidecarState) {
    let (count, departures) = state.endpoint.leaving();
    let book = state.departures.book.borrow();
    for (id, _) in state.members.reachable() {
        if book.confirmed(&id).is_none_or(|known| known >= count) {
            continue;
        }
        if let Some(link) = state.members.link(&id) {
            link.send(PeerFrame::HoldDepartures(count, departures.clone()));
        }
    }
}

/// Waits until the departures noted so far are kept in the store and by other daemons, so that they
/// outlive this run of the daemon. Returns false if that failed; the departures must not be
/// acknowledged then.
pub async fn keep_beyond_run(state: &SidecarState) -> bool {
    let (count, _) = state.endpoint.leaving();
    if state.departures.book.borrow().is_acknowledged(count) {
        return true;
    }
    let start = state.now();
    send_departures(state);
    state.departures.unstored.notify_one();
    let safety = loop {
        let confirmed = state.departures.confirmed.notified();
        let safety = safety(state, count);
        let left = (start + KEEP_TIMEOUT).saturating_sub(state.now());
        if safety == DepartureSafety::Kept || left.is_zero() {
            break safety;
        }
        // An error means that the time is over.
        let _ = tokio::time::timeout(left, confirmed).await;
    };
    let is_kept = safety != DepartureSafety::Lost;
    if is_kept {
        state.departures.book.borrow_mut().on_acknowledged(count);
    }
    let event = json!({"name": "departure_kept", "count": count, "safety": format!("{safety:?}"),
        "ms": (state.now() - start).as_millis() as u64});
    info!(target: UPSTREAM, "{event}");
    is_kept
}

fn safety(state: &SidecarState, count: DepartureCount) -> DepartureSafety {
    let zone = state.settings().zone.clone();
    let reachable = state.members.reachable();
    let book = state.departures.book.borrow();
    book.safety(count, &zone, &reachable)
}

/// Handles what another daemon keeps for this one: the first `count` departures of this run, and
/// `departures` of earlier runs.
pub fn on_departures_held(
    state: &Rc<SidecarState>,
    side: &LinkSide,
    count: DepartureCount,
    departures: &[DepartedLifetime],
) {
    let Some(keeper) = side.peer() else {
        return;
    };
    apply(state, departures, &keeper);
    let mut book = state.departures.book.borrow_mut();
    book.on_confirmed(keeper, count);
    drop(book);
    let (own_count, own) = state.endpoint.leaving();
    if count < own_count {
        side.send(PeerFrame::HoldDepartures(own_count, own));
    }
    state.departures.confirmed.notify_waiters();
}

/// Removes the rows of old departures, at the first of the daemons that watch the store.
pub async fn sweep_departures(state: Rc<SidecarState>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        if !state.members.is_rollout_leader() {
            continue;
        }
        if let Err(fault) = sweep(&state).await {
            log_fault(fault);
        }
    }
}

async fn sweep(state: &SidecarState) -> Result<(), StoreFault> {
    let reply = state.store.read_all(StoreTable::Departures).await?;
    let expired = expired_rows(&reply.rows, wall_ms(state.clock.wall()));
    for rows in expired.chunks(MAX_SWEPT_ROWS) {
        let call = StoreCall::Write {
            table: StoreTable::Departures,
            conditions: rows.to_vec(),
            puts: Vec::new(),
            removals: rows.iter().map(|(key, _)| key.clone()).collect(),
        };
        state.store.call(&call).await?;
    }
    let event = json!({"name": "departures_swept", "rows": expired.len()});
    info!(target: UPSTREAM, "{event}");
    Ok(())
}

fn log_fault(fault: StoreFault) {
    let event = json!({"name": "departures_call_failed", "reason": fault.to_string()});
    warn!(target: UPSTREAM, "{event}");
}
