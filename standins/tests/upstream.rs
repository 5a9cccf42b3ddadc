//! The upstream stand-in: slots, faults, crash, and its log of runs.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use standins::run_log::RunEntry;
use standins::run_log::RunOutcome;
use standins::upstream::UpstreamServer;
use standins::upstream_faults::UpstreamFaults;
use standins::upstream_settings::UpstreamSettings;
use standins::upstream_stats::HealthAnswer;
use standins::upstream_stats::LoadAnswer;
use standins::upstream_stats::UpstreamAnswer;
use standins::upstream_stats::UpstreamStats;
use standins::wait::wait_until;

/// Bound on anything that is to happen soon.
const SOON: Duration = Duration::from_secs(3);

fn start(set: impl FnOnce(&mut UpstreamSettings)) -> UpstreamServer {
    let mut settings = UpstreamSettings::new("stalls", "v1");
    set(&mut settings);
    UpstreamServer::start(settings).unwrap()
}

fn url(server: &UpstreamServer, path: &str) -> String {
    format!("http://{}{path}", server.address())
}

fn get(server: &UpstreamServer, path: &str) -> minreq::Response {
    let request = minreq::get(url(server, path)).with_timeout(5);
    request.send().unwrap()
}

fn get_status(server: &UpstreamServer, path: &str) -> u16 {
    get(server, path).status_code
}

fn post_faults(server: &UpstreamServer, faults: &str) -> u16 {
    let request = minreq::post(url(server, "/standin/faults")).with_body(faults);
    request.with_timeout(5).send().unwrap().status_code
}

fn get_json<T: serde::de::DeserializeOwned>(server: &UpstreamServer, path: &str) -> T {
    serde_json::from_slice(get(server, path).as_bytes()).unwrap()
}

fn outcomes(server: &UpstreamServer) -> Vec<RunOutcome> {
    server.runs().iter().map(|entry| entry.outcome).collect()
}

/// Connects, sends these bytes and keeps the connection.
fn send(server: &UpstreamServer, bytes: &str) -> TcpStream {
    let mut stream = TcpStream::connect(server.address()).unwrap();
    stream.set_read_timeout(Some(SOON)).unwrap();
    stream.write_all(bytes.as_bytes()).unwrap();
    stream
}

/// Connects, sends one GET and keeps the connection.
fn send_get(server: &UpstreamServer, path: &str) -> TcpStream {
    send(server, &format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n"))
}

/// Waits until this many requests run.
fn wait_running(server: &UpstreamServer, count: u32) {
    assert!(wait_until(SOON, || server.stats().running == count));
}

fn spawn_get(server: &UpstreamServer, path: &'static str) -> JoinHandle<u16> {
    let url = url(server, path);
    thread::spawn(move || minreq::get(url).with_timeout(5).send().unwrap().status_code)
}

#[test]
fn answer_names_request_version_and_run_at_the_size_asked() {
    let server = start(|_| {});
    let response = minreq::get(url(&server, "/stalls/free?day=3"))
        .with_header("x-request-id", "r-17")
        .with_header("idempotency-key", "k-4")
        .with_header("x-standin-size", "5000")
        .send()
        .unwrap();
    assert_eq!(response.status_code, 200);
    assert_eq!(response.as_bytes().len(), 5000);
    let answer: UpstreamAnswer = serde_json::from_slice(response.as_bytes()).unwrap();
    assert_eq!(answer.request_id.as_deref(), Some("r-17"));
    assert_eq!((&*answer.service, &*answer.version), ("stalls", "v1"));
    assert_eq!((answer.run, &*answer.path), (1, "/stalls/free?day=3"));

    let runs: Vec<RunEntry> = get_json(&server, "/standin/runs");
    assert_eq!(runs, server.runs());
    assert_eq!(runs[0].request.idempotency_key.as_deref(), Some("k-4"));
    assert_eq!(runs[0].outcome, RunOutcome::Finished);
    let later: Vec<RunEntry> = get_json(&server, "/standin/runs?after=1");
    assert_eq!(later, Vec::new());
}

#[test]
fn requests_over_the_slots_are_shed_and_not_logged() {
    let server = start(|settings| {
        settings.slots = 2;
        // Long enough for six callers on a busy machine to arrive meanwhile.
        settings.work = Duration::from_secs(2);
    });
    let calls: Vec<_> = (0..6).map(|_| spawn_get(&server, "/x")).collect();
    let mut statuses: Vec<u16> = calls.into_iter().map(|call| call.join().unwrap()).collect();
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 200, 503, 503, 503, 503]);
    assert_eq!(server.runs().len(), 2);
    let stats: UpstreamStats = get_json(&server, "/standin/stats");
    assert_eq!((stats.shed, stats.running_peak, stats.running), (4, 2, 0));
}

