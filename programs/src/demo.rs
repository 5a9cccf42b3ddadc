//! `demo`: two regions of daemons and upstreams as tasks of this process, a good move and a bad one.

use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use coltsfootweir::ids::Generation;
use coltsfootweir::platform::PlatformStore;
use coltsfootweir::record::MovePhase;
use coltsfootweir::record::MoveRecord;
use coltsfootweir::schema::parse_records;
use serde_json::json;

use crate::accepted::read_accepted;
use crate::apply::accept_records;
use crate::demo_fleet::DemoFleet;
use crate::demo_traffic::DemoTraffic;
use crate::failure::CommandFailure;
use crate::failure::InputFault;
use crate::output::CommandOutput;
use crate::output::CommandResult;
use crate::output::print_text;
use crate::patient_store::PatientStore;

/// Time a platform operation may take.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time in which the fleet must serve its first configuration.
const START_LIMIT: Duration = Duration::from_secs(15);

/// Time in which a move must end.
const MOVE_LIMIT: Duration = Duration::from_secs(40);

/// Time that a move is given in its record, in seconds.
const MOVE_SECONDS: u64 = 25;

/// Time between two looks at the state of a move.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// Records the demo starts from.
const RECORDS: &str = r#"[
  {"kind": "upstream-version", "schema": 1, "service": "stalls", "version": "v1", "share": 100},
  {"kind": "upstream-version", "schema": 1, "service": "stalls", "version": "v2", "share": 0},
  {"kind": "upstream-version", "schema": 2, "service": "stalls", "version": "v3",
   "shares": {"checks": 0, "bookings": 0}},
  {"kind": "route", "schema": 1, "name": "free-stalls", "service": "stalls", "prefix": "/stalls",
   "class": "check", "timeout_ms": 2000},
  {"kind": "route", "schema": 2, "name": "bookings", "service": "stalls", "prefix": "/bookings",
   "class": "booking", "timeout_ms": 2000, "retry_percent": 10}
]"#;

/// Runs the demo and tells what happened.
///
/// # Errors
/// [`CommandFailure::Unavailable`] when something did not happen in time,
/// [`CommandFailure::Refused`] when it ended otherwise than expected.
pub fn run_demo() -> CommandResult {
    let start = Instant::now();
    let say = |text: &str| {
        print_text(&format!(
            "{:5.1} s  {text}\n",
            start.elapsed().as_secs_f64()
        ));
    };
    let mut fleet = DemoFleet::start()?;
    say("platform, 8 daemons and 8 upstreams run in 2 regions");
    let store = PatientStore::new(fleet.platform_address(), STORE_TIMEOUT);
    let generation = accept(&store, RECORDS)?;
    fleet.wait_generation(generation, START_LIMIT)?;
    say("generation 1 is in force on every daemon");
    let traffic = DemoTraffic::start(fleet.call_addresses());
    run_move(&store, "to-v2", "v1", "v2", MovePhase::Done)?;
    say("move to-v2: done");
    fleet.spoil_version("v3");
    let reason = run_move(&store, "to-v3", "v2", "v3", MovePhase::TakenBack)?;
    say(&format!("move to-v3: taken back: {reason}"));
    let tally = traffic.stop();
    let runs = fleet.count_runs();
    fleet.stop();
    say("every daemon stopped");
    Ok(CommandOutput::new(
        format!("{tally}{runs}"),
        json!({"callers": tally, "runs": runs}),
    ))
}

fn accept(store: &dyn PlatformStore, text: &str) -> Result<Generation, CommandFailure> {
    let records = parse_records(text, SystemTime::now()).map_err(|faults| {
        CommandFailure::Refused(faults.into_iter().map(InputFault::from).collect())
    })?;
    Ok(accept_records(store, &records)?.generation)
}

/// Writes a move and waits for its end; returns the reason given.
fn run_move(
    store: &dyn PlatformStore,
    name: &str,
    from: &str,
    to: &str,
    expected: MovePhase,
) -> Result<Box<str>, CommandFailure> {
    accept(
        store,
        &format!(
            r#"{{"kind": "move", "schema": 2, "name": "{name}", "service": "stalls",
                "from": "{from}", "to": "{to}", "done_in_seconds": {MOVE_SECONDS}}}"#
        ),
    )?;
    let start = Instant::now();
    let mut shown = None;
    while start.elapsed() < MOVE_LIMIT {
        thread::sleep(LOOK_INTERVAL);
        let record = read_move(store, name)?;
        if shown != Some(record.share) {
            print_text(&share_line(&record));
            shown = Some(record.share);
        }
        if record.phase == expected {
            return Ok(record.reason);
        }
        if record.phase.is_ended() {
            let text = format!("move {name} ended otherwise: {}", record.reason);
            return Err(CommandFailure::refused(text));
        }
    }
    Err(CommandFailure::Unavailable(
        format!("move {name} did not end in time").into(),
    ))
}

fn share_line(record: &MoveRecord) -> String {
    let share = record.share;
    format!(
        "         {}: {} has {}% of checks, {}% of bookings\n",
        record.name, record.to, share.checks, share.bookings
    )
}

fn read_move(store: &dyn PlatformStore, name: &str) -> Result<MoveRecord, CommandFailure> {
    let snapshot = read_accepted(store)?;
    let record = snapshot.moves.get(name).cloned();
    record.ok_or_else(|| CommandFailure::refused(format!("move {name} is not accepted")))
}
