//! Leases of the holder slots of a region: which slots this daemon takes, renews and releases.
//!
//! A lease is a row of the store. All writes are conditional on the version that was last seen, so a
//! write that takes effect late changes nothing once another daemon has written.
//!
//! A holder that has lost the store hands its slots over: a candidate that has read the row of a slot
//! reports its version, and the holder stops lending and lets the candidates write on the condition of
//! that version.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Incarnation;
use crate::ids::MemberId;
use crate::sidecar::platform_adapter::StoreFault;
use crate::sidecar::rate_limits::limit_bucket::REGION_SLOTS;
use crate::sidecar::store_era::store_version::StoreVersion;

/// Time for which a holder relies on its lease, from the start of its last successful renewal. A
/// slow store answers a renewal within 0.7 s, so that several may fail.
pub const LEASE_TIME: Duration = Duration::from_secs(6);

/// Time between two renewals, and between two reads of the rows by a daemon that waits for a slot.
pub const RENEW_PAUSE: Duration = Duration::from_secs(1);

/// Time in addition to [`LEASE_TIME`] for which a row must stand unchanged before another daemon
/// takes the slot. It allows for clocks that run at different speeds.
pub const TAKE_MARGIN: Duration = Duration::from_millis(500);

/// Time after the start of a run before it takes or hands over the slot of its daemon's earlier run: the
/// validity of tokens that the earlier run lent.
const RESTART_PAUSE: Duration = Duration::from_millis(300);

/// Time by which a daemon that is not the first choice for a free slot leaves it to the one that is:
/// two of the other's reads.
const YIELD_TIME: Duration = Duration::from_secs(2);

/// [`YIELD_TIME`] for a slot that was handed over: the first choice got the frame at the same time and
/// needs a pause between two checks and a call to the store.
const OFFER_YIELD_TIME: Duration = Duration::from_millis(400);

/// Age of the last successful renewal from which on a holder with failed renewals counts as cut off from
/// the store. Renewals of both slots at a store that answers within 0.7 s are at most 2.1 s old.
const CUT_OFF_AGE: Duration = Duration::from_millis(2_500);

/// Failed calls since the last successful write from which on a holder counts as cut off. Without them,
/// a VM that was frozen would hand over its slots although the store answers.
const CUT_OFF_FAILURES: u32 = 2;

/// Time for which the report of a candidate tells that it reaches the store: the pause between its
/// reads, and the time that a slow store takes.
const REPORT_TIME: Duration = Duration::from_secs(2);

/// Time for which a daemon leaves a slot that it has handed over to the candidates.
const HAND_OVER_TIME: Duration = Duration::from_secs(2);

/// Content of a row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRow {
    /// Daemon that holds the slot.
    pub holder: MemberId,
    /// Run of the daemon.
    pub run: Incarnation,
    /// Number of writes of the run, so that each renewal changes the row.
    pub count: u64,
    /// Whether the slot is free.
    pub is_released: bool,
}

/// Position of this daemon among those that may hold slots.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LeaseCandidate {
    /// Position in the order of the region; `None` if the daemon is too far back to hold a slot.
    pub rank: Option<usize>,
    /// Whether another daemon of the first ones is reachable.
    pub has_others: bool,
    /// Whether the daemon is shutting down.
    pub is_leaving: bool,
    /// Whether the daemon reaches a candidate that understands a hand-over.
    pub can_hand_over: bool,
    /// Whether the daemon has lost access to the store.
    pub has_lost_store: bool,
}

/// Next call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseStep {
    /// Read the rows of the region.
    Read,
    /// Write the row of a slot if it has the given version; [`StoreVersion::ABSENT`] if it must not exist.
    Write(usize, StoreVersion, LeaseRow),
    /// Tell the candidates that they may take a slot whose row has this version. No call to the store
    /// is made.
    HandOver(usize, StoreVersion),
}

#[derive(Clone, Debug)]
struct SeenRow {
    version: StoreVersion,
    row: Option<LeaseRow>,
    /// Time at which this version was first seen.
    since: Duration,
}

