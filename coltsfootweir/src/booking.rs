//! In-memory ledger that runs each booking at most once.
//!
//! A minted key is valid only at the daemon and in the incarnation that minted it. A caller's key is
//! valid only at the daemon and in the incarnation that claimed it with a table row. A single ledger
//! therefore decides on every run of a key. When that ledger is lost, the booking is in doubt and
//! never runs again.
//!
//! A claim row must outlive every repeat of its key that could be claimed again. The ledger checks
//! the age of a key before the claim and again after the claim was written, so that a claim written
//! after the removal of an earlier one does not run.
//!
//! "Not run" describes only the attempt that it answers. If the ledger has a record of an earlier
//! attempt that ran or may have run, the decision reports that attempt instead.

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

/// Bookings that one incarnation of a daemon ran or may run.
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
    /// Creates an empty ledger with the default limits.
    #[must_use]
    pub fn new(member: MemberId, incarnation: Incarnation) -> BookingLedger {
        BookingLedger::with_limits(member, incarnation, LedgerLimits::default())
    }

    /// Creates an empty ledger with the given limits.
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

    /// Mints a key that is valid only in this ledger.
    pub fn mint(&mut self) -> BookingKey {
        let counter = self.next_counter;
        self.next_counter += 1;
        self.low_water = self.next_counter.saturating_sub(self.limits.minted);
        self.evict_minted();
        BookingKey::Minted {
            member: self.member.clone(),
            incarnation: self.incarnation,
            counter,
        }
    }

    /// Decides what to do with an attempt.
    ///
    /// `fingerprint` distinguishes a repeat from a different request with the same key.
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
                self.retry(key, fingerprint, is_same, clock)
            }
            None => self.begin_new(key, fingerprint, clock.wall),
        }
    }

    /// Records that the claim was committed. `wall` must be read after the commit.
    pub fn on_claimed(&mut self, key: &BookingKey, wall: SystemTime) -> BookingDecision {
        let is_expired = self.is_expired(key, wall);
        match self.entry_mut(key) {
            Some(entry) if matches!(entry.state, EntryState::Claiming(_)) => {
                entry.admit(is_expired)
            }
            _ => BookingDecision::InDoubt(DoubtReason::AnswerDropped),
        }
    }

    /// Records that `row` had already claimed the key. `wall` must be read after the row.
    pub fn on_claim_taken(
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
            entry.state = EntryState::OwnedElsewhere(row.owner.clone(), row.incarnation);
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
        entry.state = EntryState::LostRecord(reason);
        BookingDecision::InDoubt(reason)
    }

    /// Records that the claim was not written, may not have been written, or could not be read.
    pub fn on_claim_unknown(&mut self, key: &BookingKey, wall: SystemTime) -> BookingDecision {
        self.mark_claim_unknown(key);
        if self.is_expired(key, wall) {
            return BookingDecision::InDoubt(DoubtReason::KeyExpired);
        }
        BookingDecision::NotRun(RefusalReason::StoreUnavailable)
    }

    /// Records that the key has no claim row.
    ///
    /// The booking is in doubt if the row may have been removed, because an earlier attempt may have
    /// run.
    pub fn on_claim_missing(&mut self, key: &BookingKey, wall: SystemTime) -> BookingDecision {
        self.mark_claim_unknown(key);
        match self.limits.ages.classify(key, wall) {
            KeyAge::FromFuture => BookingDecision::NotRun(RefusalReason::KeyFromFuture),
            _ => BookingDecision::InDoubt(DoubtReason::KeyExpired),
        }
    }

    /// Records that the booking is handed over to the upstream.
    ///
    /// Returns `false` if the booking must not be handed over.
    #[must_use]
    pub fn mark_running(&mut self, key: &BookingKey) -> bool {
        let Some(entry) = self.entry_mut(key) else {
            return false;
        };
        if entry.state != EntryState::Admitted {
            return false;
        }
        entry.state = EntryState::Running;
        true
    }

    /// Records that a booking ran, and stores its answer. An answer that arrives after
    /// [`BookingLedger::mark_in_doubt`] is stored too.
    pub fn mark_done(&mut self, key: &BookingKey, answer: StoredAnswer, now: Duration) {
        let Some(entry) = self.entry_mut(key) else {
            return;
        };
        if !matches!(entry.state, EntryState::Running | EntryState::InDoubt(_)) {
            return;
        }
        entry.state = EntryState::Done;
        self.answers.insert(key, answer, now);
    }

    /// Records that an attempt did not run, so that a repeat may run.
    ///
    /// This covers attempts that were not handed over, attempts that the upstream refused without
    /// running them, and attempts abandoned while their claim was being written.
    pub fn mark_not_run(&mut self, key: &BookingKey) {
        let Some(entry) = self.entry_mut(key) else {
            return;
        };
        match entry.state {
            EntryState::Claiming(_) => entry.mark_claim_unknown(),
            EntryState::Admitted | EntryState::Running => entry.state = EntryState::Runnable,
            _ => {}
        }
    }

    /// Records that a booking may have run.
    pub fn mark_in_doubt(&mut self, key: &BookingKey, reason: DoubtReason) {
        if let Some(entry) = self.entry_mut(key)
            && entry.is_in_flight()
        {
            entry.state = EntryState::InDoubt(reason);
        }
    }

    /// Returns the decision for an earlier attempt that ran or may have run. Starts no attempt.
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
            | EntryState::InDoubt(_)
            | EntryState::LostRecord(_) => {
                let is_same = entry.fingerprint == fingerprint;
                Some(self.decide_repeat(key, is_same, now))
            }
            _ => None,
        }
    }

    /// Returns whether the ledger has an entry for the key.
    ///
    /// An attempt with a caller's key that has no entry may be refused before the key is claimed, so
    /// that a different daemon can claim it.
    #[must_use]
    pub fn has_entry(&self, key: &BookingKey) -> bool {
        self.check_owner(key).is_none() && self.entry(key).is_some()
    }

    /// Returns the number of keys with an entry.
    #[must_use]
    pub fn len(&self) -> usize {
        self.minted.len() + self.callers.len()
    }

    /// Returns whether no key has an entry.
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
                self.evict_callers();
                self.decide_claim(key, number, wall)
            }
        }
    }

    fn retry(
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
                self.decide_claim(key, ticket, clock.wall)
            }
            EntryState::Runnable => {
                entry.fingerprint = fingerprint;
                entry.state = EntryState::Admitted;
                BookingDecision::Run
            }
            _ => self.decide_repeat(key, is_same, clock.now),
        }
    }

    /// Returns the decision for a key that has an entry, without starting an attempt.
    fn decide_repeat(&mut self, key: &BookingKey, is_same: bool, now: Duration) -> BookingDecision {
        let Some(entry) = self.entry(key) else {
            return BookingDecision::InDoubt(DoubtReason::AnswerDropped);
        };
        match &entry.state {
            EntryState::OwnedElsewhere(owner, incarnation) => {
                BookingDecision::Elsewhere(owner.clone(), *incarnation)
            }
            EntryState::LostRecord(reason) => BookingDecision::InDoubt(*reason),
            // Until the claim is resolved, this request may have run at a different daemon.
            EntryState::Claiming(_) | EntryState::ClaimUnknown(_) => {
                BookingDecision::InDoubt(DoubtReason::StillRunning)
            }
            _ if !is_same => BookingDecision::NotRun(RefusalReason::KeyReused),
            EntryState::Runnable | EntryState::Admitted | EntryState::Running => {
                BookingDecision::InDoubt(DoubtReason::StillRunning)
            }
            EntryState::InDoubt(reason) => BookingDecision::InDoubt(*reason),
            EntryState::Done => self.replay(key, now),
        }
    }

    /// Chooses between claiming the key and only reading its claim row. A key whose age is out of
    /// bounds must not be claimed.
    fn decide_claim(&self, key: &BookingKey, ticket: u64, wall: SystemTime) -> BookingDecision {
        match self.limits.ages.classify(key, wall) {
            KeyAge::Untimed | KeyAge::Current => BookingDecision::Claim(self.claim_row(ticket)),
            KeyAge::Expired | KeyAge::FromFuture => BookingDecision::ReadClaim,
        }
    }

    fn is_expired(&self, key: &BookingKey, wall: SystemTime) -> bool {
        self.limits.ages.classify(key, wall) == KeyAge::Expired
    }

    fn mark_claim_unknown(&mut self, key: &BookingKey) {
        if let Some(entry) = self.entry_mut(key) {
            entry.mark_claim_unknown();
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

    /// Removes entries of minted keys below the low-water mark. Those keys count as used without an
    /// entry.
    fn evict_minted(&mut self) {
        let mut evicted = Vec::new();
        for (counter, entry) in self.minted.range(..self.low_water) {
            if !entry.is_in_flight() {
                evicted.push(*counter);
            }
        }
        for counter in evicted {
            self.minted.remove(&counter);
        }
    }

    /// Removes the oldest entries of callers' keys. Their claim rows prevent another run.
    fn evict_callers(&mut self) {
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
