//! A fleet of daemon processes in two regions, and a watch on the generations they serve.

#![allow(dead_code)]

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
use coltsfootweir::member::MemberState;
use coltsfootweir::reports::DaemonStatus;

use crate::common::DaemonProcess;
use crate::common::DaemonSpec;
use crate::common::PATIENCE;
use crate::common::PlatformProcess;
use crate::common::free_address;
use crate::common::read_status;
use crate::common::start_daemon;
use crate::common::start_platform;
use crate::common::wait_for;

/// Time within which an accepted configuration is in force on every live daemon.
pub const CONVERGENCE_TARGET: Duration = Duration::from_secs(19);

/// Time between two looks at a daemon by the watch.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Daemon processes on one platform; even ones stand in the north, odd ones in the south.
pub struct ProcessFleet {
    pub platform: PlatformProcess,
    pub daemons: Vec<DaemonProcess>,
    specs: Vec<DaemonSpec>,
}

impl ProcessFleet {
    /// A fleet without daemons.
    pub fn empty() -> ProcessFleet {
        ProcessFleet {
            platform: start_platform(),
            daemons: Vec::new(),
            specs: Vec::new(),
        }
    }

    /// A fleet of `count` daemons that find one another by the seed rows.
    pub fn start(count: usize) -> ProcessFleet {
        let mut fleet = ProcessFleet::empty();
        for number in 0..count {
            fleet.add(region_of(number), &[]);
        }
        fleet.wait_members(&(0..count).collect::<Vec<_>>(), PATIENCE);
        fleet
    }

    /// Starts a daemon and returns its index.
    pub fn add(&mut self, region: &str, seeds: &[SocketAddr]) -> usize {
        let mut spec = DaemonSpec::new(self.platform.address, region, &format!("{region}-a"));
        spec.seeds = seeds.to_vec();
        spec.control = free_address().to_string();
        let daemon = start_daemon(&spec);
        self.daemons.push(daemon);
        self.specs.push(spec);
        self.daemons.len() - 1
    }

    /// Starts a killed daemon again on its control address, with nothing kept.
    pub fn restart(&mut self, index: usize) {
        self.daemons[index] = start_daemon(&self.specs[index]);
    }

    /// Starts a killed daemon again on its control address, with these seeds.
    pub fn restart_with(&mut self, index: usize, seeds: &[SocketAddr]) {
        self.specs[index].seeds = seeds.to_vec();
        self.restart(index);
    }

    pub fn control(&self, index: usize) -> SocketAddr {
        self.daemons[index].control
    }

    pub fn status(&self, index: usize) -> Option<DaemonStatus> {
        read_status(self.control(index))
    }

    /// Starts or ends an outage of the platform.
    pub fn set_outage(&self, outage: bool) {
        self.set_faults(&format!("{{\"outage\": {outage}}}"));
    }

    /// Replaces the platform's faults.
    pub fn set_faults(&self, faults: &str) {
        let response = minreq::post(format!("http://{}/faults", self.platform.address))
            .with_header("Connection", "close")
            .with_body(faults)
            .with_timeout(5)
            .send()
            .expect("faults are set");
        assert_eq!(response.status_code, 200);
    }

    /// Whether the daemon serves `generation` or a higher one.
    pub fn serves(&self, index: usize, generation: Generation) -> bool {
        self.status(index)
            .is_some_and(|status| status.is_serving && status.generation >= generation)
    }

    /// Waits until each daemon named serves `generation`; returns the time it took.
    pub fn wait_generation(
        &self,
        indexes: &[usize],
        generation: Generation,
        limit: Duration,
    ) -> Duration {
        let mut left: Vec<usize> = indexes.to_vec();
        wait_for(&format!("generation {generation} in force"), limit, || {
            left.retain(|index| !self.serves(*index, generation));
            left.is_empty()
        })
    }

    /// Waits until the daemons named hold just one another as live; returns the time it took.
    pub fn wait_members(&self, indexes: &[usize], limit: Duration) -> Duration {
        let mut wanted: Vec<String> = indexes
            .iter()
            .map(|i| self.control(*i).to_string())
            .collect();
        wanted.sort();
        let mut left: Vec<usize> = indexes.to_vec();
        wait_for("membership", limit, || {
            left.retain(|index| {
                let status = self.status(*index);
                status.is_none_or(|status| live_ids(&status) != wanted)
            });
            left.is_empty()
        })
    }
}

/// Region of a daemon by its number.
pub fn region_of(number: usize) -> &'static str {
    if number.is_multiple_of(2) {
        "north"
    } else {
        "south"
    }
}

/// Identities of the members that a daemon holds as live, in order.
pub fn live_ids(status: &DaemonStatus) -> Vec<String> {
    let mut ids = Vec::new();
    for entry in &status.members {
        if matches!(entry.state, MemberState::Alive | MemberState::Suspect) {
            ids.push(entry.id.to_string());
        }
    }
    ids.sort();
    ids
}

/// Lets `time` pass while the condition is checked to hold all along.
pub fn hold_for(what: &str, time: Duration, mut condition: impl FnMut() -> bool) {
    let start = std::time::Instant::now();
    wait_for(what, time * 2, || {
        assert!(condition(), "{what}: did not hold");
        start.elapsed() >= time
    });
}

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
