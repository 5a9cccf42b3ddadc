//! The highest known generation, and the digest selected for it.
//!
//! Members forward a head before they hold its configuration, so a wrong digest spreads like the
//! right one. The store's head or an applied configuration confirms the digest. Until then, a digest
//! for which no peer returned the configuration is replaced by another claimed digest, preferably one
//! claimed by members that serve the generation.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::ids::Digest;
use crate::member::MemberHash;
use crate::snapshot::HeadMark;

/// Maximum number of digests kept for one generation.
pub const CLAIM_LIMIT: usize = 8;

/// A digest claimed for the generation.
#[derive(Clone, Debug)]
struct HeadClaim {
    digest: Digest,
    /// Members that serve the generation and claimed this digest.
    servers: BTreeSet<MemberHash>,
    /// Rounds in which no peer returned the configuration with this digest.
    failures: u32,
}

/// Highest generation known to a member, with the digests claimed for it.
#[derive(Clone, Debug, Default)]
pub struct HeadClaims {
    /// Generation and selected digest.
    mark: HeadMark,
    /// When the generation was first seen.
    first_seen: Duration,
    confirmed: bool,
    claims: Vec<HeadClaim>,
}

impl HeadClaims {
    /// Returns the generation and the selected digest.
    #[must_use]
    pub fn mark(&self) -> &HeadMark {
        &self.mark
    }

    /// Returns when the generation was first seen.
    #[must_use]
    pub fn first_seen(&self) -> Duration {
        self.first_seen
    }

    /// Returns whether the store or an applied configuration confirmed the digest.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// Returns whether a pull has failed for any of the claimed digests.
    #[must_use]
    pub fn has_failed_claim(&self) -> bool {
        self.claims.iter().any(|claim| claim.failures > 0)
    }

    /// Returns whether the member serves the generation and claimed the selected digest.
    #[must_use]
    pub fn is_claimed_by(&self, member: MemberHash) -> bool {
        let selected = self
            .claims
            .iter()
            .find(|claim| claim.digest == self.mark.digest);
        selected.is_some_and(|claim| claim.servers.contains(&member))
    }

    /// Records the mark of the store's head or of an applied configuration as authoritative.
    pub fn confirm(&mut self, mark: HeadMark, now: Duration) {
        if mark.generation < self.mark.generation {
            return;
        }
        if mark.generation > self.mark.generation {
            self.reset(mark.clone(), now);
        }
        self.confirmed = true;
        self.claims.retain(|claim| claim.digest == mark.digest);
        self.mark = mark;
    }

    /// Records a mark claimed by a peer; `server` is the peer if it serves the generation.
    pub fn add_peer_claim(&mut self, mark: &HeadMark, server: Option<MemberHash>, now: Duration) {
        if mark.generation < self.mark.generation || mark.generation == 0 {
            return;
        }
        if mark.generation > self.mark.generation {
            self.reset(mark.clone(), now);
        }
        if self.confirmed && mark.digest != self.mark.digest {
            return;
        }
        if let Some(claim) = self.claim_entry(&mark.digest) {
            claim.servers.extend(server);
        }
    }

    /// Records a round in which no peer returned the configuration of `mark`.
    ///
    /// Unless the digest is confirmed, selects the claimed digest with the fewest failures, then the
    /// most serving members.
    pub fn record_failed_pull(&mut self, mark: &HeadMark) {
        if mark.generation != self.mark.generation {
            return;
        }
        if let Some(claim) = self.claim_entry(&mark.digest) {
            claim.failures += 1;
        }
        if self.confirmed {
            return;
        }
        let best = self
            .claims
            .iter()
            .min_by_key(|claim| (claim.failures, usize::MAX - claim.servers.len()));
        if let Some(claim) = best {
            self.mark.digest = claim.digest.clone();
        }
    }

    fn reset(&mut self, mark: HeadMark, now: Duration) {
        *self = HeadClaims {
            mark,
            first_seen: now,
            ..HeadClaims::default()
        };
    }

    /// Returns the claim of a digest, and adds it if it is new.
    ///
    /// At [`CLAIM_LIMIT`], the claim with the fewest serving members, then the most failures, is
    /// evicted. The selected digest is never evicted.
    fn claim_entry(&mut self, digest: &Digest) -> Option<&mut HeadClaim> {
        if let Some(index) = self.claims.iter().position(|claim| claim.digest == *digest) {
            return self.claims.get_mut(index);
        }
        if self.claims.len() >= CLAIM_LIMIT {
            let weakest = self
                .claims
                .iter()
                .enumerate()
                .filter(|(_, claim)| claim.digest != self.mark.digest)
                .min_by_key(|(_, claim)| (claim.servers.len(), u32::MAX - claim.failures));
            let index = weakest.map(|(index, _)| index)?;
            self.claims.remove(index);
        }
        self.claims.push(HeadClaim {
            digest: digest.clone(),
            servers: BTreeSet::new(),
            failures: 0,
        });
        self.claims.last_mut()
    }
}
