//! The daemon with a link between the regions that signals cut and mend, for measurements.
//!
//! Each region has a loopback address of its own, so a peer at another address is beyond the link.

use std::error::Error;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use clap::Parser;
use coltsfootweir::daemon::DaemonParts;
use coltsfootweir::daemon::MeshDaemon;
use coltsfootweir::dialer::PeerDialer;
use coltsfootweir::settings::DaemonArgs;
use programs::daemon_run::run_daemon;
use signal_hook::consts::SIGUSR1;
use signal_hook::consts::SIGUSR2;
use signal_hook::flag::register_usize;

/// The daemon; SIGUSR1 cuts it off from other loopback addresses, SIGUSR2 mends that.
#[derive(Parser)]
struct Arguments {
    #[command(flatten)]
    daemon: DaemonArgs,
}

#[derive(Debug)]
struct CutDialer {
    own: IpAddr,
    is_cut: Arc<AtomicUsize>,
}

impl PeerDialer for CutDialer {
    fn dial(&self, peer: SocketAddr) -> Option<SocketAddr> {
        let is_passed = peer.ip() == self.own || self.is_cut.load(Ordering::Relaxed) == 0;
        is_passed.then_some(peer)
    }
}

fn main() -> ExitCode {
    match run(&Arguments::parse().daemon) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &DaemonArgs) -> Result<(), Box<dyn Error>> {
    let settings = arguments.check()?;
    let is_cut = Arc::new(AtomicUsize::new(0));
    register_usize(SIGUSR1, Arc::clone(&is_cut), 1)?;
    register_usize(SIGUSR2, Arc::clone(&is_cut), 0)?;
    let mut parts = DaemonParts::new(&settings);
    let own = settings.control.ip();
    parts.dialer = Arc::new(CutDialer { own, is_cut });
    run_daemon(|| MeshDaemon::start_with(settings, parts))
}
