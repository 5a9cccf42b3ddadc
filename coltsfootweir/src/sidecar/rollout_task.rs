//! Task that runs rollouts: evaluates the pooled responses, advances the stages and writes reports.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use log::warn;
use serde_json::json;

use crate::ids::MemberId;
use crate::logging::MOVES;
use crate::sidecar::frame::PeerFrame;
use crate::sidecar::member_table::RolloutStage;
use crate::sidecar::member_table::RolloutStatus;
use crate::sidecar::member_table::VersionCount;
use crate::sidecar::platform_adapter::RolloutPhase;
use crate::sidecar::platform_adapter::StoreCall;
use crate::sidecar::platform_adapter::StoreFault;
use crate::sidecar::platform_adapter::StoreTable;
use crate::sidecar::rollout::CountHistory;
use crate::sidecar::rollout::RolloutState;
use crate::sidecar::sidecar_state::SidecarState;
use crate::sidecar::store_era::store_version::StoreVersion;

/// Interval between evaluations of the rollouts. A faulty version must be found within seconds.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(300);

/// Pause before a report that could not be written is retried.
const REPORT_RETRY_PAUSE: Duration = Duration::from_millis(700);

/// Time after the shift in which requests sent before it may still arrive at the old endpoints.
const SHIFT_TRANSIT_TIME: Duration = Duration::from_millis(400);

/// Evaluates and advances rollouts until the daemon exits.
pub async fn run_rollouts(state: Rc<SidecarState>) {
    let mut runner = RolloutRunner {
        state,
        shifted: HashMap::new(),
        reported: HashMap::new(),
        next_report: Duration::ZERO,
        history: CountHistory::default(),
        last_sent: Default::default(),
    };
    loop {
        tokio::time::sleep(EVALUATION_INTERVAL).await;
        runner.evaluate();
        if runner.state.members.is_rollout_leader() {
            runner.coordinate().await;
        }
    }
}

struct RolloutRunner {
    state: Rc<SidecarState>,
    /// Time at which this daemon shifted the traffic, by order.
    shifted: HashMap<StoreVersion, Duration>,
    /// Last phase written to the store or found there, by order.
    reported: HashMap<StoreVersion, RolloutPhase>,
    /// Earliest time of the next report, after a failed one.
    next_report: Duration,
    history: CountHistory,
    /// Status that was sent last, and its recipients.
    last_sent: (Vec<MemberId>, Vec<RolloutStatus>, Vec<VersionCount>),
}

fn own_counts(state: &SidecarState) -> Vec<VersionCount> {
    let mut counts = Vec::new();
    for rollout in state.rollouts.borrow().iter() {
        counts.extend_from_slice(rollout.counts());
    }
    counts
}

impl RolloutRunner {
    /// Evaluates the rollouts and publishes the result. Runs on every daemon.
    fn evaluate(&mut self) {
        self.state.settle_orders();
        let rollouts: Vec<RolloutState> = self.state.rollouts.borrow().iter().cloned().collect();
        if rollouts.is_empty() {
            return;
        }
        let pooled = self.pooled();
        let recent = self.history.record(pooled.clone(), self.state.now());
        for rollout in rollouts {
            let service = &rollout.order.service;
            let fault = rollout.find_fault(&pooled);
            let fault = fault.or_else(|| rollout.find_fault(&recent));
            if rollout.stage < RolloutStage::Done
                && let Some(fault) = fault
            {
                self.state
                    .advance(service, rollout.row, RolloutStage::TakenBack, &fault);
            }
            if rollout.stage == RolloutStage::Shifted && self.is_settled(&rollout) {
                let reason = "nothing runs at the old version here";
                self.state
                    .advance(service, rollout.row, RolloutStage::Settled, reason);
            }
        }
        self.send_status();
        self.state.publish();
    }

    /// Shifts the traffic and writes the reports. Runs on a single daemon for the whole deployment.
    async fn coordinate(&mut self) {
        let rollouts: Vec<RolloutState> = self.state.rollouts.borrow().iter().cloned().collect();
        let pooled = self.pooled();
        for rollout in rollouts {
            let service = &rollout.order.service;
            let phase = match rollout.stage {
                RolloutStage::Trial => {
                    if let Some(summary) = rollout.trial_summary(&pooled, self.state.now()) {
                        self.state
                            .advance(service, rollout.row, RolloutStage::Shifted, &summary);
                        self.state.publish();
                    }
                    RolloutPhase::Active
                }
                RolloutStage::Settled if self.all_settled(&rollout) => RolloutPhase::Done,
                RolloutStage::Done => RolloutPhase::Done,
                RolloutStage::TakenBack => RolloutPhase::TakenBack,
                RolloutStage::Shifted | RolloutStage::Settled => RolloutPhase::Active,
            };
            self.report(&rollout, phase).await;
        }
    }

