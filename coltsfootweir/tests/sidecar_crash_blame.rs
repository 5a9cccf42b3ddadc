//! Which requests are blamed for the crash of an endpoint, whether somebody waits for them or not.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use coltsfootweir::fact::CrashFact;
use coltsfootweir::ids::Fingerprint;
use coltsfootweir::poison::PoisonTable;
use coltsfootweir::run_ledger::EndedRuns;
use coltsfootweir::run_ledger::MAX_ABANDONED;
use coltsfootweir::run_ledger::RunId;
use coltsfootweir::run_ledger::RunLedger;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against a run that outlives its request in the ledger, or the other way round.
#[test]
fn run_is_kept_until_the_endpoint_has_shown_that_it_is_over() {
    let mut ledger = RunLedger::default();
    for id in 1..=5 {
        ledger.start(id, id * 10, ms(1_000 * id));
    }
    ledger.finish(1);
    ledger.abandon(2, ms(100));
    ledger.abandon(3, ms(200));
    ledger.break_off(4, ms(300));
    // A sign of life of the time before says nothing about it.
    ledger.on_alive(ms(300));
    assert_eq!(ledger.abandoned(), 3);
    ledger.on_alive(ms(2_500));
    let ended = ledger.end_lifetime(ms(2_600));
    let expected = EndedRuns {
        open: vec![50],
        abandoned: vec![30],
    };
    assert_eq!(ended, expected);
    // What ran at the lifetime that has ended can't crash the next one.
    ledger.abandon(5, ms(2_700));
    assert_eq!(ledger.end_lifetime(ms(2_800)), EndedRuns::default());
}

/// Guards against callers that leave at once and always: what is kept of their requests must be bounded in
/// number and time.
#[test]
fn abandoned_runs_are_bounded() {
    let mut ledger = RunLedger::default();
    for id in 0..10 * MAX_ABANDONED as u64 {
        let now = ms(id);
        ledger.start(id, id, now + ms(5_000));
        ledger.abandon(id, now);
        ledger.start(id, 7, now + ms(5_000));
        ledger.abandon(id, now);
        assert!(ledger.abandoned() <= MAX_ABANDONED);
    }
    let ended = ledger.end_lifetime(ms(6_000));
    assert_eq!(ended.abandoned[0], 7, "the latest comes first");
    let copies = ended.abandoned.iter().filter(|run| **run == 7);
    assert_eq!(copies.count(), 1);
    ledger.start(1, 1, ms(7_000));
    ledger.abandon(1, ms(6_000));
    assert_eq!(ledger.end_lifetime(ms(90_000)), EndedRuns::default());
}

/// A request that crashes each endpoint that runs it long enough.
const POISON: Fingerprint = 1;

const STEP_MS: u64 = 10;

/// Run of the endpoint, which may go on when nobody waits for it.
struct TrueRun {
    fingerprint: Fingerprint,
    ends_at: u64,
    leaves_at: u64,
    stops_at: u64,
}

/// An endpoint, its daemon, and what the daemon knows.
struct BlameWorld {
    random: ChaCha8Rng,
    at: u64,
    next_id: RunId,
    ledger: RunLedger,
    poison: PoisonTable,
    runs: BTreeMap<RunId, TrueRun>,
    /// Requests that can't have run when the endpoint crashed last.
    innocent: BTreeSet<Fingerprint>,
    crashes: u64,
    refused: u64,
}

impl BlameWorld {
    fn new(seed: u64) -> BlameWorld {
        BlameWorld {
            random: ChaCha8Rng::seed_from_u64(seed),
            at: 0,
            next_id: 0,
            ledger: RunLedger::default(),
            poison: PoisonTable::new(),
            runs: BTreeMap::new(),
            innocent: BTreeSet::new(),
            crashes: 0,
            refused: 0,
        }
    }

    fn start(&mut self, fingerprint: Fingerprint, run_ms: u64, patience_ms: u64) {
        if self.poison.is_refused(fingerprint, ms(self.at)) {
            assert_eq!(fingerprint, POISON, "an innocent request is refused");
            self.refused += 1;
            return;
        }
        let id = self.next_id;
        self.next_id += 1;
        self.innocent.remove(&fingerprint);
        let run = TrueRun {
            fingerprint,
            ends_at: self.at + run_ms,
            leaves_at: self.at + patience_ms,
            stops_at: self.at + 1_500,
        };
        self.ledger.start(id, fingerprint, ms(run.stops_at));
        self.runs.insert(id, run);
    }

    /// Endpoints that go on with what nobody waits for, and those that drop it, end runs at their time.
    fn step(&mut self, keeps_on: bool) {
        self.at += STEP_MS;
        if self.random.random_bool(0.3) {
            let fingerprint = 100 + self.random.random_range(0..100_000);
            let run_ms = self.random.random_range(20..400);
            let patience_ms = match self.random.random_bool(0.3) {
                true => self.random.random_range(10..200),
                false => 1_500,
            };
            self.start(fingerprint, run_ms, patience_ms);
        }
        if self.random.random_bool(0.02) {
            let patience_ms = [150, 1_500][self.random.random_range(0..2)];
            self.start(POISON, 300, patience_ms);
        }
        let mut crashed = false;
        for (id, run) in std::mem::take(&mut self.runs) {
            let has_left = run.leaves_at <= self.at;
            if has_left {
                self.ledger.abandon(id, ms(self.at));
            }
            let goes_on = self.at < run.stops_at && (!has_left || keeps_on);
            if goes_on && self.at < run.ends_at {
                self.runs.insert(id, run);
                continue;
            }
            if run.fingerprint == POISON && goes_on {
                crashed = true;
                self.runs.insert(id, run);
                continue;
            }
            if !has_left {
                self.ledger.finish(id);
                self.ledger.on_alive(ms(self.at));
                self.poison.on_completed(run.fingerprint, ms(self.at));
                self.innocent.insert(run.fingerprint);
            }
        }
        if crashed {
            self.crash();
        }
    }

    fn crash(&mut self) {
        // The end may be noticed late; nothing is sent meanwhile.
        self.at += self.random.random_range(0..1_500);
        let EndedRuns { open, abandoned } = self.ledger.end_lifetime(ms(self.at));
        let ran = [open, abandoned].concat();
        let suspects = self.poison.crash_suspects(&ran, ms(self.at));
        assert!(suspects.contains(&POISON), "the poison is not blamed");
        for suspect in &suspects {
            assert!(!self.innocent.contains(suspect), "{suspect} had ended");
            let fact = CrashFact {
                fingerprint: *suspect,
                member: "vm-1".into(),
                incarnation: 1,
                number: self.crashes,
            };
            self.poison.on_crash(&fact, ms(self.at));
        }
        self.crashes += 1;
        for id in std::mem::take(&mut self.runs).into_keys() {
            self.ledger.abandon(id, ms(self.at));
        }
    }
}

/// Guards against a request that crashes endpoints and is not blamed, and against one that is blamed though
/// the endpoint had answered it, or refused though it crashes nothing; with endpoints that go on with what
/// nobody waits for, and with those that drop it.
#[test]
fn only_what_may_have_run_is_blamed_and_the_poison_always() {
    for seed in 0..200 {
        let keeps_on = seed % 2 == 0;
        let mut world = BlameWorld::new(seed);
        for _ in 0..4_000 {
            world.step(keeps_on);
        }
        assert!(world.crashes <= 2, "seed {seed}: {} crashes", world.crashes);
        assert!(world.refused > 0, "seed {seed}");
    }
}
