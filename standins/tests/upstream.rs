//! The upstream stand-in: slots, faults, crash, and its log of runs.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
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

fn settings() -> UpstreamSettings {
    UpstreamSettings::new("stalls", "v1")
}

fn start(settings: UpstreamSettings) -> UpstreamServer {
    UpstreamServer::start(settings).unwrap()
}

fn url(server: &UpstreamServer, path: &str) -> String {
    format!("http://{}{path}", server.address())
}

fn get(server: &UpstreamServer, path: &str) -> minreq::Response {
    minreq::get(url(server, path))
        .with_timeout(5)
        .send()
        .unwrap()
}

fn post(server: &UpstreamServer, path: &str, body: &str) -> minreq::Response {
    minreq::post(url(server, path))
        .with_timeout(5)
        .with_body(body)
        .send()
        .unwrap()
}

fn read_json<T: serde::de::DeserializeOwned>(response: &minreq::Response) -> T {
    serde_json::from_slice(response.as_bytes()).unwrap()
}

fn outcomes(server: &UpstreamServer) -> Vec<RunOutcome> {
    server.runs().iter().map(|entry| entry.outcome).collect()
}

/// Connects, sends one GET and keeps the connection.
fn send_get(address: SocketAddr, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(SOON)).unwrap();
    write!(stream, "GET {path} HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
    stream
}

fn spawn_get(server: &UpstreamServer, path: &'static str) -> JoinHandle<u16> {
    let url = url(server, path);
    thread::spawn(move || minreq::get(url).with_timeout(5).send().unwrap().status_code)
}

#[test]
fn answer_names_request_version_and_run_at_the_size_asked() {
    let server = start(settings());
    let response = minreq::get(url(&server, "/stalls/free?day=3"))
        .with_header("x-request-id", "r-17")
        .with_header("idempotency-key", "k-4")
        .with_header("x-standin-size", "5000")
        .send()
        .unwrap();
    assert_eq!(response.status_code, 200);
    assert_eq!(response.as_bytes().len(), 5000);
    let answer: UpstreamAnswer = read_json(&response);
    assert_eq!(answer.request_id.as_deref(), Some("r-17"));
    assert_eq!((&*answer.service, &*answer.version), ("stalls", "v1"));
    assert_eq!((answer.run, &*answer.path), (1, "/stalls/free?day=3"));

    let runs: Vec<RunEntry> = read_json(&get(&server, "/standin/runs"));
    assert_eq!(runs, server.runs());
    assert_eq!(runs[0].request.idempotency_key.as_deref(), Some("k-4"));
    assert_eq!(runs[0].outcome, RunOutcome::Finished);
    let later: Vec<RunEntry> = read_json(&get(&server, "/standin/runs?after=1"));
    assert_eq!(later, Vec::new());
}

#[test]
fn requests_over_the_slots_are_shed_and_not_logged() {
    let mut settings = settings();
    settings.slots = 2;
    settings.work = Duration::from_millis(400);
    let server = start(settings);
    let calls: Vec<_> = (0..6).map(|_| spawn_get(&server, "/x")).collect();
    let mut statuses: Vec<u16> = calls.into_iter().map(|call| call.join().unwrap()).collect();
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 200, 503, 503, 503, 503]);
    assert_eq!(server.runs().len(), 2);
    let stats: UpstreamStats = read_json(&get(&server, "/standin/stats"));
    assert_eq!((stats.shed, stats.running_peak, stats.running), (4, 2, 0));
}

#[test]
fn hang_up_cancels_the_work() {
    let mut settings = settings();
    settings.work = Duration::from_secs(60);
    let server = start(settings);
    let stream = send_get(server.address(), "/long");
    assert!(wait_until(SOON, || server.stats().running == 1));
    drop(stream);
    assert!(wait_until(SOON, || outcomes(&server) == [RunOutcome::Cancelled]));
    assert_eq!(server.stats().cancelled, 1);
}

