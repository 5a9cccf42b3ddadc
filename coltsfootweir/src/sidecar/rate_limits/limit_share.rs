//! Tokens that a daemon has borrowed, and what it asks the holders for.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::MemberId;
use crate::sidecar::frame::TokenDemand;
use crate::sidecar::frame::TokenGrant;
use crate::sidecar::rate_limits::limit_bucket::REGION_SLOTS;
use crate::sidecar::rate_limits::limit_order::FORMER_TIME;
use crate::sidecar::teams::team::TeamName;

/// Time for which tokens may be used after they were asked for.
pub const TOKEN_VALIDITY: Duration = Duration::from_millis(300);

/// Time for which an answer of a holder is awaited: many round trips within a region.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);

/// Minimum time between two questions to a slot. At most 40 questions of some 60 bytes a second stay
/// below the 5 KB/s of control traffic of a daemon.
const QUESTION_PAUSE: Duration = Duration::from_millis(25);

/// Time of demand that one batch of tokens covers, a third of the validity of tokens.
const BATCH_TIME: Duration = Duration::from_millis(100);

/// Requests in [`BATCH_TIME`] from which on tokens are asked for in advance. With fewer, those would
/// often expire before the next request.
const MIN_BATCH: u32 = 4;

/// Time for which a slot without an answering holder is not asked again.
const SILENT_PAUSE: Duration = Duration::from_millis(200);

/// Wait of a team that the holder does not know yet, as a new configuration takes some time to reach
/// all daemons.
const UNKNOWN_WAIT: Duration = Duration::from_millis(100);

/// Time after which a team without requests is forgotten.
const FORGET_TIME: Duration = Duration::from_secs(60);

/// Largest number of tokens of a team in one question.
const MAX_BATCH: u32 = 10_000;

/// Time after which a search for the holder of a slot starts anew, so that the daemons that were asked
/// long ago are asked again before a pause. A daemon that does not answer takes [`ANSWER_TIMEOUT`] and
/// [`SILENT_PAUSE`].
const SEARCH_TIME: Duration = Duration::from_secs(1);

/// What a request of a team does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShareOutcome {
    /// It has a token.
    Taken,
    /// It waits for the answer of a slot, at most [`ANSWER_TIMEOUT`].
    Ask(usize),
    /// Both slots have no token; the time until the next one.
    Exceeded(Duration),
    /// No holder answered; the time until one is asked again.
    NoHolder(Duration),
}

/// A question to the holder of a slot.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitQuestion {
    /// Number that the response repeats.
    pub number: u32,
    /// Daemon to ask.
    pub peer: MemberId,
    /// Tokens to ask for.
    pub demands: Vec<TokenDemand>,
}

#[derive(Debug)]
struct PendingQuestion {
    number: u32,
    peer: MemberId,
    sent_at: Duration,
    teams: Vec<TeamName>,
    /// Whether all other daemons have been asked since the last pause.
    is_last: bool,
}

#[derive(Debug, Default)]
struct SlotState {
    /// Daemon that answered last as the holder, and the time of its answer.
    holder: Option<(MemberId, Duration)>,
    /// Daemons that were asked in vain since the last pause.
    missed: Vec<MemberId>,
    silent_until: Duration,
    sent_at: Option<Duration>,
    pending: Option<PendingQuestion>,
    wanting: BTreeSet<TeamName>,
}

impl SlotState {
    /// Returns the daemon to ask, and whether it is the last one of the search. The one that answered
    /// last is asked first while it may still lend, then that of the slot's position in the order, then
    /// the others.
    fn next_peer(
        &self,
        slot: usize,
        order: &[MemberId],
        now: Duration,
    ) -> Option<(MemberId, bool)> {
        let holder = self.holder.as_ref();
        let holder = holder.filter(|(id, at)| order.contains(id) || now < *at + FORMER_TIME);
        let first = holder.map(|(id, _)| id);
        let expected = order.get(slot.min(order.len().saturating_sub(1)));
        let search = first.into_iter().chain(expected).chain(order);
        let mut search = search.filter(|id| !self.missed.contains(id));
        let peer = search.next()?;
        let is_last = search.all(|id| id == peer);
        Some((peer.clone(), is_last))
    }
}

#[derive(Debug, Default)]
struct TeamShare {
    tokens: Vec<(u32, Duration)>,
    empty_until: [Duration; REGION_SLOTS],
    /// Requests without a token since the last question.
    unserved: u32,
    window_start: Duration,
    window_count: u32,
    last_count: u32,
}

