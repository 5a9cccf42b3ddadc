//! The platform stand-in over HTTP, on `tiny_http`.
//!
//! `POST /read` and `POST /list` take a JSON string (a key, a prefix) and answer a row or `null`, or
//! the rows; `POST /list-range` takes a `KeyRange` and answers its rows. `GET /rows/KEY` and
//! `GET /rows?prefix=PREFIX` do the same for keys that need no escape. `POST /commit` takes a `WriteBatch`. `PUT` and `GET /objects/NAME` carry raw bytes,
//! `DELETE /objects/NAME` deletes, `POST /list-objects` answers the names of a `KeyRange`.
//! `GET` and `POST /faults` show and replace the faults, `GET /stats` the counts.
//! A refusal is a 503. A lost answer is a connection that ends without one, at once for a client
//! that sent `Connection: close`. `tiny_http` has no read timeout: a few slow senders hold up nobody,
//! but each keeps a thread until it goes.

use std::fmt;
use std::io::Cursor;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;

use coltsfootweir::platform::KeyRange;
use coltsfootweir::platform::PlatformError;
use coltsfootweir::platform::PlatformResult;
use coltsfootweir::platform::PlatformStore;
use coltsfootweir::platform::WriteBatch;
use error_stack::Report;
use error_stack::ResultExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tiny_http::Method;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;

use crate::memory_platform::MemoryPlatform;
use crate::platform_faults::PlatformFaults;

/// Longest body taken, bytes.
pub const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Requests handled at once; more are refused.
pub const MAX_RUNNING_REQUESTS: usize = 512;

/// Failure to start the platform stand-in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlatformServerError {
    /// The address could not be listened on.
    Listen,
}

impl fmt::Display for PlatformServerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("platform stand-in cannot listen")
    }
}

impl std::error::Error for PlatformServerError {}

/// A running platform stand-in; dropping it stops it.
pub struct PlatformServer {
    address: SocketAddr,
    platform: MemoryPlatform,
    server: Arc<Server>,
    dispatcher: Option<JoinHandle<()>>,
}

type HttpAnswer = Response<Cursor<Vec<u8>>>;

impl PlatformServer {
    /// Starts an empty platform on `listen`; port 0 takes a free port.
    ///
    /// # Errors
    /// [`PlatformServerError::Listen`] when the address cannot be listened on.
    pub fn start(listen: SocketAddr) -> Result<PlatformServer, Report<PlatformServerError>> {
        let server = Server::http(listen)
            .map_err(|error| Report::new(PlatformServerError::Listen).attach(error.to_string()))?;
        let address = server
            .server_addr()
            .to_ip()
            .ok_or_else(|| Report::new(PlatformServerError::Listen))?;
        let server = Arc::new(server);
        let platform = MemoryPlatform::new();
        let dispatcher = spawn_dispatcher(Arc::clone(&server), platform.clone());
        Ok(PlatformServer {
            address,
            platform,
            server,
            dispatcher: Some(dispatcher),
        })
    }

    /// Address the stand-in listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The platform behind the server.
    #[must_use]
    pub fn platform(&self) -> &MemoryPlatform {
        &self.platform
    }
}

impl Drop for PlatformServer {
    fn drop(&mut self) {
        self.server.unblock();
        if let Some(dispatcher) = self.dispatcher.take() {
            let _ = dispatcher.join();
        }
    }
}

fn spawn_dispatcher(server: Arc<Server>, platform: MemoryPlatform) -> JoinHandle<()> {
    let running_count = Arc::new(AtomicUsize::new(0));
    thread::spawn(move || {
        for request in server.incoming_requests() {
            let guard = RunningGuard::new(&running_count);
            if guard.is_over_limit {
                let _ = request.respond(empty_answer(503));
                continue;
            }
            let platform = platform.clone();
            thread::spawn(move || {
                handle_request(request, &platform);
                drop(guard);
            });
        }
    })
}

/// Counts a request while it is handled.
struct RunningGuard {
    running_count: Arc<AtomicUsize>,
    is_over_limit: bool,
}

impl RunningGuard {
    fn new(running_count: &Arc<AtomicUsize>) -> RunningGuard {
        let others = running_count.fetch_add(1, Ordering::AcqRel);
        RunningGuard {
            running_count: Arc::clone(running_count),
            is_over_limit: others >= MAX_RUNNING_REQUESTS,
        }
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.running_count.fetch_sub(1, Ordering::AcqRel);
    }
}

