//! Sockets as on a link between machines: the segments and windows of the loopback device are much
//! larger.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::os::fd::FromRawFd;
use std::os::fd::OwnedFd;

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;

/// Bytes of a segment on an Ethernet link.
const SEGMENT: i32 = 1460;

#[repr(C)]
struct InternetAddress {
    family: u16,
    port: u16,
    ip: u32,
    rest: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, size: u32) -> i32;
    fn connect(socket: i32, address: *const InternetAddress, size: u32) -> i32;
}

/// Connects with segments of an Ethernet link and a receive buffer of `window` bytes.
pub fn connect_as_remote(address: SocketAddr, window: i32) -> io::Result<TcpStream> {
    let SocketAddr::V4(address) = address else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    // A new descriptor, which only `owned` closes.
    let owned = unsafe {
        let raw = socket(AF_INET, SOCK_STREAM, 0);
        if raw < 0 {
            return Err(io::Error::last_os_error());
        }
        OwnedFd::from_raw_fd(raw)
    };
    let name = InternetAddress {
        family: AF_INET as u16,
        port: address.port().to_be(),
        ip: u32::from_ne_bytes(Ipv4Addr::octets(address.ip())),
        rest: [0; 8],
    };
    // The values outlive the calls.
    let connected = unsafe {
        let raw = owned.as_raw_fd();
        setsockopt(raw, SOL_SOCKET, SO_RCVBUF, &window, 4);
        setsockopt(raw, IPPROTO_TCP, TCP_MAXSEG, &SEGMENT, 4);
        connect(raw, &name, size_of::<InternetAddress>() as u32)
    };
    match connected {
        0 => Ok(TcpStream::from(owned)),
        _ => Err(io::Error::last_os_error()),
    }
}
