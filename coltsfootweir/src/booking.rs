//! Bookings run at most once.
//!
//! A booking with a minted key runs only at the daemon that minted it, in the incarnation that did.
//! A booking with a caller's key runs only at the daemon that claimed the key by a table row, in the
//! incarnation that did. So one ledger in memory decides on every run; when it is gone, the booking
//! is in doubt and never runs again. Claim rows must outlive every repeat of their key.
//!
//! "Not run" speaks of the attempt it answers. Where this ledger knows of an earlier attempt that
//! ran or may have run, it says so instead.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::answer_cache::AnswerCache;
use crate::answer_cache::StoredAnswer;
use crate::booking_decision::BookingDecision;
use crate::booking_decision::ClaimRow;
use crate::booking_decision::LedgerLimits;
use crate::booking_key::BookingKey;
use crate::ids::Fingerprint;
use crate::ids::Incarnation;
use crate::ids::MemberId;
use crate::outcome::DoubtReason;
use crate::outcome::RefusalReason;

#[derive(Clone, Debug, Eq, PartialEq)]
enum EntryState {
    /// A claim is being written; the first claim since the entry was made had this ticket.
    Claiming(u64),
    /// A claim may have been written; first ticket as above.
    ClaimUnknown(u64),
    /// May run here and has not.
    Held,
    /// About to be handed over.
    Admitted,
    /// Handed over.
    Running,
    /// Ran; the cache may have the answer.
    Done,
    /// May have run here.
    Doubtful(DoubtReason),
    /// May have run in an earlier incarnation, or in this one before the key was forgotten; which
    /// request it was is not known.
    Lost(DoubtReason),
    /// Claimed by a different daemon.
    Owned(MemberId, Incarnation),
}

#[derive(Debug)]
struct BookingEntry {
    fingerprint: Fingerprint,
    state: EntryState,
    number: u64,
}

/// What one incarnation of a daemon knows of the bookings it may run.
#[derive(Debug)]
pub struct BookingLedger {
    member: MemberId,
    incarnation: Incarnation,
    limits: LedgerLimits,
    next_counter: u64,
    low_water: u64,
    next_number: u64,
    minted: BTreeMap<u64, BookingEntry>,
    callers: HashMap<Box<str>, BookingEntry>,
    caller_order: VecDeque<(u64, Box<str>)>,
    answers: AnswerCache,
}

impl BookingLedger {
    /// Makes the empty ledger of one incarnation of a daemon.
    #[must_use]
    pub fn new(member: MemberId, incarnation: Incarnation) -> BookingLedger {
        BookingLedger::with_limits(member, incarnation, LedgerLimits::default())
    }

    /// Makes an empty ledger with bounds.
    #[must_use]
    pub fn with_limits(
        member: MemberId,
        incarnation: Incarnation,
        limits: LedgerLimits,
    ) -> BookingLedger {
        BookingLedger {
            member,
            incarnation,
            limits,
            next_counter: 0,
            low_water: 0,
            next_number: 0,
            minted: BTreeMap::new(),
            callers: HashMap::new(),
            caller_order: VecDeque::new(),
            answers: AnswerCache::new(limits.answers),
        }
    }

    /// Mints a key that only this ledger may run.
    pub fn mint(&mut self) -> BookingKey {
        let counter = self.next_counter;
        self.next_counter += 1;
        self.low_water = self.next_counter.saturating_sub(self.limits.minted);
        self.forget_minted();
        BookingKey::Minted {
            member: self.member.clone(),
            incarnation: self.incarnation,
            counter,
        }
    }

    /// Decides on an attempt; `fingerprint` tells a repeat from a different request that came with
    /// the same key.
    pub fn begin(
        &mut self,
        key: &BookingKey,
        fingerprint: Fingerprint,
        now: Duration,
    ) -> BookingDecision {
        if let Some(decision) = self.check_owner(key) {
            return decision;
        }
        match self.entry(key) {
            Some(entry) => {
                let is_same = entry.fingerprint == fingerprint;
                self.resume(key, fingerprint, is_same, now)
            }
            None => self.begin_new(key, fingerprint),
        }
    }

    /// Reports that the claim was committed.
    pub fn claimed(&mut self, key: &BookingKey) -> BookingDecision {
        match self.entry_mut(key) {
            Some(entry) if matches!(entry.state, EntryState::Claiming(_)) => {
                entry.state = EntryState::Admitted;
                BookingDecision::Run
            }
            _ => BookingDecision::InDoubt(DoubtReason::AnswerDropped),
        }
    }

