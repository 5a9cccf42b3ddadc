//! One move as one candidate works on it: evidence, lease, pace and the write under way.

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
use crate::lease::LeaseNeed;
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

/// Time after which an operation without a result counts as lost.
const PENDING_TIMEOUT: Duration = Duration::from_secs(15);

/// Time for which a committed step may take to come into force here before it is decided again.
const ADOPTION_TIMEOUT: Duration = Duration::from_secs(30);

/// An operation on the store under way.
#[derive(Clone, Debug)]
struct PendingWrite {
    since: Duration,
    kind: PendingKind,
}

#[derive(Clone, Debug)]
enum PendingKind {
    Read,
    Write {
        condition: RowCondition,
        row: LeaseRow,
        step: Option<TrafficShare>,
    },
}

/// State in force and since when, by this daemon's clock.
#[derive(Clone, Debug)]
struct StepMark {
    phase: MovePhase,
    share: TrafficShare,
    since: Duration,
    generation: Option<Generation>,
    calls: BTreeMap<RouteName, u64>,
}

/// One move as one candidate works on it.
pub(crate) struct MoveWork {
    own: MemberId,
    move_name: MoveName,
    pool: EvidencePool,
    lease: LeaseState,
    pace: MovePace,
    step: StepMark,
    poll: PollPace,
    pending: Option<PendingWrite>,
    adopting: Option<Duration>,
    finding: Option<CondemnedFact>,
    lines: Vec<DecisionLine>,
    was_held: bool,
}

impl MoveWork {
    pub(crate) fn new(
        own: MemberId,
        record: &MoveRecord,
        limits: MoverLimits,
        now: Duration,
    ) -> MoveWork {
        MoveWork {
            lease: LeaseState::new(own.clone()),
            own,
            move_name: record.name.clone(),
            pool: EvidencePool::new(record),
            pace: MovePace::new(limits.pace),
            step: StepMark {
                phase: record.phase,
                share: record.share,
                since: now,
                generation: None,
                calls: BTreeMap::new(),
            },
            poll: PollPace::new(),
            pending: None,
            adopting: None,
            finding: None,
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
        self.follow(record, input);
        let verdict = evaluate_evidence(&mut self.pool, input.now);
        self.condemn(record, &verdict, input, actions);
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
            self.resign(input.now, actions);
            return;
        }
        if self.is_busy(input.now) {
            return;
        }
        if self.lease.is_held() && self.decide(record, &verdict, input, actions) {
            return;
        }
        self.keep_lease(input.now, actions);
    }

    /// Marks the step in force when it changed.
    fn follow(&mut self, record: &MoveRecord, input: &MoverInput<'_>) {
        let is_same = record.phase == self.step.phase && record.share == self.step.share;
        if is_same && self.step.generation.is_some() {
            return;
        }
        self.step = StepMark {
            phase: record.phase,
            share: record.share,
            since: input.now,
            generation: Some(input.generation),
            calls: self.pool.view().new.route_calls(),
        };
        self.adopting = None;
    }

    /// Asserts the version condemned on own evidence, and takes over what others asserted.
    fn condemn(
        &mut self,
        record: &MoveRecord,
        verdict: &Verdict,
        input: &MoverInput<'_>,
        actions: &mut Vec<MoverAction>,
    ) {
        let known = input.condemned.iter().find(|fact| concerns(fact, record));
        if let Some(fact) = known {
            if self.finding.is_none() {
                self.finding = Some(fact.clone());
            }
            return;
        }
        if let (None, Verdict::Condemn(finding)) = (&self.finding, verdict) {
            let fact = CondemnedFact {
                move_name: record.name.clone(),
                service: record.service.clone(),
                version: record.to.clone(),
                reason: format!("{}: {}", finding.rule, finding.summary).into(),
                asserted_by: self.own.clone(),
            };
            let seen = finding.summary.clone();
            self.note(input.wall, seen, finding.rule, "condemned".into());
            self.finding = Some(fact);
        }
        // Asserted again until the daemon's own facts hold it.
        if let Some(fact) = &self.finding {
            actions.push(MoverAction::AssertCondemned(fact.clone()));
        }
    }

