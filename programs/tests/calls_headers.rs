//! What only daemons may say in an answer: upstreams cannot, and callers don't see what is between
//! daemons.

mod common;

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;

use common::PATIENCE;
use common::apply;
use common::call_fleet::RECORDS;
use common::caller::CallSpec;
use common::caller::call_once;
use common::json_http::post_json;
use common::process_fleet::ProcessFleet;
use common::wait_for;

/// An answer whose head passes on what another daemon said to the upstream.
const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\nx-coltsfootweir-outcome: not-run\r\n\
                      x-coltsfootweir-reason: overloaded\r\nx-coltsfootweir-load: 9/9\r\n\
                      x-coltsfootweir-owner: 127.0.0.1:1\r\n\r\ndone";

/// Starts an upstream that gives this answer to every request; it ends with the test's process.
fn start_careless_upstream() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || answer_all(stream));
        }
    });
    address
}

fn answer_all(mut stream: TcpStream) {
    let reader = BufReader::new(stream.try_clone().expect("a stream"));
    for line in reader.lines().map_while(Result::ok) {
        if line.is_empty() && stream.write_all(ANSWER.as_bytes()).is_err() {
            return;
        }
    }
}

#[test]
fn answers_of_upstreams_carry_no_word_of_daemons() {
    let fleet = ProcessFleet::start(2);
    let upstream = start_careless_upstream();
    apply(fleet.platform.address, RECORDS);
    let announcement = serde_json::json!({
        "service": "stalls", "version": "v1", "slots": 9, "leaving": false, "address": upstream,
    });
    let announce = || {
        post_json(
            fleet.daemons[0].control,
            "/announce",
            &announcement.to_string(),
        )
    };
    for daemon in &fleet.daemons {
        let free = || call_once(daemon.calls, &CallSpec::get("/stalls/free")).whole();
        wait_for("calls run", PATIENCE, || {
            announce();
            free().is_some_and(|answer| answer.is_good())
        });
        announce();
        let key = format!("own-{}", daemon.calls);
        let booking = CallSpec::post("/bookings/one", "one").with("idempotency-key", key);
        let booked = call_once(daemon.calls, &booking).whole();
        for answer in [free(), booked].map(|answer| answer.expect("an answer")) {
            assert!(answer.is_good(), "{answer:?}");
            assert_eq!(answer.text(), "done");
            for name in ["reason", "load", "owner"] {
                let name = format!("x-coltsfootweir-{name}");
                assert_eq!(answer.header(&name), "", "{name}");
            }
        }
    }
}
