//! Grammar of heads of HTTP/1.1 (RFC 9110, RFC 9112), without what
//! parsers tolerate beyond it.

use std::ops::RangeInclusive;

/// Valid status codes of responses (RFC 9110, 15).
const STATUS_CODES: RangeInclusive<u16> = 100..=599;

/// First status code that is not one of an interim response (RFC 9110, 15.2).
const FIRST_FINAL_STATUS: u16 = 200;

/// Returns whether a status code is one of a response.
#[must_use]
pub fn is_status_code(status: u16) -> bool {
    STATUS_CODES.contains(&status)
}

/// Returns whether a status code is one of a final response, which ends a request.
#[must_use]
pub fn is_final_status(status: u16) -> bool {
    is_status_code(status) && status >= FIRST_FINAL_STATUS
}
