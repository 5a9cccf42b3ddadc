//! Watches the operator's orders in the store on behalf of the daemons of the deployment.

use std::rc::Rc;
use std::time::Duration;

use log::warn;
use serde_json::json;

use crate::ids::RowVersion;
use crate::logging::CONFIG;
use crate::sidecar::dialect::OrderRow;
use crate::sidecar::dialect::RolloutOrder;
use crate::sidecar::dialect::RolloutPhase;
use crate::sidecar::dialect::StoreCall;
use crate::sidecar::dialect::StoreFault;
use crate::sidecar::dialect::StoreReply;
use crate::sidecar::dialect::StoreRow;
use crate::sidecar::dialect::StoreTable;
use crate::sidecar::member_table::RolloutStage;
use crate::sidecar::member_table::StoreReach;
use crate::sidecar::sidecar_state::SidecarState;

/// Time for which the store holds a watch without news. This and the limit of a call is the time in
/// which a silent store is noticed; another daemon then has to bring changes within their bound of
/// 2.5 s.
const WATCH_WAIT_MS: u64 = 1_000;

/// Time after the start after which a daemon that has not found the others looks for orders by itself.
const MEETING_TIME: Duration = Duration::from_millis(900);

/// Pause between two looks at whether the others have been found.
const MEETING_PAUSE: Duration = Duration::from_millis(20);

/// Pause between two looks at whether this daemon is to watch.
const DUTY_PAUSE: Duration = Duration::from_millis(200);

/// Pauses after a failed call; the store's rates are shared by all daemons.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Longest pause after failed calls in a row.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(1_000);

/// Refusals in a row after which another daemon is to watch; after a call without an answer one does
/// at once.
const MAX_REFUSALS: u32 = 2;

/// Pause between two looks at a store that was lost, on daemons that need not watch it.
const LOST_PAUSE: Duration = Duration::from_millis(1_500);

/// Watches the store whenever this daemon is among those that do so for the others.
pub async fn watch_orders(state: Rc<SidecarState>) {
    // Those that start at one time find each other first, so that not all of them read the orders.
    let is_first = state.settings().is_first_start;
    let has_met = || !is_first && state.members_read.get() && state.members.has_known_members();
    while state.now() < MEETING_TIME && !has_met() {
        tokio::time::sleep(MEETING_PAUSE).await;
    }
    let mut watch = OrderWatch {
        state,
        cursor: None,
        failures: 0,
    };
    loop {
        watch.step().await;
    }
}

struct OrderWatch {
    state: Rc<SidecarState>,
    /// Version up to which changes are known.
    cursor: Option<RowVersion>,
    failures: u32,
}

impl OrderWatch {
    async fn step(&mut self) {
        if !self.is_on_duty() {
            // What changes meanwhile comes from other daemons.
            self.cursor = None;
            match self.state.members.own().store {
                StoreReach::Lost => self.look_again().await,
                _ => tokio::time::sleep(DUTY_PAUSE).await,
            }
            return;
        }
        let read = match self.cursor {
            None => self.read_orders().await,
            Some(after) => self.watch(after).await,
        };
        log::debug!(target: CONFIG, "orders read from {:?}: {read:?}", self.cursor);
        match read {
            Ok(version) => {
                self.cursor = Some(version);
                self.failures = 0;
                self.note_reached();
            }
            Err(StoreFault::HistoryGone) => self.cursor = None,
            Err(fault) => self.on_failure(fault).await,
        }
    }

    /// A daemon that nobody brings the configuration has to look itself.
    fn is_on_duty(&self) -> bool {
        let members = &self.state.members;
        members.is_watcher() || !members.has_other_store_access()
    }

    async fn look_again(&mut self) {
        tokio::time::sleep(LOST_PAUSE).await;
        let call = StoreCall::Read {
            table: StoreTable::Reports,
            from: "".into(),
        };
        match self.state.store.call(&call).await {
            Ok(_) => self.note_reached(),
            Err(fault) => log::debug!(target: CONFIG, "the store is still out of reach: {fault}"),
        }
    }

