//! Ledger entry of one booking key.

use crate::booking_decision::BookingDecision;
use crate::ids::Fingerprint;
use crate::ids::Incarnation;
use crate::ids::MemberId;
use crate::outcome::DoubtReason;

/// State of a booking.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum EntryState {
    /// A claim is being written. The value is the ticket of the first claim since the entry was
    /// created.
    Claiming(u64),
    /// A claim may have been written. The value is the first ticket, as in `Claiming`.
    ClaimUnknown(u64),
    /// The booking may run here and has not run.
    Runnable,
    /// The booking is about to be handed over to the upstream.
    Admitted,
    /// The booking was handed over to the upstream.
    Running,
    /// The booking ran. The answer cache may have the answer.
    Done,
    /// The booking may have run here.
    InDoubt(DoubtReason),
    /// The booking may have run in an earlier incarnation, or in this one before its entry was
    /// evicted. The fingerprint of that request is not known.
    LostRecord(DoubtReason),
    /// The key was claimed by a different daemon.
    OwnedElsewhere(MemberId, Incarnation),
}

/// Ledger entry of one booking key.
#[derive(Debug)]
pub(crate) struct BookingEntry {
    /// Distinguishes a repeat from a different request with the same key.
    pub(crate) fingerprint: Fingerprint,
    pub(crate) state: EntryState,
    /// Sequence number of the entry.
    pub(crate) number: u64,
}

impl BookingEntry {
    /// Admits a claimed booking. An expired key is in doubt instead, because an earlier claim of it may
    /// have been removed.
    pub(crate) fn admit(&mut self, is_expired: bool) -> BookingDecision {
        if is_expired {
            self.state = EntryState::LostRecord(DoubtReason::KeyExpired);
            return BookingDecision::InDoubt(DoubtReason::KeyExpired);
        }
        self.state = EntryState::Admitted;
        BookingDecision::Run
    }

    /// Records that the claim in progress may or may not have been written.
    pub(crate) fn mark_claim_unknown(&mut self) {
        if let EntryState::Claiming(first_ticket) = self.state {
            self.state = EntryState::ClaimUnknown(first_ticket);
        }
    }

    /// Returns whether an attempt is in progress. Such an entry is not evicted.
    pub(crate) fn is_in_flight(&self) -> bool {
        matches!(
            self.state,
            EntryState::Claiming(_) | EntryState::Admitted | EntryState::Running
        )
    }
}
