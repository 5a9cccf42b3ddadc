//! Writes the head of a response to a client.

use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::Version;
use hyper::body::Body;
use hyper::header;

/// How the end of a response body is marked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseFraming {
    /// There is no body.
    Empty,
    /// Number of bytes.
    Length(u64),
    /// Chunks.
    Chunked,
}

impl ResponseFraming {
    /// Returns how the end of a response's body is marked. Bodies of unknown length go in chunks;
    /// clients without chunks do not get such answers.
    #[must_use]
    pub fn of<B: Body>(response: &Response<B>, is_head: bool) -> ResponseFraming {
        let status = response.status();
        let has_none = is_head
            || status.is_informational()
            || status == StatusCode::NO_CONTENT
            || status == StatusCode::NOT_MODIFIED;
        match response.body().size_hint().exact() {
            _ if has_none => ResponseFraming::Empty,
            Some(length) => ResponseFraming::Length(length),
            None => ResponseFraming::Chunked,
        }
    }
}

/// Appends the head of a response to `bytes`. `connection` is the value of the connection header, if
/// there is one.
pub fn write_head(
    status: StatusCode,
    headers: &HeaderMap,
    version: Version,
    framing: ResponseFraming,
    connection: Option<&str>,
    bytes: &mut Vec<u8>,
) {
    let version = match version {
        Version::HTTP_10 => "HTTP/1.0",
        _ => "HTTP/1.1",
    };
    let reason = status.canonical_reason().unwrap_or("");
    bytes.extend_from_slice(format!("{version} {} {reason}\r\n", status.as_u16()).as_bytes());
    for (name, value) in headers {
        let is_own = *name == header::CONNECTION
            || *name == header::CONTENT_LENGTH
            || *name == header::TRANSFER_ENCODING;
        if !is_own {
            write_field(name.as_str(), value.as_bytes(), bytes);
        }
    }
    match framing {
        ResponseFraming::Empty => {}
        ResponseFraming::Length(length) => {
            write_field("content-length", length.to_string().as_bytes(), bytes);
        }
        ResponseFraming::Chunked => write_field("transfer-encoding", b"chunked", bytes),
    }
    if let Some(connection) = connection {
        write_field("connection", connection.as_bytes(), bytes);
    }
    bytes.extend_from_slice(b"\r\n");
}

fn write_field(name: &str, value: &[u8], bytes: &mut Vec<u8>) {
    bytes.extend_from_slice(name.as_bytes());
    bytes.extend_from_slice(b": ");
    bytes.extend_from_slice(value);
    bytes.extend_from_slice(b"\r\n");
}
