//! Admission of requests with a rank, and what they wait for.

use std::time::Duration;

use super::AdmitDecision;
use super::GuardEvent;
use super::GuardState;
use super::QUICK_RUN_DIVISOR;
use super::RankedRequest;
use crate::outcome::RefusalReason;
use crate::sidecar::fair_queue::TeamHash;
use crate::sidecar::fair_queue::share_refusal::ShareRefusal;
use crate::sidecar::fair_queue::wait_queue::QueuePlace;
use crate::sidecar::fair_queue::wait_queue::WaitingRequest;

impl GuardState {
    /// Decides on a request with a rank. It waits only behind requests of more urgent ranks, and of the
    /// same rank if they must finish earlier: short calls that running requests wait for would
    /// otherwise be late behind long requests that have time. Teams share the slots that are left by
    /// requests without a team (`sidecar::fair_queue`). If the queue is full, it displaces the last request of a
    /// less urgent rank, or one of the team with the most waiting work; the returned events contain
    /// that refusal.
    pub fn arrive_ranked(
        &mut self,
        id: u64,
        request: RankedRequest,
        now: Duration,
    ) -> (AdmitDecision, Vec<GuardEvent>) {
        let mut events = Vec::new();
        let refusal = self.ranked_refusal(&request, now);
        if let Some(reason) = refusal {
            return (AdmitDecision::Refuse(reason), events);
        }
        if !self.can_start(now) && self.waiting.len() >= self.queue_limit {
            let (rank, team, run) = (request.rank, request.team, request.run);
            let Some(displaced) = self.waiting.displace(rank, team, run) else {
                let decision = AdmitDecision::Refuse(RefusalReason::Overloaded);
                return (decision, events);
            };
            events.push(GuardEvent::Refuse(displaced.id, RefusalReason::Overloaded));
        }
        let request = WaitingRequest {
            id,
            rank: request.rank,
            team: request.team,
            order: request.finish_by,
            deadline: request.finish_by,
            run: Some(request.run),
        };
        (self.admit(request, now), events)
    }

    fn ranked_refusal(&self, request: &RankedRequest, now: Duration) -> Option<RefusalReason> {
        if let Some(reason) = self.phase_refusal() {
            return Some(reason);
        }
        if now >= request.finish_by {
            return Some(RefusalReason::DeadlinePassed);
        }
        let is_too_late = if self.can_start(now) {
            // An idle upstream runs even a request that seems too long: without new runs, a wrong
            // estimate would never be corrected.
            let least_time = request.run / QUICK_RUN_DIVISOR;
            !self.running.is_empty() && now + least_time > request.finish_by
        } else {
            self.is_late_at(&self.place(request), request, now)
        };
        is_too_late.then_some(RefusalReason::Overloaded)
    }

    /// Returns whether a request that waits at `place` could not end in time.
    fn is_late_at(&self, place: &QueuePlace, request: &RankedRequest, now: Duration) -> bool {
        let wait = self.slot_wait(place, request.wait_factor);
        let wait = wait.max(self.pacer.token_wait(self.waiting.count_ahead(place), now));
        now + wait + request.run > request.finish_by
    }

    /// Returns why a request of a team that arrived at `now` was refused for lack of capacity.
    #[must_use]
    pub fn share_refusal(&self, request: &RankedRequest, now: Duration) -> Option<ShareRefusal> {
        request.team?;
        let unused = self.waiting.unused_place(request.rank, request.finish_by);
        Some(if !self.is_late_at(&self.place(request), request, now) {
            ShareRefusal::QueueFull
        } else if !self.is_late_at(&unused, request, now) {
            ShareRefusal::OverShare
        } else {
            ShareRefusal::NoCapacity
        })
    }

    /// Returns the wait for a slot that the present queue suggests for a request that arrives now.
    #[must_use]
    pub fn expected_wait(&self, request: &RankedRequest) -> Duration {
        self.wait_at(&self.place(request))
    }

    fn wait_at(&self, place: &QueuePlace) -> Duration {
        self.slot_wait(place, 1.0)
    }

    /// Returns the wait for a slot at `place`. The factor is for requests that arrive later and go
    /// first; the pace of the teams already includes these.
    fn slot_wait(&self, place: &QueuePlace, wait_factor: f64) -> Duration {
        if self.has_free_slot() {
            return Duration::ZERO;
        }
        let mean = self.expected_run();
        // A slot becomes free after a part of the mean run time.
        let runs = mean + self.waiting.work_ahead(place, mean);
        let wait = runs / u32::from(self.slots.max(1));
        let wait = wait.mul_f64(wait_factor);
        wait.max(self.waiting.pace_wait(place, self.slots))
    }

    /// Returns the expected wait for a slot of a request that arrives now with this rank and team. One
    /// of a team waits behind the others of its team.
    #[must_use]
    pub fn wait_time(&self, rank: u8, team: Option<TeamHash>) -> Duration {
        if self.has_free_slot() {
            return Duration::ZERO;
        }
        let place = self.waiting.place(rank, team, Duration::MAX);
        match team {
            Some(_) => self.wait_at(&place),
            None => self.wait_behind(self.waiting.count_ahead(&place)),
        }
    }

    /// Returns the expected wait for a slot of a request of a team that has used no more than others.
    #[must_use]
    pub fn unused_wait(&self, rank: u8) -> Duration {
        self.wait_at(&self.waiting.unused_place(rank, Duration::MAX))
    }

    /// Returns the time until a request that arrives now with this rank, team and deadline may start at
    /// a cold upstream, apart from the wait for a slot.
    #[must_use]
    pub fn token_wait(
        &self,
        rank: u8,
        team: Option<TeamHash>,
        deadline: Duration,
        now: Duration,
    ) -> Duration {
        let place = self.waiting.place(rank, team, deadline);
        self.pacer.token_wait(self.waiting.count_ahead(&place), now)
    }

    fn place(&self, request: &RankedRequest) -> QueuePlace {
        let (rank, team) = (request.rank, request.team);
        self.waiting.place(rank, team, request.finish_by)
    }
}
