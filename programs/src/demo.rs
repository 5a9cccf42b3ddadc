//! `demo`: two regions of daemons and upstreams as tasks of this process, a good move and a bad one.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use coltsfootweir::accept::fetch_snapshot;
use coltsfootweir::accept::read_head;
use coltsfootweir::record::ConfigRecord;
use coltsfootweir::record::MovePhase;
use coltsfootweir::record::MoveRecord;
use coltsfootweir::schema::parse_records;

use crate::apply::accept_records;
use crate::apply::open_store;
use crate::demo_fleet::DemoFleet;
use crate::demo_traffic::DemoTraffic;
use crate::failure::CommandFailure;
use crate::failure::CommandResult;

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
/// [`CommandFailure::TimedOut`] when something did not happen in time, [`CommandFailure::Refused`]
/// when it ended otherwise than expected.
pub fn run_demo() -> CommandResult {
    let start = Instant::now();
    let say = |text: &str| println!("{:5.1} s  {text}", start.elapsed().as_secs_f64());
    let mut fleet = DemoFleet::start()?;
    say("platform, 8 daemons and 8 upstreams run in 2 regions");
    let platform = fleet.platform_address();
    let generation = accept(platform, RECORDS)?;
    fleet.wait_generation(generation, START_LIMIT)?;
    say("generation 1 is in force on every daemon");
    let traffic = DemoTraffic::start(fleet.call_addresses());
    run_move(platform, "to-v2", "v1", "v2", MovePhase::Done)?;
    say("move to-v2: done");
    fleet.spoil_version("v3");
    let reason = run_move(platform, "to-v3", "v2", "v3", MovePhase::TakenBack)?;
    say(&format!("move to-v3: taken back: {reason}"));
    let tally = traffic.stop();
    let runs = fleet.count_runs();
    fleet.stop();
    say("every daemon stopped");
    Ok(format!("{tally}{runs}"))
}

fn accept(platform: SocketAddr, text: &str) -> Result<u64, CommandFailure> {
    let records = parse(text)?;
    Ok(accept_records(platform, &records)?.generation)
}

fn parse(text: &str) -> Result<Vec<ConfigRecord>, CommandFailure> {
    parse_records(text, SystemTime::now()).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        CommandFailure::Refused(lines.join("\n  ").into())
    })
}

/// Writes a move and waits for its end; returns the reason given.
fn run_move(
    platform: SocketAddr,
    name: &str,
    from: &str,
    to: &str,
    expected: MovePhase,
) -> Result<Box<str>, CommandFailure> {
    accept(
        platform,
        &format!(
            r#"{{"kind": "move", "schema": 2, "name": "{name}", "service": "stalls",
                "from": "{from}", "to": "{to}", "done_in_seconds": {MOVE_SECONDS}}}"#
        ),
    )?;
    let start = Instant::now();
    let mut shown = None;
    while start.elapsed() < MOVE_LIMIT {
        std::thread::sleep(LOOK_INTERVAL);
        let record = read_move(platform, name)?;
        if shown != Some(record.share) {
            let share = record.share;
            println!(
                "         {name}: {} {}% of checks, {}% of bookings",
                to, share.checks, share.bookings
            );
            shown = Some(share);
        }
        if record.phase == expected {
            return Ok(record.reason);
        }
        if record.phase.is_ended() {
            let text = format!("move {name} ended otherwise: {}", record.reason);
            return Err(CommandFailure::Refused(text.into()));
        }
    }
    Err(CommandFailure::TimedOut(
        format!("move {name} did not end").into(),
    ))
}

fn read_move(platform: SocketAddr, name: &str) -> Result<MoveRecord, CommandFailure> {
    let store = open_store(platform);
    let unavailable = |error: String| CommandFailure::Unavailable(error.into());
    let mark = read_head(&store).map_err(|error| unavailable(error.to_string()))?;
    let snapshot = fetch_snapshot(&store, &mark).map_err(|error| unavailable(error.to_string()))?;
    let record = snapshot.moves.get(name).cloned();
    record.ok_or_else(|| unavailable(format!("move {name} is not accepted")))
}
