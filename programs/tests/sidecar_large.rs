//! Large answers through sidecars as processes: whole or not at all, in bounded memory, beside other
//! calls, over a thin link, and answers without end.

mod common;
mod sidecar;

use std::io::Read;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use common::PATIENCE;
use common::caller::CallEnd;
use common::caller::call_once;
use common::caller::send_raw;
use common::caller_threads::run_callers;
use common::caller_threads::run_while;
use common::caller_threads::wait_count;
use common::wait_for;
use sidecar::large_answer::LargeAnswer;
use sidecar::sidecar_fleet::HORSES;
use sidecar::sidecar_fleet::STALLS;
use sidecar::sidecar_fleet::SidecarFleet;
use sidecar::sidecar_fleet::request;
use standins::relay::RelayMode;

/// An answer that is held back as a whole.
const MIDDLE: usize = 300_000;

/// An answer that is passed on before it is complete.
const LONG: usize = 3_000_000;

/// One of thirty answers that are asked for at once, 30 MB together. A busy machine passes some of them
/// on in time.
const MANY: usize = 1_000_000;

/// Memory that large answers may take in a daemon: the design allows 2 MB held back, 3 MB that
/// wait for the network, and what is on the way.
const MEMORY_GROWTH: u64 = 8 * 1024 * 1024;

/// Time in which a small call is answered beside large ones: the users' targets start at 100 ms for
/// runs of 22 ms.
const SMALL_CALL_TIME: Duration = Duration::from_millis(250);

#[test]
fn large_answers_of_every_framing_come_whole() {
    let fleet = SidecarFleet::start_ready(&[(HORSES, "v1"), (STALLS, "v1")]);
    for ingress in &fleet.sidecars {
        for length in [16_384, 16_385, MIDDLE, LONG] {
            for shape in ["sized", "chunked", "unframed"] {
                let id = format!("{shape}-{length}-{}", ingress.name);
                let answer = ingress.get(&format!("/free/{shape}-{length}"), &id);
                assert_eq!(answer.status, 200, "{id}");
                assert!(answer.body == LargeAnswer::body(length), "{id}");
                assert_eq!(answer.header("request-id"), id);
                assert_eq!(fleet.runs_of(&id), 1);
            }
        }
    }
    // The connections to the endpoint are used again.
    let opened = fleet.sidecars[1].gauge("endpoint_connections");
    assert!(opened < 20, "{opened}");
}

#[test]
fn answer_that_breaks_off_is_replaced_while_it_is_held_back() {
    let fleet = SidecarFleet::start_ready(&[(HORSES, "v1"), (STALLS, "v1"), (STALLS, "v1")]);
    let path = format!("/free/cut-once-{MIDDLE}");
    let answer = fleet.sidecars[0].get(&path, "replaced");
    assert_eq!(answer.status, 200);
    assert!(answer.body == LargeAnswer::body(MIDDLE));
    assert_eq!(fleet.runs_of("replaced"), 2);
    // What must not run twice fails openly.
    for shape in ["cut", "chunk-cut"] {
        let path = format!("/book/{shape}-{MIDDLE}");
        let answer = fleet.sidecars[0].call(&request("POST", &path, shape, 1_500));
        assert_eq!(answer.expect("a whole answer").status, 502, "{shape}");
        assert_eq!(fleet.runs_of(shape), 1);
    }
}

/// The half that comes is longer than what both daemons together hold back and let wait.
#[test]
fn answer_that_breaks_off_after_its_beginning_was_passed_on_is_no_success() {
    let fleet = SidecarFleet::start_ready(&[(HORSES, "v1"), (STALLS, "v1")]);
    for ingress in &fleet.sidecars {
        for shape in ["cut", "chunk-cut"] {
            let id = format!("{shape}-{}", ingress.name);
            let path = format!("/free/{shape}-{}", LONG * 8);
            let spec = request("GET", &path, &id, 2_000);
            let end = call_once(ingress.requests, &spec);
            assert!(matches!(end, CallEnd::Cut), "{id}: {end:?}");
            assert_eq!(fleet.runs_of(&id), 1, "{id}");
        }
        let passed = || ingress.events("answer_passed");
        wait_for("the log lines", PATIENCE, || passed().len() == 2);
        assert!(passed().iter().all(|event| event["outcome"] == "broke_off"));
    }
}