#[test]
fn hang_up_cancels_the_work() {
    let server = start(|settings| settings.work = Duration::from_secs(60));
    let stream = send_get(&server, "/long");
    wait_running(&server, 1);
    drop(stream);
    assert!(wait_until(SOON, || outcomes(&server) == [RunOutcome::Cancelled]));
    assert_eq!(server.stats().cancelled, 1);
}

#[test]
fn work_ends_at_the_deadline() {
    let server = start(|settings| settings.work = Duration::from_secs(60));
    let start = Instant::now();
    let response = minreq::get(url(&server, "/long"))
        .with_header("x-coltsfootweir-deadline-ms", "50")
        .with_timeout(5)
        .send()
        .unwrap();
    assert_eq!(response.status_code, 504);
    assert!(start.elapsed() < SOON);
    assert_eq!(outcomes(&server), [RunOutcome::Expired]);
}

#[test]
fn poison_crashes_the_upstream_and_resets_every_connection() {
    let server = start(|settings| {
        settings.faults.crash_on_body = Some("poison".into());
        settings.work = Duration::from_secs(60);
    });
    let mut bystander = send_get(&server, "/bystander");
    wait_running(&server, 1);

    let request = "POST /book HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nthe poison";
    let mut stream = send(&server, request);
    for stream in [&mut stream, &mut bystander] {
        let error = stream.read(&mut [0; 16]).unwrap_err();
        assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    }
    server.wait_end();
    let refusal = TcpStream::connect(server.address()).unwrap_err();
    assert_eq!(refusal.kind(), ErrorKind::ConnectionRefused);
    assert_eq!(outcomes(&server), [RunOutcome::Crashed; 2]);
    assert_eq!(server.stats().connections, 0);

    server.restart().unwrap();
    server.set_faults(UpstreamFaults::default());
    assert_eq!(get_status(&server, "/health"), 200);
}

#[test]
fn crash_and_restart_keep_the_address_and_the_log() {
    let server = start(|_| {});
    let address = server.address();
    for round in 1..=20 {
        assert_eq!(get_status(&server, "/x"), 200);
        server.crash();
        assert!(TcpStream::connect(address).is_err());
        server.restart().unwrap();
        assert_eq!(server.runs().len(), round);
    }
    assert_eq!(server.address(), address);
}

#[test]
fn crash_switch_resets_its_own_caller() {
    let server = start(|_| {});
    let request = minreq::post(url(&server, "/standin/crash")).with_timeout(5);
    let result = request.send();
    assert!(result.is_err(), "{result:?}");
    server.wait_end();
    assert!(TcpStream::connect(server.address()).is_err());
}

#[test]
fn cut_answer_states_a_length_and_ends_half_way() {
    let server = start(|settings| settings.faults.truncate_percent = 100);
    let request = "GET /x HTTP/1.1\r\nHost: x\r\nx-standin-size: 4000\r\n\r\n";
    let mut stream = send(&server, request);
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).unwrap();
    let text = String::from_utf8(bytes).unwrap();
    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    assert!(head.contains("content-length: 4000"), "{head}");
    assert_eq!(body.len(), 2000);
    assert_eq!(outcomes(&server), [RunOutcome::Finished]);
}

