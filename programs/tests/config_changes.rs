//! Changes that cross one another: no call loses a route that stays, and every accepted change of
//! racing operators is in force everywhere, once.

mod common;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
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
use common::apply;
use common::call;
use common::caller_threads::run_callers;
use common::caller_threads::run_while;
use common::generation_watch::GenerationWatch;
use common::process_fleet::ProcessFleet;
use common::records::list_text;
use common::records::route_text;
use common::records::version_text;

/// Changes that each operator makes.
const CHANGES: usize = 12;

/// Calls to be exceeded while routes change.
const CALLS: u64 = 100;

/// Operators that race.
const OPERATORS: usize = 4;

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

fn start_with_upstreams(count: usize) -> ProcessFleet {
    let mut fleet = ProcessFleet::start(count);
    fleet.add_upstreams();
    let route = route_text("stalls", "stalls", "/stalls", 5000);
    let records = list_text(&[version_text("stalls", "v1", 100), route]);
    apply(fleet.platform.address, &records);
    let all: Vec<usize> = (0..count).collect();
    fleet.wait_generation(&all, 1, CONVERGENCE_TARGET);
    fleet.wait_ready(1);
    fleet
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
    let fleet = start_with_upstreams(4);
    let daemons = fleet.calls();
    let store = open_store(fleet.platform.address);
    let (count, ran) = (AtomicU64::new(0), AtomicU64::new(0));
    let mut round = 0;
    let call = |_, is_over: &AtomicBool| keep_calling(&daemons, is_over, &ran);
    let faults = run_while(3, call, || {
        let mut last = 1;
        let deadline = Instant::now() + PATIENCE;
        // On a slow machine the changes outrun the callers, so they go on until enough calls ran.
        while round < CHANGES || (ran.load(Ordering::Relaxed) <= CALLS && Instant::now() < deadline)
        {
            // Routes and versions come together and go together; the last ones have no endpoint.
            let version = format!("w{round}");
            let (name, prefix) = (format!("fodder-{round}"), format!("/stalls/fodder-{round}"));
            let text = list_text(&[
                version_text("stalls", &version, 0),
                version_text("fodder", &version, 100),
                route_text(&name, "fodder", &prefix, 2000),
            ]);
            last = accept(&store, &count, &|base| {
                let mut base = base.clone();
                base.routes.retain(|name, _| !name.starts_with("fodder"));
                base.versions.retain(|key, _| &**key == "stalls/v1");
                with_text(&base, &text)
            });
            round += 1;
        }
        fleet.wait_generation(&[0, 1, 2, 3], last, CONVERGENCE_TARGET);
    });
    for faults in faults {
        assert!(faults.is_empty(), "{faults:?}");
    }
    let total = ran.load(Ordering::Relaxed);
    println!("{total} calls ran through {round} changes");
    assert!(total > CALLS, "{total} calls");
}

#[test]
fn every_accepted_change_of_racing_operators_is_in_force_everywhere_once() {
    let fleet = start_with_upstreams(4);
    let watch = GenerationWatch::start(fleet.controls());
    fleet.set_faults(r#"{"lose_answers": 20, "lose_requests": 10}"#);
    let count = AtomicU64::new(0);
    let accepted = run_callers(OPERATORS, |operator| {
        let store = open_store(fleet.platform.address);
        let mut generations = Vec::new();
        for number in 0..CHANGES {
            let (name, prefix) = (
                format!("r{operator}-{number}"),
                format!("/r{operator}/{number}"),
            );
            let text = list_text(&[route_text(&name, "stalls", &prefix, 5000)]);
            generations.push(accept(&store, &count, &|base| with_text(base, &text)));
        }
        generations
    });
    let store = open_store(fleet.platform.address);
    let head = read_head(&store).expect("the head");
    let changes = (OPERATORS * CHANGES) as u64;
    assert_eq!(head.generation, 1 + changes, "one generation a change");
    let distinct: BTreeSet<Generation> = accepted.into_iter().flatten().collect();
    let told = distinct.len();
    println!("{told} of {changes} generations were told to their operators");
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
