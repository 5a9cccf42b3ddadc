//! Child processes that end with their handle.

use std::collections::BTreeSet;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;

use error_stack::Report;
use error_stack::ResultExt;
use error_stack::bail;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use crate::failure::MeasureError;
use crate::failure::MeasureResult;

/// Exit code after a signal.
const SIGNAL_EXIT_CODE: i32 = 130;

/// Ids of the children that run, for the end by a signal.
static RUNNING: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

fn running() -> MutexGuard<'static, BTreeSet<u32>> {
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Kills the children and ends this process on SIGINT or SIGTERM.
///
/// # Errors
/// [`MeasureError::Start`] when signals cannot be received.
pub fn end_on_signal() -> MeasureResult<()> {
    let failure = || MeasureError::Start("signals".into());
    let mut signals = Signals::new([SIGINT, SIGTERM]).change_context_lazy(failure)?;
    thread::spawn(move || {
        if signals.forever().next().is_none() {
            return;
        }
        // The lock is kept, so that no child is started any more.
        let children = running();
        for id in children.iter() {
            let _ = Command::new("kill")
                .args(["-KILL", &id.to_string()])
                .status();
        }
        std::process::exit(SIGNAL_EXIT_CODE);
    });
    Ok(())
}

/// A child process; it is killed by its id when the handle is dropped.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
    addresses: Vec<SocketAddr>,
}

impl ChildProcess {
    /// Starts a program that stands beside this one and reads the addresses on its first line.
    ///
    /// # Errors
    /// [`MeasureError::Start`].
    pub fn start(program: &str, arguments: &[String]) -> MeasureResult<ChildProcess> {
        let failure = || MeasureError::Start(program.into());
        let own = std::env::current_exe().change_context_lazy(failure)?;
        let mut children = running();
        let mut child = Command::new(own.with_file_name(program))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .change_context_lazy(failure)?;
        children.insert(child.id());
        drop(children);
        let out = child.stdout.take();
        let mut process = ChildProcess {
            child,
            addresses: Vec::new(),
        };
        let mut line = String::new();
        let out = out.ok_or_else(|| Report::new(failure()))?;
        BufReader::new(out)
            .read_line(&mut line)
            .change_context_lazy(failure)?;
        process.addresses = line
            .split_whitespace()
            .filter_map(|word| word.parse().ok())
            .collect();
        if process.addresses.is_empty() {
            return Err(Report::new(failure()));
        }
        Ok(process)
    }

    /// Addresses that the program printed, in order; at least one.
    #[must_use]
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends the process a signal by name, as `STOP`.
    ///
    /// # Errors
    /// [`MeasureError::Start`] when the signal is not sent.
    pub fn signal(&self, name: &str) -> MeasureResult<()> {
        let failure = || MeasureError::Start("kill".into());
        let status = Command::new("kill")
            .args([format!("-{name}"), self.id().to_string()])
            .status()
            .change_context_lazy(failure)?;
        if !status.success() {
            bail!(failure());
        }
        Ok(())
    }

    /// Tells whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let mut children = running();
        let has_ended = matches!(self.child.try_wait(), Ok(Some(_)));
        if has_ended {
            children.remove(&self.child.id());
        }
        has_ended
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        // A child that was waited for no longer owns its id.
        let mut children = running();
        let _ = self.child.kill();
        let _ = self.child.wait();
        children.remove(&self.child.id());
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
