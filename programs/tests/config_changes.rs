//! Changes that cross one another: no call loses a route that stays, and every accepted change of
//! racing operators is in force everywhere, once.

mod common;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use coltsfootweir::accept::AcceptError;
use coltsfootweir::accept::accept_change;
use coltsfootweir::accept::fetch_snapshot;
use coltsfootweir::accept::read_head;
use coltsfootweir::http_platform::HttpPlatform;
use coltsfootweir::ids::Generation;
use coltsfootweir::record_fault::RecordFault;
use coltsfootweir::schema::parse_records;
use coltsfootweir::snapshot::ConfigSnapshot;

use common::CONVERGENCE_TARGET;
use common::PATIENCE;
use common::UpstreamProcess;
use common::apply;
use common::call;
use common::generation_watch::GenerationWatch;
use common::process_fleet::ProcessFleet;
use common::start_upstream;
use common::wait_for;

/// Changes that each operator makes.
const CHANGES: usize = 12;

/// Calls to be exceeded while routes change.
const CALLS: u64 = 100;

/// Operators that race.
const OPERATORS: usize = 4;

const RECORDS: &str = r#"[
  {"kind": "upstream-version", "schema": 1, "service": "stalls", "version": "v1", "share": 100},
  {"kind": "route", "schema": 1, "name": "stalls", "service": "stalls", "prefix": "/stalls",
   "class": "check", "timeout_ms": 5000}
]"#;

fn open_store(address: SocketAddr) -> HttpPlatform {
    HttpPlatform::new(address, Duration::from_secs(5))
}

/// Makes a change until it is accepted; returns its generation.
fn accept(
    store: &HttpPlatform,
    write_count: &AtomicU64,
    change: &dyn Fn(&ConfigSnapshot) -> Result<ConfigSnapshot, Vec<RecordFault>>,
) -> Generation {
    let ids = || {
        let count = write_count.fetch_add(1, Ordering::Relaxed);
        format!("racing-{count}").into()
    };
    loop {
        match accept_change(store, &ids, change, &[]) {
            Ok(snapshot) => return snapshot.generation,
            Err(report) => match report.current_context() {
                AcceptError::Refused(faults) => panic!("refused: {faults:?}"),
                AcceptError::Conflict(_) | AcceptError::Unavailable | AcceptError::InDoubt(_) => {}
            },
        }
    }
}

fn with_text(base: &ConfigSnapshot, text: &str) -> Result<ConfigSnapshot, Vec<RecordFault>> {
    let records = parse_records(text, SystemTime::now()).expect("records");
    base.with_records(records)
}

fn start_with_upstreams(count: usize) -> (ProcessFleet, Vec<UpstreamProcess>) {
    let fleet = ProcessFleet::start(count);
    let mut upstreams = Vec::new();
    for daemon in &fleet.daemons {
        upstreams.push(start_upstream(daemon.control, "stalls", "v1"));
    }
    apply(fleet.platform.address, RECORDS);
    let all: Vec<usize> = (0..count).collect();
    fleet.wait_generation(&all, 1, CONVERGENCE_TARGET);
    for index in all {
        wait_for("every endpoint known", PATIENCE, || {
            let status = fleet.status(index).expect("a status");
            let known = status
                .members
                .iter()
                .filter(|entry| entry.endpoint.is_some());
            known.count() == count
        });
    }
    (fleet, upstreams)
}

/// Calls every daemon in turn until told to stop, counts the calls that ran and returns what went
/// wrong.
fn keep_calling(
    daemons: &[SocketAddr],
    is_over: &AtomicBool,
    ran: &AtomicU64,
) -> BTreeMap<String, u64> {
    let mut faults = BTreeMap::new();
    while !is_over.load(Ordering::Relaxed) {
        for daemon in daemons {
            let what = match call(*daemon, "GET", "/stalls/free", &[]) {
                Some(answer) if answer.outcome == "ran" => {
                    ran.fetch_add(1, Ordering::Relaxed);
                    continue;
                }
                Some(answer) => format!("{} {} {}", answer.status, answer.outcome, answer.body),
                None => "no answer".to_string(),
            };
            *faults.entry(what).or_insert(0) += 1;
        }
    }
    faults
}

