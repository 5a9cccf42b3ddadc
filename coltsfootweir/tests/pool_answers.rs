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

/// Guards against an answer whose status is none, or of which the head does not tell the length: the body
/// that is read is not the upstream's.
#[test]
fn an_answer_with_a_spoilt_head_is_broken() {
    let chunks = "5\r\nhello\r\n0\r\n\r\n";
    for (head, body) in [
        ("000 OK\r\ncontent-length: 5", "hello"),
        ("099 OK\r\ncontent-length: 5", "hello"),
        ("600 OK\r\ncontent-length: 5", "hello"),
        ("999 OK\r\ncontent-length: 5", "hello"),
        ("101 OK\r\ncontent-length: 5", "hello"),
        ("204 OK\r\ncontent-length: 5", "hello"),
        ("200 OK\r\ncontent-length: +5", "hello"),
        ("200 OK\r\ncontent-length: 5\r\n\nx: y", "hello"),
        ("200 OK\r\ncontent-length: 5\n\r\nx: y", "hello"),
        ("200 OK\r\ncontent-length: 5\nx: y", "hello"),
        ("200 OK\r\ncontent-length: 5, 5", "hello"),
        ("200 OK\r\ncontent-length: 4\r\ncontent-length: 5", "hello"),
        ("200 OK\r\nconnection: close", "hello"),
        ("200 OK\r\ncontent-lenqth: 5", "hello"),
        ("200 OK\r\ncontent length: 5", "hello"),
        ("200 OK\r\ncontent-length : 5", "hello"),
        ("200 OK\r\nx\u{1}more: yes\r\ncontent-length: 5", "hello"),
        ("200 OK\r\nno field\r\ncontent-length: 5", "hello"),
        (
            "200 OK\r\ncontent-length: 5\r\ntransfer-encoding: chunked",
            chunks,
        ),
        ("200 OK\r\ntransfer-encoding: gzip", "hello"),
        ("200 OK\r\ntransfer-encoding: xchunked", chunks),
        ("200 OK\r\ntransfer-encoding: gzip, chunked", chunks),
        (
            "200 OK\r\ntransfer-encoding: gzip\r\ntransfer-encoding: chunked",
            chunks,
        ),
    ] {
        let answer = send(format!("HTTP/1.1 {head}\r\n\r\n{body}").leak());
        assert_eq!(answer.err(), Some(SendError::Broken), "{head:?}");
    }
    let old = format!("HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{chunks}");
    assert_eq!(send(old.leak()).err(), Some(SendError::Broken));
    for (head, body) in [
        ("200 OK\r\ntransfer-encoding: Chunked", chunks),
        ("599 Odd\r\ncontent-length: 5", "hello"),
    ] {
        let answer = send(format!("HTTP/1.1 {head}\r\n\r\n{body}").leak());
        assert_eq!(answer.expect("a complete answer").body().as_ref(), b"hello");
    }
}

/// Guards against the head of the next answer on a connection that is not checked, and against a body or an
/// interim answer that is taken for a head.
#[test]
fn each_answer_of_a_connection_is_checked() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let answers = [
        "HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\n\na\r\n\r\nbc",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n\n\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\n\r\nok",
    ];
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut bytes = [0; 512];
        for answer in answers {
            let count = stream.read(&mut bytes).expect("a request");
            assert!(count > 0, "the connection is used again");
            stream.write_all(answer.as_bytes()).expect("a reader");
        }
    });
    let runtime = Builder::new_current_thread().enable_all().build();
    let pool = ConnectionPool::default();
    let ends = runtime.expect("a runtime").block_on(async {
        let mut ends = Vec::new();
        for _ in answers {
            let request = Request::get("/stalls").body(Full::default());
            let answer = pool.send(address, request.expect("a request")).await;
            ends.push(answer.map(|answer| answer.into_body()));
        }
        ends
    });
    server.join().expect("the server ends");
    assert_eq!(ends[0].as_deref(), Ok(&b"\na\r\n\r\nbc"[..]));
    assert_eq!(ends[1].as_deref(), Ok(&b"\n\n"[..]));
    assert_eq!(ends[2], Err(SendError::Broken));
}
