//! A caller that sends a poison request through every daemon must crash only a bounded number of upstreams.

mod common;

use std::time::Duration;

use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use coltsfootweir::fact::CrashFact;
use coltsfootweir::fingerprint::fingerprint;
use coltsfootweir::ids::Fingerprint;
use coltsfootweir::poison::POISON_TIMEOUT;
use coltsfootweir::poison::PoisonTable;

use common::fixed_config;

const DAEMONS: usize = 10;

const POISON: Fingerprint = 1;

/// Check that every caller sends. It is running at each crash and completes at all upstreams.
const COMMON: Fingerprint = 2;

/// Simulated time per step.
const STEP: Duration = Duration::from_millis(10);

struct Fleet {
    rng: ChaCha8Rng,
    tables: Vec<PoisonTable>,
    crashes: Vec<Duration>,
    /// Pending crash facts, with delivery time and receiving daemon.
    deliveries: Vec<(Duration, usize, CrashFact)>,
    unrelated_count: u64,
}

impl Fleet {
    /// Crashes the upstream of daemon `index` while the poison request, the common check and an unrelated
    /// booking are running. Facts reach each daemon within `spread`, and again up to two minutes later.
    fn crash(&mut self, index: usize, spread: Duration, now: Duration) {
        self.unrelated_count += 1;
        let running = [POISON, COMMON, 1000 + self.unrelated_count];
        for suspect in self.tables[index].crash_suspects(&running, now) {
            let fact = CrashFact {
                fingerprint: suspect,
                member: format!("10.0.0.{index}:7000").into(),
                incarnation: 1,
                number: self.crashes.len() as u64,
            };
            self.tables[index].on_crash(&fact, now);
            for daemon in 0..DAEMONS {
                let delay = spread.mul_f64(self.rng.random_range(0.0..1.0));
                self.deliveries.push((now + delay, daemon, fact.clone()));
                let again = now + spread + Duration::from_secs(self.rng.random_range(1..120));
                self.deliveries.push((again, daemon, fact.clone()));
            }
        }
        self.crashes.push(now);
    }

    fn deliver(&mut self, now: Duration) {
        let mut later = Vec::new();
        for (time, daemon, fact) in std::mem::take(&mut self.deliveries) {
            if time > now {
                later.push((time, daemon, fact));
                continue;
            }
            self.tables[daemon].on_crash(&fact, now);
        }
        self.deliveries = later;
    }

    fn check_not_refused(&self, now: Duration) {
        for table in &self.tables {
            assert!(!table.is_refused(COMMON, now), "common check is refused");
            for number in 0..self.unrelated_count {
                assert!(
                    !table.is_refused(1001 + number, now),
                    "request with one crash is refused"
                );
            }
        }
    }
}

/// Simulates a caller that sends `copies` poison requests at once, every `resend`. Returns the times of
/// the crashes.
fn crashes_of(seed: u64, copies: usize, spread: Duration, resend: Duration) -> Vec<Duration> {
    let mut fleet = Fleet {
        rng: ChaCha8Rng::seed_from_u64(seed),
        tables: (0..DAEMONS).map(|_| PoisonTable::new()).collect(),
        crashes: Vec::new(),
        deliveries: Vec::new(),
        unrelated_count: 0,
    };
    let mut next_copy = Duration::from_secs(1);
    let mut now = Duration::ZERO;
    while now < 3 * POISON_TIMEOUT {
        now += STEP;
        fleet.deliver(now);
        for table in &mut fleet.tables {
            table.on_completed(COMMON, now);
        }
        if now >= next_copy {
            next_copy = now + resend;
            // Worst case: the caller sends only where the request is not refused yet.
            let open = (0..DAEMONS).filter(|index| !fleet.tables[*index].is_refused(POISON, now));
            let mut open: Vec<usize> = open.collect();
            for _ in 0..copies.min(open.len()) {
                let index = open.swap_remove(fleet.rng.random_range(0..open.len()));
                fleet.crash(index, spread, now);
            }
        }
        if now.as_millis().is_multiple_of(500) {
            fleet.check_not_refused(now);
        }
    }
    fleet.crashes
}

/// Returns the largest number of crashes within one [`POISON_TIMEOUT`].
fn most_within(crashes: &[Duration]) -> usize {
    let mut most = 0;
    for (number, start) in crashes.iter().enumerate() {
        let window = crashes[number..].iter();
        let within = window.take_while(|time| **time < *start + POISON_TIMEOUT);
        most = most.max(within.count());
    }
    most
}

proptest! {
    #![proptest_config(fixed_config(0x9015, 20))]

    #[test]
    fn upstreams_brought_down_are_bounded(
        seed: u64,
        spread_ms in 0..4000_u64,
        resend_ms in 50..3000_u64,
    ) {
        let spread = Duration::from_millis(spread_ms);
        let crashes = crashes_of(seed, 1, spread, Duration::from_millis(resend_ms));
        let copies_unseen = (spread_ms / resend_ms) as usize + 1;
        let most = most_within(&crashes);
        prop_assert!(most < 2 + copies_unseen, "{most} crashes, {copies_unseen} unseen");
    }

    /// The first copies confirm the request. Each later round crashes an upstream per copy until the facts
    /// arrive.
    #[test]
    fn upstreams_brought_down_by_copies_of_one_moment_are_bounded(
        seed: u64,
        copies in 2..6_usize,
        spread_ms in 0..4000_u64,
        resend_ms in 50..3000_u64,
    ) {
        let spread = Duration::from_millis(spread_ms);
        let crashes = crashes_of(seed, copies, spread, Duration::from_millis(resend_ms));
        let moments_unseen = (spread_ms / resend_ms) as usize + 1;
        let most = most_within(&crashes);
        prop_assert!(most <= copies * moments_unseen, "{most} crashes, {moments_unseen} unseen");
    }
}

#[test]
fn fingerprints_tell_requests_apart() {
    let booking = fingerprint("POST", "/stalls", b"a");
    assert_eq!(booking, fingerprint("POST", "/stalls", b"a"));
    assert_ne!(booking, fingerprint("POST", "/stallsa", b""));
    assert_ne!(booking, fingerprint("POST", "/stalls", b"b"));
}