/// A client of HTTP/1.0 knows no chunks, so the end of the connection would be the end of the answer.
#[test]
fn answer_of_unknown_length_that_breaks_off_is_no_success_without_chunks() {
    let fleet = SidecarFleet::start_ready(&[(STALLS, "v1")]);
    for (shape, length, status) in [
        ("chunk-cut", LONG * 8, "502"),
        ("chunked", LONG * 8, "502"),
        ("chunked", MIDDLE, "200"),
        ("sized", LONG, "200"),
    ] {
        let text = format!(
            "GET /free/{shape}-{length} HTTP/1.0\r\nhost: test\r\nrequest-id: {shape}-{length}\r\n\r\n"
        );
        let mut stream = send_raw(fleet.sidecars[0].requests, text.as_bytes());
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).expect("an orderly end");
        let head = String::from_utf8_lossy(&bytes[..20]).to_string();
        assert!(head.contains(status), "{shape}-{length}: {head}");
        assert_eq!(bytes.len() > length, status == "200", "{shape}-{length}");
    }
}

/// Bytes that are no answer come without end, in each place of a head and a body. The connection is
/// closed, the caller gets no success, memory is bounded and other calls go on.
#[test]
fn answers_without_end_harm_nobody() {
    let fleet = SidecarFleet::start_ready(&[(HORSES, "v1"), (STALLS, "v1")]);
    let ingress = &fleet.sidecars[0];
    let before: Vec<u64> = fleet.sidecars.iter().map(|one| one.peak_memory()).collect();
    let shapes = [
        "head",
        "header",
        "status",
        "interim",
        "others",
        "chunks",
        "chunk-size",
        "trailer",
        "body",
        "sized",
    ];
    let mut slowest = Duration::ZERO;
    for shape in shapes {
        let spec = request("GET", &format!("/free/endless-{shape}-0"), shape, 700);
        run_while(
            1,
            |_, _| {
                let start = Instant::now();
                let end = call_once(ingress.requests, &spec);
                let is_success = matches!(&end, CallEnd::Whole(answer) if answer.status < 500);
                assert!(!is_success, "{shape}: {end:?}");
                let time = start.elapsed();
                assert!(time < Duration::from_millis(1_700), "{shape}: {time:?}");
            },
            || {
                for number in 0..10 {
                    let start = Instant::now();
                    let answer = ingress.get("/free/ok", &format!("{shape}-{number}"));
                    assert_eq!(answer.status, 200, "beside {shape}");
                    slowest = slowest.max(start.elapsed());
                }
            },
        );
    }
    assert!(slowest < SMALL_CALL_TIME, "{slowest:?}");
    let runs: usize = shapes.iter().map(|shape| fleet.runs_of(shape)).sum();
    wait_for("the end of the connections", PATIENCE, || {
        fleet.endpoints[1].abandoned() as usize == runs
    });
    for (sidecar, before) in fleet.sidecars.iter().zip(before) {
        let growth = sidecar.peak_memory() - before;
        assert!(growth < MEMORY_GROWTH, "{}: {growth} bytes", sidecar.name);
    }
}

