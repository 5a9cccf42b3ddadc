//! What a command prints, and printing that outlives a reader who went away.

use std::io;
use std::io::Write;

use serde_json::Value;

use crate::failure::CommandFailure;

/// What a successful command has to say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CommandOutput {
    /// For people, on standard output.
    pub text: String,
    /// For programs, on standard output with `--json`.
    pub json: Value,
    /// Remarks for people that are not part of the result, on standard error without `--json`.
    pub notes: String,
}

/// Result of a command.
pub type CommandResult = Result<CommandOutput, CommandFailure>;

impl CommandOutput {
    /// Creates an output without notes.
    #[must_use]
    pub fn new(text: impl Into<String>, json: Value) -> CommandOutput {
        CommandOutput {
            text: text.into(),
            json,
            notes: String::new(),
        }
    }
}

/// Prints the result of a command and returns the exit code of the program.
#[must_use]
pub fn print_result(result: &CommandResult, json: bool) -> u8 {
    match result {
        Ok(output) if json => print_text(&format!("{}\n", output.json)),
        Ok(output) => {
            print_note(&output.notes);
            print_text(&output.text);
        }
        Err(failure) => {
            print_note(&format!("{failure}\n"));
            if json {
                print_text(&format!("{}\n", failure.to_json()));
            }
        }
    }
    result
        .as_ref()
        .map_or_else(CommandFailure::exit_code, |_| 0)
}

/// Writes to standard output; a reader that closed the pipe wants no more.
pub fn print_text(text: &str) {
    let mut out = io::stdout().lock();
    let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
}

/// Writes to standard error.
pub fn print_note(text: &str) {
    let _ = io::stderr().write_all(text.as_bytes());
}
