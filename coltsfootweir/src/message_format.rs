//! Encoding of the messages between daemons, compatible across builds.
//!
//! Messages are MessagePack with structs as arrays of their fields. A new field is added at the end,
//! with a default: builds without the field ignore it, builds with it use the default if it is
//! missing. A future format that older builds would misread must start with its number, an integer
//! from 1 to 127; no message of the current format starts with such a byte.

use std::fmt;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::lenient::LenientReader;

/// Highest format number; a higher first byte starts a message of the current format.
const MAX_FORMAT_NUMBER: u8 = 127;

/// Reason why a message could not be encoded or decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MessageError {
    /// The message has a format number that this build doesn't support.
    UnknownFormat(u8),
    /// The message is not valid in the current format.
    Unreadable(Box<str>),
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MessageError::UnknownFormat(format) => {
                write!(f, "message form {format} is not known to this build")
            }
            MessageError::Unreadable(reason) => write!(f, "unreadable: {reason}"),
        }
    }
}

impl std::error::Error for MessageError {}

/// Encodes a message to another daemon.
///
/// # Errors
/// [`MessageError::Unreadable`] if the message can't be encoded.
pub fn encode_message(message: &impl Serialize) -> Result<Vec<u8>, MessageError> {
    rmp_serde::to_vec(message).map_err(|error| MessageError::Unreadable(error.to_string().into()))
}

/// Decodes a message from another daemon; fields that this build does not define are ignored.
///
/// # Errors
/// [`MessageError::UnknownFormat`] if the message has a format number, [`MessageError::Unreadable`] if
/// it is malformed.
pub fn decode_message<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MessageError> {
    if let Some(format @ 1..=MAX_FORMAT_NUMBER) = bytes.first() {
        return Err(MessageError::UnknownFormat(*format));
    }
    let mut decoder = rmp_serde::Deserializer::from_read_ref(bytes);
    T::deserialize(LenientReader(&mut decoder))
        .map_err(|error| MessageError::Unreadable(error.to_string().into()))
}
