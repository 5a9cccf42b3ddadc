//! The platform over HTTP, one connection for each request.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use minreq::Request;
use minreq::Response;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::platform::CommitOutcome;
use crate::platform::KeyRange;
use crate::platform::PlatformError;
use crate::platform::PlatformResult;
use crate::platform::PlatformStore;
use crate::platform::TableRow;
use crate::platform::WriteBatch;
use crate::sidecar::message_syntax::content_length;

const STATUS_OK: u16 = 200;
const STATUS_NOT_FOUND: u16 = 404;
const STATUS_UNAVAILABLE: u16 = 503;

/// Bytes of a request head besides its URL: method, version, usual header lines.
const REQUEST_HEAD_BYTES: usize = 110;

/// Bytes of a status line besides its reason, with the empty line that ends the head.
const STATUS_LINE_BYTES: usize = 17;

/// Bytes around the name and value of a header line.
const HEADER_FRAME_BYTES: usize = 4;

/// Receives the byte counts of HTTP exchanges.
pub trait ByteCounter: Send + Sync {
    /// Counts one exchange: bytes of heads and bodies `sent` and `received`.
    fn count_exchange(&self, sent: u64, received: u64);
}

/// The platform at an HTTP address.
#[derive(Clone)]
pub struct HttpPlatform {
    base_url: Box<str>,
    timeout_seconds: u64,
    byte_counter: Option<Arc<dyn ByteCounter>>,
}

impl HttpPlatform {
    /// Names the platform at `address`; `timeout` bounds each operation and is rounded up to whole
    /// seconds.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> HttpPlatform {
        let part_second = u64::from(timeout.subsec_nanos() > 0);
        HttpPlatform {
            base_url: format!("http://{address}").into(),
            timeout_seconds: (timeout.as_secs() + part_second).max(1),
            byte_counter: None,
        }
    }

    /// Counts the bytes of every later operation with `byte_counter`.
    #[must_use]
    pub fn with_byte_counter(mut self, byte_counter: Arc<dyn ByteCounter>) -> HttpPlatform {
        self.byte_counter = Some(byte_counter);
        self
    }

    fn exchange(&self, request: Request, sent: usize) -> PlatformResult<Response> {
        let answer = request
            .with_header("Connection", "close")
            .with_timeout(self.timeout_seconds)
            .with_follow_redirects(false)
            .send();
        let received = answer.as_ref().map_or(0, response_len);
        if let Some(byte_counter) = &self.byte_counter {
            byte_counter.count_exchange(sent as u64, received as u64);
        }
        match answer {
            Ok(response) => check_response(response),
            Err(error) => {
                let failure = classify_error(&error);
                Err(Report::new(error).change_context(failure))
            }
        }
    }

    fn post<T: DeserializeOwned>(&self, path: &str, message: &impl Serialize) -> PlatformResult<T> {
        let body = serde_json::to_vec(message).change_context(PlatformError::BadAnswer)?;
        let url = format!("{}{path}", self.base_url);
        let sent = request_len(&url, body.len());
        let request = minreq::post(url)
            .with_header("Content-Type", "application/json")
            .with_body(body);
        let response = self.exchange(request, sent)?;
        serde_json::from_slice(response.as_bytes()).change_context(PlatformError::BadAnswer)
    }
}

impl PlatformStore for HttpPlatform {
    fn read_row(&self, key: &str) -> PlatformResult<Option<TableRow>> {
        self.post("/read", &key)
    }

    fn list_rows(&self, prefix: &str) -> PlatformResult<Vec<TableRow>> {
        self.post("/list", &prefix)
    }

    fn list_range(&self, range: &KeyRange) -> PlatformResult<Vec<TableRow>> {
        self.post("/list-range", range)
    }

    fn commit(&self, batch: &WriteBatch) -> PlatformResult<CommitOutcome> {
        self.post("/commit", batch)
    }

    fn put_object(&self, name: &str, body: &[u8]) -> PlatformResult<()> {
        let url = format!("{}/objects/{name}", self.base_url);
        let sent = request_len(&url, body.len());
        self.exchange(minreq::put(url).with_body(body), sent)?;
        Ok(())
    }

    fn get_object(&self, name: &str) -> PlatformResult<Option<Vec<u8>>> {
        let url = format!("{}/objects/{name}", self.base_url);
        let sent = request_len(&url, 0);
        let response = self.exchange(minreq::get(url), sent)?;
        if response.status_code == STATUS_NOT_FOUND {
            return Ok(None);
        }
        Ok(Some(response.into_bytes()))
    }

    fn list_objects(&self, range: &KeyRange) -> PlatformResult<Vec<Box<str>>> {
        self.post("/list-objects", range)
    }

    fn delete_object(&self, name: &str) -> PlatformResult<()> {
        let url = format!("{}/objects/{name}", self.base_url);
        let sent = request_len(&url, 0);
        self.exchange(minreq::delete(url), sent)?;
        Ok(())
    }
}

fn check_response(response: Response) -> PlatformResult<Response> {
    if !is_whole(&response) {
        return Err(Report::new(PlatformError::AnswerLost));
    }
    match response.status_code {
        STATUS_OK | STATUS_NOT_FOUND => Ok(response),
        STATUS_UNAVAILABLE => Err(Report::new(PlatformError::Unavailable)),
        500.. => Err(Report::new(PlatformError::AnswerLost)),
        _ => Err(Report::new(PlatformError::BadAnswer)),
    }
}

/// `minreq` passes on a body that was cut short, makes a 503 of an answer without a head, and takes the last
/// of several lengths.
fn is_whole(response: &Response) -> bool {
    let mut lengths = Vec::new();
    for (name, value) in &response.headers {
        if name.eq_ignore_ascii_case("transfer-encoding") {
            return false;
        }
        if name.eq_ignore_ascii_case("content-length") {
            lengths.push(content_length(value.trim().as_bytes()));
        }
    }
    let received = Some(response.as_bytes().len() as u64);
    !lengths.is_empty() && lengths.iter().all(|length| *length == received)
}

fn classify_error(error: &minreq::Error) -> PlatformError {
    let minreq::Error::IoError(io_error) = error else {
        return PlatformError::AnswerLost;
    };
    match io_error.kind() {
        ErrorKind::ConnectionRefused
        | ErrorKind::HostUnreachable
        | ErrorKind::NetworkUnreachable
        | ErrorKind::AddrNotAvailable => PlatformError::Unavailable,
        _ => PlatformError::AnswerLost,
    }
}

/// Bytes of a request's URL, usual header lines and body.
fn request_len(url: &str, body_len: usize) -> usize {
    REQUEST_HEAD_BYTES + url.len() + body_len
}

/// Bytes of an answer's status line, header lines and body.
fn response_len(response: &Response) -> usize {
    let mut length = STATUS_LINE_BYTES + response.reason_phrase.len() + response.as_bytes().len();
    for (name, value) in &response.headers {
        length += name.len() + value.len() + HEADER_FRAME_BYTES;
    }
    length
}
