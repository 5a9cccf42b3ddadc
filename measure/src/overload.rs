//! Overload: twice the load that the slots can do, against as many callers as slots.

use std::time::Duration;

use serde::Serialize;

use crate::call_fleet::CallFleet;
use crate::call_fleet::GUARD_COUNT;
use crate::call_fleet::THROUGH;
use crate::call_fleet::UNLIMITED;
use crate::experiment::RunSettings;
use crate::failure::MeasureResult;
use crate::load::CallResult;
use crate::report::TextTable;
use crate::tally::CallTally;

/// Slots of an upstream.
const UPSTREAM_SLOTS: f64 = 9.0;

/// Work of an upstream for one call under overload.
pub(crate) const OVERLOAD_WORK: Duration = Duration::from_millis(50);

/// Offered load under overload, in times of what the slots can do.
const OVERLOAD_FACTOR: f64 = 2.0;

/// Deadline of a call under overload, milliseconds.
const OVERLOAD_DEADLINE_MS: &str = "1000";

/// Figures of overload.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct OverloadRun {
    way: &'static str,
    offered: f64,
    good_a_second: f64,
    tally: CallTally,
    runs: u64,
    connections_peak: u32,
    connections_refused: u64,
}

impl CallFleet {
    pub(crate) fn measure_peak(
        &self,
        settings: &RunSettings,
        way: usize,
    ) -> MeasureResult<OverloadRun> {
        let slots = UPSTREAM_SLOTS * GUARD_COUNT as f64;
        let plan = self.plan(way, Some(OVERLOAD_DEADLINE_MS));
        let before = self.runs()?;
        let results = self.load.run_closed(slots as usize, settings.window, plan);
        self.overload_run(settings, way, before, slots, &results)
    }

    pub(crate) fn measure_overload(
        &self,
        settings: &RunSettings,
        way: usize,
    ) -> MeasureResult<OverloadRun> {
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
        results: &[CallResult],
    ) -> MeasureResult<OverloadRun> {
        let tally = CallTally::of(results, way);
        let connections = self.connections()?;
        Ok(OverloadRun {
            way: match way {
                THROUGH => "daemons",
                UNLIMITED => "no limits",
                _ => "direct",
            },
            offered,
            good_a_second: tally.good as f64 / settings.window.as_secs_f64(),
            tally,
            runs: self.runs()? - runs_before,
            connections_peak: connections.peak,
            connections_refused: connections.refused,
        })
    }
}

/// Table of runs.
pub(crate) fn render_overload(runs: &[OverloadRun]) -> String {
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
