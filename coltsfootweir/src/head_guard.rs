//! A connection to a server that checks the heads of its responses before hyper parses them. Hyper takes a
//! line feed alone for the end of a line and so, of a spoilt head, an early end and another body.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use log::warn;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::logging::UPSTREAM;
use crate::sidecar::http_body::BodyFraming;
use crate::sidecar::message_syntax::is_final_status;
use crate::sidecar::response_head::ResponseFault;
use crate::sidecar::response_head::parse_response_head;

/// A connection whose next response is checked when a request announces it.
#[derive(Debug)]
pub(crate) struct HeadGuard {
    stream: TcpStream,
    is_awaited: Arc<AtomicBool>,
    /// Bytes of the head that is being received.
    head: Option<Vec<u8>>,
}

impl HeadGuard {
    /// Returns the guard of a connection, and the flag that is set before each request.
    pub(crate) fn new(stream: TcpStream) -> (HeadGuard, Arc<AtomicBool>) {
        let is_awaited = Arc::new(AtomicBool::new(false));
        let guard = HeadGuard {
            stream,
            is_awaited: Arc::clone(&is_awaited),
            head: None,
        };
        (guard, is_awaited)
    }

    fn check(&mut self, bytes: &[u8]) -> Result<(), ResponseFault> {
        if self.is_awaited.swap(false, Ordering::Relaxed) {
            self.head = Some(Vec::new());
        }
        let Some(head) = &mut self.head else {
            return Ok(());
        };
        head.extend_from_slice(bytes);
        while let Some((size, parsed)) = parse_response_head(head, false)? {
            if is_final_status(parsed.status) {
                self.head = None;
                // A truncated body would look complete.
                return match parsed.framing {
                    BodyFraming::UntilClose => Err(ResponseFault::BodyEnd),
                    BodyFraming::Length(_) | BodyFraming::Chunked => Ok(()),
                };
            }
            head.drain(..size);
        }
        Ok(())
    }
}

impl AsyncRead for HeadGuard {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let checked = self.check(&buffer.filled()[filled..]);
        Poll::Ready(checked.map_err(|fault| {
            let address = self.stream.peer_addr();
            let address = address.map_or_else(|error| error.to_string(), |peer| peer.to_string());
            warn!(target: UPSTREAM, "answer of {address} is not valid: {fault}");
            io::Error::new(io::ErrorKind::InvalidData, fault)
        }))
    }
}

impl AsyncWrite for HeadGuard {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