    fn note_reached(&self) {
        let distance = self.state.store.connect_time().unwrap_or_default();
        let millis = u16::try_from(distance.as_millis()).unwrap_or(u16::MAX);
        self.state.publish_reach(StoreReach::Within(millis));
    }

    async fn on_failure(&mut self, fault: StoreFault) {
        self.failures += 1;
        let what = json!({"name": "orders_not_read", "reason": fault.to_string(),
            "failures": self.failures});
        warn!(target: CONFIG, "{what}");
        if fault == StoreFault::NoAnswer || self.failures >= MAX_REFUSALS {
            self.state.publish_reach(StoreReach::Lost);
        }
        let factor = 1 << self.failures.min(8);
        let pause = FIRST_RETRY_PAUSE.saturating_mul(factor);
        tokio::time::sleep(pause.min(MAX_RETRY_PAUSE)).await;
    }

    async fn read_orders(&mut self) -> Result<RowVersion, StoreFault> {
        let reply = self.state.store.read_all(StoreTable::Orders).await?;
        let mut orders = Vec::new();
        for row in &reply.rows {
            if let Some(order) = self.take_row(row) {
                orders.push((order, row.version));
            }
        }
        if !orders.is_empty() {
            self.take_known_orders(orders).await?;
        }
        self.state.publish();
        Ok(reply.version)
    }

    /// Takes orders that may have been carried out before this daemon started.
    async fn take_known_orders(
        &self,
        orders: Vec<(RolloutOrder, RowVersion)>,
    ) -> Result<(), StoreFault> {
        let reports = self.state.store.read_all(StoreTable::Reports).await?;
        for (order, row) in orders {
            let (key, _) = self
                .state
                .dialect
                .rollout_report(&order, RolloutPhase::Active);
            let stage = reported_stage(&self.state, &reports, &key, &order, row);
            self.state.take_order(order, row, stage);
        }
        Ok(())
    }

    async fn watch(&self, after: RowVersion) -> Result<RowVersion, StoreFault> {
        let call = StoreCall::Watch {
            table: StoreTable::Orders,
            after,
            wait_ms: WATCH_WAIT_MS,
        };
        let reply = self.state.store.call(&call).await?;
        for row in &reply.rows {
            if let Some(order) = self.take_row(row) {
                self.state
                    .take_order(order, row.version, RolloutStage::Trial);
            }
        }
        if !reply.rows.is_empty() {
            self.state.publish();
        }
        Ok(reply.version.max(after))
    }

    /// Puts a configuration in force; returns an order to move traffic.
    fn take_row(&self, row: &StoreRow) -> Option<RolloutOrder> {
        match self.state.dialect.order_row(row) {
            Ok(OrderRow::Config(config)) => {
                if self.state.config.adopt(config, "store") {
                    self.state.tell_config();
                }
                None
            }
            Ok(OrderRow::Rollout(order)) => Some(order),
            Ok(OrderRow::Other) => None,
            Err(error) => {
                let what = json!({"name": "order_unreadable", "key": row.key,
                    "row": row.version, "reason": error.to_string()});
                warn!(target: CONFIG, "{what}");
                None
            }
        }
    }
}

/// Returns how far an order was carried out as its report tells.
fn reported_stage(
    state: &SidecarState,
    reports: &StoreReply,
    key: &str,
    order: &RolloutOrder,
    row: RowVersion,
) -> RolloutStage {
    let mut rows = reports.rows.iter();
    let report = rows.find(|report| *report.key == *key && report.version > row);
    let value = report.and_then(|report| report.value.as_deref());
    match value.and_then(|value| state.dialect.read_report(value)) {
        Some((version, RolloutPhase::Done)) if version == order.version => RolloutStage::Done,
        Some((version, RolloutPhase::TakenBack)) if version == order.version => {
            RolloutStage::TakenBack
        }
        _ => RolloutStage::Trial,
    }
}
