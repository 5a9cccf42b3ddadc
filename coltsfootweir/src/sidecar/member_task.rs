//! Tasks that discover the other daemons, maintain the links to them and compare member tables.

use std::rc::Rc;
use std::time::Duration;

use log::info;
use log::warn;
use serde_json::json;

use crate::logging::MEMBERS;
use crate::sidecar::departures::departure_task::greet_keeper;
use crate::sidecar::departures::departure_task::on_departures_held;
use crate::sidecar::frame::PeerFrame;
use crate::sidecar::link::dial_error::DialError;
use crate::sidecar::link::link_side::LinkSide;
use crate::sidecar::member_directory::LinkScope;
use crate::sidecar::member_table::MemberRecord;
use crate::sidecar::member_table::StoreReach;
use crate::sidecar::peer_link::PeerLink;
use crate::sidecar::peer_server::handle_sync_frame;
use crate::sidecar::placement::evacuation_task::check_evacuation;
use crate::sidecar::placement::evacuation_task::compare_evacuations;
use crate::sidecar::placement::evacuation_task::send_evacuations;
use crate::sidecar::placement::evacuation_task::settle_evacuations;
use crate::sidecar::platform_adapter::PlatformFormatError;
use crate::sidecar::platform_adapter::StoreCall;
use crate::sidecar::platform_adapter::StoreFault;
use crate::sidecar::platform_adapter::StoreRow;
use crate::sidecar::platform_adapter::StoreTable;
use crate::sidecar::sidecar_state::SidecarState;

/// Pause between two checks of the links.
const LINK_CHECK_PAUSE: Duration = Duration::from_millis(150);

/// Number of link checks between two comparisons of member tables.
const COMPARE_TICKS: u64 = 14;

/// Number of link checks between two comparisons of configuration generations.
const VERSION_CHECK_TICKS: u64 = 2;

/// Pause before a retry of reading or writing member rows.
const ROW_RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Pause between two reads of the member rows while no other daemon is reachable.
const ISOLATED_READ_PAUSE: Duration = Duration::from_secs(2);

/// Pause between two reads of the member rows while a daemon has been out of reach for long.
const GONE_READ_PAUSE: Duration = Duration::from_secs(60);

/// Writes this daemon's row to the store if it is missing, and reads the member rows, again and
/// again while no other daemon is reachable, or one has been out of reach for long.
///
/// A daemon writes before it reads, so of two that start at the same time the later one finds the
/// other. A daemon that restarts at its address finds its row there and only reads. This matters
/// when many daemons restart at once after a power loss, as the store serializes writes.
pub async fn find_members(state: Rc<SidecarState>) {
    let mut has_row = false;
    if !state.settings().is_first_start {
        has_row = read_rows_with_retries(&state).await;
    }
    if !has_row {
        while let Err(fault) = write_own_row(&state).await {
            let event = json!({"name": "own_row_not_written", "reason": fault.to_string()});
            warn!(target: MEMBERS, "{event}");
            tokio::time::sleep(ROW_RETRY_PAUSE).await;
        }
        read_rows_with_retries(&state).await;
    }
    state.members_read.set(true);
    let mut next_gone_read = Duration::ZERO;
    loop {
        tokio::time::sleep(ISOLATED_READ_PAUSE).await;
        let now = state.now();
        if !state.members.has_open_link() {
            read_rows_with_retries(&state).await;
        } else if now >= next_gone_read && state.members.has_maybe_gone(now) {
            next_gone_read = now + GONE_READ_PAUSE;
            if let Err(fault) = read_rows(&state).await {
                log_unread_rows(fault);
            }
        }
    }
}

/// Reads the member rows, with retries; returns whether this daemon's row is among them.
async fn read_rows_with_retries(state: &SidecarState) -> bool {
    loop {
        match read_rows(state).await {
            Ok(has_own) => {
                state.dial_now.notify_one();
                return has_own;
            }
            Err(fault) => {
                log_unread_rows(fault);
                tokio::time::sleep(ROW_RETRY_PAUSE).await;
            }
        }
    }
}

fn log_unread_rows(fault: StoreFault) {
    let event = json!({"name": "member_rows_not_read", "reason": fault.to_string()});
    warn!(target: MEMBERS, "{event}");
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
    let connect_time = state.store.connect_time().unwrap_or_default();
    let millis = u16::try_from(connect_time.as_millis()).unwrap_or(u16::MAX);
    state.publish_store_reach(StoreReach::Within(millis));
    let mut records = Vec::new();
    for row in &reply.rows {
        match read_record(row) {
            Ok(record) => records.extend(record),
            Err(error) => {
                let event = json!({"name": "member_row_unreadable", "key": row.key,
                    "reason": error.to_string()});
                warn!(target: MEMBERS, "{event}");
            }
        }
    }
    let own = state.members.own();
    let mut stored = records.iter();
    let has_own = stored.any(|record| record.id == own.id && record.address == own.address);
    state.merge_records(&records);
    state.members.forget_gone(&records, state.now());
    Ok(has_own)
}

