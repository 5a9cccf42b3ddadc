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
use common::json_http::read_json;
use common::process_fleet::ProcessFleet;
use common::records::list_text;
use common::records::route_text;
use common::records::version_text;
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
    let mut list = vec![version_text(name, "v1", 100)];
    for number in 0..routes {
        let (route, prefix) = (format!("{name}-{number}"), format!("/{name}/{number}"));
        list.push(route_text(&route, name, &prefix, 2000));
    }
    list_text(&list)
}

#[test]
fn accepted_configuration_is_in_force_everywhere_in_time_and_stays() {
    let mut fleet = ProcessFleet::start(FLEET_SIZE);
    let all: Vec<usize> = (0..FLEET_SIZE).collect();
    let watch = GenerationWatch::start(fleet.controls());
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
    wait_for("a first daemon serves it", CONVERGENCE_TARGET, || {
        others.iter().any(|index| fleet.serves(*index, 3))
    });
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
    let report: LinkReport = read_json(fleet.control(index), "/link");
    let (mut total, mut link) = (0, 0);
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

/// Checks what each daemon sent and received between two counts.
fn assert_low_rates(what: &str, before: &[(u64, u64)], after: &[(u64, u64)], time: Duration) {
    for (index, (before, after)) in before.iter().zip(after).enumerate() {
        let rate = (after.0 - before.0) / time.as_secs().max(1);
        println!("{what}: daemon {index} {rate} bytes a second");
        assert!(rate < BYTES_PER_SECOND, "daemon {index}: {rate} a second");
    }
}

/// Bytes that crossed the link between two counts.
fn crossed(before: &[(u64, u64)], after: &[(u64, u64)]) -> u64 {
    let pairs = before.iter().zip(after);
    pairs.map(|(before, after)| after.1 - before.1).sum()
}

#[test]
fn control_bytes_stay_low_and_a_generation_crosses_the_link_few_times() {
    let fleet = ProcessFleet::start(FLEET_SIZE);
    let all: Vec<usize> = (0..FLEET_SIZE).collect();
    let count = |cause| -> Vec<(u64, u64)> {
        let counts = all.iter().map(|i| control_bytes(&fleet, *i, cause));
        counts.collect()
    };
    apply(fleet.platform.address, &records("stalls", 4));
    fleet.wait_generation(&all, 1, CONVERGENCE_TARGET);

    let polled_before = count(LinkCause::Store);
    let begin = Instant::now();
    let before = count(LinkCause::Gossip);
    hold_for("idle", Duration::from_secs(10), || true);
    let after = count(LinkCause::Gossip);
    assert_low_rates("idle", &before, &after, begin.elapsed());
    let polled = crossed(&polled_before, &count(LinkCause::Store));
    println!("idle: {polled} bytes of the store over the link");
    assert!(polled <= SEED_BYTES, "{polled} bytes of the store");

    // Large enough that its bytes show among the others.
    let large = records("fodder", 300);
    let before = count(LinkCause::Config);
    let store_before = count(LinkCause::Store);
    apply(fleet.platform.address, &large);
    fleet.wait_generation(&all, 2, CONVERGENCE_TARGET);
    let size = delta_bytes(&fleet);
    let pulled = crossed(&before, &count(LinkCause::Config));
    let fetched = crossed(&store_before, &count(LinkCause::Store));
    println!("generation of {size} bytes: {pulled} pulled and {fetched} fetched over the link");
    let bound = LINK_MEMBERS * (size + PULL_OVERHEAD);
    assert!(pulled + fetched <= bound, "{pulled} + {fetched}");

    let start = count(LinkCause::Gossip);
    let begin = Instant::now();
    for number in 0..3 {
        let change = records(&format!("yard{number}"), 1);
        apply(fleet.platform.address, &change);
        fleet.wait_generation(&all, 3 + number, CONVERGENCE_TARGET);
        hold_for("between changes", CHANGE_INTERVAL, || true);
    }
    let end = count(LinkCause::Gossip);
    assert_low_rates("changes", &start, &end, begin.elapsed());
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
