//! Answers read by the connection pool: complete, or an error.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;

use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Bytes;
use tokio::runtime::Builder;

use coltsfootweir::http_pool::ConnectionPool;
use coltsfootweir::http_pool::SendError;

/// Sends one request to a server that writes `answer` and closes the connection.
fn send(answer: &'static str) -> Result<Response<Bytes>, SendError> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte).expect("a request");
            head.push(byte[0]);
        }
        stream.write_all(answer.as_bytes()).expect("a reader");
    });
    let result = send_to(address);
    server.join().expect("the server ends");
    result
}

fn send_to(address: SocketAddr) -> Result<Response<Bytes>, SendError> {
    let request = Request::get("/stalls").body(Full::default());
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    runtime.block_on(ConnectionPool::default().send(address, request.expect("a request")))
}

#[test]
fn an_answer_whose_end_is_not_marked_is_broken() {
    let broken = send("HTTP/1.1 200 OK\r\n\r\n{\"free\": 1");
    assert_eq!(broken.err(), Some(SendError::Broken));
    let bodiless = send("HTTP/1.1 204 No Content\r\n\r\n").expect("a complete answer");
    assert!(bodiless.body().is_empty());
}

#[test]
fn an_answer_that_ends_before_its_length_is_broken() {
    let broken = send("HTTP/1.1 200 OK\r\ncontent-length: 11\r\n\r\n{\"free\": 1");
    assert_eq!(broken.err(), Some(SendError::Broken));
    let complete = send("HTTP/1.1 200 OK\r\ncontent-length: 11\r\n\r\n{\"free\": 1}");
    assert_eq!(
        complete.expect("a complete answer").body().as_ref(),
        b"{\"free\": 1}"
    );
}
