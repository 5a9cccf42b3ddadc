//! Accepted configurations reach every live daemon in time, never go back, and cost few bytes.

mod common;

use std::time::Duration;
use std::time::Instant;

use coltsfootweir::link::LinkCause;
use coltsfootweir::reports::LinkReport;

use common::CONVERGENCE_TARGET;
use common::apply;
use common::generation_watch::GenerationWatch;
use common::hold_for;
use common::process_fleet::ProcessFleet;
use common::wait_for;

/// Daemons of a fleet, half of them in each region.
const FLEET_SIZE: usize = 12;

/// Control bytes that a daemon may send and receive a second.
const BYTES_PER_SECOND: u64 = 5_000;

/// Members of a region that may fetch a generation over the link.
const LINK_MEMBERS: u64 = 2;

/// Time between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_secs(4);

/// Bytes over the link for one look at the seed rows and one write of them.
const SEED_BYTES: u64 = 4_000;

/// Bytes of heads and of the marks around one pulled configuration, both ways.
const PULL_OVERHEAD: u64 = 800;

fn records(name: &str, routes: usize) -> String {
    let mut list = vec![format!(
        r#"{{"kind": "upstream-version", "schema": 1, "service": "{name}", "version": "v1", "share": 100}}"#
    )];
    for number in 0..routes {
        list.push(format!(
            r#"{{"kind": "route", "schema": 1, "name": "{name}-{number}", "service": "{name}",
                "prefix": "/{name}/{number}", "class": "check", "timeout_ms": 2000}}"#
        ));
    }
    format!("[{}]", list.join(","))
}

#[test]
fn accepted_configuration_is_in_force_everywhere_in_time_and_stays() {
    let mut fleet = ProcessFleet::start(FLEET_SIZE);
    let all: Vec<usize> = (0..FLEET_SIZE).collect();
    let addresses: Vec<_> = all.iter().map(|index| fleet.control(*index)).collect();
    let watch = GenerationWatch::start(addresses);
    apply(fleet.platform.address, &records("stalls", 4));
    let idle = fleet.wait_generation(&all, 1, CONVERGENCE_TARGET);

    let (killed, kept) = all.split_at(FLEET_SIZE / 2);
    for index in killed {
        fleet.daemons[*index].process.kill();
    }
    apply(fleet.platform.address, &records("fodder", 4));
    for index in killed {
        fleet.restart(*index);
    }
    let storm = fleet.wait_generation(&all, 2, CONVERGENCE_TARGET);

    let frozen = kept[0];
    fleet.daemons[frozen].process.signal("STOP");
    apply(fleet.platform.address, &records("farriers", 4));
    let others: Vec<usize> = all.iter().copied().filter(|i| *i != frozen).collect();
    wait_for(
        "a first daemon serves generation 3",
        CONVERGENCE_TARGET,
        || others.iter().any(|index| fleet.serves(*index, 3)),
    );
    fleet.set_outage(true);
    let outage = fleet.wait_generation(&others, 3, CONVERGENCE_TARGET);
    fleet.daemons[frozen].process.signal("CONT");
    let late = fleet.wait_generation(&[frozen], 3, CONVERGENCE_TARGET);
    fleet.set_outage(false);
    apply(fleet.platform.address, &records("stock", 4));
    let healed = fleet.wait_generation(&all, 4, CONVERGENCE_TARGET);
    println!("idle {idle:?} storm {storm:?} outage {outage:?} late {late:?} healed {healed:?}");
    watch.finish();
}

/// Bytes of the control traffic of one daemon since its start, and what of them a cause sent over
/// the link.
fn control_bytes(fleet: &ProcessFleet, index: usize, over_link: LinkCause) -> (u64, u64) {
    let response = minreq::get(format!("http://{}/link", fleet.control(index)))
        .with_timeout(5)
        .send()
        .expect("a link report");
    let report: LinkReport = serde_json::from_slice(response.as_bytes()).expect("a link report");
    let mut total = 0;
    let mut link = 0;
    for usage in report.usage {
        if usage.cause == LinkCause::Calls {
            continue;
        }
        total += usage.link_bytes + usage.local_bytes;
        if usage.cause == over_link {
            link += usage.link_bytes;
        }
    }
    (total, link)
}

