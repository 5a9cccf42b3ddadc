//! Experiments: each registers itself and is run by name.

use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use clap::Parser;
use error_stack::Report;
use error_stack::ResultExt;
use serde::Serialize;
use serde_json::json;

use crate::deployment::DeploymentPreset;
use crate::failure::MeasureError;
use crate::failure::MeasureResult;
use crate::move_failure::FailureKind;
use crate::report::RunResult;
use crate::usage::machine_load;

/// Measures the programs that stand beside this one.
#[derive(Debug, Parser)]
#[command(name = "coltsfootweir-measure", version)]
pub struct MeasureArgs {
    /// Experiment: cost, calls, moves or convergence
    pub experiment: Box<str>,
    /// Settings of the run
    #[command(flatten)]
    pub settings: RunSettings,
    /// File for the JSON object; standard output when absent
    #[arg(long)]
    pub json: Option<PathBuf>,
}

/// Settings of a run.
#[derive(Args, Clone, Debug, Serialize)]
pub struct RunSettings {
    /// Numbers of daemons, separated by commas; those of the experiment when absent
    #[arg(long, value_delimiter = ',')]
    pub daemons: Vec<usize>,
    /// Time measured in each phase
    #[arg(long, default_value = "20s", value_parser = humantime::parse_duration)]
    pub window: Duration,
    /// Time between two changes under churn
    #[arg(long, default_value = "4s", value_parser = humantime::parse_duration)]
    pub change_interval: Duration,
    /// Time of work of an upstream for one call, microseconds
    #[arg(long, default_value_t = 2000)]
    pub work_us: u64,
    /// Calls a second for each daemon
    #[arg(long, default_value_t = 41.0)]
    pub rate: f64,
    /// Time within which a move is to be done
    #[arg(long, default_value = "180s", value_parser = humantime::parse_duration)]
    pub done_in: Duration,
    /// Deployment whose sizes are used
    #[arg(long, value_enum)]
    #[serde(skip)]
    pub deployment: Option<DeploymentPreset>,
    /// Failure that each move goes through
    #[arg(long, value_enum)]
    pub failure: Option<FailureKind>,
    /// Repetitions
    #[arg(long, default_value_t = 1)]
    pub runs: usize,
    /// Parts of the experiment to run, separated by commas; all when absent
    #[arg(long, value_delimiter = ',')]
    pub only: Vec<Box<str>>,
    /// Seed of the random choices
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

impl RunSettings {
    /// Tells whether a part of the experiment is to be run.
    #[must_use]
    pub fn wants(&self, part: &str) -> bool {
        self.only.is_empty() || self.only.iter().any(|name| **name == *part)
    }

    /// Numbers of daemons, or `usual` when none were given.
    #[must_use]
    pub fn sizes(&self, usual: &[usize]) -> Vec<usize> {
        if self.daemons.is_empty() {
            return usual.to_vec();
        }
        self.daemons.clone()
    }

    /// Deployments to measure.
    #[must_use]
    pub fn deployments(&self) -> Vec<DeploymentPreset> {
        match self.deployment {
            Some(deployment) => vec![deployment],
            None => vec![DeploymentPreset::Waterland, DeploymentPreset::Hanbit],
        }
    }
}

/// An experiment.
pub trait Experiment: Sync {
    /// Name on the command line.
    fn name(&self) -> &'static str;

    /// Runs it.
    ///
    /// # Errors
    /// Any [`MeasureError`].
    fn run(&self, settings: &RunSettings) -> MeasureResult<RunResult>;
}

/// A registered experiment.
pub struct ExperimentPlugin {
    /// The experiment.
    pub experiment: &'static dyn Experiment,
}

inventory::collect!(ExperimentPlugin);

/// Runs the experiment of the arguments and prints its results.
///
/// # Errors
/// Any [`MeasureError`].
pub fn run_experiment(arguments: &MeasureArgs) -> MeasureResult<()> {
    for plugin in inventory::iter::<ExperimentPlugin> {
        if plugin.experiment.name() != &*arguments.experiment {
            continue;
        }
        let load_before = machine_load();
        let result = plugin.experiment.run(&arguments.settings)?;
        let load_after = machine_load();
        print!("{}", result.text);
        println!("machine: before {load_before}; after {load_after}");
        let object = json!({
            "experiment": arguments.experiment,
            "settings": arguments.settings,
            "machine_before": load_before,
            "machine_after": load_after,
            "figures": result.figures,
        });
        return write_object(arguments, &object.to_string());
    }
    Err(Report::new(MeasureError::UnknownExperiment))
}

fn write_object(arguments: &MeasureArgs, object: &str) -> MeasureResult<()> {
    match &arguments.json {
        Some(path) => fs::write(path, format!("{object}\n")).change_context(MeasureError::Output),
        None => {
            println!("{object}");
            Ok(())
        }
    }
}
