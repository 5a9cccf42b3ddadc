//! Responses of which one byte is wrong: each gives the server's response, or none.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;

use coltsfootweir::sidecar::http_exchange::ExchangeError;
use coltsfootweir::sidecar::http_exchange::HttpConnection;
use coltsfootweir::sidecar::http_exchange::HttpResponse;
use coltsfootweir::sidecar::http_exchange::WireRequest;
use tokio::runtime::Runtime;

const TIMEOUT: Duration = Duration::from_secs(10);

/// Bytes of a body that are read with the head, as for calls.
const INLINE_BYTES: usize = 16 * 1024;

/// Bytes that take the place of each byte: blanks, controls, delimiters, digits, letters and others.
const REPLACEMENTS: &[u8] = b"\0\x01\t\n\r \x7f\x80\xff:;,/+-019afxA_";

/// Sound responses, and their status and body. An additional response may follow all that do not end with
/// their connection.
const SOUND: [(&str, u16, &str); 9] = [
    (
        "HTTP/1.1 200 OK\r\nRequest-Id: own\r\nUpstream-Signature: s\r\nContent-Length: 12\r\n\r\na whole body",
        200,
        "a whole body",
    ),
    (
        "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nKeep-Alive: timeout=5\r\nRequest-Id: own\r\n\r\na whole body",
        200,
        "a whole body",
    ),
    (
        "HTTP/1.1 200 OK\r\nRequest-Id: own\r\nContent-Length: 12\r\nConnection: close\r\n\r\na whole body",
        200,
        "a whole body",
    ),
    (
        "HTTP/1.1 200 OK\r\nRequest-Id: own\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nc;x=y\r\n there again\r\n0\r\nX-Sum: 7\r\n\r\n",
        200,
        "hello there again",
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\nRequest-Id: own\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        200,
        "hello",
    ),
    (
        "HTTP/1.1 500 Failed\r\nRequest-Id: own\r\nContent-Length: 2\r\n\r\nno",
        500,
        "no",
    ),
    (
        "HTTP/1.1 204 No Content\r\nRequest-Id: own\r\nKeep-Alive: timeout=5\r\n\r\n",
        204,
        "",
    ),
    (
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Made\r\nRequest-Id: own\r\nContent-Length: 4\r\n\r\nmade",
        201,
        "made",
    ),
    (
        "HTTP/1.0 200 OK\r\nRequest-Id: own\r\nContent-Length: 4\r\n\r\nbody",
        200,
        "body",
    ),
];

/// Response of unknown length, which ends with its connection.
const UNFRAMED: &str =
    "HTTP/1.1 200 OK\r\nRequest-Id: own\r\nConnection: close\r\n\r\nuntil the end";

/// Response that belongs to no request.
const ADDITIONAL: &str =
    "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 9\r\n\r\nnot yours";

/// Bytes that are written at once to each connection, in one or two parts.
type WireParts = [Vec<u8>; 2];

/// Server that answers the next connections with given bytes and closes them in order.
struct SpoiltServer {
    address: SocketAddr,
    answers: flume::Sender<WireParts>,
    runtime: Runtime,
}

impl SpoiltServer {
    fn start() -> SpoiltServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (answers, queue) = flume::unbounded::<WireParts>();
        std::thread::spawn(move || {
            for parts in queue {
                let (mut stream, _) = listener.accept().expect("a connection");
                stream.set_nodelay(true).expect("an option");
                let mut head = [0; 128];
                let _ = stream.read(&mut head).expect("a request");
                for part in parts {
                    // Fails if the client has found a fault in the part before.
                    let _ = stream.write_all(&part);
                }
            }
        });
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        SpoiltServer {
            address,
            answers,
            runtime,
        }
    }

    /// Returns what the client makes of an answer, with its whole body.
    fn receive(&self, parts: WireParts, method: &str) -> Result<HttpResponse, ExchangeError> {
        self.answers.send(parts).expect("a server");
        let head = format!("{method} / HTTP/1.1\r\nrequest-id: own\r\n\r\n");
        let request = WireRequest {
            head: head.as_bytes(),
            body: &[],
            is_head: method == "HEAD",
            identity: Some(("request-id", "own")),
        };
        self.runtime.block_on(async {
            let mut connection = HttpConnection::open(self.address, TIMEOUT).await?;
            let (mut response, rest) = connection.begin(request, INLINE_BYTES).await?;
            if let Some(mut rest) = rest {
                while let Some(piece) = connection.next_piece(&mut rest).await? {
                    response.body.extend_from_slice(&piece);
                }
            }
            Ok(response)
        })
    }

    fn receive_whole(&self, bytes: &[u8]) -> Result<HttpResponse, ExchangeError> {
        self.receive([bytes.to_vec(), Vec::new()], "GET")
    }
}

