//! Per-endpoint counts of call outcomes, latencies and crashes, by version and route.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Fingerprint;
use crate::ids::Incarnation;
use crate::ids::MemberId;
use crate::ids::RouteName;
use crate::ids::ServiceName;
use crate::ids::VersionName;
use crate::record::RouteClass;

/// Number of latency buckets. The upper edge of bucket `i` is `2^(i/2)` times 250 microseconds; the
/// last bucket also counts all longer calls.
pub const LATENCY_BUCKETS: usize = 32;

/// Upper edge of the first latency bucket.
const FIRST_EDGE: Duration = Duration::from_micros(250);

/// Latency quantile from which the threshold for slow calls is derived.
const SLOW_QUANTILE: f64 = 0.9;

/// Minimum number of calls of a route for an estimate of its latency quantile.
const MIN_QUANTILE_CALLS: u64 = 50;

/// Highest count accepted in a report; sums over all reports then fit in `u64`.
const MAX_COUNT: u64 = 1 << 40;

/// Maximum number of crashes in a report; the latest ones are kept.
const MAX_CRASHES: usize = 16;

/// Maximum number of survived requests in a report.
pub const SURVIVED_KEPT: usize = 16;

/// Returns the bucket that counts calls of this latency.
#[must_use]
pub fn latency_bucket(latency: Duration) -> usize {
    let ratio = latency.as_secs_f64() / FIRST_EDGE.as_secs_f64();
    if ratio < 1.0 {
        return 0;
    }
    let bucket = (2.0 * ratio.log2()).floor() as usize + 1;
    bucket.min(LATENCY_BUCKETS - 1)
}

/// Returns the upper edge of a latency bucket.
#[must_use]
pub fn bucket_edge(bucket: usize) -> Duration {
    FIRST_EDGE.mul_f64((bucket as f64 / 2.0).exp2())
}

/// Counts of one route's calls at one endpoint since the daemon started; they never decrease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteCounts {
    /// Class of the route.
    pub class: RouteClass,
    /// Calls that completed.
    pub calls: u64,
    /// Calls that ended in a server error, a malformed response or a timeout.
    pub failures: u64,
    /// Number of successful calls in each latency bucket; the latency is the upstream's processing
    /// time.
    pub latency: [u64; LATENCY_BUCKETS],
}

impl RouteCounts {
    /// Returns zero counts for a route of this class.
    #[must_use]
    pub fn new(class: RouteClass) -> RouteCounts {
        RouteCounts {
            class,
            calls: 0,
            failures: 0,
            latency: [0; LATENCY_BUCKETS],
        }
    }

    /// Counts one call.
    pub fn count(&mut self, failed: bool, latency: Duration) {
        self.calls += 1;
        if failed {
            self.failures += 1;
            return;
        }
        self.latency[latency_bucket(latency)] += 1;
    }

    /// Returns whether no count exceeds [`MAX_COUNT`].
    fn is_possible(&self) -> bool {
        let counts = [self.calls, self.failures];
        counts
            .iter()
            .chain(&self.latency)
            .all(|count| *count <= MAX_COUNT)
    }

    /// Sets each counter to the maximum of both; commutative and idempotent.
    pub fn merge(&mut self, other: &RouteCounts) {
        self.calls = self.calls.max(other.calls);
        self.failures = self.failures.max(other.failures);
        for (count, other) in self.latency.iter_mut().zip(other.latency) {
            *count = (*count).max(other);
        }
    }

    /// Adds the counts of `other`, which cover different calls.
    pub fn add(&mut self, other: &RouteCounts) {
        self.calls += other.calls;
        self.failures += other.failures;
        for (count, other) in self.latency.iter_mut().zip(other.latency) {
            *count += other;
        }
    }

    /// Returns the increase of the counts since `earlier`.
    #[must_use]
    pub fn since(&self, earlier: &RouteCounts) -> RouteCounts {
        let mut growth = RouteCounts::new(self.class);
        growth.calls = self.calls.saturating_sub(earlier.calls);
        growth.failures = self.failures.saturating_sub(earlier.failures);
        for (bucket, count) in growth.latency.iter_mut().enumerate() {
            *count = self.latency[bucket].saturating_sub(earlier.latency[bucket]);
        }
        growth
    }

    /// Returns the first bucket whose calls are slow compared with these calls, or `None` if there are
    /// too few calls.
    ///
    /// It is two buckets above the one with the quantile, so that a small shift across a bucket edge
    /// does not count as slow.
    #[must_use]
    pub fn slow_bucket(&self) -> Option<usize> {
        let calls: u64 = self.latency.iter().sum();
        if calls < MIN_QUANTILE_CALLS {
            return None;
        }
        let mut below = 0;
        for (bucket, count) in self.latency.iter().enumerate() {
            below += count;
            if below as f64 >= SLOW_QUANTILE * calls as f64 {
                return Some((bucket + 2).min(LATENCY_BUCKETS));
            }
        }
        None
    }
}

/// A crash of an upstream and the requests that were running at the time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashRecord {
    /// Sequence number of the crash in this incarnation of the daemon, from 1.
    pub number: u64,
    /// Fingerprints of the requests that were running.
    pub running: Vec<Fingerprint>,
}

