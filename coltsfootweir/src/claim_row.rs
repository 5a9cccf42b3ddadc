//! Keys and values of the table rows that claim callers' booking keys.
//!
//! | row | claims |
//! |---|---|
//! | `claim/<service>/<key>` | any key; the only row that earlier builds write and read |
//! | `timed-claim/<hour>/<service>/<key>` | a key with a timestamp; rows sort by its hour, so that the oldest come first |

use std::str::FromStr;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde::Deserialize;
use serde::Serialize;

use crate::booking_decision::ClaimRow;
use crate::booking_key::key_time;
use crate::key_age::CLAIM_RETENTION;

/// Prefix of plain rows, which claim any key.
const PLAIN_PREFIX: &str = "claim/";

/// Prefix of timed rows, which claim keys with a timestamp.
pub const TIMED_PREFIX: &str = "timed-claim/";

/// Seconds in an hour, the unit by which timed rows are sorted.
const HOUR_SECONDS: u64 = 60 * 60;

/// Rows that claim a key with a timestamp.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimLayout {
    /// The timed and the plain row, so that daemons of earlier builds find the claim.
    Both,
    /// Only the timed row.
    Timed,
}

impl FromStr for ClaimLayout {
    type Err = ();

    fn from_str(text: &str) -> Result<ClaimLayout, ()> {
        match text {
            "both" => Ok(ClaimLayout::Both),
            "timed" => Ok(ClaimLayout::Timed),
            _ => Err(()),
        }
    }
}

/// Keys of the rows that claim one booking key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimRowKeys {
    /// Key of the timed row.
    pub timed: Option<Box<str>>,
    /// Key of the plain row, the only one that earlier builds read.
    pub plain: Option<Box<str>>,
}

impl ClaimRowKeys {
    /// Returns the row keys for the caller's booking key `key` of a service.
    #[must_use]
    pub fn of(service: &str, key: &str, layout: ClaimLayout) -> ClaimRowKeys {
        let timed = key_time(key).map(|time| timed_key(time, service, key));
        let is_plain = timed.is_none() || layout == ClaimLayout::Both;
        let plain = is_plain.then(|| plain_key(service, key));
        ClaimRowKeys { timed, plain }
    }

    /// Iterates over the row keys, the timed one first.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        self.timed.iter().chain(&self.plain).map(|key| &**key)
    }

    /// Returns whether both rows are written.
    #[must_use]
    pub fn is_paired(&self) -> bool {
        self.timed.is_some() && self.plain.is_some()
    }
}

/// Stored value of a claim row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimValue {
    /// The claim.
    #[serde(flatten)]
    pub row: ClaimRow,
    /// Whether the plain row was written together with the timed one.
    #[serde(default)]
    pub is_paired: bool,
}

/// Parsed key of a timed row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TimedClaim {
    /// Upper bound of the time at which the booking key was made.
    pub made_before: SystemTime,
    /// Key of the plain row of the same booking key.
    pub plain: Box<str>,
}

impl TimedClaim {
    /// Parses the key of a timed row. Returns `None` if the key is malformed or its hour is not that
    /// of the booking key.
    #[must_use]
    pub fn parse(row_key: &str) -> Option<TimedClaim> {
        let mut parts = row_key.strip_prefix(TIMED_PREFIX)?.split('/');
        let hour: u64 = parts.next()?.parse().ok()?;
        let (service, key) = (parts.next()?, parts.next()?);
        let end = Duration::from_secs((hour + 1).checked_mul(HOUR_SECONDS)?);
        let made_before = UNIX_EPOCH.checked_add(end)?;
        // A row whose hour differs from that of its booking key would be removed too early.
        if *timed_key(key_time(key)?, service, key) != *row_key {
            return None;
        }
        Some(TimedClaim {
            made_before,
            plain: plain_key(service, key),
        })
    }

    /// Returns whether the row may be removed at the wall-clock time `wall`.
    #[must_use]
    pub fn is_removable(&self, wall: SystemTime) -> bool {
        wall > self.made_before + CLAIM_RETENTION
    }
}

fn plain_key(service: &str, key: &str) -> Box<str> {
    format!("{PLAIN_PREFIX}{service}/{key}").into()
}

/// Formats the key of a timed row. Eight digits fit every hour that the 48-bit millisecond timestamp of
/// a booking key can express.
fn timed_key(time: SystemTime, service: &str, key: &str) -> Box<str> {
    let since_epoch = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    let hour = since_epoch.as_secs() / HOUR_SECONDS;
    format!("{TIMED_PREFIX}{hour:08}/{service}/{key}").into()
}
