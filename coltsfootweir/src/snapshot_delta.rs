//! The difference between two snapshots.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::MoveName;
use crate::ids::RouteName;
use crate::record::MOVE_KIND;
use crate::record::MoveRecord;
use crate::record::ROUTE_KIND;
use crate::record::RouteRecord;
use crate::record::VERSION_KIND;
use crate::record::VersionRecord;
use crate::snapshot::ConfigSnapshot;
use crate::snapshot::HeadMark;
use crate::snapshot::SnapshotError;
use crate::snapshot::decode_value;
use crate::snapshot::encode_value;

/// Changes that lead from one snapshot to a later one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotDelta {
    /// Mark of the snapshot that the delta starts from.
    pub base: HeadMark,
    /// Mark of the snapshot that results from the delta.
    pub result: HeadMark,
    /// Changed or added routes.
    pub routes: Vec<RouteRecord>,
    /// Changed or added versions.
    pub versions: Vec<VersionRecord>,
    /// Changed or added moves.
    pub moves: Vec<MoveRecord>,
    /// Names of removed routes.
    pub removed_routes: Vec<RouteName>,
    /// Keys of removed versions, `<service>/<version>`.
    pub removed_versions: Vec<Box<str>>,
    /// Names of removed moves.
    pub removed_moves: Vec<MoveName>,
}

impl SnapshotDelta {
    /// Encodes the delta.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        encode_value(self)
    }

    /// Returns the labels, such as `route/stalls`, of all records that the delta changes, adds or
    /// removes.
    #[must_use]
    pub fn changed_labels(&self) -> BTreeSet<Box<str>> {
        let mut labels = BTreeSet::new();
        labels.extend(self.routes.iter().map(RouteRecord::label));
        labels.extend(self.versions.iter().map(VersionRecord::label));
        labels.extend(self.moves.iter().map(MoveRecord::label));
        let removed = [
            (ROUTE_KIND, &self.removed_routes),
            (VERSION_KIND, &self.removed_versions),
            (MOVE_KIND, &self.removed_moves),
        ];
        for (kind, names) in removed {
            labels.extend(names.iter().map(|name| format!("{kind}/{name}").into()));
        }
        labels
    }

    /// Decodes a delta. Its content is checked by [`ConfigSnapshot::apply_delta`].
    ///
    /// # Errors
    /// [`SnapshotError::Truncated`], [`SnapshotError::UnknownFormat`] or
    /// [`SnapshotError::Unreadable`].
    pub fn decode(bytes: &[u8]) -> Result<SnapshotDelta, SnapshotError> {
        decode_value(bytes)
    }
}

impl ConfigSnapshot {
    /// Returns the delta from `base` to this snapshot.
    #[must_use]
    pub fn delta_from(&self, base: &ConfigSnapshot) -> SnapshotDelta {
        self.delta_with_marks(base, base.mark(), self.mark())
    }

    /// Returns the delta from `base` to this snapshot, given the marks of both, which saves encoding
    /// the snapshots to compute them.
    pub(crate) fn delta_with_marks(
        &self,
        base: &ConfigSnapshot,
        base_mark: HeadMark,
        mark: HeadMark,
    ) -> SnapshotDelta {
        SnapshotDelta {
            base: base_mark,
            result: mark,
            routes: changed_values(&base.routes, &self.routes),
            versions: changed_values(&base.versions, &self.versions),
            moves: changed_values(&base.moves, &self.moves),
            removed_routes: removed_keys(&base.routes, &self.routes),
            removed_versions: removed_keys(&base.versions, &self.versions),
            removed_moves: removed_keys(&base.moves, &self.moves),
        }
    }

    /// Returns the snapshot that results from a delta, checked against its digest and validated.
    ///
    /// # Errors
    /// [`SnapshotError::WrongBase`], [`SnapshotError::WrongDigest`] or
    /// [`SnapshotError::Inconsistent`].
    pub fn apply_delta(&self, delta: &SnapshotDelta) -> Result<ConfigSnapshot, SnapshotError> {
        if delta.base != self.mark() {
            let expected = delta.base.generation;
            return Err(SnapshotError::WrongBase {
                expected,
                found: self.generation,
            });
        }
        let mut next = self.clone();
        next.generation = delta.result.generation;
        next.routes
            .retain(|name, _| !delta.removed_routes.contains(name));
        next.versions
            .retain(|key, _| !delta.removed_versions.contains(key));
        next.moves
            .retain(|name, _| !delta.removed_moves.contains(name));
        next.routes.extend(
            delta
                .routes
                .iter()
                .map(|route| (route.name.clone(), route.clone())),
        );
        next.versions.extend(
            delta
                .versions
                .iter()
                .map(|version| (version.key(), version.clone())),
        );
        next.moves.extend(
            delta
                .moves
                .iter()
                .map(|record| (record.name.clone(), record.clone())),
        );
        let found = next.mark();
        if found != delta.result {
            let expected = delta.result.digest.clone();
            return Err(SnapshotError::WrongDigest {
                expected,
                found: found.digest,
            });
        }
        next.validate().map_err(SnapshotError::Inconsistent)?;
        Ok(next)
    }
}

fn changed_values<T: Clone + PartialEq>(
    base: &BTreeMap<Box<str>, T>,
    next: &BTreeMap<Box<str>, T>,
) -> Vec<T> {
    let mut changed = Vec::new();
    for (key, value) in next {
        if base.get(key) != Some(value) {
            changed.push(value.clone());
        }
    }
    changed
}

fn removed_keys<T>(base: &BTreeMap<Box<str>, T>, next: &BTreeMap<Box<str>, T>) -> Vec<Box<str>> {
    base.keys()
        .filter(|key| !next.contains_key(*key))
        .cloned()
        .collect()
}
