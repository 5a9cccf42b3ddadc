//! A watch on the generations that daemons serve.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use coltsfootweir::ids::Generation;
use coltsfootweir::ids::Incarnation;
use coltsfootweir::reports::DaemonStatus;

use super::PATIENCE;
use super::caller_threads::pause;
use super::read_status;
use super::wait_for;

/// Time between two looks at a daemon by the watch.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);

/// What one address was seen to serve.
#[derive(Clone, Copy, Debug, Default)]
struct WatchedRun {
    incarnation: Incarnation,
    generation: Generation,
    highest: Generation,
}

/// Reads the generation of every address all the time and notes each step back.
pub struct GenerationWatch {
    is_over: Arc<AtomicBool>,
    /// Looks at each address, and the thread that looks and returns the steps back.
    threads: Vec<(Arc<AtomicU64>, JoinHandle<Vec<String>>)>,
}

impl GenerationWatch {
    pub fn start(addresses: impl IntoIterator<Item = SocketAddr>) -> GenerationWatch {
        let mut watch = GenerationWatch {
            is_over: Arc::default(),
            threads: Vec::new(),
        };
        for address in addresses {
            let is_over = Arc::clone(&watch.is_over);
            let samples = Arc::new(AtomicU64::new(0));
            let counted = Arc::clone(&samples);
            let thread = thread::spawn(move || watch_address(address, &is_over, &counted));
            watch.threads.push((samples, thread));
        }
        watch
    }

    /// Ends the watch; fails the test if an address went back or was never seen.
    pub fn finish(mut self) {
        wait_for("every address was looked at often", PATIENCE, || {
            let mut counts = self.threads.iter().map(|(samples, _)| samples);
            counts.all(|samples| samples.load(Ordering::Relaxed) > 10)
        });
        self.is_over.store(true, Ordering::Relaxed);
        for (_, thread) in self.threads.drain(..) {
            let faults = thread.join().expect("the watch ends");
            assert!(faults.is_empty(), "went back: {faults:?}");
        }
    }
}

impl Drop for GenerationWatch {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
    }
}

fn watch_address(address: SocketAddr, is_over: &AtomicBool, samples: &AtomicU64) -> Vec<String> {
    let mut run = WatchedRun::default();
    let mut faults = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        pause(WATCH_INTERVAL);
        let Some(status) = read_status(address) else {
            continue;
        };
        samples.fetch_add(1, Ordering::Relaxed);
        faults.extend(run.take(&status));
    }
    faults
}

impl WatchedRun {
    /// Takes in a status; returns the fault if it is a step back.
    fn take(&mut self, status: &DaemonStatus) -> Option<String> {
        let before = *self;
        if status.incarnation != self.incarnation {
            self.incarnation = status.incarnation;
            self.generation = 0;
        }
        let went_back = status.generation < self.generation
            || (status.is_serving && status.generation < self.highest);
        self.generation = status.generation;
        if status.is_serving {
            self.highest = self.highest.max(status.generation);
        }
        went_back.then(|| {
            let (id, generation) = (&status.id, status.generation);
            format!("{id} serves {generation} after {before:?}")
        })
    }
}
