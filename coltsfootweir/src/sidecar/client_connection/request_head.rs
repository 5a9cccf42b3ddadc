//! Parses the head of a client's request.

use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Uri;
use hyper::Version;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;

use crate::sidecar::client_connection::body_decoder::RequestFraming;
use crate::sidecar::message_syntax::content_length;

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 100;

/// Head of a request.
#[derive(Debug)]
pub struct RequestHead {
    /// Method, target, version and headers.
    pub request: Request<()>,
    /// How the end of the body is determined.
    pub framing: RequestFraming,
    /// Whether the client keeps the connection open after the answer.
    pub keeps_alive: bool,
    /// Whether the client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

/// Error for a request head that can't be served. The connection can't be used any more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeadError {
    /// The head is too large or has too many headers.
    TooLarge,
    /// The head is malformed, or the length of its body is ambiguous.
    Malformed,
}

/// Finds the end of a head after `scanned` bytes that were searched before. Returns whether there
/// is one; without this check, a head that arrives in single bytes would be parsed for each of them.
#[must_use]
pub fn has_end(bytes: &[u8], scanned: usize) -> bool {
    let start = scanned.saturating_sub(2);
    let rest = bytes.get(start..).unwrap_or_default();
    rest.windows(3).any(|part| part == b"\n\r\n") || rest.windows(2).any(|part| part == b"\n\n")
}

/// Parses the head at the front of `bytes`. Returns its size and the head, or `None` if it is
/// incomplete.
///
/// # Errors
/// [`HeadError`] if the request can't be served.
pub fn parse_head(bytes: &[u8]) -> Result<Option<(usize, RequestHead)>, HeadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let size = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(size)) => size,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(HeadError::TooLarge),
        Err(_) => return Err(HeadError::Malformed),
    };
    let method = parsed
        .method
        .and_then(|method| method.parse::<Method>().ok());
    let target = parsed.path.and_then(|target| target.parse::<Uri>().ok());
    let (Some(method), Some(target)) = (method, target) else {
        return Err(HeadError::Malformed);
    };
    let mut request = Request::new(());
    *request.method_mut() = method;
    *request.uri_mut() = target;
    *request.version_mut() = match parsed.version {
        Some(0) => Version::HTTP_10,
        _ => Version::HTTP_11,
    };
    request.headers_mut().reserve(parsed.headers.len());
    for field in parsed.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(field.value);
        let (Ok(name), Ok(value)) = (name, value) else {
            return Err(HeadError::Malformed);
        };
        request.headers_mut().append(name, value);
    }
    let framing = body_framing(request.version(), request.headers())?;
    let is_current = request.version() == Version::HTTP_11;
    let keeps_alive = match is_current {
        true => !has_token(request.headers(), &header::CONNECTION, "close"),
        false => has_token(request.headers(), &header::CONNECTION, "keep-alive"),
    };
    let expects_continue =
        is_current && has_token(request.headers(), &header::EXPECT, "100-continue");
    let head = RequestHead {
        request,
        framing,
        keeps_alive,
        expects_continue,
    };
    Ok(Some((size, head)))
}

/// Determines how the body ends. An ambiguous length is refused, since the endpoint could take a
/// part of the body for another request.
fn body_framing(version: Version, headers: &HeaderMap) -> Result<RequestFraming, HeadError> {
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    if let Some(coding) = codings.next() {
        let is_chunked = coding
            .as_bytes()
            .trim_ascii()
            .eq_ignore_ascii_case(b"chunked");
        let is_only = codings.next().is_none() && lengths.next().is_none();
        return match is_chunked && is_only && version == Version::HTTP_11 {
            true => Ok(RequestFraming::Chunked),
            false => Err(HeadError::Malformed),
        };
    }
    let Some(length) = lengths.next() else {
        return Ok(RequestFraming::Length(0));
    };
    if lengths.any(|other| other != length) {
        return Err(HeadError::Malformed);
    }
    let length = content_length(length.as_bytes()).ok_or(HeadError::Malformed)?;
    Ok(RequestFraming::Length(length))
}

fn has_token(headers: &HeaderMap, name: &HeaderName, token: &str) -> bool {
    for value in headers.get_all(name) {
        let Ok(text) = value.to_str() else {
            continue;
        };
        if text
            .split(',')
            .any(|word| word.trim().eq_ignore_ascii_case(token))
        {
            return true;
        }
    }
    false
}
