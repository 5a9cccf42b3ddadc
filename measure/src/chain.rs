//! A chain of calls seven deep: runs of the deepest service for a call at the top, and added latency.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootweir::retry::MAX_ATTEMPTS;
use coltsfootweir::retry::RETRY_BURST;
use coltsfootweir::schema_v1::DEFAULT_RETRY_PERCENT;
use hyper::Method;
use serde::Serialize;
use standins::upstream_faults::UpstreamFaults;

use crate::call_fleet::DIRECT;
use crate::call_fleet::THROUGH;
use crate::deployment::FULL_SIZE_PLACES;
use crate::experiment::RunSettings;
use crate::failure::MeasureResult;
use crate::fleet::TestFleet;
use crate::load::CallerPolicy;
use crate::load::LoadSource;
use crate::load::PlannedCall;
use crate::probe::post;
use crate::probe::read_upstream;
use crate::process::ChildProcess;
use crate::records::service_name;
use crate::records::service_records;
use crate::report::TextTable;
use crate::tally::CallTally;
use crate::upstreams::UpstreamPlan;
use crate::upstreams::start_upstream;

/// Services of the chain.
const CHAIN_DEPTH: usize = 7;

/// Endpoints of each service, so that a retry has another one to go to.
const ENDPOINTS: usize = 2;

/// Percent of the deepest service's answers that break off, in turn.
const FAULT_RATES: [u8; 4] = [0, 10, 50, 100];

/// Callers at once.
const CALLERS: usize = 4;

/// Connections an upstream holds.
const CONNECTION_LIMIT: u32 = 120;

/// Longest time until the fleet has settled.
const SETTLE_LIMIT: Duration = Duration::from_secs(60);

/// Figures of one way at one fault rate.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ChainRun {
    way: &'static str,
    fault_percent: u8,
    tally: CallTally,
    deepest_runs: u64,
    /// Bound of the design on the runs; for the base line the attempts of every level multiplied.
    bound: u64,
}

/// The chain through daemons, and one of upstreams that call each other and try again at each level.
pub(crate) struct ChainFleet {
    fleet: TestFleet,
    upstreams: Vec<ChildProcess>,
    direct_upstreams: Vec<ChildProcess>,
    load: LoadSource,
    direct_load: LoadSource,
}

impl ChainFleet {
    pub(crate) fn start(seed: u64) -> MeasureResult<ChainFleet> {
        let count = CHAIN_DEPTH * ENDPOINTS;
        let fleet = TestFleet::start(count, &FULL_SIZE_PLACES[..1])?;
        let generation = fleet.apply(&service_records(CHAIN_DEPTH))?;
        let mut upstreams = Vec::new();
        for (number, daemon) in fleet.daemons.iter().enumerate() {
            let depth = number / ENDPOINTS;
            let flags = next_flags(depth, daemon.calls(), 1);
            upstreams.push(start_one(depth, Some(daemon.control()), seed, flags)?);
        }
        let mut direct_upstreams: Vec<ChildProcess> = Vec::new();
        for depth in (0..CHAIN_DEPTH).rev() {
            let flags = match direct_upstreams.last() {
                Some(next) => next_flags(depth, next.addresses()[0], MAX_ATTEMPTS),
                None => Vec::new(),
            };
            direct_upstreams.push(start_one(depth, None, seed, flags)?);
        }
        direct_upstreams.reverse();
        fleet.wait_settled(generation, count, SETTLE_LIMIT)?;
        let policy = CallerPolicy::default();
        Ok(ChainFleet {
            fleet,
            upstreams,
            direct_upstreams,
            load: LoadSource::with_policy(policy)?,
            direct_load: LoadSource::with_policy(CallerPolicy {
                attempts: MAX_ATTEMPTS,
                ..policy
            })?,
        })
    }

    /// Runs both ways at each fault rate, one after the other.
    pub(crate) fn measure(&self, settings: &RunSettings) -> MeasureResult<Vec<ChainRun>> {
        let mut runs = Vec::new();
        for percent in FAULT_RATES {
            for way in [THROUGH, DIRECT] {
                runs.push(self.measure_way(settings, way, percent)?);
            }
        }
        Ok(runs)
    }

