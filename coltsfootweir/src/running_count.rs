//! Counts what runs, for as long as it runs.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// One running piece of work; dropping it ends the count.
#[derive(Debug)]
pub(crate) struct RunningCount {
    count: Arc<AtomicU64>,
}

impl RunningCount {
    /// Counts one more on `count`.
    pub(crate) fn start(count: &Arc<AtomicU64>) -> RunningCount {
        count.fetch_add(1, Ordering::Relaxed);
        RunningCount {
            count: Arc::clone(count),
        }
    }
}

impl Drop for RunningCount {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}
