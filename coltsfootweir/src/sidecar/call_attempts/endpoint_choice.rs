//! Choice of the endpoint for an attempt.

use std::time::Duration;

use rand::RngExt;

use crate::balance::Candidate;
use crate::balance::EndpointChooser;
use crate::deadline::LINK_RETURN_MARGIN;
use crate::ids::MemberId;
use crate::ids::VersionName;
use crate::member::EndpointPhase;
use crate::sidecar::call_attempts::CallAttempts;
use crate::sidecar::call_attempts::millis;
use crate::sidecar::frame::CallResult;
use crate::sidecar::frame::NotRunCause;
use crate::sidecar::frame::NotRunReport;
use crate::sidecar::hedging::hedge_policy::has_free_slot;
use crate::sidecar::local_endpoint::not_run;
use crate::sidecar::member_table::MemberRecord;
use crate::sidecar::placement::region_task::log_region_refusal;
use crate::sidecar::reported_loads::ReportedLoads;
use crate::sidecar::rollout::VersionChoice;
use crate::sidecar::uploads::receive_load::BodyPlan;
use crate::sidecar::uploads::upload_times::is_large;

/// Factor on the slots of endpoints in the local region, in tenths: a short wait there costs
/// callers less time than the round trip to another region.
const LOCAL_SLOT_TENTHS: u16 = 14;

/// The endpoint for an attempt.
#[derive(Clone)]
pub(super) struct ChosenEndpoint {
    pub(super) member: MemberId,
    pub(super) version: VersionName,
}

/// Expected capacity of an endpoint for a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndpointCapacity {
    /// Whether the endpoint may be asked to run the request.
    pub(super) is_enough: bool,
    /// Whether it has so little that endpoints of other regions may be needed.
    pub(super) is_short: bool,
    /// Whether the link of its VM can't receive the request's body in time.
    pub(super) is_link_full: bool,
    /// Expected wait there, or the time for which it refuses such requests.
    pub(super) wait: Duration,
}

/// What an endpoint must have to be chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum EndpointNeed {
    /// Expected capacity within the time of the request.
    Any,
    /// A free slot by its last report as well.
    FreeSlot,
}

