//! Error when a connection to another daemon can't be opened.

use std::fmt;

use crate::ids::MemberId;

/// Error when a link can't be opened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DialError {
    /// The connection failed, or the peer did not identify itself in time.
    Unreachable,
    /// Another daemon uses the address now.
    OtherDaemon(MemberId),
}

impl fmt::Display for DialError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DialError::Unreachable => {
                f.write_str("the connection failed or no hello frame was received")
            }
            DialError::OtherDaemon(id) => write!(f, "the address is used by daemon {id}"),
        }
    }
}

impl std::error::Error for DialError {}
