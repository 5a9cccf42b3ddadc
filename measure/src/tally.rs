//! Counts and latencies of calls.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::CallResult;

/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// Counts and latencies of one group of calls.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CallTally {
    /// Calls sent.
    pub sent: u64,
    /// Answers with status 200.
    pub good: u64,
    /// Answers of the upstream with another status.
    pub failed: u64,
    /// Calls that were told as not run.
    pub not_run: u64,
    /// Calls that were told as in doubt.
    pub in_doubt: u64,
    /// Calls without an answer.
    pub unanswered: u64,
    /// Refusals and doubts by reason.
    pub reasons: BTreeMap<Box<str>, u64>,
    /// Latency of good answers.
    pub good_latency: LatencyFigures,
    /// Latency of refusals.
    pub refusal_latency: LatencyFigures,
}

/// Quantiles of latencies, milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct LatencyFigures {
    /// Median.
    pub p50: f64,
    /// 99 in 100 are at most this.
    pub p99: f64,
    /// 999 in 1000 are at most this.
    pub p999: f64,
}

impl LatencyFigures {
    /// Quantiles of a list of latencies.
    #[must_use]
    pub fn of(latencies: impl Iterator<Item = Duration>) -> LatencyFigures {
        let Ok(mut histogram) = Histogram::<u64>::new(DIGITS) else {
            return LatencyFigures::default();
        };
        for latency in latencies {
            let _ = histogram.record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
        }
        let quantile = |q: f64| histogram.value_at_quantile(q) as f64 / 1000.0;
        LatencyFigures {
            p50: quantile(0.5),
            p99: quantile(0.99),
            p999: quantile(0.999),
        }
    }

    /// What each quantile lies above that of `base`.
    #[must_use]
    pub fn above(&self, base: &LatencyFigures) -> LatencyFigures {
        LatencyFigures {
            p50: self.p50 - base.p50,
            p99: self.p99 - base.p99,
            p999: self.p999 - base.p999,
        }
    }
}

impl CallTally {
    /// Counts the results of one group.
    #[must_use]
    pub fn of(results: &[CallResult], group: usize) -> CallTally {
        let mut tally = CallTally::default();
        let list: Vec<&CallResult> = results.iter().filter(|call| call.group == group).collect();
        for result in &list {
            tally.sent += 1;
            match (result.status, &*result.outcome) {
                (None, _) => tally.unanswered += 1,
                (_, "not-run") => tally.not_run += 1,
                (_, "in-doubt") => tally.in_doubt += 1,
                (Some(200), _) => tally.good += 1,
                _ => tally.failed += 1,
            }
            if !result.reason.is_empty() {
                *tally.reasons.entry(result.reason.clone()).or_default() += 1;
            }
        }
        let good = list.iter().filter(|call| call.status == Some(200));
        tally.good_latency = LatencyFigures::of(good.map(|call| call.latency));
        let refused = list.iter().filter(|call| {
            call.status.is_some_and(|status| status == 503) || &*call.outcome == "not-run"
        });
        tally.refusal_latency = LatencyFigures::of(refused.map(|call| call.latency));
        tally
    }
}