#[test]
fn faults_show_by_route_share_and_time() {
    let server = start(|_| {});
    let faults = r#"{"fail_percent":100,"only_prefix":"/book"}"#;
    assert_eq!(post_faults(&server, faults), 200);
    assert_eq!(get_status(&server, "/free"), 200);
    assert_eq!(get_status(&server, "/book/1"), 500);
    let expected = [RunOutcome::Finished, RunOutcome::Failed];
    assert_eq!(outcomes(&server), expected);

    post_faults(&server, r#"{"fail_percent":30}"#);
    let mut failed_count = 0;
    for _ in 0..200 {
        failed_count += u32::from(get_status(&server, "/x") == 500);
    }
    assert!((30..=90).contains(&failed_count), "{failed_count}");

    let start = Instant::now();
    post_faults(&server, r#"{"fail_percent":100,"fail_after_seconds":1}"#);
    let is_good = get_status(&server, "/x") == 200;
    assert!(is_good || start.elapsed() >= Duration::from_secs(1));
    assert!(wait_until(SOON, || get_status(&server, "/x") == 500));

    assert_eq!(post_faults(&server, r#"{"fail_percnt":1}"#), 400);
}

#[test]
fn faults_show_only_under_load_when_asked() {
    let server = start(|settings| {
        settings.work = Duration::from_secs(2);
        settings.faults.fail_percent = 100;
        settings.faults.only_above_running = 2;
    });
    let first = spawn_get(&server, "/a");
    wait_running(&server, 1);
    let second = spawn_get(&server, "/b");
    wait_running(&server, 2);
    let third = spawn_get(&server, "/c");
    let statuses = [first, second, third].map(|call| call.join().unwrap());
    assert_eq!(statuses, [200, 200, 500]);
}

#[test]
fn slow_factor_and_delay_lengthen_the_work() {
    let server = start(|settings| {
        settings.work = Duration::from_millis(10);
        settings.faults.slow_factor = 5.0;
        settings.faults.delay = Duration::from_millis(30);
    });
    let start = Instant::now();
    get(&server, "/x");
    assert!(start.elapsed() >= Duration::from_millis(80));
}

#[test]
fn cold_start_is_slow_at_first() {
    let server = start(|settings| {
        settings.work = Duration::from_millis(40);
        settings.cold_start = Duration::from_millis(1500);
    });
    let start = Instant::now();
    get(&server, "/x");
    assert!(start.elapsed() >= Duration::from_millis(100));
    let is_warm = wait_until(SOON, || {
        let start = Instant::now();
        get(&server, "/x");
        start.elapsed() < Duration::from_millis(80)
    });
    assert!(is_warm);
}

#[test]
fn health_and_load_lag_and_mislead() {
    let server = start(|settings| {
        settings.health_lag = Duration::from_millis(1500);
        settings.work = Duration::from_secs(60);
        settings.slots = 3;
    });
    let _stream = send_get(&server, "/long");
    wait_running(&server, 1);
    let load: LoadAnswer = get_json(&server, "/load");
    assert_eq!((load.running, load.slots), (0, 3));
    let running = || get_json::<LoadAnswer>(&server, "/load").running;
    assert!(wait_until(SOON, || running() == 1));

    let mut faults = UpstreamFaults {
        fail_percent: 100,
        ..Default::default()
    };
    server.set_faults(faults.clone());
    assert!(get_json::<HealthAnswer>(&server, "/health").healthy);
    assert!(wait_until(SOON, || get_status(&server, "/health") == 503));
    faults.misleading_health = true;
    server.set_faults(faults);
    assert_eq!(get_status(&server, "/health"), 200);
    assert_eq!(running(), 0);
}

#[test]
fn connections_over_the_limit_are_reset() {
    let server = start(|settings| settings.connection_limit = 20);
    let mut streams = Vec::new();
    for _ in 0..25 {
        streams.push(TcpStream::connect(server.address()).unwrap());
    }
    assert!(wait_until(SOON, || server.stats().connections_refused == 5));
    assert_eq!(server.stats().connections, 20);
    drop(streams);
    assert!(wait_until(SOON, || server.stats().connections == 0));
    assert_eq!(server.stats().connections_total, 20);
}

#[test]
fn connections_cost_time_one_after_another() {
    let cost = Duration::from_millis(50);
    let server = start(|settings| {
        settings.connection_cost = cost;
        settings.work = Duration::ZERO;
    });
    let start = Instant::now();
    let mut streams: Vec<_> = (0..30).map(|_| send_get(&server, "/x")).collect();
    assert!(wait_until(SOON, || server.runs().len() == 30));
    let elapsed = start.elapsed();
    assert!(elapsed >= cost * 30, "{elapsed:?}");
    let start = Instant::now();
    for stream in &mut streams {
        write!(stream, "GET /x HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
    }
    assert!(wait_until(SOON, || server.runs().len() == 60));
    let elapsed = start.elapsed();
    assert!(elapsed < cost * 30, "{elapsed:?}");
}

#[test]
fn slow_sender_is_ended_and_does_not_hold_up_others() {
    let server = start(|_| {});
    let mut slow = send(&server, "GET /x HTT");
    let start = Instant::now();
    assert_eq!(get_status(&server, "/x"), 200);
    slow.set_nonblocking(true).unwrap();
    let error = slow.read(&mut [0; 8]).unwrap_err();
    assert_eq!(
        error.kind(),
        ErrorKind::WouldBlock,
        "the slow one is still held"
    );
    slow.set_nonblocking(false).unwrap();
    let limit = Duration::from_secs(10);
    slow.set_read_timeout(Some(limit)).unwrap();
    let _ = slow.read_to_end(&mut Vec::new());
    assert!(
        start.elapsed() < Duration::from_secs(9),
        "not closed in time"
    );
    assert_eq!(server.runs().len(), 1);
}

#[test]
fn oversized_body_is_refused_and_not_run() {
    let server = start(|_| {});
    let body = "x".repeat(2 * 1024 * 1024);
    let length = body.len();
    let head = format!("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n");
    let mut stream = send(&server, &head);
    // The server may close before it has read everything.
    let _ = stream.write_all(body.as_bytes());
    let mut start = [0; 12];
    if stream.read_exact(&mut start).is_ok() {
        assert_eq!(&start, b"HTTP/1.1 413");
    }
    assert_eq!(server.runs().len(), 0);
}
