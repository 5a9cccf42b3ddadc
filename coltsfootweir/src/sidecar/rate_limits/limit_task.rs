//! Tasks that keep the leases of holder slots, and ask for and lend tokens.

use std::rc::Rc;
use std::time::Duration;

use log::info;
use log::warn;
use serde_json::json;

use crate::ids::MemberId;
use crate::logging::CALLS;
use crate::sidecar::config_holder::ActiveConfig;
use crate::sidecar::frame::FEATURE_TOKENS;
use crate::sidecar::frame::PeerFrame;
use crate::sidecar::frame::TokenDemand;
use crate::sidecar::frame::TokenGrant;
use crate::sidecar::link::link_side::LinkSide;
use crate::sidecar::member_table::StoreReach;
use crate::sidecar::platform_adapter::StoreCall;
use crate::sidecar::platform_adapter::StoreFault;
use crate::sidecar::platform_adapter::StoreTable;
use crate::sidecar::rate_limits::hand_over::can_hand_over;
use crate::sidecar::rate_limits::hand_over::hand_over;
use crate::sidecar::rate_limits::hand_over::report_row;
use crate::sidecar::rate_limits::limit_bucket::LimitBuckets;
use crate::sidecar::rate_limits::limit_bucket::REGION_SLOTS;
use crate::sidecar::rate_limits::limit_bucket::SlotLimit;
use crate::sidecar::rate_limits::limit_bucket::lent_limit;
use crate::sidecar::rate_limits::limit_lease::LeaseCandidate;
use crate::sidecar::rate_limits::limit_lease::LeaseRow;
use crate::sidecar::rate_limits::limit_lease::LeaseStep;
use crate::sidecar::rate_limits::limit_share::LimitQuestion;
use crate::sidecar::rate_limits::limit_share::TOKEN_VALIDITY;
use crate::sidecar::settings::QuotaBounds;
use crate::sidecar::sidecar_state::SidecarState;
use crate::sidecar::store_era::store_version::StoreVersion;
use crate::sidecar::teams::team::TeamName;

/// Number of daemons of a region that may hold slots: one for each slot and a spare one.
pub const LEASE_CANDIDATES: usize = REGION_SLOTS + 1;

/// Time within which a store that is not slow answers a read: twice a round trip between regions. While
/// the store is slow, renewals of a holder may fail for some time, but a candidate could not take the
/// slot either.
const PROMPT_READ: Duration = Duration::from_millis(120);

/// Pause between two checks of the leases.
const LEASE_PAUSE: Duration = Duration::from_millis(200);

/// Pause between two checks in a deployment without limits; a configuration with limits may come into
/// force at any time.
const INACTIVE_PAUSE: Duration = Duration::from_secs(1);

/// Pause of the task that asks for tokens while nothing is due.
const IDLE_PAUSE: Duration = Duration::from_secs(5);

/// Wait of a team that is not in the configuration of the holder, in milliseconds. A configuration
/// reaches most daemons within a few of these.
const UNKNOWN_TEAM_MS: u32 = 100;

/// Keeps the leases while the deployment has limits.
pub async fn keep_leases(state: Rc<SidecarState>) {
    let mut was_cut_off = false;
    loop {
        let is_active = has_limits(&state);
        state.members.link_limit_holders(is_active);
        if !is_active {
            tokio::time::sleep(INACTIVE_PAUSE).await;
            continue;
        }
        forget_unlimited(&state);
        let now = state.clock.boot();
        let is_cut_off = state.rate_limits.lease.borrow().is_cut_off(now);
        // Only once: a watcher whose reads succeed finds that the store is reachable.
        if is_cut_off && !was_cut_off {
            state.publish_store_reach(StoreReach::Lost);
        }
        was_cut_off = is_cut_off;
        let candidate = lease_candidate(&state);
        let now = state.clock.boot();
        let step = state
            .rate_limits
            .lease
            .borrow_mut()
            .next_step(candidate, now);
        match step {
            None => tokio::time::sleep(LEASE_PAUSE).await,
            Some(LeaseStep::Read) => read_rows(&state).await,
            Some(LeaseStep::Write(slot, version, row)) => {
                write_row(&state, slot, version, row).await;
            }
            Some(LeaseStep::HandOver(slot, version)) => hand_over(&state, slot, version),
        }
    }
}

fn has_limits(state: &SidecarState) -> bool {
    if state.settings.borrow().bounds.quota.is_none() {
        return false;
    }
    let Some(active) = state.config.active() else {
        return false;
    };
    let mut teams = active.config.teams.values();
    teams.any(|team| team.rate_per_s > 0.0)
}

