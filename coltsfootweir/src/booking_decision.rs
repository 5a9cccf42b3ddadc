//! Decisions and limits of the booking ledger, and the row that claims a caller's key.

use serde::Deserialize;
use serde::Serialize;

use crate::answer_cache::CacheLimits;
use crate::answer_cache::StoredAnswer;
use crate::ids::Incarnation;
use crate::ids::MemberId;
use crate::key_age::KeyAgeLimits;
use crate::outcome::DoubtReason;
use crate::outcome::RefusalReason;

/// Value of the table row that claims a caller's key. It is written on condition that the row is
/// absent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRow {
    /// The only daemon that may run the booking.
    pub owner: MemberId,
    /// Incarnation of the daemon that made the claim.
    pub incarnation: Incarnation,
    /// Sequence number of the claim in that incarnation. It distinguishes a claim whose answer was
    /// lost from one whose ledger entry was evicted.
    pub ticket: u64,
}

/// What to do with an attempt of a booking.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BookingDecision {
    /// Run the booking here, if [`BookingLedger::mark_running`](crate::booking::BookingLedger::mark_running)
    /// returns `true` before the hand-over to the upstream.
    Run,
    /// Write this claim row first, then report the outcome with `on_claimed`, `on_claim_taken` or
    /// `on_claim_unknown`, or with `mark_not_run` if the attempt is abandoned.
    Claim(ClaimRow),
    /// Read the claim row of a key that must not be claimed now, then report it with
    /// `on_claim_taken`, `on_claim_missing` or `on_claim_unknown`, or with `mark_not_run` if the
    /// attempt is abandoned.
    ReadClaim,
    /// Send the caller the stored first answer.
    Replay(StoredAnswer),
    /// The booking may have run.
    InDoubt(DoubtReason),
    /// Only this daemon, in this incarnation, may run the booking.
    Elsewhere(MemberId, Incarnation),
    /// This attempt was not run.
    NotRun(RefusalReason),
}

/// Size and age limits of a ledger.
#[derive(Clone, Copy, Debug)]
pub struct LedgerLimits {
    /// Number of the newest minted keys that may still be used. Older ones count as used.
    pub minted: u64,
    /// Maximum number of entries for callers' keys, not counting those in progress.
    pub callers: usize,
    /// Limits of the answer cache.
    pub answers: CacheLimits,
    /// Age limits within which callers' keys are claimed.
    pub ages: KeyAgeLimits,
}

impl Default for LedgerLimits {
    fn default() -> LedgerLimits {
        LedgerLimits {
            minted: 65_536,
            callers: 65_536,
            answers: CacheLimits::default(),
            ages: KeyAgeLimits::default(),
        }
    }
}
