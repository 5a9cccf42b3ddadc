//! What a ledger decides on an attempt of a booking, and the row that claims a caller's key.

use serde::Deserialize;
use serde::Serialize;

use crate::answer_cache::CacheLimits;
use crate::answer_cache::StoredAnswer;
use crate::ids::Incarnation;
use crate::ids::MemberId;
use crate::key_age::KeyAgeLimits;
use crate::outcome::DoubtReason;
use crate::outcome::RefusalReason;

/// Value of the table row that claims a caller's key; written under the condition that the row is
/// absent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRow {
    /// Daemon that alone may run the booking.
    pub owner: MemberId,
    /// Run of the daemon.
    pub incarnation: Incarnation,
    /// Count of claims in that run; tells a claim whose answer was lost from a forgotten one.
    pub ticket: u64,
}

/// What to do with an attempt of a booking.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BookingDecision {
    /// Run it here; [`BookingLedger::handed_over`](crate::booking::BookingLedger::handed_over) must agree before the upstream gets it.
    Run,
    /// Write this claim row first, then report what became of the write: `claimed`, `claim_lost` or
    /// `claim_unknown`; `not_run` when the attempt is given up meanwhile.
    Claim(ClaimRow),
    /// Read the claim row of a key that must not be claimed now, then report it: `claim_lost`,
    /// `claim_missing` or `claim_unknown`; `not_run` as above.
    ReadClaim,
    /// Give the caller the first answer.
    Replay(StoredAnswer),
    /// It may have run.
    InDoubt(DoubtReason),
    /// Only this daemon, in this incarnation, may run it.
    Elsewhere(MemberId, Incarnation),
    /// This attempt was not run.
    NotRun(RefusalReason),
}

/// Bounds of a ledger.
#[derive(Clone, Copy, Debug)]
pub struct LedgerLimits {
    /// Minted keys that may still be used; older ones count as used.
    pub minted: u64,
    /// Callers' keys remembered.
    pub callers: usize,
    /// Bounds of the answers kept.
    pub answers: CacheLimits,
    /// Ages at which callers' keys are claimed.
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
