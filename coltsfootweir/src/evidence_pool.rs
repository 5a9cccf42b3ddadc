//! Evidence of both versions of a move, pooled over endpoints and divided into time slices.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use crate::evidence::CrashRecord;
use crate::evidence::EndpointEvidence;
use crate::evidence::RouteCounts;
use crate::evidence_slice::CountKey;
use crate::evidence_slice::EvidenceSlice;
use crate::evidence_slice::VersionSide;
use crate::ids::Fingerprint;
use crate::ids::Incarnation;
use crate::ids::MemberId;
use crate::ids::MemberIndex;
use crate::ids::RouteIndex;
use crate::ids::RouteName;
use crate::ids::ServiceName;
use crate::ids::VersionName;
use crate::record::MoveRecord;

/// Length of one time slice.
pub const SLICE_LENGTH: Duration = Duration::from_secs(2);

/// Maximum number of slices; older ones are dropped and no longer count in verdicts.
pub const SLICES_KEPT: usize = 300;

/// Time after the last report from which an endpoint counts as gone.
pub const EVIDENCE_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum number of endpoints; those with the oldest last report are evicted first.
const MAX_MEMBERS: usize = 256;

/// Maximum number of reports, one for each daemon incarnation and version.
const MAX_REPORTS: usize = 1024;

/// Maximum number of crashes for each version; the latest ones are kept.
const MAX_CRASHES: usize = 64;

/// Maximum number of survived requests for each version.
const MAX_SURVIVED: usize = 256;

/// A crash during the move.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PooledCrash {
    /// The endpoint's daemon.
    pub member: MemberId,
    /// Fingerprints of the requests that were running.
    pub running: Vec<Fingerprint>,
}

/// Pooled evidence of one version.
#[derive(Clone, Debug, Default)]
pub struct VersionTotals {
    /// Counts of each route since the window began.
    pub routes: BTreeMap<RouteName, RouteCounts>,
    /// Crashes since the window began.
    pub crashes: Vec<PooledCrash>,
    /// Requests that one endpoint completed and that were running when another crashed.
    pub survived: BTreeSet<Fingerprint>,
    /// Time of the last report of each endpoint's daemon.
    pub members: BTreeMap<MemberId, Duration>,
}

impl VersionTotals {
    /// Returns the number of calls on all routes.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.routes.values().map(|counts| counts.calls).sum()
    }

    /// Returns the number of failed calls and crashes.
    #[must_use]
    pub fn faults(&self) -> u64 {
        let failures: u64 = self.routes.values().map(|counts| counts.failures).sum();
        failures + self.crashes.len() as u64
    }

    /// Returns the number of calls on each route.
    #[must_use]
    pub fn route_calls(&self) -> BTreeMap<RouteName, u64> {
        self.routes
            .iter()
            .map(|(route, counts)| (route.clone(), counts.calls))
            .collect()
    }
}

/// Input of the verdict rules.
#[derive(Clone, Debug, Default)]
pub struct PoolView {
    /// The version that serves before the move.
    pub old: VersionTotals,
    /// The version that serves after the move.
    pub new: VersionTotals,
    /// Time slices, oldest first.
    pub slices: VecDeque<EvidenceSlice>,
    /// Route names, by route index.
    pub route_names: Vec<RouteName>,
    /// Exclusive upper bound of the member indices in the slices.
    pub member_count: usize,
    /// Time of the last report of each endpoint's daemon, by member index.
    pub last_reports: Vec<Duration>,
    /// Time of the view, since the daemon's start.
    pub now: Duration,
}

impl PoolView {
    /// Returns the totals of one side.
    #[must_use]
    pub fn totals(&self, side: VersionSide) -> &VersionTotals {
        match side {
            VersionSide::Old => &self.old,
            VersionSide::New => &self.new,
        }
    }

    /// Returns the endpoints of the new version whose last report is recent.
    pub fn new_members(&self) -> impl Iterator<Item = &MemberId> {
        let live = self
            .new
            .members
            .iter()
            .filter(|(_, at)| self.now < **at + EVIDENCE_TIMEOUT);
        live.map(|(member, _)| member)
    }

