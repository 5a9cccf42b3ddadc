//! Tells from the answers of the store which era they are from.

use std::fmt;

use crate::sidecar::store_era::store_version::StoreEra;
use crate::sidecar::store_era::store_version::StoreVersion;

/// Reason why the era of an answer is not known.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EraFault {
    /// The header is not a number, or one out of range.
    Unreadable(Box<str>),
    /// The answer is from an earlier era than one that was seen before.
    Stale {
        /// Era of the answer; 0 if it names none.
        era: StoreEra,
        /// Newest era that was seen.
        newest: StoreEra,
    },
}

impl fmt::Display for EraFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EraFault::Unreadable(value) => write!(f, "era {value:?} is no number in range"),
            EraFault::Stale { era, newest } => write!(f, "era {era} after era {newest}"),
        }
    }
}

impl std::error::Error for EraFault {}

/// Era of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EraReading {
    /// The era.
    pub era: StoreEra,
    /// Newest era seen before, if the answer is the first one of a newer era.
    pub ended: Option<StoreEra>,
}

/// Newest era that the answers of the store have named.
#[derive(Clone, Copy, Debug, Default)]
pub struct EraTracker {
    newest: Option<StoreEra>,
}

impl EraTracker {
    /// Returns the newest era seen; 0 before the first answer.
    #[must_use]
    pub fn newest(&self) -> StoreEra {
        self.newest.unwrap_or_default()
    }

    /// Reads the era in the header of an answer. An answer without the header is from era 0, the only one
    /// of a store that does not count them.
    ///
    /// # Errors
    /// [`EraFault`] if the era can't be read or is older than the newest one. What the answer says of
    /// versions must not be used then.
    pub fn read(&mut self, header: Option<&str>) -> Result<EraReading, EraFault> {
        let era = match header.map(str::trim) {
            None => 0,
            Some(text) => parse_era(text).ok_or_else(|| EraFault::Unreadable(text.into()))?,
        };
        let newest = self.newest();
        if era < newest {
            return Err(EraFault::Stale { era, newest });
        }
        let ended = self.newest.filter(|newest| *newest < era);
        self.newest = Some(era);
        Ok(EraReading { era, ended })
    }
}

fn parse_era(text: &str) -> Option<StoreEra> {
    // `parse` takes a sign.
    let is_number = text.bytes().all(|byte| byte.is_ascii_digit());
    let era = is_number.then(|| text.parse().ok()).flatten()?;
    StoreVersion::new(era, 0).map(StoreVersion::era)
}
