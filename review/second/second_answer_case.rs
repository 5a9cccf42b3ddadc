//! After a complete answer, an endpoint sends the beginning of a copy of it, late: it arrives where the
//! next answer is expected.

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

const REQUESTS: usize = 320;

/// The faulty endpoint sends a second answer after one in this many.
const EXTRA_EVERY: usize = 50;

/// The faulty endpoint fails one in this many of its requests.
const FAIL_EVERY: usize = 20;

/// The copy of a good answer, as far as it gets.
const GOOD_COPY: &str = "HTTP/1.1 200 O";

/// The copy of a refusal, as far as it gets.
const REFUSAL_COPY: &str = "HTTP/1.1 503 Service Unavailable\r\nNot-Processed: 1";

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
    /// What the connection of this thread still has to send of a second answer.
    static DUE: Cell<&'static str> = const { Cell::new("") };
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
        has_held &= has_run_once(&fleet, number);
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
    let due = DUE.replace("");
    if !due.is_empty() {
        state.record.line(format!(
            "endpoint {} sends {due:?}, the beginning of a second answer to the request before {id}",
            state.id
        ));
        if reader.stream.write_all(due.as_bytes()).is_err() {
            return false;
        }
    }
    let is_extra = count > 0 && count.is_multiple_of(EXTRA_EVERY);
    let is_refused = is_extra && !count.is_multiple_of(EXTRA_EVERY * 2);
    if is_extra && has_trouble {
        DUE.set(if is_refused { REFUSAL_COPY } else { GOOD_COPY });
    }
    if is_refused {
        return state.refuse(&id, reader);
    }
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

/// Returns whether a booking ran at most once.
fn has_run_once(fleet: &Fleet, number: usize) -> bool {
    let id = format!("book-{number}");
    let mut places = Vec::new();
    for machine in &fleet.machines {
        let runs = machine.endpoint.runs.lock().expect("no holder panicked");
        for _ in runs.iter().filter(|run| **run == id) {
            places.push(machine.endpoint.id.clone());
        }
    }
    if places.len() > 1 {
        let places = places.join(" and ");
        fleet.record.line(format!("TWICE: {id} ran at {places}"));
        return false;
    }
    true
}
