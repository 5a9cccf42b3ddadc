//! Model of several daemons with booking ledgers and a shared claim table, which checks that each key runs
//! at most once. Clocks differ within the margin, and old claims are removed.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use coltsfootweir::answer_cache::CacheLimits;
use coltsfootweir::answer_cache::StoredAnswer;
use coltsfootweir::booking::BookingLedger;
use coltsfootweir::booking_decision::BookingDecision;
use coltsfootweir::booking_decision::ClaimRow;
use coltsfootweir::booking_decision::LedgerLimits;
use coltsfootweir::booking_key::BookingKey;
use coltsfootweir::claim_row::ClaimLayout;
use coltsfootweir::claim_row::ClaimRowKeys;
use coltsfootweir::claim_row::TimedClaim;
use coltsfootweir::clock::ClockReading;
use coltsfootweir::ids::MemberId;
use coltsfootweir::key_age::CLOCK_MARGIN;
use coltsfootweir::key_age::KeyAgeLimits;
use coltsfootweir::key_age::MAX_KEY_AGE;
use coltsfootweir::key_age::MAX_KEY_LEAD;
use coltsfootweir::outcome::DoubtReason;
use coltsfootweir::outcome::RefusalReason;

use crate::common::timed_keys::at_hour;
use crate::common::timed_keys::timed_key;

pub const MEMBERS: usize = 3;

/// Has the form of a key of the second member's first incarnation, which never minted it.
const FORGED_KEY: &str = "cw1~10.0.0.1:7000~1~900";

/// Small limits, so that each one is reached within a few steps.
const LIMITS: LedgerLimits = LedgerLimits {
    minted: 4,
    callers: 3,
    answers: CacheLimits {
        answers: 2,
        bytes: 1000,
        age: Duration::from_secs(30),
    },
    ages: KeyAgeLimits {
        age: MAX_KEY_AGE,
        lead: MAX_KEY_LEAD,
    },
};

/// Hours at which the timed keys are made. Each world starts at the first one.
pub const KEY_HOURS: [u64; 4] = [0, 0, 6, 30];

#[derive(Clone, Debug)]
pub enum Step {
    Mint(usize),
    Send {
        via: usize,
        key: usize,
        request: u64,
    },
    SendTimed {
        via: usize,
        key: usize,
        request: u64,
    },
    /// Removes the claims that are removable by the clock of this member.
    Remove(usize),
    PassHours(u64),
    Write {
        attempt: usize,
        fate: WriteFate,
    },
    HandOver {
        attempt: usize,
    },
    Abandon {
        attempt: usize,
    },
    End {
        attempt: usize,
        end: RunEnd,
    },
    Crash(usize),
    /// Replaces a process that stopped answering. The old process may continue later.
    Replace(usize),
    ApplyLateWrite(usize),
    Tick(u64),
}

#[derive(Clone, Copy, Debug)]
pub enum WriteFate {
    Answered,
    Outage,
    AnswerLost,
    AppliedLate,
}

#[derive(Clone, Copy, Debug)]
pub enum RunEnd {
    Answer,
    NotRun,
    Doubt,
}

struct Process {
    ledger: BookingLedger,
    incarnation: u64,
    member: usize,
    is_alive: bool,
}

#[derive(Clone)]
enum Stage {
    Claiming(ClaimRow),
    Reading,
    Admitted,
    Running,
    Ended,
}

struct Attempt {
    process: usize,
    key: BookingKey,
    request: u64,
    stage: Stage,
}

/// Model state, with the runs that the checks compare against.
pub struct World {
    now: Duration,
    processes: Vec<Process>,
    current: Vec<usize>,
    keys: Vec<BookingKey>,
    timed_keys: Vec<BookingKey>,
    sent: HashSet<BookingKey>,
    attempts: Vec<Attempt>,
    rows: HashMap<BookingKey, ClaimRow>,
    late_writes: Vec<(BookingKey, ClaimRow)>,
    /// Request that ran under each key, and its answer once there is one.
    runs: HashMap<BookingKey, (u64, Option<StoredAnswer>)>,
    answers: u8,
}

