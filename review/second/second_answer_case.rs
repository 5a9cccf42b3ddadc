//! After a complete answer, an endpoint sends the beginning of a second one, late: it arrives where the
//! next answer is expected. The endpoint fails the next request.

use std::cell::Cell;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
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

const REQUESTS: usize = 210;

/// The faulty endpoint sends a second answer after one in this many.
const EXTRA_EVERY: usize = 50;

/// The faulty endpoint fails one in this many of its requests.
const FAIL_EVERY: usize = 5;

/// The second answer, as far as it gets.
const SECOND_ANSWER: &[u8] = b"HTTP/1.1 200 O";

const BODY: &[u8] = b"a stall for one night";

const ZONES: [(&str, &str); 7] = [
    ("zaandam", "noord-holland"),
    ("purmerend", "noord-holland"),
    ("purmerend", "noord-holland"),
    ("gouda", "zuid-holland"),
    ("gouda", "zuid-holland"),
    ("delft", "zuid-holland"),
    ("delft", "zuid-holland"),
];

thread_local! {
    /// Whether the connection of this thread still has to send a second answer.
    static IS_DUE: Cell<bool> = const { Cell::new(false) };
}

pub fn run(record: &CaseRecord, has_trouble: bool) -> Outcome {
    let answered = AtomicUsize::new(0);
    let work: EndpointWork = Arc::new(move |state, head, reader| {
        if reader.body(head).is_none() {
            return false;
        }
        let count = match &*state.id {
            "i-0" => answered.fetch_add(1, Ordering::SeqCst) + 1,
            _ => 0,
        };
        answer(state, head, reader, count, has_trouble)
    });
    let config = config(7, &[("book", "non_idempotent", "stalboek")], 1024 * 1024);
    let places = ZONES.map(|(zone, region)| Place {
        zone,
        region,
        service: "stalboek",
    });
    let fleet = Fleet::start(record, &places, &config, 1000.0, &work)?;
    let outbound = fleet.machines[0].outbound;
    let stream = TcpStream::connect(outbound).map_err(|error| error.to_string())?;
    let limit = Some(Duration::from_secs(6));
    stream
        .set_read_timeout(limit)
        .map_err(|error| error.to_string())?;
    let mut reader = HttpReader::new(stream);
    let mut has_held = true;
    for number in 1..=REQUESTS {
        has_held &= book(&fleet, &mut reader, number)?;
    }
    Ok(has_held)
}

/// Answers a request; `count` is the number of the answer at the faulty endpoint, 0 at the others.
fn answer(
    state: &EndpointState,
    head: &HttpHead,
    reader: &mut HttpReader,
    count: usize,
    has_trouble: bool,
) -> bool {
    let id = head.header("request-id").to_owned();
    if IS_DUE.replace(false) {
        state.record.line(format!(
            "endpoint {} sends {:?}, the beginning of a second answer to the request before {id}",
            state.id,
            String::from_utf8_lossy(SECOND_ANSWER)
        ));
        if reader.stream.write_all(SECOND_ANSWER).is_err() {
            return false;
        }
    }
    IS_DUE.set(has_trouble && count > 0 && count.is_multiple_of(EXTRA_EVERY));
    let fails = count % FAIL_EVERY == 1;
    if !fails {
        return state.answer(&id, BODY, reader);
    }
    state
        .record
        .line(format!("endpoint {} answers {id} with 500", state.id));
    let text = format!(
        "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: {id}\r\nUpstream-Signature: {}\r\nKeep-Alive: timeout=10\r\nContent-Length: 13\r\n\r\nnot recorded.",
        state.signature()
    );
    reader.stream.write_all(text.as_bytes()).is_ok()
}

/// Sends a booking and returns whether its answer was the endpoint's own.
fn book(fleet: &Fleet, reader: &mut HttpReader, number: usize) -> Outcome {
    let id = format!("book-{number}");
    let path = format!("/book/{number}");
    let headers = [
        ("Host", "ficu95.example"),
        ("Request-Id", &*id),
        ("Timeout-Ms", "1000"),
    ];
    let bytes = request_bytes("POST", &path, &headers, BODY);
    reader
        .stream
        .write_all(&bytes)
        .map_err(|error| error.to_string())?;
    let head = reader.head().ok_or("the connection ended")?;
    let body = reader.body(&head).ok_or("an answer broke off")?;
    let text = String::from_utf8_lossy(&body);
    let signature = head.header("upstream-signature");
    fleet.record.line(format!(
        "client: {id} is answered {} (signature '{signature}'): {text}",
        head.status()
    ));
    let is_mixed = (200..300).contains(&head.status()) && body != BODY;
    if is_mixed {
        fleet.record.line(format!(
            "MIXED: {id} is a success, but the endpoint failed it"
        ));
    }
    Ok(!is_mixed)
}
