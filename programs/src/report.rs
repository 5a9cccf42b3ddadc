//! `report`: reports over every live daemon; each registers itself.

use std::fmt;
use std::time::Duration;

use clap::ArgMatches;
use clap::Command;
use clap::FromArgMatches;
use clap::Subcommand;
use clap::error::ErrorKind;

use crate::output::CommandResult;

/// A report of the operator's program.
pub trait ReportPlugin: Sync {
    /// Name of the report, its subcommand under `report`.
    fn name(&self) -> &'static str;

    /// Adds the description and the arguments to the subcommand.
    fn arguments(&self, command: Command) -> Command;

    /// Makes the report; each daemon may take up to `timeout`.
    ///
    /// # Errors
    /// Any [`CommandFailure`](crate::failure::CommandFailure).
    fn run(&self, matches: &ArgMatches, timeout: Duration) -> CommandResult;
}

/// Registration of a report.
pub struct ReportRegistration {
    /// The report.
    pub report: &'static dyn ReportPlugin,
}

inventory::collect!(ReportRegistration);

/// A report that was asked for, with its arguments.
pub struct ReportCall {
    report: &'static dyn ReportPlugin,
    matches: ArgMatches,
}

impl fmt::Debug for ReportCall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("ReportCall")
            .field(&self.report.name())
            .finish()
    }
}

impl ReportCall {
    /// Makes the report.
    ///
    /// # Errors
    /// Any [`CommandFailure`](crate::failure::CommandFailure).
    pub fn run(&self, timeout: Duration) -> CommandResult {
        self.report.run(&self.matches, timeout)
    }
}

impl FromArgMatches for ReportCall {
    fn from_arg_matches(matches: &ArgMatches) -> Result<ReportCall, clap::Error> {
        let Some((name, matches)) = matches.subcommand() else {
            return Err(clap::Error::new(ErrorKind::MissingSubcommand));
        };
        let Some(report) = find_report(name) else {
            return Err(clap::Error::new(ErrorKind::InvalidSubcommand));
        };
        Ok(ReportCall {
            report,
            matches: matches.clone(),
        })
    }

    fn update_from_arg_matches(&mut self, matches: &ArgMatches) -> Result<(), clap::Error> {
        *self = ReportCall::from_arg_matches(matches)?;
        Ok(())
    }
}

impl Subcommand for ReportCall {
    fn augment_subcommands(command: Command) -> Command {
        let mut reports: Vec<&dyn ReportPlugin> = Vec::new();
        for registration in inventory::iter::<ReportRegistration> {
            reports.push(registration.report);
        }
        reports.sort_by_key(|report| report.name());
        let mut command = command
            .subcommand_required(true)
            .arg_required_else_help(true);
        for report in reports {
            command = command.subcommand(report.arguments(Command::new(report.name())));
        }
        command
    }

    fn augment_subcommands_for_update(command: Command) -> Command {
        ReportCall::augment_subcommands(command)
    }

    fn has_subcommand(name: &str) -> bool {
        find_report(name).is_some()
    }
}

fn find_report(name: &str) -> Option<&'static dyn ReportPlugin> {
    for registration in inventory::iter::<ReportRegistration> {
        if registration.report.name() == name {
            return Some(registration.report);
        }
    }
    None
}
