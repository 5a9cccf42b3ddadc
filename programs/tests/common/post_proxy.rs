//! A proxy between one daemon and a peer that may change what passes through it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use tiny_http::Header;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;

/// Gives the answer to the body of a request by its path; `None` is an error to the daemon.
type PassFn = dyn Fn(&str, Vec<u8>) -> Option<Vec<u8>> + Send + Sync;

/// Proxy for the requests of a daemon to one peer.
pub struct PostProxy {
    pub address: SocketAddr,
    server: Arc<Server>,
}

impl PostProxy {
    pub fn start(
        pass: impl Fn(&str, Vec<u8>) -> Option<Vec<u8>> + Send + Sync + 'static,
    ) -> PostProxy {
        let server = Arc::new(Server::http("127.0.0.1:0").expect("a proxy"));
        let address = server.server_addr().to_ip().expect("an address");
        let requests = Arc::clone(&server);
        let pass: Arc<PassFn> = Arc::new(pass);
        thread::spawn(move || {
            for request in requests.incoming_requests() {
                let pass = Arc::clone(&pass);
                thread::spawn(move || answer(request, &*pass));
            }
        });
        PostProxy { address, server }
    }
}

impl Drop for PostProxy {
    fn drop(&mut self) {
        self.server.unblock();
    }
}

fn answer(mut request: Request, pass: &PassFn) {
    let mut body = Vec::new();
    if request.as_reader().read_to_end(&mut body).is_err() {
        return;
    }
    let Some(body) = pass(request.url(), body) else {
        return;
    };
    let mut response = Response::from_data(body);
    response.add_header(Header::from_bytes("Connection", "close").expect("a header"));
    let _ = request.respond(response);
}

/// Passes a request on; `None` when no answer came.
pub fn pass_on(peer: SocketAddr, path: &str, body: Vec<u8>) -> Option<Vec<u8>> {
    let request = minreq::post(format!("http://{peer}{path}"));
    let request = request.with_header("Connection", "close").with_body(body);
    let answer = request.with_timeout(2).send().ok()?;
    Some(answer.into_bytes())
}
