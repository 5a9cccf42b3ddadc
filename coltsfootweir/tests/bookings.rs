//! State machine: several daemons' ledgers and a claim store against a count of runs per key.

mod common;

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use proptest_state_machine::prop_state_machine;

use coltsfootweir::answer_cache::CacheLimits;
use coltsfootweir::answer_cache::StoredAnswer;
use coltsfootweir::booking::BookingLedger;
use coltsfootweir::booking_decision::BookingDecision;
use coltsfootweir::booking_decision::ClaimRow;
use coltsfootweir::booking_decision::LedgerLimits;
use coltsfootweir::booking_key::BookingKey;
use coltsfootweir::ids::MemberId;
use coltsfootweir::outcome::DoubtReason;
use coltsfootweir::outcome::RefusalReason;

use common::fixed_config;
use common::step_test::StepTest;
use common::step_test::StepWorld;

const MEMBERS: usize = 3;

/// Looks like a key of the second member's first run, which never minted it.
const FORGED_KEY: &str = "cw1~10.0.0.1:7000~1~900";

/// Small, so that every bound is met within a few steps.
const LIMITS: LedgerLimits = LedgerLimits {
    minted: 4,
    callers: 3,
    answers: CacheLimits {
        answers: 2,
        bytes: 1000,
        age: Duration::from_secs(30),
    },
};

#[derive(Clone, Debug)]
enum Step {
    Mint(usize),
    Send {
        via: usize,
        key: usize,
        request: u64,
    },
    Write {
        attempt: usize,
        fate: WriteFate,
    },
    HandOver {
        attempt: usize,
    },
    GiveUp {
        attempt: usize,
    },
    End {
        attempt: usize,
        end: RunEnd,
    },
    Crash(usize),
    /// The process stops answering, a new one takes its place; the old one may go on later.
    Replace(usize),
    LandLateWrite(usize),
    Tick(u64),
}

#[derive(Clone, Copy, Debug)]
enum WriteFate {
    Answered,
    Outage,
    AnswerLost,
    LandsLate,
}

#[derive(Clone, Copy, Debug)]
enum RunEnd {
    Answer,
    RefusedUnrun,
    Doubt,
}

struct Process {
    ledger: BookingLedger,
    incarnation: u64,
    is_alive: bool,
}

#[derive(Clone)]
enum Stage {
    Claiming(ClaimRow),
    Admitted,
    Running,
    Told,
}

struct Attempt {
    process: usize,
    key: BookingKey,
    request: u64,
    stage: Stage,
}

/// The world and its oracle.
struct World {
    now: Duration,
    processes: Vec<Process>,
    current: Vec<usize>,
    keys: Vec<BookingKey>,
    sent: HashSet<BookingKey>,
    attempts: Vec<Attempt>,
    rows: HashMap<BookingKey, ClaimRow>,
    late: Vec<(BookingKey, ClaimRow)>,
    /// Request of the one run of each key, and its answer once given.
    runs: HashMap<BookingKey, (u64, Option<StoredAnswer>)>,
    answers: u8,
}

fn member(index: usize) -> MemberId {
    format!("10.0.0.{index}:7000").into()
}

impl World {
    fn new() -> World {
        let mut world = World {
            now: Duration::ZERO,
            processes: Vec::new(),
            current: vec![0; MEMBERS],
            keys: Vec::new(),
            sent: HashSet::new(),
            attempts: Vec::new(),
            rows: HashMap::new(),
            late: Vec::new(),
            runs: HashMap::new(),
            answers: 0,
        };
        for name in ["a", "b", "c", "d", FORGED_KEY] {
            world.keys.push(BookingKey::parse(name).unwrap());
        }
        for index in 0..MEMBERS {
            world.start(index);
        }
        world
    }