#[test]
fn work_ends_at_the_deadline() {
    let mut settings = settings();
    settings.work = Duration::from_secs(60);
    let server = start(settings);
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
    let mut settings = settings();
    settings.faults.crash_on_body = Some("poison".into());
    settings.work = Duration::from_secs(60);
    let server = start(settings);
    let mut bystander = send_get(server.address(), "/bystander");
    assert!(wait_until(SOON, || server.stats().running == 1));

    let mut stream = TcpStream::connect(server.address()).unwrap();
    stream.set_read_timeout(Some(SOON)).unwrap();
    let request = "POST /book HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nthe poison";
    stream.write_all(request.as_bytes()).unwrap();
    for stream in [&mut stream, &mut bystander] {
        let error = stream.read(&mut [0; 16]).unwrap_err();
        assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    }
    server.wait_end();
    let refusal = TcpStream::connect(server.address()).unwrap_err();
    assert_eq!(refusal.kind(), ErrorKind::ConnectionRefused);
    assert_eq!(
        outcomes(&server),
        [RunOutcome::Crashed, RunOutcome::Crashed]
    );
    assert_eq!(server.stats().connections, 0);

    server.restart().unwrap();
    server.set_faults(UpstreamFaults::default());
    assert_eq!(get(&server, "/health").status_code, 200);
}

#[test]
fn crash_and_restart_keep_the_address_and_the_log() {
    let server = start(settings());
    let address = server.address();
    for round in 1..=20 {
        assert_eq!(get(&server, "/x").status_code, 200);
        server.crash();
        assert!(TcpStream::connect(address).is_err());
        server.restart().unwrap();
        assert_eq!(server.runs().len(), round);
    }
    assert_eq!(server.address(), address);
}

#[test]
fn crash_switch_resets_its_own_caller() {
    let server = start(settings());
    let result = minreq::post(url(&server, "/standin/crash"))
        .with_timeout(5)
        .send();
    assert!(result.is_err(), "{result:?}");
    server.wait_end();
    assert!(TcpStream::connect(server.address()).is_err());
}

