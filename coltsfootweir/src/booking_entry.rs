//! What a ledger remembers of one booking key.

use crate::booking_decision::BookingDecision;
use crate::ids::Fingerprint;
use crate::ids::Incarnation;
use crate::ids::MemberId;
use crate::outcome::DoubtReason;

/// How far a booking has come.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum EntryState {
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

/// A key that a ledger remembers.
#[derive(Debug)]
pub(crate) struct BookingEntry {
    /// Tells a repeat from a different request with the same key.
    pub(crate) fingerprint: Fingerprint,
    pub(crate) state: EntryState,
    /// Order in which keys came.
    pub(crate) number: u64,
}

impl BookingEntry {
    /// Lets a claimed booking run, unless the key is too old to tell whether it was claimed before.
    pub(crate) fn admit(&mut self, is_expired: bool) -> BookingDecision {
        if is_expired {
            self.state = EntryState::Lost(DoubtReason::KeyExpired);
            return BookingDecision::InDoubt(DoubtReason::KeyExpired);
        }
        self.state = EntryState::Admitted;
        BookingDecision::Run
    }

    /// Leaves it open whether the claim under way was written.
    pub(crate) fn end_claim(&mut self) {
        if let EntryState::Claiming(first_ticket) = self.state {
            self.state = EntryState::ClaimUnknown(first_ticket);
        }
    }

    /// Returns whether an attempt has not ended; such an entry is not forgotten.
    pub(crate) fn is_in_flight(&self) -> bool {
        matches!(
            self.state,
            EntryState::Claiming(_) | EntryState::Admitted | EntryState::Running
        )
    }
}