impl TeamShare {
    fn count_request(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.window_start);
        if elapsed >= BATCH_TIME {
            let is_adjacent = elapsed < BATCH_TIME * 2;
            self.last_count = if is_adjacent { self.window_count } else { 0 };
            self.window_count = 0;
            self.window_start = now;
        }
        self.window_count = self.window_count.saturating_add(1);
    }

    fn take(&mut self, now: Duration) -> bool {
        self.tokens
            .retain(|(count, until)| *count > 0 && now < *until);
        let Some((count, _)) = self.tokens.first_mut() else {
            return false;
        };
        *count -= 1;
        true
    }
}

/// Borrowed tokens of all teams. Times are since the boot of the VM.
#[derive(Debug, Default)]
pub struct LimitShare {
    own_hash: u64,
    next_number: u32,
    slots: [SlotState; REGION_SLOTS],
    teams: HashMap<TeamName, TeamShare>,
}

impl LimitShare {
    /// Creates the state of a daemon without tokens.
    #[must_use]
    pub fn new(own: &MemberId) -> LimitShare {
        LimitShare {
            own_hash: xxh3_64(own.as_bytes()),
            ..LimitShare::default()
        }
    }

    /// Records the arrival of a request.
    pub fn count_request(&mut self, team: &TeamName, now: Duration) {
        self.team(team).count_request(now);
    }

    /// Takes a token if this daemon has one.
    pub fn take_held(&mut self, team: &TeamName, now: Duration) -> bool {
        self.teams.get_mut(team).is_some_and(|team| team.take(now))
    }

    /// Takes a token or returns what to do without one. `tried` are the slots for which this request
    /// has already waited.
    pub fn take(
        &mut self,
        team: &TeamName,
        tried: [bool; REGION_SLOTS],
        now: Duration,
    ) -> ShareOutcome {
        let first = (self.own_hash ^ xxh3_64(team.as_bytes())) as usize % REGION_SLOTS;
        let share = self.team(team);
        if share.take(now) {
            return ShareOutcome::Taken;
        }
        let empty_until = share.empty_until;
        let mut next_token: Option<Duration> = None;
        let mut next_try: Option<Duration> = None;
        for slot in [first, REGION_SLOTS - 1 - first] {
            if now < empty_until[slot] {
                let wait = empty_until[slot] - now;
                next_token = Some(next_token.map_or(wait, |held| held.min(wait)));
                continue;
            }
            let silent_until = self.slots[slot].silent_until;
            if tried[slot] || now < silent_until {
                let wait = silent_until.saturating_sub(now).max(QUESTION_PAUSE);
                next_try = Some(next_try.map_or(wait, |held| held.min(wait)));
                continue;
            }
            if self.slots[slot].wanting.insert(team.clone()) {
                self.team(team).unserved = 0;
            }
            let share = self.team(team);
            share.unserved = share.unserved.saturating_add(1);
            return ShareOutcome::Ask(slot);
        }
        match (next_token, next_try) {
            (Some(wait), _) => ShareOutcome::Exceeded(wait),
            (None, wait) => ShareOutcome::NoHolder(wait.unwrap_or(SILENT_PAUSE)),
        }
    }

    /// Returns the question to send to a slot now, if any. `order` are the daemons that may hold it,
    /// the most likely first, and then those that may still lend from before. Each of them is asked
    /// once before the search pauses.
    pub fn next_question(
        &mut self,
        slot: usize,
        order: &[MemberId],
        now: Duration,
    ) -> Option<LimitQuestion> {
        self.drop_overdue(slot, now);
        let state = &mut self.slots[slot];
        let is_paused = state.sent_at.is_some_and(|at| now < at + QUESTION_PAUSE);
        // The search for the holder does not wait, or it would take longer than requests do.
        let is_paused = is_paused && state.missed.is_empty();
        if state.pending.is_some() || state.wanting.is_empty() || is_paused {
            return None;
        }
        if now < state.silent_until || order.is_empty() {
            state.wanting.clear();
            return None;
        }
        if state.sent_at.is_some_and(|at| now >= at + SEARCH_TIME) {
            state.missed.clear();
        }
        let Some((peer, is_last)) = state.next_peer(slot, order, now) else {
            // The order became shorter during the search.
            state.missed.clear();
            state.silent_until = now + SILENT_PAUSE;
            state.wanting.clear();
            return None;
        };
        let teams: Vec<TeamName> = std::mem::take(&mut state.wanting).into_iter().collect();
        let mut demands = Vec::with_capacity(teams.len());
        for team in &teams {
            let Some(share) = self.teams.get_mut(team) else {
                continue;
            };
            let recent = share.last_count.max(share.window_count);
            let wanted = match recent >= MIN_BATCH {
                true => recent.max(share.unserved),
                false => share.unserved,
            };
            let wanted = wanted.clamp(1, MAX_BATCH);
            share.unserved = 0;
            demands.push(TokenDemand {
                team: team.clone(),
                wanted,
            });
        }
        self.next_number = self.next_number.wrapping_add(1);
        let number = self.next_number;
        let state = &mut self.slots[slot];
        state.sent_at = Some(now);
        state.pending = Some(PendingQuestion {
            number,
            peer: peer.clone(),
            sent_at: now,
            teams,
            is_last,
        });
        Some(LimitQuestion {
            number,
            peer,
            demands,
        })
    }

