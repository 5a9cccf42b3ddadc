//! Rollout orders of a store that comes back from copies: several daemons read it and tell each other.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootweir::sidecar::member_table::RolloutStage;
use coltsfootweir::sidecar::platform_adapter::RolloutOrder;
use coltsfootweir::sidecar::rollouts::rollout_book::OrderChange;
use coltsfootweir::sidecar::rollouts::rollout_book::RolloutBook;
use coltsfootweir::sidecar::rollouts::rollout_book::StoredOrder;
use coltsfootweir::sidecar::store_era::restore_window::RESTORE_TIME;
use coltsfootweir::sidecar::store_era::store_version::StoreVersion;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SERVICES: [&str; 2] = ["stalls", "horses"];

fn order(service: &str, version: &str) -> RolloutOrder {
    RolloutOrder {
        service: service.into(),
        version: version.into(),
        duration: Duration::from_secs(16),
    }
}

fn stored(version: &str, (era, row): (u32, u64), stage: RolloutStage) -> StoredOrder {
    StoredOrder {
        order: order("stalls", version),
        row: StoreVersion::new(era, row).expect("in range"),
        stage,
    }
}

fn followed(book: &RolloutBook) -> (String, RolloutStage) {
    let rollout = book.get(&"stalls".into()).expect("an order");
    (rollout.order.version.to_string(), rollout.stage)
}

const LATER: Duration = Duration::from_secs(60);

/// A daemon that knows of a version that was taken back, in the first era.
fn book_with_reverted_version() -> RolloutBook {
    let mut book = RolloutBook::default();
    let known = stored("v2", (1, 90), RolloutStage::TakenBack);
    assert_eq!(book.offer(known, LATER), OrderChange::Added);
    book
}

/// Guards against an order that is ignored since the store has come back and counts from a lower version
/// (review/12).
#[test]
fn order_of_a_later_era_is_followed_though_its_row_version_is_lower() {
    let mut book = book_with_reverted_version();
    let again = stored("v2", (2, 40), RolloutStage::Trial);
    assert_eq!(book.offer(again, LATER), OrderChange::Renewed);
    assert_eq!(followed(&book), ("v2".into(), RolloutStage::TakenBack));
    let next = stored("v3", (2, 57), RolloutStage::Trial);
    let later = LATER + RESTORE_TIME;
    assert_eq!(book.offer(next, later), OrderChange::Added);
    assert_eq!(followed(&book), ("v3".into(), RolloutStage::Trial));
}

/// Guards against a version that was taken back and is tried anew, as its order is written again.
#[test]
fn order_that_is_written_again_keeps_its_progress() {
    let mut book = book_with_reverted_version();
    // The copy has the order; then all that the operator wrote is written again.
    for row in [90, 91] {
        let again = stored("v2", (2, row), RolloutStage::Trial);
        assert_eq!(book.offer(again, LATER), OrderChange::Renewed);
        assert_eq!(followed(&book), ("v2".into(), RolloutStage::TakenBack));
    }
    // Once the store is complete, the same order is a new one.
    let repeated = stored("v2", (2, 99), RolloutStage::Trial);
    assert_eq!(
        book.offer(repeated, LATER + RESTORE_TIME),
        OrderChange::Added
    );
    assert_eq!(followed(&book), ("v2".into(), RolloutStage::Trial));
}

/// Guards against a time limit with a part of a millisecond, which daemons do not tell each other: the order
/// that another daemon tells of would be a different one.
#[test]
fn order_told_in_whole_milliseconds_is_the_same() {
    let mut book = RolloutBook::default();
    let mut known = stored("v2", (1, 90), RolloutStage::TakenBack);
    known.order.duration += Duration::from_micros(300);
    book.offer(known, LATER);
    let told = stored("v2", (2, 40), RolloutStage::Trial);
    assert_eq!(book.offer(told, LATER), OrderChange::Renewed);
}