/// What one byte of a response was changed to.
#[derive(Clone, Copy, Debug)]
enum ByteChange {
    Dropped,
    Doubled,
    Replaced(u8),
}

fn changed(bytes: &[u8], index: usize, change: ByteChange) -> Vec<u8> {
    let byte = bytes[index];
    let new = match change {
        ByteChange::Dropped => vec![],
        ByteChange::Doubled => vec![byte, byte],
        ByteChange::Replaced(other) => vec![other],
    };
    [&bytes[..index], &new, &bytes[index + 1..]].concat()
}

/// Returns whether the change leaves another valid status or length, which the head alone does not show.
fn is_other_number(text: &str, bytes: &[u8], index: usize) -> bool {
    let grown = bytes.len() as isize - text.len() as isize;
    let number = |start: usize, end: usize| -> Option<u64> {
        let part = bytes.get(start..end.saturating_add_signed(grown))?;
        let digits = std::str::from_utf8(part).ok()?.trim_matches([' ', '\t']);
        let is_number = digits.bytes().all(|byte| byte.is_ascii_digit());
        ((start..end).contains(&index) && is_number).then(|| digits.parse().ok())?
    };
    let status = text.rfind("HTTP/1").expect("a status line") + "HTTP/1.1 ".len();
    let is_status = number(status, status + 3).is_some_and(|code| (200..600).contains(&code));
    let is_length = text.find("Content-Length:").is_some_and(|field| {
        let start = field + "Content-Length:".len();
        let end = start + text[start..].find('\r').expect("an end of the line");
        number(start, end).is_some()
    });
    is_length || is_status
}

/// Guards against a head of which one byte was lost, doubled or replaced, and that lends the response another
/// body, or the status of another response.
#[test]
fn one_wrong_byte_gives_the_response_or_none() {
    let server = SpoiltServer::start();
    let mut faults = Vec::new();
    for (text, status, body) in SOUND {
        let head = text.rfind("\r\n\r\n").expect("the end of a head") + 4;
        let end = match text.contains("chunked") {
            true => text.len(),
            false => head,
        };
        let parts = ["hello", " there again"].map(|part| text.rfind(part).map(|at| (at, part)));
        let is_data = |index: usize| {
            let mut parts = parts.iter().flatten();
            parts.any(|(at, part)| (*at..at + part.len()).contains(&index))
        };
        let bytes = format!("{text}{ADDITIONAL}").into_bytes();
        let sound = server.receive_whole(&bytes).expect("a sound response");
        assert_eq!((sound.status, &*sound.body), (status, body.as_bytes()));
        for index in 0..end {
            let replaced = REPLACEMENTS.iter().map(|byte| ByteChange::Replaced(*byte));
            let changes = [ByteChange::Dropped, ByteChange::Doubled];
            for (number, change) in changes.into_iter().chain(replaced).enumerate() {
                // A byte that is added behind a head stands in the body.
                let is_behind = index + 1 == head && matches!(change, ByteChange::Doubled);
                if is_data(index) || is_behind {
                    continue;
                }
                let wrong = changed(&bytes, index, change);
                let spoilt = changed(text.as_bytes(), index, change);
                // Every third answer comes in two parts.
                let split = match number % 3 {
                    0 => index,
                    _ => wrong.len(),
                };
                let parts = [wrong[..split].to_vec(), wrong[split..].to_vec()];
                let Ok(response) = server.receive(parts, "GET") else {
                    continue;
                };
                let is_own = response.status == status && response.body == body.as_bytes();
                if !is_own && !is_other_number(text, &spoilt, index) {
                    let (status, body) = (response.status, response.body.escape_ascii());
                    faults.push(format!(
                        "byte {index} of {text:?} {change:?}: {status} {body}"
                    ));
                }
            }
        }
    }
    assert!(faults.is_empty(), "{} faults: {faults:#?}", faults.len());
}

