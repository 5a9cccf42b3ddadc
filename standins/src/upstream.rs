//! The upstream stand-in.
//!
//! Any path runs a request. `GET /health` and `GET /load` are probes. `GET` and
//! `POST /standin/faults`, `POST /standin/leave`, `POST /standin/crash`,
//! `GET /standin/runs?after=N` and `GET /standin/stats` are switches and oracle.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::thread::JoinHandle;

use error_stack::Report;
use error_stack::ResultExt;

use crate::announcer::spawn_announcer;
use crate::port_holder::PortHolder;
use crate::run_log::RunEntry;
use crate::upstream_faults::UpstreamFaults;
use crate::upstream_life::run_life;
use crate::upstream_settings::UpstreamSettings;
use crate::upstream_state::UpstreamState;
use crate::upstream_stats::UpstreamStats;

/// Failure of an upstream stand-in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamError {
    /// The address could not be listened on.
    Listen,
}

impl fmt::Display for UpstreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("upstream stand-in cannot listen")
    }
}

impl std::error::Error for UpstreamError {}

/// A running upstream stand-in; dropping it stops it without finishing what runs.
#[derive(Debug)]
pub struct UpstreamServer {
    state: Arc<UpstreamState>,
    holder: Arc<PortHolder>,
    life_task: Mutex<Option<JoinHandle<()>>>,
}

impl UpstreamServer {
    /// Starts an upstream and its announcements.
    ///
    /// # Errors
    /// [`UpstreamError::Listen`] when the address cannot be listened on.
    pub fn start(settings: UpstreamSettings) -> Result<UpstreamServer, Report<UpstreamError>> {
        let holder = PortHolder::bind(settings.listen).change_context(UpstreamError::Listen)?;
        let server = UpstreamServer {
            state: Arc::new(UpstreamState::new(settings)),
            holder: Arc::new(holder),
            life_task: Mutex::new(None),
        };
        server.begin_life()?;
        Ok(server)
    }

    /// Address on which it takes requests.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.holder.address()
    }

    /// Every run so far, in start order, over all restarts.
    #[must_use]
    pub fn runs(&self) -> Vec<RunEntry> {
        self.state.runs_after(0)
    }

    /// Counts so far, over all restarts.
    #[must_use]
    pub fn stats(&self) -> UpstreamStats {
        self.state.stats()
    }

    /// Replaces the faults; their clock starts anew.
    pub fn set_faults(&self, faults: UpstreamFaults) {
        self.state.set_faults(faults);
    }

    /// Announces that it is leaving; it still runs what comes.
    pub fn leave(&self) {
        self.state.leave();
    }

    /// Crashes: resets every connection without an answer and closes the port.
    pub fn crash(&self) {
        self.state.end_life();
        self.wait_end();
    }

    /// Starts again on the same address after a crash, cold; a running one is crashed first.
    ///
    /// # Errors
    /// [`UpstreamError::Listen`] when the address cannot be listened on.
    pub fn restart(&self) -> Result<(), Report<UpstreamError>> {
        self.crash();
        self.begin_life()
    }

    /// Waits until it has crashed.
    pub fn wait_end(&self) {
        let life_task = self.lock_life().take();
        if let Some(life_task) = life_task {
            let _ = life_task.join();
        }
    }

    fn lock_life(&self) -> MutexGuard<'_, Option<JoinHandle<()>>> {
        self.life_task
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn begin_life(&self) -> Result<(), Report<UpstreamError>> {
        let (life_sender, life) = flume::bounded(1);
        let (nudge_sender, nudges) = flume::bounded(1);
        let (ready_sender, ready) = flume::bounded(1);
        self.state.begin_life(life_sender, nudge_sender);
        let state = Arc::clone(&self.state);
        let holder = Arc::clone(&self.holder);
        let life_task = thread::spawn(move || run_life(state, &holder, life, ready_sender));
        *self.lock_life() = Some(life_task);
        let listening = ready.recv().change_context(UpstreamError::Listen)?;
        listening.change_context(UpstreamError::Listen)?;
        if let Some(daemon) = self.state.settings.daemon {
            spawn_announcer(Arc::clone(&self.state), self.address(), daemon, nudges);
        }
        Ok(())
    }
}

impl Drop for UpstreamServer {
    fn drop(&mut self) {
        self.crash();
    }
}
