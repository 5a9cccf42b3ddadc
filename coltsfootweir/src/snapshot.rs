//! A whole configuration: every record of one generation.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Digest;
use crate::ids::Generation;
use crate::ids::MoveName;
use crate::ids::RouteName;
use crate::record::MoveRecord;
use crate::record::RouteRecord;
use crate::record::VersionRecord;

/// Identity of an accepted configuration.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeadMark {
    /// Number of the configuration; 0 before the first acceptance.
    pub generation: Generation,
    /// Digest of the encoded snapshot; empty at generation 0.
    pub digest: Digest,
}

/// Every record of one generation.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigSnapshot {
    /// Number of the configuration.
    pub generation: Generation,
    /// Routes by name.
    pub routes: BTreeMap<RouteName, RouteRecord>,
    /// Versions by `service/version`.
    pub versions: BTreeMap<Box<str>, VersionRecord>,
    /// Moves by name.
    pub moves: BTreeMap<MoveName, MoveRecord>,
}