    /// Returns whether an endpoint counts as gone because its last report is too old.
    #[must_use]
    pub fn is_silent(&self, member: MemberIndex) -> bool {
        self.now >= self.last_reports[member as usize] + EVIDENCE_TIMEOUT
    }

    /// Returns all routes with calls.
    #[must_use]
    pub fn routes(&self) -> BTreeSet<&RouteName> {
        self.old
            .routes
            .keys()
            .chain(self.new.routes.keys())
            .collect()
    }
}

/// Returns the number of the slice that contains `now`.
#[must_use]
pub fn slice_number(now: Duration) -> u64 {
    (now.as_millis() / SLICE_LENGTH.as_millis()) as u64
}

/// Identifies the counters of one version in one incarnation of a daemon.
type ReportKey = (MemberId, Incarnation, VersionName);

/// Evidence of a move, pooled by one daemon.
///
/// Counters of one member, incarnation and version never decrease, so a report may arrive twice, late
/// or in any order. A restarted daemon counts from zero under a higher incarnation.
#[derive(Clone, Debug)]
pub struct EvidencePool {
    service: ServiceName,
    from: VersionName,
    to: VersionName,
    reports: BTreeMap<ReportKey, EndpointEvidence>,
    members: BTreeMap<MemberId, MemberIndex>,
    free: Vec<MemberIndex>,
    view: PoolView,
}

impl EvidencePool {
    /// Returns an empty pool. The window of each endpoint begins with its first report.
    #[must_use]
    pub fn new(record: &MoveRecord) -> EvidencePool {
        EvidencePool {
            service: record.service.clone(),
            from: record.from.clone(),
            to: record.to.clone(),
            reports: BTreeMap::new(),
            members: BTreeMap::new(),
            free: Vec::new(),
            view: PoolView::default(),
        }
    }

    /// Merges a report; ignores evidence of other services or versions and counts out of range.
    pub fn add_report(&mut self, evidence: EndpointEvidence, now: Duration) {
        if !evidence.is_possible() {
            return;
        }
        let Some(side) = self.side(&evidence) else {
            return;
        };
        self.view.now = self.view.now.max(now);
        let member = evidence.member.clone();
        self.totals_mut(side).members.insert(member.clone(), now);
        self.add_survived(side, &evidence.survived);
        let key = (
            member.clone(),
            evidence.incarnation,
            evidence.version.clone(),
        );
        // The first report of an endpoint contains counts from before the window; they are a baseline.
        let is_first = !self.members.contains_key(&member);
        let index = self.record_report_time(&member, now);
        let Some(before) = self.reports.get(&key).cloned() else {
            if !is_first {
                let start = EndpointEvidence {
                    routes: BTreeMap::new(),
                    crashes: Vec::new(),
                    ..evidence.clone()
                };
                self.add_growth(side, index, &start, &evidence, now);
            }
            self.reports.insert(key, evidence);
            self.evict_members();
            return;
        };
        let mut merged = before.clone();
        merged.merge(&evidence);
        self.add_growth(side, index, &before, &merged, now);
        self.reports.insert(key, merged);
    }

    /// Advances the time of the view, so that endpoints without recent reports count as gone.
    pub fn advance(&mut self, now: Duration) {
        self.view.now = self.view.now.max(now);
    }

    /// Returns the input of the verdict rules.
    #[must_use]
    pub fn view(&self) -> &PoolView {
        &self.view
    }

    /// Returns the approximate memory use of slices, reports and crashes in bytes.
    #[must_use]
    pub fn stored_bytes(&self) -> usize {
        let slices = self.view.slices.iter().map(EvidenceSlice::stored_bytes);
        let reports = self.reports.values().map(EndpointEvidence::stored_bytes);
        let crashes = self.view.old.crashes.iter().chain(&self.view.new.crashes);
        let crashes = crashes.map(|crash| {
            size_of::<PooledCrash>() + crash.running.capacity() * size_of::<Fingerprint>()
        });
        slices.chain(reports).chain(crashes).sum()
    }

    fn side(&self, evidence: &EndpointEvidence) -> Option<VersionSide> {
        if evidence.service != self.service {
            return None;
        }
        if evidence.version == self.to {
            return Some(VersionSide::New);
        }
        (evidence.version == self.from).then_some(VersionSide::Old)
    }

