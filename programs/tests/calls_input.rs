//! What callers do at the edge: hang up, send slowly, too much, too little or nonsense. Each gets a
//! clear error, work that nobody waits for is cancelled, and other callers are not harmed.

mod common;

use std::io::Write;
use std::net::Shutdown;
use std::time::Duration;
use std::time::Instant;

use standins::run_log::RunEntry;
use standins::run_log::RunOutcome;
use standins::upstream_faults::UpstreamFaults;
use standins::upstream_settings::UpstreamSettings;

use common::PATIENCE;
use common::caller::CallEnd;
use common::caller::CallSpec;
use common::caller::KeptCaller;
use common::caller::WholeAnswer;
use common::caller::call_once;
use common::caller::read_answer;
use common::caller::send_raw;
use common::process_fleet::ProcessFleet;
use common::wait_for;

/// Longest time a quick check may take on a busy machine while others misbehave.
const QUICK: Duration = Duration::from_secs(1);

fn start_fleet(count: usize) -> ProcessFleet {
    ProcessFleet::start_logged(count, &UpstreamSettings::new("stalls", "v1"))
}

fn slow_work(fleet: &ProcessFleet, delay: Duration) {
    for server in &fleet.servers {
        server.set_faults(UpstreamFaults {
            delay,
            ..UpstreamFaults::default()
        });
    }
}

fn find_run(fleet: &ProcessFleet, id: &str) -> Option<RunEntry> {
    let mut runs = fleet.runs().into_iter();
    runs.find(|run| run.request.request_id.as_deref() == Some(id))
}

fn expect_whole(end: CallEnd) -> WholeAnswer {
    match end {
        CallEnd::Whole(answer) => answer,
        end => panic!("no whole answer: {end:?}"),
    }
}

/// Sends a request, waits until it runs and hangs up.
fn hang_up(fleet: &ProcessFleet, daemon: usize, head: &str, id: &str) {
    let bytes = format!(
        "{head} HTTP/1.1\r\nhost: test\r\nx-request-id: {id}\r\nidempotency-key: key-{id}\r\n\
         x-coltsfootweir-deadline-ms: 30000\r\ncontent-length: 0\r\n\r\n"
    );
    let stream = send_raw(fleet.daemons[daemon].calls, bytes.as_bytes());
    wait_for("request runs", PATIENCE, || find_run(fleet, id).is_some());
    drop(stream);
}

#[test]
fn check_is_cancelled_at_the_upstream_when_its_caller_hangs_up() {
    let fleet = start_fleet(3);
    slow_work(&fleet, Duration::from_secs(20));
    for number in 0..9 {
        // Some of these run beside the daemon asked, the others go through two daemons.
        let id = format!("gone-{number}");
        hang_up(&fleet, number % 3, "GET /stalls/free", &id);
        wait_for("run is cancelled", Duration::from_secs(5), || {
            find_run(&fleet, &id).is_some_and(|run| run.outcome == RunOutcome::Cancelled)
        });
    }
}

#[test]
fn booking_goes_on_when_its_caller_hangs_up_and_its_answer_is_kept() {
    let fleet = start_fleet(3);
    slow_work(&fleet, Duration::from_secs(2));
    for number in 0..6_usize {
        let id = format!("left-{number}");
        hang_up(&fleet, number % 3, "POST /bookings/stall", &id);
    }
    wait_for("bookings end", PATIENCE, || {
        fleet
            .runs()
            .iter()
            .all(|run| run.outcome == RunOutcome::Finished)
    });
    let runs = fleet.runs();
    assert_eq!(runs.len(), 6);
    for number in 0..6 {
        let id = format!("left-{number}");
        let again = CallSpec::post("/bookings/stall", "")
            .with("x-request-id", format!("again-{number}"))
            .with("idempotency-key", format!("key-{id}"));
        // Through a different daemon than the first time.
        let answer = call_once(fleet.daemons[(number + 1) % 3].calls, &again);
        let answer = expect_whole(answer);
        assert!(answer.is_good(), "{number}: {}", answer.text());
        let body: serde_json::Value = serde_json::from_slice(&answer.body).expect("JSON");
        assert_eq!(body["request_id"], id.as_str(), "not the first answer");
    }
    assert_eq!(fleet.runs().len(), 6, "a repeat ran");
}