impl CallAttempts<'_> {
    /// Returns whether the endpoint of a daemon can be reached and runs the service.
    pub(super) fn is_usable(&self, record: &MemberRecord) -> bool {
        let Some(endpoint) = &record.endpoint else {
            return false;
        };
        let is_own = record.id == self.state.settings.borrow().id;
        endpoint.service == self.service
            && self.regions.allows(&record.region)
            && self.uses_zone(&record.zone)
            && endpoint.phase == EndpointPhase::Ready
            && (is_own || (!record.is_leaving && self.state.members.is_reachable(&record.id)))
    }

    /// Returns whether the request may go to a zone, which may be being evacuated.
    pub(super) fn uses_zone(&self, zone: &str) -> bool {
        let set = self.state.evacuations.borrow();
        if set.is_empty() {
            return true;
        }
        let bound = self.state.settings.borrow().bounds.evacuation;
        let share = set.avoided_share(zone, self.state.now(), bound.unwrap_or_default());
        share <= 0.0 || self.zone_point.get() > share
    }

    /// Returns whether the region of a daemon is known and allowed.
    pub(super) fn may_send_to(&self, member: &MemberId) -> bool {
        self.state.members.read(|table| {
            let record = table.get(member);
            record.is_some_and(|record| self.regions.allows(&record.region))
        })
    }

    /// Returns whether requests are still being moved away from a zone that is evacuated.
    fn is_evacuation_fading(&self) -> bool {
        let bound = self.state.settings.borrow().bounds.evacuation;
        bound.is_some_and(|bound| {
            let set = self.state.evacuations.borrow();
            set.is_fading(self.state.now(), bound)
        })
    }

    /// Chooses an endpoint of the version that the request goes to during a rollout, and has endpoints
    /// of other regions linked if they may be needed. If none can be chosen elsewhere, a zone that is
    /// being evacuated is used for as long as others use it.
    pub(super) fn choose(&self, need: EndpointNeed) -> Option<ChosenEndpoint> {
        let mut chooser = self.state.routing.chooser.borrow_mut();
        let point = || rand::rng().random_range(0.0..1.0);
        let mut chosen = self.choose_with(&mut chooser, need, point);
        if chosen.is_none() && self.is_evacuation_fading() {
            self.zone_point.set(1.0);
            chosen = self.choose_with(&mut chooser, need, point);
        }
        if self.needs_other_regions.take() {
            self.state.members.link_other_regions(self.state.now());
        }
        chosen
    }

    /// Chooses an endpoint with a chooser, which may be a copy. Nothing else that requests share is
    /// changed. `point` is a random one between 0 and 1.
    pub(super) fn choose_with(
        &self,
        chooser: &mut EndpointChooser,
        need: EndpointNeed,
        point: impl FnOnce() -> f64,
    ) -> Option<ChosenEndpoint> {
        let share = self.state.settings.borrow().bounds.canary_share;
        let rollouts = self.state.rollouts.borrow();
        let rollout = rollouts.get(&self.service);
        let choice = rollout.map(|rollout| {
            (
                rollout.choose(share, point()),
                rollout.order.version.clone(),
            )
        });
        drop(rollouts);
        let Some((choice, version)) = choice else {
            return self.choose_version(chooser, need, |_| true);
        };
        match choice {
            VersionChoice::OnlyNew => self.choose_version(chooser, need, |other| *other == version),
            VersionChoice::Old => self.choose_version(chooser, need, |other| *other != version),
            VersionChoice::New => self
                .choose_version(chooser, need, |other| *other == version)
                .or_else(|| self.choose_version(chooser, need, |other| *other != version)),
        }
    }

    fn choose_version(
        &self,
        chooser: &mut EndpointChooser,
        need: EndpointNeed,
        fits: impl Fn(&VersionName) -> bool,
    ) -> Option<ChosenEndpoint> {
        let region = self.state.settings.borrow().region.clone();
        let tried = self.tried.borrow();
        let now = self.state.now();
        let run = self.expected_run();
        self.state.members.read(|table| {
            let mut candidates = Vec::new();
            let mut versions = Vec::new();
            let mut tried_records = tried.iter().filter_map(|id| table.get(id));
            // The round trip to another region is too long to be refused there twice.
            let is_home = self.regions.allows(&region);
            let tried_remote = is_home && tried_records.any(|record| record.region != region);
            let mut is_served_locally = false;
            let has_large_answer = self.has_large_answer();
            let mut own = None;
            let usable: Vec<_> = table
                .iter()
                .filter(|record| self.is_usable(record))
                .collect();
            let reported = self.state.routing.endpoint_loads.borrow();
            let ids = usable.iter().map(|record| &record.id);
            let service_mean = reported.service_mean(ids, now);
            for record in usable {
                let endpoint = record.endpoint.as_ref()?;
                if !fits(&endpoint.version) {
                    continue;
                }
                let is_local = record.region == region;
                is_served_locally |= is_local;
                let is_remote_again = !is_local && tried_remote;
                let is_busy =
                    need == EndpointNeed::FreeSlot && !self.has_free_slot(chooser, &record.id);
                if is_busy
                    || is_remote_again
                    || !self.has_capacity(chooser, record, endpoint.slots, is_local)
                {
                    continue;
                }
                let slots = match is_local {
                    true => endpoint.slots.saturating_mul(LOCAL_SLOT_TENTHS) / 10,
                    false => endpoint.slots,
                };
                let mut pace = reported.relative_run_time(&record.id, service_mean);
                if has_large_answer && !run.is_zero() {
                    let wait = reported.uplink_wait(&record.id, now);
                    pace *= 1.0 + wait.as_secs_f64() / run.as_secs_f64();
                }
                let is_own = record.id == self.state.settings.borrow().id;
                if !is_own && self.has_large_body() && !run.is_zero() {
                    let wait = reported.receive_wait(&record.id, self.caller.rank, now);
                    pace *= 1.0 + wait.as_secs_f64() / run.as_secs_f64();
                }
                if is_own && self.prefers_own(chooser, &record.id) {
                    own = Some(candidates.len());
                }
                versions.push(&endpoint.version);
                candidates.push(Candidate {
                    id: &record.id,
                    zone: &record.zone,
                    region: &record.region,
                    slots,
                    reachable: true,
                    run_time_ratio: pace,
                    is_late: now + run.mul_f64(pace) > self.time_limit(),
                });
            }
            if !is_served_locally && !self.regions.is_empty() {
                self.needs_other_regions.set(true);
            }
            let chosen = chooser.choose(&candidates, &tried, now)?;
            let own = own.filter(|own| !tried.contains(candidates[*own].id));
            let index = own.unwrap_or(chosen);
            Some(ChosenEndpoint {
                member: candidates[index].id.clone(),
                version: versions[index].clone(),
            })
        })
    }

    /// Returns the result of a request for which no further endpoint can be chosen.
    pub(super) fn no_endpoint_result(&self, request: &str) -> CallResult {
        if self.shortest_wait.get().is_none() && self.regions.is_limited() {
            log_region_refusal(request, self.route, self.caller);
        }
        self.choice_refusal()
    }

    /// Returns the refusal that follows from the last choice, which found no endpoint.
    pub(super) fn choice_refusal(&self) -> CallResult {
        let Some(wait) = self.shortest_wait.get() else {
            return not_run(NotRunCause::Unreachable);
        };
        CallResult::NotRun(NotRunReport {
            cause: self.refused_for.get(),
            reached: false,
            retry_after_ms: millis(wait),
        })
    }

    /// Returns whether the endpoint of a daemon has a free slot by its last report. The report about
    /// the endpoint on this VM is always the current one.
    fn has_free_slot(&self, chooser: &EndpointChooser, id: &MemberId) -> bool {
        let load = chooser.load(id, self.state.now());
        if *id == self.state.settings.borrow().id {
            return has_free_slot(Some(&self.state.endpoint.load()), load);
        }
        let reported = self.state.routing.endpoint_loads.borrow();
        has_free_slot(reported.note(id), load)
    }

    /// Returns whether the endpoint on this VM is chosen before all others: it needs no network for a
    /// large answer, nor for a large body, for which it must have a free slot.
    fn prefers_own(&self, chooser: &EndpointChooser, own: &MemberId) -> bool {
        self.has_large_answer() || (self.has_large_body() && self.has_free_slot(chooser, own))
    }

    fn has_large_body(&self) -> bool {
        is_large(self.body_length)
    }

    /// Returns by how much the request's body would be late at a daemon's VM because of the bodies on
    /// their way to it; zero if the VM may accept it.
    fn body_excess(&self, id: &MemberId, reported: &ReportedLoads, now: Duration) -> Duration {
        let is_own = *id == self.state.settings.borrow().id;
        // A VM accepts late bodies, which have what others leave.
        if is_own || !self.has_large_body() || now >= self.finish_by {
            return Duration::ZERO;
        }
        let plan = BodyPlan {
            rank: self.caller.rank,
            length: self.body_length,
            run: self.expected_run(),
            left: self.finish_by - now,
        };
        reported.receive_excess(id, &plan, now)
    }

    /// Returns whether an endpoint may be asked to run the request. Records the expected wait otherwise.
    ///
    /// An endpoint of the local region is asked unless it has just refused such a request: its daemon
    /// knows its queue, reports about it are soon out of date, and to be refused takes little time.
    /// One of another region must be expected to finish the request in time, and its region must not
    /// have refused one lately. The network connection of the VM must be expected to carry a large
    /// answer in time, as a refusal has to pass it too, and to receive a large body in time.
    fn has_capacity(
        &self,
        chooser: &EndpointChooser,
        record: &MemberRecord,
        slots: u16,
        is_local: bool,
    ) -> bool {
        let capacity = self.capacity(chooser, record, slots, is_local);
        if capacity.is_short {
            self.needs_other_regions.set(true);
        }
        if capacity.is_link_full {
            self.refused_for.set(NotRunCause::LinkFull);
        }
        if !capacity.is_enough {
            self.note_refusal(record, capacity.wait);
        }
        capacity.is_enough
    }

    /// Records that an endpoint is not asked, and for which expected wait.
    fn note_refusal(&self, record: &MemberRecord, wait: Duration) {
        let best = self.shortest_wait.get();
        if best.is_some_and(|best| best <= wait) {
            return;
        }
        self.shortest_wait.set(Some(wait));
        let reported = self.state.routing.endpoint_loads.borrow();
        if reported.is_link_full(&record.id, self.refusal_scope(), self.state.now()) {
            self.refused_for.set(NotRunCause::LinkFull);
        }
    }

    /// Returns the expected capacity of an endpoint for the request.
    pub(super) fn capacity(
        &self,
        chooser: &EndpointChooser,
        record: &MemberRecord,
        slots: u16,
        is_local: bool,
    ) -> EndpointCapacity {
        let now = self.state.now();
        let load = chooser.load(&record.id, now);
        let reported = self.state.routing.endpoint_loads.borrow();
        let note = reported.note(&record.id);
        let behind = note.map_or(0, |note| note.waiting_behind(self.caller.rank));
        let mean = note.map_or(0, |note| note.run_ms);
        let mean = Duration::from_millis(u64::from(mean));
        let ahead = (load + 1).saturating_sub(u32::from(slots) + u32::from(behind));
        let run = self.expected_run();
        // Large answers wait for those before them, while the request waits and runs.
        let uplink_wait = match self.has_large_answer() {
            true => reported.uplink_wait(&record.id, now),
            false => Duration::ZERO,
        };
        let body_excess = self.body_excess(&record.id, &reported, now);
        let is_link_full = !body_excess.is_zero();
        let is_short = is_local && (ahead > 0 || uplink_wait > run || is_link_full);
        let scope = self.refusal_scope();
        let mut refused_for = reported.refused_for(&record.id, scope, now);
        // Requests that may only run in other regions have no better choice there.
        let is_home = self.regions.allows(&self.state.settings.borrow().region);
        if !is_local && is_home {
            let region_for = reported.refused_for(&record.region, scope, now);
            refused_for = refused_for.max(region_for);
        }
        let wait = (mean * ahead / u32::from(slots.max(1))).max(uplink_wait);
        let is_in_time = || now + LINK_RETURN_MARGIN * 2 + wait + run <= self.time_limit();
        // Without a wait for the link, an attempt after the target time may still use a free slot.
        let is_carried = uplink_wait.is_zero() || now + uplink_wait <= self.time_limit();
        let is_enough =
            refused_for.is_zero() && is_carried && !is_link_full && (is_local || is_in_time());
        EndpointCapacity {
            is_enough,
            is_short,
            is_link_full,
            wait: match is_enough {
                true => wait,
                false => wait.max(refused_for).max(body_excess),
            },
        }
    }
}