/// Counts of one daemon for one version of its upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointEvidence {
    /// The daemon.
    pub member: MemberId,
    /// Incarnation of the daemon; counts restart at zero in each.
    pub incarnation: Incarnation,
    /// Service of the upstream.
    pub service: ServiceName,
    /// Version of the upstream.
    pub version: VersionName,
    /// Counts of each route.
    pub routes: BTreeMap<RouteName, RouteCounts>,
    /// Latest crashes, oldest first.
    pub crashes: Vec<CrashRecord>,
    /// Requests that the upstream completed recently and that were running when another upstream
    /// crashed.
    #[serde(default)]
    pub survived: Vec<Fingerprint>,
}

impl EndpointEvidence {
    /// Returns evidence with no calls.
    #[must_use]
    pub fn new(
        member: MemberId,
        incarnation: Incarnation,
        service: ServiceName,
        version: VersionName,
    ) -> EndpointEvidence {
        EndpointEvidence {
            member,
            incarnation,
            service,
            version,
            routes: BTreeMap::new(),
            crashes: Vec::new(),
            survived: Vec::new(),
        }
    }

    /// Returns whether every count is within the accepted range.
    #[must_use]
    pub fn is_possible(&self) -> bool {
        self.routes.values().all(RouteCounts::is_possible)
    }

    /// Merges another report of the same member, incarnation and version; commutative and
    /// idempotent.
    pub fn merge(&mut self, other: &EndpointEvidence) {
        for (name, counts) in &other.routes {
            let own = self.routes.entry(name.clone());
            own.or_insert_with(|| RouteCounts::new(counts.class))
                .merge(counts);
        }
        for crash in &other.crashes {
            if self
                .crashes
                .iter()
                .any(|known| known.number == crash.number)
            {
                continue;
            }
            self.crashes.push(crash.clone());
        }
        self.crashes.sort_by_key(|crash| crash.number);
        let surplus = self.crashes.len().saturating_sub(MAX_CRASHES);
        self.crashes.drain(..surplus);
        self.survived.extend(&other.survived);
        self.survived.sort_unstable();
        self.survived.dedup();
        self.survived.truncate(SURVIVED_KEPT);
    }

    /// Returns the approximate memory use of the evidence in bytes.
    #[must_use]
    pub fn stored_bytes(&self) -> usize {
        let routes = self.routes.len() * (size_of::<RouteName>() + size_of::<RouteCounts>());
        let crashes = self.crashes.iter().map(|crash| {
            size_of::<CrashRecord>() + crash.running.capacity() * size_of::<Fingerprint>()
        });
        size_of::<EndpointEvidence>() + routes + crashes.sum::<usize>()
    }
}

/// Counts the calls and crashes of a daemon's local upstream.
///
/// Latencies cover only the upstream's processing time, so that a slow link does not count against a
/// version. Calls that were refused without running are not counted.
#[derive(Clone, Debug)]
pub struct EvidenceRecorder {
    member: MemberId,
    incarnation: Incarnation,
    current: (ServiceName, VersionName),
    versions: BTreeMap<(ServiceName, VersionName), EndpointEvidence>,
    crashes: u64,
}

impl EvidenceRecorder {
    /// Returns an empty recorder for one incarnation of a daemon.
    #[must_use]
    pub fn new(member: MemberId, incarnation: Incarnation) -> EvidenceRecorder {
        let mut recorder = EvidenceRecorder {
            member,
            incarnation,
            current: Default::default(),
            versions: BTreeMap::new(),
            crashes: 0,
        };
        recorder.set_version(Box::default(), Box::default());
        recorder
    }

    /// Sets the version that the upstream runs; a version that ran before keeps its counts.
    pub fn set_version(&mut self, service: ServiceName, version: VersionName) {
        self.current = (service.clone(), version.clone());
        let (member, incarnation) = (self.member.clone(), self.incarnation);
        self.versions
            .entry(self.current.clone())
            .or_insert_with(|| EndpointEvidence::new(member, incarnation, service, version));
    }

    /// Counts a completed call, failed or not.
    pub fn on_call(
        &mut self,
        route: &RouteName,
        class: RouteClass,
        failed: bool,
        latency: Duration,
    ) {
        let Some(evidence) = self.versions.get_mut(&self.current) else {
            return;
        };
        let counts = evidence.routes.entry(route.clone());
        counts
            .or_insert_with(|| RouteCounts::new(class))
            .count(failed, latency);
    }

    /// Records a crash of the upstream with the requests that were running.
    pub fn on_crash(&mut self, running: Vec<Fingerprint>) {
        let Some(evidence) = self.versions.get_mut(&self.current) else {
            return;
        };
        self.crashes += 1;
        evidence.crashes.push(CrashRecord {
            number: self.crashes,
            running,
        });
        if evidence.crashes.len() > MAX_CRASHES {
            evidence.crashes.remove(0);
        }
    }

    /// Returns the counts of the version that the upstream currently runs.
    #[must_use]
    pub fn report(&self) -> EndpointEvidence {
        self.versions[&self.current].clone()
    }
}
