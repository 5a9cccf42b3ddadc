//! A leaving upstream gets no new work after a few seconds, also from daemons that were frozen or
//! cut off when the news went round, and finishes what runs.

mod common;

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use coltsfootweir::announce::ANNOUNCE_INTERVAL;
use coltsfootweir::announce::ANNOUNCE_TIMEOUT;
use coltsfootweir::member::EndpointPhase;
use standins::run_log::RunEntry;
use standins::run_log::RunOutcome;
use standins::upstream_settings::UpstreamSettings;

use common::PATIENCE;
use common::caller::CallSpec;
use common::caller::KeptCaller;
use common::caller::send_raw;
use common::caller_threads::pause;
use common::caller_threads::run_while;
use common::caller_threads::wait_count;
use common::json_http::post_json;
use common::local_fleet::LocalFleet;
use common::process_fleet::ProcessFleet;
use common::test_net::CutKind;
use common::wait_for;

/// Longest time after its notice at which a leaving upstream may get new work: as long as a daemon
/// hands work to an upstream that is silent, with time for a busy machine.
const MAX_LATE: Duration = ANNOUNCE_TIMEOUT.saturating_add(Duration::from_millis(500));

fn upstream_settings() -> UpstreamSettings {
    let mut settings = UpstreamSettings::new("stalls", "v1");
    settings.work = Duration::from_millis(40);
    settings.work_jitter_percent = 80;
    settings
}

fn call_until_stopped(
    addresses: &[SocketAddr],
    caller: usize,
    stop: &AtomicBool,
    good: &AtomicUsize,
) {
    let mut kept: Vec<KeptCaller> = addresses.iter().copied().map(KeptCaller::new).collect();
    for number in caller.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("l{caller}-{number}");
        let spec = match number % 4 {
            0 => CallSpec::post("/bookings/stall", "").with("idempotency-key", &id),
            _ => CallSpec::get("/stalls/free"),
        };
        let spec = spec.with("x-coltsfootweir-deadline-ms", 8000);
        let answer = kept[number % addresses.len()].call(&spec).whole();
        let is_good = answer.is_some_and(|answer| answer.is_good());
        good.fetch_add(usize::from(is_good), Ordering::Relaxed);
    }
}

/// Calls through every address while `act` goes on and until there are more good answers than
/// `least`.
fn call_while(addresses: &[SocketAddr], least: usize, act: impl FnOnce()) {
    let good = AtomicUsize::new(0);
    let call = |caller, stop: &AtomicBool| call_until_stopped(addresses, caller, stop, &good);
    run_while(16, call, || {
        act();
        wait_count("good answers", &good, least);
    });
}

/// Holds a log to the rule: no work after the bound, and all that ran was finished.
fn assert_left(runs: &[RunEntry]) {
    let before = runs.iter().filter(|run| !run.after_leave);
    let last = before
        .map(|run| run.started)
        .max()
        .expect("runs before the leave");
    for run in runs.iter().filter(|run| run.after_leave) {
        let late = run.started - last;
        assert!(
            late < MAX_LATE,
            "run {} started {late:?} after the notice",
            run.run
        );
    }
    for run in runs {
        assert_eq!(run.outcome, RunOutcome::Finished, "run {}", run.run);
    }
}

#[test]
fn leaving_upstream_gets_no_new_work_from_a_daemon_that_was_frozen() {
    let fleet = ProcessFleet::start_logged(4, &upstream_settings());
    call_while(&fleet.calls(), 100, || {
        pause(Duration::from_secs(1));
        fleet.daemons[3].process.signal("STOP");
        fleet.servers[0].leave();
        pause(Duration::from_secs(5));
        fleet.daemons[3].process.signal("CONT");
        pause(Duration::from_secs(2));
    });
    assert_left(&fleet.servers[0].runs());
}

#[test]
fn leaving_upstream_gets_no_new_work_when_the_daemon_beside_it_was_frozen() {
    let fleet = ProcessFleet::start_logged(2, &upstream_settings());
    let daemon = &fleet.daemons[0].process;
    let calls = fleet.calls();
    call_while(&calls, 50, || {
        pause(Duration::from_secs(1));
        daemon.signal("STOP");
        wait_for("upstream idle", PATIENCE, || {
            fleet.servers[0].stats().running == 0
        });
        fleet.servers[0].leave();
        pause(MAX_LATE + Duration::from_secs(1));
        // What waits for the daemon when it resumes is older than its news of the leave.
        let head = b"GET /stalls/free HTTP/1.1\r\nhost: test\r\n\r\n";
        let _waiting: Vec<_> = (0..60).map(|_| send_raw(calls[0], head)).collect();
        daemon.signal("CONT");
        pause(Duration::from_secs(2));
    });
    assert_left(&fleet.servers[0].runs());
}

#[test]
fn leaving_upstream_gets_no_new_work_from_daemons_that_miss_the_news() {
    let mesh =
        LocalFleet::start_for_calls(&["north", "north", "south", "south"], &upstream_settings());
    let south = &mesh.calls()[2..];
    call_while(south, 100, || {
        pause(Duration::from_secs(1));
        mesh.set_cut(CutKind::Control);
        mesh.servers[0].leave();
        pause(MAX_LATE + Duration::from_secs(2));
    });
    assert_left(&mesh.servers[0].runs());
}

/// A daemon that was frozen finds the announcements of that time all at once, the oldest first.
#[test]
fn announcements_that_arrive_together_after_a_silence_bring_no_upstream_back() {
    let fleet = ProcessFleet::start(1);
    let announce = |leaving: bool| {
        let announcement = serde_json::json!({
            "service": "stalls", "version": "v1", "slots": 9, "leaving": leaving,
            "address": "127.0.0.1:1",
        });
        post_json(fleet.control(0), "/announce", &announcement.to_string());
    };
    let phase = || {
        fleet
            .status(0)?
            .members
            .first()?
            .endpoint
            .as_ref()
            .map(|own| own.phase)
    };
    let wait_phase = |wanted: EndpointPhase| {
        wait_for("phase", PATIENCE, || phase() == Some(wanted));
    };
    announce(false);
    assert_eq!(phase(), Some(EndpointPhase::Ready));
    wait_phase(EndpointPhase::Down);
    announce(false);
    announce(false);
    assert_eq!(phase(), Some(EndpointPhase::Down));
    announce(true);
    assert_eq!(phase(), Some(EndpointPhase::Leaving));
    announce(false);
    assert_eq!(phase(), Some(EndpointPhase::Leaving));
    wait_phase(EndpointPhase::Down);
    announce(false);
    pause(ANNOUNCE_INTERVAL);
    announce(false);
    assert_eq!(phase(), Some(EndpointPhase::Ready));
}
