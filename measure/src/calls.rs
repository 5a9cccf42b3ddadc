//! Experiment `calls`: added latency of the way through two daemons, and overload.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use serde::Serialize;
use serde_json::json;
use standins::upstream_faults::UpstreamFaults;

use crate::deployment::FULL_SIZE_PLACES;
use crate::experiment::Experiment;
use crate::experiment::ExperimentPlugin;
use crate::experiment::RunSettings;
use crate::failure::MeasureResult;
use crate::fit::median;
use crate::fleet::FleetDaemon;
use crate::fleet::TestFleet;
use crate::load::LoadSource;
use crate::load::PlannedCall;
use crate::probe::read_upstream;
use crate::process::ChildProcess;
use crate::records::service_name;
use crate::records::service_records;
use crate::report::RunResult;
use crate::report::TextTable;
use crate::tally::CallTally;
use crate::tally::LatencyFigures;
use crate::upstreams::UpstreamPlan;
use crate::upstreams::start_upstream;
use crate::usage::machine_load;
use crate::usage::read_usage;

/// Daemons with an upstream; as many more take calls only.
const GUARD_COUNT: usize = 6;

/// Slots of an upstream.
const UPSTREAM_SLOTS: f64 = 9.0;

/// Work of an upstream for one call under overload.
const OVERLOAD_WORK: Duration = Duration::from_millis(50);

/// Offered load under overload, in times of what the slots can do.
const OVERLOAD_FACTOR: f64 = 2.0;

/// Deadline of a call under overload, milliseconds.
const OVERLOAD_DEADLINE_MS: &str = "1000";

/// Longest time until the fleet has settled.
const SETTLE_LIMIT: Duration = Duration::from_secs(60);

/// Time of calls before the measured ones, so that connections stand.
const WARM_TIME: Duration = Duration::from_secs(3);

/// Group of calls through two daemons.
const THROUGH: usize = 0;

/// Group of calls sent straight to an upstream.
const DIRECT: usize = 1;

struct CallsExperiment;

inventory::submit! { ExperimentPlugin { experiment: &CallsExperiment } }

/// A fleet in which some daemons guard an upstream and the others take calls.
struct CallFleet {
    fleet: TestFleet,
    upstreams: Vec<ChildProcess>,
    load: LoadSource,
}

/// Figures of one run at the usual rate.
#[derive(Clone, Debug, Serialize)]
struct LatencyRun {
    through: CallTally,
    direct: CallTally,
    added: LatencyFigures,
    ingress_cpu_ms: f64,
    guard_cpu_ms: f64,
    connections_peak: u32,
    machine: Box<str>,
}

/// Figures of overload.
#[derive(Clone, Debug, Serialize)]
struct OverloadRun {
    way: &'static str,
    offered: f64,
    good_a_second: f64,
    tally: CallTally,
    runs: u64,
    connections_peak: u32,
    connections_refused: u64,
}

impl Experiment for CallsExperiment {
    fn name(&self) -> &'static str {
        "calls"
    }

    fn run(&self, settings: &RunSettings) -> MeasureResult<RunResult> {
        let mut text = String::new();
        let mut latency = Vec::new();
        if settings.wants("latency") {
            let fleet = CallFleet::start(Duration::from_micros(settings.work_us), settings.seed)?;
            for run in 0..settings.runs {
                latency.push(fleet.measure_latency(settings, run as u64)?);
            }
            text.push_str(&render_latency(&latency));
        }
        let mut overload = Vec::new();
        if settings.wants("overload") {
            for way in [THROUGH, DIRECT] {
                let fleet = CallFleet::start(OVERLOAD_WORK, settings.seed)?;
                overload.push(fleet.measure_peak(settings, way)?);
                overload.push(fleet.measure_overload(settings, way)?);
            }
            text.push_str(&render_overload(&overload));
        }
        Ok(RunResult {
            text,
            figures: json!({"latency": latency, "overload": overload}),
        })
    }
}

