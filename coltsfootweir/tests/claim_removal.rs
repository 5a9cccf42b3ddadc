//! Tests of the removal of old claim rows: removable rows are removed with bounded work, all others stay.

mod common;

use std::time::Duration;
use std::time::SystemTime;

use proptest::collection::vec;
use proptest::prelude::*;

use coltsfootweir::claim_removal::BUSY_INTERVAL;
use coltsfootweir::claim_removal::ClaimAction;
use coltsfootweir::claim_removal::ClaimRemoval;
use coltsfootweir::claim_removal::PAGE_ROWS;
use coltsfootweir::claim_removal::PASS_PAGES;
use coltsfootweir::claim_row::ClaimLayout;
use coltsfootweir::claim_row::ClaimRowKeys;
use coltsfootweir::key_age::CLOCK_MARGIN;
use coltsfootweir::key_age::MAX_KEY_AGE;
use coltsfootweir::platform::PlatformStore;
use coltsfootweir::platform::RowCondition;
use coltsfootweir::platform::RowWrite;
use coltsfootweir::platform::WriteBatch;
use standins::memory_platform::MemoryPlatform;
use standins::platform_faults::PlatformFaults;

use common::fixed_config;
use common::timed_keys::at_hour;
use common::timed_keys::timed_key;

/// Maximum store operations of removal in a second: a hundredth of the several hundred writes and two
/// thousand reads that the store allows, with room for two removers.
const MAX_OPERATIONS: u64 = 20;

const HOUR: Duration = Duration::from_secs(3600);

/// Remover in the middle of a pass.
struct Remover {
    pass: ClaimRemoval,
    action: ClaimAction,
}

impl Remover {
    fn new() -> Remover {
        let (pass, action) = ClaimRemoval::start();
        Remover { pass, action }
    }

    /// Performs one action. A failure ends the pass, as in the daemon.
    fn step(&mut self, store: &MemoryPlatform, wall: SystemTime) {
        let next = match &self.action {
            ClaimAction::List(range) => {
                let rows = store.list_range(range);
                rows.map(|rows| self.pass.on_page(&rows, wall)).ok()
            }
            ClaimAction::Remove(writes, _) => {
                let outcome = store.commit(&batch(writes.clone()));
                outcome.map(|outcome| self.pass.on_removed(&outcome)).ok()
            }
            ClaimAction::Wait(_) => None,
        };
        match next {
            Some(action) => self.action = action,
            None => *self = Remover::new(),
        }
    }

    /// Performs a whole pass. Returns the time until the next one.
    fn run(store: &MemoryPlatform, wall: SystemTime) -> Duration {
        let mut remover = Remover::new();
        loop {
            remover.step(store, wall);
            if let ClaimAction::Wait(wait) = remover.action {
                return wait;
            }
        }
    }
}

fn batch(writes: Vec<RowWrite>) -> WriteBatch {
    WriteBatch {
        write_id: "w".into(),
        writes,
    }
}

