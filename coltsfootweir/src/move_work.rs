//! State of one move at one candidate: evidence, lease, pace and the pending store operation.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::SystemTime;

use crate::decision::DecisionLine;
use crate::decision::push_line;
use crate::evidence::EndpointEvidence;
use crate::evidence_pool::EvidencePool;
use crate::fact::CondemnedFact;
use crate::ids::Generation;
use crate::ids::MemberId;
use crate::ids::MoveName;
use crate::ids::RouteName;
use crate::lease::LeaseAction;
use crate::lease::LeaseRow;
use crate::lease::LeaseState;
use crate::mover::MoveStep;
use crate::mover::MoverAction;
use crate::mover::MoverInput;
use crate::mover::MoverLimits;
use crate::mover::WriteResult;
use crate::pace::MovePace;
use crate::pace::PaceAdvice;
use crate::pace::PaceInput;
use crate::pace::StepCalls;
use crate::platform::RowCondition;
use crate::platform::TableRow;
use crate::poll_pace::PollInput;
use crate::poll_pace::PollPace;
use crate::record::MovePhase;
use crate::record::MoveRecord;
use crate::record::TrafficShare;
use crate::verdict::Verdict;
use crate::verdict::evaluate_evidence;

/// Time after which a store operation without a result counts as failed.
const STORE_TIMEOUT: Duration = Duration::from_secs(15);

/// Time to wait for a committed step to come into force at this daemon before deciding again.
const ACTIVATION_TIMEOUT: Duration = Duration::from_secs(30);

/// Store operation whose result is not known yet.
#[derive(Clone, Debug)]
struct PendingOperation {
    since: Duration,
    kind: OperationKind,
}

#[derive(Clone, Debug)]
enum OperationKind {
    Read,
    Write {
        condition: RowCondition,
        row: LeaseRow,
        step: Option<TrafficShare>,
    },
}

/// Phase and share in force, and the time of their start on this daemon's clock.
#[derive(Clone, Debug)]
struct CurrentStep {
    phase: MovePhase,
    share: TrafficShare,
    since: Duration,
    generation: Option<Generation>,
    calls: BTreeMap<RouteName, u64>,
}

/// State of one move at one candidate.
pub(crate) struct MoveWork {
    own_id: MemberId,
    move_name: MoveName,
    pool: EvidencePool,
    lease: LeaseState,
    pace: MovePace,
    step: CurrentStep,
    poll: PollPace,
    pending: Option<PendingOperation>,
    committed_at: Option<Duration>,
    condemned_fact: Option<CondemnedFact>,
    lines: Vec<DecisionLine>,
    was_held: bool,
}

impl MoveWork {
    pub(crate) fn new(
        own_id: MemberId,
        record: &MoveRecord,
        limits: MoverLimits,
        now: Duration,
    ) -> MoveWork {
        MoveWork {
            lease: LeaseState::new(own_id.clone()),
            own_id,
            move_name: record.name.clone(),
            pool: EvidencePool::new(record),
            pace: MovePace::new(limits.pace),
            step: CurrentStep {
                phase: record.phase,
                share: record.share,
                since: now,
                generation: None,
                calls: BTreeMap::new(),
            },
            poll: PollPace::new(),
            pending: None,
            committed_at: None,
            condemned_fact: None,
            lines: Vec::new(),
            was_held: false,
        }
    }

    pub(crate) fn tick(
        &mut self,
        record: &MoveRecord,
        input: &MoverInput<'_>,
        actions: &mut Vec<MoverAction>,
    ) {
        self.update_step(record, input);
        let verdict = evaluate_evidence(&mut self.pool, input.now);
        self.assert_condemned(record, &verdict, input, actions);
        let poll_input = PollInput {
            now: input.now,
            is_holder: self.lease.is_held(),
            is_suspect: matches!(verdict, Verdict::Suspect(_)),
            faults: self.pool.view().new.faults(),
        };
        if self.poll.poll(&poll_input) {
            actions.push(MoverAction::PollEvidence {
                service: record.service.clone(),
            });
        }
        if input.is_leaving {
            self.release_lease(input.now, actions);
            return;
        }
        if self.has_pending(input.now) {
            return;
        }
        if self.lease.is_held() && self.decide_step(record, &verdict, input, actions) {
            return;
        }
        self.keep_lease(input.now, actions);
    }

    /// Records the step in force and its start when it has changed.
    fn update_step(&mut self, record: &MoveRecord, input: &MoverInput<'_>) {
        let is_same = record.phase == self.step.phase && record.share == self.step.share;
        if is_same && self.step.generation.is_some() {
            return;
        }
        self.step = CurrentStep {
            phase: record.phase,
            share: record.share,
            since: input.now,
            generation: Some(input.generation),
            calls: self.pool.view().new.route_calls(),
        };
        self.committed_at = None;
    }

