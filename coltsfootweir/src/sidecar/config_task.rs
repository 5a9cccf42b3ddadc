//! Task that reads the operator's orders (configurations and rollouts) from the platform's store.
//!
//! Only some daemons watch the store; the others receive changes from their peers.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use log::info;
use log::warn;
use serde_json::json;

use crate::ids::ZoneName;
use crate::logging::CONFIG;
use crate::sidecar::member_table::RolloutStage;
use crate::sidecar::member_table::StoreReach;
use crate::sidecar::placement::evacuation_task::adopt_evacuations;
use crate::sidecar::placement::evacuation_task::is_known_zone;
use crate::sidecar::platform_adapter::OrderRow;
use crate::sidecar::platform_adapter::RolloutOrder;
use crate::sidecar::platform_adapter::RolloutPhase;
use crate::sidecar::platform_adapter::StoreCall;
use crate::sidecar::platform_adapter::StoreFault;
use crate::sidecar::platform_adapter::StoreReply;
use crate::sidecar::platform_adapter::StoreRow;
use crate::sidecar::platform_adapter::StoreTable;
use crate::sidecar::rollouts::rollout_book::StoredOrder;
use crate::sidecar::sidecar_state::SidecarState;
use crate::sidecar::store_era::store_version::StoreVersion;

/// Milliseconds for which the store holds a watch call open while nothing changes.
///
/// A store that does not respond is detected after this time plus the timeout of a call. Another
/// daemon then has to deliver a change within its limit of 2.5 s.
const WATCH_WAIT_MS: u64 = 1_000;

/// The same while requests must prove that their API keys are not withdrawn: the age of a proof starts
/// with the call, and must leave most of the bound for the time in which the store is out of reach.
const PROOF_WATCH_WAIT_MS: u64 = 500;

/// Time after the start after which a daemon that has not found any peers reads the orders itself.
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(900);

/// Interval between checks for whether peers have been found.
const DISCOVERY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between checks for whether this daemon has to watch the store.
const WATCHER_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Base of the backoff after failed calls: the pause is this value times two to the power of the
/// failures in a row. All daemons share the rate limit of the store.
const RETRY_BACKOFF_BASE: Duration = Duration::from_millis(150);

/// Upper limit of the backoff after failed calls.
const MAX_RETRY_BACKOFF: Duration = Duration::from_millis(1_000);

/// The same while requests must prove that their API keys are not withdrawn.
const MAX_PROOF_RETRY_BACKOFF: Duration = Duration::from_millis(300);

/// Failed calls in a row after which the store counts as lost and another daemon watches it. A
/// single call without a response has the same effect.
const MAX_FAILURES: u32 = 2;

/// Interval between attempts to reach a lost store from a daemon that does not have to watch it.
const LOST_STORE_PROBE_INTERVAL: Duration = Duration::from_millis(1_500);

/// Watches the store for orders whenever this daemon is one of the watchers.
pub async fn watch_orders(state: Rc<SidecarState>) {
    // Daemons that start at the same time find each other first, so that not all of them read the
    // orders.
    let is_first = state.settings().is_first_start;
    let has_found_peers =
        || !is_first && state.members_read.get() && state.members.has_known_members();
    while state.now() < DISCOVERY_TIMEOUT && !has_found_peers() {
        tokio::time::sleep(DISCOVERY_POLL_INTERVAL).await;
    }
    let mut watch = OrderWatch {
        state,
        cursor: None,
        failures: 0,
        is_watching: false,
        is_config_unreadable: false,
        evacuated: BTreeSet::new(),
    };
    loop {
        watch.step().await;
    }
}

struct OrderWatch {
    state: Rc<SidecarState>,
    /// Store version up to which all changes have been read; `None` forces a full read.
    cursor: Option<StoreVersion>,
    /// Failed calls in a row.
    failures: u32,
    /// Whether this daemon watched the store in the last step.
    is_watching: bool,
    /// Whether the store holds a configuration that could not be read, so that the active one is not
    /// the newest.
    is_config_unreadable: bool,
    /// Zones that are evacuated at the cursor.
    evacuated: BTreeSet<ZoneName>,
}

