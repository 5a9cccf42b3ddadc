//! State machine test: operators change the configuration while two daemons remove objects, with store
//! faults, pauses, restarts and clock skew. The objects of the head and of the retained generations
//! always exist.

mod common;

use std::time::Duration;
use std::time::SystemTime;

use proptest::prelude::*;
use proptest_state_machine::prop_state_machine;

use coltsfootweir::accept::accept_change;
use coltsfootweir::accept::delta_object;
use coltsfootweir::accept::fetch_snapshot;
use coltsfootweir::accept::parse_delta_object;
use coltsfootweir::accept::read_head;
use coltsfootweir::accept::snapshot_object;
use coltsfootweir::head_history::HeadHistory;
use coltsfootweir::head_history::HistoryLimits;
use coltsfootweir::head_history::find_cutoff;
use coltsfootweir::ids::Generation;
use coltsfootweir::ids::WriteId;
use coltsfootweir::object_sweep::ObjectSweep;
use coltsfootweir::object_sweep::PASS_GENERATIONS;
use coltsfootweir::object_sweep::SweepAction;
use coltsfootweir::platform::KeyRange;
use coltsfootweir::platform::PlatformResult;
use coltsfootweir::platform::PlatformStore;
use coltsfootweir::record::ConfigRecord;
use coltsfootweir::snapshot::ConfigSnapshot;
use coltsfootweir::snapshot::HeadMark;
use standins::memory_platform::MemoryPlatform;

use common::fake_store::FakeStore;
use common::fake_store::StoreFault;
use common::fixed_config;
use common::records::first_snapshot;
use common::records::route;
use common::step_test::StepTest;
use common::step_test::StepWorld;
use common::timed_keys::at_hour;

const HOUR: Duration = Duration::from_secs(3600);

const LIMITS: HistoryLimits = HistoryLimits {
    generations: 5,
    age: Duration::from_secs(24 * 3600),
};

/// Clock skew of the two removers, one ahead and one behind.
const SKEW: Duration = Duration::from_secs(3 * 3600);

#[derive(Clone, Debug)]
enum Step {
    /// An operator's change, with the faults of its store operations.
    Accept(Vec<StoreFault>),
    PassHours(u32),
    /// One operation of a remover's sweep; a new sweep starts when the last one has ended.
    Sweep(usize, StoreFault),
    Restart(usize),
}

struct World {
    store: FakeStore,
    now: Duration,
    changes: u64,
    /// Accepted generations, and when the next one replaced each.
    accepted: Vec<(HeadMark, Option<Duration>)>,
    sweeps: [Option<ObjectSweep>; 2],
}

impl World {
    fn wall(&self, remover: usize) -> SystemTime {
        let skewed = at_hour(0) + self.now + SKEW;
        if remover == 0 {
            skewed
        } else {
            skewed - SKEW * 2
        }
    }

    fn accept(&mut self, script: &[StoreFault]) {
        self.changes += 1;
        let number = self.changes;
        let write_ids = || WriteId::from(format!("w{number}"));
        let change = |base: &ConfigSnapshot| match base.generation {
            0 => Ok(first_snapshot()),
            _ => base.with_records([ConfigRecord::Route(route("shared", "stalls", number))]),
        };
        self.store.script_faults(script, None);
        let _ = accept_change(&self.store, &write_ids, &change, &[]);
        self.store.script_faults(&[], None);
        self.store.apply_late_writes();
        let head = read_head(&self.store).unwrap();
        if head.generation > self.accepted.len() as u64 {
            if let Some((_, replaced)) = self.accepted.last_mut() {
                *replaced = Some(self.now);
            }
            self.accepted.push((head, None));
        }
    }

    fn sweep(&mut self, remover: usize, fault: StoreFault) {
        let wall = self.wall(remover);
        self.store.script_faults(&[fault], None);
        if let Some(sweep) = &mut self.sweeps[remover] {
            // A failure ends the sweep, as in the daemon.
            if !matches!(step_sweep(&self.store, sweep), Ok(true)) {
                self.sweeps[remover] = None;
            }
        } else if let Ok(cutoff) = find_cutoff(&self.store, "h".into(), wall, &LIMITS) {
            self.sweeps[remover] = Some(ObjectSweep::start(cutoff));
        }
        self.store.script_faults(&[], None);
        self.store.apply_late_writes();
    }
}

/// Performs one action; returns whether the sweep continues.
fn step_sweep(store: &dyn PlatformStore, sweep: &mut ObjectSweep) -> PlatformResult<bool> {
    match sweep.next_action() {
        SweepAction::List(range) => sweep.on_page(store.list_objects(&range)?),
        SweepAction::Remove(names) => {
            for name in &names {
                store.delete_object(name)?;
            }
            sweep.on_removed();
        }
        SweepAction::Wait(_) => {}
        SweepAction::End => return Ok(false),
    }
    Ok(true)
}

fn names(store: &dyn PlatformStore, prefix: &str) -> Vec<Box<str>> {
    let range = KeyRange {
        prefix: prefix.into(),
        after: "".into(),
        limit: usize::MAX,
    };
    store.list_objects(&range).unwrap()
}

impl StepWorld for World {
    type Step = Step;

    fn start() -> World {
        let mut world = World {
            store: FakeStore::default(),
            now: Duration::ZERO,
            changes: 0,
            accepted: Vec::new(),
            sweeps: [None, None],
        };
        world.accept(&[]);
        world
    }

