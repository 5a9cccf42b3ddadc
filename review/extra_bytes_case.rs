//! TWICE: some endpoints send additional bytes after a complete answer, late; they are taken for the answer
//! to the next request on that connection.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::endpoint::Deed;
use crate::fleet::Fleet;
use crate::fleet::MachineSpec;
use crate::fleet::RouteSpec;
use crate::fleet::STABILITY;
use crate::record::Record;

/// Time for which endpoints send additional bytes.
const GARBLE_TIME: Duration = Duration::from_secs(5);

/// Endpoints that do: 0.6 of five.
const GARBLING: usize = 3;

/// Clients that send one request after another.
const CLIENTS: usize = 24;

const LIMIT_MS: u64 = 2_500;

/// A request that must not run twice.
const BOOKING: &str = "/crew/w120";

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let Some(mut fleet) = Fleet::new(record.clone()) else {
        return Verdict::NotRun("no free addresses");
    };
    for zone in ["suwon-a", "suwon-a", "suwon-a", "incheon-b", "incheon-b"] {
        let spec = MachineSpec {
            zone,
            region: "sudogwon",
            service: "courtdesk",
            version: "v1",
            capacity: 9,
            keeps_running: false,
        };
        if fleet.add(&spec).is_none() {
            return Verdict::NotRun("a daemon didn't start");
        }
    }
    let route = |name, prefix, kind, priority| RouteSpec {
        name,
        prefix,
        kind,
        service: "courtdesk",
        timeout_ms: LIMIT_MS as u32,
        target_ms: 500,
        priority,
    };
    fleet.put_config(
        1,
        &[
            route("court-check", "/court/", "idempotent", 2),
            route("crew-book", "/crew/", "non_idempotent", 1),
        ],
    );
    if !fleet.wait_served("/court/w90") {
        return Verdict::NotRun("the daemons didn't get ready");
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let refused: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let machine = Arc::clone(&fleet.machines[number % fleet.machines.len()]);
        let (requests, is_over) = (fleet.requests(), Arc::clone(&is_over));
        let refused = Arc::clone(&refused);
        clients.push(thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                let (method, path, body) = match number % 2 {
                    0 => ("POST", BOOKING, "a crew"),
                    _ => ("GET", "/court/w90", ""),
                };
                let (id, end) = requests.send_as(&machine, method, path, body, LIMIT_MS, LIMIT_MS);
                if end.status() == 503 && end.signature().is_empty() {
                    refused.lock().unwrap().push(id);
                }
                thread::sleep(Duration::from_millis(10));
            }
        }));
    }
    thread::sleep(STABILITY + Duration::from_millis(500));
    let start = Instant::now();
    if has_trouble {
        for endpoint in &fleet.endpoints[..GARBLING] {
            endpoint.set_garbling(true);
        }
    }
    thread::sleep(GARBLE_TIME.saturating_sub(start.elapsed()));
    for endpoint in &fleet.endpoints {
        endpoint.set_garbling(false);
    }
    thread::sleep(Duration::from_millis(500));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let mut runs: HashMap<String, usize> = HashMap::new();
    for endpoint in &fleet.endpoints {
        for arrival in endpoint.arrivals() {
            if arrival.deed == Deed::Ran && arrival.path == BOOKING {
                *runs.entry(arrival.id).or_default() += 1;
            }
        }
    }
    let twice = runs.values().filter(|count| **count > 1).count();
    let refused = refused.lock().unwrap();
    let refused = refused.iter().filter(|id| runs.contains_key(*id)).count();
    record.write(&format!(
        "{twice} of {} bookings ran more than once; {refused} were answered 503 by the daemon and had run",
        runs.len()
    ));
    match twice > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
