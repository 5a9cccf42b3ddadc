//! The call of an upstream stand-in to the next service of a chain.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootweir::http_pool::ConnectionPool;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use hyper::http::HeaderMap;
use tokio::time::timeout;

/// Longest wait for one answer.
const NEXT_TIMEOUT: Duration = Duration::from_secs(5);

/// Headers that go on with a chain.
const CHAIN_HEADERS: [&str; 3] = [
    "x-request-id",
    "x-coltsfootweir-deadline-ms",
    "x-coltsfootweir-hops",
];

/// The next service of a chain; a request whose next call fails is answered by half.
#[derive(Clone, Debug)]
pub struct NextService {
    /// Where it is called: a daemon's call port, or an upstream.
    pub address: SocketAddr,
    /// Path of the call.
    pub path: Box<str>,
    /// Times it is called until an answer is good.
    pub attempts: u32,
}

impl NextService {
    /// Calls it with the chain's headers out of `headers`; tells whether an answer was good.
    pub async fn call(&self, pool: &ConnectionPool, headers: &HeaderMap) -> bool {
        for _ in 0..self.attempts {
            let call = pool.send(self.address, self.make_request(headers));
            if let Ok(Ok(answer)) = timeout(NEXT_TIMEOUT, call).await
                && answer.status() == StatusCode::OK
            {
                return true;
            }
        }
        false
    }

    fn make_request(&self, headers: &HeaderMap) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(Bytes::new()));
        if let Ok(uri) = self.path.parse() {
            *request.uri_mut() = uri;
        }
        let host = HeaderValue::from_static("standin");
        request.headers_mut().insert(HOST, host);
        for name in CHAIN_HEADERS {
            if let Some(value) = headers.get(name) {
                request.headers_mut().insert(name, value.clone());
            }
        }
        request
    }
}
