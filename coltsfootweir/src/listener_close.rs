//! Closes a listener without resetting a caller's connection.
//!
//! The kernel resets what still waits in a listener's queue when it is closed, also connections that it
//! completed after the last one was taken. So a socket filter first drops what would begin a connection,
//! while handshakes under way still end; callers that come later are refused once the listener is closed.

use std::io::ErrorKind;
use std::net::TcpListener;
use std::net::TcpStream;
use std::time::Duration;

use log::debug;
use socket2::SockFilter;
use socket2::SockRef;

use crate::logging::CALLS;

/// Time in which a handshake under way ends.
pub(crate) const HANDSHAKE_TIME: Duration = Duration::from_millis(200);

/// Classic BPF: load the byte at an absolute offset.
const LOAD_BYTE: u16 = 0x30;

/// Classic BPF: jump if a bit of the constant is set.
const JUMP_IF_SET: u16 = 0x45;

/// Classic BPF: return the constant, the number of bytes to keep.
const RETURN: u16 = 0x06;

/// Offset of the flags in a TCP header.
const TCP_FLAGS: u32 = 13;

/// Flag that begins a connection.
const TCP_SYN: u32 = 0x02;

/// Lets no new connection begin at a listener.
pub(crate) fn stop_handshakes(listener: &TcpListener) {
    let filter = [
        SockFilter::new(LOAD_BYTE, 0, 0, TCP_FLAGS),
        SockFilter::new(JUMP_IF_SET, 0, 1, TCP_SYN),
        SockFilter::new(RETURN, 0, 0, 0),
        SockFilter::new(RETURN, 0, 0, u32::MAX),
    ];
    if let Err(error) = SockRef::from(listener).attach_filter(&filter) {
        debug!(target: CALLS, "new connections not held off: {error}");
    }
}

/// Hands every waiting connection of a non-blocking listener to `take` and closes the listener.
pub(crate) fn close_listener(listener: TcpListener, mut take: impl FnMut(TcpStream)) {
    loop {
        match listener.accept() {
            Ok((stream, _)) => take(stream),
            Err(error) if error.kind() == ErrorKind::ConnectionAborted => {}
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return,
        }
    }
}
