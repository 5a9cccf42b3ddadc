//! Experiment `calls`: added latency of the way through two daemons, and overload.

use std::time::Duration;

use serde::Serialize;
use serde_json::json;

use crate::call_fleet::CallFleet;
use crate::call_fleet::DIRECT;
use crate::call_fleet::GUARD_COUNT;
use crate::call_fleet::RELAYED;
use crate::call_fleet::THROUGH;
use crate::call_fleet::UNLIMITED;
use crate::chain::ChainFleet;
use crate::chain::render_chain;
use crate::experiment::Experiment;
use crate::experiment::ExperimentPlugin;
use crate::experiment::RunSettings;
use crate::failure::MeasureResult;
use crate::fit::median;
use crate::overload::OVERLOAD_WORK;
use crate::overload::render_overload;
use crate::report::RunResult;
use crate::report::TextTable;
use crate::tally::CallTally;
use crate::tally::LatencyFigures;
use crate::usage::machine_load;

/// Time of calls before the measured ones, so that connections stand.
const WARM_TIME: Duration = Duration::from_secs(3);

struct CallsExperiment;

inventory::submit! { ExperimentPlugin { experiment: &CallsExperiment } }

/// Figures of one run at the usual rate.
#[derive(Clone, Debug, Serialize)]
struct LatencyRun {
    through: CallTally,
    direct: CallTally,
    relayed: CallTally,
    added: LatencyFigures,
    relays_add: LatencyFigures,
    ingress_cpu_ms: f64,
    guard_cpu_ms: f64,
    connections_peak: u32,
    machine: Box<str>,
}

impl Experiment for CallsExperiment {
    fn name(&self) -> &'static str {
        "calls"
    }

    fn run(&self, settings: &RunSettings) -> MeasureResult<RunResult> {
        let mut text = String::new();
        let mut latency = Vec::new();
        if settings.wants("latency") {
            let work = Duration::from_micros(settings.work_us);
            let fleet = CallFleet::start(work, settings.seed, THROUGH)?;
            for run in 0..settings.runs {
                latency.push(fleet.measure_latency(settings, run as u64)?);
            }
            text.push_str(&render_latency(&latency));
        }
        let mut overload = Vec::new();
        if settings.wants("overload") {
            for way in [THROUGH, DIRECT, UNLIMITED] {
                let fleet = CallFleet::start(OVERLOAD_WORK, settings.seed, way)?;
                overload.push(fleet.measure_peak(settings, way)?);
                overload.push(fleet.measure_overload(settings, way)?);
            }
            text.push_str(&render_overload(&overload));
        }
        let mut chain = Vec::new();
        if settings.wants("chain") {
            chain = ChainFleet::start(settings.seed)?.measure(settings)?;
            text.push_str(&render_chain(&chain));
        }
        Ok(RunResult {
            text,
            figures: json!({"latency": latency, "overload": overload, "chain": chain}),
        })
    }
}

impl CallFleet {
    fn measure_latency(&self, settings: &RunSettings, run: u64) -> MeasureResult<LatencyRun> {
        let ways = [THROUGH, DIRECT, RELAYED].map(|way| self.plan(way, None));
        let count = ways.len() as u64;
        let plan = |number: u64| ways[(number % count) as usize](number / count);
        let rate = count as f64 * settings.rate * GUARD_COUNT as f64;
        let seed = settings.seed + run;
        self.load.run_open(rate, WARM_TIME, seed, plan);
        let before = self.processor()?;
        let results = self.load.run_open(rate, settings.window, seed, plan);
        let after = self.processor()?;
        let through = CallTally::of(&results, THROUGH);
        let direct = CallTally::of(&results, DIRECT);
        let relayed = CallTally::of(&results, RELAYED);
        let base = direct.good_latency;
        let calls = through.sent.max(1) as f64;
        Ok(LatencyRun {
            added: through.good_latency.above(&base),
            relays_add: relayed.good_latency.above(&base),
            through,
            direct,
            relayed,
            ingress_cpu_ms: (after.ingress - before.ingress).as_secs_f64() * 1000.0 / calls,
            guard_cpu_ms: (after.guards - before.guards).as_secs_f64() * 1000.0 / calls,
            connections_peak: self.connections()?.peak,
            machine: machine_load(),
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
        "relays add p50",
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
        for figures in [
            run.direct.good_latency,
            run.through.good_latency,
            run.added,
            run.relays_add,
        ] {
            for value in [figures.p50, figures.p99, figures.p999] {
                row.push(format!("{value:.2}"));
            }
        }
        row.push(format!("{:.3}", run.ingress_cpu_ms));
        row.push(format!("{:.3}", run.guard_cpu_ms));
        row.push(run.connections_peak.to_string());
        table.push(row);
    }
    let middle = |read: fn(&LatencyRun) -> f64| median(&runs.iter().map(read).collect::<Vec<_>>());
    format!(
        "latency of a call, ms\n{}median of the runs: daemons add p50 {:.2}, p99 {:.2}, p999 {:.2}; \
         two plain relays add p50 {:.2}, p99 {:.2}, p999 {:.2}\n\n",
        table.render(),
        middle(|run| run.added.p50),
        middle(|run| run.added.p99),
        middle(|run| run.added.p999),
        middle(|run| run.relays_add.p50),
        middle(|run| run.relays_add.p99),
        middle(|run| run.relays_add.p999),
    )
}