    /// Reports that the key was claimed before, and by which row.
    pub fn claim_lost(&mut self, key: &BookingKey, row: &ClaimRow) -> BookingDecision {
        let is_member = row.owner == self.member;
        let is_own = is_member && row.incarnation == self.incarnation;
        let Some(entry) = self.entry_mut(key) else {
            return BookingDecision::InDoubt(DoubtReason::AnswerDropped);
        };
        let EntryState::Claiming(first_ticket) = entry.state else {
            return BookingDecision::InDoubt(DoubtReason::StillRunning);
        };
        if !is_member {
            entry.state = EntryState::Owned(row.owner.clone(), row.incarnation);
            return BookingDecision::Elsewhere(row.owner.clone(), row.incarnation);
        }
        if is_own && row.ticket >= first_ticket {
            entry.state = EntryState::Admitted;
            return BookingDecision::Run;
        }
        let reason = if is_own {
            DoubtReason::AnswerDropped
        } else {
            DoubtReason::OwnerGone
        };
        entry.state = EntryState::Lost(reason);
        BookingDecision::InDoubt(reason)
    }

    /// Reports that it is not known whether the claim was written, or that it was not.
    pub fn claim_unknown(&mut self, key: &BookingKey) -> BookingDecision {
        if let Some(entry) = self.entry_mut(key)
            && let EntryState::Claiming(first_ticket) = entry.state
        {
            entry.state = EntryState::ClaimUnknown(first_ticket);
        }
        BookingDecision::NotRun(RefusalReason::StoreUnavailable)
    }

    /// Notes the hand-over to the upstream; when this returns `false` the booking must not be
    /// handed over.
    #[must_use]
    pub fn handed_over(&mut self, key: &BookingKey) -> bool {
        let Some(entry) = self.entry_mut(key) else {
            return false;
        };
        if entry.state != EntryState::Admitted {
            return false;
        }
        entry.state = EntryState::Running;
        true
    }

    /// Keeps the answer of a booking that ran, also one that came after [`BookingLedger::doubt`].
    pub fn finish(&mut self, key: &BookingKey, answer: StoredAnswer, now: Duration) {
        let Some(entry) = self.entry_mut(key) else {
            return;
        };
        if !matches!(entry.state, EntryState::Running | EntryState::Doubtful(_)) {
            return;
        }
        entry.state = EntryState::Done;
        self.answers.insert(key, answer, now);
    }

    /// Notes that an attempt was not run: it was not handed over, or the upstream refused it unrun.
    /// A repeat may run. An attempt given up while its claim is written ends this way too.
    pub fn not_run(&mut self, key: &BookingKey) {
        let Some(entry) = self.entry_mut(key) else {
            return;
        };
        match entry.state {
            EntryState::Claiming(first) => entry.state = EntryState::ClaimUnknown(first),
            EntryState::Admitted | EntryState::Running => entry.state = EntryState::Held,
            _ => {}
        }
    }

    /// Notes that a booking may have run.
    pub fn doubt(&mut self, key: &BookingKey, reason: DoubtReason) {
        if let Some(entry) = self.entry_mut(key)
            && entry.is_in_flight()
        {
            entry.state = EntryState::Doubtful(reason);
        }
    }

    /// Returns what is known of an earlier attempt that ran or may have run; starts none.
    pub fn look_up(
        &mut self,
        key: &BookingKey,
        fingerprint: Fingerprint,
        now: Duration,
    ) -> Option<BookingDecision> {
        if let Some(decision) = self.check_owner(key) {
            return matches!(decision, BookingDecision::InDoubt(_)).then_some(decision);
        }
        let Some(entry) = self.entry(key) else {
            let is_used =
                matches!(key, BookingKey::Minted { counter, .. } if *counter < self.low_water);
            return is_used.then_some(BookingDecision::InDoubt(DoubtReason::AnswerDropped));
        };
        match entry.state {
            EntryState::Running
            | EntryState::Done
            | EntryState::Doubtful(_)
            | EntryState::Lost(_) => {
                let is_same = entry.fingerprint == fingerprint;
                Some(self.resume(key, fingerprint, is_same, now))
            }
            _ => None,
        }
    }

    /// Returns whether the ledger remembers the key. Of a caller's key it does not, an attempt may
    /// be refused before the key is claimed, so that a different daemon can take it.
    #[must_use]
    pub fn knows(&self, key: &BookingKey) -> bool {
        self.check_owner(key).is_none() && self.entry(key).is_some()
    }

