//! Large answers of an endpoint, whole, broken off or without end.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::mesh_endpoint::EndpointState;
use super::mesh_endpoint::LOST_IDS;
use crate::common::caller_threads::pause;

/// Bytes written at once.
const CHUNK_BYTES: usize = 8 * 1024;

/// Time in which the caller's write of the request stands still before the connection is reset.
const STALL: Duration = Duration::from_millis(150);

/// Limit of an answer without end: a daemon that takes that much has no bound.
const ENDLESS_LIMIT: u64 = 4_000_000_000;

/// How a large answer goes. The last part of a request's path names it, `SHAPE-BYTES`.
pub struct LargeAnswer {
    shape: String,
    length: usize,
}

impl LargeAnswer {
    /// Returns the answer that a path asks for.
    pub fn parse(mode: &str) -> Option<LargeAnswer> {
        let (shape, length) = mode.rsplit_once('-')?;
        Some(LargeAnswer {
            shape: shape.to_owned(),
            length: length.parse().ok()?,
        })
    }

    /// Body of an answer of `length` bytes. No part of it equals another one.
    pub fn body(length: usize) -> Vec<u8> {
        let mut body = Vec::with_capacity(length + 8);
        let mut number: u64 = 0;
        while body.len() < length {
            body.extend_from_slice(format!("{number:07}.").as_bytes());
            number += 1;
        }
        body.truncate(length);
        body
    }

    /// Writes the answer; returns whether the connection goes on.
    pub fn write(&self, state: &EndpointState, id: &str, mut out: &TcpStream) -> bool {
        let body = LargeAnswer::body(self.length);
        let start = format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nupstream-signature: s\r\n");
        let sized = format!("{start}content-length: {}\r\n\r\n", body.len());
        let chunked = format!("{start}transfer-encoding: chunked\r\n\r\n");
        let unframed = format!("{start}connection: close\r\n\r\n");
        let half = &body[..body.len() / 2];
        let is_first = || {
            let mut ids = LOST_IDS.lock().expect("no holder panicked");
            ids.insert(id.to_owned())
        };
        let written = match self.shape.as_str() {
            "sized" => out
                .write_all(sized.as_bytes())
                .and_then(|()| out.write_all(&body)),
            "chunked" => {
                let mut bytes = chunked.into_bytes();
                for part in body.chunks(CHUNK_BYTES) {
                    bytes.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
                    bytes.extend_from_slice(part);
                    bytes.extend_from_slice(b"\r\n");
                }
                bytes.extend_from_slice(b"0\r\n\r\n");
                out.write_all(&bytes)
            }
            "unframed" => {
                let _ = out.write_all(unframed.as_bytes());
                let _ = out.write_all(&body);
                return false;
            }
            // Closed with the request unread, the connection is reset.
            "unframed-reset" => {
                let _ = out.write_all(unframed.as_bytes());
                let _ = out.write_all(half);
                pause(STALL);
                return false;
            }
            "cut-once" if !is_first() => out
                .write_all(sized.as_bytes())
                .and_then(|()| out.write_all(&body)),
            "cut" | "cut-once" => {
                let _ = out.write_all(sized.as_bytes());
                let _ = out.write_all(half);
                return false;
            }
            "chunk-cut" => {
                let _ = out.write_all(chunked.as_bytes());
                let _ = out.write_all(format!("{:x}\r\n", body.len()).as_bytes());
                let _ = out.write_all(half);
                return false;
            }
            endless => {
                let parts = endless_parts(endless, &start, self.length);
                self.write_endless(state, out, &parts.0, &parts.1);
                return false;
            }
        };
        written.is_ok()
    }

    /// Writes `part` again and again until the caller closes the connection.
    fn write_endless(&self, state: &EndpointState, mut out: &TcpStream, first: &str, part: &str) {
        let part = part.repeat(CHUNK_BYTES / part.len() + 1);
        let mut written = 0;
        let mut is_open = out.write_all(first.as_bytes()).is_ok();
        while is_open && written < ENDLESS_LIMIT {
            is_open = out.write_all(part.as_bytes()).is_ok();
            written += part.len() as u64;
        }
        if !is_open {
            state.abandoned.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Returns the beginning of an answer without end, and the part that is repeated.
fn endless_parts(shape: &str, start: &str, length: usize) -> (String, String) {
    let chunked = format!("{start}transfer-encoding: chunked\r\n\r\n");
    let (first, part) = match shape {
        "endless-head" => (start.to_owned(), "x-more: yes\r\n"),
        "endless-header" => (format!("{start}x-more: "), "y"),
        "endless-status" => (String::new(), "no answer "),
        "endless-interim" => (String::new(), "HTTP/1.1 100 Continue\r\n\r\n"),
        "endless-others" => (
            String::new(),
            "HTTP/1.1 200 OK\r\nrequest-id: x\r\ncontent-length: 2\r\n\r\nok",
        ),
        "endless-foreign" => (
            format!(
                "HTTP/1.1 200 OK\r\nrequest-id: x\r\ncontent-length: {}\r\n\r\n",
                u64::MAX / 2
            ),
            "on and on ",
        ),
        "endless-chunks" => (chunked, "5\r\nhello\r\n"),
        "endless-chunk-size" => (format!("{chunked}5;"), "x"),
        "endless-trailer" => (format!("{chunked}0\r\n"), "x-more: yes\r\n"),
        "endless-body" => (format!("{start}connection: close\r\n\r\n"), "on and on "),
        "endless-sized" => (
            format!("{start}content-length: {}\r\n\r\n", u64::MAX / 2),
            "on and on ",
        ),
        other => panic!("no answer is called {other}-{length}"),
    };
    (first, part.to_owned())
}
