//! The operator's program.

use std::env;
use std::process::ExitCode;

use clap::Parser;
use clap::error::ErrorKind;
use programs::arguments::OperatorArgs;
use programs::command::run_command;
use programs::failure::EXIT_USAGE;
use programs::output::print_note;
use programs::output::print_result;
use programs::output::print_text;
use serde_json::json;

fn main() -> ExitCode {
    match OperatorArgs::try_parse() {
        Ok(arguments) => {
            let result = run_command(&arguments);
            ExitCode::from(print_result(&result, arguments.json))
        }
        Err(error) => print_usage(&error),
    }
}

/// Prints the help that was asked for, or what is wrong with the arguments.
fn print_usage(error: &clap::Error) -> ExitCode {
    let text = error.to_string();
    if matches!(
        error.kind(),
        ErrorKind::DisplayHelp | ErrorKind::DisplayVersion
    ) {
        print_text(&text);
        return ExitCode::SUCCESS;
    }
    print_note(&text);
    if env::args_os().any(|argument| argument == "--json") {
        let error = json!({"kind": "usage", "exit_code": EXIT_USAGE, "message": text.trim()});
        print_text(&format!("{}\n", json!({ "error": error })));
    }
    ExitCode::from(EXIT_USAGE)
}