    fn start(&mut self, index: usize) {
        let incarnation = self.processes.len() as u64;
        self.current[index] = self.processes.len();
        self.processes.push(Process {
            ledger: BookingLedger::with_limits(member(index), incarnation, LIMITS),
            incarnation,
            is_alive: true,
        });
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Mint(index) => {
                let process = self.current[index];
                let key = self.processes[process].ledger.mint();
                self.keys.push(key);
            }
            Step::Send { via, key, request } => {
                // Later keys are the likelier ones, or most sends would meet old keys.
                let key = self.keys[self.keys.len() - 1 - key % self.keys.len().min(9)].clone();
                self.send(self.current[via], key, request);
            }
            Step::Write { attempt, fate } => self.write(attempt, fate),
            Step::HandOver { attempt } => self.hand_over(attempt),
            Step::GiveUp { attempt } => self.give_up(attempt),
            Step::End { attempt, end } => self.end(attempt, end),
            Step::Crash(index) => {
                self.processes[self.current[index]].is_alive = false;
                self.start(index);
            }
            Step::Replace(index) => self.start(index),
            Step::LandLateWrite(pick) if !self.late.is_empty() => {
                let (key, row) = self.late.swap_remove(pick % self.late.len());
                self.rows.entry(key).or_insert(row);
            }
            Step::LandLateWrite(_) => {}
            Step::Tick(seconds) => self.now += Duration::from_secs(seconds),
        }
    }

    fn send(&mut self, process: usize, key: BookingKey, request: u64) {
        let now = self.now;
        let decision = self.processes[process].ledger.begin(&key, request, now);
        let is_first = self.sent.insert(key.clone());
        self.check_fresh_key_runs(process, &key, is_first, &decision);
        self.attempts.push(Attempt {
            process,
            key,
            request,
            stage: Stage::Told,
        });
        self.decide(self.attempts.len() - 1, decision);
    }

    fn check_fresh_key_runs(
        &self,
        process: usize,
        key: &BookingKey,
        is_first: bool,
        decision: &BookingDecision,
    ) {
        if !is_first {
            return;
        }
        let own = self.processes[process].incarnation;
        match key {
            BookingKey::Caller(_) => assert!(matches!(decision, BookingDecision::Claim(_))),
            BookingKey::Minted { counter: 900, .. } => {
                assert_ne!(*decision, BookingDecision::Run, "ran a forged key");
            }
            // Incarnations are never used twice here, so they name the owner.
            BookingKey::Minted { incarnation, .. } if *incarnation == own => {
                let newest = self.keys.last() == Some(key);
                assert!(!newest || *decision == BookingDecision::Run);
            }
            BookingKey::Minted { .. } => assert_ne!(*decision, BookingDecision::Run),
        }
    }

    /// Carries out a decision as a daemon would.
    fn decide(&mut self, attempt: usize, decision: BookingDecision) {
        let key = self.attempts[attempt].key.clone();
        let request = self.attempts[attempt].request;
        match decision {
            BookingDecision::Run => self.attempts[attempt].stage = Stage::Admitted,
            BookingDecision::Claim(row) => self.attempts[attempt].stage = Stage::Claiming(row),
            BookingDecision::Elsewhere(owner, _) => {
                let index = (0..MEMBERS).find(|index| member(*index) == owner);
                let target = self.current[index.unwrap()];
                assert_ne!(
                    target, self.attempts[attempt].process,
                    "forwarded to itself"
                );
                // A process that was replaced may be told of its own successor's claim.
                self.attempts[attempt].stage = Stage::Told;
                self.send(target, key, request);
            }
            BookingDecision::Replay(answer) => {
                let (ran, first) = &self.runs[&key];
                assert_eq!(first.as_ref(), Some(&answer), "not the first answer");
                assert_eq!(*ran, request, "an answer to a different request");
            }
            BookingDecision::NotRun(reason) => self.check_not_run(&key, request, reason),
            BookingDecision::InDoubt(_) => {}
        }
    }

    fn check_not_run(&self, key: &BookingKey, request: u64, reason: RefusalReason) {
        match reason {
            RefusalReason::StoreUnavailable => {}
            RefusalReason::KeyReused => {
                let run = self.runs.get(key);
                assert!(run.is_none_or(|(ran, _)| *ran != request), "it ran");
            }
            _ => assert!(!self.runs.contains_key(key), "told not run, but it ran"),
        }
    }

    /// Picks an attempt of a live process at the wanted stage.
    fn pick(&self, pick: usize, is_wanted: impl Fn(&Stage) -> bool) -> Option<usize> {
        let mut found = Vec::new();
        for (index, attempt) in self.attempts.iter().enumerate() {
            if self.processes[attempt.process].is_alive && is_wanted(&attempt.stage) {
                found.push(index);
            }
        }
        (!found.is_empty()).then(|| found[pick % found.len()])
    }

    fn write(&mut self, pick: usize, fate: WriteFate) {
        let Some(attempt) = self.pick(pick, |stage| matches!(stage, Stage::Claiming(_))) else {
            return;
        };
        let Stage::Claiming(row) = self.attempts[attempt].stage.clone() else {
            return;
        };
        let key = self.attempts[attempt].key.clone();
        let is_free = !self.rows.contains_key(&key);
        match fate {
            WriteFate::Answered | WriteFate::AnswerLost => {
                self.rows.entry(key.clone()).or_insert(row);
            }
            WriteFate::LandsLate => self.late.push((key.clone(), row)),
            WriteFate::Outage => {}
        }
        self.attempts[attempt].stage = Stage::Told;
        let ledger = &mut self.processes[self.attempts[attempt].process].ledger;
        let decision = match fate {
            WriteFate::Answered if is_free => ledger.claimed(&key),
            WriteFate::Answered => ledger.claim_lost(&key, &self.rows[&key]),
            _ => ledger.claim_unknown(&key),
        };
        if is_free && matches!(fate, WriteFate::Answered) {
            assert_eq!(decision, BookingDecision::Run);
        }
        self.decide(attempt, decision);
    }

    fn hand_over(&mut self, pick: usize) {
        let Some(attempt) = self.pick(pick, |stage| matches!(stage, Stage::Admitted)) else {
            return;
        };
        let own = &self.attempts[attempt];
        let (process, key, request) = (&own.process, &own.key, &own.request);
        assert!(self.processes[*process].ledger.handed_over(key));
        let earlier = self.runs.insert(key.clone(), (*request, None));
        assert!(earlier.is_none(), "second run of {key}");
        self.attempts[attempt].stage = Stage::Running;
    }

    fn give_up(&mut self, pick: usize) {
        let is_waiting = |stage: &Stage| matches!(stage, Stage::Admitted | Stage::Claiming(_));
        let Some(attempt) = self.pick(pick, is_waiting) else {
            return;
        };
        let Attempt { process, key, .. } = &self.attempts[attempt];
        self.processes[*process].ledger.not_run(key);
        // A claim that was under way may still be written.
        if let Stage::Claiming(row) = &self.attempts[attempt].stage {
            self.late.push((key.clone(), row.clone()));
        }
        self.attempts[attempt].stage = Stage::Told;
    }

    fn end(&mut self, pick: usize, end: RunEnd) {
        let Some(attempt) = self.pick(pick, |stage| matches!(stage, Stage::Running)) else {
            return;
        };
        let own = &self.attempts[attempt];
        let (process, key, request) = (&own.process, &own.key, &own.request);
        let ledger = &mut self.processes[*process].ledger;
        match end {
            RunEnd::RefusedUnrun => {
                ledger.not_run(key);
                self.runs.remove(key);
            }
            RunEnd::Doubt => {
                ledger.doubt(key, DoubtReason::Timeout);
                let repeat = ledger.begin(key, *request, self.now);
                assert_eq!(repeat, BookingDecision::InDoubt(DoubtReason::Timeout));
            }
            RunEnd::Answer => {
                self.answers = self.answers.wrapping_add(1);
                let answer = StoredAnswer {
                    status: 201,
                    headers: vec![("x".into(), "y".into())],
                    body: Arc::from([self.answers]),
                };
                ledger.finish(key, answer.clone(), self.now);
                self.runs
                    .insert(key.clone(), (*request, Some(answer.clone())));
                let repeat = ledger.begin(key, *request, self.now);
                assert_eq!(repeat, BookingDecision::Replay(answer));
                let reuse = ledger.begin(key, request + 100, self.now);
                assert_eq!(reuse, BookingDecision::NotRun(RefusalReason::KeyReused));
            }
        }
        self.attempts[attempt].stage = Stage::Told;
    }

    fn check_bounds(&self) {
        for process in &self.processes {
            let in_flight = self.attempts.iter();
            let in_flight = in_flight.filter(|attempt| !matches!(attempt.stage, Stage::Told));
            let bound = LIMITS.minted as usize + LIMITS.callers + in_flight.count() + 1;
            assert!(process.ledger.len() <= bound, "ledger grows without bound");
        }
    }
}

