//! A port that stays reserved while nothing listens on it.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpListener;
use tokio::net::TcpSocket;

/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// Keeps a port from other users between two listeners; connections in between are refused.
#[derive(Debug)]
pub struct PortHolder {
    address: SocketAddr,
    /// Bound but never listening.
    _socket: TcpSocket,
}

impl PortHolder {
    /// Reserves the port of `address`; port 0 takes a free port.
    ///
    /// # Errors
    /// Those of the socket.
    pub fn bind(address: SocketAddr) -> io::Result<PortHolder> {
        let socket = bound_socket(address)?;
        Ok(PortHolder {
            address: socket.local_addr()?,
            _socket: socket,
        })
    }

    /// Address with the reserved port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Listens on the port; to be called within a runtime.
    ///
    /// # Errors
    /// Those of the socket.
    pub fn listen(&self) -> io::Result<TcpListener> {
        bound_socket(self.address)?.listen(LISTEN_BACKLOG)
    }
}

fn bound_socket(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    Ok(socket)
}
