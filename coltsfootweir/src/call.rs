//! Calls: a caller's request with its complete body, and the reply to it.

use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::http::uri::PathAndQuery;
use rand::RngExt;

use crate::fingerprint::fingerprint;
use crate::ids::Fingerprint;
use crate::ids::MemberId;
use crate::outcome::CallOutcome;
use crate::outcome::DoubtReason;
use crate::outcome::RefusalReason;

/// Longest request body, in bytes.
pub const BODY_LIMIT: usize = 1024 * 1024;

/// Path at which a caller gets a booking key; the query parameter `path` holds the booking's path.
pub const MINT_PATH: &str = "/-/booking-key";

/// Query parameter that holds the path of the booking.
const MINT_QUERY: &str = "path=";

/// Header: id of the request.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Header: idempotency key of a booking.
pub const BOOKING_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Header: time left until the deadline of the request, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-coltsfootweir-deadline-ms");

/// Header: outcome of the request.
pub const OUTCOME: HeaderName = HeaderName::from_static("x-coltsfootweir-outcome");

/// Header: reason of an outcome other than `ran`.
pub const REASON: HeaderName = HeaderName::from_static("x-coltsfootweir-reason");

/// Header: load of the upstream beside the daemon that answered.
pub const LOAD: HeaderName = HeaderName::from_static("x-coltsfootweir-load");

/// Header: id of the member that is to run the request.
pub const TARGET: HeaderName = HeaderName::from_static("x-coltsfootweir-target");

/// Header: number of calls above this one in its call chain.
pub const HOPS: HeaderName = HeaderName::from_static("x-coltsfootweir-hops");

/// Header: id of the member that owns the key of a booking.
pub const OWNER: HeaderName = HeaderName::from_static("x-coltsfootweir-owner");

/// Hop-by-hop headers, which are not forwarded.
static CONNECTION_HEADERS: [HeaderName; 7] = [
    HeaderName::from_static("keep-alive"),
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
];

/// Headers of replies between daemons, removed from replies to callers.
static PEER_HEADERS: [HeaderName; 2] = [LOAD, OWNER];

/// Reply headers that only daemons may set.
static DAEMON_HEADERS: [HeaderName; 4] = [OUTCOME, REASON, LOAD, OWNER];

/// Why a request could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadError {
    /// The body is longer than [`BODY_LIMIT`].
    TooLong,
    /// The connection failed before the end of the body.
    Broken,
    /// The body did not arrive within the read timeout.
    TooSlow,
}

/// A request with its complete body.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: PathAndQuery,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Hash of method, path and body.
    pub fingerprint: Fingerprint,
}

impl CallRequest {
    /// Reads a request; its body must arrive within `timeout`.
    ///
    /// # Errors
    /// [`ReadError`] if the body is too long, incomplete or late.
    pub async fn read(
        request: Request<Incoming>,
        timeout: Duration,
    ) -> Result<CallRequest, ReadError> {
        let (head, body) = request.into_parts();
        let body = read_body(body, timeout).await?;
        let path = head.uri.into_parts().path_and_query;
        let path = path.unwrap_or(PathAndQuery::from_static("/"));
        let fingerprint = fingerprint(head.method.as_str(), path.as_str(), &body);
        let mut headers = head.headers;
        strip_connection_headers(&mut headers);
        if !headers.contains_key(REQUEST_ID) {
            headers.insert(REQUEST_ID, make_request_id());
        }
        Ok(CallRequest {
            method: head.method,
            path,
            headers,
            body,
            fingerprint,
        })
    }

    /// Returns whether the caller requests a booking key.
    #[must_use]
    pub fn is_mint(&self) -> bool {
        self.path.path() == MINT_PATH
    }

    /// Returns the path to look up the route by: that of the request without its query, or that of
    /// the booking for which a key is requested.
    #[must_use]
    pub fn route_path(&self) -> &str {
        if !self.is_mint() {
            return self.path.path();
        }
        let mut parameters = self.path.query().unwrap_or("").split('&');
        parameters
            .find_map(|parameter| parameter.strip_prefix(MINT_QUERY))
            .unwrap_or("")
    }

    /// Returns the value of a header if it is present and valid text.
    #[must_use]
    pub fn header(&self, name: &HeaderName) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the number of calls above this one in its call chain.
    #[must_use]
    pub fn hops(&self) -> u32 {
        self.header(&HOPS)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }

