//! A chain of calls seven deep whose deepest service breaks its answers: retries do not multiply.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootweir::retry::RETRY_BURST;
use coltsfootweir::schema_v1::DEFAULT_RETRY_PERCENT;
use standins::upstream::UpstreamServer;
use standins::upstream_next::NextService;
use standins::upstream_settings::UpstreamSettings;

use common::DaemonProcess;
use common::DaemonSpec;
use common::PATIENCE;
use common::PlatformProcess;
use common::apply;
use common::caller::CallSpec;
use common::caller::KeptCaller;
use common::read_status;
use common::start_daemon;
use common::start_platform;
use common::wait_for;

/// Services of the chain.
const CHAIN_DEPTH: usize = 7;

/// Endpoints of each service, so that a retry has another one to go to.
const ENDPOINTS: usize = 2;

const CALLS: usize = 100;

/// Percent of the deepest service's answers that break off.
const BROKEN_PERCENT: u8 = 60;

/// Daemons and upstreams of a chain; the first daemons stand beside the top service.
struct ChainFleet {
    daemons: Vec<DaemonProcess>,
    upstreams: Vec<UpstreamServer>,
    _platform: PlatformProcess,
}

impl ChainFleet {
    fn start() -> ChainFleet {
        let platform = start_platform();
        let mut daemons: Vec<DaemonProcess> = Vec::new();
        let mut upstreams = Vec::new();
        for number in 0..CHAIN_DEPTH * ENDPOINTS {
            let mut spec = DaemonSpec::new(platform.address, "north", "zaandam");
            spec.seeds = daemons.iter().take(3).map(|own| own.control).collect();
            let daemon = start_daemon(&spec);
            let settings = upstream_settings(number / ENDPOINTS, &daemon);
            upstreams.push(UpstreamServer::start(settings).expect("upstream starts"));
            daemons.push(daemon);
        }
        apply(platform.address, &records());
        let fleet = ChainFleet {
            daemons,
            upstreams,
            _platform: platform,
        };
        fleet.wait_ready();
        fleet
    }

    fn wait_ready(&self) {
        for daemon in &self.daemons {
            wait_for("chain ready", PATIENCE, || {
                read_status(daemon.control).is_some_and(|status| {
                    let known = status.members.iter().filter(|own| own.endpoint.is_some());
                    status.generation >= 1 && known.count() == self.daemons.len()
                })
            });
        }
    }

    /// Runs of a service so far.
    fn runs(&self, depth: usize) -> u64 {
        let own = self.upstreams.iter().skip(depth * ENDPOINTS);
        own.take(ENDPOINTS).map(|own| own.stats().runs).sum()
    }

    fn top(&self) -> SocketAddr {
        self.daemons[0].calls
    }
}

fn upstream_settings(depth: usize, daemon: &DaemonProcess) -> UpstreamSettings {
    let mut settings = UpstreamSettings::new(format!("chain-{depth}"), "v1");
    settings.daemon = Some(daemon.control);
    settings.work = Duration::from_millis(1);
    settings.seed = depth as u64;
    if depth + 1 < CHAIN_DEPTH {
        settings.next = Some(NextService {
            address: daemon.calls,
            path: format!("/chain-{}/free", depth + 1).into(),
            attempts: 1,
        });
    } else {
        settings.faults.truncate_percent = BROKEN_PERCENT;
    }
    settings
}

fn records() -> String {
    let one = |depth: usize| {
        format!(
            r#"{{"kind": "upstream-version", "schema": 1, "service": "chain-{depth}",
            "version": "v1", "share": 100}},
            {{"kind": "route", "schema": 1, "name": "chain-{depth}", "service": "chain-{depth}",
            "prefix": "/chain-{depth}", "class": "check", "timeout_ms": 2000}}"#
        )
    };
    let all: Vec<String> = (0..CHAIN_DEPTH).map(one).collect();
    format!("[{}]", all.join(","))
}

#[test]
fn retries_do_not_multiply_over_a_chain_of_calls() {
    let fleet = ChainFleet::start();
    let mut caller = KeptCaller::new(fleet.top());
    let good = (0..CALLS)
        .filter(|_| {
            let end = caller.call(&CallSpec::get("/chain-0/free"));
            end.whole().is_some_and(|answer| answer.is_good())
        })
        .count();
    let runs: Vec<u64> = (0..CHAIN_DEPTH).map(|depth| fleet.runs(depth)).collect();
    println!("{good} of {CALLS} good; runs by depth {runs:?}");
    assert!(runs[CHAIN_DEPTH - 1] > 0, "the chain was never run whole");
    let bound = (CALLS + CALLS * usize::from(DEFAULT_RETRY_PERCENT) / 100) as u64;
    for made in runs {
        let bound = bound + u64::from(RETRY_BURST);
        assert!(made <= bound, "{made} runs at one depth, bound {bound}");
    }
}