/// Many large answers at once, to callers that read and to some that do not.
#[test]
fn memory_does_not_grow_with_large_answers() {
    let fleet = SidecarFleet::start_ready(&[(HORSES, "v1"), (STALLS, "v1"), (STALLS, "v1")]);
    let ingress = &fleet.sidecars[0];
    let before: Vec<u64> = fleet.sidecars.iter().map(|one| one.peak_memory()).collect();
    let text = "GET /free/sized-30000000 HTTP/1.1\r\nhost: test\r\nrequest-id: unread";
    let mut unread = Vec::new();
    for number in 0..3 {
        let text = format!("{text}-{number}\r\ntimeout-ms: 2500\r\n\r\n");
        unread.push(send_raw(ingress.requests, text.as_bytes()));
    }
    let ends = run_callers(30, |number| {
        let path = format!("/free/sized-{MANY}");
        let spec = request("GET", &path, &format!("many-{number}"), 2_500);
        call_once(ingress.requests, &spec)
    });
    let mut whole = 0;
    for end in ends {
        if let CallEnd::Whole(answer) = end
            && answer.status == 200
        {
            assert!(answer.body == LargeAnswer::body(MANY));
            whole += 1;
        }
    }
    assert!(whole > 0, "none of 30 came whole");
    for (sidecar, before) in fleet.sidecars.iter().zip(before) {
        let growth = sidecar.peak_memory() - before;
        assert!(growth < MEMORY_GROWTH, "{}: {growth} bytes", sidecar.name);
    }
    // Those that were not read until their deadline are broken off and not completed.
    common::caller_threads::pause(Duration::from_millis(3_000));
    for mut stream in unread {
        let mut bytes = Vec::new();
        // A reset is an end too.
        let _ = stream.read_to_end(&mut bytes);
        assert!(bytes.len() < 30_000_000, "{}", bytes.len());
    }
}

/// A link of 16 Mbit/s with more large answers than fit: small calls pass soon, no daemon takes the
/// link for silent, and what does not fit is refused at once.
#[test]
fn thin_link_carries_small_calls_beside_large_answers() {
    let fleet = SidecarFleet::start_ready(&[(HORSES, "v1"), (STALLS, "v1")]);
    let ingress = &fleet.sidecars[0];
    fleet.sidecars[1].relay.set_mode(RelayMode::Pace(2_000));
    let served = AtomicUsize::new(0);
    let refused = AtomicUsize::new(0);
    let mut times = Vec::new();
    run_while(
        16,
        |caller, stop| {
            let mut number = 0;
            while !stop.load(Ordering::Relaxed) {
                number += 1;
                let id = format!("large-{caller}-{number}");
                let start = Instant::now();
                let answer = ingress.get("/free/sized-90000", &id);
                match answer.status {
                    200 => served.fetch_add(1, Ordering::Relaxed),
                    503 => {
                        assert_eq!(fleet.runs_of(&id), 0, "refused and run");
                        let pause: f64 = answer.header("retry-after").parse().expect("seconds");
                        common::caller_threads::pause(Duration::from_secs_f64(pause));
                        assert!(start.elapsed() < Duration::from_millis(2_000));
                        refused.fetch_add(1, Ordering::Relaxed)
                    }
                    other => panic!("{id}: status {other}"),
                };
            }
        },
        || {
            wait_count("large answers", &served, 30);
            for number in 0..40 {
                let start = Instant::now();
                let spec = request("POST", "/book/ok", &format!("small-{number}"), 1_000);
                let answer = ingress.call(&spec).expect("a whole answer");
                assert_eq!(answer.status, 200);
                times.push(start.elapsed());
            }
            wait_count("large answers", &served, 60);
        },
    );
    times.sort_unstable();
    let most = times[times.len() * 9 / 10];
    assert!(most < SMALL_CALL_TIME, "{most:?} of {times:?}");
    let silent = ingress.events("peer_silent");
    assert!(silent.is_empty(), "{silent:?}");
    assert!(refused.load(Ordering::Relaxed) > 0, "nothing was refused");
}