    /// Returns the counts of this daemon and those received from other daemons.
    fn pooled(&self) -> Vec<VersionCount> {
        let mut pooled = own_counts(&self.state);
        for peer in self.state.peer_rollouts.borrow().values() {
            pooled.extend_from_slice(&peer.counts);
        }
        pooled
    }

    /// Sends the stages and counts of this daemon to the daemons that evaluate rollouts, if anything
    /// has changed.
    fn send_status(&mut self) {
        let counts = own_counts(&self.state);
        let rollout_statuses = self.state.rollout_statuses();
        let mut recipients = self.state.members.rollout_evaluators();
        // An unreachable daemon gets the status once it is reachable.
        recipients.retain(|id| self.state.members.is_reachable(id));
        let status = (recipients, rollout_statuses, counts);
        if status == self.last_sent {
            return;
        }
        let (recipients, rollout_statuses, counts) = &status;
        let own = self.state.members.own().id;
        for link in recipients
            .iter()
            .filter_map(|id| self.state.members.link(id))
        {
            let frame = PeerFrame::Rollouts(own.clone(), rollout_statuses.clone(), counts.clone());
            link.send(frame);
        }
        self.last_sent = status;
    }

    /// Returns whether requests sent before the shift have arrived and none runs at the old version on
    /// this VM.
    fn is_settled(&mut self, rollout: &RolloutState) -> bool {
        let now = self.state.now();
        let since = *self.shifted.entry(rollout.row).or_insert(now);
        let is_old = self.state.endpoint.summary().is_some_and(|endpoint| {
            endpoint.service == rollout.order.service && endpoint.version != rollout.order.version
        });
        now >= since + SHIFT_TRANSIT_TIME && (!is_old || self.state.endpoint.load().is_idle())
    }

    /// Returns whether all live daemons have settled.
    fn all_settled(&self, rollout: &RolloutState) -> bool {
        let own = self.state.members.own().id;
        let peers = self.state.peer_rollouts.borrow();
        self.state.members.read(|table| {
            table.iter().all(|record| {
                let is_away = !self.state.members.is_presumed_live(&record.id);
                if record.id == own || is_away {
                    return true;
                }
                let rollout_statuses = peers
                    .get(&record.id)
                    .map(|peer| peer.rollout_statuses.as_slice());
                let mut rollout_statuses = rollout_statuses.unwrap_or_default().iter();
                let stance = rollout_statuses.find(|stance| stance.order == rollout.row);
                stance.is_some_and(|stance| stance.stage >= RolloutStage::Settled)
            })
        })
    }

    /// Reports the phase of a rollout, unless it is already reported or a retry is pending, and
    /// advances the rollout to the stage of the report in the store.
    async fn report(&mut self, rollout: &RolloutState, phase: RolloutPhase) {
        let now = self.state.now();
        if self.reported.get(&rollout.row) == Some(&phase) || now < self.next_report {
            return;
        }
        let service = &rollout.order.service;
        match self.write_report(rollout, phase).await {
            Ok(written) => {
                self.reported.insert(rollout.row, written);
                let stage = match written {
                    RolloutPhase::Active => return,
                    RolloutPhase::Done => RolloutStage::Done,
                    RolloutPhase::TakenBack => RolloutStage::TakenBack,
                };
                self.state.advance(service, rollout.row, stage, "reported");
                self.state.publish();
            }
            Err(fault) => {
                self.next_report = now + REPORT_RETRY_PAUSE;
                let event = json!({"name": "rollout_not_reported", "service": service,
                    "phase": format!("{phase:?}"), "reason": fault.to_string()});
                warn!(target: MOVES, "{event}");
            }
        }
    }

    /// Writes the report unless the store already holds a final one or the same one. Returns the phase
    /// that is then in the store.
    async fn write_report(
        &self,
        rollout: &RolloutState,
        phase: RolloutPhase,
    ) -> Result<RolloutPhase, StoreFault> {
        let order = &rollout.order;
        let (key, value) = self.state.platform_adapter.rollout_report(order, phase);
        let reports = self.state.store.read_all(StoreTable::Reports).await?;
        let held = reports.rows.iter().find(|row| row.key == key);
        let current = held.filter(|row| row.version.follows(rollout.row));
        let current = current.and_then(|row| row.value.as_deref());
        let current = current.and_then(|value| self.state.platform_adapter.read_report(value));
        match current {
            Some((version, stored))
                if version == order.version && stored != RolloutPhase::Active =>
            {
                return Ok(stored);
            }
            Some((version, stored)) if version == order.version && stored == phase => {
                return Ok(stored);
            }
            _ => {}
        }
        let call = StoreCall::Write {
            table: StoreTable::Reports,
            conditions: vec![(
                key.clone(),
                held.map_or(StoreVersion::ABSENT, |row| row.version),
            )],
            puts: vec![(key, value)],
            removals: Vec::new(),
        };
        self.state.store.call(&call).await?;
        Ok(phase)
    }
}
