//! Where answers of endpoints end, and whether the end that the socket shows makes them complete.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use coltsfootweir::sidecar::http_exchange::ExchangeError;
use coltsfootweir::sidecar::http_exchange::HttpConnection;
use coltsfootweir::sidecar::http_exchange::WireRequest;

/// Body of a request that does not fit into the buffers of a connection.
const REQUEST_BYTES: usize = 8 * 1024 * 1024;

/// Bytes of an answer that are read with its head, as for calls.
const INLINE_BYTES: usize = 16 * 1024;

/// An answer that is read with its head, and one that is read in pieces.
const LENGTHS: [usize; 2] = [12_000, 200_000];

/// Time in which the client's next write waits for the endpoint to read.
const STALL: Duration = Duration::from_millis(100);

const TIMEOUT: Duration = Duration::from_secs(10);

/// How an answer tells its length.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AnswerFraming {
    Length,
    Chunked,
    UntilClose,
}

/// How the endpoint ends its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AnswerEnd {
    /// After the whole answer, when it has read the request.
    Read,
    /// After the whole answer, while it reads the request.
    HalfClosed,
    /// In the middle, with the request unread: the connection is reset.
    Reset,
    /// In the middle, when it has read the request, or with its write side if there is more than is read
    /// with the head.
    Cut,
}

/// An endpoint that answers before it has read the body of the request.
#[derive(Clone, Copy, Debug)]
struct EarlyAnswer {
    framing: AnswerFraming,
    end: AnswerEnd,
    length: usize,
    is_head: bool,
}

impl EarlyAnswer {
    fn sends_all(self) -> bool {
        matches!(self.end, AnswerEnd::Read | AnswerEnd::HalfClosed)
    }

    fn serve(self, mut stream: &TcpStream) {
        let mut head_bytes = [0; 64];
        stream
            .set_read_timeout(Some(TIMEOUT))
            .expect("a time limit");
        stream
            .read_exact(&mut head_bytes)
            .expect("a part of the request");
        let sent = match self.sends_all() {
            true => self.length,
            false => self.length / 2,
        };
        let body = vec![b'a'; sent];
        let (head, body) = match self.framing {
            AnswerFraming::Length => (format!("content-length: {}\r\n", self.length), body),
            AnswerFraming::UntilClose => ("connection: close\r\n".to_owned(), body),
            AnswerFraming::Chunked => {
                let mut chunks = format!("{:x}\r\n", self.length).into_bytes();
                chunks.extend_from_slice(&body);
                if self.sends_all() {
                    chunks.extend_from_slice(b"\r\n0\r\n\r\n");
                }
                ("transfer-encoding: chunked\r\n".to_owned(), chunks)
            }
        };
        let head = format!("HTTP/1.1 200 OK\r\n{head}\r\n");
        stream.write_all(head.as_bytes()).expect("written");
        if !self.is_head {
            stream.write_all(&body).expect("written");
        }
        wait_until_still(stream);
        // The rest of the request of a large answer is not written.
        let is_unread = self.end == AnswerEnd::Cut && self.length > INLINE_BYTES;
        match self.end {
            AnswerEnd::Reset => return,
            AnswerEnd::Read | AnswerEnd::Cut if !is_unread => {}
            _ => stream.shutdown(std::net::Shutdown::Write).expect("open"),
        }
        let mut left = REQUEST_BYTES - head_bytes.len();
        let mut bytes = vec![0; 64 * 1024];
        while left > 0 {
            match stream.read(&mut bytes) {
                Ok(count) if count > 0 => left = left.saturating_sub(count),
                _ => return,
            }
        }
    }
}

/// Waits until no more bytes of the request have arrived for a while: the client's write stands still.
fn wait_until_still(stream: &TcpStream) {
    let start = Instant::now();
    let mut bytes = vec![0; REQUEST_BYTES];
    let (mut arrived, mut since) = (0, start);
    while since.elapsed() < STALL {
        assert!(start.elapsed() < TIMEOUT, "bytes go on arriving");
        let count = stream.peek(&mut bytes).expect("an open connection");
        if count != arrived {
            (arrived, since) = (count, Instant::now());
        }
        std::thread::yield_now();
    }
}