fn forget_unlimited(state: &SidecarState) {
    let Some(active) = state.config.active() else {
        return;
    };
    let limits = &state.rate_limits;
    for buckets in limits.buckets.borrow_mut().iter_mut() {
        buckets.retain(|team| active.config.teams.contains_key(team));
    }
    let now = state.clock.boot();
    limits.share.borrow_mut().forget_idle(now);
    // A request that waits holds its own reference.
    let mut answered = limits.answered.borrow_mut();
    answered.retain(|_, notify| Rc::strong_count(notify) > 1);
}

fn lease_candidate(state: &SidecarState) -> LeaseCandidate {
    let own = state.members.own().id;
    let order = state.members.limit_candidates();
    let first = &order[..order.len().min(LEASE_CANDIDATES)];
    let mut others = first.iter().filter(|id| **id != own);
    LeaseCandidate {
        rank: first.iter().position(|id| *id == own),
        has_others: others.any(|id| state.members.is_reachable(id)),
        is_leaving: state.is_leaving.get(),
        can_hand_over: can_hand_over(state),
        has_lost_store: state.members.own().store == StoreReach::Lost,
    }
}

fn row_key(state: &SidecarState, slot: usize) -> Box<str> {
    format!("{}/{slot}", state.settings().region).into()
}

async fn read_rows(state: &SidecarState) {
    let started = state.clock.boot();
    let reply = match state.store.read_all(StoreTable::RateLimits).await {
        Ok(reply) => reply,
        Err(fault) => {
            state.rate_limits.lease.borrow_mut().on_read_failed();
            return log_fault("limit_rows_not_read", fault);
        }
    };
    let now = state.clock.boot();
    for slot in 0..REGION_SLOTS {
        let key = row_key(state, slot);
        let found = reply.rows.iter().find(|row| row.key == key);
        let version = found.map_or(StoreVersion::ABSENT, |row| row.version);
        let value = found.and_then(|row| row.value.as_deref());
        let row: Option<LeaseRow> = match value.map(rmp_serde::from_slice).transpose() {
            Ok(row) => row,
            Err(error) => {
                // It can't be told who holds the slot, so nobody takes it.
                let event = json!({"name": "limit_row_unreadable", "key": key,
                    "reason": error.to_string()});
                warn!(target: CALLS, "{event}");
                continue;
            }
        };
        if let Some(row) = &row
            && now < started + PROMPT_READ
        {
            report_row(state, slot, version, row);
        }
        let mut lease = state.rate_limits.lease.borrow_mut();
        lease.on_read(slot, version, row, now);
    }
}

async fn write_row(state: &SidecarState, slot: usize, version: StoreVersion, row: LeaseRow) {
    let key = row_key(state, slot);
    let value = match rmp_serde::to_vec(&row) {
        Ok(value) => value,
        Err(error) => {
            warn!(target: CALLS, "lease of a limit can't be encoded: {error}");
            return;
        }
    };
    let call = StoreCall::Write {
        table: StoreTable::RateLimits,
        conditions: vec![(key.clone(), version)],
        puts: vec![(key.clone(), value)],
        removals: Vec::new(),
    };
    let started = state.clock.boot();
    let reply = state.store.call(&call).await;
    let now = state.clock.boot();
    if let Err(fault) = &reply {
        log_fault("limit_row_not_written", *fault);
    }
    let result = reply.map(|reply| reply.version);
    let is_released = row.is_released;
    let limits = &state.rate_limits;
    let has_begun = limits
        .lease
        .borrow_mut()
        .on_written(slot, row, result, started, now);
    if has_begun {
        limits.buckets.borrow_mut()[slot] = LimitBuckets::new(now);
        info!(target: CALLS, "{}", json!({"name": "limit_slot_taken", "key": key}));
    } else if is_released {
        info!(target: CALLS, "{}", json!({"name": "limit_slot_released", "key": key}));
    }
}

fn log_fault(name: &str, fault: StoreFault) {
    let event = json!({"name": name, "reason": fault.to_string()});
    warn!(target: CALLS, "{event}");
}

/// Asks the holders for tokens that requests wait for.
pub async fn ask_for_tokens(state: Rc<SidecarState>) {
    let limits = &state.rate_limits;
    loop {
        let is_local = ask_slots(&state);
        if is_local {
            // A question to itself is answered already, so the next one may be due.
            tokio::task::yield_now().await;
        }
        let due = limits.share.borrow().next_due();
        let now = state.clock.boot();
        let pause = due.map_or(IDLE_PAUSE, |due| due.saturating_sub(now));
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = limits.asked.notified() => {}
        }
    }
}

