//! The kernel: starts every registered task and ends them by closing their channel.

use std::convert::Infallible;
use std::fmt;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use flume::Receiver;
use flume::RecvTimeoutError;
use flume::Sender;

use crate::context::DaemonContext;

/// Stack of a task's thread, in bytes.
const TASK_STACK: usize = 512 * 1024;

/// Tells a task to end: its channel closes.
#[derive(Clone, Debug)]
pub struct StopSignal {
    channel: Receiver<Infallible>,
}

impl StopSignal {
    /// Waits for at most `time`; returns whether the task must end.
    #[must_use]
    pub fn wait(&self, time: Duration) -> bool {
        !matches!(
            self.channel.recv_timeout(time),
            Err(RecvTimeoutError::Timeout)
        )
    }

    /// Returns whether the task must end.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.channel.is_disconnected()
    }

    /// Waits until the task must end.
    pub async fn wait_async(&self) {
        let _ = self.channel.recv_async().await;
    }
}

/// Makes a signal; dropping the sender sets it.
#[must_use]
pub fn stop_channel() -> (Sender<Infallible>, StopSignal) {
    let (sender, channel) = flume::bounded(0);
    (sender, StopSignal { channel })
}

/// When a task ends in a planned stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TaskStage {
    /// Ends first: takes calls, and finishes those that run.
    Calls,
    /// Ends last: what calls need.
    Control,
}

/// A part of the daemon that runs for as long as the daemon does.
pub trait DaemonTask: Sync {
    /// Name of the task's thread.
    fn name(&self) -> &'static str;

    /// When the task ends in a planned stop.
    fn stage(&self) -> TaskStage {
        TaskStage::Control
    }

    /// Runs until `stop` is set.
    fn run(&self, context: &Arc<DaemonContext>, stop: &StopSignal);
}

/// A registered task.
pub struct TaskPlugin {
    /// The task.
    pub task: &'static dyn DaemonTask,
}

inventory::collect!(TaskPlugin);

/// Failure to start a task.
#[derive(Debug)]
pub struct KernelError {
    task: &'static str,
}

impl fmt::Display for KernelError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "task {} could not be started", self.task)
    }
}

impl std::error::Error for KernelError {}

/// Running tasks; they end when the kernel is dropped.
pub struct TaskKernel {
    stop: Option<Sender<Infallible>>,
    threads: Vec<JoinHandle<()>>,
}

impl TaskKernel {
    /// Starts every registered task of a stage.
    ///
    /// # Errors
    /// [`KernelError`] when a thread cannot be made.
    pub fn start(
        context: &Arc<DaemonContext>,
        stage: TaskStage,
    ) -> Result<TaskKernel, Report<KernelError>> {
        let (sender, signal) = stop_channel();
        let mut kernel = TaskKernel {
            stop: Some(sender),
            threads: Vec::new(),
        };
        for plugin in inventory::iter::<TaskPlugin> {
            let task = plugin.task;
            if task.stage() != stage {
                continue;
            }
            let context = Arc::clone(context);
            let signal = signal.clone();
            let thread = thread::Builder::new()
                .name(task.name().into())
                .stack_size(TASK_STACK)
                .spawn(move || task.run(&context, &signal))
                .change_context(KernelError { task: task.name() })?;
            kernel.threads.push(thread);
        }
        Ok(kernel)
    }
}

impl Drop for TaskKernel {
    fn drop(&mut self) {
        drop(self.stop.take());
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}