impl OrderWatch {
    /// Makes one call to the store, or waits if this daemon does not have to watch it.
    async fn step(&mut self) {
        let must_watch = self.must_watch();
        if must_watch != std::mem::replace(&mut self.is_watching, must_watch) {
            let name = match must_watch {
                true => "store_watch_started",
                false => "store_watch_ended",
            };
            let event = json!({"name": name, "version": self.state.config.version()});
            info!(target: CONFIG, "{event}");
        }
        if !must_watch {
            // The peers deliver changes from now on, so a later watch starts with a full read.
            self.cursor = None;
            match self.state.members.own().store {
                StoreReach::Lost => self.probe_lost_store().await,
                _ => tokio::time::sleep(WATCHER_POLL_INTERVAL).await,
            }
            return;
        }
        let begun = self.state.clock.boot();
        let read = match self.cursor {
            None => self.read_orders().await,
            Some(after) => self.watch(after).await,
        };
        log::debug!(target: CONFIG, "orders read from {:?}: {read:?}", self.cursor);
        match read {
            Ok(version) => {
                self.cursor = Some(version);
                self.failures = 0;
                if !self.is_config_unreadable {
                    self.state.prove_config(begun);
                }
                self.publish_reached();
            }
            Err(StoreFault::HistoryGone) => self.cursor = None,
            Err(fault) => self.on_failure(fault).await,
        }
    }

    /// Returns whether this daemon has to watch the store: it is one of the watchers, or no other
    /// daemon can reach the store.
    fn must_watch(&self) -> bool {
        let members = &self.state.members;
        members.is_watcher() || !members.has_other_store_access()
    }

    async fn probe_lost_store(&mut self) {
        tokio::time::sleep(LOST_STORE_PROBE_INTERVAL).await;
        let call = StoreCall::Read {
            table: StoreTable::Reports,
            from: "".into(),
        };
        match self.state.store.call(&call).await {
            Ok(_) => self.publish_reached(),
            Err(fault) => log::debug!(target: CONFIG, "the store is still unreachable: {fault}"),
        }
    }

    fn publish_reached(&self) {
        let distance = self.state.store.connect_time().unwrap_or_default();
        let millis = u16::try_from(distance.as_millis()).unwrap_or(u16::MAX);
        self.state.publish_store_reach(StoreReach::Within(millis));
    }

    async fn on_failure(&mut self, fault: StoreFault) {
        self.failures += 1;
        let event = json!({"name": "orders_not_read", "reason": fault.to_string(),
            "failures": self.failures});
        warn!(target: CONFIG, "{event}");
        if fault == StoreFault::NoAnswer || self.failures >= MAX_FAILURES {
            self.state.publish_store_reach(StoreReach::Lost);
        }
        let factor = 1 << self.failures.min(8);
        let pause = RETRY_BACKOFF_BASE.saturating_mul(factor);
        let limit = match self.state.revocation_bound() {
            Some(_) => MAX_PROOF_RETRY_BACKOFF,
            None => MAX_RETRY_BACKOFF,
        };
        tokio::time::sleep(pause.min(limit)).await;
    }

    /// Reads all orders; returns the store version of the read.
    async fn read_orders(&mut self) -> Result<StoreVersion, StoreFault> {
        let reply = self.state.store.read_all(StoreTable::Orders).await?;
        self.observe_era(reply.version);
        let mut orders = Vec::new();
        self.evacuated.clear();
        for row in &reply.rows {
            if let Some(order) = self.apply_row(row) {
                orders.push((order, row.version));
            }
        }
        self.adopt_evacuated(reply.version);
        if !orders.is_empty() {
            self.add_existing_orders(orders).await?;
        }
        self.state.publish();
        Ok(reply.version)
    }