#[test]
fn no_call_loses_a_route_that_stays_while_others_come_and_go() {
    let (fleet, _upstreams) = start_with_upstreams(4);
    let daemons: Vec<SocketAddr> = fleet.daemons.iter().map(|daemon| daemon.calls).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let ran = Arc::new(AtomicU64::new(0));
    let callers: Vec<_> = (0..3)
        .map(|_| {
            let daemons = daemons.clone();
            let is_over = Arc::clone(&is_over);
            let ran = Arc::clone(&ran);
            thread::spawn(move || keep_calling(&daemons, &is_over, &ran))
        })
        .collect();
    let store = open_store(fleet.platform.address);
    let count = AtomicU64::new(0);
    let mut last = 1;
    let deadline = Instant::now() + PATIENCE;
    let mut round = 0;
    // On a slow machine the changes outrun the callers, so they go on until enough calls ran.
    while round < CHANGES || (ran.load(Ordering::Relaxed) <= CALLS && Instant::now() < deadline) {
        // Routes and versions come together and go together; the last ones have no endpoint.
        last = accept(&store, &count, &|base| {
            let mut text = String::from("[");
            for (kind, share) in [("stalls", 0), ("fodder", 100)] {
                text.push_str(&format!(
                    r#"{{"kind": "upstream-version", "schema": 1, "service": "{kind}",
                        "version": "w{round}", "share": {share}}},"#
                ));
            }
            text.push_str(&format!(
                r#"{{"kind": "route", "schema": 1, "name": "fodder-{round}", "service": "fodder",
                    "prefix": "/stalls/fodder-{round}", "class": "check", "timeout_ms": 2000}}]"#
            ));
            let mut base = base.clone();
            base.routes.retain(|name, _| !name.starts_with("fodder"));
            base.versions.retain(|key, _| &**key == "stalls/v1");
            with_text(&base, &text)
        });
        round += 1;
    }
    fleet.wait_generation(&[0, 1, 2, 3], last, CONVERGENCE_TARGET);
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        let faults = caller.join().expect("a caller");
        assert!(faults.is_empty(), "{faults:?}");
    }
    let total = ran.load(Ordering::Relaxed);
    println!("{total} calls ran through {round} changes");
    assert!(total > CALLS, "{total} calls");
}

#[test]
fn every_accepted_change_of_racing_operators_is_in_force_everywhere_once() {
    let (fleet, _upstreams) = start_with_upstreams(4);
    let watch = GenerationWatch::start(fleet.daemons.iter().map(|daemon| daemon.control));
    fleet.set_faults(r#"{"lose_answers": 20, "lose_requests": 10}"#);
    let count = Arc::new(AtomicU64::new(0));
    let accepted: Arc<Mutex<Vec<Generation>>> = Arc::default();
    let mut operators = Vec::new();
    for operator in 0..OPERATORS {
        let store = open_store(fleet.platform.address);
        let count = Arc::clone(&count);
        let accepted = Arc::clone(&accepted);
        operators.push(thread::spawn(move || {
            for number in 0..CHANGES {
                let text = format!(
                    r#"[{{"kind": "route", "schema": 1, "name": "r{operator}-{number}",
                        "service": "stalls", "prefix": "/r{operator}/{number}",
                        "class": "check", "timeout_ms": 5000}}]"#
                );
                let generation = accept(&store, &count, &|base| with_text(base, &text));
                accepted.lock().expect("generations").push(generation);
            }
        }));
    }
    for operator in operators {
        operator.join().expect("an operator");
    }
    let store = open_store(fleet.platform.address);
    let head = read_head(&store).expect("the head");
    let changes = (OPERATORS * CHANGES) as u64;
    assert_eq!(head.generation, 1 + changes, "one generation a change");
    let distinct: BTreeSet<_> = accepted
        .lock()
        .expect("generations")
        .iter()
        .copied()
        .collect();
    println!(
        "{} of {changes} generations were told to their operators",
        distinct.len()
    );
    let snapshot = fetch_snapshot(&store, &head).expect("the snapshot");
    assert_eq!(snapshot.routes.len() as u64, 1 + changes);
    fleet.wait_generation(&[0, 1, 2, 3], head.generation, CONVERGENCE_TARGET);
    for daemon in &fleet.daemons {
        for operator in 0..OPERATORS {
            for number in 0..CHANGES {
                let path = format!("/r{operator}/{number}/x");
                let answer = call(daemon.calls, "GET", &path, &[]).expect("an answer");
                assert_eq!(answer.outcome, "ran", "{path}: {answer:?}");
            }
        }
    }
    watch.finish();
}
