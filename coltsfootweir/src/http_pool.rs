//! HTTP/1.1 client connection pool of the call path.
//!
//! A connection returns to the pool only after a complete answer was read from it, so an answer is
//! never matched to another request.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::head_guard::HeadGuard;

/// Longest answer body, in bytes.
pub const ANSWER_LIMIT: usize = 8 * 1024 * 1024;

/// Idle time after which a connection is not reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum number of idle connections per address.
const MAX_IDLE_CONNECTIONS: usize = 32;

/// Timeout for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why no complete answer was received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendError {
    /// No connection could be made; the request was not sent.
    NotConnected,
    /// The connection ended before a complete answer was read, or the answer is not valid; the request may
    /// have run.
    Broken,
    /// The answer is longer than [`ANSWER_LIMIT`].
    TooLong,
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            SendError::NotConnected => "connection could not be made",
            SendError::Broken => "no complete and valid answer",
            SendError::TooLong => "answer body too long",
        };
        f.write_str(text)
    }
}

impl std::error::Error for SendError {}

/// A connection that sends one request at a time.
struct PooledSender {
    sender: SendRequest<Full<Bytes>>,
    is_awaited: Arc<AtomicBool>,
}

impl PooledSender {
    async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.is_awaited.store(true, Ordering::Relaxed);
        self.sender.try_send_request(request).await
    }

    /// Returns whether the connection is open and can take a request at once.
    fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until the connection can take the next request. Returns whether it is still open.
    async fn wait_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }
}

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
    /// Sends a request and reads the complete answer.
    ///
    /// # Errors
    /// [`SendError`]; only with [`SendError::NotConnected`] is it certain that the request did not run.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, SendError> {
        while let Some(mut sender) = self.take_idle(address) {
            match sender.send(request).await {
                Ok(response) => return self.read_answer(address, sender, response).await,
                Err(mut error) => match error.take_message() {
                    // The idle connection was closed; hyper returns the request unsent.
                    Some(message) => request = message,
                    None => return Err(SendError::Broken),
                },
            }
        }
        let mut sender = connect(address).await?;
        match sender.send(request).await {
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
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if connection.since.elapsed() > IDLE_TIMEOUT || !connection.sender.is_ready() {
                continue;
            }
            return Some(connection.sender);
        }
        idle.remove(&address);
        None
    }

    fn put_idle(&self, address: SocketAddr, sender: PooledSender) {
        let mut idle = self.lock();
        let connections = idle.entry(address).or_default();
        connections.retain(|connection| connection.since.elapsed() <= IDLE_TIMEOUT);
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(IdleConnection {
                sender,
                since: Instant::now(),
            });
        }
    }

    async fn read_answer(
        &self,
        address: SocketAddr,
        mut sender: PooledSender,
        response: Response<Incoming>,
    ) -> Result<Response<Bytes>, SendError> {
        let (head, body) = response.into_parts();
        let complete = match Limited::new(body, ANSWER_LIMIT).collect().await {
            Ok(complete) => complete.to_bytes(),
            Err(error) if error.is::<http_body_util::LengthLimitError>() => {
                return Err(SendError::TooLong);
            }
            Err(_) => return Err(SendError::Broken),
        };
        if sender.wait_ready().await {
            self.put_idle(address, sender);
        }
        Ok(Response::from_parts(head, complete))
    }
}

async fn connect(address: SocketAddr) -> Result<PooledSender, SendError> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| SendError::NotConnected)?
        .map_err(|_| SendError::NotConnected)?;
    let _ = stream.set_nodelay(true);
    let (guard, is_awaited) = HeadGuard::new(stream);
    let (sender, connection) = http1::handshake(TokioIo::new(guard))
        .await
        .map_err(|_| SendError::NotConnected)?;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(PooledSender { sender, is_awaited })
}