/// Guards against an older order that the copy has and that replaces a newer one until that is written
/// again, and against a new order that waits for good.
#[test]
fn different_order_waits_until_the_store_is_complete() {
    let mut book = book_with_reverted_version();
    let older = stored("v1", (2, 30), RolloutStage::Done);
    assert_eq!(book.offer(older.clone(), LATER), OrderChange::Held);
    assert_eq!(book.offer(older, LATER), OrderChange::None);
    assert!(book.settle(LATER).is_empty());
    assert_eq!(followed(&book), ("v2".into(), RolloutStage::TakenBack));
    let again = stored("v2", (2, 40), RolloutStage::Trial);
    assert_eq!(book.offer(again, LATER), OrderChange::Renewed);
    assert!(
        book.settle(LATER + RESTORE_TIME).is_empty(),
        "an older one is followed"
    );
    assert_eq!(followed(&book), ("v2".into(), RolloutStage::TakenBack));

    let mut book = book_with_reverted_version();
    let next = stored("v3", (2, 57), RolloutStage::Trial);
    assert_eq!(book.offer(next, LATER), OrderChange::Held);
    let told = stored("v3", (2, 57), RolloutStage::Shifted);
    assert_eq!(book.offer(told, LATER), OrderChange::None);
    assert_eq!(book.settle(LATER + RESTORE_TIME).len(), 1);
    assert_eq!(followed(&book), ("v3".into(), RolloutStage::Shifted));
}

/// Guards against the news of a daemon that has not heard of the new era yet.
#[test]
fn order_of_an_earlier_era_changes_nothing() {
    let mut book = book_with_reverted_version();
    book.offer(stored("v2", (2, 40), RolloutStage::Trial), LATER);
    let late = stored("v0", (1, 95), RolloutStage::Trial);
    assert_eq!(book.offer(late, LATER), OrderChange::None);
    assert_eq!(followed(&book), ("v2".into(), RolloutStage::TakenBack));
}

type OrderRows = BTreeMap<&'static str, (u64, usize)>;

/// The store, the operator and the daemons. Orders are numbered as the operator gives them.
struct OrderWorld {
    random: ChaCha8Rng,
    now: Duration,
    era: u32,
    version: u64,
    rows: OrderRows,
    copies: Vec<(u64, OrderRows)>,
    orders: Vec<RolloutOrder>,
    newest: BTreeMap<&'static str, usize>,
    restored_at: Duration,
    written_again_at: Option<Duration>,
    books: Vec<RolloutBook>,
    /// Orders that each daemon has begun, as one that it did not know before.
    begun: Vec<Vec<usize>>,
}

const STEP: Duration = Duration::from_millis(50);

impl OrderWorld {
    fn new(seed: u64) -> OrderWorld {
        OrderWorld {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::ZERO,
            era: 1,
            version: 0,
            rows: OrderRows::new(),
            copies: Vec::new(),
            orders: Vec::new(),
            newest: BTreeMap::new(),
            restored_at: Duration::ZERO,
            written_again_at: None,
            books: (0..4).map(|_| RolloutBook::default()).collect(),
            begun: vec![Vec::new(); 4],
        }
    }

    fn is_settling(&self) -> bool {
        self.written_again_at.is_some() || self.now < self.restored_at + RESTORE_TIME * 2
    }

    fn step(&mut self, is_calm: bool) {
        self.now += STEP;
        self.version += self.random.random_range(0..4);
        self.copies.push((self.version, self.rows.clone()));
        if self.written_again_at.is_some_and(|at| self.now >= at) {
            self.written_again_at = None;
            self.version += 1;
            for (service, number) in &self.newest {
                self.rows.insert(service, (self.version, *number));
            }
        }
        if !is_calm && !self.is_settling() && self.random.random_bool(0.01) {
            self.give_order();
        }
        if !is_calm && self.random.random_bool(0.004) {
            self.restore();
        }
        for daemon in 0..self.books.len() {
            if self.random.random_bool(0.3) {
                self.read(daemon);
            }
            if self.random.random_bool(0.3) {
                self.tell(daemon);
            }
            if self.random.random_bool(0.02) {
                self.advance(daemon);
            }
            for settled in self.books[daemon].settle(self.now) {
                self.note_begun(daemon, &settled.order);
            }
        }
    }