#[test]
fn cut_answer_states_a_length_and_ends_half_way() {
    let mut settings = settings();
    settings.faults.truncate_percent = 100;
    let server = start(settings);
    let mut stream = TcpStream::connect(server.address()).unwrap();
    stream.set_read_timeout(Some(SOON)).unwrap();
    write!(
        stream,
        "GET /x HTTP/1.1\r\nHost: x\r\nx-standin-size: 4000\r\n\r\n"
    )
    .unwrap();
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
    let server = start(settings());
    let faults = r#"{"fail_percent":100,"only_prefix":"/book"}"#;
    assert_eq!(post(&server, "/standin/faults", faults).status_code, 200);
    assert_eq!(get(&server, "/free").status_code, 200);
    assert_eq!(get(&server, "/book/1").status_code, 500);
    assert_eq!(
        outcomes(&server),
        [RunOutcome::Finished, RunOutcome::Failed]
    );

    let faults = r#"{"fail_percent":30}"#;
    post(&server, "/standin/faults", faults);
    let mut failed_count = 0;
    for _ in 0..200 {
        failed_count += u32::from(get(&server, "/x").status_code == 500);
    }
    assert!((30..=90).contains(&failed_count), "{failed_count}");

    let faults = r#"{"fail_percent":100,"fail_after_seconds":1}"#;
    post(&server, "/standin/faults", faults);
    assert_eq!(get(&server, "/x").status_code, 200);
    assert!(wait_until(SOON, || get(&server, "/x").status_code == 500));

    assert_eq!(
        post(&server, "/standin/faults", r#"{"fail_percnt":1}"#).status_code,
        400
    );
}

#[test]
fn faults_show_only_under_load_when_asked() {
    let mut settings = settings();
    settings.work = Duration::from_millis(500);
    settings.faults.fail_percent = 100;
    settings.faults.only_above_running = 2;
    let server = start(settings);
    let first = spawn_get(&server, "/a");
    assert!(wait_until(SOON, || server.stats().running == 1));
    let second = spawn_get(&server, "/b");
    assert!(wait_until(SOON, || server.stats().running == 2));
    let third = spawn_get(&server, "/c");
    let statuses = [first, second, third].map(|call| call.join().unwrap());
    assert_eq!(statuses, [200, 200, 500]);
}

#[test]
fn slow_factor_and_delay_lengthen_the_work() {
    let mut settings = settings();
    settings.work = Duration::from_millis(10);
    settings.faults.slow_factor = 5.0;
    settings.faults.delay = Duration::from_millis(30);
    let server = start(settings);
    let start = Instant::now();
    get(&server, "/x");
    assert!(start.elapsed() >= Duration::from_millis(80));
}

#[test]
fn cold_start_is_slow_at_first() {
    let mut settings = settings();
    settings.work = Duration::from_millis(40);
    settings.cold_start = Duration::from_millis(500);
    let server = start(settings);
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
    let mut settings = settings();
    settings.health_lag = Duration::from_millis(500);
    settings.work = Duration::from_secs(60);
    settings.slots = 3;
    let server = start(settings);
    let _stream = send_get(server.address(), "/long");
    assert!(wait_until(SOON, || server.stats().running == 1));
    let load: LoadAnswer = read_json(&get(&server, "/load"));
    assert_eq!((load.running, load.slots), (0, 3));
    let is_told = wait_until(SOON, || {
        read_json::<LoadAnswer>(&get(&server, "/load")).running == 1
    });
    assert!(is_told);

    let mut faults = UpstreamFaults {
        fail_percent: 100,
        ..UpstreamFaults::default()
    };
    server.set_faults(faults.clone());
    assert!(read_json::<HealthAnswer>(&get(&server, "/health")).healthy);
    assert!(wait_until(SOON, || get(&server, "/health").status_code == 503));
    faults.misleading_health = true;
    server.set_faults(faults);
    assert_eq!(get(&server, "/health").status_code, 200);
    assert_eq!(read_json::<LoadAnswer>(&get(&server, "/load")).running, 0);
}

#[test]
fn connections_over_the_limit_are_reset() {
    let mut settings = settings();
    settings.connection_limit = 20;
    let server = start(settings);
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
    let mut settings = settings();
    settings.connection_cost = Duration::from_millis(10);
    settings.work = Duration::ZERO;
    let server = start(settings);
    let start = Instant::now();
    let mut streams = Vec::new();
    for _ in 0..30 {
        streams.push(send_get(server.address(), "/x"));
    }
    for stream in &mut streams {
        stream.read_exact(&mut [0; 12]).unwrap();
    }
    let elapsed = start.elapsed();
    assert!(elapsed >= Duration::from_millis(300), "{elapsed:?}");
    for stream in &mut streams {
        let start = Instant::now();
        stream
            .write_all(b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
            .unwrap();
        stream.read_exact(&mut [0; 12]).unwrap();
        assert!(
            start.elapsed() < Duration::from_millis(300),
            "a kept connection costs nothing"
        );
    }
}

#[test]
fn slow_sender_is_ended_and_does_not_hold_up_others() {
    let server = start(settings());
    let mut slow = TcpStream::connect(server.address()).unwrap();
    slow.write_all(b"GET /x HTT").unwrap();
    let start = Instant::now();
    assert_eq!(get(&server, "/x").status_code, 200);
    assert!(start.elapsed() < Duration::from_secs(1));
    slow.set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    let mut bytes = Vec::new();
    let _ = slow.read_to_end(&mut bytes);
    assert!(
        start.elapsed() < Duration::from_secs(9),
        "closed within the head timeout"
    );
    assert_eq!(server.runs().len(), 1);
}

#[test]
fn oversized_body_is_refused_and_not_run() {
    let server = start(settings());
    let body = "x".repeat(2 * 1024 * 1024);
    let mut stream = TcpStream::connect(server.address()).unwrap();
    stream.set_read_timeout(Some(SOON)).unwrap();
    let head = format!(
        "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).unwrap();
    // The server may close before it has read everything.
    let _ = stream.write_all(body.as_bytes());
    let mut start = [0; 12];
    if stream.read_exact(&mut start).is_ok() {
        assert_eq!(&start, b"HTTP/1.1 413");
    }
    assert_eq!(server.runs().len(), 0);
}
