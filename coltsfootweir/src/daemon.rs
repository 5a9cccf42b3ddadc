//! A whole daemon: binds its ports, starts its tasks, and stops without cutting a request.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use error_stack::Report;
use error_stack::ResultExt;
use log::info;
use log::warn;

use crate::context::DaemonContext;
use crate::context::lock;
use crate::daemon_build::make_context;
pub use crate::daemon_parts::DaemonParts;
use crate::ids::MemberId;
use crate::kernel::TaskKernel;
use crate::kernel::TaskStage;
use crate::logging::DAEMON;
use crate::reports::DaemonStatus;
use crate::settings::DaemonSettings;

/// Time for which a leaving daemon still takes calls, so that others learn of it first.
const LEAVE_GRACE: Duration = Duration::from_secs(2);

/// Time between two looks at what still runs while draining.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Why a daemon could not be started.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DaemonError {
    /// A port could not be bound.
    Bind(SocketAddr),
    /// The metrics could not be opened.
    Metrics,
    /// A task could not be started.
    Task,
}

impl fmt::Display for DaemonError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DaemonError::Bind(address) => write!(f, "address {address} could not be bound"),
            DaemonError::Metrics => f.write_str("metrics could not be opened"),
            DaemonError::Task => f.write_str("a task could not be started"),
        }
    }
}

impl std::error::Error for DaemonError {}

/// A running daemon. Dropping it ends it at once; [`MeshDaemon::stop`] ends it in order.
pub struct MeshDaemon {
    context: Arc<DaemonContext>,
    calls: Option<TaskKernel>,
    control: Option<TaskKernel>,
}

impl fmt::Debug for MeshDaemon {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MeshDaemon")
            .field("id", &self.context.id)
            .finish_non_exhaustive()
    }
}

impl MeshDaemon {
    /// Starts a daemon.
    ///
    /// # Errors
    /// [`DaemonError`].
    pub fn start(settings: DaemonSettings) -> Result<MeshDaemon, Report<DaemonError>> {
        let parts = DaemonParts::new(&settings);
        MeshDaemon::start_with(settings, parts)
    }

    /// Starts a daemon with other parts at its borders.
    ///
    /// # Errors
    /// [`DaemonError`].
    pub fn start_with(
        settings: DaemonSettings,
        parts: DaemonParts,
    ) -> Result<MeshDaemon, Report<DaemonError>> {
        let context = Arc::new(make_context(settings, parts)?);
        let control =
            TaskKernel::start(&context, TaskStage::Control).change_context(DaemonError::Task)?;
        let calls =
            TaskKernel::start(&context, TaskStage::Calls).change_context(DaemonError::Task)?;
        info!(target: DAEMON, "started as {} with calls on {}", context.id, context.call_address);
        Ok(MeshDaemon {
            context,
            calls: Some(calls),
            control: Some(control),
        })
    }

    /// Control address, the daemon's identity.
    #[must_use]
    pub fn id(&self) -> &MemberId {
        &self.context.id
    }

    /// Address that takes calls.
    #[must_use]
    pub fn call_address(&self) -> SocketAddr {
        self.context.call_address
    }

    /// Standing of the daemon now.
    #[must_use]
    pub fn status(&self) -> DaemonStatus {
        self.context.status()
    }

    /// Stops in order: announces the leave, takes no new work for the own upstream, finishes what
    /// runs, and ends.
    pub fn stop(mut self) {
        let context = Arc::clone(&self.context);
        info!(target: DAEMON, "leaving");
        context.leaving.store(true, Ordering::Relaxed);
        let entry = context.upstream.drain(context.now());
        lock(&context.gossip).set_endpoint(entry);
        context.refresh_index();
        context.push_urgent();
        thread::sleep(LEAVE_GRACE);
        drop(self.calls.take());
        let start = Instant::now();
        while !context.upstream.is_idle() {
            if start.elapsed() > context.settings.drain_limit {
                warn!(target: DAEMON, "requests still ran at the drain limit");
                break;
            }
            thread::sleep(DRAIN_POLL);
        }
        lock(&context.gossip).leave();
        context.push_urgent();
        thread::sleep(LEAVE_GRACE / 4);
        drop(self.control.take());
        info!(target: DAEMON, "stopped");
    }
}
