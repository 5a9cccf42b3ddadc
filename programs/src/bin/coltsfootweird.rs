//! The daemon.

use std::io::Write;
use std::process::ExitCode;

use clap::Parser;
use coltsfootweir::daemon::MeshDaemon;
use coltsfootweir::logging::start_logging;
use coltsfootweir::settings::DaemonArgs;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

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

fn run(
    settings: coltsfootweir::settings::DaemonSettings,
) -> Result<(), Box<dyn std::error::Error>> {
    start_logging(settings.log).map_err(|error| error.to_string())?;
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let daemon = MeshDaemon::start(settings).map_err(|error| format!("{error:?}"))?;
    let mut out = std::io::stdout();
    writeln!(
        out,
        "control {} calls {}",
        daemon.id(),
        daemon.call_address()
    )?;
    out.flush()?;
    signals.forever().next();
    daemon.stop();
    Ok(())
}
