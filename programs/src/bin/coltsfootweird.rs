//! The daemon.

use std::error::Error;
use std::process::ExitCode;

use clap::Parser;
use coltsfootweir::daemon::MeshDaemon;
use coltsfootweir::logging::start_logging;
use coltsfootweir::settings::DaemonArgs;
use coltsfootweir::settings::DaemonSettings;
use programs::daemon_run::run_daemon;

/// Exit code for settings that cannot be used.
const EXIT_SETTINGS: u8 = 2;

/// The daemon that stands beside each upstream VM. Ends in order on SIGTERM or SIGINT.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(flatten)]
    daemon: DaemonArgs,
}

fn main() -> ExitCode {
    let settings = match Arguments::parse().daemon.check() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run(settings: DaemonSettings) -> Result<(), Box<dyn Error>> {
    start_logging(settings.log).map_err(|error| error.to_string())?;
    run_daemon(|| MeshDaemon::start(settings))
}
