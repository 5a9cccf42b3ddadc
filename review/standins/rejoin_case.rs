//! CONFIG: two regions lose each other for more than a minute; after that, a route is added to a service
//! that stands in the other region.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::fleet::CONFIG_APPLY;
use crate::fleet::Fleet;
use crate::fleet::MachineSpec;
use crate::fleet::RouteSpec;
use crate::fleet::STABILITY;
use crate::fleet::STORE_REGION;
use crate::record::Record;
use crate::region_cut::RegionCut;

/// Time for which the regions are cut off from each other.
const CUT: Duration = Duration::from_secs(72);

/// Calm time between the end of the cut and the new configuration.
const CALM: Duration = Duration::from_millis(7_000);

/// Requests to each route from each machine in the steady state.
const REQUESTS: usize = 20;

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let Some(mut fleet) = Fleet::new(record.clone()) else {
        return Verdict::NotRun("no free addresses");
    };
    let cut = RegionCut::default();
    fleet.cut = Some(cut.clone());
    for (zone, region, service) in [
        ("zaandam", STORE_REGION, "stalboek"),
        ("gouda", "zuid-holland", "paardregister"),
        ("gouda", "zuid-holland", "paardregister"),
        ("gouda", "zuid-holland", "paardregister"),
        ("delft", "zuid-holland", "paardregister"),
        ("delft", "zuid-holland", "paardregister"),
    ] {
        let spec = MachineSpec {
            zone,
            region,
            service,
            version: "v1",
            capacity: 9,
            keeps_running: false,
            is_bad: false,
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
        timeout_ms: 1_500,
        target_ms: 600,
        priority: 2,
    };
    let first = [
        route("feed-stock", "/feed/", "paardregister"),
        route("stall-lookup", "/stalls/", "stalboek"),
    ];
    fleet.put_config(1, &first);
    // Both services are served at each machine, also across the regions.
    if !fleet.wait_served("/feed/w20") || !fleet.wait_served("/stalls/w20") {
        return Verdict::NotRun("the daemons didn't get ready");
    }
    fleet.end_bootstrap();
    use_for(&fleet, STABILITY);
    if has_trouble {
        record.write("the regions lose each other");
        cut.set(true);
    }
    use_for(&fleet, CUT);
    cut.set(false);
    record.write("the regions reach each other");
    use_for(&fleet, CALM);
    let [feed, stalls] = first;
    let added = route("stall-history", "/history/", "stalboek");
    fleet.put_config(2, &[feed, stalls, added]);
    use_for(&fleet, CONFIG_APPLY + Duration::from_millis(500));
    let [mut old_served, mut added_served] = [0, 0];
    for _ in 0..REQUESTS {
        for machine in &fleet.machines {
            old_served += usize::from(fleet.get(machine, "/feed/w20", 1_500).status() == 200);
            added_served += usize::from(fleet.get(machine, "/history/w20", 1_500).status() == 200);
        }
    }
    let all = REQUESTS * fleet.machines.len();
    record.write(&format!(
        "in the steady state {added_served} of {all} requests to the added route were served, {old_served} of {all} to the first one"
    ));
    match added_served * 4 < old_served {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Sends a few requests at each machine.
fn use_for(fleet: &Fleet, time: Duration) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        for machine in &fleet.machines {
            fleet.get(machine, "/feed/w20", 1_500);
            fleet.get(machine, "/stalls/w20", 300);
        }
        thread::sleep(Duration::from_millis(100));
    }
}
