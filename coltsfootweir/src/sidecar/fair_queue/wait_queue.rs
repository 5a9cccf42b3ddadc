//! The requests that wait for a slot, in the order in which they start.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use super::TeamHash;
use super::team_tags::TeamCharge;
use super::team_tags::TeamTags;

/// A request that waits for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaitingRequest {
    /// Id at the guard.
    pub id: u64,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Team; `None` for requests that are not shared between teams.
    pub team: Option<TeamHash>,
    /// Position within the rank, or among the requests of its team: the arrival, or the finish time if
    /// the rank is known.
    pub order: Duration,
    /// Time by which it must have ended.
    pub deadline: Duration,
    /// Expected run time; without it, the mean of all requests is used.
    pub run: Option<Duration>,
}

impl WaitingRequest {
    fn charged_run(&self) -> Duration {
        self.run.unwrap_or_default()
    }
}

/// Place of a request in the order of the queue.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueuePlace {
    rank: u8,
    is_team: bool,
    start: Duration,
    order: Duration,
}

#[derive(Clone, Copy, Debug)]
struct QueuedRequest {
    place: QueuePlace,
    request: WaitingRequest,
}

impl QueuedRequest {
    fn is_of(&self, rank: u8, team: TeamHash) -> bool {
        self.request.rank == rank && self.request.team == Some(team)
    }
}

/// Waiting requests in order, and the tags of the teams.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    queued: VecDeque<QueuedRequest>,
    tags: TeamTags,
}

