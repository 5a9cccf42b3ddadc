//! The way that is compared with: every daemon polls the store for itself.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use coltsfootweir::accept::fetch_snapshot;
use coltsfootweir::accept::read_head;
use coltsfootweir::http_platform::ByteCounter;
use coltsfootweir::http_platform::HttpPlatform;
use coltsfootweir::ids::Generation;
use flume::Receiver;
use flume::RecvTimeoutError;
use flume::Sender;

/// Time between two reads of the head by one poller.
pub const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Time a platform operation may take.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// A poller that has fetched a generation.
#[derive(Clone, Copy, Debug)]
pub struct FetchedGeneration {
    /// Number of the poller.
    pub poller: usize,
    /// The generation.
    pub generation: Generation,
    /// When its snapshot was read whole.
    pub at: Instant,
}

#[derive(Default)]
struct PolledBytes {
    count: AtomicU64,
}

impl ByteCounter for PolledBytes {
    fn count_exchange(&self, sent: u64, received: u64) {
        self.count.fetch_add(sent + received, Ordering::Relaxed);
    }
}

/// Pollers of the store, one for each daemon that they stand for, until dropped.
pub struct StorePollers {
    bytes: Arc<PolledBytes>,
    fetched: Receiver<FetchedGeneration>,
    stop: Option<Sender<Infallible>>,
    threads: Vec<JoinHandle<()>>,
}

impl StorePollers {
    /// Starts `count` pollers, evenly spread over the interval.
    #[must_use]
    pub fn start(platform: SocketAddr, count: usize) -> StorePollers {
        let bytes = Arc::new(PolledBytes::default());
        let (sender, fetched) = flume::unbounded();
        let (stop, stopped) = flume::bounded::<Infallible>(0);
        let mut threads = Vec::new();
        for poller in 0..count {
            let counter: Arc<dyn ByteCounter> = Arc::<PolledBytes>::clone(&bytes);
            let store = HttpPlatform::new(platform, PLATFORM_TIMEOUT).with_byte_counter(counter);
            let offset = POLL_INTERVAL * poller as u32 / count as u32;
            let (sender, stopped) = (sender.clone(), stopped.clone());
            threads.push(thread::spawn(move || {
                poll(&store, poller, offset, &sender, &stopped);
            }));
        }
        StorePollers {
            bytes,
            fetched,
            stop: Some(stop),
            threads,
        }
    }

    /// Bytes of all polls so far, both ways.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes.count.load(Ordering::Relaxed)
    }

    /// Time from `start` until the last poller had fetched `generation`; `None` when not within
    /// `limit`.
    #[must_use]
    pub fn wait(
        &self,
        generation: Generation,
        start: Instant,
        limit: Duration,
    ) -> Option<Duration> {
        let mut waiting = self.threads.len();
        let mut last = Duration::ZERO;
        while waiting > 0 {
            let left = limit.saturating_sub(start.elapsed());
            let fetched = self.fetched.recv_timeout(left).ok()?;
            if fetched.generation < generation {
                continue;
            }
            last = last.max(fetched.at.saturating_duration_since(start));
            waiting -= 1;
        }
        Some(last)
    }
}

fn poll(
    store: &HttpPlatform,
    poller: usize,
    offset: Duration,
    fetched: &Sender<FetchedGeneration>,
    stop: &Receiver<Infallible>,
) {
    let mut held = 0;
    let mut pause = offset;
    while let Err(RecvTimeoutError::Timeout) = stop.recv_timeout(pause) {
        pause = POLL_INTERVAL;
        let Ok(mark) = read_head(store) else {
            continue;
        };
        if mark.generation <= held || fetch_snapshot(store, &mark).is_err() {
            continue;
        }
        held = mark.generation;
        let _ = fetched.send(FetchedGeneration {
            poller,
            generation: held,
            at: Instant::now(),
        });
    }
}

impl Drop for StorePollers {
    fn drop(&mut self) {
        drop(self.stop.take());
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}