    /// Builds the request to forward with `millis` left, to the member `target` or, without one,
    /// to the local upstream.
    #[must_use]
    pub fn to_forward(&self, target: Option<&MemberId>, millis: u64) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.clone().into();
        let mut headers = self.headers.clone();
        headers.remove(TARGET);
        headers.remove(header::CONTENT_LENGTH);
        headers.insert(DEADLINE, HeaderValue::from(millis));
        if let Some(Ok(target)) = target.map(|id| HeaderValue::from_str(id)) {
            headers.insert(TARGET, target);
        } else {
            headers.insert(HOPS, HeaderValue::from(self.hops() + 1));
        }
        headers
            .entry(header::HOST)
            .or_insert(HeaderValue::from_static("coltsfootweir"));
        *request.headers_mut() = headers;
        request
    }
}

async fn read_body(body: Incoming, timeout: Duration) -> Result<Bytes, ReadError> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let reading = Limited::new(body, BODY_LIMIT).collect();
    match tokio::time::timeout(timeout, reading).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(ReadError::TooLong),
        Ok(Err(_)) => Err(ReadError::Broken),
        Err(_) => Err(ReadError::TooSlow),
    }
}

/// Removes the headers of these names. Most messages have none of them, so the lookup comes first.
fn remove_headers(headers: &mut HeaderMap, names: &[HeaderName]) {
    let mut found = Vec::new();
    for name in headers.keys() {
        if names.contains(name) {
            found.push(name.clone());
        }
    }
    for name in found {
        headers.remove(name);
    }
}

fn strip_connection_headers(headers: &mut HeaderMap) {
    remove_headers(headers, &CONNECTION_HEADERS);
}

fn make_request_id() -> HeaderValue {
    let id: u64 = rand::rng().random();
    HeaderValue::from_str(&format!("{id:016x}")).unwrap_or(HeaderValue::from_static("0"))
}

/// Outcome of a call, with the response.
#[derive(Clone, Debug)]
pub struct CallReply {
    /// Outcome of the request.
    pub outcome: CallOutcome,
    /// The upstream's response if the request ran, else one made by the daemon.
    pub response: Response<Bytes>,
}

impl CallReply {
    /// Wraps a response of the local upstream and removes the headers that only daemons may set.
    #[must_use]
    pub fn from_upstream(mut response: Response<Bytes>) -> CallReply {
        remove_headers(response.headers_mut(), &DAEMON_HEADERS);
        CallReply::ran(response)
    }

    /// Wraps the response to a request that ran.
    #[must_use]
    pub fn ran(mut response: Response<Bytes>) -> CallReply {
        strip_connection_headers(response.headers_mut());
        CallReply {
            outcome: CallOutcome::Ran,
            response,
        }
    }

    /// Builds the reply of the daemon for an outcome without a response of the upstream.
    #[must_use]
    pub fn from_outcome(outcome: CallOutcome) -> CallReply {
        let text = format!("{outcome}\n");
        let mut response = Response::new(Bytes::from(text));
        *response.status_mut() = outcome_status(&outcome);
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(reason) = outcome.reason_str() {
            headers.insert(REASON, HeaderValue::from_static(reason));
        }
        CallReply { outcome, response }
    }

    /// Returns the response with the headers for the outcome and the request id.
    #[must_use]
    pub fn into_response(self, id: Option<&HeaderValue>) -> Response<Full<Bytes>> {
        let outcome = HeaderValue::from_static(self.outcome.as_str());
        let (mut head, body) = self.response.into_parts();
        head.headers.insert(OUTCOME, outcome);
        if let Some(id) = id {
            head.headers.insert(REQUEST_ID, id.clone());
        }
        Response::from_parts(head, Full::new(body))
    }

    /// Returns the response for a caller, without the headers meant for other daemons.
    #[must_use]
    pub fn into_caller_response(mut self, id: Option<&HeaderValue>) -> Response<Full<Bytes>> {
        remove_headers(self.response.headers_mut(), &PEER_HEADERS);
        self.into_response(id)
    }
}

/// Builds the reply to a request that was not run.
pub(crate) fn not_run(reason: RefusalReason) -> CallReply {
    CallReply::from_outcome(CallOutcome::NotRun(reason))
}

/// Builds the reply to a request that may have run.
pub(crate) fn in_doubt(reason: DoubtReason) -> CallReply {
    CallReply::from_outcome(CallOutcome::InDoubt(reason))
}

fn outcome_status(outcome: &CallOutcome) -> StatusCode {
    match outcome {
        CallOutcome::Ran => StatusCode::OK,
        CallOutcome::NotRun(RefusalReason::NoRoute) => StatusCode::NOT_FOUND,
        CallOutcome::NotRun(RefusalReason::BadKey | RefusalReason::KeyFromFuture) => {
            StatusCode::BAD_REQUEST
        }
        CallOutcome::NotRun(RefusalReason::KeyReused) => StatusCode::CONFLICT,
        CallOutcome::NotRun(_) => StatusCode::SERVICE_UNAVAILABLE,
        CallOutcome::InDoubt(_) => StatusCode::BAD_GATEWAY,
    }
}