    fn measure_way(
        &self,
        settings: &RunSettings,
        way: usize,
        fault_percent: u8,
    ) -> MeasureResult<ChainRun> {
        let (top, load, deepest) = match way {
            THROUGH => {
                let deepest = &self.upstreams[(CHAIN_DEPTH - 1) * ENDPOINTS..];
                (self.fleet.daemons[0].calls(), &self.load, deepest)
            }
            _ => {
                let deepest = &self.direct_upstreams[CHAIN_DEPTH - 1..];
                let top = self.direct_upstreams[0].addresses()[0];
                (top, &self.direct_load, deepest)
            }
        };
        let faults = UpstreamFaults {
            truncate_percent: fault_percent,
            ..UpstreamFaults::default()
        };
        for upstream in deepest {
            post(upstream.addresses()[0], "/standin/faults", &faults)?;
        }
        let before = count_runs(deepest)?;
        let plan = move |_| plan_call(top, way);
        let results = load.run_closed(CALLERS, settings.window, plan);
        let tally = CallTally::of(&results, way);
        let deepest_runs = count_runs(deepest)? - before;
        let (way, bound) = if way == THROUGH {
            let retries = tally.sent * u64::from(DEFAULT_RETRY_PERCENT) / 100;
            ("daemons", tally.sent + retries + u64::from(RETRY_BURST))
        } else {
            let most = u64::from(MAX_ATTEMPTS).pow(CHAIN_DEPTH as u32);
            ("retries at each level", tally.sent * most)
        };
        Ok(ChainRun {
            way,
            fault_percent,
            tally,
            deepest_runs,
            bound,
        })
    }
}

fn plan_call(address: SocketAddr, group: usize) -> PlannedCall {
    PlannedCall {
        address,
        method: Method::GET,
        path: format!("/{}/free", service_name(0)).into(),
        headers: Vec::new(),
        group,
    }
}

/// Flags by which an upstream calls the next service of the chain; none at the deepest.
fn next_flags(depth: usize, address: SocketAddr, attempts: u32) -> Vec<String> {
    if depth + 1 == CHAIN_DEPTH {
        return Vec::new();
    }
    vec![
        format!("--next={address}"),
        format!("--next-path=/{}/free", service_name(depth + 1)),
        format!("--next-attempts={attempts}"),
    ]
}

fn start_one(
    depth: usize,
    daemon: Option<SocketAddr>,
    seed: u64,
    flags: Vec<String>,
) -> MeasureResult<ChildProcess> {
    start_upstream(&UpstreamPlan {
        daemon,
        service: service_name(depth),
        version: "v1".into(),
        work: Duration::ZERO,
        connection_limit: CONNECTION_LIMIT,
        seed,
        faults: UpstreamFaults::default(),
        flags,
    })
}

fn count_runs(upstreams: &[ChildProcess]) -> MeasureResult<u64> {
    let mut runs = 0;
    for upstream in upstreams {
        runs += read_upstream(upstream.addresses()[0])?.runs;
    }
    Ok(runs)
}

/// Table of runs.
pub(crate) fn render_chain(runs: &[ChainRun]) -> String {
    let mut table = TextTable::new(&[
        "way",
        "broken %",
        "calls",
        "good",
        "deepest runs",
        "bound",
        "runs a call",
        "good p50 ms",
        "p99",
    ]);
    for run in runs {
        let tally = &run.tally;
        table.push([
            run.way.to_string(),
            run.fault_percent.to_string(),
            tally.sent.to_string(),
            tally.good.to_string(),
            run.deepest_runs.to_string(),
            run.bound.to_string(),
            format!("{:.2}", run.deepest_runs as f64 / tally.sent.max(1) as f64),
            format!("{:.2}", tally.good_latency.p50),
            format!("{:.2}", tally.good_latency.p99),
        ]);
    }
    let mut text = format!("a chain of {CHAIN_DEPTH} calls\n{}", table.render());
    if let [through, direct, ..] = runs {
        let added = through.tally.good_latency.above(&direct.tally.good_latency);
        text.push_str(&format!(
            "without faults daemons add p50 {:.2}, p99 {:.2} ms over the chain\n\n",
            added.p50, added.p99
        ));
    }
    text
}