/// Guards against a length that became smaller by one wrong digit, of which the rest is taken for the
/// beginning of the next response: the connection is not used again.
#[test]
fn response_before_the_end_of_its_body_leaves_no_connection() {
    let server = SpoiltServer::start();
    let text = SOUND[0].0.replace("Length: 12", "Length: 7");
    let response = server.receive_whole(text.as_bytes()).expect("a response");
    assert_eq!(response.body, b"a whole");
    assert!(!response.is_reusable);
}

/// Guards against responses of unknown length that are refused although they announce the end of their
/// connection, and against those that do not announce it and are taken for complete.
#[test]
fn response_of_unknown_length_is_taken_if_it_announces_its_end() {
    let server = SpoiltServer::start();
    for text in [
        UNFRAMED.to_owned(),
        UNFRAMED.replace("close", "x, Close"),
        UNFRAMED.replace("HTTP/1.1", "HTTP/1.0"),
        UNFRAMED
            .replace("HTTP/1.1", "HTTP/1.0")
            .replace("Connection: close\r\n", ""),
    ] {
        let response = server.receive_whole(text.as_bytes()).expect("a response");
        assert_eq!(response.body, b"until the end", "{text:?}");
        assert!(!response.is_reusable, "{text:?}");
    }
    for text in [
        UNFRAMED.replace("Connection: close\r\n", ""),
        UNFRAMED.replace("Connection: close", "Keep-Alive: timeout=5"),
        UNFRAMED.replace("Request-Id", "Content-Lenqth: 13\r\nRequest-Id"),
        UNFRAMED.replace("Request-Id", "Transfer-Encodin: chunked\r\nRequest-Id"),
    ] {
        let response = server.receive_whole(text.as_bytes());
        assert!(response.is_err(), "{text:?}: {response:?}");
    }
}

/// Guards against fields that are spoilt in a response without a body, where no length shows it, and against
/// sound ones that are refused.
#[test]
fn response_to_head_is_as_strict() {
    let server = SpoiltServer::start();
    let receive = |length: &str| {
        let text = format!("HTTP/1.1 200 OK\r\nRequest-Id: own\r\n{length}\r\n\r\n");
        server.receive([text.into_bytes(), Vec::new()], "HEAD")
    };
    for length in ["Content-Length: 12", "Transfer-Encoding: chunked", "X: y"] {
        let response = receive(length).expect("a sound response");
        assert_eq!((response.status, response.body), (200, Vec::new()));
    }
    for length in [
        "Content-Length: +12",
        "Content-Length: 1\r\nContent-Length: 2",
        "Content-Length 12",
        "Content Length: 12",
        "Transfer-Encoding: gzip",
    ] {
        let response = receive(length);
        assert!(response.is_err(), "{length:?}: {response:?}");
    }
}

/// Guards against limits of a head, and forms of it that the standard leaves to the recipient, by which a
/// whole response is lost.
#[test]
fn unusual_heads_that_are_valid_are_taken() {
    let server = SpoiltServer::start();
    let many = "x-more: yes\r\n".repeat(60);
    for head in [
        "200 OK\r\nContent-Length: 2\r\n",
        "200 \r\nContent-Length: 2\r\n",
        "200\r\nContent-Length: 2\r\n",
        "200 Tr\u{e9}s bien\r\nContent-Length: 2\r\n",
        "200 OK\r\ncontent-length:2\r\n",
        "200 OK\r\nCONTENT-LENGTH: \t2 \t\r\n",
        "200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n",
        "200 OK\r\nContent-Length: 02\r\nx-empty:\r\nx-\u{e9}: \r\n",
        "200 OK\r\nContent-Length: 2\r\nVia: HTTP/1.1 relay\r\n",
    ] {
        let head = head.replace("x-\u{e9}: ", "x-text: \u{e9}\t\u{e9}");
        let text = format!("HTTP/1.1 {head}{many}Request-Id: own\r\n\r\nok");
        let response = server.receive_whole(text.as_bytes());
        let seen = response.map(|response| (response.status, response.body));
        assert_eq!(seen, Ok((200, b"ok".to_vec())), "{head:?}");
    }
}
