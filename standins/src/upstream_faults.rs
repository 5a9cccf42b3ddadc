//! Faults an upstream stand-in shows.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::millis;

/// Faults of an upstream; the default shows none.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamFaults {
    /// Share of requests that run and are answered with 500, percent.
    pub fail_percent: u8,
    /// Share of answers that are cut half-way through the body, percent.
    pub truncate_percent: u8,
    /// Factor on the time of work.
    pub slow_factor: f64,
    /// Time added to the work; whole milliseconds in JSON.
    #[serde(with = "millis")]
    pub delay: Duration,
    /// Seconds after the faults were set before any shows.
    pub fail_after_seconds: u64,
    /// Start of the paths on which faults show; all paths when absent.
    pub only_prefix: Option<Box<str>>,
    /// Faults show only while more requests than this run.
    pub only_above_running: u32,
    /// Text in a path or body that crashes the upstream that runs the request, whatever else holds.
    pub crash_on_body: Option<Box<str>>,
    /// Time for which such a request runs before the crash; whole milliseconds in JSON.
    #[serde(with = "millis")]
    pub crash_delay: Duration,
    /// Whether the health and load endpoints tell of a healthy, idle upstream whatever happens.
    pub misleading_health: bool,
}

impl Default for UpstreamFaults {
    fn default() -> UpstreamFaults {
        UpstreamFaults {
            fail_percent: 0,
            truncate_percent: 0,
            slow_factor: 1.0,
            delay: Duration::ZERO,
            fail_after_seconds: 0,
            only_prefix: None,
            only_above_running: 0,
            crash_on_body: None,
            crash_delay: Duration::ZERO,
            misleading_health: false,
        }
    }
}

impl UpstreamFaults {
    /// Tells whether faults show on a request to `path` while `running` requests run, `since_set`
    /// after the faults were set.
    #[must_use]
    pub fn show_on(&self, path: &str, running: u32, since_set: Duration) -> bool {
        if since_set < Duration::from_secs(self.fail_after_seconds) {
            return false;
        }
        if self.only_above_running > 0 && running <= self.only_above_running {
            return false;
        }
        match &self.only_prefix {
            Some(prefix) => path.starts_with(&**prefix),
            None => true,
        }
    }

    /// Tells whether running a request with this path and body crashes the upstream.
    #[must_use]
    pub fn crash_on(&self, path: &str, body: &[u8]) -> bool {
        let Some(text) = self.crash_on_body.as_deref() else {
            return false;
        };
        if text.is_empty() {
            return false;
        }
        path.contains(text) || body.windows(text.len()).any(|part| part == text.as_bytes())
    }

    /// Tells whether an honest health endpoint would call the upstream unhealthy.
    #[must_use]
    pub fn are_unhealthy(&self) -> bool {
        self.fail_percent > 0 || self.truncate_percent > 0 || self.slow_factor > 1.0
    }
}
