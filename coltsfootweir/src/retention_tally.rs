//! Counts of the claims that one daemon has written to the platform, and of the claims and objects it
//! has removed.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use serde::Deserialize;
use serde::Serialize;

/// Counts since the daemon's start.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RetentionCounts {
    /// Claims written with a time in their key; their rows are removed once they are old.
    pub claims_timed: u64,
    /// Claims written without a time in their key; their rows are never removed.
    pub claims_kept: u64,
    /// Claims removed.
    pub claims_removed: u64,
    /// Objects of old configurations removed.
    pub objects_removed: u64,
}

/// Counters behind [`RetentionCounts`].
#[derive(Debug, Default)]
pub struct RetentionTally {
    claims_timed: AtomicU64,
    claims_kept: AtomicU64,
    claims_removed: AtomicU64,
    objects_removed: AtomicU64,
}

impl RetentionTally {
    /// Counts a written claim.
    pub fn add_claim(&self, is_timed: bool) {
        let count = if is_timed {
            &self.claims_timed
        } else {
            &self.claims_kept
        };
        count.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts removed claims.
    pub fn add_claims_removed(&self, count: usize) {
        self.claims_removed
            .fetch_add(count as u64, Ordering::Relaxed);
    }

    /// Counts removed objects.
    pub fn add_objects_removed(&self, count: usize) {
        self.objects_removed
            .fetch_add(count as u64, Ordering::Relaxed);
    }

    /// Returns the current counts.
    #[must_use]
    pub fn counts(&self) -> RetentionCounts {
        RetentionCounts {
            claims_timed: self.claims_timed.load(Ordering::Relaxed),
            claims_kept: self.claims_kept.load(Ordering::Relaxed),
            claims_removed: self.claims_removed.load(Ordering::Relaxed),
            objects_removed: self.objects_removed.load(Ordering::Relaxed),
        }
    }
}
