//! Parses the head of a response. A head that RFC 9110 and RFC 9112 call invalid is refused and never
//! repaired: whatever it is taken for, the body may not be the server's.

use std::fmt;

use crate::sidecar::frame::HeaderList;
use crate::sidecar::http_body::BodyFraming;
use crate::sidecar::http_body::HEAD_LIMIT;
use crate::sidecar::message_syntax::content_length;
use crate::sidecar::message_syntax::head_size;
use crate::sidecar::message_syntax::is_status_code;

/// Maximum number of fields of a head.
const MAX_FIELDS: usize = 64;

/// Beginning of a status line; a zero stands for any digit.
const STATUS_LINE: &[u8] = b"HTTP/0.0 000";

/// Status of a change of the protocol, which no request asks for.
const SWITCHING_PROTOCOLS: u16 = 101;

const NO_CONTENT: u16 = 204;
const NOT_MODIFIED: u16 = 304;

/// Beginnings of the lines that tell where a body ends.
const FRAMING_LINES: [&[u8]; 2] = [b"content-length:", b"transfer-encoding:"];

/// Reason why bytes are not a valid response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseFault {
    /// The status line is malformed, or names a version other than 1.0 and 1.1.
    StatusLine,
    /// The status code is not one of a response, or is `101`, which was not asked for.
    StatusCode,
    /// A CR or LF stands alone.
    LineBreak,
    /// A line is not a field.
    FieldLine,
    /// The head has more bytes or fields than are read.
    HeadSize,
    /// The head contains the status line of another response.
    SecondHead,
    /// The length of the body is malformed or ambiguous, or stated where there is no body.
    BodyLength,
    /// The transfer coding is not `chunked`, or stands beside a length or where there is no body.
    TransferCoding,
    /// The body would end with the connection, though the head does not say that it is closed.
    BodyEnd,
    /// A chunk, or its header, is malformed.
    ChunkFormat,
    /// A trailer is not a field, or the trailers have more bytes than are read.
    TrailerField,
    /// The body has more bytes than are read.
    BodySize,
    /// There are more interim responses than are skipped.
    InterimCount,
}

impl fmt::Display for ResponseFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ResponseFault::StatusLine => "malformed status line",
            ResponseFault::StatusCode => "invalid status code",
            ResponseFault::LineBreak => "CR or LF alone",
            ResponseFault::FieldLine => "line that is not a field",
            ResponseFault::HeadSize => "head too large",
            ResponseFault::SecondHead => "status line within the head",
            ResponseFault::BodyLength => "invalid content length",
            ResponseFault::TransferCoding => "invalid transfer coding",
            ResponseFault::BodyEnd => "body without an end",
            ResponseFault::ChunkFormat => "malformed chunk",
            ResponseFault::TrailerField => "malformed trailer",
            ResponseFault::BodySize => "body too large",
            ResponseFault::InterimCount => "too many interim responses",
        })
    }
}

impl std::error::Error for ResponseFault {}

/// Head of a response.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Fields in the order received, with their names unchanged.
    pub headers: HeaderList,
    /// Whether the server keeps the connection open after the response.
    pub keeps_alive: bool,
    /// How the end of the body is determined.
    pub framing: BodyFraming,
}

/// Parses the head at the front of `bytes`, of a response to a `HEAD` request if `is_head`. Returns its size
/// in bytes and the head, or `None` if it is incomplete.
///
/// # Errors
/// [`ResponseFault`] if the bytes are not the beginning of a valid response.
pub fn parse_response_head(
    bytes: &[u8],
    is_head: bool,
) -> Result<Option<(usize, ResponseHead)>, ResponseFault> {
    // The parser would skip empty lines.
    if matches!(bytes.first(), Some(b'\r' | b'\n')) {
        return Err(ResponseFault::StatusLine);
    }
    let size = head_size(bytes).map_err(|_| ResponseFault::LineBreak)?;
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Response::new(&mut fields);
    // A head that is incomplete is parsed, too, so that a fault is found before its end.
    let status = parsed.parse(bytes).map_err(fault_of)?;
    let (Some(size), httparse::Status::Complete(parsed_size)) = (size, status) else {
        return match bytes.len() > HEAD_LIMIT {
            true => Err(ResponseFault::HeadSize),
            false => Ok(None),
        };
    };
    if parsed_size != size {
        return Err(ResponseFault::LineBreak);
    }
    // The beginning of a response that was broken off may stand before the next one, and one of its lines
    // goes on with that status line.
    if has_second_head(&bytes[..size]) {
        return Err(ResponseFault::SecondHead);
    }
    let status = parsed.code.unwrap_or_default();
    if !is_status_code(status) || status == SWITCHING_PROTOCOLS {
        return Err(ResponseFault::StatusCode);
    }
    let mut headers = HeaderList::new();
    for field in parsed.headers.iter() {
        headers.push((field.name.into(), field.value.into()));
    }
    let is_current = parsed.version == Some(1);
    let closes = has_token(&headers, "connection", "close");
    let framing = body_framing(status, is_current, &headers, is_head)?;
    let head = ResponseHead {
        status,
        keeps_alive: is_current && !closes,
        headers,
        framing,
    };
    Ok(Some((size, head)))
}

