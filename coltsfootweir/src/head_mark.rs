//! Identity of an accepted configuration, and its compact encoding.
//!
//! Every exchange between daemons includes a mark, so binary formats encode the digest as bytes.

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde::ser::SerializeTuple;

use crate::ids::Digest;
use crate::ids::Generation;

/// Length of a digest, in bytes.
const DIGEST_BYTES: usize = 32;

/// Identity of an accepted configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HeadMark {
    /// Number of the configuration; 0 before the first acceptance.
    pub generation: Generation,
    /// Digest of the encoded snapshot; empty at generation 0.
    pub digest: Digest,
}

/// A mark as encoded in text formats.
#[derive(Deserialize, Serialize)]
struct TextMark {
    generation: Generation,
    digest: Digest,
}

/// Returns a digest as lower-case hex.
pub(crate) fn hex_digest(bytes: &[u8]) -> Digest {
    let mut text = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        text.push_str(&format!("{byte:02x}"));
    }
    text.into()
}

/// Returns the bytes of a digest, or `None` if it is not 32 bytes of lower-case hex.
fn digest_bytes(digest: &str) -> Option<[u8; DIGEST_BYTES]> {
    let text = digest.as_bytes();
    if text.len() != 2 * DIGEST_BYTES {
        return None;
    }
    let mut bytes = [0; DIGEST_BYTES];
    for (byte, pair) in bytes.iter_mut().zip(text.chunks_exact(2)) {
        *byte = hex_value(pair[0])? << 4 | hex_value(pair[1])?;
    }
    Some(bytes)
}

fn hex_value(digit: u8) -> Option<u8> {
    match digit {
        b'0'..=b'9' => Some(digit - b'0'),
        b'a'..=b'f' => Some(digit - b'a' + 10),
        _ => None,
    }
}

impl Serialize for HeadMark {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            let mark = TextMark {
                generation: self.generation,
                digest: self.digest.clone(),
            };
            return mark.serialize(serializer);
        }
        let mut tuple = serializer.serialize_tuple(2)?;
        tuple.serialize_element(&self.generation)?;
        match digest_bytes(&self.digest) {
            Some(bytes) => tuple.serialize_element(&BinaryDigest(bytes))?,
            None => tuple.serialize_element(&self.digest)?,
        }
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for HeadMark {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<HeadMark, D::Error> {
        if deserializer.is_human_readable() {
            let TextMark { generation, digest } = TextMark::deserialize(deserializer)?;
            return Ok(HeadMark { generation, digest });
        }
        deserializer.deserialize_tuple(2, MarkVisitor)
    }
}

struct BinaryDigest([u8; DIGEST_BYTES]);

impl Serialize for BinaryDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

struct MarkVisitor;

impl<'de> Visitor<'de> for MarkVisitor {
    type Value = HeadMark;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a generation and a digest")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<HeadMark, A::Error> {
        let missing = |length| de::Error::invalid_length(length, &"a generation and a digest");
        let generation = seq.next_element()?.ok_or_else(|| missing(0))?;
        let AnyDigest(digest) = seq.next_element()?.ok_or_else(|| missing(1))?;
        Ok(HeadMark { generation, digest })
    }
}

/// Digest encoded as bytes or as text.
struct AnyDigest(Digest);

impl<'de> Deserialize<'de> for AnyDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<AnyDigest, D::Error> {
        deserializer.deserialize_any(DigestVisitor)
    }
}

struct DigestVisitor;

impl Visitor<'_> for DigestVisitor {
    type Value = AnyDigest;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a digest of {DIGEST_BYTES} bytes")
    }

    fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<AnyDigest, E> {
        if bytes.len() != DIGEST_BYTES {
            return Err(E::invalid_length(bytes.len(), &self));
        }
        Ok(AnyDigest(hex_digest(bytes)))
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<AnyDigest, E> {
        Ok(AnyDigest(text.into()))
    }
}
