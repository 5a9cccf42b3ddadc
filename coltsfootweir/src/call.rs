//! A call as a daemon holds it: the caller's request read whole, and the answer to it.

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

/// Path at which a caller gets a booking key; `path` in the query names the booking's path.
pub const MINT_PATH: &str = "/-/booking-key";

/// Query parameter that names the path of the booking.
const MINT_QUERY: &str = "path=";

/// Identity of a request.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Key of a booking.
pub const BOOKING_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Time left to a request, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-coltsfootweir-deadline-ms");

/// What became of a request.
pub const OUTCOME: HeaderName = HeaderName::from_static("x-coltsfootweir-outcome");

/// Why a request was refused.
pub const REASON: HeaderName = HeaderName::from_static("x-coltsfootweir-reason");

/// Load of the daemon that answered.
pub const LOAD: HeaderName = HeaderName::from_static("x-coltsfootweir-load");

/// Member that is to run the request.
pub const TARGET: HeaderName = HeaderName::from_static("x-coltsfootweir-target");

/// Calls above this one in a chain.
pub const HOPS: HeaderName = HeaderName::from_static("x-coltsfootweir-hops");

/// Member that owns the key of a booking.
pub const OWNER: HeaderName = HeaderName::from_static("x-coltsfootweir-owner");

/// Headers that belong to one connection and are not passed on.
static CONNECTION_HEADERS: [HeaderName; 7] = [
    HeaderName::from_static("keep-alive"),
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
];

/// Headers of answers between daemons, which no caller sees.
static PEER_HEADERS: [HeaderName; 2] = [LOAD, OWNER];

/// Headers of answers that daemons alone may set.
static DAEMON_HEADERS: [HeaderName; 4] = [OUTCOME, REASON, LOAD, OWNER];

/// Why a request could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadError {
    /// The body is longer than [`BODY_LIMIT`].
    TooLong,
    /// The body stopped before its end.
    Broken,
    /// The body did not arrive in time.
    TooSlow,
}

/// A request read whole.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: PathAndQuery,
    /// Headers that are passed on.
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
    /// [`ReadError`].
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

    /// Returns whether the caller asks for a booking key.
    #[must_use]
    pub fn is_mint(&self) -> bool {
        self.path.path() == MINT_PATH
    }

    /// Path by which the route is found: that of the request without its query, or that of the
    /// booking for which a key is asked.
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

    /// Text of a header, when there is one.
    #[must_use]
    pub fn header(&self, name: &HeaderName) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Calls above this one in a chain.
    #[must_use]
    pub fn hops(&self) -> u32 {
        self.header(&HOPS)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }

    /// Makes the request to pass on, to a member or to the own upstream, with `millis` left.
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

/// Removes the headers of these names, which most messages have none of.
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

/// What a call came to, with the answer for the caller.
#[derive(Clone, Debug)]
pub struct CallReply {
    /// What became of the request.
    pub outcome: CallOutcome,
    /// The answer: the upstream's when the request ran, else the daemon's.
    pub response: Response<Bytes>,
}

impl CallReply {
    /// An answer as the upstream gave it; what only daemons may say is taken out.
    #[must_use]
    pub fn from_upstream(mut response: Response<Bytes>) -> CallReply {
        remove_headers(response.headers_mut(), &DAEMON_HEADERS);
        CallReply::ran(response)
    }

    /// An answer of the upstream, as the daemon beside it passed it on.
    #[must_use]
    pub fn ran(mut response: Response<Bytes>) -> CallReply {
        strip_connection_headers(response.headers_mut());
        CallReply {
            outcome: CallOutcome::Ran,
            response,
        }
    }

    /// A refusal or a doubt, told by the daemon.
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

    /// Makes the response to send: marked with the outcome and the request's identity.
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

    /// Makes the response for a caller, without what daemons tell one another.
    #[must_use]
    pub fn into_caller_response(mut self, id: Option<&HeaderValue>) -> Response<Full<Bytes>> {
        remove_headers(self.response.headers_mut(), &PEER_HEADERS);
        self.into_response(id)
    }
}

/// Answer to a request that was not run.
pub(crate) fn not_run(reason: RefusalReason) -> CallReply {
    CallReply::from_outcome(CallOutcome::NotRun(reason))
}

/// Answer to a request that may have run.
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