fn handle_request(mut request: Request, platform: &MemoryPlatform) {
    let answer = match read_body(&mut request) {
        Ok(body) => answer_request(&request, &body, platform),
        Err(status) => Ok(empty_answer(status)),
    };
    match answer {
        Ok(answer) => drop(request.respond(answer)),
        Err(report) => match report.current_context() {
            PlatformError::AnswerLost => drop(request.into_writer()),
            PlatformError::Unavailable => drop(request.respond(empty_answer(503))),
            PlatformError::BadAnswer => drop(request.respond(empty_answer(400))),
        },
    }
}

fn read_body(request: &mut Request) -> Result<Vec<u8>, u16> {
    if request
        .body_length()
        .is_some_and(|length| length > MAX_BODY_BYTES)
    {
        return Err(413);
    }
    let mut body = Vec::new();
    let limit = MAX_BODY_BYTES as u64 + 1;
    request
        .as_reader()
        .take(limit)
        .read_to_end(&mut body)
        .map_err(|_| 400_u16)?;
    if body.len() > MAX_BODY_BYTES {
        return Err(413);
    }
    Ok(body)
}

fn answer_request(
    request: &Request,
    body: &[u8],
    platform: &MemoryPlatform,
) -> PlatformResult<HttpAnswer> {
    let url = request.url();
    if let Some(name) = url.strip_prefix("/objects/") {
        return answer_object(request.method(), name, body, platform);
    }
    if let Some(key) = url.strip_prefix("/rows/") {
        return json_answer(&platform.read_row(key)?);
    }
    if let Some(prefix) = url.strip_prefix("/rows?prefix=") {
        return json_answer(&platform.list_rows(prefix)?);
    }
    match (request.method(), url) {
        (Method::Post, "/read") => json_answer(&platform.read_row(&read_json::<Box<str>>(body)?)?),
        (Method::Post, "/list") => json_answer(&platform.list_rows(&read_json::<Box<str>>(body)?)?),
        (Method::Post, "/list-range") => {
            json_answer(&platform.list_range(&read_json::<KeyRange>(body)?)?)
        }
        (Method::Post, "/list-objects") => {
            json_answer(&platform.list_objects(&read_json::<KeyRange>(body)?)?)
        }
        (Method::Post, "/commit") => {
            json_answer(&platform.commit(&read_json::<WriteBatch>(body)?)?)
        }
        (Method::Get, "/faults") => json_answer(&platform.faults()),
        (Method::Post, "/faults") => {
            platform.set_faults(read_json::<PlatformFaults>(body)?);
            json_answer(&platform.faults())
        }
        (Method::Get, "/stats") => json_answer(&platform.stats()),
        _ => Ok(empty_answer(404)),
    }
}

fn answer_object(
    method: &Method,
    name: &str,
    body: &[u8],
    platform: &MemoryPlatform,
) -> PlatformResult<HttpAnswer> {
    match method {
        Method::Put => {
            platform.put_object(name, body)?;
            Ok(empty_answer(200))
        }
        Method::Get => match platform.get_object(name)? {
            Some(body) => Ok(whole_answer(body)),
            None => Ok(empty_answer(404)),
        },
        Method::Delete => {
            platform.delete_object(name)?;
            Ok(empty_answer(200))
        }
        _ => Ok(empty_answer(405)),
    }
}

fn read_json<T: DeserializeOwned>(body: &[u8]) -> PlatformResult<T> {
    serde_json::from_slice(body).change_context(PlatformError::BadAnswer)
}

fn json_answer(value: &impl Serialize) -> PlatformResult<HttpAnswer> {
    let body = serde_json::to_vec(value).change_context(PlatformError::BadAnswer)?;
    Ok(whole_answer(body))
}

/// Always states the length, so that a cut answer is seen as cut.
fn whole_answer(body: Vec<u8>) -> HttpAnswer {
    Response::from_data(body).with_chunked_threshold(usize::MAX)
}

fn empty_answer(status: u16) -> HttpAnswer {
    Response::from_data(Vec::new()).with_status_code(status)
}
