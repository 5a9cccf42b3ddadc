//! Configuration snapshots: all records of one generation, and their encoding.

use std::collections::BTreeMap;
use std::fmt;
use std::io::ErrorKind;

use rmp_serde::decode::Error as DecodeError;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::Digest as _;
use sha2::Sha256;

pub use crate::head_mark::HeadMark;
use crate::head_mark::hex_digest;
use crate::ids::Digest;
use crate::ids::Generation;
use crate::ids::MoveName;
use crate::ids::RouteName;
use crate::record::ConfigRecord;
use crate::record::MoveRecord;
use crate::record::RouteRecord;
use crate::record::VersionRecord;
use crate::record_fault::RecordFault;
use crate::record_fault::write_faults;
pub use crate::snapshot_delta::SnapshotDelta;

/// Format version of encoded snapshots and deltas, stored as their first byte.
///
/// Increment it with every change of the encoding. `tests/snapshot_format.rs` checks the bytes of the
/// current format.
pub const SNAPSHOT_FORMAT: u8 = 1;

/// All records of one generation.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigSnapshot {
    /// Generation of the configuration. 0 is the empty configuration.
    pub generation: Generation,
    /// Routes by name.
    pub routes: BTreeMap<RouteName, RouteRecord>,
    /// Upstream versions by `<service>/<version>`.
    pub versions: BTreeMap<Box<str>, VersionRecord>,
    /// Moves by name.
    pub moves: BTreeMap<MoveName, MoveRecord>,
}

/// Why a snapshot or a delta was rejected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SnapshotError {
    /// The bytes end before the value is complete.
    Truncated,
    /// This build does not support the format version.
    UnknownFormat(u8),
    /// The bytes are not a valid encoding of a snapshot or delta.
    Unreadable(Box<str>),
    /// The digest differs from that of the mark.
    WrongDigest {
        /// Digest in the mark.
        expected: Digest,
        /// Digest of the bytes.
        found: Digest,
    },
    /// The generation differs from that of the mark.
    WrongGeneration {
        /// Generation in the mark.
        expected: Generation,
        /// Generation in the bytes.
        found: Generation,
    },
    /// The delta starts from another snapshot than the one it is applied to.
    WrongBase {
        /// Generation that the delta starts from.
        expected: Generation,
        /// Generation of the snapshot that the delta is applied to.
        found: Generation,
    },
    /// The records are inconsistent; see [`ConfigSnapshot::validate`].
    Inconsistent(Vec<RecordFault>),
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SnapshotError::Truncated => f.write_str("truncated"),
            SnapshotError::UnknownFormat(format) => write!(
                f,
                "format {format} is not known to this build, which reads format {SNAPSHOT_FORMAT}"
            ),
            SnapshotError::Unreadable(reason) => write!(f, "unreadable: {reason}"),
            SnapshotError::WrongDigest { expected, found } => {
                write!(f, "wrong digest: expected {expected}, found {found}")
            }
            SnapshotError::WrongGeneration { expected, found } => {
                write!(f, "wrong generation: expected {expected}, found {found}")
            }
            SnapshotError::WrongBase { expected, found } => {
                write!(
                    f,
                    "wrong base: delta starts from generation {expected}, applied to generation {found}"
                )
            }
            SnapshotError::Inconsistent(faults) => {
                f.write_str("not closed: ")?;
                write_faults(f, faults)
            }
        }
    }
}

impl std::error::Error for SnapshotError {}

impl ConfigSnapshot {
    /// Encodes the snapshot. Equal snapshots have equal bytes.
    ///
    /// # Panics
    /// If the `done_by` of a move lies before 1970, which every schema rejects.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        encode_value(self)
    }

    /// Returns the generation and digest of the snapshot.
    #[must_use]
    pub fn mark(&self) -> HeadMark {
        if self.generation == 0 {
            return HeadMark::default();
        }
        HeadMark {
            generation: self.generation,
            digest: digest_of(&self.encode()),
        }
    }

    /// Decodes a snapshot, checks it against its mark and validates it.
    ///
    /// # Errors
    /// Any [`SnapshotError`] except [`SnapshotError::WrongBase`].
    pub fn decode(bytes: &[u8], mark: &HeadMark) -> Result<ConfigSnapshot, SnapshotError> {
        let found = digest_of(bytes);
        let decoded: Result<ConfigSnapshot, SnapshotError> = decode_value(bytes);
        if found != mark.digest {
            return match decoded {
                Err(SnapshotError::Truncated) => Err(SnapshotError::Truncated),
                _ => Err(SnapshotError::WrongDigest {
                    expected: mark.digest.clone(),
                    found,
                }),
            };
        }
        let snapshot = decoded?;
        // Only the canonical encoding is accepted: the result of a delta is re-encoded and checked
        // against the digest.
        if snapshot.encode() != bytes {
            return Err(SnapshotError::Unreadable(
                "not the canonical encoding".into(),
            ));
        }
        if snapshot.generation != mark.generation {
            let expected = mark.generation;
            return Err(SnapshotError::WrongGeneration {
                expected,
                found: snapshot.generation,
            });
        }
        snapshot.validate().map_err(SnapshotError::Inconsistent)?;
        Ok(snapshot)
    }

    /// Returns the move of a service that has not ended, if any.
    #[must_use]
    pub fn active_move(&self, service: &str) -> Option<&MoveRecord> {
        self.moves
            .values()
            .find(|record| &*record.service == service && !record.phase.is_ended())
    }

    /// Returns all records: routes, then versions, then moves, each sorted by name.
    #[must_use]
    pub fn records(&self) -> Vec<ConfigRecord> {
        let mut records = Vec::new();
        records.extend(self.routes.values().cloned().map(ConfigRecord::Route));
        records.extend(self.versions.values().cloned().map(ConfigRecord::Version));
        records.extend(self.moves.values().cloned().map(ConfigRecord::Move));
        records
    }
}

/// Encodes a snapshot or delta as the format byte followed by MessagePack.
pub(crate) fn encode_value(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = vec![SNAPSHOT_FORMAT];
    rmp_serde::encode::write(&mut bytes, value).expect("records are encodable");
    bytes
}

/// Decodes a snapshot or delta written by [`encode_value`].
pub(crate) fn decode_value<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, SnapshotError> {
    let body = match bytes.split_first() {
        Some((&SNAPSHOT_FORMAT, body)) => body,
        Some((&format, _)) => return Err(SnapshotError::UnknownFormat(format)),
        None => return Err(SnapshotError::Truncated),
    };
    match rmp_serde::from_slice(body) {
        Ok(value) => Ok(value),
        Err(DecodeError::InvalidMarkerRead(error) | DecodeError::InvalidDataRead(error))
            if error.kind() == ErrorKind::UnexpectedEof =>
        {
            Err(SnapshotError::Truncated)
        }
        Err(error) => Err(SnapshotError::Unreadable(error.to_string().into())),
    }
}

fn digest_of(bytes: &[u8]) -> Digest {
    hex_digest(&Sha256::digest(bytes))
}
