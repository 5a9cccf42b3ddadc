//! Structured logs on standard output.
//!
//! Lines go through a bounded channel to a writer thread, so that a stalled reader of standard
//! output does not block the daemon. Lines that do not fit into the channel are dropped and counted.

use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;

use error_stack::Report;
use error_stack::ResultExt;
use flume::Receiver;
use log::LevelFilter;

use crate::logging::LoggingError;

/// Capacity of the channel in lines: some seconds of a busy daemon.
const QUEUE_CAPACITY: usize = 1024;

/// Interval between writes, so that a busy daemon writes many lines at once.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns the number of dropped log lines, plus one for each failed write to standard output.
#[must_use]
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Starts logging to standard output, one JSON object per line. A message that is itself a JSON
/// object is written under the key `event`, any other under `message`.
///
/// # Errors
/// Returns [`LoggingError`] if a logger is already set or the writer thread cannot start.
pub fn start_event_log(level: LevelFilter) -> Result<(), Report<LoggingError>> {
    let (lines, queue) = flume::bounded::<String>(QUEUE_CAPACITY);
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&queue))
        .change_context(LoggingError)?;
    let output = fern::Output::call(move |record| {
        if lines.try_send(record.args().to_string()).is_err() {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
    });
    fern::Dispatch::new()
        .format(|out, message, record| {
            let time = humantime::format_rfc3339_millis(SystemTime::now());
            let level = record.level();
            let part = record.target();
            let text = message.to_string();
            let key = match text.starts_with('{') {
                true => "event",
                false => "message",
            };
            let value = match key {
                "event" => text,
                _ => serde_json::Value::from(text).to_string(),
            };
            out.finish(format_args!(
                "{{\"time\":\"{time}\",\"level\":\"{level}\",\"part\":\"{part}\",\"{key}\":{value}}}"
            ));
        })
        .level(level)
        .chain(output)
        .apply()
        .change_context(LoggingError)
}

fn write_lines(queue: &Receiver<String>) {
    let mut out = std::io::stdout();
    while let Ok(line) = queue.recv() {
        let mut text = line;
        text.push('\n');
        for line in queue.try_iter() {
            text.push_str(&line);
            text.push('\n');
        }
        // Standard output is the only log, so a failed write can only be counted.
        if out.write_all(text.as_bytes()).is_err() {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        std::thread::sleep(WRITE_INTERVAL);
    }
}