    fn totals_mut(&mut self, side: VersionSide) -> &mut VersionTotals {
        match side {
            VersionSide::Old => &mut self.view.old,
            VersionSide::New => &mut self.view.new,
        }
    }

    /// Sets the time of an endpoint's last report; returns the endpoint's index.
    fn record_report_time(&mut self, member: &MemberId, now: Duration) -> MemberIndex {
        if let Some(index) = self.members.get(member).copied() {
            self.view.last_reports[index as usize] = now;
            return index;
        }
        let index = self.free.pop().unwrap_or_else(|| {
            self.view.member_count += 1;
            self.view.last_reports.push(now);
            (self.view.member_count - 1) as MemberIndex
        });
        self.view.last_reports[index as usize] = now;
        self.members.insert(member.clone(), index);
        index
    }

    /// Evicts the endpoints with the oldest last report until the limits hold; an evicted endpoint
    /// that reports again counts as new.
    fn evict_members(&mut self) {
        while self.members.len() > MAX_MEMBERS || self.reports.len() > MAX_REPORTS {
            let last_reports = &self.view.last_reports;
            let oldest = self
                .members
                .iter()
                .min_by_key(|(_, index)| last_reports[**index as usize]);
            let Some((member, index)) = oldest.map(|(member, index)| (member.clone(), *index))
            else {
                return;
            };
            self.members.remove(&member);
            self.reports.retain(|(other, _, _), _| *other != member);
            self.view.old.members.remove(&member);
            self.view.new.members.remove(&member);
            for slice in &mut self.view.slices {
                slice.remove_member(index);
            }
            self.free.push(index);
        }
    }

    fn route_index(&mut self, route: &RouteName) -> RouteIndex {
        let names = &mut self.view.route_names;
        let known = names.iter().position(|name| name == route);
        let index = known.unwrap_or_else(|| {
            names.push(route.clone());
            names.len() - 1
        });
        index as RouteIndex
    }

    fn add_growth(
        &mut self,
        side: VersionSide,
        member: MemberIndex,
        before: &EndpointEvidence,
        after: &EndpointEvidence,
        now: Duration,
    ) {
        for (route, counts) in &after.routes {
            let zero = RouteCounts::new(counts.class);
            let growth = counts.since(before.routes.get(route).unwrap_or(&zero));
            if growth == zero {
                continue;
            }
            let totals = self.totals_mut(side).routes.entry(route.clone());
            totals
                .or_insert_with(|| RouteCounts::new(counts.class))
                .add(&growth);
            let route = self.route_index(route);
            let key = CountKey {
                side,
                member,
                route,
            };
            self.slice(now).add(key, &growth);
        }
        let newest = before.crashes.last().map_or(0, |crash| crash.number);
        for crash in &after.crashes {
            if crash.number > newest {
                self.slice(now).crashed.push(member);
                self.add_crash(side, &after.member, crash);
            }
        }
    }

    fn add_survived(&mut self, side: VersionSide, requests: &[Fingerprint]) {
        let survived = &mut self.totals_mut(side).survived;
        survived.extend(requests);
        while survived.len() > MAX_SURVIVED {
            survived.pop_first();
        }
    }

    fn add_crash(&mut self, side: VersionSide, member: &MemberId, crash: &CrashRecord) {
        let crashes = &mut self.totals_mut(side).crashes;
        crashes.push(PooledCrash {
            member: member.clone(),
            running: crash.running.clone(),
        });
        if crashes.len() > MAX_CRASHES {
            crashes.remove(0);
        }
    }

    fn slice(&mut self, now: Duration) -> &mut EvidenceSlice {
        let number = slice_number(now);
        let newest = self.view.slices.back().map(|slice| slice.number);
        if newest.is_none_or(|newest| newest < number) {
            // A closed slice gets no more cells.
            if let Some(closed) = self.view.slices.back_mut() {
                closed.cells.shrink_to_fit();
            }
            self.view.slices.push_back(EvidenceSlice {
                number,
                ..EvidenceSlice::default()
            });
        }
        if self.view.slices.len() > SLICES_KEPT {
            self.view.slices.pop_front();
        }
        let newest = self.view.slices.len() - 1;
        &mut self.view.slices[newest]
    }
}