#[derive(Clone, Copy, Debug)]
struct ReadReport {
    run: Incarnation,
    version: StoreVersion,
    at: Duration,
}

#[derive(Clone, Debug, Default)]
struct SlotLease {
    seen: Option<SeenRow>,
    relied_until: Option<Duration>,
    written_at: Option<Duration>,
    free_since: Option<Duration>,
    /// Latest version of the row that is known to name this run while it relies on the lease.
    held_version: StoreVersion,
    /// Latest report of a candidate that has read the row while it named this daemon.
    reported: Option<ReadReport>,
    /// Version at which this daemon has handed over the slot, and when.
    handed_over: Option<(StoreVersion, Duration)>,
    /// Daemon that has handed over the slot, and the version of its row.
    offered: Option<(MemberId, StoreVersion)>,
}

/// Leases of the slots of a region, as one daemon knows them. Times are since the boot of the VM.
#[derive(Debug)]
pub struct LimitLease {
    id: MemberId,
    run: Incarnation,
    started_at: Duration,
    read_at: Option<Duration>,
    count: u64,
    /// Failed calls since the last successful write.
    failures: u32,
    slots: [SlotLease; REGION_SLOTS],
}

impl LimitLease {
    /// Creates the state of a run that holds no slot.
    #[must_use]
    pub fn new(id: MemberId, run: Incarnation, now: Duration) -> LimitLease {
        LimitLease {
            id,
            run,
            started_at: now,
            read_at: None,
            count: 0,
            failures: 0,
            slots: Default::default(),
        }
    }

    /// Returns whether this daemon may lend tokens of a slot.
    #[must_use]
    pub fn may_lend(&self, slot: usize, now: Duration) -> bool {
        let lease = self.slots.get(slot);
        lease.is_some_and(|lease| lease.relied_until.is_some_and(|until| now < until))
    }

    /// Returns whether this daemon holds a slot and its renewals have failed for some time.
    #[must_use]
    pub fn is_cut_off(&self, now: Duration) -> bool {
        let mut slots = 0..REGION_SLOTS;
        self.failures >= CUT_OFF_FAILURES && slots.any(|slot| self.is_overdue(slot, now))
    }

    /// Returns whether the slot is held and its last successful renewal is old.
    fn is_overdue(&self, slot: usize, now: Duration) -> bool {
        let until = self.slots[slot].relied_until;
        until.is_some_and(|until| now < until && now + LEASE_TIME >= until + CUT_OFF_AGE)
    }

    /// Returns the call to make now, if any. Its result must be passed to [`LimitLease::on_read`],
    /// [`LimitLease::on_read_failed`] or [`LimitLease::on_written`] before the next one.
    pub fn next_step(&mut self, candidate: LeaseCandidate, now: Duration) -> Option<LeaseStep> {
        let mut needs_read = false;
        for slot in 0..REGION_SLOTS {
            if let Some(version) = self.take_hand_over(slot, candidate, now) {
                return Some(LeaseStep::HandOver(slot, version));
            }
            let is_held = self.may_lend(slot, now);
            if !is_held && (candidate.is_leaving || candidate.rank.is_none()) {
                continue;
            }
            let Some(seen) = self.slots[slot].seen.clone() else {
                needs_read = true;
                continue;
            };
            if is_held {
                if self.should_release(slot, candidate, now) {
                    // Nothing may be lent from the moment at which the row may say so.
                    self.slots[slot].relied_until = None;
                    return Some(self.write(slot, seen.version, true, now));
                }
                let written_at = self.slots[slot].written_at.unwrap_or_default();
                if now >= written_at + RENEW_PAUSE {
                    return Some(self.write(slot, seen.version, false, now));
                }
                continue;
            }
            needs_read = true;
            if self.may_take(slot, &seen, candidate, now) {
                return Some(self.write(slot, seen.version, false, now));
            }
        }
        let is_read_due = self.read_at.is_none_or(|at| now >= at + RENEW_PAUSE);
        if needs_read && is_read_due {
            self.read_at = Some(now);
            return Some(LeaseStep::Read);
        }
        None
    }

