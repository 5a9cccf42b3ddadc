//! The highest generation heard of, and which digest is believed to be its own.
//!
//! Members pass a head on before they hold its configuration, so a wrong digest spreads like the
//! right one. The store's head and a configuration in force settle the digest. Before that, a digest
//! under which no peer gave the configuration gives way to others told, first to those that members
//! which serve the generation told.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::ids::Digest;
use crate::member::MemberHash;
use crate::snapshot::HeadMark;

/// Digests of one generation that are remembered.
pub const CLAIM_LIMIT: usize = 8;

/// One digest of the generation.
#[derive(Clone, Debug)]
struct HeadClaim {
    digest: Digest,
    /// Members that serve the generation and told this digest.
    tellers: BTreeSet<MemberHash>,
    /// Rounds in which no peer gave the configuration under this digest.
    failures: u32,
}

/// Highest generation a member knows.
#[derive(Clone, Debug, Default)]
pub struct HeadClaims {
    /// Generation and the digest believed.
    mark: HeadMark,
    /// When the generation was first heard of.
    noted: Duration,
    settled: bool,
    claims: Vec<HeadClaim>,
}

impl HeadClaims {
    /// Generation and the digest believed.
    #[must_use]
    pub fn mark(&self) -> &HeadMark {
        &self.mark
    }

    /// When the generation was first heard of.
    #[must_use]
    pub fn first_seen(&self) -> Duration {
        self.noted
    }

    /// Returns whether the store or a configuration in force gave the digest.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.settled
    }

    /// Returns whether a digest was tried that no peer gave the configuration under.
    #[must_use]
    pub fn has_failed_claim(&self) -> bool {
        self.claims.iter().any(|claim| claim.failures > 0)
    }

    /// Returns whether the member serves the generation and told the digest believed.
    #[must_use]
    pub fn is_claimed_by(&self, member: MemberHash) -> bool {
        let believed = self
            .claims
            .iter()
            .find(|claim| claim.digest == self.mark.digest);
        believed.is_some_and(|claim| claim.tellers.contains(&member))
    }

    /// Takes the word of the store, or of a configuration in force: its digest is the right one.
    pub fn confirm(&mut self, mark: HeadMark, now: Duration) {
        if mark.generation < self.mark.generation {
            return;
        }
        if mark.generation > self.mark.generation {
            self.begin(mark.clone(), now);
        }
        self.settled = true;
        self.claims.retain(|claim| claim.digest == mark.digest);
        self.mark = mark;
    }

    /// Takes the word of a peer; `teller` is the peer if it serves the generation.
    pub fn add_peer_claim(&mut self, mark: &HeadMark, teller: Option<MemberHash>, now: Duration) {
        if mark.generation < self.mark.generation || mark.generation == 0 {
            return;
        }
        if mark.generation > self.mark.generation {
            self.begin(mark.clone(), now);
        }
        if self.settled && mark.digest != self.mark.digest {
            return;
        }
        if let Some(claim) = self.claim_of(&mark.digest) {
            claim.tellers.extend(teller);
        }
    }

    /// Notes that no peer gave the configuration under the digest of `mark`.
    pub fn record_failed_pull(&mut self, mark: &HeadMark) {
        if mark.generation != self.mark.generation {
            return;
        }
        if let Some(claim) = self.claim_of(&mark.digest) {
            claim.failures += 1;
        }
        if self.settled {
            return;
        }
        let best = self
            .claims
            .iter()
            .min_by_key(|claim| (claim.failures, usize::MAX - claim.tellers.len()));
        if let Some(claim) = best {
            self.mark.digest = claim.digest.clone();
        }
    }

    fn begin(&mut self, mark: HeadMark, now: Duration) {
        *self = HeadClaims {
            mark,
            noted: now,
            ..HeadClaims::default()
        };
    }

    /// Returns the claim of a digest, made when there is room for it; when there is none, the claim
    /// that no member serves and that failed most gives way.
    fn claim_of(&mut self, digest: &Digest) -> Option<&mut HeadClaim> {
        if let Some(index) = self.claims.iter().position(|claim| claim.digest == *digest) {
            return self.claims.get_mut(index);
        }
        if self.claims.len() >= CLAIM_LIMIT {
            let weakest = self
                .claims
                .iter()
                .enumerate()
                .filter(|(_, claim)| claim.digest != self.mark.digest)
                .min_by_key(|(_, claim)| (claim.tellers.len(), u32::MAX - claim.failures));
            let index = weakest.map(|(index, _)| index)?;
            self.claims.remove(index);
        }
        self.claims.push(HeadClaim {
            digest: digest.clone(),
            tellers: BTreeSet::new(),
            failures: 0,
        });
        self.claims.last_mut()
    }
}
