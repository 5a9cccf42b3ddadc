//! A watch on the generations that daemons serve.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use coltsfootweir::ids::Generation;
use coltsfootweir::ids::Incarnation;
use coltsfootweir::reports::DaemonStatus;

use super::PATIENCE;
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
    faults: Arc<Mutex<Vec<String>>>,
    samples: Arc<Mutex<BTreeMap<SocketAddr, u64>>>,
    threads: Vec<JoinHandle<()>>,
}

impl GenerationWatch {
    pub fn start(addresses: impl IntoIterator<Item = SocketAddr>) -> GenerationWatch {
        let mut watch = GenerationWatch {
            is_over: Arc::default(),
            faults: Arc::default(),
            samples: Arc::default(),
            threads: Vec::new(),
        };
        for address in addresses {
            let is_over = Arc::clone(&watch.is_over);
            let faults = Arc::clone(&watch.faults);
            let samples = Arc::clone(&watch.samples);
            watch.threads.push(thread::spawn(move || {
                watch_address(address, &is_over, &faults, &samples);
            }));
        }
        watch
    }

    /// Ends the watch; fails the test if an address went back or was never seen.
    pub fn finish(mut self) {
        wait_for("every address was looked at often", PATIENCE, || {
            let samples = self.samples.lock().expect("samples");
            samples.len() == self.threads.len() && samples.values().all(|count| *count > 10)
        });
        self.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            thread.join().expect("the watch ends");
        }
        let faults = self.faults.lock().expect("faults");
        assert!(faults.is_empty(), "went back: {faults:?}");
    }
}

impl Drop for GenerationWatch {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
    }
}

fn watch_address(
    address: SocketAddr,
    is_over: &AtomicBool,
    faults: &Mutex<Vec<String>>,
    samples: &Mutex<BTreeMap<SocketAddr, u64>>,
) {
    let (_pace, ticks) = mpsc::channel::<()>();
    let mut run = WatchedRun::default();
    while !is_over.load(Ordering::Relaxed) {
        let _ = ticks.recv_timeout(WATCH_INTERVAL);
        let Some(status) = read_status(address) else {
            continue;
        };
        *samples.lock().expect("samples").entry(address).or_default() += 1;
        if let Some(fault) = run.take(&status) {
            faults.lock().expect("faults").push(fault);
        }
    }
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
