//! A small server on `tiny_http`, for the trials.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

/// A server that answers each request at once on one thread; dropping it stops it.
pub struct TinyServer {
    server: Arc<tiny_http::Server>,
    /// Address it listens on.
    pub address: SocketAddr,
}

impl TinyServer {
    /// Starts it on a free port.
    pub fn start() -> TinyServer {
        let server = Arc::new(tiny_http::Server::http("127.0.0.1:0").unwrap());
        let address = server.server_addr().to_ip().unwrap();
        let requests = Arc::clone(&server);
        thread::spawn(move || {
            for request in requests.incoming_requests() {
                let _ = request.respond(tiny_http::Response::from_string("ok"));
            }
        });
        TinyServer { server, address }
    }
}

impl Drop for TinyServer {
    fn drop(&mut self) {
        self.server.unblock();
    }
}
