//! The daemon.

use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

use clap::Args;
use clap::Parser;
use clap::Subcommand;
use coltsfootweir::daemon::MeshDaemon;
use coltsfootweir::logging::start_logging;
use coltsfootweir::settings::DaemonArgs;
use coltsfootweir::settings::DaemonSettings;
use coltsfootweir::sidecar::daemon::StartOptions;
use coltsfootweir::sidecar::daemon::run_sidecar;
use coltsfootweir::sidecar::event_log::start_event_log;
use log::LevelFilter;
use platform::UserPlatform;
use programs::daemon_run::run_daemon;

/// Exit code for settings that cannot be used.
const EXIT_SETTINGS: u8 = 2;

/// The daemon that stands beside each upstream VM. Ends in order on SIGTERM or SIGINT.
#[derive(Parser)]
#[command(version, args_conflicts_with_subcommands = true)]
struct Arguments {
    #[command(subcommand)]
    mode: Option<Mode>,
    #[command(flatten)]
    daemon: DaemonArgs,
}

#[derive(Subcommand)]
enum Mode {
    /// Runs on the users' platform, with the settings file that the platform writes
    Sidecar(SidecarArgs),
}

#[derive(Args)]
struct SidecarArgs {
    /// Settings file of the platform; read again on SIGHUP and when it changes
    #[arg(long, env = "COLTSFOOTWEIR_SETTINGS")]
    settings: PathBuf,
    /// Port on which metrics are served as text under /metrics, beside the one for readiness checks
    #[arg(long, env = "COLTSFOOTWEIR_METRICS_PORT", value_parser = clap::value_parser!(u16).range(1..))]
    metrics_port: Option<u16>,
    /// Address at which other daemons reach this one, when it is not the one in the settings
    #[arg(long, env = "COLTSFOOTWEIR_ADVERTISED")]
    advertised: Option<SocketAddr>,
    /// Largest share of a service's requests that are sent to a second endpoint because the answer is
    /// overdue, in percent; 0 for none. Without it only the retry budget limits them
    #[arg(long, env = "COLTSFOOTWEIR_HEDGE_PERCENT", value_parser = clap::value_parser!(u8).range(..=100))]
    hedge_percent: Option<u8>,
    /// Log level: off, error, warn, info, debug or trace
    #[arg(long, env = "COLTSFOOTWEIR_LOG", default_value = "info")]
    log: LevelFilter,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    if let Some(Mode::Sidecar(sidecar)) = arguments.mode {
        return match run_on_platform(&sidecar) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("{error}");
                ExitCode::FAILURE
            }
        };
    }
    let settings = match arguments.daemon.check() {
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

fn run_on_platform(arguments: &SidecarArgs) -> Result<(), Box<dyn Error>> {
    start_event_log(arguments.log).map_err(|error| error.to_string())?;
    let options = StartOptions {
        settings: arguments.settings.clone(),
        metrics_port: arguments.metrics_port,
        advertised: arguments.advertised,
        hedge_percent: arguments.hedge_percent,
    };
    run_sidecar(&options, Rc::new(UserPlatform)).map_err(|error| format!("{error:?}"))?;
    Ok(())
}