    /// Decides on the next step of a held move; returns whether one was issued.
    fn decide(
        &mut self,
        record: &MoveRecord,
        verdict: &Verdict,
        input: &MoverInput<'_>,
        actions: &mut Vec<MoverAction>,
    ) -> bool {
        if let Some(fact) = self.finding.clone() {
            let seen = format!("{} (asserted by {})", fact.reason, fact.asserted_by);
            self.note(input.wall, seen.into(), "condemned", "taken back".into());
            self.issue(
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
            .adopting
            .is_some_and(|at| input.now < at + ADOPTION_TIMEOUT)
        {
            return false;
        }
        let pace_input = PaceInput {
            phase: record.phase,
            share: record.share,
            dwelt: input.now.saturating_sub(self.step.since),
            left: record
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
        if phase == MovePhase::Done && !(input.live_served)(generation) {
            return false;
        }
        let seen = self.describe(&pace_input);
        let outcome = outcome_text(phase, share);
        self.note(input.wall, seen.clone(), "pace", outcome);
        let reason = if phase == MovePhase::Done {
            seen
        } else {
            Box::default()
        };
        self.issue(record, phase, share, reason, input, actions);
        true
    }

    fn describe(&self, pace_input: &PaceInput<'_>) -> Box<str> {
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
            pace_input.dwelt.as_secs(),
            pace_input.left.as_secs(),
            view.new.calls(),
            view.old.calls(),
        )
        .into()
    }

    fn issue(
        &mut self,
        record: &MoveRecord,
        phase: MovePhase,
        share: TrafficShare,
        reason: Box<str>,
        input: &MoverInput<'_>,
        actions: &mut Vec<MoverAction>,
    ) {
        let (condition, row) = self.lease.renewal(self.lines.clone());
        let kind = PendingKind::Write {
            condition,
            row: row.clone(),
            step: Some(share),
        };
        self.pending = Some(PendingWrite {
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
            LeaseNeed::Nothing => {}
            LeaseNeed::Read => {
                self.pending = Some(PendingWrite {
                    since: now,
                    kind: PendingKind::Read,
                });
                actions.push(MoverAction::ReadLease { move_name });
            }
            LeaseNeed::Write(condition, row) => {
                self.write(move_name, condition, row, now, actions);
            }
        }
    }

    fn write(
        &mut self,
        move_name: MoveName,
        condition: RowCondition,
        row: LeaseRow,
        now: Duration,
        actions: &mut Vec<MoverAction>,
    ) {
        let kind = PendingKind::Write {
            condition,
            row: row.clone(),
            step: None,
        };
        self.pending = Some(PendingWrite { since: now, kind });
        actions.push(MoverAction::WriteLease {
            move_name,
            condition,
            row,
        });
    }

    /// Releases the lease; returns whether an operation on its row is still under way.
    pub(crate) fn resign(&mut self, now: Duration, actions: &mut Vec<MoverAction>) -> bool {
        if self.is_busy(now) {
            return true;
        }
        if self.lease.is_unsettled() {
            self.keep_lease(now, actions);
            return true;
        }
        let Some((condition, row)) = self.lease.release() else {
            return false;
        };
        self.write(self.move_name.clone(), condition, row, now, actions);
        true
    }

    /// Returns whether an operation on the store is under way; a lost one is given up in time.
    fn is_busy(&mut self, now: Duration) -> bool {
        let Some(pending) = &self.pending else {
            return false;
        };
        if now < pending.since + PENDING_TIMEOUT {
            return true;
        }
        self.pending = None;
        self.lease.on_unsettled();
        false
    }

    pub(crate) fn on_lease_row(&mut self, row: Option<&TableRow>, now: Duration) {
        self.pending = None;
        self.lease.on_row(row, now);
        self.adopt_lines();
    }

    pub(crate) fn on_lease_unread(&mut self) {
        self.pending = None;
        self.lease.on_unsettled();
    }

    pub(crate) fn on_written(&mut self, result: WriteResult, now: Duration) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        let PendingKind::Write {
            condition,
            row,
            step,
        } = pending.kind
        else {
            return;
        };
        if result != WriteResult::Committed {
            self.lease.on_unsettled();
            // Lines of a step without effect give way to those of the row.
            self.was_held = false;
            return;
        }
        self.lease.on_written(condition, row, now);
        if step.is_some() {
            self.adopting = Some(now);
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

    /// Takes over the row's lines: on a change of holder, and for lines whose step had no effect.
    fn adopt_lines(&mut self) {
        let is_held = self.lease.is_held();
        if !is_held || !self.was_held {
            let own = std::mem::replace(&mut self.lines, self.lease.lines().to_vec());
            for line in own {
                // What was condemned without the lease is to be explained as well.
                if &*line.outcome == "condemned" && !self.lines.contains(&line) {
                    push_line(&mut self.lines, line);
                }
            }
        }
        self.was_held = is_held;
    }

    fn note(&mut self, wall: SystemTime, seen: Box<str>, rule: &str, outcome: Box<str>) {
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

fn concerns(fact: &CondemnedFact, record: &MoveRecord) -> bool {
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
