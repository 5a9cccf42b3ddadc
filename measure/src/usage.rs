//! Processor time and memory of a process, as the kernel counts them.

use std::fs;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;

use crate::failure::MeasureError;
use crate::failure::MeasureResult;

/// Processor clock ticks a second that `/proc` counts in.
const TICKS_PER_SECOND: u64 = 100;

/// Position of the user time in `/proc/<pid>/stat`, counted after the command's name.
const USER_FIELD: usize = 11;

/// What a process has used.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessUsage {
    /// Processor time since the start, user and system.
    pub processor: Duration,
    /// Resident memory, bytes.
    pub resident: u64,
    /// Threads.
    pub threads: u64,
}

/// Reads the usage of a process.
///
/// # Errors
/// [`MeasureError::ProcessFigures`].
pub fn read_usage(pid: u32) -> MeasureResult<ProcessUsage> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))
        .change_context(MeasureError::ProcessFigures)?;
    let status = fs::read_to_string(format!("/proc/{pid}/status"))
        .change_context(MeasureError::ProcessFigures)?;
    let missing = || Report::new(MeasureError::ProcessFigures);
    let (_, fields) = stat.rsplit_once(')').ok_or_else(missing)?;
    let ticks: u64 = fields
        .split_whitespace()
        .skip(USER_FIELD)
        .take(2)
        .filter_map(|field| field.parse::<u64>().ok())
        .sum();
    Ok(ProcessUsage {
        processor: Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND),
        resident: status_number(&status, "VmRSS:").ok_or_else(missing)? * 1024,
        threads: status_number(&status, "Threads:").ok_or_else(missing)?,
    })
}

fn status_number(status: &str, name: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(name))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Load averages and free memory of the machine, as one line.
#[must_use]
pub fn machine_load() -> Box<str> {
    let load = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let load: Vec<&str> = load.split_whitespace().take(3).collect();
    let memory = fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let free = status_number(&memory, "MemAvailable:").unwrap_or(0) / 1024;
    format!("load {}, {free} MB available", load.join(" ")).into()
}
