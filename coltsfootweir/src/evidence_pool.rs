//! Evidence of both versions of a move, pooled over endpoints and cut into slices of time.

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

/// Length of one slice of time.
pub const SLICE_LENGTH: Duration = Duration::from_secs(2);

/// Slices kept; older ones no longer take part in verdicts.
pub const SLICES_KEPT: usize = 300;

/// Time after which an endpoint that sent no evidence counts as gone.
pub const EVIDENCE_TIMEOUT: Duration = Duration::from_secs(20);

/// Endpoints kept; the ones that were silent for longest give way to others.
const MEMBERS_KEPT: usize = 256;

/// Reports kept, one for each run of a daemon and version.
const REPORTS_KEPT: usize = 1024;

/// Crashes kept for each version, the latest ones.
const CRASHES_KEPT: usize = 64;

/// Survived requests kept for each version.
const SURVIVED_KEPT: usize = 256;

/// A crash during the move.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PooledCrash {
    /// The endpoint's daemon.
    pub member: MemberId,
    /// Requests that were running.
    pub running: Vec<Fingerprint>,
}

/// What is known of one version.
#[derive(Clone, Debug, Default)]
pub struct VersionTotals {
    /// Counts since the window began, by route.
    pub routes: BTreeMap<RouteName, RouteCounts>,
    /// Crashes since the window began.
    pub crashes: Vec<PooledCrash>,
    /// Requests that an endpoint ran to an end and under which another crashed.
    pub survived: BTreeSet<Fingerprint>,
    /// When each endpoint's daemon last sent evidence.
    pub members: BTreeMap<MemberId, Duration>,
}

impl VersionTotals {
    /// Returns the calls of all routes.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.routes.values().map(|counts| counts.calls).sum()
    }

    /// Returns the failed calls and the crashes.
    #[must_use]
    pub fn faults(&self) -> u64 {
        let failures: u64 = self.routes.values().map(|counts| counts.failures).sum();
        failures + self.crashes.len() as u64
    }

    /// Returns the calls of each route.
    #[must_use]
    pub fn route_calls(&self) -> BTreeMap<RouteName, u64> {
        self.routes
            .iter()
            .map(|(route, counts)| (route.clone(), counts.calls))
            .collect()
    }
}

/// What verdict rules look at.
#[derive(Clone, Debug, Default)]
pub struct PoolView {
    /// The version that serves before the move.
    pub old: VersionTotals,
    /// The version that serves after the move.
    pub new: VersionTotals,
    /// Slices of time, oldest first.
    pub slices: VecDeque<EvidenceSlice>,
    /// Name of each route of the slices, by its index.
    pub route_names: Vec<RouteName>,
    /// Bound of the indices of the endpoints of the slices.
    pub member_count: usize,
    /// When each endpoint's daemon last sent evidence, by the endpoint's index.
    pub heard: Vec<Duration>,
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

    /// Returns the endpoints of the new version that sent evidence lately.
    pub fn new_members(&self) -> impl Iterator<Item = &MemberId> {
        let live = self
            .new
            .members
            .iter()
            .filter(|(_, at)| self.now < **at + EVIDENCE_TIMEOUT);
        live.map(|(member, _)| member)
    }

    /// Returns whether an endpoint sent no evidence lately, so that it counts as gone.
    #[must_use]
    pub fn is_silent(&self, member: MemberIndex) -> bool {
        self.now >= self.heard[member as usize] + EVIDENCE_TIMEOUT
    }

    /// Returns every route that has calls.
    #[must_use]
    pub fn routes(&self) -> BTreeSet<&RouteName> {
        self.old
            .routes
            .keys()
            .chain(self.new.routes.keys())
            .collect()
    }
}

/// Returns the number of the slice that a time lies in.
#[must_use]
pub fn slice_number(now: Duration) -> u64 {
    (now.as_millis() / SLICE_LENGTH.as_millis()) as u64
}

/// Identity of the counters of one endpoint in one run of its daemon.
type ReportKey = (MemberId, Incarnation, VersionName);

