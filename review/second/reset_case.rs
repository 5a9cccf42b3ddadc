//! An endpoint answers a long request before it has read all of it, in a body without a length, and
//! breaks off halfway. Its connection is reset, as the rest of the request is unread.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use crate::Outcome;
use crate::endpoint::EndpointState;
use crate::endpoint::EndpointWork;
use crate::fleet::Fleet;
use crate::fleet::Place;
use crate::fleet::config;
use crate::http::HttpHead;
use crate::http::HttpReader;
use crate::http::request_bytes;
use crate::record::CaseRecord;

/// Rounds of small requests, each with one upload after them.
const ROUNDS: usize = 4;

/// Small requests in a round: the endpoint breaks off one in 50 of its answers at most.
const SMALL_REQUESTS: usize = 55;

/// Bytes of an uploaded body, an eighth of what the configuration allows.
const BODY_BYTES: usize = 8 * 1024 * 1024;

/// Bytes of the endpoint's whole answer to an upload, and of the part that it sends before it breaks off.
const ANSWER_BYTES: usize = 12_000;
const SENT_BYTES: usize = 5_000;

/// Bytes of the answer to a small request.
const SMALL_BYTES: usize = 400;

const ZAANDAM: Place = Place {
    zone: "zaandam",
    region: "noord-holland",
    service: "stalboek",
};

pub fn run(record: &CaseRecord, has_trouble: bool) -> Outcome {
    let work: EndpointWork =
        Arc::new(move |state, head, reader| answer_early(state, head, reader, has_trouble));
    let purmerend = Place {
        zone: "purmerend",
        ..ZAANDAM
    };
    let config = config(
        7,
        &[
            ("look", "idempotent", "stalboek"),
            ("upload", "upload", "stalboek"),
        ],
        64 * 1024 * 1024,
    );
    let fleet = Fleet::start(record, &[ZAANDAM, purmerend], &config, 1000.0, &work)?;
    let mut has_held = true;
    for round in 0..ROUNDS {
        for number in 0..SMALL_REQUESTS {
            let id = format!("look-{round}-{number}");
            has_held &= send(&fleet, "GET", &id, 0, SMALL_BYTES)?;
        }
        let id = format!("upload-{round}");
        has_held &= send(&fleet, "POST", &id, BODY_BYTES, ANSWER_BYTES)?;
    }
    Ok(has_held)
}

fn answer_early(
    state: &EndpointState,
    head: &HttpHead,
    reader: &mut HttpReader,
    has_trouble: bool,
) -> bool {
    let id = head.header("request-id").to_owned();
    if head.word(0) == "GET" {
        return state.answer(&id, &[b'l'; SMALL_BYTES], reader);
    }
    let answer = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nUpstream-Signature: {}\r\nConnection: close\r\n\r\n",
        state.signature()
    );
    let mut bytes = answer.into_bytes();
    bytes.resize(bytes.len() + SENT_BYTES, b'a');
    let _ = reader.stream.write_all(&bytes);
    std::thread::sleep(Duration::from_millis(150));
    if has_trouble {
        state.record.line(format!(
            "endpoint {} breaks off its answer to {id} after {SENT_BYTES} of {ANSWER_BYTES} bytes, most of the request is unread",
            state.id
        ));
        return false;
    }
    let _ = reader.stream.write_all(&[b'a'; ANSWER_BYTES - SENT_BYTES]);
    let is_read = reader.body(head).is_some();
    state.record.line(format!(
        "endpoint {} has sent its whole answer to {id} and read the request: {is_read}",
        state.id
    ));
    false
}

/// Sends a request and returns whether the client got no incomplete success.
fn send(fleet: &Fleet, method: &str, id: &str, length: usize, expected: usize) -> Outcome {
    let outbound = fleet.machines[0].outbound;
    let stream = TcpStream::connect(outbound).map_err(|error| error.to_string())?;
    let limit = Some(Duration::from_secs(6));
    stream
        .set_read_timeout(limit)
        .map_err(|error| error.to_string())?;
    let mut reader = HttpReader::new(stream);
    let kind = if length > 0 { "upload" } else { "look" };
    let path = format!("/{kind}/{id}");
    let headers = [
        ("Host", "ficu95.example"),
        ("Request-Id", id),
        ("Timeout-Ms", "4000"),
    ];
    let bytes = request_bytes(method, &path, &headers, &vec![b'u'; length]);
    fleet
        .record
        .line(format!("client sends {id}, a body of {length} bytes"));
    reader
        .stream
        .write_all(&bytes)
        .map_err(|error| error.to_string())?;
    let Some(head) = reader.head() else {
        fleet
            .record
            .line(format!("client: {id} ends without an answer"));
        return Ok(true);
    };
    let body = reader.body(&head);
    let signature = head.header("upstream-signature");
    let got = body.as_ref().map(Vec::len);
    fleet.record.line(format!(
        "client: {id} is answered {} (signature '{signature}', content-length '{}', transfer-encoding '{}'), complete body: {got:?}",
        head.status(),
        head.header("content-length"),
        head.header("transfer-encoding")
    ));
    let is_success = (200..300).contains(&head.status());
    let is_broken = is_success && got.is_some_and(|got| got != expected);
    if is_broken {
        fleet.record.line(format!(
            "MIXED: {id} is a success that looks complete, but the endpoint's whole body has {expected} bytes"
        ));
    }
    Ok(!is_broken)
}