    fn give_order(&mut self) {
        let service = SERVICES[self.random.random_range(0..2)];
        let number = self.orders.len();
        // Each version is ordered once, so that an order is known by what it says.
        self.orders.push(order(service, &format!("v{number}")));
        self.version += 1;
        self.rows.insert(service, (self.version, number));
        self.newest.insert(service, number);
    }

    fn restore(&mut self) {
        let age = self.random.random_range(1..120).min(self.copies.len());
        let (version, rows) = self.copies[self.copies.len() - age].clone();
        self.copies.clear();
        self.era += 1;
        self.version = version;
        self.rows = rows;
        self.restored_at = self.now;
        let lag = Duration::from_millis(self.random.random_range(0..1_200));
        self.written_again_at = Some(self.now + lag);
    }

    fn read(&mut self, daemon: usize) {
        self.books[daemon].observe_era(self.era, self.now);
        for (row, number) in self.rows.clone().into_values() {
            let offered = StoredOrder {
                order: self.orders[number].clone(),
                row: StoreVersion::new(self.era, row).expect("in range"),
                stage: RolloutStage::Trial,
            };
            self.offer(daemon, offered);
        }
    }

    fn tell(&mut self, from: usize) {
        let to = self.random.random_range(0..self.books.len());
        let mut told = Vec::new();
        for rollout in self.books[from].iter() {
            told.push(StoredOrder {
                order: rollout.order.clone(),
                row: rollout.row,
                stage: rollout.stage,
            });
        }
        for offered in told {
            let (service, row, stage) = (offered.order.service.clone(), offered.row, offered.stage);
            self.offer(to, offered);
            if let Some(rollout) = self.books[to].get_mut(&service) {
                rollout.advance(row, stage);
            }
        }
    }

    fn advance(&mut self, daemon: usize) {
        let service = SERVICES[self.random.random_range(0..2)].into();
        let stage = match self.random.random_bool(0.5) {
            true => RolloutStage::Shifted,
            false => RolloutStage::TakenBack,
        };
        if let Some(rollout) = self.books[daemon].get_mut(&service) {
            let row = rollout.row;
            rollout.advance(row, stage);
        }
    }

    fn offer(&mut self, daemon: usize, offered: StoredOrder) {
        let order = offered.order.clone();
        let change = self.books[daemon].offer(offered, self.now);
        if change == OrderChange::Added {
            self.note_begun(daemon, &order);
        }
    }

    fn note_begun(&mut self, daemon: usize, order: &RolloutOrder) {
        let number = self.orders.iter().position(|other| other == order);
        let number = number.expect("an order of the operator");
        let begun = &mut self.begun[daemon];
        let mut earlier = begun.iter().filter(|earlier| {
            let earlier = &self.orders[**earlier];
            earlier.service == order.service
        });
        assert!(
            earlier.all(|earlier| *earlier < number),
            "daemon {daemon} begins order {number} at {:?} after {begun:?}",
            self.now
        );
        begun.push(number);
    }
}

/// Guards, for any moment and number of restores, against an order that is lost, one that begins anew, and
/// an older one that is followed again.
#[test]
fn orders_go_forward_over_restores_of_the_store() {
    for seed in 0..300 {
        let mut world = OrderWorld::new(seed);
        for _ in 0..1_200 {
            world.step(false);
        }
        for _ in 0..200 {
            world.step(true);
        }
        for (service, number) in &world.newest {
            for (daemon, book) in world.books.iter().enumerate() {
                let rollout = book.get(&(*service).into()).expect("an order");
                assert_eq!(
                    rollout.order, world.orders[*number],
                    "seed {seed}, daemon {daemon}"
                );
                let stages = world.books.iter().map(|book| {
                    let rollout = book.get(&(*service).into()).expect("an order");
                    (rollout.row, rollout.stage)
                });
                for told in stages {
                    assert_eq!(
                        told,
                        (rollout.row, rollout.stage),
                        "seed {seed}, daemon {daemon}"
                    );
                }
            }
        }
    }
}
