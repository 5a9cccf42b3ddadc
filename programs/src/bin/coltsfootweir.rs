//! The operator's program.

use std::process::ExitCode;

use clap::Parser;
use programs::arguments::OperatorArgs;
use programs::command::run_command;

fn main() -> ExitCode {
    match run_command(&OperatorArgs::parse()) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(failure) => {
            eprintln!("{failure}");
            ExitCode::from(failure.exit_code())
        }
    }
}
