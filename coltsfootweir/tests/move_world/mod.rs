//! Simulated movers on a fake table with outages, lost answers and delayed writes. Each committed
//! write is checked against the invariants of leases and steps.

mod service;

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::SystemTime;

use coltsfootweir::decision::MAX_LINES_PER_MOVE;
use coltsfootweir::fact::CondemnedFact;
use coltsfootweir::ids::MemberId;
use coltsfootweir::ids::MoveName;
use coltsfootweir::lease::LEASE_TIMEOUT;
use coltsfootweir::lease::LeaseRow;
use coltsfootweir::mover::MoveStep;
use coltsfootweir::mover::MoverAction;
use coltsfootweir::mover::MoverInput;
use coltsfootweir::mover::MoverLimits;
use coltsfootweir::mover::MoverState;
use coltsfootweir::mover::WriteResult;
use coltsfootweir::mover::lease_key;
use coltsfootweir::platform::RowCondition;
use coltsfootweir::platform::TableRow;
use coltsfootweir::record::MovePhase;
use coltsfootweir::record::MoveRecord;
use coltsfootweir::record::TrafficShare;

use self::service::Service;
use crate::common::records::move_record;

/// Behaviour of the store on reads and writes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreMode {
    Up,
    Down,
    /// Writes take effect, but their answers are lost.
    LosesAnswers,
    /// Writes take effect later, and their answers are lost.
    Late,
}

/// A member with its mover state and the configuration and facts that reached it.
pub struct Mover {
    id: MemberId,
    state: MoverState,
    served: usize,
    facts: Vec<CondemnedFact>,
    pub is_candidate: bool,
    pub is_frozen: bool,
    pub is_leaving: bool,
}

impl Mover {
    fn has_fact(&self, move_name: &MoveName) -> bool {
        self.facts.iter().any(|fact| fact.move_name == *move_name)
    }
}

/// A write, possibly delayed.
#[derive(Clone)]
struct TableWrite {
    mover: usize,
    move_name: MoveName,
    condition: RowCondition,
    row: LeaseRow,
    step: Option<MoveStep>,
}

/// Simulation state: movers, table, accepted configurations and services.
pub struct MoveWorld {
    pub now: Duration,
    pub mode: StoreMode,
    pub movers: Vec<Mover>,
    rows: BTreeMap<MoveName, TableRow>,
    row_changed: BTreeMap<MoveName, Duration>,
    accepted: Vec<Vec<MoveRecord>>,
    late: Vec<TableWrite>,
    services: Vec<Service>,
    ever_failed: Vec<bool>,
}

impl MoveWorld {
    pub fn new(movers: usize) -> MoveWorld {
        let names = ["stalls", "horses"];
        let mut world = MoveWorld {
            now: Duration::from_secs(1),
            mode: StoreMode::Up,
            movers: Vec::new(),
            rows: BTreeMap::new(),
            row_changed: BTreeMap::new(),
            accepted: vec![names.iter().map(|name| record(name)).collect()],
            late: Vec::new(),
            services: names.iter().map(|name| Service::new(name)).collect(),
            ever_failed: vec![false; names.len()],
        };
        for index in 0..movers {
            let id: MemberId = format!("10.0.0.{index}:1").into();
            world.movers.push(Mover {
                state: MoverState::new(id.clone(), MoverLimits::default()),
                id,
                served: 0,
                facts: Vec::new(),
                is_candidate: index < 2,
                is_frozen: false,
                is_leaving: false,
            });
        }
        world
    }

    pub fn set_fails(&mut self, service: usize, fails: bool) {
        self.services[service].fails = fails;
        self.ever_failed[service] |= fails;
    }

    /// Simulates one second: calls, the spread of configurations and facts, and a tick of each mover.
    pub fn second(&mut self, spreads: bool) {
        self.now += Duration::from_secs(1);
        self.serve_calls();
        if spreads {
            self.spread();
        }
        for mover in 0..self.movers.len() {
            if !self.movers[mover].is_frozen {
                self.tick(mover);
            }
        }
    }

    /// Simulates seconds in which configurations and facts spread.
    pub fn pass(&mut self, seconds: u32) {
        for _ in 0..seconds {
            self.second(true);
        }
    }

    /// Commits the oldest delayed write, if its condition still holds.
    pub fn commit_delayed(&mut self) -> Option<WriteResult> {
        if self.late.is_empty() {
            return None;
        }
        let write = self.late.remove(0);
        Some(self.commit(&write))
    }

    /// Returns the mover that holds the lease on the first move.
    pub fn holder(&self) -> Option<usize> {
        let holder = self.lease(&self.head()[0].name)?.holder;
        let mut movers = self.movers.iter();
        movers.position(|mover| Some(&mover.id) == holder.as_ref())
    }

    /// Returns whether a mover has the fact that the new version of the first move is condemned.
    pub fn is_condemned(&self, mover: usize) -> bool {
        self.movers[mover].has_fact(&self.head()[0].name)
    }

