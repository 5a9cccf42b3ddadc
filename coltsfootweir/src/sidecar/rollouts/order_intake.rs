//! Takes in rollout orders and stages from the store and from other daemons.

use std::time::Duration;

use log::info;
use serde_json::json;

use crate::ids::MemberId;
use crate::ids::ServiceName;
use crate::logging::MOVES;
use crate::sidecar::member_table::RolloutStage;
use crate::sidecar::member_table::RolloutStatus;
use crate::sidecar::member_table::VersionCount;
use crate::sidecar::platform_adapter::RolloutOrder;
use crate::sidecar::rollouts::rollout_book::OrderChange;
use crate::sidecar::rollouts::rollout_book::StoredOrder;
use crate::sidecar::sidecar_state::PeerRollouts;
use crate::sidecar::sidecar_state::SidecarState;
use crate::sidecar::store_era::store_version::StoreVersion;

impl SidecarState {
    /// Takes in a rollout order. Returns whether it changed anything; an order that is not newer than the
    /// known one for its service is ignored.
    pub fn add_order(&self, offered: StoredOrder) -> bool {
        let known = self.rollouts.borrow().get(&offered.order.service).cloned();
        let change = self
            .rollouts
            .borrow_mut()
            .offer(offered.clone(), self.now());
        let name = match change {
            OrderChange::None => return false,
            OrderChange::Added => "rollout_learned",
            OrderChange::Renewed => "rollout_renewed",
            OrderChange::Held => "rollout_held",
        };
        log_order(name, &offered, known.map(|known| known.row));
        change != OrderChange::Held
    }

    /// Follows the orders that were held while the store might have been incomplete.
    pub fn settle_orders(&self) {
        let settled = self.rollouts.borrow_mut().settle(self.now());
        for offered in &settled {
            log_order("rollout_learned", offered, None);
        }
    }

    /// Advances the rollout of an order to a later stage; returns whether that changed anything.
    /// `reason` appears in the log.
    pub fn advance(
        &self,
        service: &ServiceName,
        row: StoreVersion,
        stage: RolloutStage,
        reason: &str,
    ) -> bool {
        let mut rollouts = self.rollouts.borrow_mut();
        let Some(rollout) = rollouts.get_mut(service) else {
            return false;
        };
        if !rollout.advance(row, stage) {
            return false;
        }
        let event = json!({"name": "rollout_stage", "service": service,
            "version": rollout.order.version, "order": rollout.row.to_string(),
            "stage": format!("{stage:?}"), "reason": reason});
        info!(target: MOVES, "{event}");
        true
    }

    /// Stores the rollout status of another daemon and applies its stages here.
    pub fn merge_peer_rollouts(
        &self,
        id: MemberId,
        rollout_statuses: Vec<RolloutStatus>,
        counts: Vec<VersionCount>,
    ) {
        self.apply_stances(&rollout_statuses);
        let rollouts = PeerRollouts {
            rollout_statuses,
            counts,
        };
        self.peer_rollouts.borrow_mut().insert(id, rollouts);
    }

    /// Applies the rollout stages of another daemon to this one.
    pub(crate) fn apply_stances(&self, rollout_statuses: &[RolloutStatus]) {
        let mut changed = false;
        for stance in rollout_statuses {
            let order = RolloutOrder {
                service: stance.service.clone(),
                version: stance.version.clone(),
                duration: Duration::from_millis(stance.duration_ms),
            };
            let stage = adopted_stage(stance.stage);
            changed |= self.add_order(StoredOrder {
                order,
                row: stance.order,
                stage,
            });
            let reason = "told by another daemon";
            changed |= self.advance(&stance.service, stance.order, stage, reason);
        }
        if changed {
            self.publish();
        }
    }
}

/// Logs an order; `known` is the version of the one that was known for its service.
fn log_order(name: &str, offered: &StoredOrder, known: Option<StoreVersion>) {
    let event = json!({"name": name, "service": offered.order.service,
        "version": offered.order.version, "order": offered.row.to_string(),
        "known": known.map(|known| known.to_string()),
        "stage": format!("{:?}", offered.stage)});
    info!(target: MOVES, "{event}");
}

/// Returns the stage to adopt from another daemon. `Settled` applies to that daemon only, but it
/// implies that the traffic has been shifted.
fn adopted_stage(stage: RolloutStage) -> RolloutStage {
    match stage {
        RolloutStage::Settled => RolloutStage::Shifted,
        other => other,
    }
}
