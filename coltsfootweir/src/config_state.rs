//! The active configuration of a daemon.
//!
//! A configuration is only replaced as a whole, by a consistent one of a higher generation.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::ids::Generation;
use crate::route_table::RouteTable;
use crate::snapshot::ConfigSnapshot;
use crate::snapshot::HeadMark;
use crate::snapshot::SnapshotDelta;
use crate::snapshot::SnapshotError;

/// Number of earlier snapshots kept to serve deltas to peers.
pub const KEPT_SNAPSHOTS: usize = 8;

/// Outcome of offering a configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OfferOutcome {
    /// The configuration is now active.
    Applied,
    /// The configuration was active already.
    Held,
    /// A higher generation is active.
    Older,
}

/// A higher generation that was offered and refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RefusedOffer {
    /// Generation of the offered configuration.
    pub generation: Generation,
    /// Why it was refused.
    pub error: SnapshotError,
}

/// Active configuration, and the lowest generation at which the daemon takes calls (the floor).
#[derive(Debug, Default)]
pub struct ConfigState {
    snapshot: Arc<ConfigSnapshot>,
    table: Arc<RouteTable>,
    mark: HeadMark,
    floor: Generation,
    floor_settled: bool,
    earlier: VecDeque<(HeadMark, Arc<ConfigSnapshot>)>,
    refused: Option<RefusedOffer>,
}

impl ConfigState {
    /// Creates a state without a configuration.
    #[must_use]
    pub fn new() -> ConfigState {
        ConfigState::default()
    }

    /// Raises the lowest generation that the daemon may serve; a lower value changes nothing.
    ///
    /// A daemon below the floor takes no calls. After [`settle_floor`](Self::settle_floor), the
    /// floor must only be raised to generations that an earlier run at the same address served.
    pub fn raise_floor(&mut self, generation: Generation) {
        self.floor = self.floor.max(generation);
    }

    /// Marks the floor as known; until then the daemon does not serve.
    pub fn settle_floor(&mut self) {
        self.floor_settled = true;
    }

    /// Returns whether the floor is known.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.floor_settled
    }

    /// Returns whether calls may be taken.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.floor_settled && self.mark.generation >= self.floor
    }

    /// Returns the lowest generation that the daemon may serve.
    #[must_use]
    pub fn floor(&self) -> Generation {
        self.floor
    }

    /// Offers an encoded snapshot.
    ///
    /// # Errors
    /// The fault of the snapshot; the active configuration is unchanged.
    pub fn offer(&mut self, bytes: &[u8], mark: &HeadMark) -> Result<OfferOutcome, SnapshotError> {
        if let Some(outcome) = self.compare(mark)? {
            return Ok(outcome);
        }
        let applied =
            ConfigSnapshot::decode(bytes, mark).and_then(|snapshot| self.apply(snapshot, mark));
        self.record_refusal(mark, applied)
    }

    /// Offers an encoded delta that leads to `mark`.
    ///
    /// # Errors
    /// The fault of the delta, [`SnapshotError::WrongBase`] if it does not start from the active
    /// configuration; the active configuration is unchanged.
    pub fn offer_delta(
        &mut self,
        bytes: &[u8],
        mark: &HeadMark,
    ) -> Result<OfferOutcome, SnapshotError> {
        if let Some(outcome) = self.compare(mark)? {
            return Ok(outcome);
        }
        let applied = self.apply_delta(bytes, mark);
        self.record_refusal(mark, applied)
    }

    /// Returns the last refused offer, if its generation is above the active one.
    #[must_use]
    pub fn refused(&self) -> Option<&RefusedOffer> {
        self.refused
            .as_ref()
            .filter(|refused| refused.generation > self.mark.generation)
    }

    fn record_refusal(
        &mut self,
        mark: &HeadMark,
        applied: Result<OfferOutcome, SnapshotError>,
    ) -> Result<OfferOutcome, SnapshotError> {
        if let Err(error) = &applied {
            self.refused = Some(RefusedOffer {
                generation: mark.generation,
                error: error.clone(),
            });
        }
        applied
    }

    fn apply_delta(
        &mut self,
        bytes: &[u8],
        mark: &HeadMark,
    ) -> Result<OfferOutcome, SnapshotError> {
        let delta = SnapshotDelta::decode(bytes)?;
        if delta.result.generation != mark.generation {
            let found = delta.result.generation;
            return Err(SnapshotError::WrongGeneration {
                expected: mark.generation,
                found,
            });
        }
        if delta.result.digest != mark.digest {
            let found = delta.result.digest;
            return Err(SnapshotError::WrongDigest {
                expected: mark.digest.clone(),
                found,
            });
        }
        let snapshot = self.snapshot.apply_delta(&delta)?;
        self.apply(snapshot, mark)
    }

    /// Returns generation and digest of the active configuration.
    #[must_use]
    pub fn mark(&self) -> HeadMark {
        self.mark.clone()
    }

    /// Returns the active snapshot.
    #[must_use]
    pub fn snapshot(&self) -> Arc<ConfigSnapshot> {
        Arc::clone(&self.snapshot)
    }

    /// Returns the compiled routes of the active configuration.
    #[must_use]
    pub fn table(&self) -> Arc<RouteTable> {
        Arc::clone(&self.table)
    }

    /// Returns the delta from a recent generation to the active configuration, or `None` if that
    /// generation is no longer kept and the whole snapshot has to be sent.
    #[must_use]
    pub fn recent_delta(&self, from: Generation) -> Option<SnapshotDelta> {
        let (base_mark, base) = self
            .earlier
            .iter()
            .find(|(mark, _)| mark.generation == from)?;
        Some(
            self.snapshot
                .delta_with_marks(base, base_mark.clone(), self.mark()),
        )
    }

    /// Returns the outcome of an offer that can be decided without decoding it.
    fn compare(&self, mark: &HeadMark) -> Result<Option<OfferOutcome>, SnapshotError> {
        if mark.generation > self.mark.generation {
            return Ok(None);
        }
        if mark.generation < self.mark.generation {
            return Ok(Some(OfferOutcome::Older));
        }
        if mark.digest != self.mark.digest {
            let expected = self.mark.digest.clone();
            return Err(SnapshotError::WrongDigest {
                expected,
                found: mark.digest.clone(),
            });
        }
        Ok(Some(OfferOutcome::Held))
    }

    fn apply(
        &mut self,
        snapshot: ConfigSnapshot,
        mark: &HeadMark,
    ) -> Result<OfferOutcome, SnapshotError> {
        let table = RouteTable::compile(&snapshot)?;
        self.earlier.push_back((self.mark(), self.snapshot()));
        if self.earlier.len() > KEPT_SNAPSHOTS {
            self.earlier.pop_front();
        }
        self.snapshot = Arc::new(snapshot);
        self.table = Arc::new(table);
        self.mark = mark.clone();
        Ok(OfferOutcome::Applied)
    }
}
