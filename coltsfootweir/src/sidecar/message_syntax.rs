//! Grammar that heads, trailers and chunk headers of HTTP/1.1 share (RFC 9110, RFC 9112), without what
//! parsers tolerate beyond it.

use std::ops::RangeInclusive;

/// Valid status codes of responses (RFC 9110, 15).
const STATUS_CODES: RangeInclusive<u16> = 100..=599;

/// First status code that is not one of an interim response (RFC 9110, 15.2).
const FIRST_FINAL_STATUS: u16 = 200;

/// Maximum number of hexadecimal digits of a chunk size; more do not fit into a `u64`.
const CHUNK_SIZE_DIGITS: usize = 16;

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

/// Returns whether `name` is the name of a field: a token (RFC 9110, 5.6.2).
#[must_use]
pub fn is_field_name(name: &[u8]) -> bool {
    let is_token = |byte: &u8| {
        let is_mark = matches!(
            byte,
            b'!' | b'#'..=b'\'' | b'*' | b'+' | b'-' | b'.' | b'^'..=b'`' | b'|' | b'~'
        );
        is_mark || byte.is_ascii_alphanumeric()
    };
    !name.is_empty() && name.iter().all(is_token)
}

/// Returns whether `value` can be the value of a field: it has no control byte but tabs.
#[must_use]
pub fn is_field_value(value: &[u8]) -> bool {
    let is_control = |byte: &u8| byte.is_ascii_control() && *byte != b'\t';
    !value.iter().any(is_control)
}

/// Returns whether a line, without its end, is a field: a name, a colon right after it and a value.
#[must_use]
pub fn is_field_line(line: &[u8]) -> bool {
    let Some(colon) = line.iter().position(|byte| *byte == b':') else {
        return false;
    };
    is_field_name(&line[..colon]) && is_field_value(&line[colon + 1..])
}

/// Parses the value of a `Content-Length` field: digits only. A list of lengths is refused, also one of
/// equal lengths: a comma may have taken the place of a digit.
#[must_use]
pub fn content_length(value: &[u8]) -> Option<u64> {
    let digits = std::str::from_utf8(value).ok()?;
    let is_number = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit());
    is_number.then(|| digits.parse().ok()).flatten()
}

/// Parses the header of a chunk at the front of `bytes`: its size, and extensions, which are ignored
/// (RFC 9112, 7.1). Returns the length of the header with its line end, and the size of the chunk; `None` if
/// the line is incomplete.
///
/// # Errors
/// [`SyntaxError`] if the line, or the part of it that is there, is no header of a chunk.
pub fn chunk_header(bytes: &[u8]) -> Result<Option<(usize, u64)>, SyntaxError> {
    let end = bytes.iter().position(|byte| *byte == b'\n');
    let line = &bytes[..end.unwrap_or(bytes.len())];
    let text = line.strip_suffix(b"\r");
    let is_digit = |byte: &&u8| byte.is_ascii_hexdigit();
    let count = line.iter().take_while(is_digit).count();
    let (digits, rest) = text.unwrap_or(line).split_at(count);
    let extensions = rest.trim_ascii_start();
    let is_valid = (count > 0 || line.is_empty())
        && count <= CHUNK_SIZE_DIGITS
        && (extensions.is_empty() || extensions.starts_with(b";"))
        && is_field_value(rest);
    if !is_valid {
        return Err(SyntaxError);
    }
    let Some(end) = end else {
        return Ok(None);
    };
    let has_blanks_only = extensions.is_empty() && !rest.is_empty();
    if text.is_none() || has_blanks_only {
        return Err(SyntaxError);
    }
    let digits = std::str::from_utf8(digits).map_err(|_| SyntaxError)?;
    let size = u64::from_str_radix(digits, 16).map_err(|_| SyntaxError)?;
    Ok(Some((end + 1, size)))
}