impl WaitQueue {
    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.queued.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// Returns the waiting requests in the order in which they start.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingRequest> {
        self.queued.iter().map(|queued| &queued.request)
    }

    /// Returns the ranks and counts of the waiting requests, the most urgent rank first.
    #[must_use]
    pub fn counts_by_rank(&self) -> Vec<(u8, u16)> {
        let mut counts: Vec<(u8, u16)> = Vec::new();
        for request in self.iter() {
            match counts.last_mut() {
                Some((rank, count)) if *rank == request.rank => *count = count.saturating_add(1),
                _ => counts.push((request.rank, 1)),
            }
        }
        counts
    }

    /// Returns the tags of the teams.
    #[must_use]
    pub fn tags(&self) -> &TeamTags {
        &self.tags
    }

    /// Returns the place of a new request. A team's requests take its start tags by `order`.
    #[must_use]
    pub fn place(&self, rank: u8, team: Option<TeamHash>, order: Duration) -> QueuePlace {
        QueuePlace {
            rank,
            is_team: team.is_some(),
            start: team.map_or(Duration::ZERO, |team| self.start_tag(rank, team, order)),
            order,
        }
    }

    /// Returns the place of a new request of a team that has used no more than the others.
    #[must_use]
    pub fn unused_place(&self, rank: u8, order: Duration) -> QueuePlace {
        QueuePlace {
            rank,
            is_team: true,
            start: self.tags.virtual_time(rank),
            order,
        }
    }

    fn start_tag(&self, rank: u8, team: TeamHash, order: Duration) -> Duration {
        let mut start = self.tags.start_tag(rank, team);
        if self.tags.waiting_work(rank, team).0 == 0 {
            return start;
        }
        for queued in &self.queued {
            if queued.is_of(rank, team) && queued.request.order <= order {
                start += queued.request.charged_run();
            }
        }
        start
    }

    /// Returns the number of waiting requests that start before a new one at `place`, if no other
    /// arrives.
    #[must_use]
    pub fn count_ahead(&self, place: &QueuePlace) -> usize {
        self.queued.partition_point(|queued| queued.place <= *place)
    }

    /// Returns the expected run time of the requests that start before a new one at `place`; `mean` is that
    /// of requests without an own one.
    #[must_use]
    pub fn work_ahead(&self, place: &QueuePlace, mean: Duration) -> Duration {
        let ahead = self.iter().take(self.count_ahead(place));
        ahead.map(|request| request.run.unwrap_or(mean)).sum()
    }

    /// Returns the wait at `place` that follows from the pace at which teams were served while they
    /// waited. Requests of other teams that arrive later may go first; this wait includes them.
    #[must_use]
    pub fn pace_wait(&self, place: &QueuePlace, slots: u16) -> Duration {
        match place.is_team {
            true => self.tags.pace_wait(place.rank, place.start, slots),
            false => Duration::ZERO,
        }
    }

    /// Adds a request.
    pub fn push(&mut self, request: WaitingRequest) {
        let place = self.place(request.rank, request.team, request.order);
        let position = self.count_ahead(&place);
        self.queued
            .insert(position, QueuedRequest { place, request });
        if let Some(team) = request.team {
            self.tags
                .add_waiting(request.rank, team, request.charged_run());
            self.renew_places(request.rank, team);
        }
    }

    /// Returns the request that starts next.
    #[must_use]
    pub fn first(&self) -> Option<WaitingRequest> {
        self.queued.front().map(|queued| queued.request)
    }

    /// Removes the first request, which does not start.
    pub fn remove_first(&mut self) {
        if let Some(first) = self.queued.pop_front() {
            self.on_removed(&first.request);
        }
    }

    /// Removes the first request, which starts now, and charges its team.
    pub fn start_first(&mut self, now: Duration) -> Option<TeamCharge> {
        let request = self.queued.pop_front()?.request;
        let (rank, team, run) = (request.rank, request.team?, request.charged_run());
        let charge = self.tags.start_waiting(rank, team, run, now);
        self.tags.remove_waiting(rank, team, run);
        Some(charge)
    }

    /// Charges a request that starts without having waited.
    pub fn start_at_once(&mut self, request: &WaitingRequest) -> Option<TeamCharge> {
        let run = request.charged_run();
        let team = request.team?;
        Some(self.tags.start_at_once(request.rank, team, run))
    }

    /// Corrects the tags for a request that was charged and held its slot for `run`.
    pub fn end_run(&mut self, charge: Option<TeamCharge>, run: Duration) {
        let Some(charge) = charge else {
            return;
        };
        self.tags.end(charge, run);
        self.renew_places(charge.rank(), charge.team());
    }

    /// Removes the requests that are not `kept` and returns them in order.
    pub fn remove_unless(&mut self, kept: impl Fn(&WaitingRequest) -> bool) -> Vec<WaitingRequest> {
        let mut removed = Vec::new();
        self.queued.retain(|queued| {
            let is_kept = kept(&queued.request);
            if !is_kept {
                removed.push(queued.request);
            }
            is_kept
        });
        let mut teams = BTreeSet::new();
        for request in &removed {
            let Some(team) = request.team else {
                continue;
            };
            let run = request.charged_run();
            self.tags.remove_waiting(request.rank, team, run);
            teams.insert((request.rank, team));
        }
        for (rank, team) in teams {
            self.renew_places(rank, team);
        }
        removed
    }

    /// Makes room for a new request in a full queue: removes the last request of a less urgent rank, or
    /// else the last one of the team with the most waiting work in its rank. A new request of a team
    /// gets no room from teams with less waiting work than its own.
    pub fn displace(
        &mut self,
        rank: u8,
        team: Option<TeamHash>,
        run: Duration,
    ) -> Option<WaitingRequest> {
        if let Some(last) = self.queued.pop_back_if(|last| last.request.rank > rank) {
            self.on_removed(&last.request);
            return Some(last.request);
        }
        let (most_team, most_count, most_work) = self.tags.most_waiting(rank)?;
        if let Some(team) = team {
            let (count, work) = self.tags.waiting_work(rank, team);
            if team == most_team || (most_work, most_count) <= (work + run, count + 1) {
                return None;
            }
        }
        let mut from_last = self.queued.iter().rev();
        let from_end = from_last.position(|queued| queued.is_of(rank, most_team))?;
        let last = self.queued.remove(self.queued.len() - 1 - from_end)?;
        self.on_removed(&last.request);
        Some(last.request)
    }

    fn on_removed(&mut self, request: &WaitingRequest) {
        let Some(team) = request.team else {
            return;
        };
        self.tags
            .remove_waiting(request.rank, team, request.charged_run());
        self.renew_places(request.rank, team);
    }

    /// Gives the requests of a team their start tags anew, and sorts the queue if one has changed. The
    /// requests of one team keep their order among themselves.
    fn renew_places(&mut self, rank: u8, team: TeamHash) {
        if self.tags.waiting_work(rank, team).0 == 0 {
            return;
        }
        let mut start = self.tags.start_tag(rank, team);
        let mut has_changed = false;
        for queued in &mut self.queued {
            if !queued.is_of(rank, team) {
                continue;
            }
            has_changed |= queued.place.start != start;
            queued.place.start = start;
            start += queued.request.charged_run();
        }
        if has_changed {
            let queued = self.queued.make_contiguous();
            queued.sort_by_key(|queued| queued.place);
        }
    }
}