/// Links of 4 Mbit/s with more large answers than fit: a refusal waits behind the answers on a link, so
/// asking four VMs one after the other would keep a client waiting for nothing.
#[test]
fn request_is_refused_after_two_full_links() {
    let members = [HORSES, STALLS, STALLS, STALLS, STALLS].map(|service| (service, "v1"));
    let fleet = SidecarFleet::start_ready(&members);
    let ingress = &fleet.sidecars[0];
    for sidecar in &fleet.sidecars[1..] {
        sidecar.relay.set_mode(RelayMode::Pace(500));
    }
    run_while(
        24,
        |caller, stop| {
            let mut number = 0;
            while !stop.load(Ordering::Relaxed) {
                number += 1;
                let answer = ingress.get("/free/sized-90000", &format!("{caller}-{number}"));
                if answer.status == 503 {
                    let pause: f64 = answer.header("retry-after").parse().expect("seconds");
                    common::caller_threads::pause(Duration::from_secs_f64(pause));
                }
            }
        },
        || {
            wait_for("requests refused by two VMs", PATIENCE, || {
                let mut by_two = 0;
                for end in ingress.events("request_ended") {
                    if end["cause"] != "link_full" {
                        continue;
                    }
                    let asked = end["asked"].as_array().map_or(0, Vec::len);
                    assert!(asked <= 2, "{end}");
                    by_two += usize::from(asked == 2);
                }
                by_two >= 3
            });
        },
    );
}

/// A client that leaves in the middle of an answer ends it at the endpoint too.
#[test]
fn answer_that_its_client_left_is_given_up() {
    let fleet = SidecarFleet::start_ready(&[(HORSES, "v1"), (STALLS, "v1")]);
    let text = "GET /free/endless-body-0 HTTP/1.1\r\nhost: test\r\nrequest-id: gone\r\n\r\n";
    let mut stream = send_raw(fleet.sidecars[0].requests, text.as_bytes());
    let mut first = [0; 4096];
    stream.read_exact(&mut first).expect("the beginning");
    assert!(first.starts_with(b"HTTP/1.1 200"));
    let start = Instant::now();
    drop(stream);
    wait_for("the end of the answer", PATIENCE, || {
        fleet.endpoints[1].abandoned() == 1
    });
    let time = start.elapsed();
    assert!(time < Duration::from_millis(500), "{time:?}");
}

/// The daemon beside the endpoint has read the whole answer and is stopped; the link needs longer than
/// the time for which it goes on accepting connections.
#[test]
fn answer_that_waits_for_the_link_is_completed_at_a_planned_stop() {
    let fleet = SidecarFleet::start_ready(&[(HORSES, "v1"), (STALLS, "v1")]);
    let route = r#",{"name":"slow","authority":"test","prefix":"/slow/","kind":"non_idempotent",
        "timeout_ms":8000,"target_latency_ms":6000,"priority":2,"service":"stalls","attempts":1}"#;
    fleet.put_config(2, route);
    fleet.wait_config(2);
    let length = 2_500_000;
    // 3.6 s; the grace is 5 s.
    fleet.sidecars[1].relay.set_mode(RelayMode::Pace(700));
    let ends = run_while(
        1,
        |_, _| {
            let path = format!("/slow/sized-{length}");
            let spec = request("GET", &path, "waiting", 8_000);
            fleet.sidecars[0].call(&spec)
        },
        || {
            wait_for("the run", PATIENCE, || fleet.runs_of("waiting") == 1);
            fleet.sidecars[1].signal("TERM");
        },
    );
    let answer = ends[0].as_ref().expect("a whole answer");
    assert_eq!(answer.status, 200);
    assert!(answer.body == LargeAnswer::body(length));
}

/// A planned stop of the daemon that passes an answer on, and of the one beside the endpoint.
#[test]
fn answers_on_their_way_are_completed_at_a_planned_stop() {
    for stopped in [0, 1] {
        let fleet = SidecarFleet::start_ready(&[(HORSES, "v1"), (STALLS, "v1")]);
        fleet.sidecars[1].relay.set_mode(RelayMode::Pace(3_000));
        let ends = run_while(
            1,
            |_, _| fleet.sidecars[0].get(&format!("/free/sized-{LONG}"), "on-its-way"),
            || {
                wait_for("the run", PATIENCE, || fleet.runs_of("on-its-way") == 1);
                fleet.sidecars[stopped].signal("TERM");
            },
        );
        assert_eq!(ends[0].status, 200, "stop of {stopped}");
        assert!(ends[0].body == LargeAnswer::body(LONG), "stop of {stopped}");
    }
}
