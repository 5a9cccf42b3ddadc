//! Messages with which a daemon pulls the active configuration of a peer.

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;
use serde::de::Visitor;

use crate::ids::Generation;
use crate::snapshot::HeadMark;

/// HTTP path at which a daemon serves its configuration.
pub const PULL_PATH: &str = "/pull";

/// A request for the active configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PullRequest {
    /// Generation that the requesting daemon holds.
    pub held: Generation,
}

/// The active configuration, as a delta from the requested base or as a whole snapshot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PullAnswer {
    /// The peer has nothing newer than the requesting daemon.
    Nothing,
    /// An encoded delta that leads to the mark.
    Delta(HeadMark, EncodedBytes),
    /// An encoded snapshot of the mark.
    Snapshot(HeadMark, EncodedBytes),
}

/// An encoded snapshot or delta, serialized as one byte string.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EncodedBytes(pub Vec<u8>);

impl Serialize for EncodedBytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for EncodedBytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<EncodedBytes, D::Error> {
        deserializer.deserialize_byte_buf(BytesVisitor)
    }
}

struct BytesVisitor;

impl Visitor<'_> for BytesVisitor {
    type Value = EncodedBytes;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a byte string")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<EncodedBytes, E> {
        Ok(EncodedBytes(bytes.to_vec()))
    }

    fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<EncodedBytes, E> {
        Ok(EncodedBytes(bytes))
    }
}
