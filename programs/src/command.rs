//! Runs a command of the operator's program.

use crate::apply::apply_files;
use crate::apply::validate_files;
use crate::arguments::OperatorArgs;
use crate::arguments::OperatorCommand;
use crate::demo::run_demo;
use crate::failure::CommandResult;

/// Runs the command and returns the text to print.
///
/// # Errors
/// [`CommandFailure`](crate::failure::CommandFailure), which has the exit code.
pub fn run_command(arguments: &OperatorArgs) -> CommandResult {
    match &arguments.command {
        OperatorCommand::Demo => run_demo(),
        OperatorCommand::Validate { files } => validate_files(files),
        OperatorCommand::Apply {
            platform, files, ..
        } => apply_files(platform.platform, files),
    }
}