/// Returns the daemons to ask for tokens. They are not computed for each question, as the cost
/// grows with the number of daemons.
fn current_order(state: &SidecarState) -> Rc<[MemberId]> {
    let now = state.clock.boot();
    let mut order = state.rate_limits.order.borrow_mut();
    if order.1.is_empty() || now >= order.0 + LEASE_PAUSE {
        *order = (now, state.members.limit_holders(state.now()).into());
    }
    Rc::clone(&order.1)
}

fn ask_slots(state: &SidecarState) -> bool {
    let limits = &state.rate_limits;
    let order = current_order(state);
    let own = &limits.own;
    let mut is_local = false;
    for slot in 0..REGION_SLOTS {
        loop {
            let now = state.clock.boot();
            let question = limits.share.borrow_mut().next_question(slot, &order, now);
            let Some(question) = question else {
                break;
            };
            if question.peer == *own {
                is_local = true;
                let grants = grant(state, slot, &question.demands);
                take_granted(state, own, question.number, &grants);
                continue;
            }
            if !send(state, slot, &question) {
                let teams = limits.share.borrow_mut().on_unsent(slot, now);
                limits.wake(&teams);
            }
        }
    }
    is_local
}

fn send(state: &SidecarState, slot: usize, question: &LimitQuestion) -> bool {
    let Some(link) = state.members.link(&question.peer) else {
        return false;
    };
    let demands = question.demands.clone();
    let frame = PeerFrame::TokensWanted(question.number, slot as u8, demands);
    link.has_feature(FEATURE_TOKENS) && link.send(frame)
}

/// Answers a [`PeerFrame::TokensWanted`].
pub(crate) fn answer_tokens(
    state: &SidecarState,
    side: &LinkSide,
    number: u32,
    slot: u8,
    demands: &[TokenDemand],
) {
    let grants = grant(state, usize::from(slot), demands);
    side.send(PeerFrame::TokensGranted(number, grants));
}

/// Lends tokens of a slot; lends none if this daemon does not hold it.
fn grant(state: &SidecarState, slot: usize, demands: &[TokenDemand]) -> Vec<TokenGrant> {
    let mut grants = Vec::new();
    let limits = &state.rate_limits;
    let now = state.clock.boot();
    let (Some(active), true) = (
        state.config.active(),
        limits.lease.borrow().may_lend(slot, now),
    ) else {
        return grants;
    };
    // Without it, no daemon asks.
    let Some(quota) = state.settings().bounds.quota else {
        return grants;
    };
    let terms = (quota, region_count(state));
    let mut buckets = limits.buckets.borrow_mut();
    for demand in demands {
        let Some(limit) = slot_limit(&active, &demand.team, terms) else {
            continue;
        };
        let (granted, next) = match limit {
            Some(limit) => buckets[slot].take(&demand.team, limit, demand.wanted, now),
            None => (demand.wanted, Duration::ZERO),
        };
        // Rounded up, so that a token is there when the next question arrives.
        let next_ms = u32::from(granted < demand.wanted) + next.as_millis() as u32;
        grants.push(TokenGrant {
            team: demand.team.clone(),
            granted,
            valid_ms: TOKEN_VALIDITY.as_millis() as u32,
            next_ms,
        });
    }
    if grants.is_empty() {
        // An empty response would say that this daemon does not hold the slot.
        grants.extend(demands.first().map(|demand| TokenGrant {
            team: demand.team.clone(),
            granted: 0,
            valid_ms: 0,
            next_ms: UNKNOWN_TEAM_MS,
        }));
    }
    grants
}

/// Returns the slot's part of a team's limit, `Some(None)` if it has no limit, and `None` if the team
/// is not known.
fn slot_limit(
    active: &ActiveConfig,
    team: &TeamName,
    (quota, regions): (QuotaBounds, usize),
) -> Option<Option<SlotLimit>> {
    let team = active.config.teams.get(team)?;
    let (rate_per_s, burst) = lent_limit(team.rate_per_s, team.burst, quota);
    let limit = SlotLimit::new(rate_per_s, burst, regions);
    Some((team.rate_per_s > 0.0).then_some(limit))
}

fn region_count(state: &SidecarState) -> usize {
    let settings = state.settings();
    let mut regions: Vec<_> = settings.zones.values().collect();
    regions.sort_unstable();
    regions.dedup();
    regions.len().max(1)
}

/// Handles a [`PeerFrame::TokensGranted`] of a peer.
pub(crate) fn take_granted(
    state: &SidecarState,
    peer: &MemberId,
    number: u32,
    grants: &[TokenGrant],
) {
    let limits = &state.rate_limits;
    let now = state.clock.boot();
    let teams = limits
        .share
        .borrow_mut()
        .on_granted(peer, number, grants, now);
    limits.wake(&teams.unwrap_or_default());
    limits.asked.notify_one();
}
