//! One run of a daemon as a process: from its start to the signal that ends it.

use std::error::Error;
use std::io::Write;

use coltsfootweir::daemon::DaemonError;
use coltsfootweir::daemon::MeshDaemon;
use error_stack::Report;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

/// Starts a daemon, prints its addresses, and stops it in order on SIGTERM or SIGINT.
///
/// # Errors
/// Those of `start`, of the signals and of standard output.
pub fn run_daemon(
    start: impl FnOnce() -> Result<MeshDaemon, Report<DaemonError>>,
) -> Result<(), Box<dyn Error>> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let daemon = start().map_err(|error| format!("{error:?}"))?;
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
