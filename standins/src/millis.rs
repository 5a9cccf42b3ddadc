//! Durations written as whole milliseconds in JSON.

use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serializer;

/// Writes a duration as whole milliseconds.
///
/// # Errors
/// Those of the serializer.
pub fn serialize<S: Serializer>(time: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
}

/// Reads a duration from whole milliseconds.
///
/// # Errors
/// Those of the deserializer.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    u64::deserialize(deserializer).map(Duration::from_millis)
}