fn fault_of(error: httparse::Error) -> ResponseFault {
    match error {
        httparse::Error::HeaderName | httparse::Error::HeaderValue => ResponseFault::FieldLine,
        httparse::Error::NewLine => ResponseFault::LineBreak,
        httparse::Error::TooManyHeaders => ResponseFault::HeadSize,
        httparse::Error::Status | httparse::Error::Token | httparse::Error::Version => {
            ResponseFault::StatusLine
        }
    }
}

/// Returns whether a status line stands in a head behind its own one.
fn has_second_head(head: &[u8]) -> bool {
    let mut windows = head.windows(STATUS_LINE.len());
    let is_status_line = |window: &[u8]| {
        let mut pairs = window.iter().zip(STATUS_LINE);
        pairs.all(|(byte, expected)| match expected {
            b'0' => byte.is_ascii_digit(),
            other => byte == other,
        })
    };
    let own = windows.position(is_status_line);
    own.is_some() && windows.any(is_status_line)
}

/// Determines how the body of a response ends (RFC 9112, 6.3), of version 1.1 if `is_current`.
fn body_framing(
    status: u16,
    is_current: bool,
    headers: &HeaderList,
    is_head: bool,
) -> Result<BodyFraming, ResponseFault> {
    let codings = values(headers, "transfer-encoding");
    let lengths = values(headers, "content-length");
    let is_bodiless = matches!(status, 100..=199 | NO_CONTENT);
    if !codings.is_empty() {
        let is_chunked = codings.len() == 1 && codings[0].eq_ignore_ascii_case(b"chunked");
        if !is_chunked || !lengths.is_empty() || !is_current || is_bodiless {
            return Err(ResponseFault::TransferCoding);
        }
    }
    let mut length = None;
    for value in lengths {
        let stated = content_length(value).ok_or(ResponseFault::BodyLength)?;
        if length.is_some_and(|other| other != stated) || (is_bodiless && stated > 0) {
            return Err(ResponseFault::BodyLength);
        }
        length = Some(stated);
    }
    if is_head || is_bodiless || status == NOT_MODIFIED {
        return Ok(BodyFraming::Length(0));
    }
    if !codings.is_empty() {
        return Ok(BodyFraming::Chunked);
    }
    if let Some(length) = length {
        return Ok(BodyFraming::Length(length));
    }
    for (name, value) in headers {
        // The field that told the length may have lost its name.
        let line = [name.as_bytes(), b":", value].concat();
        if FRAMING_LINES.iter().any(|known| is_misspelt(&line, known)) {
            return Err(ResponseFault::BodyLength);
        }
    }
    if !ends_connection(is_current, headers) {
        return Err(ResponseFault::BodyEnd);
    }
    Ok(BodyFraming::UntilClose)
}

/// Returns whether the server says that it closes the connection after the response (RFC 9112, 9.3). A body
/// that ends with a connection which goes on may have another length, which the head does not tell.
fn ends_connection(is_current: bool, headers: &HeaderList) -> bool {
    match is_current {
        true => has_token(headers, "connection", "close"),
        false => !has_token(headers, "connection", "keep-alive"),
    }
}

/// Returns whether a line begins with a known text of which one byte was lost, added or replaced.
fn is_misspelt(line: &[u8], known: &[u8]) -> bool {
    let is_same = |(one, other): &(&u8, &u8)| one.eq_ignore_ascii_case(other);
    let prefix = line.iter().zip(known).take_while(is_same).count();
    let (line, known) = (&line[prefix..], &known[prefix..]);
    let line_rest = line.get(1..).unwrap_or_default();
    let known_rest = known.get(1..).unwrap_or_default();
    let begins = |text: &[u8], part: &[u8]| {
        let beginning = text.get(..part.len()).unwrap_or_default();
        text.len() >= part.len() && beginning.eq_ignore_ascii_case(part)
    };
    begins(line, known_rest) || begins(line_rest, known) || begins(line_rest, known_rest)
}

fn values<'h>(headers: &'h HeaderList, name: &str) -> Vec<&'h [u8]> {
    let mut found = Vec::new();
    for (key, value) in headers {
        if key.eq_ignore_ascii_case(name) {
            found.push(&**value);
        }
    }
    found
}

fn has_token(headers: &HeaderList, name: &str, token: &str) -> bool {
    let is_token = |word: &[u8]| word.trim_ascii().eq_ignore_ascii_case(token.as_bytes());
    let mut values = values(headers, name).into_iter();
    values.any(|value| value.split(|byte| *byte == b',').any(is_token))
}
