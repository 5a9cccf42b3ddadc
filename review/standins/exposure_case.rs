//! EXPOSURE: a bad version is reverted, and the operator orders the next version while the endpoints of
//! the bad one have not drained yet.

use std::sync::Arc;
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
use crate::json::Json;
use crate::record::Record;

/// Time limit of the requests: one that arrives was sent at most this long before.
const TIME_LIMIT_MS: u64 = 800;

/// Clients at each machine; together they send about 600 requests a second, as in the site file.
const CLIENTS: usize = 6;

const SERVICE: &str = "stalboek";

/// Time limit of a roll-out.
const DURATION: Duration = Duration::from_secs(16);

/// Time from `reverted` to the next order.
const NEXT_ORDER_AT: Duration = Duration::from_millis(500);

/// Time from `reverted` until the new endpoints drain.
const DRAIN_AT: Duration = Duration::from_millis(8_000);

const CANARY_SHARE: f64 = 0.1;
const CANARY_SLACK: f64 = 50.0;
const ROLLBACK: Duration = Duration::from_millis(5_000);

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let Some(mut fleet) = Fleet::new(record.clone()) else {
        return Verdict::NotRun("no free addresses");
    };
    let spec = |zone, service, version| MachineSpec {
        zone,
        region: "noord-holland",
        service,
        version,
        capacity: 9,
        keeps_running: false,
        is_bad: version == "v2",
    };
    for (zone, service) in [
        ("zaandam", SERVICE),
        ("purmerend", SERVICE),
        ("zaandam", "paardregister"),
    ] {
        if fleet.add(&spec(zone, service, "v1")).is_none() {
            return Verdict::NotRun("a daemon didn't start");
        }
    }
    let route = |name, prefix, kind, service, priority| RouteSpec {
        name,
        prefix,
        kind,
        service,
        timeout_ms: TIME_LIMIT_MS as u32,
        target_ms: 300,
        priority,
    };
    let routes = [
        route("stall-lookup", "/stalls/", "idempotent", SERVICE, 2),
        route("stall-booking", "/booking/", "non_idempotent", SERVICE, 1),
        route("feed-stock", "/feed/", "idempotent", "paardregister", 2),
    ];
    fleet.put_config(1, &routes);
    if !fleet.wait_served("/stalls/w20") || !fleet.wait_served("/feed/w20") {
        return Verdict::NotRun("the daemons didn't get ready");
    }
    fleet.end_bootstrap();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    let senders = fleet.machines.clone();
    let requests = fleet.requests();
    for number in 0..senders.len() * CLIENTS {
        let machine = &senders[number % senders.len()];
        let (machine, requests) = (machine.clone(), requests.clone());
        let is_over = is_over.clone();
        clients.push(thread::spawn(move || {
            let mut count = number;
            while !is_over.load(Ordering::SeqCst) {
                count += 1;
                match count % 4 {
                    0 => requests.send(
                        &machine,
                        "POST",
                        "/booking/w15",
                        "a stall",
                        TIME_LIMIT_MS,
                        TIME_LIMIT_MS,
                    ),
                    _ => requests.send(
                        &machine,
                        "GET",
                        "/stalls/w15",
                        "",
                        TIME_LIMIT_MS,
                        TIME_LIMIT_MS,
                    ),
                };
                thread::sleep(Duration::from_millis(10));
            }
        }));
    }
    thread::sleep(STABILITY + Duration::from_millis(1_000));
    let verdict = roll_out(&mut fleet, has_trouble, &spec);
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    match verdict {
        Ok(ordered) => judge(&fleet, ordered),
        Err(why) => Verdict::NotRun(why),
    }
}