impl CallFleet {
    fn start(work: Duration, seed: u64) -> MeasureResult<CallFleet> {
        let fleet = TestFleet::start(2 * GUARD_COUNT, &FULL_SIZE_PLACES[..1])?;
        let generation = fleet.apply(&service_records(1))?;
        let mut upstreams = Vec::new();
        for daemon in &fleet.daemons[..GUARD_COUNT] {
            upstreams.push(start_upstream(&UpstreamPlan {
                daemon: Some(daemon.control()),
                service: service_name(0),
                version: "v1".into(),
                work,
                connection_limit: 120,
                seed,
                faults: UpstreamFaults::default(),
            })?);
        }
        fleet.wait_settled(generation, GUARD_COUNT, SETTLE_LIMIT)?;
        Ok(CallFleet {
            fleet,
            upstreams,
            load: LoadSource::new()?,
        })
    }

    fn ingress(&self) -> &[FleetDaemon] {
        &self.fleet.daemons[GUARD_COUNT..]
    }

    fn plan(
        &self,
        way: usize,
        deadline: Option<&str>,
    ) -> impl Fn(u64) -> PlannedCall + Clone + Send + use<> {
        let addresses: Vec<SocketAddr> = match way {
            THROUGH => self.ingress().iter().map(FleetDaemon::calls).collect(),
            _ => self
                .upstreams
                .iter()
                .map(|upstream| upstream.addresses()[0])
                .collect(),
        };
        let mut headers = Vec::new();
        if let Some(deadline) = deadline {
            headers.push(("x-coltsfootweir-deadline-ms", deadline.into()));
        }
        move |number| PlannedCall {
            address: addresses[number as usize % addresses.len()],
            method: Method::GET,
            path: format!("/{}/free", service_name(0)).into(),
            headers: headers.clone(),
            group: way,
        }
    }

    fn measure_latency(&self, settings: &RunSettings, run: u64) -> MeasureResult<LatencyRun> {
        let (through, direct) = (self.plan(THROUGH, None), self.plan(DIRECT, None));
        let plan = |number: u64| match number % 2 {
            0 => through(number / 2),
            _ => direct(number / 2),
        };
        let rate = 2.0 * settings.rate * GUARD_COUNT as f64;
        let seed = settings.seed + run;
        self.load.run_open(rate, WARM_TIME, seed, plan);
        let before = self.processor()?;
        let results = self.load.run_open(rate, settings.window, seed, plan);
        let after = self.processor()?;
        let through = CallTally::of(&results, THROUGH);
        let direct = CallTally::of(&results, DIRECT);
        let added = through.good_latency.above(&direct.good_latency);
        let calls = through.sent.max(1) as f64;
        Ok(LatencyRun {
            added,
            through,
            direct,
            ingress_cpu_ms: (after.0 - before.0).as_secs_f64() * 1000.0 / calls,
            guard_cpu_ms: (after.1 - before.1).as_secs_f64() * 1000.0 / calls,
            connections_peak: self.connections()?.0,
            machine: machine_load(),
        })
    }

    fn processor(&self) -> MeasureResult<(Duration, Duration)> {
        let mut guards = Duration::ZERO;
        let mut ingress = Duration::ZERO;
        for (number, daemon) in self.fleet.daemons.iter().enumerate() {
            let used = read_usage(daemon.process.id())?.processor;
            if number < GUARD_COUNT {
                guards += used;
            } else {
                ingress += used;
            }
        }
        Ok((ingress, guards))
    }

    /// Most connections any upstream had, and connections refused by all.
    fn connections(&self) -> MeasureResult<(u32, u64)> {
        let mut peak = 0;
        let mut refused = 0;
        for upstream in &self.upstreams {
            let stats = read_upstream(upstream.addresses()[0])?;
            peak = peak.max(stats.connections_peak);
            refused += stats.connections_refused;
        }
        Ok((peak, refused))
    }

    fn runs(&self) -> MeasureResult<u64> {
        let mut runs = 0;
        for upstream in &self.upstreams {
            runs += read_upstream(upstream.addresses()[0])?.runs;
        }
        Ok(runs)
    }

