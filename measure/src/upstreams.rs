//! Upstream stand-ins as processes, and a group of them that are restarted when they crash.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use error_stack::ResultExt;
use flume::Receiver;
use flume::RecvTimeoutError;
use flume::Sender;
use standins::upstream_faults::UpstreamFaults;

use crate::failure::MeasureError;
use crate::failure::MeasureResult;
use crate::probe::post;
use crate::process::ChildProcess;

/// Time between two looks for crashed upstreams, and so the longest time to a restart.
const RESTART_INTERVAL: Duration = Duration::from_secs(1);

/// What an upstream stand-in is started with.
#[derive(Clone, Debug)]
pub struct UpstreamPlan {
    /// Control address of the daemon beside it; none for one that is called directly.
    pub daemon: Option<SocketAddr>,
    /// Service.
    pub service: Box<str>,
    /// Version.
    pub version: Box<str>,
    /// Time of work for one call.
    pub work: Duration,
    /// Connections it holds at once.
    pub connection_limit: u32,
    /// Seed of its random choices.
    pub seed: u64,
    /// Faults it shows.
    pub faults: UpstreamFaults,
    /// Further flags.
    pub flags: Vec<String>,
}

/// Starts an upstream stand-in.
///
/// # Errors
/// [`MeasureError::Start`].
pub fn start_upstream(plan: &UpstreamPlan) -> MeasureResult<ChildProcess> {
    let faults = serde_json::to_string(&plan.faults)
        .change_context_lazy(|| MeasureError::Start("standin-upstream".into()))?;
    let mut arguments = vec![
        format!("--service={}", plan.service),
        format!("--version={}", plan.version),
        format!("--work-us={}", plan.work.as_micros()),
        format!("--connection-limit={}", plan.connection_limit),
        format!("--seed={}", plan.seed),
        format!("--faults={faults}"),
    ];
    if let Some(daemon) = plan.daemon {
        arguments.push(format!("--daemon={daemon}"));
    }
    arguments.extend_from_slice(&plan.flags);
    ChildProcess::start("standin-upstream", &arguments)
}

struct GroupMember {
    plan: UpstreamPlan,
    process: ChildProcess,
}

/// Members shared with the restarting thread.
type SharedMembers = Arc<Mutex<Vec<GroupMember>>>;

/// Upstreams that are started again after a crash, until the group is dropped.
pub struct UpstreamGroup {
    members: SharedMembers,
    stop: Option<Sender<Infallible>>,
    thread: Option<JoinHandle<()>>,
}

impl UpstreamGroup {
    /// Starts an upstream for each plan.
    ///
    /// # Errors
    /// [`MeasureError::Start`].
    pub fn start(plans: impl IntoIterator<Item = UpstreamPlan>) -> MeasureResult<UpstreamGroup> {
        let mut list = Vec::new();
        for plan in plans {
            let process = start_upstream(&plan)?;
            list.push(GroupMember { plan, process });
        }
        let members: SharedMembers = Arc::new(Mutex::new(list));
        let (sender, stop) = flume::bounded(0);
        let shared = Arc::clone(&members);
        Ok(UpstreamGroup {
            members,
            stop: Some(sender),
            thread: Some(thread::spawn(move || restart_crashed(&shared, &stop))),
        })
    }

    /// Addresses of the upstreams of a version.
    #[must_use]
    pub fn addresses(&self, version: &str) -> Vec<SocketAddr> {
        lock(&self.members)
            .iter()
            .filter(|member| *member.plan.version == *version)
            .map(|member| member.process.addresses()[0])
            .collect()
    }

    /// Starts the clock of the faults anew at every upstream.
    ///
    /// # Errors
    /// [`MeasureError::NoAnswer`].
    pub fn reset_faults(&self) -> MeasureResult<()> {
        for member in lock(&self.members).iter() {
            let address = member.process.addresses()[0];
            post(address, "/standin/faults", &member.plan.faults)?;
        }
        Ok(())
    }
}

fn lock(members: &SharedMembers) -> MutexGuard<'_, Vec<GroupMember>> {
    members.lock().unwrap_or_else(PoisonError::into_inner)
}

fn restart_crashed(members: &SharedMembers, stop: &Receiver<Infallible>) {
    while let Err(RecvTimeoutError::Timeout) = stop.recv_timeout(RESTART_INTERVAL) {
        for member in lock(members).iter_mut() {
            if !member.process.has_ended() {
                continue;
            }
            if let Ok(process) = start_upstream(&member.plan) {
                member.process = process;
            }
        }
    }
}

impl Drop for UpstreamGroup {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