    /// Returns the phase of the first move.
    pub fn phase(&self) -> MovePhase {
        self.head()[0].phase
    }

    /// Clears all faults and checks that each move ends.
    pub fn settle(&mut self) {
        self.mode = StoreMode::Up;
        for service in &mut self.services {
            service.fails = false;
        }
        for mover in &mut self.movers {
            mover.is_frozen = false;
            mover.is_leaving = false;
        }
        self.movers[0].is_candidate = true;
        for _ in 0..500 {
            self.second(true);
            self.commit_delayed();
            if self.head().iter().all(|record| record.phase.is_ended()) {
                break;
            }
        }
        for (index, record) in self.head().iter().enumerate() {
            assert!(record.phase.is_ended(), "move did not end: {record:?}");
            assert!(
                !record.reason.is_empty(),
                "ended without a reason: {record:?}"
            );
            self.check_step_lines(record);
            let is_done = record.phase == MovePhase::Done;
            assert!(
                is_done || self.ever_failed[index],
                "good version was taken back: {record:?}"
            );
        }
    }

    /// Checks that there is exactly one line for each accepted step.
    fn check_step_lines(&self, record: &MoveRecord) {
        let lines = self.lease(&record.name).expect("a row").lines;
        let step_lines = lines
            .iter()
            .filter(|line| line.outcome.contains("of checks"));
        let step_lines = step_lines.count();
        let mut steps = 0;
        for pair in self.accepted.windows(2) {
            let find = |records: &[MoveRecord]| {
                let own = records.iter().find(|other| other.name == record.name);
                own.map(|own| (own.phase, own.share))
            };
            let after = find(&pair[1]);
            let is_end = after.is_some_and(|(phase, _)| phase.is_ended());
            steps += usize::from(find(&pair[0]) != after && !is_end);
        }
        assert_eq!(step_lines, steps, "lines of {}: {lines:?}", record.name);
    }

    fn head(&self) -> &[MoveRecord] {
        &self.accepted[self.accepted.len() - 1]
    }

    fn spread(&mut self) {
        let head = self.accepted.len() - 1;
        let mut facts: Vec<CondemnedFact> = Vec::new();
        for mover in self.movers.iter_mut().filter(|mover| !mover.is_frozen) {
            mover.served = head;
            facts.extend(mover.facts.iter().cloned());
        }
        facts.sort();
        facts.dedup();
        for mover in self.movers.iter_mut().filter(|mover| !mover.is_frozen) {
            mover.facts = facts.clone();
        }
    }

    fn serve_calls(&mut self) {
        let head = self.accepted.last().expect("a first configuration");
        for (service, record) in self.services.iter_mut().zip(head) {
            service.serve(record.share);
        }
    }

    fn tick(&mut self, index: usize) {
        let served: Vec<usize> = self.movers.iter().map(|mover| mover.served).collect();
        let mover = &mut self.movers[index];
        let (generation, is_candidate) = (mover.served, mover.is_candidate);
        let all_live_serve = |wanted: u64| served.iter().all(|served| *served as u64 + 1 >= wanted);
        let actions = mover.state.tick(&MoverInput {
            now: self.now,
            wall: SystemTime::UNIX_EPOCH + self.now,
            moves: &self.accepted[generation],
            is_candidate: &|_| is_candidate,
            all_live_serve: &all_live_serve,
            generation: generation as u64 + 1,
            condemned: &mover.facts,
            is_leaving: mover.is_leaving,
        });
        for action in actions {
            self.run_action(index, action);
        }
    }

    fn run_action(&mut self, mover: usize, action: MoverAction) {
        match action {
            MoverAction::PollEvidence { service } => self.poll(mover, &service),
            MoverAction::ReadLease { move_name } => self.read(mover, &move_name),
            MoverAction::WriteLease {
                move_name,
                condition,
                row,
            } => self.write(TableWrite {
                mover,
                move_name,
                condition,
                row,
                step: None,
            }),
            MoverAction::StepMove {
                step,
                lease_condition,
                lease_row,
            } => {
                let is_forward = step.phase != MovePhase::TakenBack;
                let is_condemned = self.movers[mover].has_fact(&step.move_name);
                assert!(
                    !(is_condemned && is_forward),
                    "step forward of a condemned move"
                );
                self.write(TableWrite {
                    mover,
                    move_name: step.move_name.clone(),
                    condition: lease_condition,
                    row: lease_row,
                    step: Some(step),
                });
            }
            MoverAction::AssertCondemned(fact) => {
                let mut services = self.services.iter();
                let index = services.position(|service| service.name == fact.service);
                assert!(
                    self.ever_failed[index.unwrap()],
                    "good version was condemned: {fact:?}"
                );
                self.movers[mover].facts.push(fact);
            }
        }
    }