    /// Asserts the new version as condemned on local evidence, or adopts the assertion of another
    /// member.
    fn assert_condemned(
        &mut self,
        record: &MoveRecord,
        verdict: &Verdict,
        input: &MoverInput<'_>,
        actions: &mut Vec<MoverAction>,
    ) {
        let known = input.condemned.iter().find(|fact| is_about(fact, record));
        if let Some(fact) = known {
            if self.condemned_fact.is_none() {
                self.condemned_fact = Some(fact.clone());
            }
            return;
        }
        if let (None, Verdict::Condemn(finding)) = (&self.condemned_fact, verdict) {
            let fact = CondemnedFact {
                move_name: record.name.clone(),
                service: record.service.clone(),
                version: record.to.clone(),
                reason: format!("{}: {}", finding.rule, finding.summary).into(),
                asserted_by: self.own_id.clone(),
            };
            let seen = finding.summary.clone();
            self.add_line(input.wall, seen, finding.rule, "condemned".into());
            self.condemned_fact = Some(fact);
        }
        // Repeated at each tick until the fact is among the daemon's condemned facts.
        if let Some(fact) = &self.condemned_fact {
            actions.push(MoverAction::AssertCondemned(fact.clone()));
        }
    }

    /// Decides on the next step of a move whose lease is held; returns whether a step was issued.
    fn decide_step(
        &mut self,
        record: &MoveRecord,
        verdict: &Verdict,
        input: &MoverInput<'_>,
        actions: &mut Vec<MoverAction>,
    ) -> bool {
        if let Some(fact) = self.condemned_fact.clone() {
            let seen = format!("{} (asserted by {})", fact.reason, fact.asserted_by);
            self.add_line(input.wall, seen.into(), "condemned", "taken back".into());
            self.issue_step(
                record,
                MovePhase::TakenBack,
                TrafficShare::default(),
                fact.reason,
                input,
                actions,
            );
            return true;
        }
        if self
            .committed_at
            .is_some_and(|at| input.now < at + ACTIVATION_TIMEOUT)
        {
            return false;
        }
        let pace_input = PaceInput {
            phase: record.phase,
            share: record.share,
            time_at_step: input.now.saturating_sub(self.step.since),
            time_left: record
                .done_by
                .duration_since(input.wall)
                .unwrap_or_default(),
            calls: StepCalls::since(self.pool.view(), &self.step.calls, record.share),
            has_endpoints: self.pool.view().new_members().next().is_some(),
            verdict,
        };
        let generation = self.step.generation.unwrap_or(input.generation);
        let PaceAdvice::Step(phase, share) = self.pace.next(&pace_input) else {
            return false;
        };
        if phase == MovePhase::Done && !(input.all_live_serve)(generation) {
            return false;
        }
        let seen = self.describe_evidence(&pace_input);
        let outcome = outcome_text(phase, share);
        self.add_line(input.wall, seen.clone(), "pace", outcome);
        let reason = if phase == MovePhase::Done {
            seen
        } else {
            Box::default()
        };
        self.issue_step(record, phase, share, reason, input, actions);
        true
    }

    fn describe_evidence(&self, pace_input: &PaceInput<'_>) -> Box<str> {
        let view = self.pool.view();
        let verdict = match pace_input.verdict {
            Verdict::Condemn(finding) => format!("condemned by {}", finding.rule),
            Verdict::Suspect(finding) => {
                format!("suspect by {}: {}", finding.rule, finding.summary)
            }
            Verdict::Clear { confidence } => format!("clear at {:.1}%", confidence * 100.0),
            Verdict::Unsure => "unsure".into(),
        };
        format!(
            "{} calls at this step in {} s, {} s left; all steps: new {} calls, old {} calls; {verdict}",
            pace_input.calls.total,
            pace_input.time_at_step.as_secs(),
            pace_input.time_left.as_secs(),
            view.new.calls(),
            view.old.calls(),
        )
        .into()
    }

    fn issue_step(
        &mut self,
        record: &MoveRecord,
        phase: MovePhase,
        share: TrafficShare,
        reason: Box<str>,
        input: &MoverInput<'_>,
        actions: &mut Vec<MoverAction>,
    ) {
        let (condition, row) = self.lease.renewal(self.lines.clone());
        let kind = OperationKind::Write {
            condition,
            row: row.clone(),
            step: Some(share),
        };
        self.pending = Some(PendingOperation {
            since: input.now,
            kind,
        });
        let step = MoveStep {
            move_name: record.name.clone(),
            from_phase: record.phase,
            from_share: record.share,
            phase,
            share,
            reason,
        };
        actions.push(MoverAction::StepMove {
            step,
            lease_condition: condition,
            lease_row: row,
        });
    }

