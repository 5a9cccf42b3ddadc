//! Rows of departures in the platform's store: one for each daemon whose endpoint has departed.

use std::time::Duration;

use crate::sidecar::announcement::DepartedLifetime;
use crate::sidecar::platform_adapter::PlatformFormatError;
use crate::sidecar::platform_adapter::StoreRow;
use crate::sidecar::store_era::store_version::StoreVersion;

/// Time for which a departure is kept. A late announcement is some seconds late; the clocks of the
/// VMs may differ by as much.
const KEEP_TIME: Duration = Duration::from_secs(3_600);

/// Encodes the departures of a daemon.
///
/// # Errors
/// [`PlatformFormatError`] if they can't be encoded.
pub fn encode_departures(departures: &[DepartedLifetime]) -> Result<Vec<u8>, PlatformFormatError> {
    rmp_serde::to_vec(departures).map_err(|error| PlatformFormatError::new("departures", error))
}

/// Decodes the departures of a daemon. A removed row has none.
///
/// # Errors
/// [`PlatformFormatError`] if the row is not one of departures.
pub fn decode_departures(row: &StoreRow) -> Result<Vec<DepartedLifetime>, PlatformFormatError> {
    let Some(value) = &row.value else {
        return Ok(Vec::new());
    };
    rmp_serde::from_slice(value).map_err(|error| PlatformFormatError::new("departures row", error))
}

/// Returns the keys and versions of the rows whose departures are too old to matter at `wall`, a
/// time of day in milliseconds since the Unix epoch. Unreadable rows stay.
#[must_use]
pub fn expired_rows(rows: &[StoreRow], wall: u64) -> Vec<(Box<str>, StoreVersion)> {
    let mut expired = Vec::new();
    for row in rows {
        let Ok(departures) = decode_departures(row) else {
            continue;
        };
        let newest = departures.iter().map(|lifetime| lifetime.departed_at).max();
        let age = Duration::from_millis(wall.saturating_sub(newest.unwrap_or(0)));
        if age > KEEP_TIME {
            expired.push((row.key.clone(), row.version));
        }
    }
    expired
}