pub fn member(index: usize) -> MemberId {
    format!("10.0.0.{index}:7000").into()
}

impl World {
    pub fn new() -> World {
        let mut world = World {
            now: Duration::ZERO,
            processes: Vec::new(),
            current: vec![0; MEMBERS],
            keys: Vec::new(),
            timed_keys: Vec::new(),
            sent: HashSet::new(),
            attempts: Vec::new(),
            rows: HashMap::new(),
            late_writes: Vec::new(),
            runs: HashMap::new(),
            answers: 0,
        };
        for name in ["a", "b", "c", "d", FORGED_KEY] {
            world.keys.push(BookingKey::parse(name).unwrap());
        }
        for (number, hour) in KEY_HOURS.into_iter().enumerate() {
            let text = timed_key(at_hour(hour), number as u64);
            world.timed_keys.push(BookingKey::parse(&text).unwrap());
        }
        for index in 0..MEMBERS {
            world.start(index);
        }
        world
    }

    /// Returns the wall-clock time of a member. The clock of the first member is behind and that of the
    /// last one is ahead; they differ by one second less than the margin.
    fn wall(&self, member: usize) -> SystemTime {
        let span = CLOCK_MARGIN - Duration::from_secs(1);
        let ahead = span * member as u32 / (MEMBERS as u32 - 1);
        at_hour(0) + self.now + ahead - span / 2
    }

    fn reading(&self, process: usize) -> ClockReading {
        ClockReading {
            now: self.now,
            wall: self.wall(self.processes[process].member),
        }
    }

    fn remove(&mut self, member: usize) {
        let wall = self.wall(member);
        self.rows.retain(|key, _| {
            let keys = ClaimRowKeys::of("stalls", &key.to_string(), ClaimLayout::Timed);
            let timed = keys.timed.and_then(|key| TimedClaim::parse(&key));
            !timed.is_some_and(|claim| claim.is_removable(wall))
        });
    }

    fn start(&mut self, index: usize) {
        let incarnation = self.processes.len() as u64;
        self.current[index] = self.processes.len();
        self.processes.push(Process {
            ledger: BookingLedger::with_limits(member(index), incarnation, LIMITS),
            incarnation,
            member: index,
            is_alive: true,
        });
    }

    pub fn step(&mut self, step: Step) {
        match step {
            Step::Mint(index) => {
                let process = self.current[index];
                let key = self.processes[process].ledger.mint();
                self.keys.push(key);
            }
            Step::Send { via, key, request } => {
                // Only the nine newest keys are used, because otherwise most sends would use old keys.
                let key = self.keys[self.keys.len() - 1 - key % self.keys.len().min(9)].clone();
                self.send(self.current[via], key, request);
            }
            Step::SendTimed { via, key, request } => {
                let key = self.timed_keys[key].clone();
                self.send(self.current[via], key, request);
            }
            Step::Remove(member) => self.remove(member),
            Step::PassHours(hours) => self.now += Duration::from_secs(hours * 3600),
            Step::Write { attempt, fate } => self.write(attempt, fate),
            Step::HandOver { attempt } => self.hand_over(attempt),
            Step::Abandon { attempt } => self.abandon(attempt),
            Step::End { attempt, end } => self.end(attempt, end),
            Step::Crash(index) => {
                self.processes[self.current[index]].is_alive = false;
                self.start(index);
            }
            Step::Replace(index) => self.start(index),
            Step::ApplyLateWrite(pick) if !self.late_writes.is_empty() => {
                let (key, row) = self.late_writes.swap_remove(pick % self.late_writes.len());
                self.rows.entry(key).or_insert(row);
            }
            Step::ApplyLateWrite(_) => {}
            Step::Tick(seconds) => self.now += Duration::from_secs(seconds),
        }
    }

