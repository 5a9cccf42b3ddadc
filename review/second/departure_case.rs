//! An endpoint departs while the store is down; all daemons are killed before the store is back. A ping
//! from before the departure arrives late.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::endpoint::EndpointWork;
use crate::fleet::Fleet;
use crate::fleet::Place;
use crate::fleet::config;
use crate::http::call;
use crate::record::CaseRecord;

/// Time for which the store is down.
const OUTAGE: Duration = Duration::from_millis(4_500);

/// Times since the beginning of the outage at which the endpoint departs, the ping arrives, and the
/// endpoint ends.
const DEPART_AT: Duration = Duration::from_millis(300);
const PING_AT: Duration = Duration::from_millis(5_500);
const END_AT: Duration = Duration::from_millis(12_000);

/// Time without a disruption after which a machine is in touch, `stability_ms`.
const STABILITY: Duration = Duration::from_millis(4_000);

/// Time after an acknowledgement after which no request may arrive, `drain_ms`.
const DRAIN: Duration = Duration::from_millis(2_500);

/// The machine whose endpoint departs.
const LEAVING: usize = 1;

const ZONES: [(&str, &str); 4] = [
    ("zaandam", "noord-holland"),
    ("zaandam", "noord-holland"),
    ("purmerend", "noord-holland"),
    ("gouda", "zuid-holland"),
];

pub fn run(record: &CaseRecord, has_trouble: bool) -> Outcome {
    let work: EndpointWork = Arc::new(|state, head, reader| {
        let id = head.header("request-id").to_owned();
        std::thread::sleep(Duration::from_millis(20));
        state.answer(&id, b"stalls", reader)
    });
    let config = config(7, &[("look", "idempotent", "stalboek")], 1024 * 1024);
    let places = ZONES.map(|(zone, region)| Place {
        zone,
        region,
        service: "stalboek",
    });
    // Each disruption can be left out alone, for a comparison.
    let has = |name| has_trouble && std::env::var_os(name).is_none();
    let (has_outage, has_kill) = (has("NO_OUTAGE"), has("NO_KILL"));
    let mut fleet = Fleet::start(record, &places, &config, 1000.0, &work)?;
    let endpoint = Arc::clone(&fleet.machines[LEAVING].endpoint);
    let admin = fleet.machines[LEAVING].admin;
    let start = Instant::now();
    let sleep_until = |time: Duration| std::thread::sleep(time.saturating_sub(start.elapsed()));
    if has_outage {
        record.line("the store is down");
        fleet.store.set_silent(true);
    }
    sleep_until(DEPART_AT);
    let late = endpoint.announcement();
    let is_acked = endpoint.depart(admin);
    let acked = Instant::now();
    record.line(format!(
        "endpoint {} departs, acknowledged: {is_acked}",
        endpoint.id
    ));
    if !is_acked {
        return Err("the departure was not acknowledged".to_owned());
    }
    std::thread::sleep(Duration::from_millis(200));
    if has_kill {
        fleet.restart_all(Duration::from_secs(1))?;
    }
    sleep_until(OUTAGE);
    fleet.store.set_silent(false);
    let calm = Instant::now();
    record.line("the store is up");
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for machine in &fleet.machines {
        let (outbound, is_over) = (machine.outbound, Arc::clone(&is_over));
        clients.push(std::thread::spawn(move || {
            let mut served = 0;
            for number in 0.. {
                if is_over.load(Ordering::SeqCst) {
                    break;
                }
                let id = format!("look-{}-{number}", outbound.port());
                let headers = [
                    ("Host", "ficu95.example"),
                    ("Request-Id", &*id),
                    ("Timeout-Ms", "800"),
                ];
                let limit = Duration::from_secs(1);
                let answer = call(outbound, "GET", "/look/1", &headers, &[], limit);
                served += usize::from(answer.is_some_and(|(head, _)| head.status() == 200));
                std::thread::sleep(Duration::from_millis(20));
            }
            served
        }));
    }
    sleep_until(PING_AT);
    let is_taken = endpoint.tell(admin, "PUT", &late);
    record.line(format!(
        "a ping from before the departure arrives, acknowledged: {is_taken}"
    ));
    sleep_until(END_AT);
    is_over.store(true, Ordering::SeqCst);
    let mut served = 0;
    for client in clients {
        served += client.join().map_err(|_| "a client failed".to_owned())?;
    }
    let in_touch = calm + STABILITY;
    let arrivals = endpoint.arrivals.lock().expect("no holder panicked");
    let late = arrivals.iter().filter(|at| **at > acked + DRAIN);
    let (all, counted) = (
        late.clone().count(),
        late.filter(|at| **at > in_touch).count(),
    );
    record.line(format!(
        "requests served: {served}; at endpoint {} later than {} ms after its acknowledgement: {all}, by machines in touch: {counted}",
        endpoint.id,
        DRAIN.as_millis()
    ));
    Ok(counted == 0)
}
