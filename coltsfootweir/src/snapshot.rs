//! A whole configuration: every record of one generation.

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

/// Format of encoded snapshots and deltas, the first byte of each. It rises with every change of their
/// encoding; `tests/snapshot_format.rs` holds the bytes of the present one.
pub const SNAPSHOT_FORMAT: u8 = 1;

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

/// Why a snapshot or a delta was refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SnapshotError {
    /// The bytes end too early.
    Truncated,
    /// The format is one that this build does not know.
    UnknownFormat(u8),
    /// The bytes are not an encoded snapshot or delta.
    Unreadable(Box<str>),
    /// The digest is not the one in the mark.
    WrongDigest {
        /// Digest in the mark.
        expected: Digest,
        /// Digest of the bytes.
        found: Digest,
    },
    /// The generation is not the one in the mark.
    WrongGeneration {
        /// Generation in the mark.
        expected: Generation,
        /// Generation in the bytes.
        found: Generation,
    },
    /// A delta does not start from the snapshot at hand.
    WrongBase {
        /// Generation the delta starts from.
        expected: Generation,
        /// Generation at hand.
        found: Generation,
    },
    /// A reference does not resolve.
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
                    "wrong base: delta starts from generation {expected}, held is {found}"
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
    /// Returns the encoded snapshot; equal snapshots have equal bytes.
    ///
    /// # Panics
    /// When a move's time lies before 1970, which no schema reads.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        encode_value(self)
    }

    /// Returns generation and digest.
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

    /// Decodes a snapshot and verifies it against its mark and for closure.
    ///
    /// # Errors
    /// Any [`SnapshotError`] but [`SnapshotError::WrongBase`].
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
        // The digest names one encoding only, so that a delta's result can be verified by it.
        if snapshot.encode() != bytes {
            return Err(SnapshotError::Unreadable("not in the one encoding".into()));
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

    /// Returns the unended move of a service.
    #[must_use]
    pub fn active_move(&self, service: &str) -> Option<&MoveRecord> {
        self.moves
            .values()
            .find(|record| &*record.service == service && !record.phase.is_ended())
    }

    /// Returns every record: routes, versions, moves, each in the order of names.
    #[must_use]
    pub fn records(&self) -> Vec<ConfigRecord> {
        let mut records = Vec::new();
        records.extend(self.routes.values().cloned().map(ConfigRecord::Route));
        records.extend(self.versions.values().cloned().map(ConfigRecord::Version));
        records.extend(self.moves.values().cloned().map(ConfigRecord::Move));
        records
    }
}

/// Encodes a value of this module's formats.
pub(crate) fn encode_value(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = vec![SNAPSHOT_FORMAT];
    rmp_serde::encode::write(&mut bytes, value).expect("records encode");
    bytes
}

/// Decodes a value of this module's formats.
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
