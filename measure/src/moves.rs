//! Experiment `moves`: good and bad versions, against fixed timed steps without evidence.

use std::thread;

use error_stack::Report;
use serde::Serialize;
use serde_json::json;

use crate::deployment::DeploymentPreset;
use crate::experiment::Experiment;
use crate::experiment::ExperimentPlugin;
use crate::experiment::RunSettings;
use crate::failure::MeasureError;
use crate::failure::MeasureResult;
use crate::move_case::CaseResult;
use crate::move_case::run_case;
use crate::report::RunResult;
use crate::report::TextTable;
use crate::version_fault::VERSION_CASES;
use crate::version_fault::VersionCase;

/// Seeds between two cases, so that none share choices.
const SEED_STRIDE: u64 = 1000;

/// Cases that run at the same time.
const CASES_AT_ONCE: usize = 4;

struct MovesExperiment;

inventory::submit! { ExperimentPlugin { experiment: &MovesExperiment } }

#[derive(Debug, Serialize)]
struct DeploymentResult {
    deployment: Box<str>,
    cases: Vec<CaseResult>,
}

impl Experiment for MovesExperiment {
    fn name(&self) -> &'static str {
        "moves"
    }

    fn run(&self, settings: &RunSettings) -> MeasureResult<RunResult> {
        let mut text = match settings.failure {
            Some(failure) => format!("failure: {failure:?}\n"),
            None => String::new(),
        };
        let mut list = Vec::new();
        for deployment in settings.deployments() {
            let cases = run_cases(deployment, settings)?;
            text.push_str(&render(deployment, &cases));
            let deployment = format!("{deployment:?}").to_lowercase().into();
            list.push(DeploymentResult { deployment, cases });
        }
        Ok(RunResult {
            text,
            figures: json!({"deployments": list}),
        })
    }
}

fn run_cases(
    deployment: DeploymentPreset,
    settings: &RunSettings,
) -> MeasureResult<Vec<CaseResult>> {
    let mut planned: Vec<(VersionCase, u64)> = Vec::new();
    for run in 0..settings.runs {
        for case in VERSION_CASES {
            if !settings.wants(case.name) {
                continue;
            }
            let number = (run * VERSION_CASES.len() + planned.len()) as u64;
            planned.push((case, settings.seed + number * SEED_STRIDE));
        }
    }
    let mut cases = Vec::new();
    for batch in planned.chunks(CASES_AT_ONCE) {
        let results: Vec<MeasureResult<CaseResult>> = thread::scope(|scope| {
            let mut running = Vec::new();
            for (case, seed) in batch {
                running.push(scope.spawn(|| run_case(*case, deployment, settings, *seed)));
            }
            let failure = || MeasureError::NotReached("end of a case".into());
            let join = |case: thread::ScopedJoinHandle<'_, MeasureResult<CaseResult>>| {
                case.join().unwrap_or_else(|_| Err(Report::new(failure())))
            };
            running.into_iter().map(join).collect()
        });
        for result in results {
            cases.push(result?);
        }
    }
    Ok(cases)
}

fn render(deployment: DeploymentPreset, cases: &[CaseResult]) -> String {
    let mut table = TextTable::new(&[
        "case",
        "seed",
        "right",
        "phase",
        "ended s",
        "failure from s",
        "condemned s",
        "to s",
        "bookings",
        "harmed",
        "refused",
        "on new",
        "checks",
        "harmed",
        "first fault s",
        "exposure s",
        "steps: harmed",
        "checks harmed",
        "exposure s",
        "cpu %",
        "B/s",
        "max",
        "evidence B/s",
    ]);
    let seconds = |value: Option<f64>| value.map_or("-".into(), |value| format!("{value:.1}"));
    for case in cases {
        let (harm, steps) = (&case.harm, &case.step_harm);
        table.push([
            case.case.to_string(),
            case.seed.to_string(),
            if case.is_right { "yes" } else { "NO" }.to_string(),
            format!("{:?}", case.phase),
            seconds(case.ended),
            seconds(case.failure.from),
            seconds(case.failure.condemned),
            seconds(case.failure.to),
            harm.bookings.to_string(),
            harm.bookings_harmed.to_string(),
            harm.bookings_refused.to_string(),
            harm.new_bookings.to_string(),
            harm.checks.to_string(),
            harm.checks_harmed.to_string(),
            seconds(harm.first_fault),
            seconds(harm.exposure),
            steps.bookings_harmed.to_string(),
            steps.checks_harmed.to_string(),
            seconds(steps.exposure),
            format!("{:.2}", case.used.processor_percent),
            format!("{:.0}", case.used.control_bytes),
            format!("{:.0}", case.used.control_bytes_max),
            format!("{:.0}", case.used.evidence_bytes),
        ]);
    }
    let mut text = format!("moves, {deployment:?}\n{}", table.render());
    for case in cases {
        text.push_str(&format!("{}: {}\n", case.case, case.reason));
    }
    text.push_str(&score_line(deployment, cases));
    text
}

/// The figures that the deployment weighs more.
fn score_line(deployment: DeploymentPreset, cases: &[CaseResult]) -> String {
    let right = |is_good: bool| {
        let list = cases.iter().filter(|case| case.is_good == is_good);
        let right = list.clone().filter(|case| case.is_right).count();
        format!("{right} of {}", list.count())
    };
    let sum = |read: fn(&CaseResult) -> u64| cases.iter().map(read).sum::<u64>();
    let bytes = cases
        .iter()
        .map(|case| case.used.control_bytes)
        .sum::<f64>()
        / cases.len().max(1) as f64;
    let first = match deployment {
        DeploymentPreset::Waterland => format!("bad versions taken back {}", right(false)),
        DeploymentPreset::Hanbit => format!(
            "good versions done in time {}, control {bytes:.0} B/s a daemon",
            right(true)
        ),
    };
    format!(
        "score, {deployment:?}: {first}; bookings harmed {}, of them refused {} (fixed steps {})\n\n",
        sum(|case| case.harm.bookings_harmed),
        sum(|case| case.harm.bookings_refused),
        sum(|case| case.step_harm.bookings_harmed),
    )
}
