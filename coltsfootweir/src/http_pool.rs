//! Pooled HTTP/1.1 client connections of the call path.
//!
//! A connection returns to the pool only after a whole answer was read from it, so an answer can
//! never reach another request.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header;
use hyper::http::response;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Longest answer passed on, in bytes.
pub const ANSWER_LIMIT: usize = 8 * 1024 * 1024;

/// Idle time after which a connection is not used again.
const IDLE_LIMIT: Duration = Duration::from_secs(20);

/// Connections kept idle to one address.
const IDLE_COUNT: usize = 32;

/// Time a new connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why no whole answer came.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendError {
    /// No connection could be made; the request was not sent.
    NotConnected,
    /// The connection ended before a whole answer was read; the request may have run.
    Broken,
    /// The answer is longer than [`ANSWER_LIMIT`].
    TooLong,
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            SendError::NotConnected => "no connection",
            SendError::Broken => "connection ended before the whole answer",
            SendError::TooLong => "answer too long",
        };
        f.write_str(text)
    }
}

impl std::error::Error for SendError {}

type PooledSender = SendRequest<Full<Bytes>>;

struct IdleConnection {
    sender: PooledSender,
    since: Instant,
}

/// Client connections by address.
#[derive(Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl fmt::Debug for ConnectionPool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConnectionPool").finish_non_exhaustive()
    }
}

impl ConnectionPool {
    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    /// [`SendError`]; only after [`SendError::NotConnected`] is it certain that nothing ran.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, SendError> {
        while let Some(mut sender) = self.take_idle(address) {
            match sender.try_send_request(request).await {
                Ok(response) => return self.read_answer(address, sender, response).await,
                Err(mut error) => match error.take_message() {
                    // The idle connection had closed: hyper gives back what was never written.
                    Some(message) => request = message,
                    None => return Err(SendError::Broken),
                },
            }
        }
        let mut sender = connect(address).await?;
        match sender.try_send_request(request).await {
            Ok(response) => self.read_answer(address, sender, response).await,
            Err(mut error) => match error.take_message() {
                Some(_) => Err(SendError::NotConnected),
                None => Err(SendError::Broken),
            },
        }
    }

    /// Drops the idle connections to `address`.
    pub fn drop_idle(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<PooledSender> {
        let mut idle = self.lock();
        let list = idle.get_mut(&address)?;
        while let Some(connection) = list.pop() {
            if connection.since.elapsed() > IDLE_LIMIT || !connection.sender.is_ready() {
                continue;
            }
            return Some(connection.sender);
        }
        idle.remove(&address);
        None
    }

    fn put_idle(&self, address: SocketAddr, sender: PooledSender) {
        let mut idle = self.lock();
        let list = idle.entry(address).or_default();
        list.retain(|connection| connection.since.elapsed() <= IDLE_LIMIT);
        if list.len() < IDLE_COUNT {
            list.push(IdleConnection {
                sender,
                since: Instant::now(),
            });
        }
    }

    async fn read_answer(
        &self,
        address: SocketAddr,
        mut sender: PooledSender,
        response: Response<hyper::body::Incoming>,
    ) -> Result<Response<Bytes>, SendError> {
        let (head, body) = response.into_parts();
        if !is_framed(&head) {
            return Err(SendError::Broken);
        }
        let whole = match Limited::new(body, ANSWER_LIMIT).collect().await {
            Ok(whole) => whole.to_bytes(),
            Err(error) if error.is::<http_body_util::LengthLimitError>() => {
                return Err(SendError::TooLong);
            }
            Err(_) => return Err(SendError::Broken),
        };
        if sender.ready().await.is_ok() {
            self.put_idle(address, sender);
        }
        Ok(Response::from_parts(head, whole))
    }
}

/// Returns whether the end of the body is marked; without it a short answer would look whole.
fn is_framed(head: &response::Parts) -> bool {
    let bodiless = head.status == StatusCode::NO_CONTENT || head.status == StatusCode::NOT_MODIFIED;
    bodiless
        || head.headers.contains_key(header::CONTENT_LENGTH)
        || head.headers.contains_key(header::TRANSFER_ENCODING)
}

async fn connect(address: SocketAddr) -> Result<PooledSender, SendError> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| SendError::NotConnected)?
        .map_err(|_| SendError::NotConnected)?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| SendError::NotConnected)?;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(sender)
}
