//! Requests that a client sends before the earlier ones of its connection are answered.

mod common;
mod sidecar;

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;

use crate::common::PATIENCE;
use crate::common::wait_for;
use crate::sidecar::sidecar_fleet::STALLS;
use crate::sidecar::sidecar_fleet::SidecarFleet;

/// A connection on which requests are sent ahead.
struct AheadClient {
    stream: BufReader<TcpStream>,
}

/// An answer as it was read from the connection.
#[derive(Debug)]
struct ReadAnswer {
    status: u16,
    id: String,
    closes: bool,
    body: Vec<u8>,
}

impl AheadClient {
    fn connect(address: SocketAddr) -> AheadClient {
        let stream = TcpStream::connect(address).expect("a connection");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time");
        AheadClient {
            stream: BufReader::new(stream),
        }
    }

    fn send(&mut self, bytes: &str) {
        let stream = self.stream.get_mut();
        stream
            .write_all(bytes.as_bytes())
            .expect("an open connection");
    }

    /// Reads the next answer; `None` if the connection was closed.
    fn read(&mut self) -> Option<ReadAnswer> {
        let mut line = String::new();
        if self.stream.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let status = line.split_whitespace().nth(1)?.parse().ok()?;
        let mut answer = ReadAnswer {
            status,
            id: String::new(),
            closes: false,
            body: Vec::new(),
        };
        loop {
            let mut line = String::new();
            self.stream.read_line(&mut line).ok()?;
            let Some((name, value)) = line.trim_end().split_once(": ") else {
                break;
            };
            match name {
                "request-id" => answer.id = value.to_owned(),
                "connection" => answer.closes = value == "close",
                "content-length" => answer.body = vec![0; value.parse().ok()?],
                _ => {}
            }
        }
        self.stream.read_exact(&mut answer.body).ok()?;
        Some(answer)
    }
}

fn get(path: &str, id: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: test\r\nrequest-id: {id}\r\ntimeout-ms: 4000\r\n\r\n")
}

fn post(path: &str, id: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: test\r\nrequest-id: {id}\r\ntimeout-ms: 4000\r\ncontent-length: 4\r\n\r\nbody"
    )
}

fn fleet() -> SidecarFleet {
    SidecarFleet::start_ready(&[(STALLS, "v1")])
}

/// Guards against answers in another order than that of the requests, against a slow first request
/// that has the others wait until they are late, and a failed one that ends the others.
#[test]
fn answers_come_in_order_and_requests_run_beside_each_other() {
    let fleet = fleet();
    let mut client = AheadClient::connect(fleet.sidecars[0].requests);
    let mut text = get("/free/slow", "a-0");
    text += &get("/free/ok", "a-1");
    text += &get("/free/fail", "a-2");
    for number in 3..10 {
        text += &get("/free/ok", &format!("a-{number}"));
    }
    client.send(&text);
    for number in 0..10 {
        let answer = client.read().expect("an answer");
        assert_eq!(answer.id, format!("a-{number}"));
        let expected = if number == 2 { 500 } else { 200 };
        assert_eq!(answer.status, expected, "a-{number}");
    }
    let seen = fleet.endpoints[0].seen();
    let at = |id: &str| seen.iter().find(|seen| seen.id() == id).expect("a run").at;
    let first = at("a-0");
    let second = at("a-1");
    // The slow run takes 250 ms; the endpoint has two slots.
    assert!(second < first + std::time::Duration::from_millis(250));
}

/// Guards against a request that may run once and runs beside others, or twice.
#[test]
fn request_that_may_run_once_waits_until_it_is_alone() {
    let fleet = fleet();
    let mut client = AheadClient::connect(fleet.sidecars[0].requests);
    let text = [
        get("/free/slow", "b-0"),
        post("/book/slow", "b-1"),
        get("/free/ok", "b-2"),
    ];
    client.send(&text.concat());
    for number in 0..3 {
        let answer = client.read().expect("an answer");
        assert_eq!((answer.status, answer.id), (200, format!("b-{number}")));
    }
    let seen = fleet.endpoints[0].seen();
    let ids: Vec<&str> = seen.iter().map(|seen| seen.id()).collect();
    let own: Vec<&&str> = ids.iter().filter(|id| id.starts_with("b-")).collect();
    assert_eq!(own, [&"b-0", &"b-1", &"b-2"]);
}