    /// Stops lending and returns the version of the row if the slot is to be handed over now. It is
    /// handed over for each report of a candidate, as the frame may be lost, and as a renewal whose
    /// answer was lost may have changed the row since the last time.
    fn take_hand_over(
        &mut self,
        slot: usize,
        candidate: LeaseCandidate,
        now: Duration,
    ) -> Option<StoreVersion> {
        if !candidate.can_hand_over || candidate.rank.is_some() {
            return None;
        }
        let ReadReport { run, version, at } = self.slots[slot].reported?;
        if now >= at + REPORT_TIME {
            return None;
        }
        let is_ready = match self.may_lend(slot, now) {
            true => {
                let is_cut_off = self.failures >= CUT_OFF_FAILURES && self.is_overdue(slot, now);
                candidate.has_lost_store
                    && is_cut_off
                    && run == self.run
                    && version >= self.slots[slot].held_version
            }
            // Tokens that an earlier run lent may still be valid. Only this daemon knows for certain that its
            // earlier run has ended: with a clock set back, a record of an ended run has the higher number.
            false => {
                let is_given_up = run < self.run || (run == self.run && candidate.has_lost_store);
                is_given_up && now >= self.started_at + RESTART_PAUSE
            }
        };
        if !is_ready {
            return None;
        }
        let lease = &mut self.slots[slot];
        lease.relied_until = None;
        lease.reported = None;
        lease.handed_over = Some((version, now));
        // Nothing is written or lent before the row has been read again.
        lease.seen = None;
        Some(version)
    }

    /// Records that a candidate has read the row of a slot, which named a run of this daemon.
    pub fn on_reported(
        &mut self,
        slot: usize,
        run: Incarnation,
        version: StoreVersion,
        now: Duration,
    ) {
        let Some(lease) = self.slots.get_mut(slot) else {
            return;
        };
        // Reports may arrive late.
        let is_late = lease.reported.is_some_and(|held| version < held.version);
        if !is_late {
            let at = now;
            lease.reported = Some(ReadReport { run, version, at });
        }
    }

    /// Records that a daemon has handed over a slot whose row has a version.
    pub fn on_offered(&mut self, from: &MemberId, slot: usize, version: StoreVersion) {
        let Some(lease) = self.slots.get_mut(slot) else {
            return;
        };
        if lease.offered.as_ref().is_some_and(|held| version <= held.1) {
            return;
        }
        lease.offered = Some((from.clone(), version));
        let seen = lease.seen.as_ref();
        if seen.is_none_or(|seen| seen.version < version) {
            self.read_at = None;
        }
    }

    /// Returns whether a daemon that the row names has handed over the slot at this version.
    fn is_offered(&self, slot: usize, seen: &SeenRow) -> bool {
        let holder = seen.row.as_ref().map(|row| &row.holder);
        let offered = self.slots[slot].offered.as_ref();
        offered.is_some_and(|(from, version)| *version == seen.version && Some(from) == holder)
    }

    /// Returns whether this daemon has left the slot to the candidates a short time ago.
    fn has_handed_over(&self, slot: usize, seen: &SeenRow, now: Duration) -> bool {
        let handed_over = self.slots[slot].handed_over;
        handed_over
            .is_some_and(|(version, at)| version == seen.version && now < at + HAND_OVER_TIME)
    }

    fn should_release(&self, slot: usize, candidate: LeaseCandidate, now: Duration) -> bool {
        if candidate.is_leaving {
            return true;
        }
        // With both slots at one daemon, its end would leave the region without a holder.
        let holds_other = self.may_lend(REGION_SLOTS - 1 - slot, now);
        let kept = candidate.rank.unwrap_or(0).min(REGION_SLOTS - 1);
        candidate.has_others && holds_other && slot != kept
    }