fn order(fleet: &Fleet, version: &str) -> Instant {
    let seconds = DURATION.as_secs();
    let text = format!(r#"{{"service":"{SERVICE}","to":"{version}","duration_s":{seconds}}}"#);
    let acked = fleet.store.put("op", &format!("rollout/{SERVICE}"), &text);
    let what = format!("operator: order to roll out {version}, {seconds} s");
    fleet.record.write_at(acked, &what);
    acked
}

/// Plays the operator until the time limit of the first order; returns when that was given.
fn roll_out<'a>(
    fleet: &mut Fleet,
    has_trouble: bool,
    spec: &impl Fn(&'a str, &'a str, &'a str) -> MachineSpec<'a>,
) -> Result<Instant, &'static str> {
    for zone in ["zaandam", "purmerend"] {
        let added = fleet.add(&spec(zone, SERVICE, "v2"));
        added.ok_or("a daemon didn't start")?;
    }
    let ordered = order(fleet, "v2");
    let (mut reverted, mut is_next_ordered, mut is_drained) = (None, !has_trouble, false);
    let mut seen = String::new();
    while ordered.elapsed() < DURATION {
        thread::sleep(Duration::from_millis(20));
        let status = fleet.store.get("status", &format!("rollout/{SERVICE}"));
        let status = status.unwrap_or_default();
        if status != seen {
            fleet
                .record
                .write(&format!("status/rollout/{SERVICE}: {status}"));
            seen = status;
        }
        let report = Json::parse(&seen).unwrap_or(Json::Null);
        if report.get("state").text() == "reverted" && report.get("to").text() == "v2" {
            reverted.get_or_insert_with(Instant::now);
        }
        let Some(since) = reverted else {
            continue;
        };
        if !is_next_ordered && since.elapsed() >= NEXT_ORDER_AT {
            is_next_ordered = true;
            for zone in ["zaandam", "purmerend"] {
                let added = fleet.add(&spec(zone, SERVICE, "v3"));
                added.ok_or("a daemon didn't start")?;
            }
            order(fleet, "v3");
        }
        if !is_drained && since.elapsed() >= DRAIN_AT {
            is_drained = true;
            for endpoint in fleet.endpoints.iter().filter(|one| one.version() == "v2") {
                let is_acked = endpoint.drain();
                let what = format!(
                    "endpoint {} drains; acknowledged: {is_acked}",
                    endpoint.id()
                );
                fleet.record.write(&what);
            }
        }
    }
    reverted
        .map(|_| ordered)
        .ok_or("the bad version wasn't reverted")
}

fn judge(fleet: &Fleet, ordered: Instant) -> Verdict {
    let (mut all, mut bad) = (0, 0);
    let mut at_bad = Vec::new();
    let mut failures = Vec::new();
    for (endpoint, machine) in fleet.endpoints.iter().zip(&fleet.machines) {
        if endpoint.service() != SERVICE {
            continue;
        }
        // The machines that send are in touch all the time; those of v2 are once they have run for a while.
        let in_touch_from = *machine.started.lock().unwrap() + STABILITY;
        for arrival in endpoint.arrivals() {
            let is_in_time = arrival.at >= ordered && arrival.at < ordered + DURATION;
            if !is_in_time || arrival.deed != Deed::Ran {
                continue;
            }
            all += 1;
            if endpoint.version() == "v2" && arrival.at >= in_touch_from {
                bad += 1;
                at_bad.push(arrival.at);
            }
        }
        failures.extend(endpoint.failures());
    }
    failures.sort_unstable();
    let allowed = CANARY_SHARE * f64::from(all) + CANARY_SLACK;
    fleet.record.write(&format!(
        "of {all} requests that reached {SERVICE} between the order and its time limit, {bad} reached v2; {allowed:.0} are allowed"
    ));
    let mut late = 0;
    if let Some(fiftieth) = failures.get(49) {
        let from = *fiftieth + ROLLBACK + Duration::from_millis(TIME_LIMIT_MS);
        late = at_bad.iter().filter(|at| **at > from).count();
        fleet.record.write(&format!(
            "{late} requests reached v2 later than {:.3} s: they were sent more than {} ms after its 50th bad answer",
            fleet.record.seconds(from),
            ROLLBACK.as_millis()
        ));
    }
    match f64::from(bad) > allowed || late > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
