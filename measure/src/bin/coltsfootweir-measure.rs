//! Runs one experiment and prints its table and its JSON object.

use std::process::ExitCode;

use clap::Parser;
use measure::experiment::MeasureArgs;
use measure::experiment::run_experiment;
use measure::process::end_on_signal;

fn main() -> ExitCode {
    let arguments = MeasureArgs::parse();
    match end_on_signal().and_then(|()| run_experiment(&arguments)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}
