//! A planned stop cuts no request: several daemons at once, under load on kept and on new
//! connections; a booking whose caller hung up is finished too.

mod common;

use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use standins::run_log::RunOutcome;
use standins::upstream_settings::UpstreamSettings;

use common::DaemonProcess;
use common::PATIENCE;
use common::call_checks::assert_own;
use common::caller::CallEnd;
use common::caller::CallSpec;
use common::caller::KeptCaller;
use common::caller::read_answer;
use common::caller::send_raw;
use common::caller_threads::pause;
use common::caller_threads::run_while;
use common::caller_threads::wait_count;
use common::process_fleet::ProcessFleet;
use common::wait_for;

const CALLERS: usize = 40;

fn upstream_settings(work_ms: u64) -> UpstreamSettings {
    let mut settings = UpstreamSettings::new("stalls", "v1");
    settings.work = Duration::from_millis(work_ms);
    settings.work_jitter_percent = 50;
    settings
}

fn make_call(id: &str, number: usize) -> CallSpec {
    let spec = if number.is_multiple_of(3) {
        CallSpec::post("/bookings/stall", id).with("idempotency-key", id)
    } else {
        CallSpec::get("/stalls/free")
    };
    spec.with("x-request-id", id).with("x-standin-size", 2000)
}

/// Calls until stopped and notes every request that did not end well.
fn call_until_stopped(
    caller: usize,
    addresses: &[SocketAddr],
    stop: &AtomicBool,
    cuts: &Mutex<Vec<String>>,
    good: &AtomicUsize,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(caller as u64);
    let mut kept: Vec<KeptCaller> = addresses.iter().copied().map(KeptCaller::new).collect();
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let daemon = rng.random_range(0..kept.len());
        if caller.is_multiple_of(2) {
            kept[daemon] = KeptCaller::new(addresses[daemon]);
        }
        let id = format!("s{caller}-{number}");
        let end = kept[daemon].call(&make_call(&id, number));
        match &end {
            CallEnd::Unsent => {}
            CallEnd::Whole(answer) if answer.outcome() != "in-doubt" => {
                assert_own(answer, &id, 2000);
                good.fetch_add(usize::from(answer.is_good()), Ordering::Relaxed);
            }
            _ => cuts
                .lock()
                .expect("cuts")
                .push(format!("{id} at {daemon}: {end:?}")),
        }
        pause(Duration::from_millis(rng.random_range(0..12)));
    }
}

fn wait_exit(daemon: &mut DaemonProcess) {
    let mut status = None;
    wait_for("daemon stopped", PATIENCE, || {
        status = daemon.process.child.try_wait().expect("daemon is a child");
        status.is_some()
    });
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
}

/// Stops the first `count` of four daemons at once under load.
fn stop_under_load(count: usize) {
    let mut fleet = ProcessFleet::start_logged(4, &upstream_settings(10));
    let addresses = fleet.calls();
    let cuts = Mutex::new(Vec::new());
    let good = AtomicUsize::new(0);
    let call = |caller, stop: &AtomicBool| {
        call_until_stopped(caller, &addresses, stop, &cuts, &good);
    };
    run_while(CALLERS, call, || {
        pause(Duration::from_secs(1));
        wait_count("good answers before the stop", &good, 100);
        for daemon in &fleet.daemons[..count] {
            daemon.process.signal("TERM");
        }
        fleet.daemons[..count].iter_mut().for_each(wait_exit);
    });
    let cuts = cuts.into_inner().expect("cuts");
    let (count, first) = (cuts.len(), &cuts[..cuts.len().min(8)]);
    assert_eq!(count, 0, "requests cut, among them {first:?}");
}

#[test]
fn planned_stop_of_several_daemons_cuts_no_request() {
    stop_under_load(3);
}

#[test]
fn planned_stop_of_every_daemon_cuts_no_request() {
    stop_under_load(4);
}

#[test]
fn planned_stop_answers_requests_on_connections_just_made() {
    let mut fleet = ProcessFleet::start_logged(2, &upstream_settings(10));
    let daemon = &fleet.daemons[0];
    daemon.process.signal("TERM");
    pause(Duration::from_secs(1));
    // Frozen over the end of the grace, so that it wakes to the stop and to new connections.
    daemon.process.signal("STOP");
    let head = b"GET /stalls/free HTTP/1.1\r\nhost: test\r\n\r\n";
    let mut streams: Vec<TcpStream> = (0..60).map(|_| send_raw(daemon.calls, head)).collect();
    pause(Duration::from_millis(1500));
    daemon.process.signal("CONT");
    let mut ends = Vec::new();
    for stream in &mut streams {
        ends.push(read_answer(stream));
    }
    let cuts = ends.iter().filter(|end| !matches!(end, CallEnd::Whole(_)));
    assert_eq!(cuts.count(), 0, "of 60 on new connections: {ends:?}");
    wait_exit(&mut fleet.daemons[0]);
}

#[test]
fn planned_stop_finishes_a_booking_whose_caller_hung_up() {
    let mut fleet = ProcessFleet::start_logged(1, &upstream_settings(10));
    let faults = standins::upstream_faults::UpstreamFaults {
        delay: Duration::from_secs(4),
        ..Default::default()
    };
    fleet.servers[0].set_faults(faults);
    let head = b"POST /bookings/stall HTTP/1.1\r\nhost: test\r\nidempotency-key: left-1\r\n\
        x-coltsfootweir-deadline-ms: 20000\r\ncontent-length: 0\r\n\r\n";
    let stream = send_raw(fleet.daemons[0].calls, head);
    wait_for("booking runs", PATIENCE, || {
        !fleet.servers[0].runs().is_empty()
    });
    drop(stream);
    fleet.daemons[0].process.signal("TERM");
    wait_exit(&mut fleet.daemons[0]);
    let runs = fleet.servers[0].runs();
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].outcome, RunOutcome::Finished);
}