    fn send(&mut self, process: usize, key: BookingKey, request: u64) {
        let clock = self.reading(process);
        let decision = self.processes[process].ledger.begin(&key, request, clock);
        let is_first = self.sent.insert(key.clone());
        self.check_fresh_key_runs(process, &key, is_first, &decision);
        self.attempts.push(Attempt {
            process,
            key,
            request,
            stage: Stage::Ended,
        });
        self.apply_decision(self.attempts.len() - 1, decision);
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
            BookingKey::Caller(_) => {
                let wall = self.reading(process).wall;
                let is_claimed = key
                    .time()
                    .is_none_or(|time| wall <= time + MAX_KEY_AGE && time <= wall + MAX_KEY_LEAD);
                assert_eq!(matches!(decision, BookingDecision::Claim(_)), is_claimed);
                assert_eq!(*decision == BookingDecision::ReadClaim, !is_claimed);
            }
            BookingKey::Minted { counter: 900, .. } => {
                assert_ne!(*decision, BookingDecision::Run, "ran a forged key");
            }
            // Each incarnation number is used once here, so it identifies the owner.
            BookingKey::Minted { incarnation, .. } if *incarnation == own => {
                let newest = self.keys.last() == Some(key);
                assert!(!newest || *decision == BookingDecision::Run);
            }
            BookingKey::Minted { .. } => assert_ne!(*decision, BookingDecision::Run),
        }
    }

    /// Carries out a decision as a daemon would.
    fn apply_decision(&mut self, attempt: usize, decision: BookingDecision) {
        let key = self.attempts[attempt].key.clone();
        let request = self.attempts[attempt].request;
        match decision {
            BookingDecision::Run => self.attempts[attempt].stage = Stage::Admitted,
            BookingDecision::Claim(row) => self.attempts[attempt].stage = Stage::Claiming(row),
            BookingDecision::ReadClaim => self.attempts[attempt].stage = Stage::Reading,
            BookingDecision::Elsewhere(owner, _) => {
                let index = (0..MEMBERS).find(|index| member(*index) == owner);
                let target = self.current[index.unwrap()];
                assert_ne!(
                    target, self.attempts[attempt].process,
                    "forwarded to itself"
                );
                // A replaced process may be redirected to its own successor.
                self.attempts[attempt].stage = Stage::Ended;
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
                assert!(
                    run.is_none_or(|(ran, _)| *ran != request),
                    "this request ran"
                );
            }
            _ => assert!(
                !self.runs.contains_key(key),
                "reported as not run, but it ran"
            ),
        }
    }

    /// Picks an attempt of a live process at a matching stage.
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
        let is_waiting = |stage: &Stage| matches!(stage, Stage::Claiming(_) | Stage::Reading);
        let Some(attempt) = self.pick(pick, is_waiting) else {
            return;
        };
        if matches!(self.attempts[attempt].stage, Stage::Reading) {
            return self.read_claim(attempt, fate);
        }
        let Stage::Claiming(row) = self.attempts[attempt].stage.clone() else {
            return;
        };
        let key = self.attempts[attempt].key.clone();
        let is_free = !self.rows.contains_key(&key);
        match fate {
            WriteFate::Answered | WriteFate::AnswerLost => {
                self.rows.entry(key.clone()).or_insert(row);
            }
            WriteFate::AppliedLate => self.late_writes.push((key.clone(), row)),
            WriteFate::Outage => {}
        }
        self.attempts[attempt].stage = Stage::Ended;
        let wall = self.reading(self.attempts[attempt].process).wall;
        let ledger = &mut self.processes[self.attempts[attempt].process].ledger;
        let decision = match fate {
            WriteFate::Answered if is_free => ledger.on_claimed(&key, wall),
            WriteFate::Answered => ledger.on_claim_taken(&key, &self.rows[&key], wall),
            _ => ledger.on_claim_unknown(&key, wall),
        };
        let is_current = key.time().is_none_or(|time| wall <= time + MAX_KEY_AGE);
        if is_free && is_current && matches!(fate, WriteFate::Answered) {
            assert_eq!(decision, BookingDecision::Run);
        }
        self.apply_decision(attempt, decision);
    }

    /// Reads the claim row of a key that must not be claimed now.
    fn read_claim(&mut self, attempt: usize, fate: WriteFate) {
        let key = self.attempts[attempt].key.clone();
        let process = self.attempts[attempt].process;
        let wall = self.reading(process).wall;
        let ledger = &mut self.processes[process].ledger;
        let decision = match (fate, self.rows.get(&key)) {
            (WriteFate::Answered, Some(row)) => ledger.on_claim_taken(&key, row, wall),
            (WriteFate::Answered, None) => ledger.on_claim_missing(&key, wall),
            _ => ledger.on_claim_unknown(&key, wall),
        };
        self.attempts[attempt].stage = Stage::Ended;
        self.apply_decision(attempt, decision);
    }

    fn hand_over(&mut self, pick: usize) {
        let Some(attempt) = self.pick(pick, |stage| matches!(stage, Stage::Admitted)) else {
            return;
        };
        let own = &self.attempts[attempt];
        let (process, key, request) = (&own.process, &own.key, &own.request);
        assert!(self.processes[*process].ledger.mark_running(key));
        let earlier = self.runs.insert(key.clone(), (*request, None));
        assert!(earlier.is_none(), "second run of {key}");
        self.attempts[attempt].stage = Stage::Running;
    }

    fn abandon(&mut self, pick: usize) {
        let is_waiting =
            |stage: &Stage| matches!(stage, Stage::Admitted | Stage::Claiming(_) | Stage::Reading);
        let Some(attempt) = self.pick(pick, is_waiting) else {
            return;
        };
        let Attempt { process, key, .. } = &self.attempts[attempt];
        self.processes[*process].ledger.mark_not_run(key);
        // A claim in progress may still be written.
        if let Stage::Claiming(row) = &self.attempts[attempt].stage {
            self.late_writes.push((key.clone(), row.clone()));
        }
        self.attempts[attempt].stage = Stage::Ended;
    }

    fn end(&mut self, pick: usize, end: RunEnd) {
        let Some(attempt) = self.pick(pick, |stage| matches!(stage, Stage::Running)) else {
            return;
        };
        let own = &self.attempts[attempt];
        let (process, key, request) = (&own.process, &own.key, &own.request);
        let clock = self.reading(*process);
        let ledger = &mut self.processes[*process].ledger;
        match end {
            RunEnd::NotRun => {
                ledger.mark_not_run(key);
                self.runs.remove(key);
            }
            RunEnd::Doubt => {
                ledger.mark_in_doubt(key, DoubtReason::Timeout);
                let repeat = ledger.begin(key, *request, clock);
                assert_eq!(repeat, BookingDecision::InDoubt(DoubtReason::Timeout));
            }
            RunEnd::Answer => {
                self.answers = self.answers.wrapping_add(1);
                let answer = StoredAnswer {
                    status: 201,
                    headers: vec![("x".into(), "y".into())],
                    body: Arc::from([self.answers]),
                };
                ledger.mark_done(key, answer.clone(), self.now);
                self.runs
                    .insert(key.clone(), (*request, Some(answer.clone())));
                let repeat = ledger.begin(key, *request, clock);
                assert_eq!(repeat, BookingDecision::Replay(answer));
                let reuse = ledger.begin(key, request + 100, clock);
                assert_eq!(reuse, BookingDecision::NotRun(RefusalReason::KeyReused));
            }
        }
        self.attempts[attempt].stage = Stage::Ended;
    }

    pub fn check_bounds(&self) {
        for process in &self.processes {
            let in_flight = self.attempts.iter();
            let in_flight = in_flight.filter(|attempt| !matches!(attempt.stage, Stage::Ended));
            let bound = LIMITS.minted as usize + LIMITS.callers + in_flight.count() + 1;
            assert!(process.ledger.len() <= bound, "ledger exceeds its limits");
        }
    }
}