/// Returns the bytes of the answer's body and whether the connection may be used again.
fn receive(early: EarlyAnswer) -> Result<(usize, bool), ExchangeError> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address: SocketAddr = listener.local_addr().expect("an address");
    let server = std::thread::spawn(move || {
        let (stream, _) = listener.accept().expect("a connection");
        early.serve(&stream);
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let answer = runtime.block_on(async {
        let mut connection = HttpConnection::open(address, TIMEOUT).await?;
        let head = format!("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: {REQUEST_BYTES}\r\n\r\n");
        let request = WireRequest {
            head: head.as_bytes(),
            body: &vec![b'u'; REQUEST_BYTES],
            is_head: early.is_head,
            identity: None,
        };
        let (response, rest) = connection.begin(request, INLINE_BYTES).await?;
        let mut received = response.body.len();
        if let Some(mut rest) = rest {
            while let Some(piece) = connection.next_piece(&mut rest).await? {
                received += piece.len();
            }
        }
        Ok((received, response.is_reusable))
    });
    server.join().expect("the endpoint does not panic");
    answer
}

/// Guards against an answer without a length that is reset while the request is still written, and
/// passes for complete: the write takes the error of the socket, and the read finds the end of the
/// stream (`review/7`).
#[test]
fn answer_that_is_reset_while_the_request_is_written_is_incomplete() {
    for framing in [
        AnswerFraming::UntilClose,
        AnswerFraming::Length,
        AnswerFraming::Chunked,
    ] {
        for length in LENGTHS {
            let early = EarlyAnswer {
                framing,
                end: AnswerEnd::Reset,
                length,
                is_head: false,
            };
            assert_eq!(receive(early), Err(ExchangeError::Ended), "{early:?}");
        }
    }
}

/// Guards against a stated end that is not awaited.
#[test]
fn answer_that_is_cut_before_its_stated_end_is_incomplete() {
    for framing in [AnswerFraming::Length, AnswerFraming::Chunked] {
        for length in LENGTHS {
            let early = EarlyAnswer {
                framing,
                end: AnswerEnd::Cut,
                length,
                is_head: false,
            };
            assert_eq!(receive(early), Err(ExchangeError::Ended), "{early:?}");
        }
    }
}

/// Guards against whole answers that are taken for broken ones.
#[test]
fn answer_that_ends_in_order_while_the_request_is_written_is_complete() {
    for end in [AnswerEnd::Read, AnswerEnd::HalfClosed] {
        for framing in [
            AnswerFraming::UntilClose,
            AnswerFraming::Length,
            AnswerFraming::Chunked,
        ] {
            let early = EarlyAnswer {
                framing,
                end,
                length: LENGTHS[0],
                is_head: false,
            };
            let received = receive(early).map(|(length, _)| length);
            assert_eq!(received, Ok(LENGTHS[0]), "{early:?}");
        }
    }
}

/// Guards against an answer to `HEAD` that waits for a body, or is lost with the rest of its connection.
#[test]
fn answer_to_head_is_complete_with_its_head() {
    for framing in [AnswerFraming::UntilClose, AnswerFraming::Length] {
        let early = EarlyAnswer {
            framing,
            end: AnswerEnd::Reset,
            length: LENGTHS[0],
            is_head: true,
        };
        assert_eq!(receive(early), Ok((0, false)), "{early:?}");
    }
}

/// Returns the status of the answer to a request with the id `own` when these bytes come.
fn status_of(bytes: Vec<u8>) -> Result<u16, ExchangeError> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut head = [0; 64];
        let _ = stream.read(&mut head).expect("a request");
        stream.write_all(&bytes).expect("written");
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let answer = runtime.block_on(async {
        let mut connection = HttpConnection::open(address, TIMEOUT).await?;
        let request = WireRequest {
            head: b"GET / HTTP/1.1\r\nrequest-id: own\r\n\r\n",
            body: &[],
            is_head: false,
            identity: Some(("request-id", "own")),
        };
        let (response, _) = connection.begin(request, INLINE_BYTES).await?;
        match response.header("not-processed") {
            Some(_) => Ok(0),
            None => Ok(response.status),
        }
    });
    server.join().expect("the endpoint does not panic");
    answer
}

/// Guards against the beginning of an earlier answer, broken off at any byte, that lends its status or a
/// header to the answer behind it: a booking ran twice, a failure became a success (`review/6`).
#[test]
fn beginning_of_another_answer_lends_nothing_to_the_next() {
    let copies = [
        "HTTP/1.1 200 OK\r\nUpstream-Signature: s\r\nRequest-Id: old\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 503 Busy\r\nNot-Processed: 1\r\nRequest-Id: old\r\nContent-Length: 0\r\n\r\n",
    ];
    let own = "HTTP/1.1 500 Failed\r\nRequest-Id: own\r\nContent-Length: 2\r\n\r\nno";
    assert_eq!(status_of(own.into()), Ok(500));
    for copy in copies {
        for end in 0..=copy.len() {
            let bytes = [&copy[..end], own].concat();
            let status = status_of(bytes.into_bytes());
            let is_true = status == Ok(500) || status.is_err();
            assert!(is_true, "{:?} before the answer: {status:?}", &copy[..end]);
        }
    }
}

/// Guards against answers that are refused because a header names a protocol.
#[test]
fn header_that_names_a_protocol_is_no_status_line() {
    let head = "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 relay\r\nServer: x HTTP/1.1\r\nRequest-Id: own";
    let bytes = format!("{head}\r\nContent-Length: 0\r\n\r\n").into_bytes();
    assert_eq!(status_of(bytes), Ok(200));
}
