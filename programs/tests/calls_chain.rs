//! A chain of calls seven deep whose deepest service breaks its answers: retries do not multiply.

mod common;

use std::time::Duration;

use coltsfootweir::retry::RETRY_BURST;
use coltsfootweir::schema_v1::DEFAULT_RETRY_PERCENT;
use standins::upstream::UpstreamServer;
use standins::upstream_next::NextService;
use standins::upstream_settings::UpstreamSettings;

use common::DaemonProcess;
use common::apply;
use common::caller::CallSpec;
use common::caller::KeptCaller;
use common::process_fleet::ProcessFleet;
use common::records::one_route;

/// Services of the chain.
const CHAIN_DEPTH: usize = 7;

/// Endpoints of each service, so that a retry has another one to go to.
const ENDPOINTS: usize = 2;

const CALLS: usize = 100;

/// Percent of the deepest service's answers that break off.
const BROKEN_PERCENT: u8 = 60;

fn service(depth: usize) -> String {
    format!("chain-{depth}")
}

/// Starts a daemon beside each endpoint; the first ones stand beside the top service.
fn start_chain() -> ProcessFleet {
    let mut fleet = ProcessFleet::empty();
    for number in 0..CHAIN_DEPTH * ENDPOINTS {
        let index = fleet.add_joined("north");
        let settings = upstream_settings(number / ENDPOINTS, &fleet.daemons[index]);
        let server = UpstreamServer::start(settings).expect("upstream starts");
        fleet.servers.push(server);
    }
    for depth in 0..CHAIN_DEPTH {
        apply(fleet.platform.address, &one_route(&service(depth)));
    }
    fleet.wait_ready(CHAIN_DEPTH as u64);
    fleet
}

/// Runs of a service so far.
fn runs_at(fleet: &ProcessFleet, depth: usize) -> u64 {
    let own = fleet.servers.iter().skip(depth * ENDPOINTS);
    own.take(ENDPOINTS).map(|own| own.stats().runs).sum()
}

fn upstream_settings(depth: usize, daemon: &DaemonProcess) -> UpstreamSettings {
    let mut settings = UpstreamSettings::new(service(depth), "v1");
    settings.daemon = Some(daemon.control);
    settings.work = Duration::from_millis(1);
    settings.seed = depth as u64;
    if depth + 1 < CHAIN_DEPTH {
        settings.next = Some(NextService {
            address: daemon.calls,
            path: format!("/{}/free", service(depth + 1)).into(),
            attempts: 1,
        });
    } else {
        settings.faults.truncate_percent = BROKEN_PERCENT;
    }
    settings
}

#[test]
fn retries_do_not_multiply_over_a_chain_of_calls() {
    let fleet = start_chain();
    let mut caller = KeptCaller::new(fleet.daemons[0].calls);
    let good = (0..CALLS)
        .filter(|_| {
            let end = caller.call(&CallSpec::get("/chain-0/free"));
            end.whole().is_some_and(|answer| answer.is_good())
        })
        .count();
    let runs: Vec<u64> = (0..CHAIN_DEPTH)
        .map(|depth| runs_at(&fleet, depth))
        .collect();
    println!("{good} of {CALLS} good; runs by depth {runs:?}");
    assert!(runs[CHAIN_DEPTH - 1] > 0, "the chain was never run whole");
    let bound = (CALLS + CALLS * usize::from(DEFAULT_RETRY_PERCENT) / 100) as u64;
    for made in runs {
        let bound = bound + u64::from(RETRY_BURST);
        assert!(made <= bound, "{made} runs at one depth, bound {bound}");
    }
}