    fn keep_lease(&mut self, now: Duration, actions: &mut Vec<MoverAction>) {
        let move_name = self.move_name.clone();
        match self.lease.next(now) {
            LeaseAction::Nothing => {}
            LeaseAction::Read => {
                self.pending = Some(PendingOperation {
                    since: now,
                    kind: OperationKind::Read,
                });
                actions.push(MoverAction::ReadLease { move_name });
            }
            LeaseAction::Write(condition, row) => {
                self.write_lease(move_name, condition, row, now, actions);
            }
        }
    }

    fn write_lease(
        &mut self,
        move_name: MoveName,
        condition: RowCondition,
        row: LeaseRow,
        now: Duration,
        actions: &mut Vec<MoverAction>,
    ) {
        let kind = OperationKind::Write {
            condition,
            row: row.clone(),
            step: None,
        };
        self.pending = Some(PendingOperation { since: now, kind });
        actions.push(MoverAction::WriteLease {
            move_name,
            condition,
            row,
        });
    }

    /// Releases the lease; returns whether an operation on its row is still pending.
    pub(crate) fn release_lease(&mut self, now: Duration, actions: &mut Vec<MoverAction>) -> bool {
        if self.has_pending(now) {
            return true;
        }
        if self.lease.needs_reread() {
            self.keep_lease(now, actions);
            return true;
        }
        let Some((condition, row)) = self.lease.release() else {
            return false;
        };
        self.write_lease(self.move_name.clone(), condition, row, now, actions);
        true
    }

    /// Returns whether a store operation is pending; drops an operation that has timed out.
    fn has_pending(&mut self, now: Duration) -> bool {
        let Some(pending) = &self.pending else {
            return false;
        };
        if now < pending.since + STORE_TIMEOUT {
            return true;
        }
        self.pending = None;
        self.lease.mark_stale();
        false
    }

    pub(crate) fn on_lease_row(&mut self, row: Option<&TableRow>, now: Duration) {
        self.pending = None;
        self.lease.on_row(row, now);
        self.adopt_lines();
    }

    pub(crate) fn on_lease_read_failed(&mut self) {
        self.pending = None;
        self.lease.mark_stale();
    }

    pub(crate) fn on_written(&mut self, result: WriteResult, now: Duration) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        let OperationKind::Write {
            condition,
            row,
            step,
        } = pending.kind
        else {
            return;
        };
        if result != WriteResult::Committed {
            self.lease.mark_stale();
            // The lines of a step without effect are replaced by those of the row.
            self.was_held = false;
            return;
        }
        self.lease.on_written(condition, row, now);
        if step.is_some() {
            self.committed_at = Some(now);
        }
        self.adopt_lines();
    }

    pub(crate) fn on_evidence(&mut self, evidence: &EndpointEvidence, now: Duration) {
        self.pool.add_report(evidence.clone(), now);
    }

    pub(crate) fn on_alert(&mut self, now: Duration) {
        self.poll.alert(now);
    }

    pub(crate) fn lines(&self) -> &[DecisionLine] {
        &self.lines
    }

    /// Replaces the local lines with those of the row after a change of holder or a step that had no
    /// effect.
    fn adopt_lines(&mut self) {
        let is_held = self.lease.is_held();
        if !is_held || !self.was_held {
            let previous = std::mem::replace(&mut self.lines, self.lease.lines().to_vec());
            for line in previous {
                // A version condemned without the lease still needs its decision line.
                if &*line.outcome == "condemned" && !self.lines.contains(&line) {
                    push_line(&mut self.lines, line);
                }
            }
        }
        self.was_held = is_held;
    }

    fn add_line(&mut self, wall: SystemTime, seen: Box<str>, rule: &str, outcome: Box<str>) {
        let line = DecisionLine {
            wall,
            move_name: self.move_name.clone(),
            seen,
            rule: rule.into(),
            outcome,
        };
        push_line(&mut self.lines, line);
    }
}

fn is_about(fact: &CondemnedFact, record: &MoveRecord) -> bool {
    fact.move_name == record.name && fact.service == record.service && fact.version == record.to
}

fn outcome_text(phase: MovePhase, share: TrafficShare) -> Box<str> {
    let share = format!(
        "{}% of checks, {}% of bookings",
        share.checks, share.bookings
    );
    match phase {
        MovePhase::Done => "done".into(),
        MovePhase::TakenBack => "taken back".into(),
        _ => share.into(),
    }
}
