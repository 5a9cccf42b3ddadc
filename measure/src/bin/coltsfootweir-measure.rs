//! Runs one experiment and prints its table and its JSON object.

use std::process::ExitCode;

use clap::Parser;
use measure::experiment::MeasureArgs;
use measure::experiment::run_experiment;

fn main() -> ExitCode {
    match run_experiment(&MeasureArgs::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}
