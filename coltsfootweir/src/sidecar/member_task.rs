//! Finds the other daemons, keeps links to them and compares what is known.

use std::rc::Rc;
use std::time::Duration;

use log::info;
use log::warn;
use serde_json::json;

use crate::logging::MEMBERS;
use crate::sidecar::dialect::DialectError;
use crate::sidecar::dialect::StoreCall;
use crate::sidecar::dialect::StoreFault;
use crate::sidecar::dialect::StoreRow;
use crate::sidecar::dialect::StoreTable;
use crate::sidecar::frame::PeerFrame;
use crate::sidecar::member_directory::LinkScope;
use crate::sidecar::member_table::MemberRecord;
use crate::sidecar::member_table::StoreReach;
use crate::sidecar::peer_link::DialError;
use crate::sidecar::peer_link::PeerLink;
use crate::sidecar::peer_server::handle_sync_frame;
use crate::sidecar::sidecar_state::SidecarState;

/// Pause between two looks at the links.
const LINK_PAUSE: Duration = Duration::from_millis(150);

/// Looks at the links between two comparisons of tables.
const COMPARE_TICKS: u64 = 14;

/// Pause before another try to write or read the rows of the daemons.
const ROW_RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Pause between two reads of the rows while no other daemon can be reached.
const ALONE_PAUSE: Duration = Duration::from_secs(2);

/// Reads the rows of the daemons until some can be reached, and writes the own one if it is not
/// there.
///
/// A daemon reads after it wrote, so of two that start at one time the later one sees the other. One
/// that starts again at its address finds its row there: many that start at once after a loss of
/// power then only read, as the store takes writes one after the other.
pub async fn find_members(state: Rc<SidecarState>) {
    let mut has_row = false;
    if !state.settings().is_first_start {
        has_row = read_until_done(&state).await;
    }
    if !has_row {
        while let Err(fault) = write_own_row(&state).await {
            let what = json!({"name": "own_row_not_written", "reason": fault.to_string()});
            warn!(target: MEMBERS, "{what}");
            tokio::time::sleep(ROW_RETRY_PAUSE).await;
        }
        read_until_done(&state).await;
    }
    state.members_read.set(true);
    loop {
        tokio::time::sleep(ALONE_PAUSE).await;
        if !state.members.has_open_link() {
            read_until_done(&state).await;
        }
    }
}

/// Reads the rows; returns whether the own one is among them.
async fn read_until_done(state: &SidecarState) -> bool {
    loop {
        match read_rows(state).await {
            Ok(has_own) => {
                state.dial_now.notify_one();
                return has_own;
            }
            Err(fault) => {
                let what = json!({"name": "member_rows_not_read", "reason": fault.to_string()});
                warn!(target: MEMBERS, "{what}");
                tokio::time::sleep(ROW_RETRY_PAUSE).await;
            }
        }
    }
}

async fn write_own_row(state: &SidecarState) -> Result<(), StoreFault> {
    let own = state.members.own();
    let row = MemberRecord {
        rollout_statuses: Vec::new(),
        ..own
    };
    let value = rmp_serde::to_vec(&row).map_err(|_| StoreFault::Unreadable)?;
    let call = StoreCall::Write {
        table: StoreTable::Members,
        conditions: Vec::new(),
        puts: vec![(row.id.clone(), value)],
        removals: Vec::new(),
    };
    state.store.call(&call).await?;
    Ok(())
}

async fn read_rows(state: &SidecarState) -> Result<bool, StoreFault> {
    let reply = state.store.read_all(StoreTable::Members).await?;
    let distance = state.store.connect_time().unwrap_or_default().as_millis();
    let millis = u16::try_from(distance).unwrap_or(u16::MAX);
    state.publish_reach(StoreReach::Within(millis));
    let mut records = Vec::new();
    for row in &reply.rows {
        match read_record(row) {
            Ok(record) => records.extend(record),
            Err(error) => {
                let what = json!({"name": "member_row_unreadable", "key": row.key,
                    "reason": error.to_string()});
                warn!(target: MEMBERS, "{what}");
            }
        }
    }
    let own = state.members.own();
    let mut held = records.iter();
    let has_own = held.any(|record| record.id == own.id && record.address == own.address);
    state.take_records(&records);
    Ok(has_own)
}

fn read_record(row: &StoreRow) -> Result<Option<MemberRecord>, DialectError> {
    let Some(value) = &row.value else {
        return Ok(None);
    };
    let record = rmp_serde::from_slice(value);
    record
        .map(Some)
        .map_err(|error| DialectError::new("member row", error))
}

/// Removes the own row.
pub async fn remove_own_row(state: &SidecarState) {
    let call = StoreCall::Write {
        table: StoreTable::Members,
        conditions: Vec::new(),
        puts: Vec::new(),
        removals: vec![state.members.own().id],
    };
    if let Err(fault) = state.store.call(&call).await {
        let what = json!({"name": "own_row_not_removed", "reason": fault.to_string()});
        warn!(target: MEMBERS, "{what}");
    }
}

/// Keeps links to the other daemons.
pub async fn keep_links(state: Rc<SidecarState>) {
    let mut tick: u64 = 0;
    loop {
        let now = state.now();
        state.members.check_links(now);
        let called = state.routing.budgets.borrow().keys().cloned().collect();
        // A daemon that judges a move of traffic hears how each one stands to it.
        let scope = match state.members.is_watcher() && state.has_open_rollout() {
            true => LinkScope::All,
            false => LinkScope::Needed,
        };
        for (id, address) in state.members.take_dials(&called, scope, now) {
            tokio::task::spawn_local(dial(Rc::clone(&state), id, address));
        }
        state.want_config();
        let settings = state.settings();
        if state.endpoint.check_silence(settings.announce_interval) {
            state.publish();
        }
        tick += 1;
        if tick.is_multiple_of(COMPARE_TICKS)
            && let Some(link) = state.members.comparison_link(tick / COMPARE_TICKS)
        {
            link.send(state.digests());
            link.send(state.config_held());
        }
        tokio::select! {
            () = tokio::time::sleep(LINK_PAUSE) => {}
            () = state.dial_now.notified() => {}
        }
    }
}

async fn dial(state: Rc<SidecarState>, id: Box<str>, address: std::net::SocketAddr) {
    let clock = std::sync::Arc::clone(&state.clock);
    let taker = Rc::clone(&state);
    let on_frame = move |link: &PeerLink, frame| {
        if let Some(reply) = handle_sync_frame(&taker, frame) {
            link.send(reply);
        }
    };
    let ended = Rc::clone(&state);
    let ended_id = id.clone();
    let on_end = move || ended.members.on_link_end(&ended_id, ended.now());
    let link = PeerLink::open(&id, address, move || clock.now(), on_frame, on_end).await;
    let link = match link {
        Ok(link) => link,
        Err(DialError::OtherDaemon(other)) => {
            let what = json!({"name": "peer_replaced", "peer": id, "by": other});
            info!(target: MEMBERS, "{what}");
            state.members.forget(&id);
            return;
        }
        Err(error) => {
            log::debug!(target: MEMBERS, "{id} at {address} cannot be reached: {error}");
            state.members.on_dialed(&id, None, state.now());
            return;
        }
    };
    link.send(PeerFrame::Members(vec![state.members.own()]));
    link.send(state.config_held());
    if state.members.is_in_own_zone(&id) && state.members.start_comparison(state.now()) {
        link.send(state.digests());
    }
    state.members.on_dialed(&id, Some(link), state.now());
    state.want_config();
}
