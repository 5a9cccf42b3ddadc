//! Runs a command of the operator's program.

use crate::apply::apply_files;
use crate::arguments::OperatorArgs;
use crate::arguments::OperatorCommand;
use crate::demo::run_demo;
use crate::explain::explain_move;
use crate::get::get_records;
use crate::moves::list_moves;
use crate::output::CommandResult;
use crate::patient_store::PatientStore;
use crate::remove::remove_records;
use crate::status::show_status;
use crate::validate::validate_files;

/// Runs the command and returns what to print.
///
/// # Errors
/// [`CommandFailure`](crate::failure::CommandFailure), which has the exit code.
pub fn run_command(arguments: &OperatorArgs) -> CommandResult {
    let timeout = arguments.timeout;
    match &arguments.command {
        OperatorCommand::Demo => run_demo(),
        OperatorCommand::Mesh { command } => command.run(timeout),
        OperatorCommand::Validate { platform, files } => {
            let store = platform.map(|platform| PatientStore::new(platform, timeout));
            validate_files(store.as_ref().map(|store| store as _), files)
        }
        OperatorCommand::Apply {
            platform,
            files,
            wait,
            wait_limit,
        } => {
            let store = PatientStore::new(platform.platform, timeout);
            apply_files(&store, files, wait.then_some(*wait_limit))
        }
        OperatorCommand::Remove { platform, labels } => {
            remove_records(&PatientStore::new(platform.platform, timeout), labels)
        }
        OperatorCommand::Get {
            platform,
            kind,
            name,
            generation,
        } => {
            let store = PatientStore::new(platform.platform, timeout);
            get_records(&store, *kind, name.as_deref(), *generation)
        }
        OperatorCommand::Moves { platform } => {
            list_moves(&PatientStore::new(platform.platform, timeout))
        }
        OperatorCommand::Explain { platform, name } => {
            explain_move(&PatientStore::new(platform.platform, timeout), name)
        }
        OperatorCommand::Status { via } => show_status(via.daemon, timeout),
        OperatorCommand::Report { call } => call.run(timeout),
    }
}
