//! Reads the body of a request within a limit, an account and a time.

use std::future::poll_fn;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Body;
use hyper::body::Bytes;

use crate::sidecar::client_limits::byte_account::ByteAccount;

/// Step in which bytes of a body of unstated length are reserved, in bytes.
const RESERVE_STEP: u64 = 64 * 1024;

/// Limits on one body.
#[derive(Clone, Debug)]
pub struct BodyLimits {
    /// Maximum size, in bytes.
    pub size: u64,
    /// Time for the whole body.
    pub time: Duration,
    /// Longest pause between two parts.
    pub pause: Duration,
    /// Account of held bodies.
    pub account: Option<Arc<ByteAccount>>,
}

/// Reason why a body was not read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyRefusal {
    /// It is larger than the configuration allows.
    TooLong,
    /// It does not fit the account.
    NoMemory,
    /// It was not complete in time.
    TimedOut,
    /// The framing is malformed, or the connection ended.
    Unreadable,
}

impl BodyRefusal {
    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            BodyRefusal::TooLong => "body_too_long",
            BodyRefusal::NoMemory => "body_no_memory",
            BodyRefusal::TimedOut => "body_timed_out",
            BodyRefusal::Unreadable => "body_unreadable",
        }
    }
}

/// Reads a body. One of stated length is reserved as a whole before its first byte, so that it is not
/// refused halfway.
///
/// # Errors
/// [`BodyRefusal`]; the rest of the body is not read.
pub async fn read_body(
    body: impl Body<Data = Bytes>,
    limits: BodyLimits,
) -> Result<Bytes, BodyRefusal> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let time = limits.time;
    let reading = read_parts(body, limits);
    let read = tokio::time::timeout(time, reading).await;
    read.unwrap_or(Err(BodyRefusal::TimedOut))
}

async fn read_parts(
    body: impl Body<Data = Bytes>,
    limits: BodyLimits,
) -> Result<Bytes, BodyRefusal> {
    let stated = body.size_hint().exact();
    let first = stated.unwrap_or(0);
    if first > limits.size {
        return Err(BodyRefusal::TooLong);
    }
    let mut reservation = match &limits.account {
        Some(account) => Some(account.reserve(first).ok_or(BodyRefusal::NoMemory)?),
        None => None,
    };
    let mut reserved = first;
    // Pages of the buffer that are not written take no memory.
    let mut bytes = Vec::with_capacity(usize::try_from(first).unwrap_or(0));
    let mut body = pin!(body);
    loop {
        let part = poll_fn(|context| body.as_mut().poll_frame(context));
        let part = tokio::time::timeout(limits.pause, part).await;
        let Some(part) = part.map_err(|_| BodyRefusal::TimedOut)? else {
            break;
        };
        let Ok(part) = part.map_err(|_| BodyRefusal::Unreadable)?.into_data() else {
            // Trailers are not forwarded.
            continue;
        };
        let length = (bytes.len() + part.len()) as u64;
        if length > limits.size {
            return Err(BodyRefusal::TooLong);
        }
        if length > reserved {
            let step = (length - reserved).max(RESERVE_STEP.min(limits.size - reserved));
            if let Some(reservation) = &mut reservation
                && !reservation.grow(step)
            {
                return Err(BodyRefusal::NoMemory);
            }
            // Growing would copy a large body; its pages are taken as they are written.
            if reserved >= RESERVE_STEP && stated.is_none() {
                let limit = usize::try_from(limits.size).unwrap_or(usize::MAX);
                bytes.reserve_exact(limit.saturating_sub(bytes.len()));
            }
            reserved += step;
        }
        bytes.extend_from_slice(&part);
    }
    Ok(match reservation {
        Some(reservation) if !bytes.is_empty() => reservation.attach(bytes),
        _ => Bytes::from(bytes),
    })
}
