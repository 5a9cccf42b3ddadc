//! Distribution of answer times by route, in a fixed-size histogram.

use std::collections::HashMap;
use std::time::Duration;

/// Buckets for each doubling of the time. The upper bound of a bucket exceeds the times in it by at
/// most 19%.
const BUCKETS_PER_DOUBLING: usize = 4;

/// Doublings covered from [`FIRST_BOUND`] on: up to 16 s, longer than request timeouts.
const DOUBLINGS: usize = 14;

const BUCKETS: usize = BUCKETS_PER_DOUBLING * DOUBLINGS + 1;

/// Upper bound of the first bucket. Shorter answers come from the daemon's own VM or zone.
const FIRST_BOUND: Duration = Duration::from_millis(1);

/// Number of answers at which all counts are halved, so that the estimate follows the last few hundred
/// answers.
const MAX_COUNT: u32 = 512;

/// Answers before there is an estimate. With fewer, the 95th percentile is the longest time seen.
const MIN_COUNT: u32 = 20;

/// Maximum number of routes with a histogram, about 130 bytes each.
const MAX_ROUTES: usize = 1024;

struct TimeHistogram {
    counts: [u16; BUCKETS],
    total: u32,
}

/// Distribution of answer times, by the hash of the route's name.
#[derive(Default)]
pub struct AnswerTimes {
    histograms: HashMap<u32, TimeHistogram>,
}

impl AnswerTimes {
    /// Returns the time within which a share of a route's answers arrive, rounded up to the bound of a
    /// bucket; `None` while there are too few answers.
    #[must_use]
    pub fn quantile(&self, route_hash: u32, share: f64) -> Option<Duration> {
        let histogram = self.histograms.get(&route_hash)?;
        if histogram.total < MIN_COUNT {
            return None;
        }
        let wanted = (f64::from(histogram.total) * share).ceil() as u32;
        let mut seen = 0;
        for (index, count) in histogram.counts.iter().enumerate() {
            seen += u32::from(*count);
            if seen >= wanted {
                return Some(bound(index));
            }
        }
        None
    }

    /// Records the time after which an answer arrived, or for which an attempt that was then abandoned
    /// had no answer. Without the latter the estimate would only see times below the delay that it
    /// gives, and become shorter with each hedged request.
    pub fn record(&mut self, route_hash: u32, time: Duration) {
        if self.histograms.len() >= MAX_ROUTES && !self.histograms.contains_key(&route_hash) {
            self.histograms.clear();
        }
        let histogram = self.histograms.entry(route_hash).or_insert(TimeHistogram {
            counts: [0; BUCKETS],
            total: 0,
        });
        histogram.counts[bucket(time)] += 1;
        histogram.total += 1;
        if histogram.total < MAX_COUNT {
            return;
        }
        histogram.total = 0;
        for count in &mut histogram.counts {
            *count /= 2;
            histogram.total += u32::from(*count);
        }
    }
}

fn bucket(time: Duration) -> usize {
    let ratio = time.as_secs_f64() / FIRST_BOUND.as_secs_f64();
    let index = (ratio.max(1.0).log2() * BUCKETS_PER_DOUBLING as f64).ceil() as usize;
    index.min(BUCKETS - 1)
}

fn bound(index: usize) -> Duration {
    FIRST_BOUND.mul_f64((index as f64 / BUCKETS_PER_DOUBLING as f64).exp2())
}