    fn poll(&mut self, mover: usize, name: &str) {
        let state = &mut self.movers[mover].state;
        let services = self.services.iter();
        for service in services.filter(|service| *service.name == *name) {
            for recorder in &service.recorders {
                state.on_evidence(&recorder.report(), self.now);
            }
        }
    }

    fn read(&mut self, mover: usize, move_name: &MoveName) {
        let row = self.rows.get(move_name);
        let state = &mut self.movers[mover].state;
        match self.mode {
            StoreMode::Down => state.on_lease_read_failed(move_name),
            _ => state.on_lease_row(move_name, row, self.now),
        }
    }

    fn write(&mut self, write: TableWrite) {
        let result = match self.mode {
            StoreMode::Down => WriteResult::Unavailable,
            StoreMode::Up => self.commit(&write),
            StoreMode::LosesAnswers => {
                self.commit(&write);
                WriteResult::AnswerLost
            }
            StoreMode::Late => {
                self.late.push(write.clone());
                WriteResult::AnswerLost
            }
        };
        let state = &mut self.movers[write.mover].state;
        match write.step {
            Some(_) => state.on_step(&write.move_name, result, self.now),
            None => state.on_lease_written(&write.move_name, result, self.now),
        }
    }

    /// Commits a write if its condition holds, and checks it against the invariants.
    fn commit(&mut self, write: &TableWrite) -> WriteResult {
        let version = self.rows.get(&write.move_name).map(|row| row.version);
        let is_met = match write.condition {
            RowCondition::Any => panic!("lease write without a condition"),
            RowCondition::Absent => version.is_none(),
            RowCondition::At(wanted) => version == Some(wanted),
        };
        if !is_met {
            return WriteResult::Refused;
        }
        let known = self.lease(&write.move_name);
        self.check_holder(write, known.as_ref());
        check_lines(write, known.as_ref());
        if let Some(step) = &write.step {
            let mut records = self.head().to_vec();
            let mut own = records.iter_mut();
            let own = own.find(|record| record.name == step.move_name).unwrap();
            let Some(next) = step.apply(own) else {
                return WriteResult::Refused;
            };
            check_step(own, &next, &write.row);
            *own = next;
            self.accepted.push(records);
        }
        let row = TableRow {
            key: lease_key(&write.move_name),
            version: version.unwrap_or(0) + 1,
            value: serde_json::to_string(&write.row).unwrap().into(),
        };
        self.rows.insert(write.move_name.clone(), row);
        self.row_changed.insert(write.move_name.clone(), self.now);
        WriteResult::Committed
    }

    fn lease(&self, move_name: &MoveName) -> Option<LeaseRow> {
        let row = self.rows.get(move_name)?;
        Some(serde_json::from_str(&row.value).unwrap())
    }

    /// Checks that the writer holds the lease or may take it.
    fn check_holder(&self, write: &TableWrite, known: Option<&LeaseRow>) {
        let own = &self.movers[write.mover].id;
        let holder = known.and_then(|row| row.holder.as_ref());
        if holder == Some(own) {
            return;
        }
        assert!(write.step.is_none(), "step without the lease");
        if holder.is_some() {
            let expiry = self.row_changed[&write.move_name] + LEASE_TIMEOUT;
            assert!(self.now >= expiry, "lease was taken before it expired");
        }
        let epoch = known.map_or(0, |row| row.epoch) + 1;
        assert_eq!(
            write.row.epoch, epoch,
            "change of holder without a new epoch"
        );
    }
}

/// Checks that a write keeps the lines of earlier writes.
fn check_lines(write: &TableWrite, known: Option<&LeaseRow>) {
    let earlier = known.map_or(&[][..], |row| &row.lines);
    let lines = &write.row.lines;
    let are_kept = lines.len() >= MAX_LINES_PER_MOVE || lines.starts_with(earlier);
    assert!(are_kept, "decision lines were lost: {earlier:?}");
}

/// Checks one accepted step against the state before it.
fn check_step(before: &MoveRecord, after: &MoveRecord, row: &LeaseRow) {
    assert!(!before.phase.is_ended(), "step after the end of the move");
    let outcome = row.lines.last().map(|line| &*line.outcome);
    match after.phase {
        MovePhase::TakenBack => {
            assert_eq!(after.share, TrafficShare::NONE);
            assert_eq!(outcome, Some("taken back"));
        }
        MovePhase::Done => {
            assert_eq!(after.share, TrafficShare::ALL);
            assert_eq!(before.phase, MovePhase::Settling);
            assert_eq!(outcome, Some("done"));
        }
        _ => {
            assert!(after.share.checks >= before.share.checks);
            assert!(after.share.bookings >= before.share.bookings);
            assert_ne!(after.share, before.share);
            assert!(outcome.is_some_and(|outcome| outcome.contains("of checks")));
        }
    }
}

fn record(service: &str) -> MoveRecord {
    MoveRecord {
        service: service.into(),
        done_by: SystemTime::UNIX_EPOCH + Duration::from_secs(150),
        ..move_record(&format!("move-{service}"), "v1", "v2")
    }
}
