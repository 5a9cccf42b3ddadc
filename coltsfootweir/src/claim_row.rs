//! Keys and values of the table rows that claim callers' keys.
//!
//! | row | claims |
//! |---|---|
//! | `claim/<service>/<key>` | any key; earlier builds write and read only this one |
//! | `timed-claim/<hour>/<service>/<key>` | a key that carries its time; sorted by that time, so that old rows come first |

use std::str::FromStr;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde::Deserialize;
use serde::Serialize;

use crate::booking_decision::ClaimRow;
use crate::booking_key::key_time;
use crate::key_age::CLAIM_RETENTION;

/// Prefix of rows of any key.
const PLAIN_PREFIX: &str = "claim/";

/// Prefix of rows of keys that carry their time.
pub const TIMED_PREFIX: &str = "timed-claim/";

/// Seconds of an hour, by which timed rows are sorted.
const HOUR_SECONDS: u64 = 60 * 60;

/// Which rows claim a key that carries its time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimLayout {
    /// Both rows, so that daemons of earlier builds find the claim.
    Both,
    /// The timed row alone.
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
    /// Row sorted by the time of the key.
    pub timed: Option<Box<str>>,
    /// Row that earlier builds know.
    pub plain: Option<Box<str>>,
}

impl ClaimRowKeys {
    /// Returns the rows for the caller's key `key` of a service.
    #[must_use]
    pub fn of(service: &str, key: &str, layout: ClaimLayout) -> ClaimRowKeys {
        let timed = key_time(key).map(|time| timed_key(time, service, key));
        let is_plain = timed.is_none() || layout == ClaimLayout::Both;
        let plain = is_plain.then(|| plain_key(service, key));
        ClaimRowKeys { timed, plain }
    }

    /// Returns every row.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        self.timed.iter().chain(&self.plain).map(|key| &**key)
    }

    /// Returns whether both rows are written.
    #[must_use]
    pub fn is_paired(&self) -> bool {
        self.timed.is_some() && self.plain.is_some()
    }
}

/// Value of a claim row as it is stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimValue {
    /// The claim.
    #[serde(flatten)]
    pub row: ClaimRow,
    /// Whether the plain row was written with the timed one.
    #[serde(default)]
    pub is_paired: bool,
}

/// A timed row, as its key tells it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TimedClaim {
    /// Time before which the booking key was made.
    pub made_before: SystemTime,
    /// Key of the plain row of the same booking key.
    pub plain: Box<str>,
}

impl TimedClaim {
    /// Reads the key of a timed row.
    #[must_use]
    pub fn parse(row_key: &str) -> Option<TimedClaim> {
        let mut parts = row_key.strip_prefix(TIMED_PREFIX)?.split('/');
        let hour: u64 = parts.next()?.parse().ok()?;
        let (service, key) = (parts.next()?, parts.next()?);
        let end = Duration::from_secs((hour + 1).checked_mul(HOUR_SECONDS)?);
        let made_before = UNIX_EPOCH.checked_add(end)?;
        // A row under another hour than its key's would be removed too early.
        if *timed_key(key_time(key)?, service, key) != *row_key {
            return None;
        }
        Some(TimedClaim {
            made_before,
            plain: plain_key(service, key),
        })
    }

    /// Returns whether the row may be removed at the time of day `wall`.
    #[must_use]
    pub fn is_removable(&self, wall: SystemTime) -> bool {
        wall > self.made_before + CLAIM_RETENTION
    }
}

fn plain_key(service: &str, key: &str) -> Box<str> {
    format!("{PLAIN_PREFIX}{service}/{key}").into()
}

/// Eight digits hold every hour of the 48 bits that a key has for its milliseconds.
fn timed_key(time: SystemTime, service: &str, key: &str) -> Box<str> {
    let since_epoch = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    let hour = since_epoch.as_secs() / HOUR_SECONDS;
    format!("{TIMED_PREFIX}{hour:08}/{service}/{key}").into()
}
