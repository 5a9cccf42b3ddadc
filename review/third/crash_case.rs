//! A request that crashes the endpoints that run it comes again after all daemons were killed.

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

const MACHINES: u8 = 6;
/// Pause between two copies of the request.
const PAUSE: Duration = Duration::from_millis(100);
/// Number of copies, each time that it comes.
const COPIES: usize = 20;
/// Retries that may reach endpoints.
const MOST: usize = 3;

fn machine(number: u8) -> Machine {
    Machine {
        number,
        zone: match number % 2 {
            0 => "za",
            _ => "zb",
        },
        service: "stalls".into(),
        version: "v1".into(),
        failing: 0,
    }
}

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
        fleet.add(&machine(*number), true)?;
    }
    fleet.await_ready(&numbers)?;
    thread::sleep(STABILITY);
    let is_over = Arc::new(AtomicBool::new(false));
    for number in &numbers {
        let path = format!("/free/stall-{number}");
        fleet.client(*number, &path, Duration::from_millis(100), &is_over);
    }
    thread::sleep(Duration::from_secs(2));
    record.note(
        fleet,
        format!("{COPIES} copies of a request that crashes endpoints"),
    );
    send_copies(fleet);
    thread::sleep(Duration::from_secs(5));
    if has_trouble {
        for number in &numbers {
            fleet.kill(*number);
        }
        record.note(fleet, "the processes of all daemons were killed");
        thread::sleep(Duration::from_secs(1));
        for number in &numbers {
            fleet.start_again(&machine(*number))?;
        }
        fleet.await_ready(&numbers)?;
        record.note(fleet, "all daemons are ready again");
    }
    // From here on the machines are in touch.
    thread::sleep(STABILITY + Duration::from_secs(4));
    record.note(fleet, format!("the request comes again: {COPIES} copies"));
    send_copies(fleet);
    thread::sleep(Duration::from_secs(3));
    is_over.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(1));
    Ok(judge(fleet, record))
}

/// Sends copies of the request at one machine after the other, each on a new connection.
fn send_copies(fleet: &Fleet) {
    for index in 0..COPIES {
        let number = 1 + (index % usize::from(MACHINES)) as u8;
        let (start, sent) = (fleet.start, Arc::clone(&fleet.sent));
        let address = fleet.outbound(number);
        thread::spawn(move || {
            let mut client = KeptClient::new(start, sent, number, address);
            let path = format!("/free{CRASH_PATH}");
            client.get(&path, "", "crashes endpoints");
        });
        thread::sleep(PAUSE);
    }
}

fn judge(fleet: &Fleet, record: &mut Record) -> bool {
    let runs = fleet.runs.lock().expect("no panic").clone();
    let sent = fleet.sent.lock().expect("no panic").clone();
    let reached: Vec<_> = runs.iter().filter(|run| run.status == 0).collect();
    let Some(third) = reached.get(2) else {
        record.note(
            fleet,
            format!("the request has crashed {} endpoints", reached.len()),
        );
        return true;
    };
    // The crash follows 0.3 s after the begin of the run.
    let counted_from = third.at + Duration::from_millis(300) + STABILITY;
    // The copies come only while all machines are in touch.
    let retries = reached.iter().filter(|run| run.at > counted_from).count();
    let lost = sent
        .iter()
        .filter(|sent| sent.note.is_empty() && sent.status != 200)
        .count();
    record.note(
        fleet,
        format!(
            "the request has reached {} endpoints; later than 4 s after the third crash, {retries} \
             times from machines in touch; {MOST} may be; of the other requests {lost} were not \
             served",
            reached.len()
        ),
    );
    retries <= MOST
}