    /// Returns the keys remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.minted.len() + self.callers.len()
    }

    /// Returns whether no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.minted.is_empty() && self.callers.is_empty()
    }

    fn check_owner(&self, key: &BookingKey) -> Option<BookingDecision> {
        let BookingKey::Minted {
            member,
            incarnation,
            counter,
        } = key
        else {
            return None;
        };
        if *member != self.member {
            return Some(BookingDecision::Elsewhere(member.clone(), *incarnation));
        }
        if *incarnation != self.incarnation {
            return Some(BookingDecision::InDoubt(DoubtReason::OwnerGone));
        }
        if *counter >= self.next_counter {
            return Some(BookingDecision::NotRun(RefusalReason::BadKey));
        }
        None
    }

    fn begin_new(&mut self, key: &BookingKey, fingerprint: Fingerprint) -> BookingDecision {
        let number = self.next_number;
        self.next_number += 1;
        let mut entry = BookingEntry {
            fingerprint,
            state: EntryState::Admitted,
            number,
        };
        match key {
            BookingKey::Minted { counter, .. } => {
                if *counter < self.low_water {
                    return BookingDecision::InDoubt(DoubtReason::AnswerDropped);
                }
                self.minted.insert(*counter, entry);
                BookingDecision::Run
            }
            BookingKey::Caller(text) => {
                entry.state = EntryState::Claiming(number);
                self.callers.insert(text.clone(), entry);
                self.caller_order.push_back((number, text.clone()));
                self.forget_callers();
                BookingDecision::Claim(self.claim_row(number))
            }
        }
    }

    fn resume(
        &mut self,
        key: &BookingKey,
        fingerprint: Fingerprint,
        is_same: bool,
        now: Duration,
    ) -> BookingDecision {
        let ticket = self.next_number;
        let row = self.claim_row(ticket);
        let Some(entry) = self.entry_mut(key) else {
            return BookingDecision::InDoubt(DoubtReason::AnswerDropped);
        };
        match entry.state.clone() {
            EntryState::ClaimUnknown(first_ticket) => {
                entry.fingerprint = fingerprint;
                entry.state = EntryState::Claiming(first_ticket);
                self.next_number += 1;
                BookingDecision::Claim(row)
            }
            EntryState::Held => {
                entry.fingerprint = fingerprint;
                entry.state = EntryState::Admitted;
                BookingDecision::Run
            }
            EntryState::Owned(owner, incarnation) => BookingDecision::Elsewhere(owner, incarnation),
            EntryState::Lost(reason) => BookingDecision::InDoubt(reason),
            // Until the claim is settled, this very request may have run at a different daemon.
            EntryState::Claiming(_) => BookingDecision::InDoubt(DoubtReason::StillRunning),
            _ if !is_same => BookingDecision::NotRun(RefusalReason::KeyReused),
            EntryState::Admitted | EntryState::Running => {
                BookingDecision::InDoubt(DoubtReason::StillRunning)
            }
            EntryState::Doubtful(reason) => BookingDecision::InDoubt(reason),
            EntryState::Done => self.replay(key, now),
        }
    }

    fn replay(&mut self, key: &BookingKey, now: Duration) -> BookingDecision {
        match self.answers.get(key, now) {
            Some(answer) => BookingDecision::Replay(answer.clone()),
            None => BookingDecision::InDoubt(DoubtReason::AnswerDropped),
        }
    }

    fn claim_row(&self, ticket: u64) -> ClaimRow {
        ClaimRow {
            owner: self.member.clone(),
            incarnation: self.incarnation,
            ticket,
        }
    }

    fn entry(&self, key: &BookingKey) -> Option<&BookingEntry> {
        match key {
            BookingKey::Minted { counter, .. } => self.minted.get(counter),
            BookingKey::Caller(text) => self.callers.get(text),
        }
    }

    fn entry_mut(&mut self, key: &BookingKey) -> Option<&mut BookingEntry> {
        match key {
            BookingKey::Minted { counter, .. } => self.minted.get_mut(counter),
            BookingKey::Caller(text) => self.callers.get_mut(text),
        }
    }

    /// Forgets minted keys below the low-water mark; they count as used without an entry.
    fn forget_minted(&mut self) {
        let mut forgotten = Vec::new();
        for (counter, entry) in self.minted.range(..self.low_water) {
            if !entry.is_in_flight() {
                forgotten.push(*counter);
            }
        }
        for counter in forgotten {
            self.minted.remove(&counter);
        }
    }

    /// Forgets the oldest callers' keys; their claim rows keep them from running again.
    fn forget_callers(&mut self) {
        for _ in 0..self.caller_order.len() {
            if self.callers.len() <= self.limits.callers {
                return;
            }
            let Some((number, text)) = self.caller_order.pop_front() else {
                return;
            };
            match self.callers.get(&text) {
                Some(entry) if entry.number == number && entry.is_in_flight() => {
                    self.caller_order.push_back((number, text));
                }
                Some(entry) if entry.number == number => {
                    self.callers.remove(&text);
                }
                _ => {}
            }
        }
    }
}

impl BookingEntry {
    fn is_in_flight(&self) -> bool {
        matches!(
            self.state,
            EntryState::Claiming(_) | EntryState::Admitted | EntryState::Running
        )
    }
}
