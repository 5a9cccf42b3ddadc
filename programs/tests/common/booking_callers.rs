//! Callers that book and resend while a test breaks parts of a fleet.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use standins::run_log::RunEntry;
use standins::upstream_settings::UpstreamSettings;

use super::PATIENCE;
use super::call_checks::assert_at_most_once;
use super::call_checks::mint_key;
use super::call_checks::run_counts;
use super::caller::CallSpec;
use super::caller::KeptCaller;
use super::caller::WholeAnswer;
use super::caller_threads::run_while;
use super::wait_for;

/// Bookings that a run must have done at least.
const LEAST_DONE: usize = 50;

pub fn upstream_settings() -> UpstreamSettings {
    let mut settings = UpstreamSettings::new("stalls", "v1");
    settings.work = Duration::from_millis(20);
    settings.work_jitter_percent = 100;
    settings
}

pub fn book(key: &str) -> CallSpec {
    CallSpec::post("/bookings/stall", "stall 4").with("idempotency-key", key)
}

/// How the callers book.
pub struct BookingCallers {
    pub count: usize,
    /// Times a caller sends each booking at most.
    pub sends: usize,
    /// Longest wait of a caller for one answer before it sends again.
    pub impatience: Duration,
    /// Chance in percent that a caller sends a booking again that was answered.
    pub repeat_percent: u32,
}

/// Answers by key: the body of the first good one.
pub type FirstAnswers = HashMap<String, Vec<u8>>;

impl BookingCallers {
    /// Books through all addresses while `act` goes on; returns the first good answers. Fails the
    /// test when a good answer is not the first one to its key.
    pub fn book_while(
        &self,
        addresses: &RwLock<Vec<SocketAddr>>,
        act: impl FnOnce(),
    ) -> FirstAnswers {
        let first = Mutex::new(FirstAnswers::new());
        let book = |caller, stop: &AtomicBool| {
            self.book_until_stopped(caller, addresses, stop, &first);
        };
        run_while(self.count, book, || {
            act();
            wait_for("bookings are done", PATIENCE, || {
                first.lock().expect("answers").len() > LEAST_DONE
            });
        });
        first.into_inner().expect("answers")
    }

    fn book_until_stopped(
        &self,
        caller: usize,
        addresses: &RwLock<Vec<SocketAddr>>,
        stop: &AtomicBool,
        first: &Mutex<FirstAnswers>,
    ) {
        let mut rng = ChaCha8Rng::seed_from_u64(caller as u64);
        let mut pick = || {
            let addresses = addresses.read().expect("addresses");
            let index = rng.random_range(0..addresses.len());
            (
                addresses[index],
                rng.random_range(0..100) < self.repeat_percent,
            )
        };
        for number in 0.. {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let minted = (number % 2 == 0).then(|| mint_key(pick().0)).flatten();
            let key = minted.unwrap_or_else(|| format!("own-{caller}-{number}"));
            for _ in 0..self.sends {
                let (address, repeats_answered) = pick();
                let mut sender = KeptCaller::new(address);
                sender.timeout = self.impatience;
                let answer = sender.call(&book(&key)).whole();
                let Some(answer) = answer.filter(WholeAnswer::is_good) else {
                    continue;
                };
                check_first(first, &key, &answer);
                if !repeats_answered {
                    break;
                }
            }
        }
    }
}

/// Fails the test when a good answer is not the first one to its key.
fn check_first(first: &Mutex<FirstAnswers>, key: &str, answer: &WholeAnswer) {
    let mut first = first.lock().expect("answers");
    let kept = first
        .entry(key.into())
        .or_insert_with(|| answer.body.clone());
    assert_eq!(*kept, answer.body, "{key}: a repeat got a different answer");
}

/// Fails the test unless each answered booking ran, none ran twice, and many were done.
pub fn assert_once(first: &FirstAnswers, runs: &[RunEntry]) {
    assert_at_most_once(runs);
    let counts = run_counts(runs);
    for key in first.keys() {
        assert!(counts.contains_key(key), "{key} was answered and never ran");
    }
    let done = first.len();
    assert!(done > LEAST_DONE, "only {done} bookings done");
}