impl StepWorld for World {
    type Step = Step;

    fn start() -> World {
        World::new()
    }

    fn steps() -> BoxedStrategy<Step> {
        let index = 0..MEMBERS;
        let pick = 0..64_usize;
        let fate = prop_oneof![
            5 => Just(WriteFate::Answered),
            1 => Just(WriteFate::Outage),
            1 => Just(WriteFate::AnswerLost),
            1 => Just(WriteFate::LandsLate),
        ];
        let end = prop_oneof![
            3 => Just(RunEnd::Answer),
            1 => Just(RunEnd::RefusedUnrun),
            1 => Just(RunEnd::Doubt),
        ];
        prop_oneof![
            2 => index.clone().prop_map(Step::Mint),
            8 => (index.clone(), 0..9_usize, 0..2_u64)
                .prop_map(|(via, key, request)| Step::Send { via, key, request }),
            5 => (pick.clone(), fate).prop_map(|(attempt, fate)| Step::Write { attempt, fate }),
            5 => pick.clone().prop_map(|attempt| Step::HandOver { attempt }),
            1 => pick.clone().prop_map(|attempt| Step::GiveUp { attempt }),
            4 => (pick.clone(), end).prop_map(|(attempt, end)| Step::End { attempt, end }),
            1 => index.clone().prop_map(Step::Crash),
            1 => index.prop_map(Step::Replace),
            1 => pick.prop_map(Step::LandLateWrite),
            1 => (1..20_u64).prop_map(Step::Tick),
        ]
        .boxed()
    }

