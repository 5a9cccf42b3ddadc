//! CONFIG: two machines of a zone freeze, the relays of that zone, and a configuration is written right
//! after.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::fleet::CONFIG_APPLY;
use crate::fleet::Fleet;
use crate::fleet::MachineSpec;
use crate::fleet::RouteSpec;
use crate::fleet::STABILITY;
use crate::record::Record;

/// Time for which the machines freeze.
const FREEZE: Duration = Duration::from_millis(4_900);

/// Number of freezes, each with a configuration.
const EPISODES: u32 = 6;

/// Time from the freeze to the configuration.
const CONFIG_AT: Duration = Duration::from_millis(300);

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let Some(mut fleet) = Fleet::new(record.clone()) else {
        return Verdict::NotRun("no free addresses");
    };
    for (zone, region, service) in [
        ("busan-a", "yeongnam", "courtdesk"),
        ("busan-a", "yeongnam", "rakeyard"),
        ("suwon-a", "sudogwon", "courtdesk"),
        ("suwon-a", "sudogwon", "courtdesk"),
        ("suwon-a", "sudogwon", "rakeyard"),
        ("suwon-a", "sudogwon", "rakeyard"),
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
    let first = configuration(1);
    fleet.put_config(1, &first.routes());
    if !fleet.wait_served("/courts/w20") || !fleet.wait_served("/season/w20") {
        return Verdict::NotRun("the daemons didn't get ready");
    }
    let mut stale = 0;
    for version in 2..2 + EPISODES {
        keep_calm(&fleet);
        stale += play_episode(&fleet, version, has_trouble);
    }
    record.write(&format!(
        "{stale} requests sent more than {} ms after the ack of a configuration were handled as only an older one allows",
        CONFIG_APPLY.as_millis()
    ));
    match stale {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Routes of a version: `court-check` moves to the other service each time, and one route is added.
struct VersionRoutes {
    added_name: String,
    added_prefix: String,
    moved_to: &'static str,
}

fn configuration(version: u32) -> VersionRoutes {
    VersionRoutes {
        added_name: format!("added-{version}"),
        added_prefix: format!("/added{version}/"),
        moved_to: ["rakeyard", "courtdesk"][version as usize % 2],
    }
}

impl VersionRoutes {
    fn routes(&self) -> [RouteSpec<'_>; 3] {
        let route = |name, prefix, service| RouteSpec {
            name,
            prefix,
            kind: "idempotent",
            service,
            timeout_ms: 1_200,
            target_ms: 400,
            priority: 2,
        };
        [
            route("court-check", "/courts/", self.moved_to),
            route("season-log", "/season/", "rakeyard"),
            route(&self.added_name, &self.added_prefix, "rakeyard"),
        ]
    }
}

/// Sends requests at all machines for longer than it takes until all are in touch.
fn keep_calm(fleet: &Fleet) {
    let until = Instant::now() + STABILITY + Duration::from_millis(1_500);
    while Instant::now() < until {
        for machine in &fleet.machines {
            fleet.get(machine, "/courts/w20", 300);
            fleet.get(machine, "/season/w20", 300);
        }
        thread::sleep(Duration::from_millis(30));
    }
}

/// Freezes both relays, writes a configuration and returns the number of requests that machines in
/// touch handled as only the one before allows.
fn play_episode(fleet: &Fleet, version: u32, has_trouble: bool) -> usize {
    let frozen = [fleet.machines[2].clone(), fleet.machines[3].clone()];
    let others = [4, 5, 0, 1].map(|index| fleet.machines[index].clone());
    let routes = configuration(version);
    let old_service = configuration(version - 1).moved_to;
    let old_runners = fleet.endpoints.iter();
    let old_runners = old_runners.filter(|one| one.service() == old_service);
    let old_runners: Vec<String> = old_runners.map(|one| one.id().to_owned()).collect();
    let frozen_at = Instant::now();
    if has_trouble {
        for machine in &frozen {
            machine.signal("STOP");
        }
    }
    thread::sleep(CONFIG_AT);
    let acked = fleet.put_config(version, &routes.routes());
    let added_path = format!("{}w20", routes.added_prefix);
    let mut stale = 0;
    while frozen_at.elapsed() < FREEZE {
        for machine in &others {
            let sent = Instant::now();
            let added = fleet.get(machine, &added_path, 200);
            let moved = fleet.get(machine, "/courts/w20", 200);
            if sent <= acked + CONFIG_APPLY {
                continue;
            }
            let late = (sent - acked).as_millis();
            if added.status() == 404 {
                stale += 1;
                let what = format!("refuses with 404 what configuration {version} allows");
                let what = format!("{} {what}, {late} ms after its ack", machine.name);
                fleet.record.write(&what);
            }
            if moved.status() == 200 && old_runners.contains(&moved.signature()) {
                stale += 1;
                let what =
                    format!("sends to {old_service} what configuration {version} moved away");
                let what = format!("{} {what}, {late} ms after its ack", machine.name);
                fleet.record.write(&what);
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    if has_trouble {
        for machine in &frozen {
            machine.signal("CONT");
        }
    }
    stale
}
