//! Form of the messages between daemons, so that daemons of unlike builds read one another.
//!
//! A struct is an array of its fields. A field is added at the end, with a default: a build without
//! it passes over it, a build with it fills in the default. A form that an older build would misread
//! starts with its number, a whole number from 1 to 127, which no message of the present form does.

use std::fmt;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::lenient::LenientReader;

/// Highest number of a form; higher first bytes start a message of the present form.
const HIGHEST_FORM: u8 = 127;

/// Why a message was not read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MessageError {
    /// It is of a form that this build does not know.
    UnknownForm(u8),
    /// It is not a message of the present form.
    Unreadable(Box<str>),
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MessageError::UnknownForm(form) => {
                write!(f, "message form {form} is not known to this build")
            }
            MessageError::Unreadable(reason) => write!(f, "unreadable: {reason}"),
        }
    }
}

impl std::error::Error for MessageError {}

/// Encodes a message for a daemon.
///
/// # Errors
/// [`MessageError::Unreadable`] when the message has no encoding.
pub fn encode_message(message: &impl Serialize) -> Result<Vec<u8>, MessageError> {
    rmp_serde::to_vec(message).map_err(|error| MessageError::Unreadable(error.to_string().into()))
}

/// Decodes a message of a daemon, which may have more fields than this build knows.
///
/// # Errors
/// Any [`MessageError`].
pub fn decode_message<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MessageError> {
    if let Some(form @ 1..=HIGHEST_FORM) = bytes.first() {
        return Err(MessageError::UnknownForm(*form));
    }
    let mut decoder = rmp_serde::Deserializer::from_read_ref(bytes);
    T::deserialize(LenientReader(&mut decoder))
        .map_err(|error| MessageError::Unreadable(error.to_string().into()))
}