    fn apply_step(&mut self, step: Step) {
        self.step(step);
    }

    fn check_step(&self) {
        self.check_bounds();
    }
}

prop_state_machine! {
    #![proptest_config(fixed_config(0x0b00, 600))]

    #[test]
    fn bookings_run_at_most_once(sequential 20..160 => StepTest<World>);
}

/// A claim that took effect while its answer was lost does not keep the booking from running.
#[test]
fn claim_with_a_lost_answer_runs_on_repeat() {
    let mut ledger = BookingLedger::new(member(0), 1);
    let key = BookingKey::parse("order-7").unwrap();
    assert!(!ledger.knows(&key));
    let BookingDecision::Claim(row) = ledger.begin(&key, 1, Duration::ZERO) else {
        panic!("no claim");
    };
    let refusal = BookingDecision::NotRun(RefusalReason::StoreUnavailable);
    assert_eq!(ledger.claim_unknown(&key), refusal);
    assert!(ledger.knows(&key));
    let repeat = ledger.begin(&key, 1, Duration::ZERO);
    assert!(matches!(repeat, BookingDecision::Claim(_)));
    assert_eq!(ledger.claim_lost(&key, &row), BookingDecision::Run);
    assert!(ledger.handed_over(&key));
}

#[test]
fn a_booking_is_handed_over_once_for_each_admission() {
    let mut ledger = BookingLedger::new("10.0.0.1:7000".into(), 1);
    let key = ledger.mint();
    assert!(!ledger.handed_over(&key), "never begun");
    assert_eq!(ledger.begin(&key, 1, Duration::ZERO), BookingDecision::Run);
    ledger.not_run(&key);
    assert!(!ledger.handed_over(&key), "given up");
    assert_eq!(ledger.begin(&key, 1, Duration::ZERO), BookingDecision::Run);
    assert!(ledger.handed_over(&key));
    assert!(!ledger.handed_over(&key), "twice");
    ledger.doubt(&key, DoubtReason::Timeout);
    assert!(!ledger.handed_over(&key), "may have run");
}
