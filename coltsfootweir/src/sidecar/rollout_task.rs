//! Carries out the moves of traffic: judges the pooled answers, moves on and reports.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use log::warn;
use serde_json::json;

use crate::ids::MemberId;
use crate::ids::RowVersion;
use crate::logging::MOVES;
use crate::sidecar::dialect::RolloutPhase;
use crate::sidecar::dialect::StoreCall;
use crate::sidecar::dialect::StoreFault;
use crate::sidecar::dialect::StoreTable;
use crate::sidecar::frame::PeerFrame;
use crate::sidecar::member_table::RolloutStage;
use crate::sidecar::member_table::RolloutStatus;
use crate::sidecar::member_table::VersionCount;
use crate::sidecar::rollout::AnswerHistory;
use crate::sidecar::rollout::RolloutState;
use crate::sidecar::sidecar_state::SidecarState;

/// Pause between two looks at the moves: a bad version must be found within seconds.
const LOOK_PAUSE: Duration = Duration::from_millis(300);

/// Pause before a report that was not written is tried again.
const REPORT_RETRY_PAUSE: Duration = Duration::from_millis(700);

/// Time after the shift in which requests sent before it arrive at the old endpoints.
const SHIFT_TIME: Duration = Duration::from_millis(400);

/// Looks at the moves until the daemon ends.
pub async fn carry_out_rollouts(state: Rc<SidecarState>) {
    let mut work = RolloutWork {
        state,
        shifted: HashMap::new(),
        reported: HashMap::new(),
        report_at: Duration::ZERO,
        history: AnswerHistory::default(),
        told: Default::default(),
    };
    loop {
        tokio::time::sleep(LOOK_PAUSE).await;
        work.look();
        if work.state.members.is_rollout_leader() {
            work.act().await;
        }
    }
}

struct RolloutWork {
    state: Rc<SidecarState>,
    /// When this daemon shifted, by order.
    shifted: HashMap<RowVersion, Duration>,
    /// Last phase this daemon reported or found reported, by order.
    reported: HashMap<RowVersion, RolloutPhase>,
    report_at: Duration,
    history: AnswerHistory,
    /// What was told last, and to whom.
    told: (Vec<MemberId>, Vec<RolloutStatus>, Vec<VersionCount>),
}

fn own_counts(state: &SidecarState) -> Vec<VersionCount> {
    let mut counts = Vec::new();
    for rollout in state.rollouts.borrow().values() {
        counts.extend_from_slice(rollout.counts());
    }
    counts
}

impl RolloutWork {
    /// Does what every daemon does.
    fn look(&mut self) {
        let rollouts: Vec<RolloutState> = self.state.rollouts.borrow().values().cloned().collect();
        if rollouts.is_empty() {
            return;
        }
        let pooled = self.pooled();
        let recent = self.history.note(pooled.clone(), self.state.now());
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
        self.tell_judges();
        self.state.publish();
    }

    /// Does what one daemon does for all.
    async fn act(&mut self) {
        let rollouts: Vec<RolloutState> = self.state.rollouts.borrow().values().cloned().collect();
        let pooled = self.pooled();
        for rollout in rollouts {
            let service = &rollout.order.service;
            let phase = match rollout.stage {
                RolloutStage::Trial => {
                    if let Some(proof) = rollout.find_proof(&pooled, self.state.now()) {
                        self.state
                            .advance(service, rollout.row, RolloutStage::Shifted, &proof);
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

    /// Returns the answers of all daemons as far as they were told here.
    fn pooled(&self) -> Vec<VersionCount> {
        let mut pooled = own_counts(&self.state);
        for told in self.state.told_rollouts.borrow().values() {
            pooled.extend_from_slice(&told.counts);
        }
        pooled
    }

    /// Tells the daemons that judge moves how this one stands and what it has seen.
    fn tell_judges(&mut self) {
        let counts = own_counts(&self.state);
        let rollout_statuses = self.state.rollout_statuses();
        let mut judges = self.state.members.rollout_evaluators();
        // One that cannot be reached now is told once it can.
        judges.retain(|id| self.state.members.is_reachable(id));
        let told = (judges, rollout_statuses, counts);
        if told == self.told {
            return;
        }
        let (judges, rollout_statuses, counts) = &told;
        let own = self.state.members.own().id;
        for link in judges.iter().filter_map(|id| self.state.members.link(id)) {
            let frame = PeerFrame::Rollouts(own.clone(), rollout_statuses.clone(), counts.clone());
            link.send(frame);
        }
        self.told = told;
    }

    fn is_settled(&mut self, rollout: &RolloutState) -> bool {
        let now = self.state.now();
        let since = *self.shifted.entry(rollout.row).or_insert(now);
        let is_old = self.state.endpoint.summary().is_some_and(|endpoint| {
            endpoint.service == rollout.order.service && endpoint.version != rollout.order.version
        });
        now >= since + SHIFT_TIME && (!is_old || self.state.endpoint.load().is_idle())
    }

    fn all_settled(&self, rollout: &RolloutState) -> bool {
        let own = self.state.members.own().id;
        let told = self.state.told_rollouts.borrow();
        self.state.members.read(|table| {
            table.iter().all(|record| {
                let is_away = !self.state.members.is_presumed_live(&record.id);
                if record.id == own || is_away {
                    return true;
                }
                let rollout_statuses = told
                    .get(&record.id)
                    .map(|told| told.rollout_statuses.as_slice());
                let mut rollout_statuses = rollout_statuses.unwrap_or_default().iter();
                let stance = rollout_statuses.find(|stance| stance.order == rollout.row);
                stance.is_some_and(|stance| stance.stage >= RolloutStage::Settled)
            })
        })
    }

    async fn report(&mut self, rollout: &RolloutState, phase: RolloutPhase) {
        let now = self.state.now();
        if self.reported.get(&rollout.row) == Some(&phase) || now < self.report_at {
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
                self.report_at = now + REPORT_RETRY_PAUSE;
                let what = json!({"name": "rollout_not_reported", "service": service,
                    "phase": format!("{phase:?}"), "reason": fault.to_string()});
                warn!(target: MOVES, "{what}");
            }
        }
    }

    /// Writes the report unless a final one stands there; returns what stands there then.
    async fn write_report(
        &self,
        rollout: &RolloutState,
        phase: RolloutPhase,
    ) -> Result<RolloutPhase, StoreFault> {
        let order = &rollout.order;
        let (key, value) = self.state.dialect.rollout_report(order, phase);
        let reports = self.state.store.read_all(StoreTable::Reports).await?;
        let held = reports.rows.iter().find(|row| row.key == key);
        let told = held.filter(|row| row.version > rollout.row);
        let told = told.and_then(|row| row.value.as_deref());
        let told = told.and_then(|value| self.state.dialect.read_report(value));
        match told {
            Some((version, told)) if version == order.version && told != RolloutPhase::Active => {
                return Ok(told);
            }
            Some((version, told)) if version == order.version && told == phase => return Ok(told),
            _ => {}
        }
        let call = StoreCall::Write {
            table: StoreTable::Reports,
            conditions: vec![(key.clone(), held.map_or(0, |row| row.version))],
            puts: vec![(key, value)],
            removals: Vec::new(),
        };
        self.state.store.call(&call).await?;
        Ok(phase)
    }
}