fn read_record(row: &StoreRow) -> Result<Option<MemberRecord>, PlatformFormatError> {
    let Some(value) = &row.value else {
        return Ok(None);
    };
    let record = rmp_serde::from_slice(value);
    record
        .map(Some)
        .map_err(|error| PlatformFormatError::new("member row", error))
}

/// Removes this daemon's row from the store.
pub async fn remove_own_row(state: &SidecarState) {
    let call = StoreCall::Write {
        table: StoreTable::Members,
        conditions: Vec::new(),
        puts: Vec::new(),
        removals: vec![state.members.own().id],
    };
    if let Err(fault) = state.store.call(&call).await {
        let event = json!({"name": "own_row_not_removed", "reason": fault.to_string()});
        warn!(target: MEMBERS, "{event}");
    }
}

/// Maintains the links to other daemons and compares member tables over them.
pub async fn keep_links(state: Rc<SidecarState>) {
    let mut tick: u64 = 0;
    let mut was_relay = false;
    loop {
        let now = state.now();
        state.members.check_links(now);
        state.uplink.send_pieces();
        state.uploads.send_grants();
        state.uploads.report_load();
        let called = state.routing.budgets.borrow().keys().cloned().collect();
        // During a rollout, store watchers need a link to every daemon to receive its rollout
        // status.
        let scope = match state.members.is_watcher() && state.has_open_rollout() {
            true => LinkScope::All,
            false => LinkScope::Needed,
        };
        for (id, address) in state.members.take_dials(&called, scope, now) {
            tokio::task::spawn_local(dial(Rc::clone(&state), id, address));
        }
        state.request_config();
        let settings = state.settings();
        if state.endpoint.check_silence(settings.announce_interval) {
            state.publish();
        }
        settle_evacuations(&state);
        check_evacuation(&state);
        state.endpoint.log_warmth();
        state.publish_crashes(state.endpoint.take_crashes());
        let is_relay = state.members.is_relay();
        if is_relay && !was_relay {
            // Those that were relays before may have received updates and not passed them on.
            for link in state.members.other_zone_links() {
                link.send(state.digests());
                link.send(state.config_held_frame());
                compare_evacuations(&state, &link);
            }
        }
        was_relay = is_relay;
        tick += 1;
        if tick.is_multiple_of(VERSION_CHECK_TICKS)
            && let Some(link) = state.members.version_check_link(tick / VERSION_CHECK_TICKS)
        {
            link.send(state.config_held_frame());
            compare_evacuations(&state, &link);
        }
        if tick.is_multiple_of(COMPARE_TICKS)
            && let Some(link) = state.members.comparison_link(tick / COMPARE_TICKS)
        {
            link.send(state.digests());
            link.send(state.config_held_frame());
        }
        tokio::select! {
            () = tokio::time::sleep(LINK_CHECK_PAUSE) => {}
            () = state.dial_now.notified() => {}
        }
    }
}

async fn dial(state: Rc<SidecarState>, id: Box<str>, address: std::net::SocketAddr) {
    let clock = std::sync::Arc::clone(&state.clock);
    let receiver = Rc::clone(&state);
    let peer = id.clone();
    let on_frame = move |side: &LinkSide, frame| match frame {
        PeerFrame::UplinkLoad(load_ms) => {
            let load = Duration::from_millis(u64::from(load_ms));
            let mut loads = receiver.routing.endpoint_loads.borrow_mut();
            loads.record_uplink(peer.clone(), load, receiver.now());
        }
        PeerFrame::ReceiveLoad(load) => {
            let mut loads = receiver.routing.endpoint_loads.borrow_mut();
            loads.record_receive_load(peer.clone(), load, receiver.now());
        }
        PeerFrame::DeparturesHeld(count, departures) => {
            on_departures_held(&receiver, side, count, &departures);
        }
        PeerFrame::DeparturesComplete => receiver.departures.on_reported(),
        PeerFrame::Features(_) => {
            send_evacuations(&receiver, side);
            greet_keeper(&receiver, side);
        }
        frame => handle_sync_frame(&receiver, side, frame),
    };
    let end_state = Rc::clone(&state);
    let end_id = id.clone();
    let on_end = move || end_state.members.on_link_end(&end_id, end_state.now());
    let own = state.members.own().id;
    let now = move || clock.now();
    let link = PeerLink::open(&id, &own, address, &state.uplink, now, on_frame, on_end).await;
    let link = match link {
        Ok(link) => link,
        Err(DialError::OtherDaemon(other)) => {
            let event = json!({"name": "peer_replaced", "peer": id, "by": other});
            info!(target: MEMBERS, "{event}");
            state.members.forget(&id);
            return;
        }
        Err(error) => {
            log::debug!(target: MEMBERS, "dialing {id} at {address} failed: {error}");
            state.members.on_dialed(&id, None, state.now());
            return;
        }
    };
    link.send(PeerFrame::Members(vec![state.members.own()]));
    link.send(state.config_held_frame());
    let may_compare = state.members.is_in_own_zone(&id) || state.members.is_relay();
    if may_compare && state.members.start_comparison(state.now()) {
        link.send(state.digests());
    }
    state.members.on_dialed(&id, Some(link), state.now());
    state.request_config();
}
