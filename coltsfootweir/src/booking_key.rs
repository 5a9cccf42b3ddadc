//! Booking keys, carried in the `idempotency-key` header.

use std::fmt;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use uuid::Uuid;
use uuid::Variant;
use uuid::Version;

use crate::ids::Incarnation;
use crate::ids::MemberId;

/// Maximum length of a key in bytes.
pub const MAX_KEY_LENGTH: usize = 128;

/// Prefix of every minted key.
const MINTED_PREFIX: &str = "cw1~";

/// Separator of the parts of a minted key.
const PART_SEPARATOR: char = '~';

/// Key of a booking.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum BookingKey {
    /// Key minted by a daemon. Only that daemon, in this incarnation, may run the booking.
    Minted {
        /// Daemon that minted the key.
        member: MemberId,
        /// Incarnation of that daemon.
        incarnation: Incarnation,
        /// Sequence number of the key in that incarnation.
        counter: u64,
    },
    /// Key made by the caller.
    Caller(Box<str>),
}

/// Error of parsing a booking key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyError {
    /// The key is empty.
    Empty,
    /// The key is longer than [`MAX_KEY_LENGTH`].
    TooLong,
    /// The key has a character other than ASCII letters, digits and `-_.:~@+=`.
    BadCharacter,
    /// The key has the prefix of a minted key but is not one.
    MalformedMinted,
}

impl BookingKey {
    /// Parses a key.
    ///
    /// # Errors
    /// Returns a [`KeyError`] if the text is not a valid key.
    pub fn parse(text: &str) -> Result<BookingKey, KeyError> {
        if text.is_empty() {
            return Err(KeyError::Empty);
        }
        if text.len() > MAX_KEY_LENGTH {
            return Err(KeyError::TooLong);
        }
        if !text.bytes().all(is_key_byte) {
            return Err(KeyError::BadCharacter);
        }
        let Some(parts) = text.strip_prefix(MINTED_PREFIX) else {
            return Ok(BookingKey::Caller(text.into()));
        };
        parse_minted(parts)
            .filter(|key| key.to_string() == text)
            .ok_or(KeyError::MalformedMinted)
    }

    /// Returns the timestamp of a caller's key, if it has one.
    #[must_use]
    pub fn time(&self) -> Option<SystemTime> {
        match self {
            BookingKey::Minted { .. } => None,
            BookingKey::Caller(text) => key_time(text),
        }
    }
}

/// Returns the timestamp of a caller's key. Only a version 7 UUID has one.
#[must_use]
pub fn key_time(text: &str) -> Option<SystemTime> {
    let uuid = Uuid::try_parse(text).ok()?;
    let is_timed =
        uuid.get_version() == Some(Version::SortRand) && uuid.get_variant() == Variant::RFC4122;
    let (seconds, nanos) = uuid.get_timestamp().filter(|_| is_timed)?.to_unix();
    Some(UNIX_EPOCH + Duration::new(seconds, nanos))
}

fn is_key_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"-_.:~@+=".contains(&byte)
}

fn parse_minted(parts: &str) -> Option<BookingKey> {
    let mut parts = parts.split(PART_SEPARATOR);
    let key = BookingKey::Minted {
        member: parts.next()?.into(),
        incarnation: parts.next()?.parse().ok()?,
        counter: parts.next()?.parse().ok()?,
    };
    Some(key)
}

impl fmt::Display for BookingKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BookingKey::Minted {
                member,
                incarnation,
                counter,
            } => write!(f, "{MINTED_PREFIX}{member}~{incarnation}~{counter}"),
            BookingKey::Caller(text) => f.write_str(text),
        }
    }
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            KeyError::Empty => "booking key is empty",
            KeyError::TooLong => {
                return write!(f, "booking key is longer than {MAX_KEY_LENGTH} bytes");
            }
            KeyError::BadCharacter => "booking key has a character that is not allowed",
            KeyError::MalformedMinted => {
                "booking key has the prefix of a minted key but is not one"
            }
        };
        f.write_str(text)
    }
}

impl std::error::Error for KeyError {}