/// Guards against a request behind one that closes the connection: it counts as not read, so it must
/// not run.
#[test]
fn requests_behind_one_that_closes_are_not_run() {
    let fleet = fleet();
    let mut client = AheadClient::connect(fleet.sidecars[0].requests);
    let last = get("/free/slow", "c-0").replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n");
    client.send(&(last + &get("/free/ok", "c-1")));
    let answer = client.read().expect("an answer");
    assert_eq!(
        (answer.status, &*answer.id, answer.closes),
        (200, "c-0", true)
    );
    assert!(client.read().is_none());
    assert_eq!(fleet.runs_of("c-1"), 0);
}

/// Guards against runs that go on for a client that has left.
#[test]
fn client_that_leaves_ends_all_its_requests() {
    let fleet = fleet();
    let mut client = AheadClient::connect(fleet.sidecars[0].requests);
    client.send(&(get("/free/slower", "d-0") + &get("/free/slower", "d-1")));
    wait_for("both run", PATIENCE, || {
        fleet.runs_of("d-0") + fleet.runs_of("d-1") == 2
    });
    client
        .stream
        .get_ref()
        .shutdown(Shutdown::Both)
        .expect("an open connection");
    drop(client);
    wait_for("both are cancelled", PATIENCE, || {
        fleet.endpoints[0].abandoned() == 2
    });
}

/// Guards against requests that were started before a planned stop and stay without an answer.
#[test]
fn planned_stop_answers_all_started_requests() {
    let mut fleet = fleet();
    let mut client = AheadClient::connect(fleet.sidecars[0].requests);
    client.send(&(get("/free/slow", "e-0") + &get("/free/slow", "e-1") + &get("/free/ok", "e-2")));
    wait_for("one runs", PATIENCE, || fleet.runs_of("e-0") == 1);
    fleet.sidecars[0].signal("TERM");
    let mut answered = Vec::new();
    let mut closes = false;
    while let Some(answer) = client.read() {
        assert!(!closes, "an answer behind one that closes");
        closes = answer.closes;
        assert!([200, 503].contains(&answer.status), "{}", answer.status);
        if answer.status == 503 {
            assert_eq!(fleet.runs_of(&answer.id), 0);
        }
        answered.push(answer.id);
    }
    for id in ["e-0", "e-1", "e-2"] {
        let is_answered = answered.iter().any(|other| other == id);
        assert!(is_answered || fleet.runs_of(id) == 0, "{id}: {answered:?}");
    }
    wait_for("the sidecar ends", PATIENCE, || {
        fleet.sidecars[0].has_ended()
    });
}

/// Guards against a refusal that a client does not read because it was still sending, and against the
/// rest of a body that is taken for the next request.
#[test]
fn connection_goes_on_behind_a_short_refused_body_and_closes_behind_a_long_one() {
    let fleet = fleet();
    let mut client = AheadClient::connect(fleet.sidecars[0].requests);
    client.send(&(post("/nowhere/", "f-0") + &get("/free/ok", "f-1")));
    for (status, id) in [(404, "f-0"), (200, "f-1")] {
        let answer = client.read().expect("an answer");
        assert_eq!((answer.status, &*answer.id), (status, id));
    }
    let body = "x".repeat(200_000);
    let head = post("/nowhere/", "f-2").replace("content-length: 4\r\n\r\nbody", "");
    client.send(&format!(
        "{head}content-length: {}\r\n\r\n{body}",
        body.len()
    ));
    let answer = client.read().expect("an answer");
    assert_eq!(
        (answer.status, &*answer.id, answer.closes),
        (404, "f-2", true)
    );
    assert!(client.read().is_none());
}