/// Claims a key as a daemon does. Returns the row keys.
fn claim(store: &MemoryPlatform, key: &str, layout: ClaimLayout) -> Vec<String> {
    let keys = ClaimRowKeys::of("stalls", key, layout);
    let paired = keys.is_paired();
    let value = format!(r#"{{"owner":"o","incarnation":1,"ticket":1,"is_paired":{paired}}}"#);
    let mut writes = Vec::new();
    for key in keys.iter() {
        writes.push(RowWrite {
            key: key.into(),
            condition: RowCondition::Absent,
            value: Some(value.as_str().into()),
        });
    }
    store.commit(&batch(writes)).unwrap();
    keys.iter().map(String::from).collect()
}

fn count_rows(store: &MemoryPlatform) -> usize {
    store.list_rows("").unwrap().len()
}

proptest! {
    #![proptest_config(fixed_config(0xc1a1, 256))]

    #[test]
    fn only_old_claims_go_whatever_removers_do(
        hours in vec(0..120_u64, 0..160),
        now in 60..140_u64,
        steps in vec((0..2_usize, 0..8_u8), 0..60),
    ) {
        let store = MemoryPlatform::new();
        let mut kept = claim(&store, "order-7", ClaimLayout::Timed);
        kept.extend(claim(&store, "018f0000-0000-4000-8000-000000000000", ClaimLayout::Timed));
        let malformed = "timed-claim/00000001/stalls/order-7";
        let put = RowWrite { key: malformed.into(), condition: RowCondition::Any, value: Some("".into()) };
        store.commit(&batch(vec![put])).unwrap();
        kept.push(malformed.into());
        let mut removable = Vec::new();
        for (number, hour) in hours.into_iter().enumerate() {
            let layout = [ClaimLayout::Both, ClaimLayout::Timed][number % 2];
            let rows = claim(&store, &timed_key(at_hour(hour), number as u64), layout);
            // The slowest clock is half the margin behind, so a key may be claimed that much later.
            let may_repeat = at_hour(now) <= at_hour(hour) + MAX_KEY_AGE + CLOCK_MARGIN / 2;
            if may_repeat { kept.extend(rows) } else if hour + 61 < now { removable.extend(rows) }
        }
        let walls = [at_hour(now) - CLOCK_MARGIN / 2, at_hour(now) + CLOCK_MARGIN / 2];
        let mut removers = [Remover::new(), Remover::new()];
        for (remover, fault) in steps {
            let faults = PlatformFaults {
                outage: fault == 0,
                lose_answers: u32::from(fault == 1),
                lose_requests: u32::from(fault == 2),
                ..PlatformFaults::default()
            };
            store.set_faults(faults);
            removers[remover].step(&store, walls[remover]);
        }
        store.set_faults(PlatformFaults::default());
        while Remover::run(&store, walls[0]) == BUSY_INTERVAL {}
        for key in kept {
            prop_assert!(store.read_row(&key).unwrap().is_some(), "{} was removed", key);
        }
        for key in removable {
            prop_assert!(store.read_row(&key).unwrap().is_none(), "{} was not removed", key);
        }
    }

    #[test]
    fn timed_rows_sort_by_the_hour_of_their_key(first in 0..9_000_000_u64, second in 0..9_000_000_u64) {
        let key = |hour| timed_key(SystemTime::UNIX_EPOCH + HOUR * hour as u32, 1);
        let row = |hour| ClaimRowKeys::of("stalls", &key(hour), ClaimLayout::Timed).timed.unwrap();
        prop_assert_eq!(row(first).cmp(&row(second)), first.cmp(&second));
    }
}

#[test]
fn pass_is_bounded_and_an_idle_one_reads_one_page() {
    let store = MemoryPlatform::new();
    for number in 0..2 * (PAGE_ROWS * PASS_PAGES) as u64 {
        claim(&store, &timed_key(at_hour(0), number), ClaimLayout::Both);
    }
    claim(&store, &timed_key(at_hour(90), 0), ClaimLayout::Both);
    let before = store.stats();
    assert_eq!(Remover::run(&store, at_hour(100)), BUSY_INTERVAL);
    let after = store.stats();
    assert_eq!(count_rows(&store), 2 * PAGE_ROWS * PASS_PAGES + 2);
    let operations = after.reads - before.reads + after.writes - before.writes;
    assert!(operations <= MAX_OPERATIONS, "{operations} operations");
    while Remover::run(&store, at_hour(100)) == BUSY_INTERVAL {}
    assert_eq!(count_rows(&store), 2);
    let before = store.stats();
    Remover::run(&store, at_hour(100));
    let after = store.stats();
    assert_eq!(
        (after.reads - before.reads, after.writes - before.writes),
        (1, 0)
    );
}

/// Prints after each day how many rows were claimed, which is how many would remain without removal, and
/// how many remain.
#[test]
#[ignore = "a measurement"]
fn rows_of_four_days() {
    const CLAIMS_AN_HOUR: u64 = 4_000;
    let store = MemoryPlatform::new();
    let mut claims = 0;
    let mut passes = 0;
    for hour in 0..96 {
        for _ in 0..CLAIMS_AN_HOUR {
            claim(
                &store,
                &timed_key(at_hour(hour), claims),
                ClaimLayout::Timed,
            );
            claims += 1;
        }
        passes += 1;
        while Remover::run(&store, at_hour(hour + 1)) == BUSY_INTERVAL {
            passes += 1;
        }
        if hour % 24 == 23 {
            let stats = store.stats();
            println!(
                "day {}: {claims} claimed, {} rows remain, {passes} passes, {} reads, {} removals",
                hour / 24 + 1,
                count_rows(&store),
                stats.reads,
                stats.writes - claims
            );
        }
    }
}
