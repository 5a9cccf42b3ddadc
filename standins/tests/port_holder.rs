//! A held port is given to nobody but the listener it is held for.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;

use standins::port_holder::PortHolder;

/// Connections made while the ports are held, open at once.
const CONNECTIONS: usize = 2000;

/// Ports held.
const HELD: usize = 200;

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

#[test]
fn held_ports_are_given_to_no_connection_and_serve_their_listener() {
    let bound = (0..HELD).map(|_| PortHolder::bind(loopback()).expect("a port is free"));
    let holders: Vec<PortHolder> = bound.collect();
    let held: HashSet<u16> = holders.iter().map(|own| own.address().port()).collect();
    assert_eq!(held.len(), HELD);
    let server = TcpListener::bind(loopback()).expect("a listener");
    let address = server.local_addr().expect("its address");
    let mut open = Vec::new();
    for _ in 0..CONNECTIONS {
        let caller = TcpStream::connect(address).expect("a connection");
        let port = caller.local_addr().expect("its address").port();
        assert!(!held.contains(&port), "port {port} is held");
        open.push((caller, server.accept().expect("a connection")));
    }
    for holder in &holders {
        let other = TcpListener::bind(loopback()).expect("a listener");
        let port = other.local_addr().expect("its address").port();
        assert!(!held.contains(&port), "port {port} is held");
        TcpListener::bind(holder.address()).expect("the holder lets its listener in");
    }
}