    fn measure_peak(&self, settings: &RunSettings, way: usize) -> MeasureResult<OverloadRun> {
        let slots = UPSTREAM_SLOTS * GUARD_COUNT as f64;
        let plan = self.plan(way, Some(OVERLOAD_DEADLINE_MS));
        let before = self.runs()?;
        let results = self.load.run_closed(slots as usize, settings.window, plan);
        self.overload_run(settings, way, before, slots, &results)
    }

    fn measure_overload(&self, settings: &RunSettings, way: usize) -> MeasureResult<OverloadRun> {
        let slots = UPSTREAM_SLOTS * GUARD_COUNT as f64;
        let rate = OVERLOAD_FACTOR * slots / OVERLOAD_WORK.as_secs_f64();
        let plan = self.plan(way, Some(OVERLOAD_DEADLINE_MS));
        let before = self.runs()?;
        let results = self
            .load
            .run_open(rate, settings.window, settings.seed, plan);
        self.overload_run(settings, way, before, rate, &results)
    }

    fn overload_run(
        &self,
        settings: &RunSettings,
        way: usize,
        runs_before: u64,
        offered: f64,
        results: &[crate::load::CallResult],
    ) -> MeasureResult<OverloadRun> {
        let tally = CallTally::of(results, way);
        let (connections_peak, connections_refused) = self.connections()?;
        Ok(OverloadRun {
            way: if way == THROUGH { "daemons" } else { "direct" },
            offered,
            good_a_second: tally.good as f64 / settings.window.as_secs_f64(),
            tally,
            runs: self.runs()? - runs_before,
            connections_peak,
            connections_refused,
        })
    }
}

fn render_latency(runs: &[LatencyRun]) -> String {
    let mut table = TextTable::new(&[
        "run",
        "sent",
        "good",
        "direct p50",
        "p99",
        "p999",
        "daemons p50",
        "p99",
        "p999",
        "added p50",
        "p99",
        "p999",
        "ingress ms/call",
        "guard ms/call",
        "conns",
    ]);
    for (number, run) in runs.iter().enumerate() {
        let mut row = vec![
            number.to_string(),
            run.through.sent.to_string(),
            run.through.good.to_string(),
        ];
        for figures in [run.direct.good_latency, run.through.good_latency, run.added] {
            for value in [figures.p50, figures.p99, figures.p999] {
                row.push(format!("{value:.2}"));
            }
        }
        row.push(format!("{:.3}", run.ingress_cpu_ms));
        row.push(format!("{:.3}", run.guard_cpu_ms));
        row.push(run.connections_peak.to_string());
        table.push(row);
    }
    let added = |read: fn(&LatencyFigures) -> f64| {
        median(&runs.iter().map(|run| read(&run.added)).collect::<Vec<_>>())
    };
    format!(
        "latency of a call, ms\n{}median of the runs: added p50 {:.2}, p99 {:.2}, p999 {:.2}\n\n",
        table.render(),
        added(|figures| figures.p50),
        added(|figures| figures.p99),
        added(|figures| figures.p999),
    )
}

fn render_overload(runs: &[OverloadRun]) -> String {
    let mut table = TextTable::new(&[
        "way",
        "offered",
        "good/s",
        "sent",
        "good",
        "failed",
        "not run",
        "in doubt",
        "no answer",
        "runs",
        "good p50 ms",
        "p99",
        "refusal p50 ms",
        "p99",
        "conns",
        "refused conns",
    ]);
    for run in runs {
        let tally = &run.tally;
        table.push([
            run.way.to_string(),
            format!("{:.0}", run.offered),
            format!("{:.0}", run.good_a_second),
            tally.sent.to_string(),
            tally.good.to_string(),
            tally.failed.to_string(),
            tally.not_run.to_string(),
            tally.in_doubt.to_string(),
            tally.unanswered.to_string(),
            run.runs.to_string(),
            format!("{:.1}", tally.good_latency.p50),
            format!("{:.1}", tally.good_latency.p99),
            format!("{:.1}", tally.refusal_latency.p50),
            format!("{:.1}", tally.refusal_latency.p99),
            run.connections_peak.to_string(),
            run.connections_refused.to_string(),
        ]);
    }
    format!(
        "overload (first line of each way: as many callers as slots)\n{}\n",
        table.render()
    )
}
