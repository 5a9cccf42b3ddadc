//! Grammar of heads of HTTP/1.1 (RFC 9110, RFC 9112), without what
//! parsers tolerate beyond it.

use std::ops::RangeInclusive;

/// Valid status codes of responses (RFC 9110, 15).
const STATUS_CODES: RangeInclusive<u16> = 100..=599;

/// First status code that is not one of an interim response (RFC 9110, 15.2).
const FIRST_FINAL_STATUS: u16 = 200;

/// End of the last line of a head, and the empty line after it.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Error for bytes that are not what the grammar asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SyntaxError;

/// Returns the size of the head at the front of `bytes`, with its empty line; `None` if its end is missing.
///
/// # Errors
/// [`SyntaxError`] if a CR or LF stands alone. A parser that takes one for the end of a line finds other
/// fields, and another end of the head, than one that does not.
pub fn head_size(bytes: &[u8]) -> Result<Option<usize>, SyntaxError> {
    for (index, byte) in bytes.iter().enumerate() {
        let is_broken = match byte {
            b'\n' => index == 0 || bytes[index - 1] != b'\r',
            b'\r' => bytes.get(index + 1).is_some_and(|next| *next != b'\n'),
            _ => continue,
        };
        if is_broken {
            return Err(SyntaxError);
        }
        if bytes[..=index].ends_with(HEAD_END) {
            return Ok(Some(index + 1));
        }
    }
    Ok(None)
}

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

/// Parses the value of a `Content-Length` field: digits only. A list of lengths is refused, also one of
/// equal lengths: a comma may have taken the place of a digit.
#[must_use]
pub fn content_length(value: &[u8]) -> Option<u64> {
    let digits = std::str::from_utf8(value).ok()?;
    let is_number = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit());
    is_number.then(|| digits.parse().ok()).flatten()
}
