//! Buckets from which the holder of a slot lends tokens.

use std::collections::HashMap;
use std::time::Duration;

use crate::sidecar::rate_limits::limit_share::TOKEN_VALIDITY;
use crate::sidecar::settings::QuotaBounds;
use crate::sidecar::teams::team::TeamName;

/// Number of holder slots of a region.
pub const REGION_SLOTS: usize = 2;

/// Wait that is stated for a team without a token whose rate is too low for a time to be computed.
const LONGEST_WAIT: Duration = Duration::from_secs(60);

/// Part of the deployment's slack that is lent in addition to the burst of a team. The rest covers the
/// whole token that each slot keeps.
const SLACK_SHARE: f64 = 0.5;

/// Returns the rate and the burst of a team that all slots lend together. Tokens that were lent before a
/// window may be used in it for as long as they are valid, so the rate is the highest one whose sum over
/// the window and the validity stays below the deployment's limit on the window.
#[must_use]
pub fn lent_limit(rate_per_s: f64, burst: f64, quota: QuotaBounds) -> (f64, f64) {
    let window = quota.window.as_secs_f64();
    let allowed = 1.0 + quota.overage;
    let factor = allowed * window / (window + TOKEN_VALIDITY.as_secs_f64());
    (
        rate_per_s * factor,
        burst * allowed + quota.slack * SLACK_SHARE,
    )
}

/// Part of a team's limit that one holder slot lends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotLimit {
    /// Tokens per second.
    pub rate_per_s: f64,
    /// Largest number of unused tokens.
    pub burst: f64,
}

impl SlotLimit {
    /// Returns the part of one slot of a limit that is split evenly over all slots of `regions`
    /// regions. A slot keeps up to one token in any case, as tokens are whole; this adds at most one
    /// token a slot to the sum, which the deployment's slack (20) covers up to ten regions.
    #[must_use]
    pub fn new(rate_per_s: f64, burst: f64, regions: usize) -> SlotLimit {
        let slots = (regions.max(1) * REGION_SLOTS) as f64;
        SlotLimit {
            rate_per_s: rate_per_s / slots,
            burst: (burst / slots).max(1.0),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct LimitBucket {
    tokens: f64,
    rate_per_s: f64,
    filled_at: Duration,
}

/// Buckets of one slot. All were empty when the lease of the slot began.
#[derive(Debug)]
pub struct LimitBuckets {
    since: Duration,
    buckets: HashMap<TeamName, LimitBucket>,
}

impl LimitBuckets {
    /// Creates the buckets of a lease that begins at `since`, a time since the boot of the VM.
    #[must_use]
    pub fn new(since: Duration) -> LimitBuckets {
        LimitBuckets {
            since,
            buckets: HashMap::new(),
        }
    }

    /// Takes up to `wanted` tokens of a team. Returns their number and, if there were too few, the
    /// time until the next one.
    pub fn take(
        &mut self,
        team: &TeamName,
        limit: SlotLimit,
        wanted: u32,
        now: Duration,
    ) -> (u32, Duration) {
        let since = self.since;
        let bucket = self.buckets.entry(team.clone()).or_insert(LimitBucket {
            tokens: 0.0,
            rate_per_s: limit.rate_per_s,
            filled_at: since,
        });
        // A higher limit counts from its first use on, and a lower one shrinks the bucket at once.
        let rate = limit.rate_per_s.min(bucket.rate_per_s);
        let elapsed = now.saturating_sub(bucket.filled_at).as_secs_f64();
        bucket.tokens = (bucket.tokens + rate * elapsed).min(limit.burst);
        bucket.rate_per_s = limit.rate_per_s;
        bucket.filled_at = bucket.filled_at.max(now);
        let granted = bucket.tokens.floor().min(f64::from(wanted));
        bucket.tokens -= granted;
        let granted = granted as u32;
        if granted == wanted {
            return (granted, Duration::ZERO);
        }
        let missing = (1.0 - bucket.tokens).max(0.0) / limit.rate_per_s;
        let next = Duration::try_from_secs_f64(missing).unwrap_or(LONGEST_WAIT);
        (granted, next.min(LONGEST_WAIT))
    }

    /// Removes the buckets of teams that no longer have a limit.
    pub fn retain(&mut self, is_limited: impl Fn(&TeamName) -> bool) {
        self.buckets.retain(|team, _| is_limited(team));
    }
}