    /// Adds rollout orders that may have been executed, fully or in part, before this daemon
    /// started. Their stages come from the reports in the store.
    async fn add_existing_orders(
        &self,
        orders: Vec<(RolloutOrder, StoreVersion)>,
    ) -> Result<(), StoreFault> {
        let reports = self.state.store.read_all(StoreTable::Reports).await?;
        for (order, row) in orders {
            let (key, _) = self
                .state
                .platform_adapter
                .rollout_report(&order, RolloutPhase::Active);
            let stage = reported_stage(&self.state, &reports, &key, &order, row);
            self.state.add_order(StoredOrder { order, row, stage });
        }
        Ok(())
    }

    /// Waits for changes after version `after` and applies them; returns the new version.
    async fn watch(&mut self, after: StoreVersion) -> Result<StoreVersion, StoreFault> {
        let call = StoreCall::Watch {
            table: StoreTable::Orders,
            after,
            wait_ms: match self.state.revocation_bound() {
                Some(_) => PROOF_WATCH_WAIT_MS,
                None => WATCH_WAIT_MS,
            },
        };
        let reply = self.state.store.call(&call).await?;
        for row in &reply.rows {
            if let Some(order) = self.apply_row(row) {
                self.state.add_order(StoredOrder {
                    order,
                    row: row.version,
                    stage: RolloutStage::Trial,
                });
            }
        }
        let version = reply.version.max(after);
        self.adopt_evacuated(version);
        if !reply.rows.is_empty() {
            self.state.publish();
        }
        Ok(version)
    }

    fn observe_era(&self, version: StoreVersion) {
        let mut rollouts = self.state.rollouts.borrow_mut();
        rollouts.observe_era(version.era(), self.state.now());
    }

    fn adopt_evacuated(&self, version: StoreVersion) {
        adopt_evacuations(&self.state, version, &self.evacuated, "store", true);
    }

    /// Activates the configuration in a row, or returns the rollout order in it. An unreadable row
    /// is logged and ignored.
    fn apply_row(&mut self, row: &StoreRow) -> Option<RolloutOrder> {
        match self.state.platform_adapter.order_row(row) {
            Ok(OrderRow::Config(config)) => {
                self.is_config_unreadable = false;
                if self.state.config.adopt(config, "store") {
                    self.state.announce_config(true);
                }
                None
            }
            Ok(OrderRow::Rollout(order)) => Some(order),
            Ok(OrderRow::Evacuation { zone, is_active }) => {
                if !is_active {
                    self.evacuated.remove(&zone);
                } else if is_known_zone(&self.state, &zone) {
                    self.evacuated.insert(zone);
                }
                None
            }
            Ok(OrderRow::Other) => None,
            Err(error) => {
                self.is_config_unreadable |= error.is_config();
                let event = json!({"name": "order_unreadable", "key": row.key,
                    "row": row.version.to_string(), "reason": error.to_string()});
                warn!(target: CONFIG, "{event}");
                None
            }
        }
    }
}

/// Returns the stage of an order according to its report in the store. Reports that are older than
/// the order or name another version are ignored.
fn reported_stage(
    state: &SidecarState,
    reports: &StoreReply,
    key: &str,
    order: &RolloutOrder,
    row: StoreVersion,
) -> RolloutStage {
    let mut rows = reports.rows.iter();
    let report = rows.find(|report| *report.key == *key && report.version.follows(row));
    let value = report.and_then(|report| report.value.as_deref());
    match value.and_then(|value| state.platform_adapter.read_report(value)) {
        Some((version, RolloutPhase::Done)) if version == order.version => RolloutStage::Done,
        Some((version, RolloutPhase::TakenBack)) if version == order.version => {
            RolloutStage::TakenBack
        }
        _ => RolloutStage::Trial,
    }
}
