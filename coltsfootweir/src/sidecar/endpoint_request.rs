//! Writes requests to the local endpoint.

use std::fmt::Write;
use std::time::Duration;

use crate::sidecar::frame::ForwardedCall;
use crate::sidecar::platform_adapter::HeaderNames;

/// Returns the head of a request for the endpoint with the id `endpoint`, which may
/// take the time `left`.
pub(crate) fn write_head(
    call: &ForwardedCall,
    names: &HeaderNames,
    endpoint: &str,
    left: Duration,
) -> Vec<u8> {
    let mut head = format!("{} {} HTTP/1.1\r\n", call.method, call.path).into_bytes();
    for (name, value) in &call.headers {
        head.extend_from_slice(name.as_bytes());
        head.extend_from_slice(b": ");
        head.extend_from_slice(value);
        head.extend_from_slice(b"\r\n");
    }
    let mut own = String::new();
    // Writing to a string cannot fail.
    let _ = write!(own, "{}: {}\r\n", names.time_left, left.as_millis());
    let _ = write!(own, "{}: {}\r\n", names.expected_endpoint, endpoint);
    if !call.body.is_empty() || matches!(&*call.method, "POST" | "PUT" | "PATCH") {
        let _ = write!(own, "content-length: {}\r\n", call.body.len());
    }
    own.push_str("\r\n");
    head.extend_from_slice(own.as_bytes());
    head
}

/// Returns whether a header applies to a single connection or to the framing of a body, and must not
/// be forwarded.
#[must_use]
pub fn is_connection_header(name: &str) -> bool {
    const NAMES: [&str; 10] = [
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    ];
    NAMES.iter().any(|known| name.eq_ignore_ascii_case(known))
}

/// Returns the header name and value that identify the response to a request; `None` if the client
/// sent no id.
pub(crate) fn response_identity<'i>(
    name: &'i str,
    request_id: &'i str,
) -> Option<(&'i str, &'i str)> {
    (!request_id.is_empty()).then_some((name, request_id))
}
