//! Counts of what a version's calls came to, pooled while a move runs.

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

/// Number of latency buckets; bucket `i` counts calls shorter than `2^(i/2)` times 250 microseconds
/// that no lower bucket counts. The last one also counts all longer calls.
pub const LATENCY_BUCKETS: usize = 32;

/// Upper edge of the first latency bucket.
const FIRST_EDGE: Duration = Duration::from_micros(250);

/// Quantile of the latency that slow calls exceed clearly.
const SLOW_QUANTILE: f64 = 0.9;

/// Calls of a route from which its quantile counts as known.
const QUANTILE_CALLS: u64 = 50;

/// Highest count of a report that is taken; sums over all reports stay within their type.
const HIGHEST_COUNT: u64 = 1 << 40;

/// Crashes that a report carries, the latest ones.
const CRASHES_KEPT: usize = 16;

/// Survived requests that a report carries.
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

/// Counts of one route's calls at one endpoint since the daemon started; they only grow.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteCounts {
    /// Class of the route.
    pub class: RouteClass,
    /// Calls that ran to an end.
    pub calls: u64,
    /// Calls that ended in a server error, a broken answer or a timeout.
    pub failures: u64,
    /// Latency of the upstream's own work, by bucket; calls that did not fail only.
    pub latency: [u64; LATENCY_BUCKETS],
}

impl RouteCounts {
    /// Returns zero counts of a route of this class.
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

    /// Returns whether a daemon can have counted this much.
    fn is_possible(&self) -> bool {
        let counts = [self.calls, self.failures];
        counts
            .iter()
            .chain(&self.latency)
            .all(|count| *count <= HIGHEST_COUNT)
    }

    /// Raises each counter to the higher of both; commutative and idempotent.
    pub fn merge(&mut self, other: &RouteCounts) {
        self.calls = self.calls.max(other.calls);
        self.failures = self.failures.max(other.failures);
        for (own, their) in self.latency.iter_mut().zip(other.latency) {
            *own = (*own).max(their);
        }
    }

    /// Adds the counts of other calls.
    pub fn add(&mut self, other: &RouteCounts) {
        self.calls += other.calls;
        self.failures += other.failures;
        for (own, their) in self.latency.iter_mut().zip(other.latency) {
            *own += their;
        }
    }

    /// Returns what these counts grew by since `earlier`.
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

    /// Returns the first bucket that counts as slow by the measure of these calls: one past the bucket
    /// after the quantile's, so that a small shift over an edge is not slow.
    #[must_use]
    pub fn slow_bucket(&self) -> Option<usize> {
        let calls: u64 = self.latency.iter().sum();
        if calls < QUANTILE_CALLS {
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

/// A crash of an upstream and the requests that were running.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashRecord {
    /// Count of the crash at its endpoint in this incarnation of the daemon.
    pub number: u64,
    /// Requests that were running.
    pub running: Vec<Fingerprint>,
}

/// What one daemon knows of the version it guards.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointEvidence {
    /// The daemon.
    pub member: MemberId,
    /// Run of the daemon; counts start at zero in each.
    pub incarnation: Incarnation,
    /// Service of the upstream.
    pub service: ServiceName,
    /// Version of the upstream.
    pub version: VersionName,
    /// Counts by route.
    pub routes: BTreeMap<RouteName, RouteCounts>,
    /// Latest crashes, oldest first.
    pub crashes: Vec<CrashRecord>,
    /// Requests that the upstream ran to an end of late and under which another crashed.
    #[serde(default)]
    pub survived: Vec<Fingerprint>,
}

impl EndpointEvidence {
    /// Returns evidence without any call.
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

    /// Returns whether a daemon can have counted this much.
    #[must_use]
    pub fn is_possible(&self) -> bool {
        self.routes.values().all(RouteCounts::is_possible)
    }

    /// Takes in another report of the same member, incarnation and version; commutative and
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
        let surplus = self.crashes.len().saturating_sub(CRASHES_KEPT);
        self.crashes.drain(..surplus);
        self.survived.extend(&other.survived);
        self.survived.sort_unstable();
        self.survived.dedup();
        self.survived.truncate(SURVIVED_KEPT);
    }

    /// Returns about how many bytes the evidence occupies.
    #[must_use]
    pub fn stored_bytes(&self) -> usize {
        let routes = self.routes.len() * (size_of::<RouteName>() + size_of::<RouteCounts>());
        let crashes = self.crashes.iter().map(|crash| {
            size_of::<CrashRecord>() + crash.running.capacity() * size_of::<Fingerprint>()
        });
        size_of::<EndpointEvidence>() + routes + crashes.sum::<usize>()
    }
}

/// Counts the calls of the upstream beside a daemon.
///
/// Latencies are those of the upstream's own work, so that a slow link blames no version. Calls that
/// were refused as not run are not reported here.
#[derive(Clone, Debug)]
pub struct EvidenceRecorder {
    member: MemberId,
    incarnation: Incarnation,
    current: (ServiceName, VersionName),
    versions: BTreeMap<(ServiceName, VersionName), EndpointEvidence>,
    crashes: u64,
}

impl EvidenceRecorder {
    /// Returns a recorder without counts for one run of a daemon.
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

    /// Sets the version that the upstream runs; a version that comes back keeps its counts.
    pub fn set_version(&mut self, service: ServiceName, version: VersionName) {
        self.current = (service.clone(), version.clone());
        let (member, incarnation) = (self.member.clone(), self.incarnation);
        self.versions
            .entry(self.current.clone())
            .or_insert_with(|| EndpointEvidence::new(member, incarnation, service, version));
    }

    /// Counts a call that ran to an end, failed or not.
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

    /// Counts a crash of the upstream while these requests ran.
    pub fn on_crash(&mut self, running: Vec<Fingerprint>) {
        let Some(evidence) = self.versions.get_mut(&self.current) else {
            return;
        };
        self.crashes += 1;
        evidence.crashes.push(CrashRecord {
            number: self.crashes,
            running,
        });
        if evidence.crashes.len() > CRASHES_KEPT {
            evidence.crashes.remove(0);
        }
    }

    /// Returns the counts of the version that the upstream runs now.
    #[must_use]
    pub fn report(&self) -> EndpointEvidence {
        self.versions[&self.current].clone()
    }
}
