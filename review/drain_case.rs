//! DRAIN: an endpoint departs, its daemon is restarted, and a ping that the endpoint sent before its
//! departure arrives late.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::endpoint::Deed;
use crate::fleet::DRAIN;
use crate::fleet::Fleet;
use crate::fleet::MachineSpec;
use crate::fleet::RouteSpec;
use crate::fleet::STABILITY;
use crate::record::Record;

/// Time from the ack of the departure to the kill of the daemon.
const KILL_AT: Duration = Duration::from_millis(300);

/// Time from the ack to the daemon's next start.
const RESTART_AT: Duration = Duration::from_millis(800);

/// Time from the ack to the arrival of the late ping.
const LATE_PING_AT: Duration = Duration::from_millis(2_000);

/// Time from the ack to the endpoint's exit.
const EXIT_AT: Duration = Duration::from_millis(9_000);

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let Some(mut fleet) = Fleet::new(record.clone()) else {
        return Verdict::NotRun("no free addresses");
    };
    let region = "noord-holland";
    for (zone, service) in [
        ("zaandam", "stalboek"),
        ("zaandam", "paardregister"),
        ("purmerend", "stalboek"),
    ] {
        let spec = MachineSpec {
            zone,
            region,
            service,
            version: "v1",
            capacity: 9,
            keeps_running: false,
        };
        if fleet.add(&spec).is_none() {
            return Verdict::NotRun("a daemon didn't start");
        }
    }
    let route = |name, prefix, service| RouteSpec {
        name,
        prefix,
        kind: "idempotent",
        service,
        timeout_ms: 800,
        target_ms: 300,
        priority: 2,
    };
    let routes = [
        route("stall-lookup", "/stalls/", "stalboek"),
        route("feed-stock", "/feed/", "paardregister"),
    ];
    fleet.put_config(1, &routes);
    if !fleet.wait_served("/stalls/w20") || !fleet.wait_served("/feed/w20") {
        return Verdict::NotRun("the daemons didn't get ready");
    }
    fleet.end_bootstrap();
    let daemon = fleet.machines[0].clone();
    let sender = fleet.machines[1].clone();
    let leaving = fleet.endpoints[0].clone();
    // All machines are in touch when the departure comes.
    let warm_until = Instant::now() + STABILITY + Duration::from_millis(1_500);
    while Instant::now() < warm_until {
        fleet.get(&sender, "/stalls/w20", 800);
        thread::sleep(Duration::from_millis(30));
    }
    let late_ping = leaving.ping_body();
    record.write("the endpoint sends a ping, which is held up on its way");
    if !leaving.depart() {
        return Verdict::NotRun("the departure wasn't acknowledged");
    }
    let acked = Instant::now();
    record.write(&format!("departure of {} acknowledged", leaving.id()));
    let (mut is_killed, mut is_back, mut is_pinged) = (!has_trouble, !has_trouble, false);
    while acked.elapsed() < EXIT_AT {
        if !is_killed && acked.elapsed() >= KILL_AT {
            daemon.kill();
            is_killed = true;
        }
        if !is_back && acked.elapsed() >= RESTART_AT {
            if daemon.spawn().is_none() {
                return Verdict::NotRun("the daemon didn't start again");
            }
            is_back = true;
        }
        if !is_pinged && acked.elapsed() >= LATE_PING_AT {
            let is_acked = leaving.send_ping(&late_ping);
            record.write(&format!(
                "the held-up ping arrives; acknowledged: {is_acked}"
            ));
            is_pinged = true;
        }
        fleet.get(&sender, "/stalls/w20", 800);
        thread::sleep(Duration::from_millis(30));
    }
    leaving.exit();
    record.write(&format!("endpoint {} exits", leaving.id()));
    // The daemon counts again once it is in touch; the sender was all the time.
    let started = *daemon.started.lock().unwrap();
    let from = (acked + DRAIN).max(started + STABILITY);
    let mut late = 0;
    for arrival in leaving.arrivals() {
        if arrival.at > from && arrival.deed == Deed::Ran {
            late += 1;
        }
    }
    record.write(&format!(
        "{late} requests reached {} later than {:.3} s, which is {} ms or more after the ack, by machines in touch",
        leaving.id(),
        record.seconds(from),
        DRAIN.as_millis()
    ));
    match late {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