    fn may_take(
        &mut self,
        slot: usize,
        seen: &SeenRow,
        candidate: LeaseCandidate,
        now: Duration,
    ) -> bool {
        let holds_other = self.may_lend(REGION_SLOTS - 1 - slot, now);
        let is_offered = self.is_offered(slot, seen);
        let is_free = match &seen.row {
            None => true,
            Some(row) if row.is_released || is_offered => true,
            Some(_) if self.has_handed_over(slot, seen, now) => false,
            // The own run wrote this; the answer was lost.
            Some(row) if row.holder == self.id && row.run == self.run => true,
            // An earlier run of this daemon has ended.
            Some(row) if row.holder == self.id && row.run < self.run => {
                now >= self.started_at + RESTART_PAUSE
            }
            Some(_) => now >= seen.since + LEASE_TIME + TAKE_MARGIN,
        };
        if !is_free {
            self.slots[slot].free_since = None;
            return false;
        }
        // A store that refuses writes, or does not answer, is not called without a pause.
        let written_at = self.slots[slot].written_at;
        if written_at.is_some_and(|at| now < at + RENEW_PAUSE) {
            return false;
        }
        let free_since = *self.slots[slot].free_since.get_or_insert(now);
        match candidate.rank {
            // Another daemon is as good, and moving a slot empties its buckets.
            Some(_) if holds_other && candidate.has_others => false,
            Some(rank) if rank == slot => true,
            Some(_) if is_offered => now >= free_since + OFFER_YIELD_TIME,
            Some(_) => now >= free_since + YIELD_TIME,
            None => false,
        }
    }

    fn write(
        &mut self,
        slot: usize,
        version: StoreVersion,
        is_released: bool,
        now: Duration,
    ) -> LeaseStep {
        self.count += 1;
        self.slots[slot].written_at = Some(now);
        let row = LeaseRow {
            holder: self.id.clone(),
            run: self.run,
            count: self.count,
            is_released,
        };
        LeaseStep::Write(slot, version, row)
    }

    /// Records a row that was read; [`StoreVersion::ABSENT`] if there is none.
    pub fn on_read(
        &mut self,
        slot: usize,
        version: StoreVersion,
        row: Option<LeaseRow>,
        now: Duration,
    ) {
        let lease = &mut self.slots[slot];
        let is_known = lease
            .seen
            .as_ref()
            .is_some_and(|seen| seen.version == version);
        if is_known {
            return;
        }
        let is_own = row
            .as_ref()
            .is_some_and(|row| row.holder == self.id && row.run == self.run);
        match is_own {
            true => lease.held_version = version,
            false => lease.relied_until = None,
        }
        lease.seen = Some(SeenRow {
            version,
            row,
            since: now,
        });
    }

    /// Records that the rows could not be read.
    pub fn on_read_failed(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Records the result of a write that was started at `started`: the new version of the row.
    /// Returns whether a lease begins now, so that the buckets of the slot are empty.
    pub fn on_written(
        &mut self,
        slot: usize,
        row: LeaseRow,
        result: Result<StoreVersion, StoreFault>,
        started: Duration,
        now: Duration,
    ) -> bool {
        let was_relied = self.may_lend(slot, now);
        let lease = &mut self.slots[slot];
        match result {
            Ok(version) => {
                self.failures = 0;
                let is_released = row.is_released;
                lease.held_version = version;
                lease.handed_over = None;
                lease.seen = Some(SeenRow {
                    version,
                    row: Some(row),
                    since: now,
                });
                lease.free_since = None;
                lease.relied_until = (!is_released).then_some(started + LEASE_TIME);
                !is_released && !was_relied
            }
            Err(StoreFault::Refused(_)) => {
                self.failures = self.failures.saturating_add(1);
                false
            }
            Err(fault) => {
                // A condition that does not hold is an answer of the store.
                if fault != StoreFault::Condition {
                    self.failures = self.failures.saturating_add(1);
                }
                // The row may have changed: it is read before the next write.
                lease.seen = None;
                self.read_at = None;
                false
            }
        }
    }
}
