//! Connection of a client with time limits on request heads and on answers that are not read.

use std::future::Future;
use std::io;
use std::io::ErrorKind;
use std::io::IoSlice;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;

use crate::sidecar::client_limits::connection_limit::ConnectionSlot;

/// Maximum number of bytes that are read after a refusal. A socket's buffers hold about as much; with
/// unread bytes, the kernel resets the connection and the client may lose the response.
const DRAIN_LIMIT: usize = 256 * 1024;

/// Time in which bytes are read after a refusal: several round trips between regions of 60 ms.
const DRAIN_TIME: Duration = Duration::from_millis(500);

/// Size of the buffer for drained bytes, in bytes.
const DRAIN_BUFFER: usize = 8 * 1024;

/// Time limits on a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StreamTimes {
    /// Time from the first byte of a request head to its last.
    pub head: Duration,
    /// Time in which a client takes no byte of an answer.
    pub unread: Duration,
}

/// Connection of a client.
pub struct ClientStream {
    stream: TcpStream,
    slot: Rc<ConnectionSlot>,
    times: StreamTimes,
    head_limit: Option<Pin<Box<Sleep>>>,
    write_limit: Option<Pin<Box<Sleep>>>,
    drain_limit: Option<Pin<Box<Sleep>>>,
    /// Number of bytes that may still be read after a refusal.
    drain_left: usize,
}

impl ClientStream {
    /// Adds the time limits to a connection.
    #[must_use]
    pub fn new(stream: TcpStream, slot: Rc<ConnectionSlot>, times: StreamTimes) -> ClientStream {
        ClientStream {
            stream,
            slot,
            times,
            head_limit: None,
            write_limit: None,
            drain_limit: None,
            drain_left: DRAIN_LIMIT,
        }
    }

    /// Discards what the client still sends, up to a small bound; ready at its end.
    fn poll_drain(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [0; DRAIN_BUFFER];
        while self.drain_left > 0 {
            let mut buffer = ReadBuf::new(&mut bytes);
            match Pin::new(&mut self.stream).poll_read(context, &mut buffer) {
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                    self.drain_left = self.drain_left.saturating_sub(buffer.filled().len());
                }
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending => {
                    let over = is_over::<()>(&mut self.drain_limit, DRAIN_TIME, context);
                    return over.map(|_| ());
                }
            }
        }
        Poll::Ready(())
    }

    fn check_write<T>(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.write_limit = None;
            return written;
        }
        let time = self.times.unread;
        is_over(&mut self.write_limit, time, context)
    }
}

/// Starts a time limit unless it runs; ready with an error at its end.
fn is_over<T>(
    limit: &mut Option<Pin<Box<Sleep>>>,
    time: Duration,
    context: &mut Context<'_>,
) -> Poll<io::Result<T>> {
    let sleep = limit.get_or_insert_with(|| Box::pin(tokio::time::sleep(time)));
    sleep
        .as_mut()
        .poll(context)
        .map(|()| Err(io::Error::from(ErrorKind::TimedOut)))
}

impl AsyncRead for ClientStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let read = Pin::new(&mut this.stream).poll_read(context, buffer);
        if read.is_ready() {
            if !this.slot.has_head_begun() {
                this.head_limit = None;
            }
            this.slot.set_head_begun();
            return read;
        }
        if !this.slot.has_head_begun() {
            this.head_limit = None;
            return read;
        }
        let time = this.times.head;
        is_over(&mut this.head_limit, time, context)
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write(context, bytes);
        this.check_write(context, written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write_vectored(context, slices);
        this.check_write(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let ended = ready!(Pin::new(&mut this.stream).poll_shutdown(context));
        if ended.is_ok() && this.slot.is_body_unread() {
            ready!(this.poll_drain(context));
        }
        Poll::Ready(ended)
    }
}
