//! A request that crashes the endpoints that run it, from a caller that leaves before the crash.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::endpoint::CRASH_PATH;
use crate::fleet::config;
use crate::fleet::Fleet;
use crate::fleet::KeptClient;
use crate::fleet::Machine;
use crate::fleet::Route;
use crate::fleet::STABILITY;
use crate::record::Record;

const MACHINES: u8 = 5;
/// Times at which the caller is impatient, and how many copies it sends each time: for 5.5 s.
const ROUNDS: usize = 2;
const COPIES: usize = 11;
/// Time between two copies of the request.
const PACE: Duration = Duration::from_millis(500);
/// Time between the two rounds.
const REST: Duration = Duration::from_secs(5);
/// Time after which the caller leaves: half of the route's target time. The crash comes after 0.3 s.
const PATIENCE: Duration = Duration::from_millis(150);
/// Time limit of the request, for which the caller waits without the disruption.
const TIME_LIMIT: Duration = Duration::from_millis(800);
/// Retries that may reach endpoints.
const MOST: usize = 3;

/// Returns whether the rule held.
pub fn run(fleet: &mut Fleet, record: &mut Record, has_trouble: bool) -> Result<bool, String> {
    let routes = [Route {
        prefix: "/free/",
        service: "stalls",
    }];
    fleet
        .store
        .put(&[("op", "config", config(1, &routes, 16_384))]);
    let numbers: Vec<u8> = (1..=MACHINES).collect();
    for number in &numbers {
        let machine = Machine {
            number: *number,
            zone: match number % 2 {
                0 => "za",
                _ => "zb",
            },
            service: "stalls".into(),
            version: "v1".into(),
            failing: 0,
        };
        fleet.add(&machine, true)?;
    }
    fleet.await_ready(&numbers)?;
    thread::sleep(STABILITY);
    let is_over = Arc::new(AtomicBool::new(false));
    for number in &numbers {
        let path = format!("/free/stall-{number}");
        fleet.client(*number, &path, Duration::from_millis(100), &is_over);
    }
    thread::sleep(Duration::from_secs(2));
    let patience = match has_trouble {
        true => PATIENCE,
        false => TIME_LIMIT,
    };
    for round in 0..ROUNDS {
        record.note(
            fleet,
            format!(
                "{COPIES} copies of a request that crashes endpoints, one each 0.5 s; the caller \
                 leaves after {} ms",
                patience.as_millis()
            ),
        );
        let begun = fleet.now();
        for index in 0..COPIES {
            fleet.sleep_until(begun + PACE * index as u32);
            let number = 1 + ((round * COPIES + index) % usize::from(MACHINES)) as u8;
            let sent = Arc::clone(&fleet.sent);
            let mut client = KeptClient::new(fleet.start, sent, number, fleet.outbound(number));
            let path = format!("/free{CRASH_PATH}");
            client.get_or_leave(&path, patience, "crashes endpoints");
        }
        thread::sleep(REST);
    }
    is_over.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(1));
    Ok(judge(fleet, record))
}

fn judge(fleet: &Fleet, record: &mut Record) -> bool {
    let runs = fleet.runs.lock().expect("no panic").clone();
    let sent = fleet.sent.lock().expect("no panic").clone();
    let reached: Vec<_> = runs.iter().filter(|run| run.status == 0).collect();
    let lost = sent
        .iter()
        .filter(|sent| sent.note.is_empty() && sent.status != 200)
        .count();
    // All machines are in touch all the while. The crash follows 0.3 s after the begin of the run.
    let third = reached
        .get(2)
        .map(|run| run.at + Duration::from_millis(300));
    let retries = third.map_or(0, |third| {
        let late = reached.iter().filter(|run| run.at > third + STABILITY);
        late.count()
    });
    record.note(
        fleet,
        format!(
            "the request has reached {} endpoints; later than 4 s after the third crash {retries} \
             times, {MOST} may be; of {} other requests {lost} were not served",
            reached.len(),
            sent.len() - ROUNDS * COPIES
        ),
    );
    retries <= MOST
}
