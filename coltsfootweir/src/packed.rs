//! Compact encoding of number lists, which make up most of the gossip traffic.

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;
use serde::de::SeqAccess;
use serde::de::Visitor;

/// Integers encoded as one byte string, `WIDTH` bytes each in little-endian order.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PackedNumbers<const WIDTH: usize>(pub Vec<u64>);

impl<const WIDTH: usize> Serialize for PackedNumbers<WIDTH> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut bytes = Vec::with_capacity(self.0.len() * WIDTH);
        for number in &self.0 {
            bytes.extend_from_slice(&number.to_le_bytes()[..WIDTH]);
        }
        serializer.serialize_bytes(&bytes)
    }
}

impl<'de, const WIDTH: usize> Deserialize<'de> for PackedNumbers<WIDTH> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_bytes(PackedVisitor::<WIDTH>)
    }
}

struct PackedVisitor<const WIDTH: usize>;

impl<'de, const WIDTH: usize> Visitor<'de> for PackedVisitor<WIDTH> {
    type Value = PackedNumbers<WIDTH>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a byte string of numbers of {WIDTH} bytes")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Self::Value, E> {
        if !bytes.len().is_multiple_of(WIDTH) {
            return Err(E::invalid_length(bytes.len(), &self));
        }
        let mut numbers = Vec::with_capacity(bytes.len() / WIDTH);
        for chunk in bytes.chunks_exact(WIDTH) {
            let mut number = [0u8; 8];
            number[..WIDTH].copy_from_slice(chunk);
            numbers.push(u64::from_le_bytes(number));
        }
        Ok(PackedNumbers(numbers))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<Self::Value, A::Error> {
        let mut bytes = Vec::new();
        while let Some(byte) = access.next_element::<u8>()? {
            bytes.push(byte);
        }
        self.visit_bytes(&bytes)
    }
}
