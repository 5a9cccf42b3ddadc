//! BUDGET: a request that crashes endpoints comes while they are full, so that they reject it; later it
//! comes again.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::fleet::Fleet;
use crate::fleet::MachineSpec;
use crate::fleet::RouteSpec;
use crate::fleet::STABILITY;
use crate::record::Record;

/// Retries that the rule allows after the third crash.
const ALLOWED: usize = 3;

/// Time for which the request comes again and again.
const POISON_TIME: Duration = Duration::from_secs(30);

/// Pause between two of its attempts.
const POISON_PAUSE: Duration = Duration::from_millis(300);

/// Clients that leave early, of all that send at that time.
const LEAVERS: usize = 30;
const STAYERS: usize = 90;

/// Slots of each endpoint, as at the smallest site.
const SLOTS: usize = 6;

/// Work of the clients that leave: the longest `stall-lookup`, 450 ms, at one of the slowest endpoints, 1.6 times as long.
const LONG_WORK: &str = "/stalls/w720";

/// Time after which they leave.
const PATIENCE_MS: u64 = 120;

const POISON: &str = "/stalls/crash";

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let Some(mut fleet) = Fleet::new(record.clone()) else {
        return Verdict::NotRun("no free addresses");
    };
    for (zone, service) in [
        ("zaandam", "stalboek"),
        ("zaandam", "paardregister"),
        ("purmerend", "stalboek"),
    ] {
        let spec = MachineSpec {
            zone,
            region: "noord-holland",
            service,
            version: "v1",
            capacity: SLOTS,
            keeps_running: service == "stalboek",
            is_bad: false,
        };
        if fleet.add(&spec).is_none() {
            return Verdict::NotRun("a daemon didn't start");
        }
    }
    let route = |name, prefix, kind, service, priority| RouteSpec {
        name,
        prefix,
        kind,
        service,
        timeout_ms: 1_500,
        target_ms: 600,
        priority,
    };
    fleet.put_config(
        1,
        &[
            route("stall-lookup", "/stalls/", "idempotent", "stalboek", 2),
            route(
                "stall-booking",
                "/booking/",
                "non_idempotent",
                "stalboek",
                1,
            ),
            route("feed-stock", "/feed/", "idempotent", "paardregister", 2),
        ],
    );
    if !fleet.wait_served("/stalls/w20") || !fleet.wait_served("/feed/w20") {
        return Verdict::NotRun("the daemons didn't get ready");
    }
    let sender = fleet.machines[1].clone();
    let warm_until = Instant::now() + STABILITY + Duration::from_millis(500);
    while Instant::now() < warm_until {
        fleet.get(&sender, "/stalls/w60", 1_500);
        thread::sleep(Duration::from_millis(30));
    }
    let mut clients = Vec::new();
    for _ in 0..STAYERS {
        let (requests, sender) = (fleet.requests(), sender.clone());
        clients.push(thread::spawn(move || {
            requests.send(&sender, "GET", "/feed/w20", "", 1_500, 1_500);
        }));
    }
    if has_trouble {
        // The endpoints go on with requests whose clients have left.
        for _ in 0..LEAVERS {
            let (requests, sender) = (fleet.requests(), sender.clone());
            clients.push(thread::spawn(move || {
                requests.send(&sender, "GET", LONG_WORK, "", 1_500, PATIENCE_MS);
            }));
            thread::sleep(Duration::from_millis(5));
        }
        // The last of them leave; the endpoints are full until the first work ends.
        thread::sleep(Duration::from_millis(PATIENCE_MS));
    }
    let start = Instant::now();
    let mut turn = 0;
    while start.elapsed() < POISON_TIME {
        let machine = &fleet.machines[turn % fleet.machines.len()];
        let bystander = {
            let (requests, sender) = (fleet.requests(), sender.clone());
            thread::spawn(move || {
                requests.send(&sender, "POST", "/booking/w60", "a stall", 1_500, 1_500)
            })
        };
        fleet.get(machine, POISON, 1_500);
        thread::sleep(POISON_PAUSE);
        let _ = bystander.join();
        turn += 1;
    }
    for client in clients {
        let _ = client.join();
    }
    let mut crashes = Vec::new();
    let mut arrivals = Vec::new();
    for endpoint in &fleet.endpoints {
        crashes.extend(endpoint.crashes());
        let poison = endpoint.arrivals().into_iter();
        let poison = poison.filter(|arrival| arrival.path == POISON);
        arrivals.extend(poison.map(|arrival| arrival.at));
    }
    crashes.sort_unstable();
    record.write(&format!("{} crashes in all", crashes.len()));
    let Some(third) = crashes.get(2) else {
        return Verdict::Held;
    };
    let from = *third + STABILITY;
    let late = arrivals.iter().filter(|at| **at > from).count();
    record.write(&format!(
        "{late} times the request reached an endpoint later than {:.3} s, {} ms after its third crash; {ALLOWED} are allowed",
        record.seconds(from),
        STABILITY.as_millis()
    ));
    match late > ALLOWED {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
