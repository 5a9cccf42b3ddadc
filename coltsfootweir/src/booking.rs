//! Bookings run at most once.
//!
//! A booking with a minted key runs only at the daemon that minted it, in the incarnation that did.
//! A booking with a caller's key runs only at the daemon that claimed the key by a table row, in the
//! incarnation that did. So one ledger in memory decides on every run; when it is gone, the booking
//! is in doubt and never runs again. A claim row must outlive every repeat of its key that would be
//! claimed anew: the age of a key is looked at before the claim and again after it was written, so
//! that a claim that took effect after the removal of an earlier one is not run.
//!
//! "Not run" speaks of the attempt it answers. Where this ledger knows of an earlier attempt that
//! ran or may have run, it says so instead.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::SystemTime;

use crate::answer_cache::AnswerCache;
use crate::answer_cache::StoredAnswer;
use crate::booking_decision::BookingDecision;
use crate::booking_decision::ClaimRow;
use crate::booking_decision::LedgerLimits;
use crate::booking_entry::BookingEntry;
use crate::booking_entry::EntryState;
use crate::booking_key::BookingKey;
use crate::clock::ClockReading;
use crate::ids::Fingerprint;
use crate::ids::Incarnation;
use crate::ids::MemberId;
use crate::key_age::KeyAge;
use crate::outcome::DoubtReason;
use crate::outcome::RefusalReason;

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
        clock: ClockReading,
    ) -> BookingDecision {
        if let Some(decision) = self.check_owner(key) {
            return decision;
        }
        match self.entry(key) {
            Some(entry) => {
                let is_same = entry.fingerprint == fingerprint;
                self.resume(key, fingerprint, is_same, clock)
            }
            None => self.begin_new(key, fingerprint, clock.wall),
        }
    }

    /// Reports that the claim was committed; `wall` was read after the commit.
    pub fn claimed(&mut self, key: &BookingKey, wall: SystemTime) -> BookingDecision {
        let is_expired = self.is_expired(key, wall);
        match self.entry_mut(key) {
            Some(entry) if matches!(entry.state, EntryState::Claiming(_)) => {
                entry.admit(is_expired)
            }
            _ => BookingDecision::InDoubt(DoubtReason::AnswerDropped),
        }
    }

    /// Reports that the key was claimed before, and by which row; `wall` was read after the row.
    pub fn claim_lost(
        &mut self,
        key: &BookingKey,
        row: &ClaimRow,
        wall: SystemTime,
    ) -> BookingDecision {
        let is_expired = self.is_expired(key, wall);
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
            return entry.admit(is_expired);
        }
        let reason = if is_own {
            DoubtReason::AnswerDropped
        } else {
            DoubtReason::OwnerGone
        };
        entry.state = EntryState::Lost(reason);
        BookingDecision::InDoubt(reason)
    }

    /// Reports that it is not known whether the claim was written, or that it was not, or that no
    /// row could be read.
    pub fn claim_unknown(&mut self, key: &BookingKey, wall: SystemTime) -> BookingDecision {
        self.end_claim(key);
        if self.is_expired(key, wall) {
            return BookingDecision::InDoubt(DoubtReason::KeyExpired);
        }
        BookingDecision::NotRun(RefusalReason::StoreUnavailable)
    }

    /// Reports that the key has no claim row. Where the row may have been removed, nobody knows
    /// whether an earlier attempt ran.
    pub fn claim_missing(&mut self, key: &BookingKey, wall: SystemTime) -> BookingDecision {
        self.end_claim(key);
        match self.limits.ages.judge(key, wall) {
            KeyAge::Early => BookingDecision::NotRun(RefusalReason::KeyFromFuture),
            _ => BookingDecision::InDoubt(DoubtReason::KeyExpired),
        }
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
            EntryState::Claiming(_) => entry.end_claim(),
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
                Some(self.recall(key, is_same, now))
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

    fn begin_new(
        &mut self,
        key: &BookingKey,
        fingerprint: Fingerprint,
        wall: SystemTime,
    ) -> BookingDecision {
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
                self.claim(key, number, wall)
            }
        }
    }

    fn resume(
        &mut self,
        key: &BookingKey,
        fingerprint: Fingerprint,
        is_same: bool,
        clock: ClockReading,
    ) -> BookingDecision {
        let ticket = self.next_number;
        let Some(entry) = self.entry_mut(key) else {
            return BookingDecision::InDoubt(DoubtReason::AnswerDropped);
        };
        match entry.state {
            EntryState::ClaimUnknown(first_ticket) => {
                entry.fingerprint = fingerprint;
                entry.state = EntryState::Claiming(first_ticket);
                self.next_number += 1;
                self.claim(key, ticket, clock.wall)
            }
            EntryState::Held => {
                entry.fingerprint = fingerprint;
                entry.state = EntryState::Admitted;
                BookingDecision::Run
            }
            _ => self.recall(key, is_same, clock.now),
        }
    }

    /// Says what is known of a key that has an entry, without an attempt to run it.
    fn recall(&mut self, key: &BookingKey, is_same: bool, now: Duration) -> BookingDecision {
        let Some(entry) = self.entry(key) else {
            return BookingDecision::InDoubt(DoubtReason::AnswerDropped);
        };
        match &entry.state {
            EntryState::Owned(owner, incarnation) => {
                BookingDecision::Elsewhere(owner.clone(), *incarnation)
            }
            EntryState::Lost(reason) => BookingDecision::InDoubt(*reason),
            // Until the claim is settled, this very request may have run at a different daemon.
            EntryState::Claiming(_) | EntryState::ClaimUnknown(_) => {
                BookingDecision::InDoubt(DoubtReason::StillRunning)
            }
            _ if !is_same => BookingDecision::NotRun(RefusalReason::KeyReused),
            EntryState::Held | EntryState::Admitted | EntryState::Running => {
                BookingDecision::InDoubt(DoubtReason::StillRunning)
            }
            EntryState::Doubtful(reason) => BookingDecision::InDoubt(*reason),
            EntryState::Done => self.replay(key, now),
        }
    }

    /// Decides how to settle whose key it is: by a claim, or by a look where a claim is too late.
    fn claim(&self, key: &BookingKey, ticket: u64, wall: SystemTime) -> BookingDecision {
        match self.limits.ages.judge(key, wall) {
            KeyAge::Untimed | KeyAge::Current => BookingDecision::Claim(self.claim_row(ticket)),
            KeyAge::Expired | KeyAge::Early => BookingDecision::ReadClaim,
        }
    }

    fn is_expired(&self, key: &BookingKey, wall: SystemTime) -> bool {
        self.limits.ages.judge(key, wall) == KeyAge::Expired
    }

    fn end_claim(&mut self, key: &BookingKey) {
        if let Some(entry) = self.entry_mut(key) {
            entry.end_claim();
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
