//! The control port: takes exchanges of other daemons, announcements of the own upstream and
//! questions of operators. Handlers register themselves.
//!
//! `tiny_http` has no read timeout and reads what is left of a body when a request is dropped, so a
//! request whose body did not come along with its head gets a thread of its own: a sender that stops
//! half-way holds up no other.

use std::io::Read;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use log::debug;
use log::warn;
use serde::Serialize;
use tiny_http::Header;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;

use crate::context::DaemonContext;
use crate::kernel::DaemonTask;
use crate::kernel::StopSignal;
use crate::kernel::TaskPlugin;
use crate::logging::DAEMON;
use crate::message_format::encode_message;

/// Longest body taken, in bytes.
const BODY_LIMIT: usize = 4 * 1024 * 1024;

/// Longest body that `tiny_http` reads before it hands over the request, in bytes.
const READ_AHEAD: usize = 1024;

/// Stack of a thread that reads one body, in bytes.
const READER_STACK: usize = 256 * 1024;

/// Threads that answer.
const WORKER_COUNT: usize = 3;

/// Longest wait for a request; the end of the task interrupts it.
const WAIT_TIME: Duration = Duration::from_secs(10);

/// Time to wait after the port failed, such as for want of file descriptors.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// Answer of a handler.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ControlAnswer {
    /// A message for a daemon, by `rmp-serde`.
    Message(Vec<u8>),
    /// A text for a person or a program, JSON.
    Json(Box<str>),
    /// The request was not understood; the text says why.
    BadRequest(Box<str>),
}

impl ControlAnswer {
    /// Encodes a message for a daemon.
    pub fn message(message: &impl Serialize) -> ControlAnswer {
        match encode_message(message) {
            Ok(body) => ControlAnswer::Message(body),
            Err(error) => ControlAnswer::BadRequest(error.to_string().into()),
        }
    }

    /// Encodes a report as JSON.
    pub fn json(report: &impl Serialize) -> ControlAnswer {
        match serde_json::to_string(report) {
            Ok(text) => ControlAnswer::Json(text.into()),
            Err(error) => ControlAnswer::BadRequest(error.to_string().into()),
        }
    }
}

/// Answers the requests to one path of the control port.
pub trait ControlHandler: Sync {
    /// The path.
    fn path(&self) -> &'static str;

    /// Answers a request with this body.
    fn answer(&self, context: &Arc<DaemonContext>, body: &[u8]) -> ControlAnswer;
}

/// A registered handler.
pub struct HandlerPlugin {
    /// The handler.
    pub handler: &'static dyn ControlHandler,
}

inventory::collect!(HandlerPlugin);

struct ControlPort;

inventory::submit! { TaskPlugin { task: &ControlPort } }

impl DaemonTask for ControlPort {
    fn name(&self) -> &'static str {
        "control"
    }

    fn run(&self, context: &Arc<DaemonContext>, stop: &StopSignal) {
        let Some(server) = context.take_control_listener() else {
            return;
        };
        thread::scope(|scope| {
            for _ in 0..WORKER_COUNT {
                scope.spawn(|| serve(&server, context, stop));
            }
            while !stop.wait(WAIT_TIME) {}
            for _ in 0..WORKER_COUNT {
                server.unblock();
            }
        });
    }
}

fn serve(server: &Server, context: &Arc<DaemonContext>, stop: &StopSignal) {
    while !stop.is_set() {
        match server.recv_timeout(WAIT_TIME) {
            Ok(Some(request)) if is_read(&request) => answer_request(context, request),
            Ok(Some(request)) => answer_apart(context, request),
            Ok(None) => {}
            Err(error) => {
                warn!(target: DAEMON, "control port failed: {error}");
                if stop.wait(FAILURE_PAUSE) {
                    return;
                }
            }
        }
    }
}

/// Whether the whole body has arrived.
fn is_read(request: &Request) -> bool {
    let is_chunked = request
        .headers()
        .iter()
        .any(|header| header.field.equiv("Transfer-Encoding"));
    let is_expected = request
        .headers()
        .iter()
        .any(|header| header.field.equiv("Expect"));
    let length = request.body_length().unwrap_or(0);
    !is_chunked && !is_expected && length <= READ_AHEAD
}

/// Answers a request in a thread of its own, which ends with the sender's connection at the latest.
fn answer_apart(context: &Arc<DaemonContext>, request: Request) {
    let context = Arc::clone(context);
    let reader = thread::Builder::new()
        .name("control body".into())
        .stack_size(READER_STACK)
        .spawn(move || answer_request(&context, request));
    if let Err(error) = reader {
        warn!(target: DAEMON, "body not read: {error}");
    }
}

fn answer_request(context: &Arc<DaemonContext>, mut request: Request) {
    let path: Box<str> = request.url().split('?').next().unwrap_or("").into();
    let Some(handler) = find_handler(&path) else {
        respond(request, 404, b"no such path\n".to_vec());
        return;
    };
    let mut body = Vec::new();
    let limit = BODY_LIMIT as u64 + 1;
    if request
        .as_reader()
        .take(limit)
        .read_to_end(&mut body)
        .is_err()
    {
        respond(request, 400, b"body not read\n".to_vec());
        return;
    }
    if body.len() > BODY_LIMIT {
        respond(request, 413, b"body too long\n".to_vec());
        return;
    }
    match handler.answer(context, &body) {
        ControlAnswer::Message(message) => respond(request, 200, message),
        ControlAnswer::Json(text) => respond(request, 200, text.as_bytes().to_vec()),
        ControlAnswer::BadRequest(text) => respond(request, 400, format!("{text}\n").into()),
    }
}

fn find_handler(path: &str) -> Option<&'static dyn ControlHandler> {
    for plugin in inventory::iter::<HandlerPlugin> {
        if plugin.handler.path() == path {
            return Some(plugin.handler);
        }
    }
    None
}

fn respond(request: Request, status: u16, body: Vec<u8>) {
    let mut response = Response::from_data(body).with_status_code(status);
    if let Ok(close) = Header::from_bytes("Connection", "close") {
        response.add_header(close);
    }
    if let Err(error) = request.respond(response) {
        debug!(target: DAEMON, "answer not sent: {error}");
    }
}
