//! A roll-out order that is sent after the store has come back from an older copy.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use crate::endpoint::Endpoint;
use crate::fleet::config;
use crate::fleet::Fleet;
use crate::fleet::Machine;
use crate::fleet::Route;
use crate::record::Record;

const SERVICE: &str = "stalls";
const ORDER: &str = "rollout/stalls";
/// Bounds of the rule.
const CANARY_SHARE: f64 = 0.1;
const CANARY_SLACK: f64 = 50.0;
const ROLLBACK: Duration = Duration::from_millis(5000);
/// Time limit of an order.
const DURATION: Duration = Duration::from_secs(16);
/// The clients' requests: ten clients, each with a request in this time.
const PAUSE: Duration = Duration::from_millis(40);

fn machine(number: u8, version: &str, failing: u64) -> Machine {
    Machine {
        number,
        zone: match number % 2 {
            0 => "za",
            _ => "zb",
        },
        service: SERVICE.into(),
        version: version.into(),
        failing,
    }
}

fn order(to: &str) -> String {
    let seconds = DURATION.as_secs();
    format!("{{\"service\":\"{SERVICE}\",\"to\":\"{to}\",\"duration_s\":{seconds}}}")
}

fn put_config(fleet: &Fleet, version: u32) -> u64 {
    let routes = [Route {
        prefix: "/free/",
        service: SERVICE,
    }];
    // Each version has another limit that no request here comes near.
    let text = config(version, &routes, 16_384 + version);
    fleet.store.put(&[("op", "config", text)])
}

/// Waits until the report on the order names a state.
fn await_state(fleet: &Fleet, to: &str, state: &str, until: Duration) -> bool {
    while fleet.now() < until {
        let report = fleet.store.get("status", ORDER);
        let is_there = report.is_some_and(|(text, _)| text.contains(to) && text.contains(state));
        if is_there {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Returns whether the rule held.
pub fn run(fleet: &mut Fleet, record: &mut Record, has_trouble: bool) -> Result<bool, String> {
    put_config(fleet, 1);
    for number in 1..=4 {
        fleet.add(&machine(number, "v1", 0), true)?;
    }
    fleet.await_ready(&[1, 2, 3, 4])?;
    record.note(fleet, "four machines with version v1 are ready");
    std::thread::sleep(Duration::from_secs(3));
    let is_over = Arc::new(AtomicBool::new(false));
    for client in 0..10 {
        fleet.client(1 + client % 4, "/free/stall", PAUSE, &is_over);
    }
    std::thread::sleep(Duration::from_secs(4));
    fleet.store.take_copy();
    record.note(
        fleet,
        format!("the copy is at version {}", fleet.store.version()),
    );
    // Configurations in quick succession.
    for version in 2..=13 {
        put_config(fleet, version);
        std::thread::sleep(Duration::from_millis(330));
    }
    let row = fleet.store.put(&[("op", ORDER, order("v2"))]);
    record.note(
        fleet,
        format!("order of v2, a bad version, at version {row}"),
    );
    let mut second = Vec::new();
    for number in 5..=6 {
        second.push(fleet.add(&machine(number, "v2", 50), false)?);
    }
    let until = fleet.now() + DURATION;
    let is_reverted = await_state(fleet, "v2", "reverted", until);
    record.note(fleet, format!("v2 reverted: {is_reverted}"));
    if !is_reverted {
        return Err("the first roll-out was not reverted".into());
    }
    if has_trouble {
        fleet.store.go_away();
        record.note(fleet, "drill: the store is away");
        std::thread::sleep(Duration::from_secs(1));
        fleet.store.come_back();
        let version = fleet.store.version();
        record.note(
            fleet,
            format!(
                "drill: the store is back from the copy; the operator has written its rows \
                 again; it is at version {version}"
            ),
        );
    }
    std::thread::sleep(Duration::from_secs(3));
    let drained: Vec<Endpoint> = std::mem::take(&mut second);
    for endpoint in &drained {
        endpoint.drain(crate::fleet::DRAIN);
    }
    record.note(fleet, "the endpoints of v2 drain");
    std::thread::sleep(Duration::from_secs(5));
    for number in 5..=6 {
        fleet.signal(number, "TERM");
    }
    std::thread::sleep(Duration::from_secs(7));
    let row = fleet.store.put(&[("op", ORDER, order("v3"))]);
    let ordered = fleet.now();
    record.note(
        fleet,
        format!("order of v3, a bad version, at version {row}"),
    );
    for number in 7..=10 {
        fleet.add(&machine(number, "v3", 50), false)?;
    }
    let limit = ordered + DURATION;
    fleet.sleep_until(limit);
    let report = fleet.store.get("status", ORDER).map(|(text, _)| text);
    record.note(fleet, format!("report at the time limit: {report:?}"));
    std::thread::sleep(Duration::from_secs(1));
    is_over.store(true, Ordering::Relaxed);
    std::thread::sleep(Duration::from_secs(1));
    Ok(judge(fleet, record, ordered, limit))
}

fn judge(fleet: &Fleet, record: &mut Record, ordered: Duration, limit: Duration) -> bool {
    let runs = fleet.runs.lock().expect("no panic").clone();
    let sent = fleet.sent.lock().expect("no panic").clone();
    let window = runs
        .iter()
        .filter(|run| run.at >= ordered && run.at <= limit);
    let all = window.clone().count();
    let bad: Vec<_> = window.filter(|run| run.version == "v3").collect();
    let most = CANARY_SHARE * all as f64 + CANARY_SLACK;
    let mut is_kept = bad.len() as f64 <= most;
    record.note(
        fleet,
        format!(
            "from the order of v3 to its time limit {all} requests ran, {} of them at v3; at \
             most {most:.0} may",
            bad.len()
        ),
    );
    // Of the answers, those of a failing status are bad.
    let fiftieth = bad.iter().filter(|run| run.status >= 500).nth(49);
    if let Some(fiftieth) = fiftieth {
        let last_sent = fiftieth.at + ROLLBACK;
        let late = runs.iter().filter(|run| run.version == "v3").filter(|run| {
            sent.iter()
                .any(|sent| sent.request == run.request && sent.at > last_sent)
        });
        let late = late.count();
        is_kept &= late == 0;
        record.note(
            fleet,
            format!(
                "the fiftieth bad answer of v3 was begun at {} ms; v3 ran {late} requests that \
                 were sent over 5 s later",
                fiftieth.at.as_millis()
            ),
        );
    }
    is_kept
}
