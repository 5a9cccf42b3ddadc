//! Callers of the demo: checks, and bookings with minted keys.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use flume::Receiver;
use flume::RecvTimeoutError;
use flume::Sender;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// Callers at once.
const CALLER_COUNT: u64 = 6;

/// Time between two calls of one caller.
const CALL_INTERVAL: Duration = Duration::from_millis(12);

/// Time a call may take, in seconds.
const CALL_TIMEOUT_SECONDS: u64 = 5;

#[derive(Default)]
struct TrafficCounts {
    answered: AtomicU64,
    failed: AtomicU64,
    not_run: AtomicU64,
    in_doubt: AtomicU64,
}

/// Running callers.
pub struct DemoTraffic {
    counts: Arc<TrafficCounts>,
    stop: Option<Sender<()>>,
    callers: Vec<JoinHandle<()>>,
}

/// What the callers saw.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct TrafficTally {
    answered: u64,
    failed: u64,
    not_run: u64,
    in_doubt: u64,
}

impl fmt::Display for TrafficTally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "callers saw {} answers, {} server errors, {} not run, {} in doubt",
            self.answered, self.failed, self.not_run, self.in_doubt
        )
    }
}

impl DemoTraffic {
    /// Starts the callers.
    #[must_use]
    pub fn start(addresses: Vec<SocketAddr>) -> DemoTraffic {
        let counts = Arc::new(TrafficCounts::default());
        let (stop, stopped) = flume::bounded(0);
        let mut callers = Vec::new();
        for seed in 0..CALLER_COUNT {
            let (counts, stopped) = (Arc::clone(&counts), stopped.clone());
            let addresses = addresses.clone();
            callers.push(thread::spawn(move || {
                run_caller(seed, &addresses, &counts, &stopped)
            }));
        }
        DemoTraffic {
            counts,
            stop: Some(stop),
            callers,
        }
    }

    /// Ends the callers and tells what they saw.
    #[must_use]
    pub fn stop(mut self) -> TrafficTally {
        drop(self.stop.take());
        for caller in self.callers.drain(..) {
            let _ = caller.join();
        }
        let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
        TrafficTally {
            answered: load(&self.counts.answered),
            failed: load(&self.counts.failed),
            not_run: load(&self.counts.not_run),
            in_doubt: load(&self.counts.in_doubt),
        }
    }
}

fn run_caller(seed: u64, addresses: &[SocketAddr], counts: &TrafficCounts, stopped: &Receiver<()>) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    loop {
        let address = addresses[rng.random_range(0..addresses.len())];
        let count = match rng.random_range(0..10) {
            0..3 => book(address, counts),
            _ => check(address, counts),
        };
        count.fetch_add(1, Ordering::Relaxed);
        if !matches!(
            stopped.recv_timeout(CALL_INTERVAL),
            Err(RecvTimeoutError::Timeout)
        ) {
            return;
        }
    }
}

fn check(address: SocketAddr, counts: &TrafficCounts) -> &AtomicU64 {
    count_answer(minreq::get(format!("http://{address}/stalls/free")), counts)
}

fn book(address: SocketAddr, counts: &TrafficCounts) -> &AtomicU64 {
    let url = format!("http://{address}/-/booking-key?path=/bookings");
    let Ok(answer) = minreq::post(url).with_timeout(CALL_TIMEOUT_SECONDS).send() else {
        return &counts.not_run;
    };
    let key = answer.as_str().unwrap_or("").trim();
    if answer.status_code != 200 {
        return &counts.not_run;
    }
    let request = minreq::post(format!("http://{address}/bookings/stall"));
    count_answer(
        request
            .with_header("idempotency-key", key)
            .with_body("stall 7"),
        counts,
    )
}

fn count_answer(request: minreq::Request, counts: &TrafficCounts) -> &AtomicU64 {
    let Ok(answer) = request.with_timeout(CALL_TIMEOUT_SECONDS).send() else {
        return &counts.in_doubt;
    };
    match answer.header("x-coltsfootweir-outcome") {
        Some("ran") if answer.status_code < 500 => &counts.answered,
        Some("ran") => &counts.failed,
        Some("not-run") => &counts.not_run,
        _ => &counts.in_doubt,
    }
}