    fn steps() -> BoxedStrategy<Step> {
        let fault = prop_oneof![
            8 => Just(StoreFault::None),
            1 => Just(StoreFault::Outage),
            1 => Just(StoreFault::LostBefore),
            1 => Just(StoreFault::LostAfter),
            1 => Just(StoreFault::Late(1)),
        ];
        prop_oneof![
            4 => Just(Step::Accept(Vec::new())),
            2 => prop::collection::vec(fault.clone(), 1..8).prop_map(Step::Accept),
            2 => (1..20_u32).prop_map(Step::PassHours),
            8 => (0..2_usize, fault).prop_map(|(remover, fault)| Step::Sweep(remover, fault)),
            1 => (0..2_usize).prop_map(Step::Restart),
        ]
        .boxed()
    }

    fn apply_step(&mut self, step: Step) {
        match step {
            Step::Accept(script) => self.accept(&script),
            Step::PassHours(hours) => self.now += HOUR * hours,
            Step::Sweep(remover, fault) => self.sweep(remover, fault),
            Step::Restart(remover) => self.sweeps[remover] = None,
        }
    }

    fn check_step(&self) {
        let head = read_head(&self.store).unwrap();
        assert_eq!(head, self.accepted.last().unwrap().0);
        fetch_snapshot(&self.store, &head).expect("the head can be read");
        for (mark, replaced) in &self.accepted {
            let is_recent = mark.generation + LIMITS.generations >= head.generation;
            let is_young = replaced.is_none_or(|time| time + LIMITS.age > self.now + SKEW * 2);
            if !is_recent && !is_young {
                continue;
            }
            for name in [snapshot_object(mark), delta_object(mark)] {
                let object = self.store.get_object(&name).unwrap();
                assert!(object.is_some(), "{name} is gone, head {}", head.generation);
            }
        }
    }

    /// Without faults, all old objects are removed, including those of changes that were not accepted.
    fn finish(mut self) {
        self.sweeps = [None, None];
        for _ in 0..8 {
            self.now += HOUR * 7;
            self.sweep(0, StoreFault::None);
            while self.sweeps[0].is_some() {
                self.sweep(0, StoreFault::None);
            }
        }
        self.check_step();
        let head = read_head(&self.store).unwrap();
        let mut snapshots = Vec::new();
        for name in names(&self.store, "delta/") {
            let mark = parse_delta_object(&name).expect("a delta");
            assert!(mark.generation + LIMITS.generations >= head.generation);
            snapshots.push(snapshot_object(&mark).into_boxed_str());
        }
        for name in names(&self.store, "snapshot/") {
            assert!(snapshots.contains(&name), "{name} has no delta");
        }
    }
}

prop_state_machine! {
    #![proptest_config(fixed_config(0x0b1e, 300))]

    #[test]
    fn kept_generations_stay_whatever_removers_do(sequential 20..200 => StepTest<World>);
}

/// Makes changes until generation `last` is accepted.
fn accept_until(store: &dyn PlatformStore, last: Generation) {
    while read_head(store).unwrap().generation < last {
        let change = |base: &ConfigSnapshot| match base.generation {
            0 => Ok(first_snapshot()),
            count => base.with_records([ConfigRecord::Route(route("shared", "stalls", count))]),
        };
        accept_change(store, &|| "w".into(), &change, &[]).unwrap();
    }
}

#[test]
fn pass_is_bounded() {
    let store = MemoryPlatform::new();
    let last = 3 * PASS_GENERATIONS as u64;
    accept_until(&store, last);
    let mut sweep = ObjectSweep::start(last);
    let before = store.stats();
    while !matches!(sweep.next_action(), SweepAction::Wait(_)) {
        step_sweep(&store, &mut sweep).unwrap();
    }
    let after = store.stats();
    assert_eq!(
        after.objects_deleted - before.objects_deleted,
        2 * PASS_GENERATIONS as u64
    );
    assert_eq!(after.object_listings - before.object_listings, 1);
}

#[test]
fn history_keeps_one_old_sample_and_grows_no_further() {
    let limits = HistoryLimits::default();
    let mut history = HeadHistory::default();
    for hour in 0..2000 {
        history.add_sample(hour, at_hour(hour), &limits);
    }
    let samples = serde_json::to_value(&history).unwrap()["samples"].clone();
    assert!(samples.as_array().unwrap().len() <= 7 * 4 + 2);
    let cutoff = history.cutoff(5000, at_hour(2000), &limits);
    assert!(
        (2000 - 7 * 24 - 7..2000 - 7 * 24).contains(&cutoff),
        "{cutoff}"
    );
}

/// Prints the number of objects after each week, at the rate of changes expected in two years.
#[test]
#[ignore = "a measurement"]
fn objects_of_four_weeks() {
    const CHANGES_A_DAY: u64 = 830;
    let store = MemoryPlatform::new();
    for day in 1..=28 {
        accept_until(&store, day * CHANGES_A_DAY);
        let wall = at_hour(day * 24);
        let before = store.stats();
        let cutoff = find_cutoff(&store, "h".into(), wall, &HistoryLimits::default()).unwrap();
        let mut sweep = ObjectSweep::start(cutoff);
        while step_sweep(&store, &mut sweep).unwrap() {}
        let after = store.stats();
        if day % 7 == 0 {
            println!(
                "day {day}: generation {}, {} objects, cutoff {cutoff}; the day's sweep: {} listings, {} deletions",
                day * CHANGES_A_DAY,
                names(&store, "").len(),
                after.object_listings - before.object_listings,
                after.objects_deleted - before.objects_deleted
            );
        }
    }
}
