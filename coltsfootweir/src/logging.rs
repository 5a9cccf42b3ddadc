//! Logs: one line an event, with the part that speaks as a fixed prefix.

use std::fmt;
use std::time::SystemTime;

use error_stack::Report;
use error_stack::ResultExt;
use log::LevelFilter;

/// Prefix of the lines on calls.
pub const CALLS: &str = "calls";

/// Prefix of the lines on configuration.
pub const CONFIG: &str = "config";

/// Prefix of the lines on membership.
pub const MEMBERS: &str = "members";

/// Prefix of the lines on moves.
pub const MOVES: &str = "moves";

/// Prefix of the lines on the removal of what the platform need not keep.
pub const RETENTION: &str = "retention";

/// Prefix of the lines on the own upstream.
pub const UPSTREAM: &str = "upstream";

/// Prefix of the lines on the daemon itself.
pub const DAEMON: &str = "daemon";

/// Failure to start the logs.
#[derive(Debug)]
pub struct LoggingError;

impl fmt::Display for LoggingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("logs could not be started")
    }
}

impl std::error::Error for LoggingError {}

/// Starts logging to standard error.
///
/// # Errors
/// [`LoggingError`] when a logger was set before.
pub fn start_logging(level: LevelFilter) -> Result<(), Report<LoggingError>> {
    fern::Dispatch::new()
        .format(|out, message, record| {
            let time = humantime::format_rfc3339_millis(SystemTime::now());
            out.finish(format_args!(
                "{time} {} [{}] {message}",
                record.level(),
                record.target()
            ));
        })
        .level(LevelFilter::Warn)
        .level_for(CALLS, level)
        .level_for(CONFIG, level)
        .level_for(MEMBERS, level)
        .level_for(MOVES, level)
        .level_for(RETENTION, level)
        .level_for(UPSTREAM, level)
        .level_for(DAEMON, level)
        .chain(std::io::stderr())
        .apply()
        .change_context(LoggingError)
}
