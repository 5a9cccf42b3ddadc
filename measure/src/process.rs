//! Child processes that end with their handle.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use error_stack::Report;
use error_stack::ResultExt;

use crate::failure::MeasureError;
use crate::failure::MeasureResult;

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
        let mut child = Command::new(own.with_file_name(program))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .change_context_lazy(failure)?;
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

    /// Tells whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
