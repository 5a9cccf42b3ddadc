//! Evidence of both versions of a move, pooled over endpoints and cut into slices of time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use crate::evidence::CrashRecord;
use crate::evidence::EndpointEvidence;
use crate::evidence::RouteCounts;
use crate::ids::Fingerprint;
use crate::ids::Incarnation;
use crate::ids::MemberId;
use crate::ids::RouteName;
use crate::ids::ServiceName;
use crate::ids::VersionName;
use crate::record::MoveRecord;

/// Length of one slice of time.
pub const SLICE_LENGTH: Duration = Duration::from_secs(2);

/// Slices kept; older ones no longer take part in verdicts.
pub const SLICES_KEPT: usize = 300;

/// Time after which an endpoint that sent no evidence counts as gone.
pub const EVIDENCE_TIMEOUT: Duration = Duration::from_secs(10);

/// Crashes kept for each version, the latest ones.
const CRASHES_KEPT: usize = 64;

/// Side of a comparison.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum VersionSide {
    /// The version that serves before the move.
    Old,
    /// The version that serves after the move.
    New,
}

/// Counts of one endpoint on one route in one slice.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CountKey {
    /// Side of the endpoint's version.
    pub side: VersionSide,
    /// The route.
    pub route: RouteName,
    /// The endpoint's daemon.
    pub member: MemberId,
}

/// What the counts grew by in one slice of time.
#[derive(Clone, Debug)]
pub struct EvidenceSlice {
    /// Number of the slice, counted from the daemon's start.
    pub number: u64,
    /// Growth of the counts.
    pub counts: BTreeMap<CountKey, RouteCounts>,
    /// Endpoints that crashed in the slice.
    pub crashed: BTreeSet<MemberId>,
}

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
    /// When each endpoint's daemon last sent evidence.
    pub members: BTreeMap<MemberId, Duration>,
}

impl VersionTotals {
    /// Returns the calls of all routes.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.routes.values().map(|counts| counts.calls).sum()
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
    known: BTreeSet<MemberId>,
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
            known: BTreeSet::new(),
            view: PoolView::default(),
        }
    }

    /// Takes in a report; evidence of other services and versions is passed over.
    pub fn offer(&mut self, evidence: EndpointEvidence, now: Duration) {
        let Some(side) = self.side(&evidence) else {
            return;
        };
        self.view.now = self.view.now.max(now);
        let member = evidence.member.clone();
        self.totals_mut(side).members.insert(member.clone(), now);
        let key = (
            member.clone(),
            evidence.incarnation,
            evidence.version.clone(),
        );
        // Counts of an endpoint that was already there are older than the window.
        let is_first = self.known.insert(member.clone());
        let Some(before) = self.reports.get(&key).cloned() else {
            if !is_first {
                let start = EndpointEvidence {
                    routes: BTreeMap::new(),
                    crashes: Vec::new(),
                    ..evidence.clone()
                };
                self.take_growth(side, &start, &evidence, now);
            }
            self.reports.insert(key, evidence);
            return;
        };
        let mut merged = before.clone();
        merged.merge(&evidence);
        self.take_growth(side, &before, &merged, now);
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

    fn take_growth(
        &mut self,
        side: VersionSide,
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
            let key = CountKey {
                side,
                route: route.clone(),
                member: after.member.clone(),
            };
            let slice = self.slice(now).counts.entry(key);
            slice
                .or_insert_with(|| RouteCounts::new(counts.class))
                .add(&growth);
        }
        let newest = before.crashes.last().map_or(0, |crash| crash.number);
        for crash in &after.crashes {
            if crash.number > newest {
                self.take_crash(side, &after.member, crash, now);
            }
        }
    }

    fn take_crash(
        &mut self,
        side: VersionSide,
        member: &MemberId,
        crash: &CrashRecord,
        now: Duration,
    ) {
        self.slice(now).crashed.insert(member.clone());
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
            self.view.slices.push_back(EvidenceSlice {
                number,
                counts: BTreeMap::new(),
                crashed: BTreeSet::new(),
            });
        }
        if self.view.slices.len() > SLICES_KEPT {
            self.view.slices.pop_front();
        }
        let newest = self.view.slices.len() - 1;
        &mut self.view.slices[newest]
    }
}
