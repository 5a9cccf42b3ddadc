//! Parses the head of a response.

use std::fmt;

use crate::sidecar::frame::HeaderList;
use crate::sidecar::http_body::BodyFraming;
use crate::sidecar::http_body::HEAD_LIMIT;
use crate::sidecar::message_syntax::is_status_code;

/// Maximum number of fields of a head.
const MAX_FIELDS: usize = 64;

/// Beginning of a status line; a zero stands for any digit.
const STATUS_LINE: &[u8] = b"HTTP/0.0 000";

/// Status of a change of the protocol, which no request asks for.
const SWITCHING_PROTOCOLS: u16 = 101;

const NO_CONTENT: u16 = 204;
const NOT_MODIFIED: u16 = 304;

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
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Response::new(&mut fields);
    // A head that is incomplete is parsed, too, so that a fault is found before its end.
    let status = parsed.parse(bytes).map_err(fault_of)?;
    let httparse::Status::Complete(size) = status else {
        return match bytes.len() > HEAD_LIMIT {
            true => Err(ResponseFault::HeadSize),
            false => Ok(None),
        };
    };
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
    let framing = body_framing(status, &headers, is_head)?;
    let head = ResponseHead {
        status,
        keeps_alive: is_current && !closes && framing != BodyFraming::UntilClose,
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

/// Determines how the body of a response ends (RFC 9112, 6.3).
fn body_framing(
    status: u16,
    headers: &HeaderList,
    is_head: bool,
) -> Result<BodyFraming, ResponseFault> {
    if is_head || matches!(status, 100..=199 | NO_CONTENT | NOT_MODIFIED) {
        return Ok(BodyFraming::Length(0));
    }
    let text = |name: &str| {
        let value = values(headers, name).into_iter().next()?;
        std::str::from_utf8(value).ok()
    };
    if let Some(coding) = text("transfer-encoding") {
        return match coding.eq_ignore_ascii_case("chunked") {
            true => Ok(BodyFraming::Chunked),
            false => Err(ResponseFault::TransferCoding),
        };
    }
    match text("content-length") {
        Some(length) => {
            let length = length.parse().map_err(|_| ResponseFault::BodyLength)?;
            Ok(BodyFraming::Length(length))
        }
        None => Ok(BodyFraming::UntilClose),
    }
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
