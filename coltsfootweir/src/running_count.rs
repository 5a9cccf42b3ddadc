//! Guard that counts running work.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Guard for one running piece of work. Dropping it decrements the counter.
#[derive(Debug)]
pub(crate) struct RunningCount {
    count: Arc<AtomicU64>,
}

impl RunningCount {
    /// Increments `count` until the guard is dropped.
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