#[test]
fn control_bytes_stay_low_and_a_generation_crosses_the_link_few_times() {
    let fleet = ProcessFleet::start(FLEET_SIZE);
    let all: Vec<usize> = (0..FLEET_SIZE).collect();
    let count = |cause| -> Vec<(u64, u64)> {
        all.iter()
            .map(|i| control_bytes(&fleet, *i, cause))
            .collect()
    };
    apply(fleet.platform.address, &records("stalls", 4));
    fleet.wait_generation(&all, 1, CONVERGENCE_TARGET);

    let period = Duration::from_secs(10);
    let polled_before: u64 = count(LinkCause::Store).iter().map(|bytes| bytes.1).sum();
    let before = count(LinkCause::Gossip);
    hold_for("idle", period, || true);
    let after = count(LinkCause::Gossip);
    let polled: u64 = count(LinkCause::Store).iter().map(|bytes| bytes.1).sum();
    println!(
        "idle: {} bytes of the store over the link",
        polled - polled_before
    );
    assert!(
        polled - polled_before <= SEED_BYTES,
        "{polled} after {polled_before}"
    );
    for (index, (before, after)) in before.iter().zip(&after).enumerate() {
        let rate = (after.0 - before.0) / period.as_secs();
        println!("idle: daemon {index} {rate} bytes a second");
        assert!(
            rate < BYTES_PER_SECOND,
            "daemon {index}: {rate} bytes a second"
        );
    }

    // Large enough that its bytes show among the others.
    let large = records("fodder", 300);
    let before = count(LinkCause::Config);
    let store_before = count(LinkCause::Store);
    apply(fleet.platform.address, &large);
    fleet.wait_generation(&all, 2, CONVERGENCE_TARGET);
    let size = delta_bytes(&fleet);
    let crossed = |before: &[(u64, u64)], after: &[(u64, u64)]| -> u64 {
        before.iter().zip(after).map(|(b, a)| a.1 - b.1).sum()
    };
    let pulled = crossed(&before, &count(LinkCause::Config));
    let fetched = crossed(&store_before, &count(LinkCause::Store));
    println!("generation of {size} bytes: {pulled} pulled and {fetched} fetched over the link");
    assert!(
        pulled + fetched <= LINK_MEMBERS * (size + PULL_OVERHEAD),
        "{pulled} + {fetched}"
    );

    let start = count(LinkCause::Gossip);
    let begin = Instant::now();
    for number in 0..3 {
        apply(
            fleet.platform.address,
            &records(&format!("yard{number}"), 1),
        );
        fleet.wait_generation(&all, 3 + number, CONVERGENCE_TARGET);
        hold_for("between changes", CHANGE_INTERVAL, || true);
    }
    let seconds = begin.elapsed().as_secs().max(1);
    let end = count(LinkCause::Gossip);
    for (index, (start, end)) in start.iter().zip(&end).enumerate() {
        let rate = (end.0 - start.0) / seconds;
        println!("changes: daemon {index} {rate} bytes a second");
        assert!(
            rate < BYTES_PER_SECOND,
            "daemon {index}: {rate} bytes a second"
        );
    }
}

/// Size of the delta from generation 1 to generation 2, as the store holds it.
fn delta_bytes(fleet: &ProcessFleet) -> u64 {
    use coltsfootweir::accept::delta_object;
    use coltsfootweir::accept::read_head;
    use coltsfootweir::http_platform::HttpPlatform;
    use coltsfootweir::platform::PlatformStore;
    let store = HttpPlatform::new(fleet.platform.address, Duration::from_secs(5));
    let mark = read_head(&store).expect("the head");
    let delta = store.get_object(&delta_object(&mark)).expect("the store");
    delta.expect("a delta").len() as u64
}