#[test]
fn booking_that_waits_for_a_slot_runs_once_when_its_caller_hangs_up() {
    let mut settings = UpstreamSettings::new("stalls", "v1");
    settings.slots = 1;
    settings.work = Duration::from_millis(700);
    let fleet = ProcessFleet::start_logged(1, &settings);
    let calls = fleet.daemons[0].calls;
    let send = |id: &str| {
        let bytes = format!(
            "POST /bookings/stall HTTP/1.1\r\nhost: test\r\nx-request-id: {id}\r\n\
             idempotency-key: key-{id}\r\nx-coltsfootweir-deadline-ms: 30000\r\n\
             content-length: 0\r\n\r\n"
        );
        send_raw(calls, bytes.as_bytes())
    };
    let first = send("first");
    wait_for("first runs", PATIENCE, || {
        find_run(&fleet, "first").is_some()
    });
    let second = send("second");
    let third = send("third");
    common::caller_threads::pause(Duration::from_millis(200));
    drop(second);
    drop(third);
    drop(first);
    wait_for("all end", PATIENCE, || {
        let runs = fleet.runs();
        runs.len() == 3 && runs.iter().all(|run| run.outcome == RunOutcome::Finished)
    });
    let again = CallSpec::post("/bookings/stall", "").with("idempotency-key", "key-second");
    let answer = expect_whole(call_once(calls, &again));
    assert!(answer.is_good(), "{}", answer.text());
    assert_eq!(fleet.runs().len(), 3, "a repeat ran");
}

#[test]
fn oversized_truncated_and_malformed_requests_get_clear_errors() {
    let fleet = start_fleet(1);
    let calls = fleet.daemons[0].calls;
    for size in [1024 * 1024 + 1, 3 * 1024 * 1024, 8 * 1024 * 1024] {
        let spec = CallSpec::post("/bookings/stall", vec![b'x'; size]).with("idempotency-key", "k");
        let answer = expect_whole(call_once(calls, &spec));
        assert_eq!(
            (answer.status, answer.outcome()),
            (413, "not-run"),
            "{size}"
        );
    }
    let cut = b"POST /bookings/stall HTTP/1.1\r\nhost: test\r\ncontent-length: 90\r\n\r\nhalf";
    let mut stream = send_raw(calls, cut);
    stream.shutdown(Shutdown::Write).expect("half-closed");
    let end = read_answer(&mut stream);
    let is_clear = match &end {
        CallEnd::Whole(answer) => answer.status == 400,
        // A caller that closed its side is gone as far as HTTP/1.1 tells.
        end => matches!(end, CallEnd::Closed),
    };
    assert!(is_clear, "{end:?}");
    let heads: [&[u8]; 4] = [
        b"nonsense\r\n\r\n",
        b"GET /stalls HTTP/9.9\r\n\r\n",
        b"GET /stalls HTTP/1.1\r\nno colon\r\n\r\n",
        b"POST /stalls HTTP/1.1\r\nhost: t\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\n",
    ];
    for head in heads {
        let end = read_answer(&mut send_raw(calls, head));
        assert_eq!(
            expect_whole(end).status,
            400,
            "{}",
            String::from_utf8_lossy(head)
        );
    }
    let bad_key = CallSpec::post("/bookings/stall", "").with("idempotency-key", "cw1~forged~1");
    let answer = expect_whole(call_once(calls, &bad_key));
    assert_eq!((answer.status, answer.reason()), (400, "bad-key"));
    assert!(fleet.runs().is_empty(), "a bad request ran");
}

#[test]
fn slow_senders_get_an_error_and_harm_nobody() {
    let fleet = start_fleet(1);
    let calls = fleet.daemons[0].calls;
    let start = Instant::now();
    let head = b"POST /bookings/stall HTTP/1.1\r\nhost: test\r\ncontent-length: 50\r\n\r\n";
    let mut slow: Vec<_> = (0..50).map(|_| send_raw(calls, head)).collect();
    let _heads: Vec<_> = (0..50)
        .map(|_| send_raw(calls, b"GET /stalls/fr"))
        .collect();
    let mut other = KeptCaller::new(calls);
    while start.elapsed() < Duration::from_secs(4) {
        for stream in &mut slow {
            let _ = stream.write_all(b"x");
        }
        let asked = Instant::now();
        let answer = expect_whole(other.call(&CallSpec::get("/stalls/free")));
        assert!(answer.is_good(), "{}", answer.text());
        assert!(asked.elapsed() < QUICK, "{:?}", asked.elapsed());
        common::caller_threads::pause(Duration::from_millis(500));
    }
    for stream in &mut slow {
        let answer = expect_whole(read_answer(stream));
        assert_eq!((answer.status, answer.outcome()), (408, "not-run"));
    }
}