    /// Returns the time at which [`LimitShare::next_question`] may have something to do.
    #[must_use]
    pub fn next_due(&self) -> Option<Duration> {
        let mut due: Option<Duration> = None;
        for state in &self.slots {
            let at = match (&state.pending, state.sent_at) {
                (Some(pending), _) => pending.sent_at + ANSWER_TIMEOUT,
                (None, Some(sent_at)) if !state.wanting.is_empty() => sent_at + QUESTION_PAUSE,
                _ => continue,
            };
            due = Some(due.map_or(at, |held| held.min(at)));
        }
        due
    }

    /// Handles the response of a daemon. Returns the teams whose requests can go on; `None` if the
    /// question is not known or no longer awaited.
    pub fn on_granted(
        &mut self,
        peer: &MemberId,
        number: u32,
        grants: &[TokenGrant],
        now: Duration,
    ) -> Option<Vec<TeamName>> {
        let is_asked = |state: &SlotState| {
            let pending = state.pending.as_ref();
            pending.is_some_and(|pending| pending.number == number && pending.peer == *peer)
        };
        let slot = self.slots.iter().position(is_asked)?;
        if grants.is_empty() {
            return Some(self.miss(slot, now));
        }
        let state = &mut self.slots[slot];
        let pending = state.pending.take()?;
        state.holder = Some((pending.peer, now));
        state.missed.clear();
        for team in &pending.teams {
            let grant = grants.iter().find(|grant| grant.team == *team);
            let share = self.teams.entry(team.clone()).or_default();
            let Some(grant) = grant else {
                share.empty_until[slot] = now + UNKNOWN_WAIT;
                continue;
            };
            let validity = Duration::from_millis(u64::from(grant.valid_ms)).min(TOKEN_VALIDITY);
            // The time at which the question was sent is before that of the grant, so the network
            // can't extend the validity.
            let until = pending.sent_at + validity;
            if grant.granted > 0 && now < until {
                share.tokens.push((grant.granted, until));
            }
            if grant.next_ms > 0 {
                share.empty_until[slot] = now + Duration::from_millis(u64::from(grant.next_ms));
            }
        }
        Some(pending.teams)
    }

    /// Handles that a question can't be sent.
    pub fn on_unsent(&mut self, slot: usize, now: Duration) -> Vec<TeamName> {
        self.miss(slot, now)
    }

    /// Forgets teams without recent requests.
    pub fn forget_idle(&mut self, now: Duration) {
        self.teams
            .retain(|_, share| now < share.window_start + FORGET_TIME);
    }

    /// Returns the daemon that answered last as the holder of a slot.
    #[must_use]
    pub fn holder(&self, slot: usize) -> Option<&MemberId> {
        self.slots[slot].holder.as_ref().map(|(id, _)| id)
    }

    fn drop_overdue(&mut self, slot: usize, now: Duration) {
        let pending = self.slots[slot].pending.as_ref();
        if pending.is_some_and(|pending| now >= pending.sent_at + ANSWER_TIMEOUT) {
            let asked = pending.map(|pending| pending.teams.clone());
            self.miss(slot, now);
            let state = &mut self.slots[slot];
            // Their requests have waited long enough.
            for team in asked.unwrap_or_default() {
                state.wanting.remove(&team);
            }
            state.silent_until = now + SILENT_PAUSE;
        }
    }

    /// Goes on to the next daemon. Returns the teams whose requests need not wait any longer, if all
    /// have been asked.
    fn miss(&mut self, slot: usize, now: Duration) -> Vec<TeamName> {
        let state = &mut self.slots[slot];
        let Some(pending) = state.pending.take() else {
            return Vec::new();
        };
        state.missed.push(pending.peer);
        if pending.is_last {
            state.missed.clear();
            state.silent_until = now + SILENT_PAUSE;
            return pending.teams;
        }
        state.wanting.extend(pending.teams);
        Vec::new()
    }

    fn team(&mut self, team: &TeamName) -> &mut TeamShare {
        if !self.teams.contains_key(team) {
            self.teams.insert(team.clone(), TeamShare::default());
        }
        self.teams.get_mut(team).expect("inserted above")
    }
}