/// Evidence of a move, pooled by one daemon.
///
/// Counters of one member, incarnation and version only grow, so a report may arrive twice, late or
/// in any order. A restarted daemon counts from zero under a higher incarnation.
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
    /// Returns a pool without evidence; its window begins with the first report of each endpoint.
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

    /// Takes in a report; evidence of other services and versions and impossible counts are passed
    /// over.
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
        self.take_survived(side, &evidence.survived);
        let key = (
            member.clone(),
            evidence.incarnation,
            evidence.version.clone(),
        );
        // Counts of an endpoint that was already there are older than the window.
        let is_first = !self.members.contains_key(&member);
        let index = self.hear(&member, now);
        let Some(before) = self.reports.get(&key).cloned() else {
            if !is_first {
                let start = EndpointEvidence {
                    routes: BTreeMap::new(),
                    crashes: Vec::new(),
                    ..evidence.clone()
                };
                self.take_growth(side, index, &start, &evidence, now);
            }
            self.reports.insert(key, evidence);
            self.shrink();
            return;
        };
        let mut merged = before.clone();
        merged.merge(&evidence);
        self.take_growth(side, index, &before, &merged, now);
        self.reports.insert(key, merged);
    }

    /// Moves the view on to this time; endpoints that stayed silent count as gone.
    pub fn advance(&mut self, now: Duration) {
        self.view.now = self.view.now.max(now);
    }

    /// Returns what verdict rules look at.
    #[must_use]
    pub fn view(&self) -> &PoolView {
        &self.view
    }

    /// Returns about how many bytes the pool occupies: slices, reports and crashes.
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

    /// Notes that an endpoint sent evidence; returns its index.
    fn hear(&mut self, member: &MemberId, now: Duration) -> MemberIndex {
        if let Some(index) = self.members.get(member).copied() {
            self.view.heard[index as usize] = now;
            return index;
        }
        let index = self.free.pop().unwrap_or_else(|| {
            self.view.member_count += 1;
            self.view.heard.push(now);
            (self.view.member_count - 1) as MemberIndex
        });
        self.view.heard[index as usize] = now;
        self.members.insert(member.clone(), index);
        index
    }

    /// Forgets the endpoints that were silent for longest until the rest fits; one that comes back
    /// counts as new.
    fn shrink(&mut self) {
        while self.members.len() > MEMBERS_KEPT || self.reports.len() > REPORTS_KEPT {
            let heard = &self.view.heard;
            let silent = self
                .members
                .iter()
                .min_by_key(|(_, index)| heard[**index as usize]);
            let Some((member, index)) = silent.map(|(member, index)| (member.clone(), *index))
            else {
                return;
            };
            self.members.remove(&member);
            self.reports.retain(|(other, _, _), _| *other != member);
            self.view.old.members.remove(&member);
            self.view.new.members.remove(&member);
            for slice in &mut self.view.slices {
                slice.forget(index);
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

    fn take_growth(
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
                self.take_crash(side, &after.member, crash);
            }
        }
    }

    fn take_survived(&mut self, side: VersionSide, requests: &[Fingerprint]) {
        let survived = &mut self.totals_mut(side).survived;
        survived.extend(requests);
        while survived.len() > SURVIVED_KEPT {
            survived.pop_first();
        }
    }

    fn take_crash(&mut self, side: VersionSide, member: &MemberId, crash: &CrashRecord) {
        let crashes = &mut self.totals_mut(side).crashes;
        crashes.push(PooledCrash {
            member: member.clone(),
            running: crash.running.clone(),
        });
        if crashes.len() > CRASHES_KEPT {
            crashes.remove(0);
        }
    }

    fn slice(&mut self, now: Duration) -> &mut EvidenceSlice {
        let number = slice_number(now);
        let newest = self.view.slices.back().map(|slice| slice.number);
        if newest.is_none_or(|newest| newest < number) {
            // No more endpoints report in a closed slice.
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
