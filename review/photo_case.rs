//! BUDGET: a request crashes each endpoint that runs it, while its answer is being sent, and comes again.

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
const REQUEST_TIME: Duration = Duration::from_secs(30);

/// Pause between two of its attempts.
const REQUEST_PAUSE: Duration = Duration::from_millis(500);

const LIMIT_MS: u64 = 1_500;

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let Some(mut fleet) = Fleet::new(record.clone()) else {
        return Verdict::NotRun("no free addresses");
    };
    for (zone, service) in [
        ("kartli-a", "archive"),
        ("kartli-a", "counter"),
        ("kartli-b", "archive"),
    ] {
        let spec = MachineSpec {
            zone,
            region: "kartli",
            service,
            version: "v1",
            capacity: 6,
            keeps_running: false,
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
        timeout_ms: LIMIT_MS as u32,
        target_ms: 400,
        priority,
    };
    fleet.put_config(
        1,
        &[
            route("pan-status", "/pans/", "idempotent", "counter", 2),
            route("photo-report", "/photos/", "download", "archive", 2),
        ],
    );
    if !fleet.wait_served("/photos/photo") || !fleet.wait_served("/pans/w90") {
        return Verdict::NotRun("the daemons didn't get ready");
    }
    thread::sleep(STABILITY);
    let path = match has_trouble {
        true => "/photos/crash-photo",
        false => "/photos/other-photo",
    };
    let start = Instant::now();
    let mut turn = 0;
    while start.elapsed() < REQUEST_TIME {
        let machine = &fleet.machines[turn % fleet.machines.len()];
        fleet.get(machine, path, LIMIT_MS);
        thread::sleep(REQUEST_PAUSE);
        turn += 1;
    }
    let mut crashes = Vec::new();
    let mut arrivals = Vec::new();
    for endpoint in &fleet.endpoints {
        crashes.extend(endpoint.crashes());
        let of_path = endpoint.arrivals().into_iter();
        let of_path = of_path.filter(|arrival| arrival.path == path);
        arrivals.extend(of_path.map(|arrival| arrival.at));
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
