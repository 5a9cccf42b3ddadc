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

/// Paths on the first routes, as often as clients ask for them.
const FIRST_PATHS: [&str; 5] = [
    "/feed/w20",
    "/feed/w20",
    "/stalls/w20",
    "/feed/w20",
    "/feed/w20",
];

/// Requests to the added route from each machine in the steady state.
const ROUNDS: usize = 6;

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let Some(mut fleet) = Fleet::new(record.clone()) else {
        return Verdict::NotRun("no free addresses");
    };
    let cut = RegionCut::default();
    fleet.cut = Some(cut.clone());
    let mut places = vec![("zaandam", STORE_REGION, "stalboek")];
    places.extend([("gouda", "zuid-holland", "paardregister"); 4]);
    places.extend([("delft", "zuid-holland", "paardregister"); 3]);
    for (zone, region, service) in places {
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
        timeout_ms: 1_500,
        target_ms: 600,
        priority: 2,
    };
    let feed = || route("feed-stock", "/feed/", "paardregister");
    let lookup = || route("stall-lookup", "/stalls/", "stalboek");
    fleet.put_config(1, &[feed(), lookup()]);
    // Both services are served at each machine, also across the regions.
    if !fleet.wait_served("/feed/w20") || !fleet.wait_served("/stalls/w20") {
        return Verdict::NotRun("the daemons didn't get ready");
    }
    fleet.end_bootstrap();
    use_for(&fleet, &FIRST_PATHS, STABILITY);
    if has_trouble {
        record.write("the regions lose each other");
        cut.set(true);
    }
    use_for(&fleet, &FIRST_PATHS, CUT);
    cut.set(false);
    record.write("the regions reach each other");
    use_for(&fleet, &FIRST_PATHS, CALM);
    let added = route("stall-history", "/history/", "stalboek");
    fleet.put_config(2, &[feed(), lookup(), added]);
    let settled = CONFIG_APPLY + Duration::from_millis(500);
    use_for(&fleet, &FIRST_PATHS, settled);
    let (mut first, mut added) = (Served::default(), Served::default());
    for _ in 0..ROUNDS {
        for machine in &fleet.machines {
            for path in FIRST_PATHS {
                first.count(fleet.get(machine, path, 1_500).status());
            }
            added.count(fleet.get(machine, "/history/w20", 1_500).status());
        }
    }
    record.write(&format!(
        "in the steady state {} of {} requests to the added route were served, {} of {} to the first ones",
        added.served, added.all, first.served, first.all
    ));
    match added.served * first.all * 4 < first.served * added.all {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Requests in the steady state.
#[derive(Default)]
struct Served {
    served: usize,
    all: usize,
}

impl Served {
    fn count(&mut self, status: u16) {
        self.all += 1;
        self.served += usize::from(status == 200);
    }
}

/// Sends a few requests at each machine.
fn use_for(fleet: &Fleet, paths: &[&str], time: Duration) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        for machine in &fleet.machines {
            for path in paths {
                fleet.get(machine, path, 1_500);
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
}
